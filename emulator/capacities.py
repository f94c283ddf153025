"""Capacity of an executor that shrinks and grows while it runs."""

import attrs
import trio
from attrs import define, field

from hemlockstand.fleet.model import Resources

HEARTBEAT_SECONDS = 1.5
# A smaller capacity counts from this time on after the change: StabilityMs and
# an interval between the executor's writes of its entry.
SHRINK_GRACE_SECONDS = 3.0 + HEARTBEAT_SECONDS


@define(eq=False)
class EarlierCapacities:
    """Capacities that an executor had in its lifetime, each with its end."""

    _entries: list[tuple[float, Resources]] = field(factory=list)

    def add(self, capacity: Resources) -> None:
        """Add a capacity that applied until now."""
        self._entries.append((trio.current_time(), capacity))

    def clear(self) -> None:
        """Forget all, for a new lifetime."""
        self._entries.clear()

    def measure_excess(
        self, size: Resources, used: Resources, capacity: Resources, delay: float
    ) -> Resources:
        """Return by how much a start now exceeds the capacity in force.

        That is the largest one of the grace period, and of ``delay`` before it
        for an order that took so long to arrive. ``used`` includes the start.
        Resources of which the start needs none never count as exceeded.
        """
        since = trio.current_time() - SHRINK_GRACE_SECONDS - delay
        recent = [known for until, known in self._entries if until > since]
        parts = map(attrs.astuple, (size, used, capacity, *recent))
        return Resources(
            *(
                max(0, use - max(room)) if need else 0
                for need, use, *room in zip(*parts, strict=True)
            )
        )
