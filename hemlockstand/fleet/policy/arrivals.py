"""Rate at which work arrives at a pool.

Load pattern: a queue's turn, which begins within a moment and lasts seconds,
while an instance takes seconds to join a pool. A mean over a long time sees
the turn when half of it is over; one over a short time takes every large job
for a turn. The rate is therefore the largest of several times, each less the
spread that its few jobs may have by chance::

    >>> jobs = [ArrivedWork(age, 10.0) for age in (0.1, 0.2, 0.3, 0.4)]
    >>> round(estimate_rate(jobs, windows=(0.5, 2.0)), 1)
    40.0
    >>> round(estimate_rate([ArrivedWork(0.1, 40.0)], windows=(0.5, 2.0)), 1)
    0.0
"""

from collections.abc import Iterable
from math import sqrt

from attrs import frozen

# Short enough to see a turn before an instance could have joined the pool.
SHORT_WINDOWS_SECONDS = (0.4, 0.8)
# Standard deviations of the work by which an estimate is lowered.
DEVIATIONS = 1.0


@frozen
class ArrivedWork:
    """Work of a job that arrived ``age_seconds`` ago, in any unit."""

    age_seconds: float
    amount: float


def estimate_rate(
    arrivals: Iterable[ArrivedWork],
    windows: tuple[float, ...] = SHORT_WINDOWS_SECONDS,
) -> float:
    """Return the work that certainly arrives in a second."""
    known = list(arrivals)
    return max(_measure_rate(known, window) for window in windows)


def _measure_rate(arrivals: list[ArrivedWork], window_seconds: float) -> float:
    amounts = [item.amount for item in arrivals if item.age_seconds < window_seconds]
    deviation = sqrt(sum(amount * amount for amount in amounts))
    return max(0.0, sum(amounts) - DEVIATIONS * deviation) / window_seconds
