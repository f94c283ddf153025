"""The slots of one team in this daemon, used without a table access.

``TeamSlots`` counts the slots in use against those that the daemon holds in
the table. A request that has been sent keeps its slot until its outcome is
certain, or until its deadline plus a margin has passed.
"""

from collections.abc import Callable, Iterator
from heapq import heappop, heappush

import trio
from attrs import define, field

from hemlockstand.coordination.escrow import ELASTIC, Escrow, Split

Clock = Callable[[], float]

# The peak of use is remembered for one to two of these periods.
RECENT_USE_SECONDS = 2.0


@define(eq=False)
class Slot:
    """Permission to run one request of a team until ``deadline``.

    ``deadline`` is in seconds of the daemon's clock (``trio.current_time``),
    ``part`` is the part of the limit that the slot belongs to.
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

        Call this immediately before each send, without a checkpoint in
        between: the process may have been paused, and the lease may have
        expired. ``deadline`` is that of the request; the slot's deadline is
        reduced to it.
        """
        if deadline is not None and not self.sent:
            self.deadline = min(deadline, self.deadline)
        return self._owner.start(self)

    def release(self, certain: bool) -> None:
        """Release the slot.

        ``certain`` says that the outcome of the request is certain. Otherwise
        a slot whose request was sent stays in use until the deadline and the
        margin have passed.
        """
        self._owner.end(self, certain)


@define
class RecentUse:
    """The largest value of the current period and of the one before."""

    _began: float = float("-inf")
    _current: int = 0
    _before: int = 0

    def record(self, now: float, value: int) -> None:
        """Record the current value."""
        self._advance(now)
        self._current = max(self._current, value)

    def find(self, now: float) -> int:
        """Return the largest value of the last one to two periods."""
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
    """The slots of one team.

    ``may_use(part, keyed)`` says whether the lease, and for keyed requests
    the freshness of the configuration, permit the use of a part's slots.
    ``cap`` bounds the slots that are taken or uncertain while the daemon
    holds more than its fair share of an exhausted limit.

    A slot is taken from ``take`` to ``end``. If its request was sent and has
    no certain outcome, it is then uncertain until its deadline and the margin
    have passed; ``_uncertain`` has these times by part.
    """

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
    _taken: dict[str, set[Slot]] = field(factory=dict)
    _uncertain: dict[str, list[float]] = field(factory=dict)

    def parts(self) -> Iterator[str]:
        """Yield the parts that this daemon may use, the elastic part first.

        Reserved slots come last, so that they are still free if the data
        centre is cut off from the platform.
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
                self._taken.setdefault(part, set()).add(slot)
                self._recent.record(self.clock(), self.running())
                return slot
        return None

    def start(self, slot: Slot) -> bool:
        """Check all conditions of a send, and mark the slot as sent."""
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
        """Release a slot; it is free at once if its request was not sent."""
        if slot.ended:
            return
        slot.ended = True
        self._taken[slot.part].discard(slot)
        if slot.sent and not certain:
            times = self._uncertain.setdefault(slot.part, [])
            heappush(times, slot.deadline + self.margin_seconds)
        self.notify()

    def notify(self) -> None:
        """Wake all tasks that wait for a slot."""
        self.changed.set()
        self.changed = trio.Event()

    def count(self, part: str) -> int:
        """Return how many slots of the part are taken or uncertain."""
        return len(self._taken.get(part, ())) + self._count_uncertain(part)

    def used(self, part: str) -> int:
        """Return how many slots of the part may have a running request."""
        sent = sum(slot.sent for slot in self._taken.get(part, ()))
        return sent + self._count_uncertain(part)

    def running(self) -> int:
        """Return how many slots of all parts are taken or uncertain."""
        return sum(map(self.count, self.parts()))

    def recently_running(self) -> int:
        """Return the recent peak of ``running``."""
        return max(self.running(), self._recent.find(self.clock()))

    def held(self) -> int:
        """Return how many slots this daemon holds in the table."""
        return sum(map(self.escrow.usable, self.parts()))

    def has_running(self) -> bool:
        """Return whether any sent request has not ended yet."""
        return any(slot.sent for slots in self._taken.values() for slot in slots)

    def is_within(self) -> bool:
        """Return whether the row as last read permits new requests."""
        return self.escrow.within(self.split)

    def is_changed(self) -> bool:
        """Return whether the row has another limit than the configuration."""
        return self.escrow.shown_limit() not in (None, self.split.limit)

    def used_parts(self) -> dict[str, int]:
        """Return by part how many slots may have a running request."""
        return {part: self.used(part) for part in self.parts()}

    def taken_parts(self) -> dict[str, int]:
        """Return by part how many slots are taken or uncertain."""
        return {part: self.count(part) for part in self.parts()}

    def next_free_at(self) -> float:
        """Return when the next uncertain slot becomes free, or infinity."""
        times = [until[0] for until in self._uncertain.values() if until]
        return min(times, default=float("inf"))

    def _count_uncertain(self, part: str) -> int:
        times = self._uncertain.get(part, [])
        while times and times[0] <= self.clock():
            heappop(times)
        return len(times)
