"""Room of a pool during a round of placement.

Load pattern: a queue's peak, in which hundreds of steps wait while every
executor is full. Rounds follow each other within milliseconds, so a round must
not look at every executor for every step that cannot start.
"""

from collections.abc import Iterable

from attrs import define, field

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.model import Step
from hemlockstand.fleet.policy.waiting import StepRank
from hemlockstand.fleet.work import StepRun, Subtask

# Part of a pool's capacity for which steps are announced ahead of their start,
# so that free capacity need not wait for the store.
ANNOUNCE_AHEAD_FRACTION = 0.25
# Wait for an executor that is not in quarantine. Lasting work must be at work
# again within seconds of its end, a quarantine may last longer.
QUARANTINE_WAIT_SECONDS = 1.0


@define(eq=False)
class PoolRoom:
    """Free room of a pool, for steps in the order of their rank.

    ``quarantined`` holds the executors on which runs have failed in a row.
    They are the last resort of lasting work, which fails by itself as well,
    and of a pool that has no others.
    """

    executors: list[Executor]
    quarantined: list[Executor] = field(factory=list)
    _offered: list[Executor] = field(init=False)
    _announceable_cpu: float = field(init=False)
    _largest_cpu: int = field(init=False)
    _held_cpu: int = 0
    _held_for: StepRank | None = None
    _largest_free_cpu: int | None = None

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

    def hold(self, rank: StepRank, step_run: StepRun) -> None:
        """Hold room for a step whose announcement is being stored.

        The store takes milliseconds, and a late step would take the room for
        the time of a subtask.
        """
        self._held_cpu += count_needed_cpu(step_run)
        self._held_for = self._held_for or rank

    def is_held_from(self, rank: StepRank) -> bool:
        """Return whether all room is held for steps in more urgent need."""
        first = self._held_for
        if first is None or first.timeliness >= rank.timeliness:
            return False
        free = sum(executor.free_cpu() for executor in self.executors)
        return self._held_cpu >= free

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
