"""Adaptive concurrency window of one target.

The window is the number of requests that may be under way at once. It grows
while latency stays near the smallest one seen and shrinks when latency rises
or the target refuses, so that no declared capacity is needed. It starts small
and doubles each round trip until the first sign of saturation (slow start)::

    >>> window = ConcurrencyWindow(size=1.0)
    >>> window.acquire(now=0.0)
    >>> window.has_room(now=0.01)
    False
    >>> window.record_answer(now=0.02, latency=0.02)
    >>> window.size
    2.0
    >>> window.acquire(now=0.02)
    >>> window.record_refusal(now=0.03)
    >>> window.size
    1.4

Below one the window limits the rate instead: a window of 0.25 allows one
request per four latencies. Many senders can then share a target that has
fewer places than there are senders.
"""

from attrs import define

INITIAL_WINDOW = 4.0
MIN_WINDOW = 1 / 64
MAX_WINDOW = 1024.0
REFUSAL_FACTOR = 0.7
LATENCY_FACTOR = 0.9
LATENCY_TOLERANCE = 2.0
LATENCY_SMOOTHING = 0.2
BASELINE_SECONDS = 30.0  # a baseline is forgotten after this, or it only sinks
DEFAULT_LATENCY = 0.05


@define
class ConcurrencyWindow:
    """Limits the requests under way to one target; all times in seconds."""

    size: float = INITIAL_WINDOW
    in_flight: int = 0
    latency: float = DEFAULT_LATENCY
    baseline: float = float("inf")
    answered_at: float = float("-inf")
    _next_baseline: float = float("inf")
    _baseline_until: float = 0.0
    _slow_start: bool = True
    _reduced_at: float = float("-inf")
    _started_at: float = float("-inf")
    _was_full: bool = False

    def has_room(self, now: float) -> bool:
        """Return whether another request may start now."""
        if self.size >= 1.0:
            return self.in_flight < int(self.size)
        return self.in_flight == 0 and now >= self.next_start()

    def next_start(self) -> float:
        """Return the earliest next start while the window is below one."""
        if self.size >= 1.0:
            return float("-inf")
        return self._started_at + self.latency / self.size

    def load(self) -> float:
        """Return the used part of the window, for comparison of targets."""
        return (self.in_flight + 1) / self.size

    def acquire(self, now: float) -> None:
        """Count a request as under way."""
        self.in_flight += 1
        self._started_at = now
        if self.in_flight >= int(self.size):
            self._was_full = True

    def record_answer(self, now: float, latency: float) -> None:
        """End a request that the target answered after ``latency``."""
        self.in_flight -= 1
        self.answered_at = now
        self.latency += LATENCY_SMOOTHING * (latency - self.latency)
        self._update_baseline(now, latency)
        if self.latency > LATENCY_TOLERANCE * self.baseline:
            self._reduce(now, LATENCY_FACTOR)
        elif self._was_full:
            self._grow()

    def record_refusal(self, now: float) -> None:
        """End a request that the target refused because it is full."""
        self.in_flight -= 1
        self._reduce(now, REFUSAL_FACTOR)

    def record_nothing(self) -> None:
        """End a request that says nothing about the target's capacity."""
        self.in_flight -= 1

    def _update_baseline(self, now: float, latency: float) -> None:
        if now >= self._baseline_until:
            self.baseline = min(self._next_baseline, latency)
            self._next_baseline = float("inf")
            self._baseline_until = now + BASELINE_SECONDS
        self.baseline = min(self.baseline, latency)
        self._next_baseline = min(self._next_baseline, latency)

    def _grow(self) -> None:
        if self._slow_start or self.size < 1.0:
            self.size = min(self.size + min(1.0, self.size), MAX_WINDOW)
        else:
            self.size = min(self.size + 1.0 / self.size, MAX_WINDOW)
        self._was_full = self.in_flight >= int(self.size)

    def _reduce(self, now: float, factor: float) -> None:
        """Shrink at most once per latency: one queue causes many signs."""
        self._slow_start = False
        self._was_full = False
        if now - self._reduced_at < self.latency:
            return
        self._reduced_at = now
        self.size = max(self.size * factor, MIN_WINDOW)
