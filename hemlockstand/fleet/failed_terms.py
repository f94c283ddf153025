"""The delay of a daemon whose terms as the scheduler end in errors."""

from collections.abc import Callable

from attrs import define

# The lease of a term that ended in an error is left to expire, because the
# outcome of its last transaction may be unknown. By this factor on the lease,
# the first delay is longer than the takeover by another daemon.
FIRST_DELAY_FACTOR = 2.0
MAX_FAILED_DELAY_SECONDS = 60.0
# An error after a term of this length has another cause than the last one.
SOUND_TERM_SECONDS = 60.0


@define
class FailedTerms:
    """Counts the terms in a row that ended in errors.

    After each of them the daemon leaves the lease to others for twice as long
    as after the one before, since another error is likely.
    """

    lease_seconds: float
    clock: Callable[[], float]
    _in_row: int = 0
    _until: float = float("-inf")

    @property
    def delay_seconds(self) -> float:
        """Time for which this daemon still leaves the lease to others."""
        return max(0.0, self._until - self.clock())

    def add(self, began_at: float) -> float:
        """Count a term that ended now; return the delay after it."""
        now = self.clock()
        if now - began_at >= SOUND_TERM_SECONDS:
            self._in_row = 0
        delay = min(
            MAX_FAILED_DELAY_SECONDS,
            FIRST_DELAY_FACTOR * self.lease_seconds * 2**self._in_row,
        )
        if delay < MAX_FAILED_DELAY_SECONDS:
            self._in_row += 1
        self._until = now + delay
        return delay
