"""Crashes of executors that refused connections suggest, until they are settled.

A refused connection looks alike whether the executor has ended or a network device
answers in its place. What the executor's side says next settles it: its earlier
lifetime goes on after a cut, and a later lifetime or another executor at the address
proves a crash. Until then the crash counts for where its subtasks are started, but
none is given up for it. It is stored with the subtasks, as the scheduler may be
replaced meanwhile.
"""

from collections.abc import Iterator

from attrs import define, field

from hemlockstand.fleet.work import Subtask

# An executor that has crashed is back some seconds later. For one that is not, the
# crash stays unproven.
UNSETTLED_SECONDS = 30.0


@define(eq=False)
class SuspectedCrash:
    """The subtasks that may have crashed an executor, from a time of the clock on."""

    since: float
    subtasks: set[Subtask] = field(factory=set)


@define(eq=False)
class SuspectedCrashes:
    """The suspected crashes by executor; at most one is unsettled for each."""

    _crashes: dict[str, SuspectedCrash] = field(factory=dict)

    def __contains__(self, executor: str) -> bool:
        """Return whether it is not settled if an executor has crashed."""
        return executor in self._crashes

    def add(self, executor: str, subtask: Subtask, now: float) -> None:
        """Add a subtask under which an executor may have crashed."""
        crash = self._crashes.setdefault(executor, SuspectedCrash(now))
        crash.subtasks.add(subtask)

    def take(self, executor: str) -> set[Subtask]:
        """Remove the crash of an executor; return its subtasks."""
        crash = self._crashes.pop(executor, None)
        return set() if crash is None else crash.subtasks

    def discard(self, subtask: Subtask) -> None:
        """Remove a subtask that has turned out harmless."""
        for executor in subtask.suspected:
            if crash := self._crashes.get(executor):
                crash.subtasks.discard(subtask)
                if not crash.subtasks:
                    del self._crashes[executor]

    def find_expired(self, now: float) -> Iterator[str]:
        """Yield the executors that have stayed away for too long."""
        for executor, crash in list(self._crashes.items()):
            if now - crash.since > UNSETTLED_SECONDS:
                yield executor
