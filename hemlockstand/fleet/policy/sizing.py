"""Size of a pool whose instances offer different capacities.

Load pattern: a fleet in which some executors shrink while they run, or whose
instances differ by kind. One small executor must not make every pool believe
that all of its instances are small, so needs are counted in usual instances::

    >>> usual = Resources(16_000, 32_768)
    >>> find_usual_capacity([usual, Resources(500, 512), usual]) == usual
    True
"""

from collections.abc import Iterable

from hemlockstand.fleet.model import Resources


def find_usual_capacity(capacities: Iterable[Resources]) -> Resources:
    """Return the capacity in the middle by cpu, of those that have cpu."""
    known = sorted(
        (capacity for capacity in capacities if capacity.cpu_millis),
        key=lambda capacity: capacity.cpu_millis,
    )
    return known[(len(known) - 1) // 2] if known else Resources()
