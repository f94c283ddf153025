"""How late a process gets the processor.

A daemon on a machine that has become slow still renews its leases, so nobody
replaces it, but all it does comes late. It finds out by itself: timers of its
own event loop fire late::

    >>> lag = LoopLag()
    >>> for late_seconds in (0.001, 0.5, 0.001):
    ...     lag.add_sample(late_seconds)
    >>> lag.slow
    False
    >>> for late_seconds in (0.15, 0.12, 0.15):
    ...     lag.add_sample(late_seconds)
    >>> lag.slow
    True
"""

import trio
from attrs import define

TICK_SECONDS = 0.1
# A busy scheduler on a sound machine is 0.005 s late on average, on one that
# is six times slower 0.1 s.
SLOW_SECONDS = 0.05
# A single pause of the process, however long, counts as this much.
LONGEST_SECONDS = 0.2
WEIGHT = 0.2  # of a new sample in the mean


@define(eq=False)
class LoopLag:
    """The mean lateness of a timer over the last second or so."""

    seconds: float = 0.0

    @property
    def slow(self) -> bool:
        """Whether the process is too late for what others wait for."""
        return self.seconds > SLOW_SECONDS

    def add_sample(self, late_seconds: float) -> None:
        """Note how late a timer has fired."""
        sample = min(late_seconds, LONGEST_SECONDS)
        self.seconds += WEIGHT * (sample - self.seconds)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = trio.current_time() + TICK_SECONDS
            await trio.sleep_until(due_at)
            self.add_sample(trio.current_time() - due_at)
