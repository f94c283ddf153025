"""Stops running work for waiting work of a better queue that would be late.

``fleet/policy/preemption.py`` chooses the runs. The executor's room is held for
the waiting subtask from the stop order until it starts there, or for
``hold_seconds`` at most: an executor that does not answer may never list the end.

Nothing of it is stored. The next scheduler adopts a run that is being stopped
or handles its listed end, and the room goes to the first step in order.
"""

from collections.abc import Iterable, Iterator

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import find_pool
from hemlockstand.fleet.metrics import PREEMPTED_CORE_SECONDS, PREEMPTED_RUNS
from hemlockstand.fleet.model import FleetConfig, Resources, get_reservation
from hemlockstand.fleet.orders import Orders
from hemlockstand.fleet.placement import Placer, is_usable
from hemlockstand.fleet.policy.preemption import (
    ExecutorRoom,
    LossBudget,
    Preemption,
    Reason,
    Room,
    RunningWork,
    estimate_remaining,
    is_last_moment,
    plan_preemptions,
)
from hemlockstand.fleet.policy.usage import limit_need
from hemlockstand.fleet.queue_terms import find_terms
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.work import Run, RunState, StepRun, Subtask

log = logger.bind(module=__name__)

# Expected time from a stop order until the room is free, before any was seen.
# Executors on the platform's pages take up to ``stop_ms``, most a part of it.
FIRST_STOP_SECONDS = 0.4
STOP_WEIGHT = 0.2  # weight of a new stop in the average of their times
# Time for which room is held beyond the longest stop: the end is listed by the
# next poll, and a round of placement follows.
HOLD_MARGIN_SECONDS = 1.0
# Largest number of waiting subtasks of a step that gets room by stops. More would
# throw away much for one job, and take the scheduler long to plan.
MAX_SUBTASKS = 16
# Steps that one check looks at, as planning one takes over a millisecond; the
# next check comes 0.1 s later.
MAX_STEPS = 4


@define(eq=False)
class Hold:
    """Room of an executor that is held for a step while runs end."""

    step_run: StepRun
    subtask: Subtask
    size: Resources
    ordered_at: float
    stopped: list[tuple[Subtask, Run]]


