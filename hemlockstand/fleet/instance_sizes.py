"""Capacities of all instances, as far as they are known for certain.

A caller is told that a job can never be served only by these, so what may have
been larger before, or is absent for a while, counts with its largest capacity.
"""

from collections import Counter

from attrs import define, field

from hemlockstand.fleet.model import Resources
from hemlockstand.fleet.plans import InstancePlans
from hemlockstand.fleet.state import SchedulerState

# Executors that restart, or whose capacity is reduced for a while, are seen with
# their full capacity again within this time of a scheduler's start.
SETTLE_SECONDS = 30.0
# An executor outside the machine list that is gone for so long counts no more.
KEEP_SECONDS = 600.0


@define
class _SeenExecutor:
    """Largest capacity of an executor outside the machine list."""

    size: Resources
    seen_at: float


@define(eq=False)
class InstanceSizes:
    """The largest capacity that each instance has had in the scheduler's term.

    ``_unlisted`` holds those of executors that run on no listed instance.
    """

    state: SchedulerState
    plans: InstancePlans
    _sizes: dict[str, Resources] = field(factory=dict)
    _unlisted: dict[str, _SeenExecutor] = field(factory=dict)
    _began_at: float | None = None

    def observe(self, now: float) -> None:
        """Take in the present capacities; forget instances that are gone."""
        if self._began_at is None:
            self._began_at = now
        self._sizes = {name: self.find_size(name) for name in self.plans.instances}
        listed = {item.executor for item in self.plans.instances.values()}
        for executor in self.state.executors.values():
            known = self._unlisted.get(executor.id)
            capacity = executor.entry.capacity
            size = capacity if known is None else find_largest(known.size, capacity)
            self._unlisted[executor.id] = _SeenExecutor(size, now)
        self._unlisted = {
            name: seen
            for name, seen in self._unlisted.items()
            if name not in listed and now - seen.seen_at <= KEEP_SECONDS
        }

    def find_size(self, instance: str) -> Resources:
        """Return the largest capacity that an instance has had in this term."""
        listed = self.plans.instances[instance].capacity
        executor = self.plans.find_executor(instance)
        own = Resources() if executor is None else executor.entry.capacity
        return find_largest(self._sizes.get(instance, listed), listed, own)

    def count(self) -> Counter[Resources]:
        """Return the number of instances of each capacity."""
        counts = Counter(self._sizes.values())
        counts.update(seen.size for seen in self._unlisted.values())
        return counts

    def are_known(self, now: float) -> bool:
        """Return whether the capacity of every instance is known."""
        if self._began_at is None or now - self._began_at < SETTLE_SECONDS:
            return False
        if not self._sizes or self.plans.unreadable:
            return False
        return all(size.cpu_millis and size.memory_mb for size in self.count())


def find_largest(*sizes: Resources) -> Resources:
    """Return the largest amount of each resource."""
    return Resources(
        max(size.cpu_millis for size in sizes),
        max(size.memory_mb for size in sizes),
        max(size.accelerators for size in sizes),
    )
