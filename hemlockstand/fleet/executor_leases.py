"""The leases that one executor may hold, over its lifetimes.

A lease ends at a time of the executor's clock. An executor that starts again under
its id takes calls that were sent to the lifetime before, as no call names the
lifetime that it is meant for. Its clock starts anew, so a lease by the earlier
clock may end far ahead of it, and last as long as any lease may. Until an answer
shows which lifetime has taken a call, both cases count.
"""

from collections.abc import Callable
from enum import Enum, auto

from attrs import define, frozen

MIN_CLOCK_RATE = 0.98  # an executor's clock may run up to 2% slow
MAX_CLOCK_RATE = 1.02  # and this process's own up to 1%
_NEVER = float("-inf")


class Lifetime(Enum):
    """Which lifetime has answered a call, by the clock in its answer."""

    SAME = auto()
    LATER = auto()
    UNKNOWN = auto()


@frozen
class ClockReading:
    """The executor's clock in an answer, in ms, with the times of the call."""

    clock_ms: int
    sent_at: float
    received_at: float


@define(eq=False)
class ExecutorLeases:
    """Grants leases, and knows when they have certainly expired.

    All times but ``clock_ms`` are seconds of ``clock``. ``own_end`` is the end of
    the leases by the clock of the lifetime that has taken them, ``earlier_end``
    that of the leases which the present lifetime may have taken by the clock of
    an earlier one, and ``later_end`` that of the leases which a lifetime that is
    not known yet may have taken.
    """

    clock: Callable[[], float]
    own_end: float = _NEVER
    earlier_end: float = _NEVER
    later_end: float = _NEVER
    _reading: ClockReading | None = None

    @property
    def can_grant(self) -> bool:
        """Whether the clock of the present lifetime is known."""
        return self._reading is not None

    def find_end(self, confirmed: bool) -> float:
        """Return when a run has ended if it gets no further lease.

        ``confirmed`` tells whether it is in the lifetime that is known.
        """
        end = max(self.own_end, self.earlier_end)
        return end if confirmed else max(end, self.later_end)

    def grant(self, until: float, call_seconds: float, longest_seconds: float) -> int:
        """Return the end of a lease on the executor's clock.

        The executor's clock is assumed to run as slow as it may. The call that
        grants the lease may be under way for ``call_seconds``, and no lease lasts
        longer than ``longest_seconds``.
        """
        assert self._reading is not None
        self.own_end = max(self.own_end, until)
        latest = self.clock() + call_seconds + longest_seconds
        self.later_end = max(self.later_end, latest)
        ahead = (until - self._reading.received_at) * 1000 * MIN_CLOCK_RATE
        return self._reading.clock_ms + int(ahead)

    def set_clock(self, clock_ms: int, sent_at: float) -> None:
        """Store the clock in an answer that names the present lifetime."""
        self._reading = ClockReading(clock_ms, sent_at, self.clock())

    def check_clock(self, clock_ms: int | None, sent_at: float) -> Lifetime:
        """Return which lifetime has given the clock in an answer.

        The same one has gone on from the last known reading. The clock of a later
        one starts anew, at any value: only if that is about 0 and the lifetime is
        as old as the known one may it show the same.
        """
        known = self._reading
        if clock_ms is None or known is None or sent_at < known.received_at:
            return Lifetime.UNKNOWN
        least_ms = (sent_at - known.received_at) * 1000 * MIN_CLOCK_RATE
        most_ms = (self.clock() - known.sent_at) * 1000
        passed_ms = clock_ms - known.clock_ms  # both are rounded down
        if not least_ms - 1 < passed_ms < most_ms * MAX_CLOCK_RATE + 1:
            return Lifetime.LATER
        if clock_ms <= most_ms:
            return Lifetime.UNKNOWN
        self.set_clock(clock_ms, sent_at)
        return Lifetime.SAME

    def forget_clock(self) -> None:
        """Grant no more leases until the clock is known again."""
        self._reading = None

    def start_lifetime(self) -> None:
        """Expect the present lifetime to have taken any lease granted so far."""
        self.expect_earlier(self.later_end)
        self.forget_clock()

    def expect_earlier(self, end: float) -> None:
        """Expect leases by the clock of an earlier lifetime up to a time."""
        self.earlier_end = max(self.earlier_end, end)
