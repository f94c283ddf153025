"""Placement of waiting subtasks on executors.

Steps are placed in order of urgency. All subtasks of a step are alike, so a
step is skipped as soon as one finds no executor, and smaller steps behind it
can use the free capacity.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Set as AbstractSet
from functools import partial
from operator import itemgetter

from attrs import define, field, frozen

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import JobRegistry, find_pool
from hemlockstand.fleet.model import FleetConfig, Resources, Tenant
from hemlockstand.fleet.policy.crashes import (
    ISOLATION_SECONDS,
    is_given_up,
    is_held_back,
    is_isolated,
    is_suspect,
)
from hemlockstand.fleet.policy.evacuation import (
    find_cold_limit,
    grade_executor,
    is_evacuated,
)
from hemlockstand.fleet.policy.placing import PoolRoom, order_by_shares
from hemlockstand.fleet.policy.shares import PoolShares, measure_shares
from hemlockstand.fleet.policy.waiting import StepRank, rank_step
from hemlockstand.fleet.queue_terms import find_terms
from hemlockstand.fleet.work import StepRun, Subtask

# A subtask that failed or made no progress on an executor avoids it if at
# least this many other executors of the pool have room.
MIN_ALTERNATIVES = 1


@frozen
class Placement:
    """A subtask and the executor that is to run it."""

    subtask: Subtask
    executor: Executor


@define(eq=False)
class Placer:
    """Chooses executors for the waiting subtasks of a job registry.

    ``blocked_pools`` names the pools in which unknown runs of a previous
    scheduler may exist; steps that it may have started in one of them wait.
    ``may_run`` returns whether the queue's policy allows an executor, and
    ``is_confirmed`` whether the known capacities still apply; executors without
    an admission check would start what does not fit. ``shares`` holds those of
    the pools that lacked room in the last round.
    """

    registry: JobRegistry
    executors: Mapping[str, Executor]
    blocked_pools: set[str] = field(factory=set)
    may_run: Callable[[StepRun, Executor], bool] = field(
        default=lambda step_run, executor: True
    )
    is_confirmed: Callable[[], bool] = field(default=lambda: True)
    shares: dict[str, PoolShares] = field(factory=dict)
    _unconfirmed_use: dict[str, Resources] = field(factory=dict)
    # Pools in which executors are cold or returning, in this round.
    _graded_pools: set[str] = field(factory=set)

    def place(self, config: FleetConfig, now: float) -> Iterator[Placement]:
        """Yield placements; the caller starts each before it asks for more."""
        pools = self._group_executors(config, now)
        self._unconfirmed_use = self._measure_unconfirmed_use()
        self._measure_shares(pools, config, now)
        no_room = PoolRoom([])
        order: Iterable[tuple[StepRank, StepRun, PoolRoom]] = sorted(
            (
                (
                    rank_step(step_run, config, now),
                    step_run,
                    pools.get(find_pool(step_run.job, config), no_room),
                )
                for step_run in self.registry.ready.values()
            ),
            key=itemgetter(0),
        )
        if self.shares:
            order = order_by_shares(order)
        for rank, step_run, room in order:
            if step_run.may_have_unknown_runs(self.blocked_pools):
                continue
            may_announce = room.count_step(step_run)
            if not step_run.announced or room.name not in step_run.job.stored_pools:
                if may_announce:
                    self.registry.announce(step_run, room.name)
                    room.hold(rank, step_run, now)
                continue
            if not room.is_held_from(rank) and room.may_fit(step_run.step):
                yield from self._place_step(step_run, rank, room, config, now)
                room.forget_free_cpu()
            if step_run.waiting and (
                not room.lacks_cpu(step_run.step) or room.is_deferred(step_run, rank)
            ):
                room.discount_step(step_run)

    def _measure_shares(
        self, pools: Mapping[str, PoolRoom], config: FleetConfig, now: float
    ) -> None:
        """Measure the shares of workspaces in the pools that lack room."""
        ledger = self.registry.ledger
        ledger.advance(now)
        self.shares.clear()
        in_use = self.registry.in_use
        for pool, wants in ledger.find_contenders(config, in_use).items():
            if pool not in pools:
                continue
            room = pools[pool]
            usages = ledger.by_pool.get(pool, {})
            free = room.measure_free()
            room.shares = measure_shares(wants, usages, config.tenants, free)
            if room.shares is not None:
                self.shares[pool] = room.shares

    def find_rooms(self, config: FleetConfig, now: float) -> dict[str, PoolRoom]:
        """Return the executors by pool that may get runs outside of ``place``."""
        self._unconfirmed_use = self._measure_unconfirmed_use()
        return self._group_executors(config, now)

    def list_copy_executors(
        self, subtask: Subtask, executors: Iterable[Executor]
    ) -> Iterator[Executor]:
        """Yield the executors that may run a copy of a subtask beside its run."""
        for executor in self._select_allowed(subtask.step_run, executors):
            if executor.id not in subtask.avoid and not subtask.find_run(executor.id):
                yield executor

    def may_add(self, name: str, size: Resources, config: FleetConfig) -> bool:
        """Return whether a tenant's maximum permits more to run."""
        return self._is_within_maximum(config.tenants.get(name), size)

    def _measure_unconfirmed_use(self) -> dict[str, Resources]:
        """Return the resources that unknown runs may use, by tenant.

        Each waiting subtask that a previous scheduler may have started counts.
        Copies do not: they are so few that the tolerance of the maximum has room
        for them.
        """
        use_by_tenant: dict[str, Resources] = {}
        if not self.blocked_pools:
            return use_by_tenant
        for step_run in self.registry.ready.values():
            if not step_run.may_have_unknown_runs(self.blocked_pools):
                continue
            tenant = step_run.job.spec.tenant
            used = use_by_tenant.get(tenant, Resources())
            count = len(step_run.waiting)
            use_by_tenant[tenant] = used.add(step_run.step.size, count)
        return use_by_tenant

    def _group_executors(self, config: FleetConfig, now: float) -> dict[str, PoolRoom]:
        groups: dict[str, tuple[list[Executor], list[Executor]]] = {}
        self._graded_pools = set()
        confirmed = self.is_confirmed()
        guarded = {pool.name for pool in config.pools.values() if pool.admission_check}
        for executor in self.executors.values():
            if not confirmed and executor.entry.pool not in guarded:
                continue
            if not (is_sound(executor) and is_recorded(executor)):
                continue
            if config.evacuated and is_evacuated(executor, config):
                continue
            if now < executor.cold_until or now < executor.returning_until:
                self._graded_pools.add(executor.entry.pool)
            usable, quarantined = groups.setdefault(executor.entry.pool, ([], []))
            group = usable if executor.quarantined_until <= now else quarantined
            group.append(executor)
        return {pool: PoolRoom(*group, name=pool) for pool, group in groups.items()}

    def _place_step(
        self,
        step_run: StepRun,
        rank: StepRank,
        room: PoolRoom,
        config: FleetConfig,
        now: float,
    ) -> Iterator[Placement]:
        tenant = config.tenants.get(step_run.job.spec.tenant)
        executors = self._select_allowed(step_run, room.executors)
        graded = find_pool(step_run.job, config) in self._graded_pools
        if step_run.step.gang:
            resort = room.find_last_resort(step_run.subtasks[0], now)
            executors += self._select_allowed(step_run, resort)
            free = [item for item in executors if item.backoff_until <= now]
            one_member_only: set[str] = set()
            if graded:
                free.sort(key=partial(grade_executor, now=now))
                one_member_only = {
                    item.id for item in free if find_cold_limit(item, config, now)
                }
            members = self._place_gang(step_run, free, tenant, now, one_member_only)
            for placement in members:
                yield placement
                room.add_placed(step_run)
            return
        waiting = [
            subtask
            for subtask in step_run.waiting.values()
            if subtask.not_before <= now and may_be_started(subtask)
        ]
        for subtask in waiting:
            if not self._is_within_maximum(tenant, step_run.step.size):
                return
            executor = choose_executor(subtask, executors, now, graded)
            if executor is None:
                resort = room.find_last_resort(subtask, now)
                allowed = self._select_allowed(step_run, resort)
                executor = choose_executor(subtask, allowed, now, graded)
            if executor is None and is_isolated(subtask):
                continue
            if executor is None:
                return
            yield Placement(subtask, executor)
            room.add_placed(step_run)
            if room.is_deferred(step_run, rank):
                return

    def _select_allowed(
        self, step_run: StepRun, executors: Iterable[Executor]
    ) -> list[Executor]:
        """Return the executors that the policy of the step's queue allows."""
        return [executor for executor in executors if self.may_run(step_run, executor)]

    def _place_gang(
        self,
        step_run: StepRun,
        executors: list[Executor],
        tenant: Tenant | None,
        now: float,
        one_member_only: AbstractSet[str],
    ) -> Iterator[Placement]:
        """Place all members of a gang or none; they need each other to run.

        Executors in ``one_member_only`` take one member, since their starts are spread.
        """
        members = step_run.subtasks
        if len(step_run.waiting) < len(members):
            return
        if any(
            member.not_before > now or not may_be_started(member) for member in members
        ):
            return
        total = step_run.step.size.scale(len(members))
        if not self._is_within_maximum(tenant, total):
            return
        avoided = set().union(*(member.avoid for member in members))
        preferred = [item for item in executors if item.id not in avoided]
        chosen = choose_gang(step_run, preferred, one_member_only)
        chosen = chosen or choose_gang(step_run, executors, one_member_only)
        number = max(member.runs for member in members)
        checkpoint = max(member.checkpoint for member in members)
        for member, executor in zip(members, chosen, strict=False):
            member.runs = number
            member.checkpoint = checkpoint
            yield Placement(member, executor)

    def _is_within_maximum(self, tenant: Tenant | None, size: Resources) -> bool:
        if tenant is None:
            return True
        used = self.registry.in_use.get(tenant.name, Resources()).add(size)
        used = used.add(self._unconfirmed_use.get(tenant.name, Resources()))
        return is_within_maximum(tenant, used)


