"""Weighted fair queue with ranks and deadlines.

Flows (teams) are served in proportion to their weights, however much work
each of them submits. A lower rank is served before a higher one, except that
the last rank gets a guaranteed minimum fraction while it waits. The queue
never blocks: the owner pushes when work arrives and pops when capacity is
free::

    >>> queue = FairQueue(capacity=100, minimum_fraction=0.1)
    >>> for number in range(3):
    ...     _ = queue.push(f"a{number}", "a", weight=2.0, deadline=10.0)
    ...     _ = queue.push(f"b{number}", "b", weight=1.0, deadline=10.0)
    >>> [queue.pop(now=0.0).item for _ in range(6)]
    ['a0', 'b0', 'a1', 'a2', 'b1', 'b2']

Each flow has a virtual finish time, at which an ideal server that serves all
flows at once, by weight, would finish the flow's first entry. The entry with
the smallest virtual finish time is served next (self-clocked fair queueing).
A flow that was idle starts at the current virtual time, so it cannot save up
service.
"""

from collections import Counter, deque
from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeVar

from attrs import define, field

from hemlockstand.errors import HemlockstandError

Item = TypeVar("Item")

RANKS = 3
URGENT, INTERACTIVE, BATCH = range(RANKS)
_ROUNDING = 1e-9  # 0.1 added up ten times is slightly less than 1.0


class QueueFull(HemlockstandError):
    """The queue has reached its capacity."""

    code = "queue_full"


@define(eq=False)
class Entry(Generic[Item]):
    """A queued item; ``waiting`` is false once it has left the queue."""

    item: Item
    flow: str
    rank: int
    cost: float
    deadline: float
    waiting: bool = True


@define(eq=False)
class _Flow(Generic[Item]):
    """The entries of one flow in one rank, oldest first."""

    name: str
    weight: float = 1.0
    start: float = 0.0
    finish: float = 0.0
    stamp: int = -1
    blocked: bool = False
    entries: deque[Entry[Item]] = field(factory=deque)


@define(eq=False)
class _Rank(Generic[Item]):
    """The flows of one rank, ordered by virtual finish time.

    The heap holds the flows that have entries and are not blocked, each with
    the stamp that it had when it was added. A heap element whose stamp is no
    longer that of its flow is skipped.
    """

    virtual_time: float = 0.0
    flows: dict[str, _Flow[Item]] = field(factory=dict)
    heap: list[tuple[float, int, str]] = field(factory=list)
    stamps: Iterator[int] = field(factory=count)

    def push(self, entry: Entry[Item], weight: float, front: bool) -> None:
        flow = self.flows.get(entry.flow)
        if flow is None:
            flow = self.flows[entry.flow] = _Flow(entry.flow)
        flow.weight = weight
        was_empty = not flow.entries
        if front:
            flow.entries.appendleft(entry)
        else:
            flow.entries.append(entry)
        if was_empty:
            flow.start = max(self.virtual_time, flow.start)
        if was_empty or front:
            self.schedule(flow)

    def schedule(self, flow: _Flow[Item]) -> None:
        """Add the flow to the heap by its virtual finish time."""
        flow.stamp = next(self.stamps)
        if flow.blocked or not flow.entries:
            return
        # A flow that always has entries never falls behind the virtual time.
        # One whose entries were removed without being served does, and must
        # not be served more to make up for them.
        finish = flow.start + flow.entries[0].cost / flow.weight
        flow.finish = max(finish, self.virtual_time)
        heappush(self.heap, (flow.finish, flow.stamp, flow.name))

    def first(self, now: float) -> _Flow[Item] | None:
        """Return the flow to serve next; its first entry has not expired."""
        while self.heap:
            _, stamp, name = self.heap[0]
            flow = self.flows.get(name)
            if flow is None or flow.stamp != stamp:
                heappop(self.heap)
                continue
            if not self._drop_expired(flow, now):
                return flow
            heappop(self.heap)
            self.schedule(flow)
            self.forget_idle(flow)
        return None

    def pop(self, flow: _Flow[Item]) -> Entry[Item]:
        """Remove and return the first entry of the flow from ``first``."""
        heappop(self.heap)
        entry = flow.entries.popleft()
        self.virtual_time = max(self.virtual_time, flow.finish)
        flow.start = flow.finish
        self.schedule(flow)
        self.forget_idle(flow)
        return entry

    def count_waiting(self) -> int:
        """Return the number of entries that are not blocked.

        Expired entries are included.
        """
        return sum(
            len(flow.entries) for flow in self.flows.values() if not flow.blocked
        )

    def estimate_ahead(self, name: str, weight: float) -> float:
        """Return how many entries of the rank precede a new one of a flow."""
        own = self.flows.get(name)
        rounds = (len(own.entries) if own is not None else 0) / weight
        return sum(
            min(len(flow.entries), rounds * flow.weight)
            for flow in self.flows.values()
            if not flow.blocked
        )

    def _drop_expired(self, flow: _Flow[Item], now: float) -> bool:
        """Remove expired and removed entries from the front of the flow."""
        dropped = False
        while flow.entries and not _is_live(flow.entries[0], now):
            flow.entries.popleft()
            dropped = True
        return dropped

    def forget_idle(self, flow: _Flow[Item]) -> None:
        """Remove an idle flow whose start the virtual time has reached."""
        if not flow.entries and not flow.blocked and flow.start <= self.virtual_time:
            self.flows.pop(flow.name, None)


def _is_live(entry: Entry, now: float) -> bool:
    return entry.waiting and entry.deadline > now


