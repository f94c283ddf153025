"""Timeouts that follow how long calls of a kind take.

A fixed timeout is either too long for a lost answer or too short for a slow
service. This one works as the retransmission timer of TCP does: the mean of
the last response times, four times their deviation, doubled after each call
that got no answer::

    >>> timeout = AdaptiveTimeout(least_seconds=0.4, most_seconds=1.5)
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

# Weights of a new sample, those of RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4


@define(eq=False)
class AdaptiveTimeout:
    """The timeout of one kind of call, between two bounds in seconds."""

    least_seconds: float
    most_seconds: float
    _mean: float | None = None
    _deviation: float = 0.0
    _factor: int = 1

    @property
    def seconds(self) -> float:
        """Time to wait for the next answer."""
        expected = (self._mean or 0.0) + DEVIATIONS * self._deviation
        seconds = max(self.least_seconds, expected) * self._factor
        return min(self.most_seconds, seconds)

    def record_response(self, seconds: float) -> None:
        """Note how long an answer took."""
        self._factor = 1
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 2
            return
        error = seconds - self._mean
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)
        self._mean += MEAN_WEIGHT * error

    def record_timeout(self) -> None:
        """Note that a call got no answer in its time."""
        if self.seconds < self.most_seconds:
            self._factor *= 2