def is_within_maximum(tenant: Tenant | None, used: Resources) -> bool:
    """Return whether a tenant's maximum permits that it uses as much."""
    if tenant is None:
        return True
    maximum = tenant.maximum
    return (
        (not maximum.cpu_millis or used.cpu_millis <= maximum.cpu_millis)
        and (not maximum.memory_mb or used.memory_mb <= maximum.memory_mb)
        and (not maximum.accelerators or used.accelerators <= maximum.accelerators)
    )


def is_restricted(step_run: StepRun, config: FleetConfig) -> bool:
    """Return whether the policy of a step's queue has to allow each executor."""
    return find_terms(step_run.job.spec, config).advice is not None


def is_usable(executor: Executor, now: float) -> bool:
    """Return whether an executor may get new runs now."""
    return accepts_runs(executor, now) and is_recorded(executor)


def is_recorded(executor: Executor) -> bool:
    """Return whether the next scheduler would know of the executor's runs."""
    return executor.recorded and not executor.closed


def accepts_runs(executor: Executor, now: float) -> bool:
    """Return whether an executor could get new runs once it is recorded."""
    return is_sound(executor) and executor.quarantined_until <= now


def is_sound(executor: Executor) -> bool:
    """Return whether an executor is known, answers and is not to be emptied."""
    return (
        executor.is_in_store
        and executor.reconciled
        and executor.reachable
        and executor.is_entry_current
        and not executor.unknown_runs
        and not executor.lapse_stored
        and not executor.entry.draining
        and not executor.reserved
    )


