"""The waiting requests of one pool and their assignment to executors."""

from collections.abc import Callable
from math import exp

import trio
from attrs import define, field

from hemlockstand.coordination.fairqueue import (
    BATCH,
    INTERACTIVE,
    URGENT,
    Entry,
    FairQueue,
)
from hemlockstand.coordination.retries import RetryBudget
from hemlockstand.model import Access, Priority, Queue
from hemlockstand.requests.executors import Executor, ExecutorRegistry
from hemlockstand.requests.interfaces import LimitsSource, Slot
from hemlockstand.requests.messages import Request
from hemlockstand.requests.shares import FleetShares

RANKS = {
    Priority.URGENT: URGENT,
    Priority.INTERACTIVE: INTERACTIVE,
    Priority.BATCH: BATCH,
}

# Interval of the check for free capacity that appears without an event: in a
# paced window, after the end of an ejection, or in the spare pool.
ROOM_POLL_SECONDS = 0.02
SLOT_RETRY_SECONDS = 0.05
RATE_DECAY_SECONDS = 1.0
MIN_MEASURED_SECONDS = 0.2


@define(eq=False)
class Waiter:
    """A request that waits for an executor and a slot.

    ``latest_start`` is its deadline less the latency of the pool. ``avoid`` is
    the id of the executor of the previous attempt, if any.
    """

    request: Request
    queue: Queue
    latest_start: float
    avoid: str | None
    granted: trio.Event = field(factory=trio.Event)
    executor: Executor | None = None
    slot: Slot | None = None

    @property
    def is_keyed(self) -> bool:
        """Whether the queue accepts only requests with a key."""
        return self.queue.access is not Access.OPEN


@define
class ServiceRate:
    """Measures the requests per second that a pool serves while it is full."""

    _served: float = 0.0
    _seconds: float = 0.0
    _measured_at: float = 0.0
    _was_full: bool = False

    def record(self, now: float, served: int, is_full: bool) -> None:
        """Record the requests served since the last call."""
        if self._was_full:
            elapsed = now - self._measured_at
            decay = exp(-elapsed / RATE_DECAY_SECONDS)
            self._seconds = self._seconds * decay + elapsed
            self._served = self._served * decay + served
        self._measured_at = now
        self._was_full = is_full

    def get(self) -> float | None:
        """Return the rate; ``None`` if the pool was not full long enough."""
        if self._seconds < MIN_MEASURED_SECONDS or self._served == 0.0:
            return None
        return self._served / self._seconds


@define(eq=False)
class PoolDispatcher:
    """Assigns waiting requests to executors in the order of the fair queue."""

    pool: str
    waiting: FairQueue[Waiter]
    budget: RetryBudget
    _registry: ExecutorRegistry
    _limits: LimitsSource
    _shares: FleetShares
    _nursery: trio.Nursery
    _find_spare: Callable[[str], "PoolDispatcher"]
    rate: ServiceRate = field(factory=ServiceRate)
    _added: trio.Event = field(factory=trio.Event)
    _awaiting_slot: set[str] = field(factory=set)
    _reserved: dict[str, Slot] = field(factory=dict)

    def add(self, waiter: Waiter, share: float, front: bool) -> Entry[Waiter]:
        """Add a request to the queue; raises ``QueueFull``."""
        entry = self.waiting.push(
            waiter,
            waiter.queue.team,
            self._weigh(waiter.queue.team, share),
            waiter.latest_start,
            rank=RANKS[waiter.queue.priority],
            front=front,
        )
        self.assign()
        if entry.waiting:
            self._added.set()
        return entry

    def has_upstream(self, queue: Queue, now: float) -> bool:
        """Return whether any executor accepts work of the queue."""
        pools = (queue.pool, queue.spare_pool)
        return any(
            pool is not None and self._registry.has_usable(pool, now) for pool in pools
        )

    def return_grant(self, waiter: Waiter) -> None:
        """Release the executor and slot of a request whose caller is gone."""
        if waiter.executor is not None:
            waiter.executor.window.record_ignored()
            waiter.slot.release(certain=True)
            self.assign()

    def limited_teams(self) -> frozenset[str]:
        """Return the teams whose work waits for a slot of their limit."""
        return frozenset(self._awaiting_slot)

    def reweigh(self, team: str, share: float) -> None:
        """Update the weight of a team with waiting requests."""
        self.waiting.reweigh(team, self._weigh(team, share))

    def _weigh(self, team: str, share: float) -> float:
        return share * self._shares.factor(self.pool, team)

    def estimate_wait(self, queue: Queue, share: float) -> float:
        """Return the estimated queueing time of a new request in seconds."""
        rate = self.rate.get()
        if rate is None or not len(self.waiting):
            return 0.0
        weight = self._weigh(queue.team, share)
        ahead = self.waiting.estimate_ahead(queue.team, weight, RANKS[queue.priority])
        return ahead / rate

    def assign(self) -> None:
        """Assign waiting requests to executors that have capacity."""
        now = trio.current_time()
        served = 0
        is_full = False
        while (entry := self.waiting.peek(now)) is not None:
            executor = self._choose(entry.item, now)
            if executor is None:
                is_full = True
                break
            served += self._grant(entry.item, executor, now)
        self.rate.record(now, served, is_full)

    def _grant(self, waiter: Waiter, executor: Executor, now: float) -> bool:
        """Assign the first waiter; False if its team has no free slot."""
        slot = self._take_slot(waiter)
        if slot is None:
            self._block_team(waiter)
            return False
        self.waiting.pop(now)
        executor.window.acquire(now)
        self._shares.record_served(executor.pool, waiter.queue.team)
        waiter.executor = executor
        waiter.slot = slot
        waiter.granted.set()
        return True

    async def run(self) -> None:
        """Check regularly for capacity that appears without an event."""
        while True:
            await self._added.wait()
            await trio.sleep(ROOM_POLL_SECONDS)
            self.waiting.expire(trio.current_time())
            self.assign()
            if not len(self.waiting):
                self._added = trio.Event()

    def _choose(self, waiter: Waiter, now: float) -> Executor | None:
        executor = self._registry.choose(self.pool, now, waiter.avoid)
        spare = waiter.queue.spare_pool
        if executor is not None or spare is None or spare == self.pool:
            return executor
        if len(self._find_spare(spare).waiting) or self._shares.is_wanted(spare):
            return None
        if not self._registry.is_idle(spare, now):
            return None
        return self._registry.choose(spare, now, waiter.avoid)

    def _take_slot(self, waiter: Waiter) -> Slot | None:
        reserved = self._reserved.pop(waiter.queue.team, None)
        if reserved is not None:
            return reserved
        return self._limits.take(
            waiter.queue.team, waiter.request.deadline, waiter.is_keyed
        )

    def _block_team(self, waiter: Waiter) -> None:
        """Skip the team in the queue while it is at its limit."""
        team = waiter.queue.team
        self.waiting.block(team)
        if team not in self._awaiting_slot:
            self._awaiting_slot.add(team)
            self._nursery.start_soon(self._reserve_slot, waiter)

    async def _reserve_slot(self, waiter: Waiter) -> None:
        team = waiter.queue.team
        slot = await self._limits.wait_slot(team, waiter.latest_start, waiter.is_keyed)
        if slot is None:
            await trio.sleep(SLOT_RETRY_SECONDS)
        else:
            self._reserved[team] = slot
        self._awaiting_slot.discard(team)
        self.waiting.unblock(team)
        self.assign()
        unused = self._reserved.pop(team, None)
        if unused is not None:
            unused.release(certain=True)
