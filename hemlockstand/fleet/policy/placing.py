"""Room of a pool during a round of placement.

Load pattern: a queue's peak, in which hundreds of steps wait while every
executor is full. Rounds follow each other within milliseconds, so a round must
not look at every executor for every step that cannot start.
"""

from collections.abc import Iterable, Iterator
from itertools import groupby
from operator import itemgetter

from attrs import define, field

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.model import Step, get_reservation
from hemlockstand.fleet.policy.shares import PoolShares
from hemlockstand.fleet.policy.waiting import Standing, StepRank, Timeliness
from hemlockstand.fleet.work import StepRun, Subtask

# Part of a pool's capacity for which steps are announced ahead of their start,
# so that free capacity need not wait for the store.
ANNOUNCE_AHEAD_FRACTION = 0.25
# Wait for an executor that is not in quarantine. Lasting work must be at work
# again within seconds of its end, a quarantine may last longer.
QUARANTINE_WAIT_SECONDS = 1.0
# How long a step whose announcement is being stored holds room against workspaces
# above their shares. The store usually takes milliseconds; while it is slow, held
# room would stay unused.
HOLD_SECONDS = 0.2


@define(eq=False)
class PoolRoom:
    """Free room of a pool, for steps in the order of their rank.

    ``quarantined`` holds the executors on which runs have failed in a row.
    They are the last resort of lasting work, which fails by itself as well,
    and of a pool that has no others. ``shares`` are those of the workspaces if
    the pool lacks room.
    """

    executors: list[Executor]
    quarantined: list[Executor] = field(factory=list)
    shares: PoolShares | None = None
    name: str = ""
    _offered: list[Executor] = field(init=False)
    _announceable_cpu: float = field(init=False)
    _largest_cpu: int = field(init=False)
    _held_cpu: int = 0
    _held_for: StepRank | None = None
    # The part that is held against workspaces above their shares, for the first of
    # these steps and for a workspace that wants no more than its share.
    _shared_cpu: int = 0
    _shared_for: StepRank | None = None
    _shared_for_modest: bool = False
    _largest_free_cpu: int | None = None
    _total_free_cpu: int | None = None

    def __attrs_post_init__(self) -> None:
        self._offered = self.executors or self.quarantined
        self._announceable_cpu = count_announceable_cpu(self._offered)
        self._largest_cpu = max(
            (executor.entry.capacity.cpu_millis for executor in self._offered),
            default=0,
        )

    def count_step(self, step_run: StepRun) -> bool:
        """Count a step's need; return whether it may be announced.

        Steps that cannot start yet are not announced: after a takeover,
        announced ones wait for unreachable executors.
        """
        may_announce = self._announceable_cpu > 0
        self._announceable_cpu -= count_needed_cpu(step_run)
        return may_announce

    def discount_step(self, step_run: StepRun) -> None:
        """Take back what was counted for a step that waits for other reasons.

        A label, a tenant's maximum or a limit per executor may hold it up for
        good, which must not keep later steps from being announced.
        """
        self._announceable_cpu += count_needed_cpu(step_run)

    def lacks_cpu(self, step: Step) -> bool:
        """Return whether a subtask waits for cpu that is in use."""
        return self._measure_free_cpu() < step.size.cpu_millis <= self._largest_cpu

    def _measure_free_cpu(self) -> int:
        """Return the largest free cpu of an executor."""
        if self._largest_free_cpu is None:
            self._largest_free_cpu = max(
                (executor.free_cpu() for executor in self._offered), default=-1
            )
        return self._largest_free_cpu

    def hold(self, rank: StepRank, step_run: StepRun, now: float) -> None:
        """Hold room for a step whose announcement is being stored.

        The store takes milliseconds, and a late step would take the room for
        the time of a subtask.
        """
        needed_cpu = count_needed_cpu(step_run)
        self._held_cpu += needed_cpu
        self._held_for = self._held_for or rank
        if self.shares is None:
            return
        if step_run.held_since is None:
            step_run.held_since = now
        if now - step_run.held_since < HOLD_SECONDS:
            self._shared_cpu += needed_cpu
            self._shared_for = self._shared_for or rank
            if self.shares.is_modest(step_run.job.spec.tenant):
                self._shared_for_modest = True

    def is_held_from(self, rank: StepRank) -> bool:
        """Return whether all room is held for steps in more urgent need."""
        first = self._held_for
        if first is None:
            return False
        if first.timeliness < rank.timeliness:
            return self._held_cpu >= self._sum_free_cpu()
        first = self._shared_for
        if first is None or rank.standing <= first.standing:
            return False
        # Between workspaces that all want more than their shares, an idle moment
        # costs more jobs in time than a start out of turn.
        gives_way = self._shared_for_modest or rank.timeliness >= Timeliness.LATE
        return gives_way and self._shared_cpu >= self._sum_free_cpu()

    def _sum_free_cpu(self) -> int:
        """Return the free cpu of all executors that are not in quarantine."""
        if self._total_free_cpu is None:
            self._total_free_cpu = sum(
                executor.free_cpu() for executor in self.executors
            )
        return self._total_free_cpu

    def measure_free(self) -> tuple[int, int, int]:
        """Return the free cpu, memory and accelerators."""
        cpu_millis = memory_mb = accelerators = 0
        for executor in self._offered:
            capacity = executor.entry.capacity
            used = executor.used
            cpu_millis += max(0, capacity.cpu_millis - used.cpu_millis)
            memory_mb += max(0, capacity.memory_mb - used.memory_mb)
            accelerators += max(0, capacity.accelerators - used.accelerators)
        return cpu_millis, memory_mb, accelerators

    def find_standing(self, step_run: StepRun, rank: StepRank) -> Standing:
        """Return how a step stands to its workspace's share at this moment."""
        if self.shares is None:
            return Standing.BELOW
        return self.shares.find_standing(step_run, rank)

    def is_deferred(self, step_run: StepRun, rank: StepRank) -> bool:
        """Return whether its workspace has come to exceed its share."""
        return self.find_standing(step_run, rank) > rank.standing

    def add_placed(self, step_run: StepRun) -> None:
        """Count a placed subtask against its workspace's share."""
        if self.shares is not None:
            size = get_reservation(step_run.step)
            self.shares.add_placed(step_run.job.spec.tenant, size)

    def find_last_resort(self, subtask: Subtask, now: float) -> list[Executor]:
        """Return the quarantined executors if the subtask may use them now."""
        if self.executors and not subtask.step.lasting:
            return []
        waits_since = max(subtask.not_before, subtask.step_run.unlocked_at)
        overdue = now - waits_since >= QUARANTINE_WAIT_SECONDS
        return self.quarantined if overdue else []

    def may_fit(self, step: Step) -> bool:
        """Return whether an executor may have the cpu for a subtask."""
        if step.fills or step.lasting or not self.executors:
            return True
        return step.size.cpu_millis <= self._measure_free_cpu()

    def forget_free_cpu(self) -> None:
        """Measure the free cpu again, after subtasks were placed."""
        self._largest_free_cpu = None
        self._total_free_cpu = None


