"""Size of a pool whose instances offer different capacities.

Load pattern: a fleet in which some executors shrink while they run, or whose
instances differ by kind. One small executor must not make every pool believe
that all of its instances are small, and a member counts for what it offers at
present: an executor with a fifth of the cpu is a fifth of a member for work
that can be split, and none for subtasks that do not fit on it.

Needs and offers are counted in usual instances of the fleet::

    >>> usual = find_usual_capacity([Resources(16_000, 32_768)] * 4)
    >>> shrunken = Resources(4000, 32_768)
    >>> OfferScale(usual).offer(shrunken)
    PoolSize(work=0.25, unsplit=0.25, instances=1)
    >>> OfferScale(usual, frozenset({Resources(8000, 512)})).offer(shrunken)
    PoolSize(work=0.25, unsplit=0.0, instances=1)
"""

from collections.abc import Iterable
from math import ceil

from attrs import define, field, frozen

from hemlockstand.fleet.model import Resources

# Sums of fractions of instances that differ by less are equal.
TOLERANCE = 1e-6


@frozen
class PoolSize:
    """Size that a pool needs, or that instances offer.

    ``work`` and ``unsplit`` are in usual instances: for work that can be split
    between instances, and together with subtasks that must run at the same
    time, each on one instance. ``instances`` counts them whatever their
    capacity.
    """

    work: float = 0.0
    unsplit: float = 0.0
    instances: int = 0

    @property
    def is_met(self) -> bool:
        """Whether nothing is missing, of a size that is lacking."""
        return max(self.work, self.unsplit) <= TOLERANCE and self.instances <= 0

    def count(self) -> int:
        """Return how many usual instances make up the size."""
        return max(0, ceil(max(self.work, self.unsplit) - TOLERANCE), self.instances)

    def add(self, other: "PoolSize") -> "PoolSize":
        """Return the sum of two sizes."""
        return PoolSize(
            self.work + other.work,
            self.unsplit + other.unsplit,
            self.instances + other.instances,
        )

    def subtract(self, other: "PoolSize") -> "PoolSize":
        """Return what is left without another size; it may be negative."""
        return PoolSize(
            self.work - other.work,
            self.unsplit - other.unsplit,
            self.instances - other.instances,
        )

    def raise_to(self, count: int) -> "PoolSize":
        """Return this size, or that of ``count`` usual instances if it is larger."""
        if count <= 0:
            return self
        return PoolSize(
            max(self.work, count),
            max(self.unsplit, count),
            max(self.instances, count),
        )

    def is_reduced_by(self, offer: "PoolSize") -> bool:
        """Return whether an offer meets a part of this lack."""
        return (
            (self.work > TOLERANCE and offer.work > 0)
            or (self.unsplit > TOLERANCE and offer.unsplit > 0)
            or (self.instances > 0 and offer.instances > 0)
        )


def find_usual_capacity(capacities: Iterable[Resources]) -> Resources:
    """Return the capacity in the middle by cpu, of those that have cpu."""
    known = sorted(
        (capacity for capacity in capacities if capacity.cpu_millis),
        key=lambda capacity: capacity.cpu_millis,
    )
    return known[(len(known) - 1) // 2] if known else Resources()


@define(eq=False)
class OfferScale:
    """What instances offer to a pool with subtasks of ``unsplit_sizes``."""

    usual: Resources
    unsplit_sizes: frozenset[Resources] = frozenset()
    _offers: dict[Resources, PoolSize] = field(factory=dict)

    def offer(self, capacity: Resources) -> PoolSize:
        """Return what an instance of a capacity offers."""
        offer = self._offers.get(capacity)
        if offer is None:
            offer = self._offers[capacity] = self._measure(capacity)
        return offer

    def _measure(self, capacity: Resources) -> PoolSize:
        work = min(
            part / whole
            for part, whole in (
                (capacity.cpu_millis, self.usual.cpu_millis),
                (capacity.memory_mb, self.usual.memory_mb),
            )
            if whole
        )
        unsplit = work
        for size in self.unsplit_sizes:
            fitting = count_fitting(size, self.usual)
            if fitting:
                unsplit = min(unsplit, count_fitting(size, capacity) / fitting)
        return PoolSize(work, unsplit, 1 if work > 0 else 0)


def count_fitting(size: Resources, capacity: Resources) -> int:
    """Return how many subtasks of a size a capacity has room for.

    A subtask without a size fits once.
    """
    fitting = [
        room // needed
        for room, needed in (
            (capacity.cpu_millis, size.cpu_millis),
            (capacity.memory_mb, size.memory_mb),
            (capacity.accelerators, size.accelerators),
        )
        if needed
    ]
    return min(fitting, default=1)
