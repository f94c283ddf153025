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
    1.5

Below one the window limits the rate instead: a window of 0.25 allows one
request per four latencies. Many senders can then share a target that has
fewer places than there are senders.
"""

from attrs import define

INITIAL_WINDOW = 1.0  # nine senders that start at 4 fill a target of 8 places
MIN_WINDOW = 1 / 32
MAX_WINDOW = 1024.0
MIN_LATENCY_WINDOW = 1.0  # one request at a time cannot queue behind itself
REFUSAL_FACTOR = 0.75
# Growth per answer. A target with one place refused a third of all requests
# when the window grew by one per round trip; with 0.03 it refuses a tenth.
GROWTH = 0.03
GROWTH_BELOW_ONE = 0.1
RECOVERY_ANSWERS = 4  # answers without a refusal after which growth doubles
LATENCY_FACTOR = 0.9
LATENCY_TOLERANCE = 2.0
LATENCY_SMOOTHING = 0.2
DEVIATION_FRACTION = 0.5
BASELINE_SECONDS = 30.0  # a baseline is forgotten after this, or it only sinks
# The baseline is the smallest mean of so many answers. The smallest single
# answer would make the usual spread of service times look like congestion.
BASELINE_ANSWERS = 8
SETTLED_FRACTION = 0.85
EFFECT_FACTOR = 0.8  # half the window must lower a congested latency this far
DEFAULT_LATENCY = 0.05


@define
class ConcurrencyWindow:
    """Limits the requests under way to one target; all times in seconds."""

    size: float = INITIAL_WINDOW
    in_flight: int = 0
    latency: float = DEFAULT_LATENCY  # mean of the latest answers
    deviation: float = 0.0  # mean distance of the latest answers from it
    baseline: float = float("inf")
    answered_at: float = float("-inf")
    answers: int = 0
    _group_seconds: float = 0.0
    _next_baseline: float = float("inf")
    _baseline_until: float = 0.0
    _fixed_until: float = 0.0
    _effect_size: float = 0.0
    _effect_latency: float = 0.0
    _slow_start: bool = True
    _answers_since_refusal: int = 0
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
        return self.in_flight / self.size

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
        self.answers += 1
        # The first answer replaces the assumed latency.
        weight = LATENCY_SMOOTHING if self.answers > 1 else 1.0
        distance = abs(latency - self.latency) if self.answers > 1 else latency / 2
        self.deviation += weight * (distance - self.deviation)
        self.latency += weight * (latency - self.latency)
        self._update_baseline(now, latency)
        # The mean of the latest answers is uncertain by part of the deviation.
        certain = self.latency - DEVIATION_FRACTION * self.deviation
        if certain > LATENCY_TOLERANCE * self.baseline:
            self._reduce(now, LATENCY_FACTOR, MIN_LATENCY_WINDOW)
            self._check_effect(now)
        elif self._was_full:
            self._grow()

    def record_refusal(self, now: float) -> None:
        """End a request that the target refused because it is full."""
        self.in_flight -= 1
        self._answers_since_refusal = 0
        self._reduce(now, REFUSAL_FACTOR, MIN_WINDOW)

    def record_ignored(self) -> None:
        """End a request that says nothing about the target's capacity."""
        self.in_flight -= 1

    def _update_baseline(self, now: float, latency: float) -> None:
        self._group_seconds += latency
        if self.answers <= BASELINE_ANSWERS:
            # Until there is a mean, the smallest answer ends the slow start.
            self.baseline = min(self.baseline, latency)
        if self.answers % BASELINE_ANSWERS:
            return
        mean = self._group_seconds / BASELINE_ANSWERS
        self._group_seconds = 0.0
        if self.answers == BASELINE_ANSWERS or now >= self._baseline_until:
            self.baseline = self._next_baseline
            self._next_baseline = float("inf")
            self._baseline_until = now + BASELINE_SECONDS
        if now >= self._fixed_until:
            self.baseline = min(self.baseline, mean)
        self._next_baseline = min(self._next_baseline, mean)

    def _check_effect(self, now: float) -> None:
        """Take the latency for usual if halving the window does not lower it.

        Mixed service times exceed the smallest mean without any congestion.
        If the target is congested, all of its senders shrink their windows
        and the latency falls.
        """
        if self.size > self._effect_size or self._effect_size == 0.0:
            self._effect_size = self.size
            self._effect_latency = 0.0
        elif self.size > max(self._effect_size / 2, MIN_LATENCY_WINDOW):
            # The latency at the first sign is still rising.
            settled = self.size <= SETTLED_FRACTION * self._effect_size
            if settled and self._effect_latency == 0.0:
                self._effect_latency = self.latency
        else:
            if self.latency > EFFECT_FACTOR * self._effect_latency:
                self.baseline = self.latency
                self._next_baseline = float("inf")
                self._baseline_until = now + BASELINE_SECONDS
                self._fixed_until = now + BASELINE_SECONDS
            self._effect_size = 0.0

    def _grow(self) -> None:
        self._answers_since_refusal += 1
        if self._slow_start:
            step = min(1.0, self.size)
        elif self.size >= 1.0:
            step = min(GROWTH, 1.0 / self.size)
        elif self._answers_since_refusal > RECOVERY_ANSWERS:
            step = self.size
        else:
            step = self.size * GROWTH_BELOW_ONE
        self.size = min(self.size + step, MAX_WINDOW)
        self._was_full = self.in_flight >= int(self.size)

    def _reduce(self, now: float, factor: float, minimum: float) -> None:
        """Shrink at most once per latency: one queue causes many signs."""
        self._slow_start = False
        self._was_full = False
        if now - self._reduced_at < self.latency:
            return
        self._reduced_at = now
        self.size = min(self.size, max(self.size * factor, minimum))
