"""Timeouts that adapt to the response times of a kind of call.

A fixed timeout is either too long for a lost answer or too short for a slow
service. This one is computed like the retransmission timeout of TCP: the mean
of the latest response times plus four times their deviation, doubled after
each call that got no answer::

    >>> timeout = AdaptiveTimeout(min_seconds=0.4, max_seconds=1.5)
    >>> timeout.seconds
    0.4
    >>> timeout.record_timeout()
    >>> timeout.seconds
    0.8
    >>> timeout.record_response(0.3)
    >>> round(timeout.seconds, 2)
    0.9
"""

from attrs import define

# Weights of a new sample, from RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4


@define(eq=False)
class AdaptiveTimeout:
    """The timeout of one kind of call, between two bounds in seconds."""

    min_seconds: float
    max_seconds: float
    _mean: float | None = None
    _deviation: float = 0.0
    _factor: int = 1

    @property
    def seconds(self) -> float:
        """Seconds to wait for the next answer."""
        expected = (self._mean or 0.0) + DEVIATIONS * self._deviation
        seconds = max(self.min_seconds, expected) * self._factor
        return min(self.max_seconds, seconds)

    def record_response(self, seconds: float) -> None:
        """Record how long an answer took."""
        self._factor = 1
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 2
            return
        error = seconds - self._mean
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)
        self._mean += MEAN_WEIGHT * error

    def record_timeout(self) -> None:
        """Record that a call got no answer within the timeout."""
        if self.seconds < self.max_seconds:
            self._factor *= 2