def choose_executor(
    subtask: Subtask, executors: Iterable[Executor], now: float, graded: bool
) -> Executor | None:
    """Return the best executor that can run the subtask now, if any.

    ``graded`` tells whether some of the executors may be cold or returning. It
    is found once in a round, since all ranks of a placement need it.
    """
    step = subtask.step
    usable = [
        executor
        for executor in executors
        if executor.backoff_until <= now
        and executor.has_room(step.size, step.fills)
        and (not step.label or step.label in executor.entry.labels)
        and is_below_cap(subtask.step_run, executor)
    ]
    if is_isolated(subtask):
        usable = [item for item in usable if not has_recent_suspect(item, now)]
    others = [executor for executor in usable if executor.id not in subtask.avoid]
    if len(others) >= MIN_ALTERNATIVES:
        usable = others
    racks: frozenset[str] = frozenset()
    if step.same_rack:
        racks = find_racks(subtask.step_run, executors)
    rank = partial(rank_executor, subtask, racks)
    if graded:
        rank = partial(rank_graded_executor, subtask, racks, now)
    return min(usable, key=rank, default=None)


def may_be_started(subtask: Subtask) -> bool:
    """Return whether crashes of executors let a subtask start again."""
    return not is_given_up(subtask) and not is_held_back(subtask)


