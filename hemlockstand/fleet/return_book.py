"""What a frontend has told callers to come back, and what it has admitted.

The book is in memory alone. A frontend that ends forgets it, and a caller that
comes back to another frontend is a newcomer there.
"""

from collections import deque
from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from itertools import count, takewhile
from math import ceil

from attrs import define, field, frozen

from hemlockstand.fleet.load_view import ARRIVAL_SECONDS
from hemlockstand.fleet.policy.admission import Postponed

# No caller is told a longer time: the load in ten minutes is not known.
MAX_RETURN_SECONDS = 600
MAX_TOLD = 10_000  # callers to remember; 2.5 MB
# Removed callers that the heap may hold, beside as many as the book has left:
# rebuilding it costs as much as the pushes since the last time.
MAX_REMOVED = 100
MAX_ADMITTED = 10_000  # jobs to remember, of the last seconds
# A caller may be late by this time and is still let in without a new check.
KEEP_SECONDS = 30.0
# Times are told in whole seconds, which timers of callers do not hit exactly.
EARLY_SECONDS = 0.25
# The admitted work counts until it is certainly in a view that is still recent.
ADMITTED_SECONDS = ARRIVAL_SECONDS + 3.0
# A caller whose submission got no clear answer tries again within this time.
UNSURE_SECONDS = 120.0
MAX_UNSURE = 10_000
# The part of all arrivals that this frontend sees is measured while all together
# accept as many jobs in the window; of fewer, it would be a matter of chance.
MIN_SHARE_JOBS = 8
# What a frontend counts beside its own jobs, so that one without any still has a
# part. More would add up to too much over many frontends.
PRIOR_JOBS = 0.25
NEW_PART = 0.3  # of a new measurement of that part in the average
MAX_FRONTENDS = 64  # the factor between one frontend's work and that of all

# A pool, and the priority and the tenant of jobs there.
Line = tuple[str, int, str]


@frozen
class Told:
    """A caller that is to come back; ``work`` is in core-seconds."""

    line: Line
    work: float
    due_at: float


@frozen
class AdmittedWork:
    """Work of a job that was let in at a time."""

    at: float
    line: Line
    work: float


@frozen
class Factor:
    """The work of all frontends as a multiple of one's, by the view of a time.

    It is ``measured`` if it rests on enough jobs of that one. ``last_measured`` is
    the last value that was, or 1 if none has been.
    """

    made_ms: int
    value: float
    measured: bool
    last_measured: float = 1.0


