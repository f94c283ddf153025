"""Builds the published view of the load from what the scheduler knows.

All that is uncertain is counted in favour of the callers: work that may be
running already, or that waits for a label, a gang's other members or its
tenant's maximum, delays nobody else.
"""

import time
from collections import Counter
from collections.abc import Iterator, Set as AbstractSet
from operator import itemgetter

from attrs import define, evolve, field, frozen
from loguru import logger

from hemlockstand.fleet.instance_sizes import InstanceSizes
from hemlockstand.fleet.job_registry import find_pool
from hemlockstand.fleet.load_row import load_write
from hemlockstand.fleet.load_view import (
    ARRIVAL_SECONDS,
    LOAD_FORMAT,
    InstanceKind,
    LoadView,
    PoolLoad,
    QueueFactor,
    WaitingWork,
)
from hemlockstand.fleet.model import InstanceState, Resources, get_reservation
from hemlockstand.fleet.plans import InstancePlans
from hemlockstand.fleet.policy.admission import MIN_RUNS, get_seconds, measure_work
from hemlockstand.fleet.policy.waiting import Timeliness, judge_timeliness
from hemlockstand.fleet.queue_terms import find_terms
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.work import StepRun
from hemlockstand.platform.rows import MAX_ROW_BYTES

log = logger.bind(module=__name__)

PUBLISH_SECONDS = 0.5  # at most two views a second
# A view counts for two seconds; an unchanged one is written again before.
REPEAT_SECONDS = 1.0
# A pool lacks room if a step has waited for so long, or if its waiting work
# fills it for so long. Shorter waits end before a frontend could read of them.
SHORTAGE_SECONDS = 1.0
# After a shortage a pool counts as lacking room until less than this part of it
# is in use. Those who come back fill 0.7 of it, and if newcomers were
# let in beside them, they would find no room.
BUSY_FRACTION = 0.6
# A tenant that uses this part of its maximum may wait for it.
CAPPED_FRACTION = 0.8
# The row must fit into the store: about 30 bytes for a tenant, twice, and 80 for
# a queue or a kind of instances. What is left out only makes frontends refuse less.
MAX_TENANTS = 300
MAX_QUEUES = 100
MAX_KINDS = 64


@define
class _WaitingSums:
    """As ``WaitingWork``, while it is added up."""

    timely: float = 0.0
    late: float = 0.0


@define
class _PoolSums:
    """What a pool has, and what waits in it, by priority and tenant."""

    cores: float = 0.0
    idle: float = 0.0  # of executors without runs
    pending: float = 0.0  # of instances that are about to join
    waiting: dict[tuple[int, str], _WaitingSums] = field(factory=dict)
    arrived: float = 0.0
    used: float = 0.0  # cores
    has_waited: bool = False

    def lacks_room(self, was_lacking: bool) -> bool:
        """Return whether waiting work has too little room, or had until now."""
        amount = sum(work.timely + work.late for work in self.waiting.values())
        if self.has_waited or amount > self.cores * SHORTAGE_SECONDS:
            return True
        return was_lacking and self.used > self.cores * BUSY_FRACTION


@define
class _QueueSums:
    """Expected and estimated core-seconds of the waiting work of a queue."""

    expected: float = 0.0
    estimated: float = 0.0
    runs: int = MIN_RUNS


@frozen
class _StepMeasure:
    """Core-seconds of a subtask: what counts, is expected and is estimated."""

    work: float = 0.0
    expected: float = 0.0
    estimated: float = 0.0
    runs: int = MIN_RUNS


