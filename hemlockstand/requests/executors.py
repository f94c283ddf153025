"""The executors of all pools, their state and the choice among them."""

from collections.abc import Iterable, Iterator, Mapping
from random import Random

from attrs import define, evolve, field, frozen

from hemlockstand.coordination.concurrency import ConcurrencyWindow
from hemlockstand.coordination.ejection import OutlierEjector
from hemlockstand.maintenance.records import InstanceState, Phase
from hemlockstand.platform.interface import (
    InstanceKind,
    InstanceRecord,
    InstanceState as ListState,
)

MEASUREMENT_SECONDS = 2.0
LATENCY_DEVIATIONS = 3.0


@define(eq=False)
class Executor:
    """An upstream instance as this daemon sees it; times are monotonic.

    ``is_local`` says that it is in the data centre of this daemon.
    ``is_suspect`` is set when the executor is suspected to be leaving or
    down, and is cleared by a health check made after ``avoid_until``.
    """

    id: str
    address: str
    pool: str
    is_local: bool = True
    window: ConcurrencyWindow = field(factory=ConcurrencyWindow)
    listed_leaving: bool = False
    in_maintenance: bool = False
    drained: bool = False
    is_suspect: bool = False
    avoid_until: float = float("-inf")

    def takes_work(self, now: float) -> bool:
        """Return whether nothing indicates that it is leaving or down."""
        if self.listed_leaving or self.in_maintenance or self.drained:
            return False
        return not self.is_suspect and now >= self.avoid_until


@frozen
class Latency:
    """Latency of a pool in seconds; few answers take longer than ``upper``."""

    shortest: float
    upper: float


@define(eq=False)
class ExecutorPool:
    """The executors of one pool."""

    executors: dict[str, Executor] = field(factory=dict)
    ejector: OutlierEjector = field(factory=OutlierEjector)

    def list_usable(self, now: float) -> list[Executor]:
        """Return the executors in this data centre that accept work.

        Executors of other data centres are returned only if there are none
        here, for example because all are drained. A pool that is merely full
        overflows to its spare pool instead.
        """
        usable = [each for each in self.executors.values() if each.takes_work(now)]
        return [each for each in usable if each.is_local] or usable


@define(eq=False)
class ExecutorRegistry:
    """Tracks the instance list and the drains, and chooses executors."""

    data_centre: str
    random: Random = field(factory=Random)
    pools: dict[str, ExecutorPool] = field(factory=dict)

    def get(self, pool: str) -> tuple[Executor, ...]:
        """Return the known executors of the pool."""
        known = self.pools.get(pool)
        return tuple(known.executors.values()) if known is not None else ()

    def all(self) -> list[Executor]:
        """Return the known executors of all pools."""
        return [
            executor
            for known in self.pools.values()
            for executor in known.executors.values()
        ]

    def follow_list(
        self,
        records: Iterable[InstanceRecord],
        states: Mapping[str, InstanceState],
    ) -> list[Executor]:
        """Apply the instance list; return the executors that were removed.

        ``states`` are the instances' rows. The pool in a row overrides that
        in the list, because moves between pools are made in the table.
        """
        listed = {
            record.id: _with_current_pool(record, states.get(record.id))
            for record in list_executors(records)
        }
        removed = [
            executor
            for executor in self.all()
            if not _is_same(executor, listed.get(executor.id))
        ]
        for executor in removed:
            self._forget(executor)
        for record in listed.values():
            if record.pool:
                state = states.get(record.id)
                self._add(record, state is not None and state.phase != Phase.SERVING)
        return removed

    def follow_drains(self, drains: Mapping[str, str]) -> None:
        """Update which executors are drained by the configuration."""
        for executor in self.all():
            executor.drained = executor.id in drains

    def choose(
        self, pool: str, now: float, avoid: str | None = None
    ) -> Executor | None:
        """Return the less loaded of two random executors with capacity.

        ``avoid`` names an executor that is chosen only if it is the only one.
        """
        known = self.pools.get(pool)
        if known is None:
            return None
        ready = list(_find_ready(known, now))
        others = [executor for executor in ready if executor.id != avoid]
        candidates = others or ready
        # The order is random, so that equal loads are chosen equally often.
        candidates = self.random.sample(candidates, min(2, len(candidates)))
        return min(
            candidates,
            key=lambda executor: _measure_load(known, executor, now),
            default=None,
        )

    def is_idle(self, pool: str, now: float) -> bool:
        """Return whether less than half of the pool's capacity is in use."""
        known = self.pools.get(pool)
        usable = known.list_usable(now) if known is not None else []
        used = sum(executor.window.in_flight for executor in usable)
        return used < 0.5 * sum(executor.window.size for executor in usable)

    def has_usable(self, pool: str, now: float) -> bool:
        """Return whether any executor of the pool accepts work."""
        return any(executor.takes_work(now) for executor in self.get(pool))

    def measure_latency(self, pool: str, now: float) -> Latency:
        """Return the shortest latency of the pool and its upper estimate.

        Without recent answers both are zero: if requests were refused because
        of an old measurement, no answers could correct it.
        """
        recent = [
            executor.window
            for executor in self.get(pool)
            if now - executor.window.answered_at < MEASUREMENT_SECONDS
        ]
        if not recent:
            return Latency(0.0, 0.0)
        return Latency(
            min(window.baseline for window in recent),
            max(
                window.latency + LATENCY_DEVIATIONS * window.deviation
                for window in recent
            ),
        )

    def ejector(self, pool: str) -> OutlierEjector:
        """Return the ejector of the pool."""
        return self.pools.setdefault(pool, ExecutorPool()).ejector

    def _add(self, record: InstanceRecord, in_maintenance: bool) -> None:
        known = self.pools.setdefault(record.pool, ExecutorPool())
        executor = known.executors.get(record.id)
        if executor is None:
            is_local = record.data_centre == self.data_centre
            executor = Executor(record.id, record.address, record.pool, is_local)
            known.executors[record.id] = executor
            known.ejector.add(record.id)
        is_leaving = record.state is ListState.LEAVING
        if executor.listed_leaving and not is_leaving:
            executor.avoid_until = float("-inf")
        executor.listed_leaving = is_leaving
        executor.in_maintenance = in_maintenance

    def _forget(self, executor: Executor) -> None:
        known = self.pools[executor.pool]
        known.executors.pop(executor.id, None)
        known.ejector.forget(executor.id)


def list_executors(records: Iterable[InstanceRecord]) -> Iterator[InstanceRecord]:
    """Yield the executors of an instance list."""
    return (record for record in records if record.kind is InstanceKind.EXECUTOR)


def _with_current_pool(
    record: InstanceRecord, state: InstanceState | None
) -> InstanceRecord:
    if state is None or not state.pool:
        return record
    return evolve(record, pool=state.pool)


def _is_same(executor: Executor, record: InstanceRecord | None) -> bool:
    """Return whether the record describes the same process and pool."""
    return (
        record is not None
        and record.address == executor.address
        and record.pool == executor.pool
    )


def _find_ready(known: ExecutorPool, now: float) -> Iterator[Executor]:
    for executor in known.list_usable(now):
        if executor.window.has_room(now) and known.ejector.may_use(executor.id, now):
            yield executor


def _measure_load(known: ExecutorPool, executor: Executor, now: float) -> float:
    window = executor.window
    return window.load() + known.ejector.penalty(executor.id, now)
