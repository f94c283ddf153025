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
(``Standing``). Room that no other step can use goes to them, except for what is
held for a short time while an announcement is being stored (``PoolRoom.hold``).
"""

from collections.abc import Iterable, Mapping, Sequence
from math import inf

from attrs import define, field, frozen

from hemlockstand.fleet.model import Resources, Tenant, get_reservation
from hemlockstand.fleet.policy.usage import Usage
from hemlockstand.fleet.policy.waiting import Standing, StepRank, Timeliness
from hemlockstand.fleet.work import StepRun, Subtask

# Part of a share by which recent usage raises or lowers what counts as used. It
# makes up for starts that came too late, but a workspace that had unused room
# is not shut out for it later.
MAX_CORRECTION = 0.125
# Part of its share by which a workspace may exceed it while all that wait want
# more than theirs. Without it, each start would change the order of the steps.
TOLERANCE = 0.05
# Part of its share by which a workspace may exceed it with steps that have begun.
# Without a bound, one large step would take the whole pool until its end.
BEGUN_TOLERANCE = 0.1
# Late jobs come before those in time of workspaces above their share only up to
# this part of the share: they are worth a fourteenth of a job in time.
LATE_FRACTION = 0.5
# Part of a share within which a difference is an error of rounding.
ROUNDING = 1e-9
# Weights beyond this lose the shares of the others in the rounding of floats, so
# that none would be above its share.
MAX_WEIGHT = 1e6
MIN_WEIGHT = 0.001  # for a weight of 0, which would divide by zero


@define(eq=False)
class WorkspaceShare:
    """The share of a workspace in a pool, and what counts as used of it.

    ``share``, ``recent`` and ``used`` are parts of the pool's capacity;
    ``used`` is what runs, corrected by recent usage. A ``modest`` workspace
    wants no more than its share. Beside one, the share of the others is
    ``strict``: each start beyond it would take room that the modest one waits
    for. ``above`` and ``low`` say whether the workspace exceeds the share, and
    whether it is below the part up to which late jobs have precedence. A strict
    share is ``limited`` once something runs: a workspace that runs nothing may
    start a subtask of any size.
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
    limited: bool = False
    _left: Sequence[float] = ()

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

    @property
    def may_complete(self) -> bool:
        """Whether steps that have begun may go beyond the share."""
        return not self.strict and self.used <= self.share * (1 + BEGUN_TOLERANCE)

    def exceeds_with(self, size: Resources) -> bool:
        """Return whether one more subtask exceeds a share without tolerance."""
        cpu_millis, memory_mb, accelerators = self._left
        return (
            size.cpu_millis > cpu_millis
            or size.memory_mb > memory_mb
            or size.accelerators > accelerators
        )

    def exceeds_without(self, subtasks: Iterable[Subtask]) -> bool:
        """Return whether what runs exceeds the share without some subtasks."""
        running = self.running.copy()
        for subtask in subtasks:
            size = get_reservation(subtask.step)
            running[0] -= size.cpu_millis
            running[1] -= size.memory_mb
            running[2] -= size.accelerators
        return find_dominant(running, self.capacity) >= self.share

    def _measure(self) -> None:
        running = find_dominant(self.running, self.capacity)
        largest = self.share * MAX_CORRECTION
        correction = (self.recent - running) / 2
        self.used = running + max(-largest, min(largest, correction))
        if self.strict:
            usable = self.share * (1 + ROUNDING)
            self._left = [
                whole * usable - used if whole else inf
                for whole, used in zip(self.capacity, self.running, strict=True)
            ]
            self.above = running > usable
            self.limited = running > 0.0
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

    def find_standing(self, step_run: StepRun, rank: StepRank) -> Standing:
        """Return how a step stands to the share of its workspace."""
        if not rank.short_lived:
            return Standing.BELOW
        share = self.workspaces.get(step_run.job.spec.tenant)
        if share is None:
            return Standing.BELOW
        above = share.above
        if share.limited and not above:
            above = share.exceeds_with(get_reservation(step_run.step))
        if not (above or self._above):
            return Standing.BELOW
        if rank.timeliness < Timeliness.LATE:
            # Subtasks that run already are of no use without the others.
            if above and not rank.not_begun and step_run.has_begun:
                above = not share.may_complete
            return Standing.ABOVE if above else Standing.BELOW
        if share.low:
            return Standing.BELOW
        return Standing.LATE_ABOVE if above else Standing.LATE_BELOW


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
    if tenant is None:
        return 1.0
    return min(MAX_WEIGHT, max(MIN_WEIGHT, tenant.weight))


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