def count_needed_cpu(step_run: StepRun) -> int:
    """Return the thousandths of a core that the waiting subtasks need."""
    return len(step_run.waiting) * max(1, step_run.step.size.cpu_millis)


def count_announceable_cpu(executors: Iterable[Executor]) -> float:
    """Return the thousandths of a core for which to announce steps."""
    return sum(
        executor.free_cpu()
        + executor.entry.capacity.cpu_millis * ANNOUNCE_AHEAD_FRACTION
        for executor in executors
    )


def order_by_shares(
    order: Iterable[tuple[StepRank, StepRun, PoolRoom]],
) -> Iterator[tuple[StepRank, StepRun, PoolRoom]]:
    """Yield the steps with their present standing, in the order of their ranks.

    ``order`` is sorted by ranks without standing. While the caller places
    subtasks, their workspace may come to exceed its share; the rest of the step
    then comes again later.
    """
    for _, group in groupby(order, key=_find_class):
        queues: dict[Standing, list[tuple[StepRank, StepRun, PoolRoom]]]
        queues = {standing: [] for standing in Standing}
        queues[Standing.BELOW].extend(group)
        for standing, steps in queues.items():
            if standing is Standing.LATE_ABOVE:
                # Steps that were LATE_BELOW have joined those that came first.
                steps.sort(key=itemgetter(0))
            for rank, step_run, room in steps:
                present = room.find_standing(step_run, rank)
                if present <= standing:
                    waiting = len(step_run.waiting)
                    yield add_standing(rank, standing), step_run, room
                    if len(step_run.waiting) in (0, waiting):
                        continue
                    present = room.find_standing(step_run, rank)
                if present > standing:
                    # Its list is read after this one, in a later turn of the loop.
                    queues[present].append((rank, step_run, room))


def add_standing(rank: StepRank, standing: Standing) -> StepRank:
    """Return a rank with a standing."""
    if standing is Standing.BELOW:
        return rank
    # A third of the time of _replace, in a loop over all waiting steps.
    return StepRank(*rank[:3], standing, *rank[4:])


def _find_class(item: tuple[StepRank, StepRun, PoolRoom]) -> tuple[bool, bool, int]:
    rank, _, _ = item
    return rank.short_lived, rank.worthless, rank.priority
