"""Whether a run of a subtask is so slow that a second one should start.

Load pattern: a few runs in a hundred take several times as long as comparable
ones, for reasons of their own, and a job is as late as its slowest subtask. A
second run on another executor takes as long as a usual one. It is worth its
room only where nobody else needs it, and where others show that the first run
is slow::

    >>> runs = Comparison((1.0, 1.1, 1.0), ExpectedDuration(0.0, 0.0, 0.0, 0))
    >>> find_slow_bound(runs, slow_factor=2.0)
    SlowBound(seconds=2.0, median_seconds=1.0, runs=3)
"""

from collections.abc import Collection, Iterable, Sequence
from statistics import median

from attrs import frozen

from hemlockstand.fleet.durations import ExpectedDuration
from hemlockstand.fleet.model import Resources, Step

# Finished subtasks of the same step that tell how long one of them takes. They
# are alike, so a few suffice; of three, one slow one leaves the median usual.
MIN_STEP_RUNS = 3
# Finished runs that tell it for other steps of a queue, which are less alike.
MIN_QUEUE_RUNS = 20
# A run younger than this gets no copy, in seconds: an order, and the polls that
# tell its end, take a tenth of a second together.
MIN_SLOW_SECONDS = 0.3
# Copies of a subtask in a scheduler's term. One that is slow with each of them
# has more to do than others.
MAX_COPIES = 2
# Of the copies of a queue that were in a race to its end, the last ones judge
# whether more are worth it. If fewer than this part won, what makes its runs slow
# is in the subtasks, and one copy at intervals, in seconds, tells when that changes.
MIN_RACES = 10
MIN_WON_FRACTION = 0.2
PROBE_SECONDS = 10.0
# Part by which what a workspace has running may exceed its maximum. A new
# scheduler does not know which subtasks had copies, and those on executors that
# do not answer go on beside what it starts.
MAXIMUM_TOLERANCE = 0.1
# A run whose start tells nothing yet is looked at again after this part of its
# age, and at least this many seconds.
RECHECK_FRACTION = 0.25
RECHECK_SECONDS = 0.25


@frozen
class Comparison:
    """What is known of runs like one: of its step, and of its queue.

    ``step_seconds`` holds the times of finished subtasks of the step.
    """

    step_seconds: Sequence[float]
    expected: ExpectedDuration


@frozen
class SlowBound:
    """Age from which a run counts as slow, and what that rests on."""

    seconds: float
    median_seconds: float
    runs: int


@frozen
class RunView:
    """A run without a copy.

    ``remaining_seconds`` is what its progress predicts, or None if that is not
    known. ``failures_left`` is how often the subtask may fail before its job
    fails. ``seconds_left`` is the time in which the job is worth something.
    """

    age_seconds: float
    remaining_seconds: float | None
    failures_left: int
    crashes: int
    copies: int
    seconds_left: float


@frozen
class Slow:
    """The run is slow, and a copy is likely to end before it."""

    bound: SlowBound


@frozen
class CheckLater:
    """Look at the run again after a time."""

    seconds: float


@frozen
class NoCopy:
    """The run gets no copy."""


Verdict = Slow | CheckLater | NoCopy


def may_have_copies(step: Step) -> bool:
    """Return whether subtasks of a step may have two runs.

    Gangs and lasting work run once by their nature. The time of work that uses
    spare cpu tells nothing, since its pace is changed. Budgets of what may be
    unavailable, and targets of response times, are kept for one run each.
    """
    return step.speculative and not (
        step.lasting
        or step.gang
        or step.fills
        or step.max_unavailable
        or step.target_ms
    )


def find_slow_bound(runs: Comparison, slow_factor: float) -> SlowBound | None:
    """Return the age from which a run is slow, if enough is known.

    It is the 90th percentile of what the queue's runs take, so that few usual
    ones are copied, but at least ``slow_factor`` times the median. The median
    of the step's own subtasks takes precedence.
    """
    own = sorted(runs.step_seconds)
    expected = runs.expected
    knows_queue = expected.runs >= MIN_QUEUE_RUNS
    if len(own) >= MIN_STEP_RUNS:
        usual, count = median(own), len(own)
        high = expected.p90_seconds if knows_queue else pick_percentile(own, 90)
    elif knows_queue:
        usual, count = expected.median_seconds, expected.runs
        high = expected.p90_seconds
    else:
        return None
    seconds = max(high, slow_factor * usual, MIN_SLOW_SECONDS)
    return SlowBound(seconds, usual, count)


def pick_percentile(ordered: Sequence[float], percent: int) -> float:
    """Return the element below or at a percentile of an ascending sequence."""
    return ordered[(len(ordered) - 1) * percent // 100]


def judge_run(view: RunView, bound: SlowBound | None) -> Verdict:
    """Return whether a run gets a copy if there is room for one.

    A copy that fails must not fail the job of a run that goes on, and one of a
    subtask under which an executor has crashed could take another executor.
    """
    if view.failures_left <= 1 or view.copies >= MAX_COPIES:
        return NoCopy()
    again = CheckLater(max(RECHECK_SECONDS, view.age_seconds * RECHECK_FRACTION))
    if bound is None or view.crashes:
        return again
    if view.age_seconds < bound.seconds:
        return CheckLater(bound.seconds - view.age_seconds)
    if bound.median_seconds > view.seconds_left:
        return NoCopy()
    remaining = view.remaining_seconds
    if remaining is not None and remaining <= bound.median_seconds:
        return again
    return Slow(bound)


def are_useful(races: Collection[bool]) -> bool:
    """Return whether copies are worth it by which of the last ones have won."""
    return len(races) < MIN_RACES or sum(races) >= MIN_WON_FRACTION * len(races)


@frozen
class CopyUse:
    """Cpu in thousandths of a core: of copies, and of what bounds them."""

    copies: int
    total: int

    def add(self, copies: int, total: int) -> "CopyUse":
        """Return the use with more copies, and more of what bounds them."""
        return CopyUse(self.copies + copies, self.total + total)

    def is_below(self, fraction: float) -> bool:
        """Return whether one more copy may start.

        The last one may exceed the fraction, or small workspaces would have none.
        """
        return self.copies < fraction * self.total


def keeps_tolerance(copies: Resources, maximum: Resources) -> bool:
    """Return whether copies fit into the tolerance of a workspace's maximum."""
    part = MAXIMUM_TOLERANCE
    return (
        (not maximum.cpu_millis or copies.cpu_millis <= part * maximum.cpu_millis)
        and (not maximum.memory_mb or copies.memory_mb <= part * maximum.memory_mb)
        and (
            not maximum.accelerators
            or copies.accelerators <= part * maximum.accelerators
        )
    )


@frozen
class WaitingWork:
    """Subtasks of one size that wait for an executor with a label, if any."""

    tenant: str
    label: str
    size: Resources


def is_wanted(
    capacity: Resources,
    labels: Sequence[str],
    waiting: Iterable[WaitingWork],
) -> bool:
    """Return whether waiting work could use an executor's room."""
    return any(
        (not work.label or work.label in labels) and work.size.fits(capacity)
        for work in waiting
    )
