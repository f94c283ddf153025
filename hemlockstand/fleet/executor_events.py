"""What an executor's task tells the scheduler, and asks it."""

from typing import TYPE_CHECKING, Protocol

from hemlockstand.fleet.model import EndEntry, HoldAnswer
from hemlockstand.fleet.work import Subtask

if TYPE_CHECKING:
    from hemlockstand.fleet.executors import Executor


class ExecutorEvents(Protocol):
    """Callbacks of an executor's task to the scheduler; none blocks."""

    def handle_end(
        self, executor: "Executor", subtask: Subtask | None, end: EndEntry
    ) -> None:
        """Handle the end of a run that the executor lists."""

    def handle_lost_run(
        self, executor: "Executor", subtask: Subtask, reason: str
    ) -> None:
        """Handle a run that is over without an end in the executor's list."""

    def handle_crash(
        self, executor: "Executor", lost_runs: list[tuple[Subtask, float]], proven: bool
    ) -> None:
        """Handle a crash before its runs are reported as lost.

        ``lost_runs`` holds the subtasks with the ages of their runs in seconds.
        Unless it is ``proven``, the executor may have been cut off.
        """

    def settle_crash(self, executor: "Executor", born_ms: int | None) -> None:
        """Handle the lifetime that answers after a crash that was not proven.

        ``born_ms`` is 0 if it is not known, and None if another executor answers.
        """

    def may_have_crashed(self, executor: "Executor") -> bool:
        """Return whether a crash of an executor is neither proven nor withdrawn."""

    def handle_running(self, executor: "Executor", answer: HoldAnswer) -> None:
        """Handle unknown runs and the progress in an executor's answer."""

    def may_order(self) -> bool:
        """Return whether the scheduler's lease is valid."""

    def grant_end(self) -> float:
        """Return the end of a lease granted now, in the scheduler's clock."""

    def longest_lease_seconds(self) -> float:
        """Return the longest time for which an executor keeps any lease."""

    def previous_longest_end(self) -> float:
        """Return the latest end of any leases given by a previous scheduler."""

    def handle_restart(self, executor: "Executor", leases_end: float) -> None:
        """Handle a new lifetime, which may have leases of earlier ones until then."""

    def last_grant_end(self) -> float:
        """Return the latest end that a lease may have."""

    def previous_stops_end(self) -> float:
        """Return the latest end of the runs that a previous scheduler stopped."""