def count_suspects(executor: Executor) -> int:
    """Return how many runs belong to subtasks under which an executor crashed."""
    return sum(1 for subtask in executor.runs.values() if is_suspect(subtask))


def has_recent_suspect(executor: Executor, now: float) -> bool:
    """Return whether a suspect was started so recently that it may crash yet."""
    return any(
        is_suspect(subtask)
        and (run := subtask.find_run(executor.id)) is not None
        and now - run.ordered_at < ISOLATION_SECONDS
        for subtask in executor.runs.values()
    )


def is_below_cap(step_run: StepRun, executor: Executor, promised: int = 0) -> bool:
    """Return whether another subtask of the step may run on the executor.

    Places that are ``promised`` to others of the step count as taken.
    """
    cap = step_run.step.max_per_executor
    if not cap:
        return True
    count = sum(1 for other in executor.runs.values() if other.step_run is step_run)
    return count + promised < cap


def find_racks(step_run: StepRun, executors: Iterable[Executor]) -> frozenset[str]:
    """Return the racks of the executors that run subtasks of the step."""
    ids = {
        subtask.run.executor for subtask in step_run.subtasks if subtask.run is not None
    }
    return frozenset(
        executor.entry.rack for executor in executors if executor.id in ids
    )


def rank_graded_executor(
    subtask: Subtask, racks: frozenset[str], now: float, executor: Executor
) -> tuple[bool, int, bool, int, int, str]:
    """Return the sort key of an executor where some are cold or returning.

    A cold executor comes after all others. One whose data centre was evacuated
    until a short time ago comes last among those that are as near to the data.
    """
    distance, *rest = rank_executor(subtask, racks, executor)
    cold, returning = grade_executor(executor, now)
    return cold, distance, returning, *rest


def rank_executor(
    subtask: Subtask, racks: frozenset[str], executor: Executor
) -> tuple[int, int, int, str]:
    """Return the sort key of an executor for a subtask, smallest first.

    ``racks`` are those in which a step that should stay in one rack has runs.
    Subtasks that use spare cpu go where the fewest subtasks serve users;
    others go where they leave the least cpu, which keeps whole executors free
    for large subtasks. Those under which an executor crashed are spread, so
    that the next crash tells them apart and takes few others with it.
    """
    step = subtask.step
    remote = 1 if step.data_rack and step.data_rack != executor.entry.rack else 0
    apart = 0 if not racks or executor.entry.rack in racks else 1
    if is_suspect(subtask):
        return remote + apart, count_suspects(executor), len(executor.runs), executor.id
    if step.fills:
        serving = sum(1 for other in executor.runs.values() if other.step.target_ms)
        return remote + apart, serving, -executor.free_cpu(), executor.id
    return remote + apart, executor.failed_in_row, executor.free_cpu(), executor.id


def choose_gang(
    step_run: StepRun,
    executors: list[Executor],
    one_member_only: AbstractSet[str] = frozenset(),
) -> list[Executor]:
    """Return an executor for each member of a gang, or an empty list."""
    step = step_run.step
    by_rack: dict[str, list[Executor]] = {}
    for executor in executors:
        if step.label and step.label not in executor.entry.labels:
            continue
        by_rack.setdefault(executor.entry.rack, []).append(executor)
    groups = sorted(by_rack.values(), key=len, reverse=True)
    if not step.same_rack:
        groups = [[executor for group in groups for executor in group]]
    for group in [*groups, [member for part in groups for member in part]]:
        chosen = fill_group(step_run, group, one_member_only)
        if chosen:
            return chosen
    return []


def fill_group(
    step_run: StepRun,
    executors: list[Executor],
    one_member_only: AbstractSet[str] = frozenset(),
) -> list[Executor]:
    """Return executors with room for all members, or an empty list."""
    step = step_run.step
    chosen: list[Executor] = []
    for executor in executors:
        cap = (
            1 if executor.id in one_member_only else step.max_per_executor or step.count
        )
        taken = 0
        while len(chosen) < step.count and taken < cap:
            size = step.size.scale(taken + 1)
            if not executor.has_room(size, step.fills):
                break
            chosen.append(executor)
            taken += 1
    return chosen if len(chosen) == step.count else []
