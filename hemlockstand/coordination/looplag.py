"""Lateness of the event loop, which shows that a machine is slow.

A daemon on a machine that has become slow still renews its leases, so it is
not replaced, but everything it does is late. It detects this from the timers
of its own event loop, which fire late::

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
# The timers of a busy scheduler are 0.005 s late on average on a healthy
# machine, and 0.1 s on one that is six times slower.
SLOW_SECONDS = 0.05
# A longer lateness counts as this much, so that a single pause of the process
# does not make it slow.
MAX_SAMPLE_SECONDS = 0.2
SAMPLE_WEIGHT = 0.2  # of a new sample in the mean


@define(eq=False)
class LoopLag:
    """The mean lateness of a timer over about the last second."""

    seconds: float = 0.0

    @property
    def slow(self) -> bool:
        """Whether the process is too late for work that others wait for."""
        return self.seconds > SLOW_SECONDS

    def add_sample(self, late_seconds: float) -> None:
        """Record how late a timer has fired."""
        sample = min(late_seconds, MAX_SAMPLE_SECONDS)
        self.seconds += SAMPLE_WEIGHT * (sample - self.seconds)

    async def run(self) -> None:
        """Measure the lateness until cancelled."""
        while True:
            due_at = trio.current_time() + TICK_SECONDS
            await trio.sleep_until(due_at)
            self.add_sample(trio.current_time() - due_at)
