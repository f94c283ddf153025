"""Shares of workspaces in a pool that lacks room for what waits.

Load pattern: one workspace sends many times its usual load, or several send
more than the pool can run. In the order of deadlines, the workspace that
sends most gets most, and all others are late with it.

While a pool lacks room, each workspace that waits there has a share of it in
proportion to its weight (``Tenant.weight``), measured on the resource of
which it uses the largest part of the pool (dominant-resource fairness). What
a workspace does not need is part of the shares of the others. For example, on
a pool of 64 cores a workspace that needs 6 cores leaves 29 to each of two
others of equal weight::

    >>> wants = {"a": (6 / 64, 0.0, 0.0), "b": (2.0, 0.0, 0.0), "c": (3.0, 0.0, 0.0)}
    >>> round(find_level([(1.0, part) for part in wants.values()]) * 64)
    29

Steps of a workspace above its share start after those of the others
(``Standing``). Nothing is held back: room that no other step can use goes to
them.
"""

from collections.abc import Iterable, Mapping, Sequence
from math import exp, inf

from attrs import define, field, frozen

from hemlockstand.fleet.model import FleetConfig, Resources, Tenant, get_reservation
from hemlockstand.fleet.policy.waiting import Standing, StepRank, Timeliness
from hemlockstand.fleet.work import Run, Subtask

# Time constant of the decay of recent usage, in seconds. It spans a few runs of
# usual subtasks; a longer one would count a turn against the next one.
RECENT_SECONDS = 3.0
# Part of a share by which recent usage raises or lowers what counts as used. It
# makes up for starts that came too late, but a workspace that had unused room
# is not shut out for it later.
MAX_CORRECTION = 0.125
# Part of its share by which a workspace may exceed it while all that wait want
# more than theirs. Without it, each start would change the order of the steps.
TOLERANCE = 0.05
# Late jobs come before those in time of workspaces above their share only up to
# this part of the share: they are worth a fourteenth of a job in time.
LATE_FRACTION = 0.5
MIN_WEIGHT = 0.001  # for a weight of 0, which would divide by zero
# Recent usage below this many thousandths of a core, megabytes and accelerators
# is dropped, so that idle workspaces take no memory.
NEGLIGIBLE_USE = 0.01


@define(eq=False)
class Usage:
    """What a workspace uses in a pool: cpu, memory and accelerators.

    ``running`` is in use now, ``recent`` an average that decays. Ends since
    the last call of ``advance`` are not yet taken off ``counted``.
    """

    running: list[int] = field(factory=lambda: [0, 0, 0])
    counted: list[int] = field(factory=lambda: [0, 0, 0])
    recent: list[float] = field(factory=lambda: [0.0, 0.0, 0.0])

    def add(self, size: Resources, times: int) -> None:
        """Add ``times`` runs of a size."""
        parts = (size.cpu_millis, size.memory_mb, size.accelerators)
        for index, part in enumerate(parts):
            self.running[index] += times * part
            self.counted[index] = max(self.counted[index], self.running[index])

    def advance(self, kept: float) -> None:
        """Let the average follow what ran since the last call."""
        self.recent = [
            counted + (recent - counted) * kept
            for recent, counted in zip(self.recent, self.counted, strict=True)
        ]
        self.counted = self.running.copy()

    @property
    def negligible(self) -> bool:
        """Whether nothing runs and hardly anything has run recently."""
        return not any(self.running) and max(self.recent) < NEGLIGIBLE_USE