@define(eq=False)
class ReturnBook:
    """The callers that are to come back, by the ids of their jobs.

    By line, ``_outstanding`` holds the work of those whose time has not passed,
    ``_latest`` the latest time told, and ``_next_turn`` when there is room for the
    next caller, in fractions of seconds. ``_heap`` holds the next time at which
    something changes for a job.
    """

    _told: dict[str, Told] = field(factory=dict)
    _outstanding: dict[Line, float] = field(factory=dict)
    _latest: dict[Line, float] = field(factory=dict)
    _next_turn: dict[Line, float] = field(factory=dict)
    _heap: list[tuple[float, int, str, Told, bool]] = field(factory=list)
    _entries: Iterator[int] = field(factory=count)
    _admitted: deque[AdmittedWork] = field(factory=lambda: deque(maxlen=MAX_ADMITTED))
    _unsure: dict[str, float] = field(factory=dict)
    _factors: dict[str, Factor] = field(factory=dict)

    def advance(self, now: float) -> None:
        """Forget what has passed."""
        while self._heap and self._heap[0][0] <= now:
            _, _, job, told, was_due = heappop(self._heap)
            if self._told.get(job) is not told:
                continue
            if was_due:
                del self._told[job]
                continue
            self._subtract(told)
            self._push(told.due_at + KEEP_SECONDS, job, told, True)
        while self._admitted and self._admitted[0].at < now - ADMITTED_SECONDS:
            self._admitted.popleft()
        for times in (self._latest, self._next_turn):
            for line in [line for line, at in times.items() if at <= now]:
                del times[line]

    def _push(self, at: float, job: str, told: Told, was_due: bool) -> None:
        # The counter decides between entries of the same time.
        heappush(self._heap, (at, next(self._entries), job, told, was_due))

    def _subtract(self, told: Told) -> None:
        left = self._outstanding.get(told.line, 0.0) - told.work
        if left > 1e-6:
            self._outstanding[told.line] = left
        else:
            self._outstanding.pop(told.line, None)

    def find_due(self, job: str) -> float | None:
        """Return when the caller of a job was told to come back, if it was."""
        told = self._told.get(job)
        return None if told is None else told.due_at

    def tell(
        self, job: str, line: Line, work: float, now: float, decision: Postponed
    ) -> int:
        """Note a caller, and return the seconds after which it is to come back.

        Each caller of a line has its turn after the last one, and none comes
        back before one that was told earlier.
        """
        turn_at = max(self._next_turn.get(line, 0.0), now + decision.seconds)
        self._next_turn[line] = turn_at + decision.turn_seconds
        earliest = max(turn_at, self._latest.get(line, 0.0))
        seconds = min(MAX_RETURN_SECONDS, max(1, ceil(earliest - now)))
        due_at = now + seconds
        self._latest[line] = due_at
        if len(self._told) < MAX_TOLD:
            told = Told(line, work, due_at)
            self._told[job] = told
            self._outstanding[line] = self._outstanding.get(line, 0.0) + work
            self._push(due_at, job, told, False)
        return seconds

    def remove(self, job: str, now: float) -> None:
        """Forget a caller that has come back, or whose job is stored already."""
        told = self._told.pop(job, None)
        if told is not None and told.due_at > now:
            self._subtract(told)
        if len(self._heap) > 2 * len(self._told) + MAX_REMOVED:
            self._heap = [
                item for item in self._heap if self._told.get(item[2]) is item[3]
            ]
            heapify(self._heap)

    def is_behind(self, line: Line, now: float) -> bool:
        """Return whether callers of a line are still to come back."""
        return self._latest.get(line, now) > now

    def list_outstanding(self) -> Iterator[tuple[Line, float]]:
        """Yield the work of those who are still to come back, by line."""
        yield from self._outstanding.items()

    def add_admitted(self, line: Line, work: float, now: float) -> None:
        """Note the work of a job that was let in."""
        self._admitted.append(AdmittedWork(now, line, work))

    def list_admitted(self, pool: str, since: float) -> Iterator[AdmittedWork]:
        """Yield what was let in into a pool since a time."""
        recent = takewhile(lambda item: item.at >= since, reversed(self._admitted))
        return (item for item in recent if item.line[0] == pool)

    def find_factor(
        self, pool: str, arrived: float, made_ms: int, made_at: float, work: float
    ) -> Factor:
        """Return the work of all frontends in a pool as a multiple of this one's.

        ``arrived`` is the work accepted by all within the window before the view
        was made, at ``made_at`` on this daemon's clock. If it is less than that of
        some jobs of ``work`` each, the last factor holds; it is 1 before the first.
        """
        known = self._factors.get(pool, Factor(0, 1.0, False))
        if known.made_ms == made_ms or not 0 < MIN_SHARE_JOBS * work <= arrived:
            return known
        own = [
            item.work
            for item in self.list_admitted(pool, made_at - ARRIVAL_SECONDS)
            if item.at < made_at
        ]
        part = (sum(own) + PRIOR_JOBS * work) / (arrived + PRIOR_JOBS * work)
        if known.made_ms:
            part = 1 / known.value + (part - 1 / known.value) * NEW_PART
        value = min(MAX_FRONTENDS, max(1.0, 1 / part))
        measured = len(own) >= MIN_SHARE_JOBS
        last_measured = value if measured else known.last_measured
        factor = Factor(made_ms, value, measured, last_measured)
        self._factors[pool] = factor
        return factor

    def add_unsure(self, job: str, now: float) -> None:
        """Note a job of which it is not known whether it is stored."""
        while self._unsure and (
            len(self._unsure) >= MAX_UNSURE
            or next(iter(self._unsure.values())) < now - UNSURE_SECONDS
        ):
            del self._unsure[next(iter(self._unsure))]
        self._unsure.pop(job, None)
        self._unsure[job] = now

    def is_unsure(self, job: str, now: float) -> bool:
        """Return whether a write of the job may still be applied."""
        return now - self._unsure.get(job, float("-inf")) <= UNSURE_SECONDS
