"""Executors that may get nothing, or should get less than others.

Load pattern: a data centre is evacuated, so that the others have to take its
work, and comes back later, when all that waits would go there at once. While it
is evacuated nothing starts there. After that its executors are used, but for a
short time only after others, since whatever it was evacuated for may go on.
Cold executors are slow for some time after their own start; others have
precedence, and what a cold one gets is spread over time::

    >>> space_cold_starts(7.0, busy_until=0.0, cold_until=9.0, starts_per_second=4)
    7.25
    >>> space_cold_starts(8.9, busy_until=0.0, cold_until=9.0, starts_per_second=4)
    9.0
"""

from collections.abc import Iterable

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.model import FleetConfig

# Time after a revocation in which other executors have precedence. It is long
# enough for a second evacuation to arrive before much work is there again.
RETURN_SECONDS = 5.0


def is_evacuated(executor: Executor, config: FleetConfig) -> bool:
    """Return whether nothing may be sent to an executor's data centre."""
    return executor.entry.data_centre in config.evacuated


def is_cold(executor: Executor, now: float) -> bool:
    """Return whether an executor is slow because it started a short time ago."""
    return now < executor.cold_until


def is_returning(executor: Executor, now: float) -> bool:
    """Return whether the evacuation of its data centre ended a short time ago."""
    return now < executor.returning_until


def grade_executor(executor: Executor, now: float) -> tuple[bool, bool]:
    """Return the part of a sort key by which cold executors come last."""
    return is_cold(executor, now), is_returning(executor, now)


def find_cold_limit(executor: Executor, config: FleetConfig, now: float) -> float:
    """Return how many starts a second an executor takes; 0 means any number."""
    pool = config.pools.get(executor.entry.pool)
    if pool is None or not is_cold(executor, now):
        return 0.0
    return pool.cold_starts_per_second


def space_cold_starts(
    now: float, busy_until: float, cold_until: float, starts_per_second: float
) -> float:
    """Return when the next start on a cold executor may follow one at ``now``.

    The pause ends with the cold time, unless the executor is busy for longer.
    """
    if not starts_per_second:
        return busy_until
    spaced = max(now, busy_until) + 1 / starts_per_second
    return max(busy_until, min(spaced, cold_until))


def mark_returning(
    executors: Iterable[Executor], data_centre: str, now: float
) -> list[Executor]:
    """Rank the executors of a data centre last for a short time; return them."""
    found = [item for item in executors if item.entry.data_centre == data_centre]
    for executor in found:
        executor.returning_until = now + RETURN_SECONDS
    return found
