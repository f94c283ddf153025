"""Subtasks suspected of crashing the executors that start them.

Load pattern: a subtask crashes each executor that starts it. The runs beside
it are lost with it, wait together, are packed together again and lose the next
executor together, so that one subtask takes a pool away. A crash alone does
not tell which of the runs caused it. Subtasks under which an executor crashed
are therefore spread over executors, those under which two did are started
apart from each other, and one that is left as the cause is given up. A refused
connection looks like a crash, and counts as one for where a subtask is started;
for giving it up, only crashes count that a later lifetime has proven::

    >>> runs = [CrashedRun(subtask=None, age_seconds=0.01, crashes=2)]
    >>> [verdict.gives_up for verdict in judge_crash(runs)]
    [True]
"""

from collections.abc import Iterable, Iterator

from attrs import frozen

from hemlockstand.fleet.work import Subtask

# A run that was ordered within this time before the crash is more likely its
# cause than one that had been at work for longer.
RECENT_SECONDS = 0.5
# A subtask that has been at work for this long does not crash its executor.
CLEARED_SECONDS = 5.0
# Crashes after which a subtask is started apart from other suspects.
ISOLATED_CRASHES = 2
# Crashes after which a subtask is given up. Two may hit a sound one by chance.
GIVEN_UP_CRASHES = 3
# While this many crashes count and some are not proven, a subtask is not started.
# The platform permits two starts after the crashes that give it up.
HELD_BACK_CRASHES = GIVEN_UP_CRASHES + 2
# Time in which nothing else is started beside an isolated subtask.
ISOLATION_SECONDS = RECENT_SECONDS


@frozen
class CrashedRun:
    """A run that an executor had when it crashed.

    ``age_seconds`` is the time from its order to the crash, ``crashes`` the
    number of executors that have certainly crashed under its subtask before.
    """

    subtask: Subtask
    age_seconds: float
    crashes: int

    @property
    def recent(self) -> bool:
        """Whether the run had only just started."""
        return self.age_seconds <= RECENT_SECONDS


@frozen
class CrashVerdict:
    """A subtask that may have caused a crash, and whether to give it up."""

    subtask: Subtask
    gives_up: bool


def judge_crash(runs: Iterable[CrashedRun]) -> Iterator[CrashVerdict]:
    """Yield a verdict on each subtask that may have crashed an executor.

    These are the ones that had just started, or all if none had.
    """
    lost_runs = list(runs)
    recent = [run for run in lost_runs if run.recent]
    for run in recent or lost_runs:
        yield CrashVerdict(run.subtask, run.crashes + 1 >= GIVEN_UP_CRASHES)


def judge_counted_crash(subtask: Subtask) -> CrashVerdict:
    """Return the verdict on a subtask whose last crash was counted unproven."""
    return CrashVerdict(subtask, subtask.proven_crashes >= GIVEN_UP_CRASHES)


def is_given_up(subtask: Subtask) -> bool:
    """Return whether a subtask that lasts is not started any more."""
    return subtask.step.lasting and subtask.proven_crashes >= GIVEN_UP_CRASHES


def is_held_back(subtask: Subtask) -> bool:
    """Return whether a subtask waits until it is known which executors crashed."""
    return bool(subtask.suspected) and subtask.crashes >= HELD_BACK_CRASHES


def is_suspect(subtask: Subtask) -> bool:
    """Return whether an executor has crashed under a subtask, or may have."""
    return subtask.crashes > 0


def is_isolated(subtask: Subtask) -> bool:
    """Return whether a subtask is started apart from other suspects."""
    return subtask.crashes >= ISOLATED_CRASHES


def is_cleared(subtask: Subtask, now: float) -> bool:
    """Return whether the present run shows that a suspect is not the cause."""
    run = subtask.run
    if not subtask.crashes or run is None or run.answered_at is None:
        return False
    return now - run.answered_at >= CLEARED_SECONDS