@define(eq=False)
class UsageLedger:
    """Usage and need of the workspaces, kept with each start and end.

    It holds nothing that must outlast a takeover: the next scheduler counts
    the runs in the executors' lists, and recent usage starts from zero.
    ``by_pool`` holds the usage by pool and workspace, and ``needs`` what the
    waiting subtasks need, by queue, stored pool and workspace: their number,
    cpu, memory and accelerators.
    """

    by_pool: dict[str, dict[str, Usage]] = field(factory=dict)
    needs: dict[tuple[str, str, str], list[int]] = field(factory=dict)
    _advanced_at: float | None = None

    def add_run(self, subtask: Subtask, run: Run, times: int) -> None:
        """Count a run of a subtask; -1 takes it off."""
        usages = self.by_pool.setdefault(run.pool, {})
        workspace = subtask.job.spec.tenant
        usage = usages.get(workspace)
        if usage is None:
            usage = usages[workspace] = Usage()
        usage.add(get_reservation(subtask.step), times)

    def add_waiting(self, subtask: Subtask, times: int) -> None:
        """Count a waiting subtask; -1 takes it off."""
        spec = subtask.job.spec
        size = get_reservation(subtask.step)
        need = self.needs.setdefault((spec.queue, spec.pool, spec.tenant), [0, 0, 0, 0])
        need[0] += times
        need[1] += times * size.cpu_millis
        need[2] += times * size.memory_mb
        need[3] += times * size.accelerators
        if not need[0]:
            del self.needs[spec.queue, spec.pool, spec.tenant]

    def advance(self, now: float) -> None:
        """Let recent usage decay up to a time."""
        before = self._advanced_at
        self._advanced_at = now
        if before is None:
            return
        kept = exp(min(0.0, before - now) / RECENT_SECONDS)
        for pool, usages in list(self.by_pool.items()):
            for workspace, usage in list(usages.items()):
                usage.advance(kept)
                if usage.negligible:
                    del usages[workspace]
            if not usages:
                del self.by_pool[pool]

    def find_contenders(
        self, config: FleetConfig, in_use: Mapping[str, Resources]
    ) -> dict[str, dict[str, list[int]]]:
        """Return what waits by workspace, in pools where several of them wait.

        What a workspace may not start by its maximum does not count.
        """
        pools: dict[str, dict[str, list[int]]] = {}
        for (queue_name, stored_pool, workspace), need in self.needs.items():
            queue = config.queues_by_name.get(queue_name)
            pool = stored_pool if queue is None else queue.pool
            known = pools.setdefault(pool, {}).setdefault(workspace, [0, 0, 0])
            for index in range(3):
                known[index] += need[index + 1]
        contended = {}
        for pool, wants in pools.items():
            if len(wants) < 2:
                continue
            for workspace, want in wants.items():
                limit_need(want, config.tenants.get(workspace), in_use)
            wants = {name: want for name, want in wants.items() if any(want)}
            if len(wants) > 1:
                contended[pool] = wants
        return contended


def limit_need(
    need: list[int], tenant: Tenant | None, in_use: Mapping[str, Resources]
) -> None:
    """Limit a workspace's need to what its maximum leaves."""
    if tenant is None:
        return
    used = in_use.get(tenant.name, Resources())
    for index, name in enumerate(("cpu_millis", "memory_mb", "accelerators")):
        maximum = getattr(tenant.maximum, name)
        if maximum:
            need[index] = min(need[index], max(0, maximum - getattr(used, name)))


@define(eq=False)
class WorkspaceShare:
    """The share of a workspace in a pool, and what counts as used of it.

    ``share``, ``recent`` and ``used`` are parts of the pool's capacity;
    ``used`` is what runs, corrected by recent usage. A ``modest`` workspace
    wants no more than its share. Beside one, the share of the others is
    ``strict``: each start beyond it would take room that the modest one waits
    for. ``above`` and ``low`` say whether the workspace exceeds the share, and
    whether it is below the part up to which late jobs have precedence.
    """

    weight: float
    share: float
    capacity: Sequence[float]
    running: list[int]
    recent: float
    modest: bool
    strict: bool = False
    used: float = 0.0
    above: bool = False
    low: bool = True

    def __attrs_post_init__(self) -> None:
        self._measure()

    def add(self, size: Resources) -> None:
        """Count a subtask that was just placed."""
        self.running[0] += size.cpu_millis
        self.running[1] += size.memory_mb
        self.running[2] += size.accelerators
        self._measure()

    def set_strict(self) -> None:
        """Tolerate no excess, since a modest workspace waits as well."""
        self.strict = True
        self._measure()

    def _measure(self) -> None:
        running = find_dominant(self.running, self.capacity)
        largest = self.share * MAX_CORRECTION
        correction = (self.recent - running) / 2
        self.used = running + max(-largest, min(largest, correction))
        if self.strict:
            self.above = running > self.share
        else:
            self.above = self.used > self.share * (1 + TOLERANCE)
        self.low = self.used <= self.share * LATE_FRACTION


