"""Slots of one team in this daemon: taken, sent and released without a table.

``TeamSlots`` counts against the slots that the daemon holds in the table. A
request that has been sent keeps its slot until its outcome is certain or its
deadline and a margin have passed.
"""

from collections.abc import Callable, Iterator
from heapq import heappop, heappush

import trio
from attrs import define, field

from hemlockstand.coordination.escrow import ELASTIC, Escrow, Split

Clock = Callable[[], float]

# The largest use is remembered for one to two of these periods.
RECENT_USE_SECONDS = 2.0


@define(eq=False)
class Slot:
    """Permission to run one request of a team until ``deadline``.

    ``deadline`` is in seconds of the daemon's clock (``trio.current_time``).
    """

    team: str
    part: str
    deadline: float
    keyed: bool
    _owner: "TeamSlots"
    sent: bool = False
    ended: bool = False

    def may_send(self, deadline: float | None = None) -> bool:
        """Return whether the request may be sent now.

        Call it immediately before each send, without a checkpoint between:
        the process may have been paused and the lease may have lapsed.
        ``deadline`` is the request's own, at most that of the slot.
        """
        if deadline is not None and not self.sent:
            self.deadline = min(deadline, self.deadline)
        return self._owner.start(self)

    def release(self, certain: bool) -> None:
        """Give the slot back; an uncertain end holds it to the deadline."""
        self._owner.end(self, certain)


@define
class RecentUse:
    """The largest value of the current period and of the one before."""

    _began: float = float("-inf")
    _current: int = 0
    _before: int = 0

    def record(self, now: float, value: int) -> None:
        """Take a value of this moment."""
        self._advance(now)
        self._current = max(self._current, value)

    def find(self, now: float) -> int:
        """Return the largest value of the last seconds."""
        self._advance(now)
        return max(self._current, self._before)

    def _advance(self, now: float) -> None:
        if now - self._began < RECENT_USE_SECONDS:
            return
        is_next = now - self._began < 2 * RECENT_USE_SECONDS
        self._before = self._current if is_next else 0
        self._current = 0
        self._began = now


@define(eq=False)
class TeamSlots:
    """The slots of one team; ``may_use(part, keyed)`` checks the proofs."""

    team: str
    data_centre: str
    escrow: Escrow
    split: Split
    may_use: Callable[[str, bool], bool]
    clock: Clock
    margin_seconds: float
    waiting: int = 0
    cap: int | None = None
    changed: trio.Event = field(factory=trio.Event)
    _recent: "RecentUse" = field(factory=lambda: RecentUse())
    _open: dict[str, set[Slot]] = field(factory=dict)
    _held: dict[str, list[float]] = field(factory=dict)

    def parts(self) -> Iterator[str]:
        """Yield the parts that this daemon may use, elastic first.

        Reserved slots come last, so that they are free for the data centre
        when it is cut off.
        """
        yield ELASTIC
        yield self.data_centre

    def take(self, deadline: float, keyed: bool) -> Slot | None:
        """Take a free slot, or return None."""
        if self.cap is not None and self.running() >= self.cap:
            return None
        if not self.escrow.within(self.split):
            return None
        for part in self.parts():
            free = self.escrow.usable(part) > self.count(part)
            if free and self.may_use(part, keyed):
                slot = Slot(self.team, part, deadline, keyed, self)
                self._open.setdefault(part, set()).add(slot)
                self._recent.record(self.clock(), self.running())
                return slot
        return None

    def start(self, slot: Slot) -> bool:
        """Check all conditions of a send and count the slot as sent."""
        if slot.ended or self.clock() >= slot.deadline:
            return False
        if not self.may_use(slot.part, slot.keyed):
            return False
        if slot.sent:
            return True
        room = self.escrow.usable(slot.part) - self.used(slot.part)
        if room <= 0 or not self.escrow.within(self.split):
            return False
        slot.sent = True
        return True

    def end(self, slot: Slot, certain: bool) -> None:
        """Release a slot; one that was never sent is free at once."""
        if slot.ended:
            return
        slot.ended = True
        self._open[slot.part].discard(slot)
        if slot.sent and not certain:
            held = self._held.setdefault(slot.part, [])
            heappush(held, slot.deadline + self.margin_seconds)
        self.notify()

    def notify(self) -> None:
        """Wake all tasks that wait for a slot."""
        self.changed.set()
        self.changed = trio.Event()

    def count(self, part: str) -> int:
        """Return how many slots of the part are taken or held."""
        return len(self._open.get(part, ())) + self._count_held(part)

    def used(self, part: str) -> int:
        """Return how many slots of the part may have work running."""
        sent = sum(slot.sent for slot in self._open.get(part, ()))
        return sent + self._count_held(part)

    def running(self) -> int:
        """Return how many slots of all parts are taken or held."""
        return sum(map(self.count, self.parts()))

    def recently_running(self) -> int:
        """Return the largest number of slots in use in the last seconds."""
        return max(self.running(), self._recent.find(self.clock()))

    def held(self) -> int:
        """Return how many slots this daemon has in the table."""
        return sum(map(self.escrow.usable, self.parts()))

    def has_running(self) -> bool:
        """Return whether a sent request has not ended yet."""
        return any(slot.sent for slots in self._open.values() for slot in slots)

    def is_within(self) -> bool:
        """Return whether the row as last seen allows starts."""
        return self.escrow.within(self.split)

    def is_changed(self) -> bool:
        """Return whether the row shows another limit than the configuration."""
        return self.escrow.shown_limit() not in (None, self.split.limit)

    def used_parts(self) -> dict[str, int]:
        """Return the slots that may have work running, by part."""
        return {part: self.used(part) for part in self.parts()}

    def taken_parts(self) -> dict[str, int]:
        """Return the slots that are taken or held, by part."""
        return {part: self.count(part) for part in self.parts()}

    def next_free_at(self) -> float:
        """Return when the next held slot becomes free, or infinity."""
        times = [held[0] for held in self._held.values() if held]
        return min(times, default=float("inf"))

    def _count_held(self, part: str) -> int:
        held = self._held.get(part, [])
        while held and held[0] <= self.clock():
            heappop(held)
        return len(held)
