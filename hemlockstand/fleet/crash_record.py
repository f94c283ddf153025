"""The runs that an executor had when it stopped answering."""

from collections.abc import Iterable

from attrs import define, field

from hemlockstand.fleet.work import Subtask


@define(eq=False)
class CrashRecord:
    """Subtasks to report if an executor turns out to have crashed.

    A cut and a crash look alike until the next lifetime shows itself, by which
    time the runs may have been lost with an expired lease. ``_lapsed`` holds
    these with the times of their orders, ``_reported`` the subtasks of the
    crash that were reported already.
    """

    _lapsed: list[tuple[Subtask, float]] = field(factory=list)
    _reported: set[Subtask] = field(factory=set)

    def add_lapsed(self, executor: str, subtasks: Iterable[Subtask]) -> None:
        """Add subtasks whose runs are lost with an expired lease."""
        self._lapsed.extend(list_orders(executor, subtasks))

    def collect(
        self, executor: str, subtasks: Iterable[Subtask]
    ) -> list[tuple[Subtask, float]]:
        """Return the subtasks to report, with the times of their orders.

        ``subtasks`` are those that the executor has by now. Each is returned
        once until ``clear`` is called.
        """
        orders = [
            (subtask, ordered_at)
            for subtask, ordered_at in [
                *self._lapsed,
                *list_orders(executor, subtasks),
            ]
            if subtask not in self._reported
        ]
        self._lapsed.clear()
        self._reported.update(subtask for subtask, _ in orders)
        return orders

    def clear(self) -> None:
        """Forget everything, since the executor answers again."""
        self._lapsed.clear()
        self._reported.clear()


def list_orders(
    executor: str, subtasks: Iterable[Subtask]
) -> list[tuple[Subtask, float]]:
    """Return the subtasks whose orders have reached the executor."""
    return [
        (subtask, run.ordered_at)
        for subtask in subtasks
        if (run := subtask.find_run(executor)) is not None
        and (run.answered_at is not None or run.connection_lost)
    ]
