"""Executors that may get nothing, or should get less than others.

Load pattern: a data centre is evacuated, so that the others have to take its
work, and comes back later, when all that waits would go there at once. While it
is evacuated nothing starts there. After that its executors are used, but for a
short time only after others, since whatever it was evacuated for may go on.
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


def is_returning(executor: Executor, now: float) -> bool:
    """Return whether the evacuation of its data centre ended a short time ago."""
    return now < executor.returning_until


def mark_returning(
    executors: Iterable[Executor], data_centre: str, now: float
) -> list[Executor]:
    """Rank the executors of a data centre last for a short time; return them."""
    found = [item for item in executors if item.entry.data_centre == data_centre]
    for executor in found:
        executor.returning_until = now + RETURN_SECONDS
    return found