class FairQueue(Generic[Item]):
    """Entries of several flows, served by weight within each rank.

    ``capacity`` is the largest number of waiting entries. While the last rank
    waits, at least ``minimum_fraction`` of the entries served are from it.
    """

    def __init__(self, capacity: int, minimum_fraction: float = 0.0) -> None:
        self.capacity = capacity
        self.minimum_fraction = minimum_fraction
        self._ranks: tuple[_Rank[Item], ...] = tuple(_Rank() for _ in range(RANKS))
        self._deadlines: list[tuple[float, int, Entry[Item]]] = []
        self._numbers = count()
        self._credit = 0.0
        self._length = 0
        self._waiting: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of waiting entries, expired ones included."""
        return self._length

    def push(
        self,
        item: Item,
        flow: str,
        weight: float,
        deadline: float,
        rank: int = INTERACTIVE,
        cost: float = 1.0,
        front: bool = False,
    ) -> Entry[Item]:
        """Add an item to its flow; ``front`` puts it before the flow's others.

        ``weight`` and ``cost`` are positive; the weight replaces the flow's
        earlier one. Raises ``QueueFull``.
        """
        if self._length >= self.capacity:
            raise QueueFull(f"{self._length} entries wait, capacity {self.capacity}")
        entry = Entry(item, flow, rank, cost, deadline)
        self._ranks[rank].push(entry, weight, front)
        heappush(self._deadlines, (deadline, next(self._numbers), entry))
        self._length += 1
        self._waiting[flow] += 1
        return entry

    def peek(self, now: float) -> Entry[Item] | None:
        """Return the entry that ``pop`` would return, without removing it."""
        firsts = self._find_firsts(now)
        rank = self._choose_rank(firsts)
        return None if rank is None else firsts[rank].entries[0]

    def pop(self, now: float) -> Entry[Item] | None:
        """Remove and return the entry to serve next, or ``None``.

        Expired entries are never returned; ``expire`` returns them.
        """
        firsts = self._find_firsts(now)
        rank = self._choose_rank(firsts)
        if rank is None:
            return None
        self._count_served(rank, is_last_waiting=firsts[-1] is not None)
        entry = self._ranks[rank].pop(firsts[rank])
        self._count_removed(entry)
        return entry

    def _find_firsts(self, now: float) -> list[_Flow[Item] | None]:
        return [rank.first(now) for rank in self._ranks]

    def _choose_rank(self, firsts: list[_Flow[Item] | None]) -> int | None:
        last = RANKS - 1
        if firsts[last] and self._credit + self.minimum_fraction >= 1.0 - _ROUNDING:
            return last
        return next((rank for rank in range(RANKS) if firsts[rank]), None)

    def _count_served(self, rank: int, is_last_waiting: bool) -> None:
        """Update the credit of the last rank after an entry was served.

        While the last rank waits, each entry of another rank adds
        ``minimum_fraction``.
        """
        if not is_last_waiting:
            self._credit = 0.0
        elif rank == RANKS - 1:
            self._credit = max(0.0, self._credit + self.minimum_fraction - 1.0)
        else:
            self._credit += self.minimum_fraction

    def remove(self, entry: Entry[Item]) -> None:
        """Remove an entry that no longer needs to be served."""
        if entry.waiting:
            self._count_removed(entry)
            self._compact()

    def expire(self, now: float) -> list[Entry[Item]]:
        """Remove and return the entries whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            entry = heappop(self._deadlines)[2]
            if entry.waiting:
                self._count_removed(entry)
                expired.append(entry)
        return expired

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting entries by flow.

        Expired entries are included.
        """
        return dict(self._waiting)

    def reweigh(self, flow: str, weight: float) -> None:
        """Change the weight of a flow, starting with its next entry."""
        for rank in self._ranks:
            known = rank.flows.get(flow)
            if known is not None:
                known.weight = weight

    def block(self, flow: str) -> None:
        """Serve nothing of this flow until ``unblock``."""
        for rank in self._ranks:
            known = rank.flows.get(flow)
            if known is None:
                known = rank.flows[flow] = _Flow(flow)
            known.blocked = True
            rank.schedule(known)

    def unblock(self, flow: str) -> None:
        """Serve the flow again."""
        for rank in self._ranks:
            known = rank.flows.get(flow)
            if known is not None and known.blocked:
                known.blocked = False
                known.start = max(known.start, rank.virtual_time)
                rank.schedule(known)
                rank.forget_idle(known)

    def estimate_ahead(self, flow: str, weight: float, rank: int) -> float:
        """Return how many entries would be served before a new one, roughly.

        The flow's own entries alternate with those of the other flows of the
        rank, by weight; all entries of lower ranks come first.
        """
        before = sum(known.count_waiting() for known in self._ranks[:rank])
        same = self._ranks[rank].estimate_ahead(flow, weight)
        if rank == RANKS - 1 and self.minimum_fraction > 0.0:
            return min(before + same, (same + 1) / self.minimum_fraction)
        return before + same

    def _count_removed(self, entry: Entry[Item]) -> None:
        entry.waiting = False
        self._length -= 1
        self._waiting[entry.flow] -= 1
        if not self._waiting[entry.flow]:
            del self._waiting[entry.flow]

    def _compact(self) -> None:
        """Rebuild the deadline heap if most of its entries have left."""
        if len(self._deadlines) > 2 * self._length + 64:
            self._deadlines = [
                element for element in self._deadlines if element[2].waiting
            ]
            heapify(self._deadlines)