@define(eq=False)
class Preemptor:
    """Chooses and stops runs, and holds the room that gets free."""

    state: SchedulerState
    orders: Orders
    placer: Placer
    holds: dict[str, list[Hold]] = field(factory=dict)
    _budgets: dict[str, LossBudget] = field(factory=dict)
    _stop_seconds: float = FIRST_STOP_SECONDS
    # Progress of preempted subtasks at their last stop, by job and name.
    _stopped_at_percent: dict[tuple[str, str], int] = field(factory=dict)
    # Runs that a check has offered for a workspace within its share.
    _offered: list[Subtask] = field(factory=list)

    def may_use(self, step_run: StepRun, executor: Executor) -> bool:
        """Return whether a step leaves the room that is held on an executor."""
        if executor.id not in self.holds:
            return True
        held = self._sum_held(executor.id, step_run)
        if held == Resources():
            return True
        size = get_reservation(step_run.step)
        return executor.has_room(held.add(size), step_run.step.fills)

    def _sum_held(self, executor_id: str, step_run: StepRun | None) -> Resources:
        """Return the room that is held for other steps."""
        held = Resources()
        for hold in self.holds.get(executor_id, ()):
            if hold.step_run is not step_run and hold.subtask.run is None:
                held = held.add(hold.size)
        return held

    def check(self) -> None:
        """Release the holds that are over, and stop runs where it helps."""
        now = self.state.clock()
        self._release_holds(now)
        settings = self.state.settings.preemption
        if settings.basis == "none" or not self.state.registry.ready:
            return
        if not self.state.may_order() or not self.state.configuration.fresh:
            return
        config = self.state.config
        self._forget_ended_jobs()
        if len({queue.priority for queue in config.queues}) < 2:
            if settings.basis != "share" or not self._any_above():
                return
        self._offered.clear()
        rooms: dict[str, ExecutorRoom] = {}
        made_for = None
        for step_run, start_by in self._find_urgent(config, now):
            spec = step_run.job.spec
            pool = find_pool(step_run.job, config)
            key = (pool, spec.queue, spec.tenant)
            if key != made_for:
                # Stops for another queue have changed what may be stopped.
                rooms = self._make_rooms(step_run, pool, config, now)
                made_for = key
            self._preempt_for(step_run, start_by, pool, rooms, now)

    def _release_holds(self, now: float) -> None:
        for executor_id, holds in list(self.holds.items()):
            left = [hold for hold in holds if not self._is_over(hold, now)]
            if len(left) < len(holds):
                self.state.request_placement()
            if left:
                self.holds[executor_id] = left
            else:
                del self.holds[executor_id]

    def _any_above(self) -> bool:
        return any(shares.any_above for shares in self.placer.shares.values())

    def _is_over(self, hold: Hold, now: float) -> bool:
        going_on = [(item, run) for item, run in hold.stopped if item.run is run]
        if len(going_on) < len(hold.stopped):
            seconds = now - hold.ordered_at
            self._stop_seconds += STOP_WEIGHT * (seconds - self._stop_seconds)
            hold.stopped = going_on
        longest = self.state.settings.bounds.stop_ms / 1000 + HOLD_MARGIN_SECONDS
        subtask = hold.subtask
        unneeded = subtask.run is not None or subtask.done or subtask.job.state.final
        return unneeded or now - hold.ordered_at > longest

    def _forget_ended_jobs(self) -> None:
        jobs = self.state.registry.jobs
        for key in list(self._stopped_at_percent):
            job = jobs.get(key[0])
            if job is None or job.state.final:
                del self._stopped_at_percent[key]

    def _find_urgent(
        self, config: FleetConfig, now: float
    ) -> Iterator[tuple[StepRun, float]]:
        """Yield waiting steps that must start soon, and when at the latest.

        Of the duration of the step itself, the 90th percentile counts: a stop
        for a job that is late all the same throws work away for nothing.
        """
        held = {hold.step_run for holds in self.holds.values() for hold in holds}
        count = 0
        last = max((queue.priority for queue in config.queues), default=0)
        by_share = self.state.settings.preemption.basis == "share"
        for step_run in list(self.state.registry.ready.values()):
            job = step_run.job
            if find_terms(job.spec, config).priority >= last and not by_share:
                continue
            if not is_eligible(step_run) or step_run in held:
                continue
            if step_run.may_have_unknown_runs(self.placer.blocked_pools):
                continue
            expected = self.state.registry.durations.expect(job.spec, step_run.position)
            tail = max(0.0, expected.p90_seconds - expected.median_seconds)
            due_at = job.accepted_at + job.objective_seconds
            start_by = due_at - step_run.remaining_seconds - tail
            if not is_last_moment(now, start_by, self._stop_seconds):
                continue
            if not self._is_within_maximum(step_run, config):
                continue
            count += 1
            if count > MAX_STEPS:
                return
            yield step_run, start_by

    def _is_within_maximum(self, step_run: StepRun, config: FleetConfig) -> bool:
        size = step_run.step.size.scale(len(step_run.waiting))
        left = list(to_room(size))
        tenant = config.tenants.get(step_run.job.spec.tenant)
        limit_need(left, tenant, self.state.registry.in_use)
        return tuple(left) == to_room(size)

    def _make_rooms(
        self, step_run: StepRun, pool: str, config: FleetConfig, now: float
    ) -> dict[str, ExecutorRoom]:
        """Return the rooms of a pool, for steps of a queue and a workspace."""
        free: dict[str, Room] = {}
        running: list[Subtask] = []
        for executor in self.state.executors.values():
            if executor.entry.pool != pool or not is_usable(executor, now):
                continue
            capacity = executor.entry.capacity.add(executor.used, -1)
            held = self._sum_held(executor.id, None)
            free[executor.id] = to_room(capacity.add(held, -1))
            running.extend(
                item
                for item in executor.runs.values()
                # A subtask that was lost here may already run elsewhere.
                if item.run is not None
                and item.run.executor == executor.id
                # A stop would end both runs of a subtask that has a copy.
                and item.copy is None
            )
        # A workspace is brought down to its share by its youngest runs.
        running.sort(key=lambda item: item.run.ordered_at, reverse=True)
        runs: dict[str, list[RunningWork]] = {executor_id: [] for executor_id in free}
        for item in running:
            work = self._describe(step_run, item, config, now)
            runs[item.run.executor].append(work)
        return {
            executor_id: ExecutorRoom(executor_id, room, runs[executor_id])
            for executor_id, room in free.items()
        }

    def _preempt_for(
        self,
        step_run: StepRun,
        start_by: float,
        pool: str,
        rooms: dict[str, ExecutorRoom],
        now: float,
    ) -> None:
        settings = self.state.settings.preemption
        executors = [self.state.executors[executor_id] for executor_id in rooms]
        cores = sum(item.entry.capacity.cpu_millis for item in executors) / 1000
        permitted = settings.max_lost_fraction * settings.span_seconds * cores
        budget = self._budgets.setdefault(pool, LossBudget(settings.span_seconds))
        left = budget.measure_left(now, permitted)
        allowed = {
            executor.id: rooms[executor.id]
            for executor in executors
            if self._may_run(step_run, executor)
        }
        chosen = plan_preemptions(
            to_room(get_reservation(step_run.step)),
            len(step_run.waiting),
            allowed,
            start_by - now,
            self._stop_seconds,
            left,
        )
        rooms.update(allowed)
        waiting = list(step_run.waiting.values())
        for subtask, preemption in zip(waiting, chosen, strict=False):
            budget.add(now, preemption.lost_core_seconds)
            self._stop(subtask, preemption, pool, now)
            log.info(
                "runs are stopped for a more urgent subtask",
                subtask=subtask.name,
                job=subtask.job.id,
                pool=pool,
                executor=preemption.executor,
                stopped={run.name: str(run.reason) for run in preemption.runs},
                lost_core_seconds=round(preemption.lost_core_seconds, 3),
                budget_core_seconds=round(left, 3),
                start_by_seconds=round(start_by - now, 3),
                stop_seconds=round(self._stop_seconds, 3),
            )

    def _may_run(self, step_run: StepRun, executor: Executor) -> bool:
        """Return whether an executor may run a step once it has room."""
        step = step_run.step
        return (
            executor.backoff_until <= self.state.clock()
            and (not step.label or step.label in executor.entry.labels)
            and not any(executor.id in item.avoid for item in step_run.waiting.values())
            and self.placer.may_run(step_run, executor)
        )

    def _describe(
        self, waiting: StepRun, other: Subtask, config: FleetConfig, now: float
    ) -> RunningWork:
        """Return what the policy has to know of a run.

        Its remaining time is by the median: the more of the runs are expected to
        end soon, the less is stopped.
        """
        run = other.run
        assert run is not None
        spec = other.job.spec
        expected = self.state.registry.durations.expect(
            spec, other.step_run.position
        ).median_seconds
        worked = now - run.ordered_at
        remaining = estimate_remaining(worked, run.percent, expected)
        if run.state is RunState.STOPPING:
            remaining = self._stop_seconds
        elif other.step.lasting:
            remaining = float("inf")
        return RunningWork(
            other.name,
            spec.tenant,
            to_room(get_reservation(other.step)),
            worked,
            remaining,
            run.percent,
            other.step.checkpoints,
            self._find_reason(waiting, other, config),
        )

    def _find_reason(
        self, waiting: StepRun, other: Subtask, config: FleetConfig
    ) -> Reason | None:
        """Return why a run may be stopped for a waiting subtask, if it may."""
        run = other.run
        step = other.step
        if run is None or run.state is not RunState.RUNNING:
            return None
        if step.lasting or step.gang or step.fills or other.job.state.final:
            return None
        key = (other.job.id, other.name)
        if run.percent <= self._stopped_at_percent.get(key, -1):
            return None
        own = find_terms(waiting.job.spec, config).priority
        others = find_terms(other.job.spec, config).priority
        if own < others:
            return Reason.PRIORITY
        if own > others:
            return None
        if self.state.settings.preemption.basis != "share":
            return None
        return self._find_share_reason(waiting, other, config)

    def _find_share_reason(
        self, waiting: StepRun, other: Subtask, config: FleetConfig
    ) -> Reason | None:
        """Return whether a run of a workspace above its share may be stopped.

        What is stopped already counts: no workspace gets below its share by it.
        """
        shares = self.placer.shares.get(find_pool(waiting.job, config))
        if shares is None or not shares.is_modest(waiting.job.spec.tenant):
            return None
        share = shares.workspaces.get(other.job.spec.tenant)
        if share is None or not share.strict:
            return None
        stopping = [*self._list_stopping(other.job.spec.tenant), other]
        if not share.exceeds_without(stopping):
            return None
        self._offered.append(other)
        return Reason.SHARE

    def _list_stopping(self, tenant: str) -> Iterable[Subtask]:
        """Yield the runs of a workspace that are or may yet be stopped."""
        for holds in self.holds.values():
            for hold in holds:
                for subtask, run in hold.stopped:
                    if subtask.job.spec.tenant == tenant and subtask.run is run:
                        yield subtask
        yield from (item for item in self._offered if item.job.spec.tenant == tenant)

    def _stop(
        self, subtask: Subtask, chosen: Preemption, pool: str, now: float
    ) -> None:
        executor = self.state.executors[chosen.executor]
        stopped = [executor.runs[run.name] for run in chosen.runs]
        size = get_reservation(subtask.step)
        runs = [(other, other.run) for other in stopped if other.run is not None]
        hold = Hold(subtask.step_run, subtask, size, now, runs)
        self.holds.setdefault(executor.id, []).append(hold)
        for run, other in zip(chosen.runs, stopped, strict=True):
            self._stopped_at_percent[other.job.id, other.name] = run.percent
            PREEMPTED_RUNS.labels(pool, str(run.reason)).inc()
            self.orders.stop_run(other)
        PREEMPTED_CORE_SECONDS.labels(pool).inc(chosen.lost_core_seconds)


def is_eligible(step_run: StepRun) -> bool:
    """Return whether room may be made for a step.

    Gangs and steps with a limit per executor may not start although there is
    room, and the room of a step that is not announced would stay idle.
    """
    step = step_run.step
    if step.lasting or step.gang or step.fills or step.max_per_executor:
        return False
    return step_run.announced and len(step_run.waiting) <= MAX_SUBTASKS


def to_room(resources: Resources) -> Room:
    """Return resources as the policy counts them."""
    return resources.cpu_millis, resources.memory_mb, resources.accelerators
