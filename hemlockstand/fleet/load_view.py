"""The load of the pools, as the scheduler publishes it for the frontends."""

from collections.abc import Iterator, Mapping

from attrs import field, frozen

from hemlockstand.fleet.model import Resources

LOAD_FORMAT = 1
ARRIVAL_SECONDS = 2.0  # window in which the accepted work of a pool is counted
# A view that is older says nothing about the load of now. The clocks of the
# daemons may differ, so one from the future is as useless.
MAX_AGE_MS = 2000


@frozen
class QueueFactor:
    """Expected duration relative to the estimates of a queue's submitters.

    ``runs`` is the number of runs that the expectation rests on.
    """

    factor: float
    runs: int = 0


@frozen
class WaitingWork:
    """Core-seconds of waiting jobs that are still worth something.

    ``timely`` is the work of those that can still be in time, which goes before
    that of the ``late`` ones.
    """

    timely: float = 0.0
    late: float = 0.0


@frozen
class PoolLoad:
    """Load of a pool that lacks room.

    ``cores`` is what short-lived work can use, ``room`` what standby instances
    and idle executors of other pools could add. ``waiting`` holds the work that
    waits by priority and tenant.
    Tenants in ``capped`` wait for their maximum, not for room. ``arrived`` is
    the work accepted in the last ``ARRIVAL_SECONDS``.
    """

    cores: float
    room: float = 0.0
    waiting: Mapping[str, Mapping[str, WaitingWork]] = field(factory=dict)
    capped: tuple[str, ...] = ()
    arrived: float = 0.0


@frozen
class InstanceKind:
    """Instances of all pools that have the same capacity."""

    capacity: Resources
    count: int


@frozen
class LoadView:
    """Load of the pools that lack room; the others are not listed.

    ``kinds`` are all instances, and ``complete`` tells whether the capacity of
    each is known. ``queued`` is the number of unfinished jobs by tenant.
    """

    format: int
    made_ms: int
    pools: Mapping[str, PoolLoad] = field(factory=dict)
    factors: Mapping[str, QueueFactor] = field(factory=dict)
    queued: Mapping[str, int] = field(factory=dict)
    kinds: tuple[InstanceKind, ...] = ()
    complete: bool = False

    def is_recent(self, now_ms: int) -> bool:
        """Return whether the view may be used to refuse a submission."""
        return abs(now_ms - self.made_ms) <= MAX_AGE_MS

    def list_numbers(self) -> Iterator[float]:
        """Yield all numbers, none of which may be negative."""
        yield self.made_ms
        yield from self.queued.values()
        for pool in self.pools.values():
            yield from (pool.cores, pool.room, pool.arrived)
            for tenants in pool.waiting.values():
                for work in tenants.values():
                    yield from (work.timely, work.late)
        for factor in self.factors.values():
            yield from (factor.factor, factor.runs)
        for kind in self.kinds:
            size = kind.capacity
            yield from (size.cpu_millis, size.memory_mb, size.accelerators, kind.count)
