"""Adaptive concurrency window of one target.

The window is the number of requests that may be in flight at once. It grows
while the latency stays near its recent minimum and shrinks when the latency
rises or the target refuses a request, so no capacity has to be configured. It
starts small and doubles each round trip until the target first shows
saturation (slow start)::

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

A window below one limits the rate instead: a window of 0.25 allows one
request in four times the latency. More senders can then share a target than
it has slots for requests.
"""

from attrs import define

INITIAL_WINDOW = 1.0  # nine senders that start at 4 overfill 8 slots
MIN_WINDOW = 1 / 32
MAX_WINDOW = 1024.0
MIN_LATENCY_WINDOW = 1.0  # one request at a time cannot queue behind itself
REFUSAL_FACTOR = 0.75
# Growth per answer. A target with one slot refused a third of all requests
# when the window grew by one per round trip; with 0.03 it refuses a tenth.
GROWTH = 0.03
GROWTH_BELOW_ONE = 0.1
# A window below one doubles with each answer after this many answers without
# a refusal.
RECOVERY_ANSWERS = 4
LATENCY_FACTOR = 0.9
LATENCY_TOLERANCE = 2.0
LATENCY_SMOOTHING = 0.2
DEVIATION_FRACTION = 0.5
# The baseline is replaced after this time; otherwise it could only fall.
BASELINE_SECONDS = 30.0
# The baseline is the smallest mean of this many answers. The smallest single
# answer would make the usual spread of service times look like congestion.
BASELINE_ANSWERS = 8
STABLE_FRACTION = 0.85
# Halving the window of a congested target lowers its latency at least to this
# fraction.
EFFECT_FACTOR = 0.8
DEFAULT_LATENCY = 0.05


@define
class ConcurrencyWindow:
    """Limits the requests in flight to one target; all times in seconds."""

    size: float = INITIAL_WINDOW
    in_flight: int = 0
    latency: float = DEFAULT_LATENCY  # mean of the latest answers
    deviation: float = 0.0  # mean deviation of the latest answers from it
    baseline: float = float("inf")
    answered_at: float = float("-inf")
    answers: int = 0
    _latency_sum: float = 0.0
    _next_baseline: float = float("inf")
    _baseline_until: float = 0.0
    _baseline_fixed_until: float = 0.0
    _reduction_start_size: float = 0.0
    _reduction_latency: float = 0.0
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
        """Return the earliest next start for a window below one."""
        if self.size >= 1.0:
            return float("-inf")
        return self._started_at + self.latency / self.size

    def load(self) -> float:
        """Return the used fraction of the window, to compare targets by."""
        return self.in_flight / self.size

    def acquire(self, now: float) -> None:
        """Count a request as in flight."""
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
        lower_bound = self.latency - DEVIATION_FRACTION * self.deviation
        if lower_bound > LATENCY_TOLERANCE * self.baseline:
            self._reduce(now, LATENCY_FACTOR, MIN_LATENCY_WINDOW)
            self._check_reduction_effect(now)
        elif self._was_full:
            self._grow()

    def record_refusal(self, now: float) -> None:
        """End a request that the target refused because it is full."""
        self.in_flight -= 1
        self._answers_since_refusal = 0
        self._reduce(now, REFUSAL_FACTOR, MIN_WINDOW)

    def record_ignored(self) -> None:
        """End a request whose outcome does not show the target's capacity."""
        self.in_flight -= 1

    def _update_baseline(self, now: float, latency: float) -> None:
        self._latency_sum += latency
        if self.answers <= BASELINE_ANSWERS:
            # Until there is a mean, the smallest latency is the baseline, so
            # that a rising latency ends the slow start.
            self.baseline = min(self.baseline, latency)
        if self.answers % BASELINE_ANSWERS:
            return
        mean = self._latency_sum / BASELINE_ANSWERS
        self._latency_sum = 0.0
        if self.answers == BASELINE_ANSWERS or now >= self._baseline_until:
            self.baseline = self._next_baseline
            self._next_baseline = float("inf")
            self._baseline_until = now + BASELINE_SECONDS
        if now >= self._baseline_fixed_until:
            self.baseline = min(self.baseline, mean)
        self._next_baseline = min(self._next_baseline, mean)

    def _check_reduction_effect(self, now: float) -> None:
        """Use the latency as baseline if halving the window did not lower it.

        Mixed service times exceed the smallest mean without any congestion.
        If the target is congested, all of its senders shrink their windows
        and the latency falls.
        """
        if self.size > self._reduction_start_size or self._reduction_start_size == 0.0:
            self._reduction_start_size = self.size
            self._reduction_latency = 0.0
        elif self.size > max(self._reduction_start_size / 2, MIN_LATENCY_WINDOW):
            # At the first reduction the latency is still rising.
            is_stable = self.size <= STABLE_FRACTION * self._reduction_start_size
            if is_stable and self._reduction_latency == 0.0:
                self._reduction_latency = self.latency
        else:
            if self.latency > EFFECT_FACTOR * self._reduction_latency:
                self.baseline = self.latency
                self._next_baseline = float("inf")
                self._baseline_until = now + BASELINE_SECONDS
                self._baseline_fixed_until = now + BASELINE_SECONDS
            self._reduction_start_size = 0.0

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
        """Shrink the window, at most once per latency.

        A single full queue delays or refuses many requests.
        """
        self._slow_start = False
        self._was_full = False
        if now - self._reduced_at < self.latency:
            return
        self._reduced_at = now
        self.size = min(self.size, max(self.size * factor, minimum))