@frozen
class PoolShares:
    """The shares in a pool that lacks room, of the workspaces that wait there.

    ``any_above`` becomes true, and stays so for the round, once a workspace
    exceeds its share.
    """

    workspaces: Mapping[str, WorkspaceShare]
    _above: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._above.update(
            name for name, share in self.workspaces.items() if share.above
        )

    @property
    def any_above(self) -> bool:
        """Whether a workspace that waits exceeds its share."""
        return bool(self._above)

    def is_modest(self, workspace: str) -> bool:
        """Return whether a workspace wants no more than its share."""
        share = self.workspaces.get(workspace)
        return share is not None and share.modest

    def add_placed(self, workspace: str, size: Resources) -> None:
        """Count a placed subtask, so that the rest of the round knows of it."""
        share = self.workspaces.get(workspace)
        if share is not None:
            share.add(size)
            if share.above:
                self._above.add(workspace)

    def find_standing(self, workspace: str, rank: StepRank) -> Standing:
        """Return how a step stands to the share of its workspace."""
        if not self._above or not rank.short_lived:
            return Standing.BELOW
        share = self.workspaces.get(workspace)
        if share is None:
            return Standing.BELOW
        if rank.timeliness < Timeliness.LATE:
            if not (rank.not_begun or share.strict):
                # Subtasks that run already are of no use without the others.
                return Standing.BELOW
            return Standing.ABOVE if share.above else Standing.BELOW
        if share.low:
            return Standing.BELOW
        return Standing.LATE_ABOVE if share.above else Standing.LATE_BELOW


def measure_shares(
    wants: Mapping[str, Sequence[int]],
    usages: Mapping[str, Usage],
    tenants: Mapping[str, Tenant],
    free: Sequence[int],
) -> PoolShares | None:
    """Return the shares in a pool, or None if all that waits has room.

    ``wants`` is what waits by workspace, ``free`` what is free in the pool,
    each as cpu, memory and accelerators.
    """
    waiting = [sum(column) for column in zip(*wants.values(), strict=True)]
    running = [0, 0, 0]
    for usage in usages.values():
        for index in range(3):
            running[index] += usage.running[index]
    capacity = [free[index] + running[index] for index in range(3)]
    if all(not capacity[index] or waiting[index] <= free[index] for index in range(3)):
        return None
    nothing = Usage()
    demands = []
    for workspace in wants.keys() | usages.keys():
        want = wants.get(workspace, (0, 0, 0))
        used = usages.get(workspace, nothing).running
        total = [used[index] + want[index] for index in range(3)]
        weight = find_weight(tenants.get(workspace))
        demands.append((weight, divide_by_capacity(total, capacity)))
    level = find_level(demands)
    shares = {}
    for workspace in wants:
        usage = usages.get(workspace, nothing)
        weight = find_weight(tenants.get(workspace))
        total = [usage.running[index] + wants[workspace][index] for index in range(3)]
        share = min(1.0, level * weight)
        shares[workspace] = WorkspaceShare(
            weight,
            share,
            capacity,
            usage.running.copy(),
            find_dominant(usage.recent, capacity),
            find_dominant(total, capacity) <= share,
        )
    if any(share.modest for share in shares.values()):
        for share in shares.values():
            if not share.modest:
                share.set_strict()
    return PoolShares(shares)


def find_weight(tenant: Tenant | None) -> float:
    """Return the weight of a workspace; 1 if it is no longer configured."""
    return 1.0 if tenant is None else max(MIN_WEIGHT, tenant.weight)


def divide_by_capacity(
    resources: Sequence[float], capacity: Sequence[float]
) -> tuple[float, ...]:
    """Return the parts of a capacity; what the pool does not have counts as 0."""
    return tuple(
        part / whole if whole else 0.0
        for part, whole in zip(resources, capacity, strict=True)
    )


def find_dominant(resources: Sequence[float], capacity: Sequence[float]) -> float:
    """Return the largest part of a capacity."""
    return max(divide_by_capacity(resources, capacity))


def find_level(demands: Iterable[tuple[float, Sequence[float]]]) -> float:
    """Return the share of a workspace of weight 1.

    ``demands`` has, for each workspace, its weight and the parts of the
    pool's resources that it uses or waits for. The level rises for all until a
    resource is used up; a workspace whose demand is met takes no more.
    """
    met_at = sorted(
        (max(parts) / weight, parts) for weight, parts in demands if max(parts) > 0
    )
    return min((_fill(met_at, index) for index in range(3)), default=inf)


def _fill(met_at: Sequence[tuple[float, Sequence[float]]], index: int) -> float:
    """Return the level at which a resource is used up."""
    met = 0.0
    rising = sum(parts[index] / level for level, parts in met_at)
    for level, parts in met_at:
        if met + level * rising >= 1.0 and rising > 0.0:
            return max(0.0, 1.0 - met) / rising
        met += parts[index]
        rising -= parts[index] / level
    return inf