@define(eq=False)
class LoadPublisher:
    """Chooses which view is stored with the scheduler's next transaction.

    ``blocked_pools`` names the pools in which unknown runs of a previous
    scheduler may exist. ``_measures`` holds what was expected of each waiting step
    when it was first counted.
    """

    state: SchedulerState
    plans: InstancePlans
    blocked_pools: AbstractSet[str]
    sizes: InstanceSizes = field(init=False)
    _built_at: float = float("-inf")
    _next: LoadView | None = None
    _stored: LoadView | None = None
    _lacking: frozenset[str] = frozenset()
    _measures: dict[StepRun, _StepMeasure] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.sizes = InstanceSizes(self.state, self.plans)

    def find_view(self) -> LoadView | None:
        """Return the view that is to be stored, if any.

        There is none where submissions are not refused by load.
        """
        if not self.state.settings.admission.by_load:
            return None
        now = self.state.clock()
        if now - self._built_at >= PUBLISH_SECONDS:
            self._built_at = now
            view = self.build(now, int(time.time() * 1000))
            self._next = view if self._is_news(view) and fits(view) else None
        return self._next

    def mark_stored(self, view: LoadView) -> None:
        """Note that the store has a view."""
        if view.pools and not (self._stored and self._stored.pools):
            log.info("pools lack room", pools=sorted(view.pools))
        elif not view.pools:
            log.info("no pool lacks room any more")
        self._stored = view
        if self._next is view:
            self._next = None

    def _is_news(self, view: LoadView) -> bool:
        """Return whether a view differs from the stored one, or follows it.

        The end of a shortage is stored once.
        """
        stored = self._stored
        if stored is None or not stored.pools:
            return bool(view.pools)
        age_seconds = (view.made_ms - stored.made_ms) / 1000
        changed = evolve(view, made_ms=stored.made_ms) != stored
        return not view.pools or changed or age_seconds >= REPEAT_SECONDS

    def build(self, now: float, now_ms: int) -> LoadView:
        """Return the load of the pools that lack room."""
        # Also without a shortage, as an executor may shrink before one.
        self.sizes.observe(now)
        sums: dict[str, _PoolSums] = {}
        queues: dict[str, _QueueSums] = {}
        self._add_waiting(sums, queues, now)
        if not sums and not self._lacking:
            return LoadView(LOAD_FORMAT, now_ms)
        self._add_executors(sums)
        lacking = {
            name: pool
            for name, pool in sums.items()
            if pool.lacks_room(name in self._lacking)
        }
        self._lacking = frozenset(lacking)
        if not lacking:
            return LoadView(LOAD_FORMAT, now_ms)
        standby = self._add_instances(sums)
        queued = self._add_arrivals(sums, now)
        capped = tuple(sorted(self._find_capped()))
        surplus = sum(pool.idle for name, pool in sums.items() if name not in lacking)
        kinds, complete = self._list_kinds(now)
        return LoadView(
            LOAD_FORMAT,
            now_ms,
            {
                name: PoolLoad(
                    round(pool.cores, 3),
                    round(pool.pending + standby + surplus, 3),
                    list_largest(pool.waiting, MAX_TENANTS // len(lacking)),
                    capped,
                    round(pool.arrived, 3),
                )
                for name, pool in lacking.items()
            },
            {
                name: QueueFactor(round(each.expected / each.estimated, 3), each.runs)
                for name, each in list(queues.items())[:MAX_QUEUES]
                if each.estimated
            },
            dict(queued.most_common(MAX_TENANTS)),
            kinds,
            complete,
        )

    def _add_waiting(
        self, sums: dict[str, _PoolSums], queues: dict[str, _QueueSums], now: float
    ) -> None:
        config = self.state.config
        measures: dict[StepRun, _StepMeasure] = {}
        counted: set[str] = set()
        for step_run in self.state.registry.ready.values():
            job = step_run.job
            if step_run.step.lasting or step_run.may_have_unknown_runs(
                self.blocked_pools
            ):
                continue
            pool = sums.setdefault(find_pool(job, config), _PoolSums())
            if now - step_run.unlocked_at >= SHORTAGE_SECONDS:
                pool.has_waited = True
            timeliness = judge_timeliness(step_run, now)
            if timeliness is Timeliness.WORTHLESS:
                continue
            parts = [(step_run, len(step_run.waiting))]
            if len(job.steps) > 1 and not job.spec.timed and job.id not in counted:
                counted.add(job.id)
                parts += (
                    (later, later.step.count)
                    for later in job.steps.values()
                    if not later.unlocked_at
                )
            work = 0.0
            for part, count in parts:
                measure = self._measures.get(part) or self._measure_step(part)
                measures[part] = measure
                work += count * measure.work
                queue_sums = queues.setdefault(job.spec.queue, _QueueSums())
                queue_sums.expected += count * measure.expected
                queue_sums.estimated += count * measure.estimated
                queue_sums.runs = min(queue_sums.runs, measure.runs)
            key = find_terms(job.spec, config).priority, job.spec.tenant
            known = pool.waiting.setdefault(key, _WaitingSums())
            if timeliness is Timeliness.LATE:
                known.late += work
            else:
                known.timely += work
        self._measures = measures

    def _measure_step(self, step_run: StepRun) -> _StepMeasure:
        """Return the core-seconds of a subtask that takes room from others.

        An expectation that rests on few runs counts only if it is shorter than
        the estimate.
        """
        step, spec = step_run.step, step_run.job.spec
        if step.label or step.gang or step.lasting or step.fills:
            return _StepMeasure()
        duration = self.state.registry.durations.expect(spec, step_run.position)
        cores = get_reservation(step).cpu_millis / 1000
        expected = cores * duration.median_seconds
        estimated = cores * get_seconds(step, 1.0)
        work = expected if duration.runs >= MIN_RUNS else min(expected, estimated)
        return _StepMeasure(work, expected, estimated, duration.runs)

    def _add_executors(self, sums: dict[str, _PoolSums]) -> None:
        evacuated = self.state.config.evacuated
        for executor in self.state.executors.values():
            entry = executor.entry
            if not executor.is_in_store or entry.draining or executor.reserved:
                continue
            if not executor.reachable or entry.data_centre in evacuated:
                continue
            pool = sums.setdefault(entry.pool, _PoolSums())
            lasting = sum(
                get_reservation(subtask.step).cpu_millis
                for subtask in executor.runs.values()
                if subtask.step.lasting
            )
            pool.cores += max(0, entry.capacity.cpu_millis - lasting) / 1000
            pool.used += (executor.used.cpu_millis - lasting) / 1000
            if not executor.runs:
                pool.idle += entry.capacity.cpu_millis / 1000

    def _add_instances(self, sums: dict[str, _PoolSums]) -> float:
        """Add the instances that are about to join; return the cores on standby."""
        config = self.state.config
        standby = 0.0
        for instance in self.plans.instances.values():
            if instance.data_centre in config.evacuated:
                continue
            cores = self.sizes.find_size(instance.name).cpu_millis / 1000
            plan = self.plans.current.get(instance.name)
            target = plan.pool if plan is not None and plan.pool else instance.pool
            pool = config.pools.get(target)
            executor = self.plans.find_executor(instance.name)
            if pool is not None and pool.standby:
                standby += cores if instance.state is InstanceState.UP else 0.0
            elif target in sums and (target != instance.pool or executor is None):
                if instance.state in (InstanceState.UP, InstanceState.MOVING):
                    sums[target].pending += cores
        return standby

    def _list_kinds(self, now: float) -> tuple[tuple[InstanceKind, ...], bool]:
        """Return the capacities of all instances, and whether all are known."""
        counts = self.sizes.count()
        if len(counts) > MAX_KINDS or not self.sizes.are_known(now):
            return (), False
        kinds = (InstanceKind(size, count) for size, count in counts.items())
        return tuple(kinds), True

    def _add_arrivals(self, sums: dict[str, _PoolSums], now: float) -> Counter[str]:
        """Add the accepted work; return the number of unfinished jobs by tenant."""
        queued: Counter[str] = Counter()
        config = self.state.config
        for job in self.state.registry.jobs.values():
            if not job.state.final and not job.cancelled:
                queued[job.spec.tenant] += 1
            if now - job.accepted_at <= ARRIVAL_SECONDS and not job.spec.timed:
                pool = sums.get(find_pool(job, config))
                if pool is not None:
                    pool.arrived += measure_work(job.spec)
        return queued

    def _find_capped(self) -> Iterator[str]:
        """Yield the tenants whose use is near their maximum of cpu."""
        for name, used in self.state.registry.in_use.items():
            tenant = self.state.config.tenants.get(name)
            if tenant is not None and tenant.maximum != Resources():
                maximum = tenant.maximum
                if (
                    0 < maximum.cpu_millis <= used.cpu_millis / CAPPED_FRACTION
                    or 0 < maximum.memory_mb <= used.memory_mb / CAPPED_FRACTION
                    or 0 < maximum.accelerators <= used.accelerators / CAPPED_FRACTION
                ):
                    yield name


def fits(view: LoadView) -> bool:
    """Return whether the store has room for a view; very long names take more."""
    size = len(load_write(view).value)
    if size > MAX_ROW_BYTES:
        log.warning("load of the pools does not fit into a row", bytes=size)
    return size <= MAX_ROW_BYTES


def list_largest(
    waiting: dict[tuple[int, str], _WaitingSums], limit: int
) -> dict[str, dict[str, WaitingWork]]:
    """Return the largest amounts of waiting work by priority and tenant."""
    largest = sorted(
        waiting.items(), key=lambda item: item[1].timely + item[1].late, reverse=True
    )
    found: dict[str, dict[str, WaitingWork]] = {}
    for (priority, tenant), work in sorted(largest[:limit], key=itemgetter(0)):
        if work.timely or work.late:
            tenants = found.setdefault(str(priority), {})
            tenants[tenant] = WaitingWork(round(work.timely, 3), round(work.late, 3))
    return found
