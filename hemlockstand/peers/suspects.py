"""Signs that an executor leaves, told to the daemons of the data centre.

A sign travels for a few seconds and is passed on by each daemon that hears of
it. Its id lets a daemon take it once, so that a sign that has expired is not
revived by a peer that still tells of it.
"""

from collections.abc import Callable
from math import ceil
from random import Random

import trio
from attrs import define, field, frozen

from hemlockstand.peers import peer_pb2

# Signs older than this are told no more. Daemons that miss them this long
# see the executor leave in the instance list.
SUSPECT_NOTICE_KEEP_SECONDS = 5.0
# A rack has fewer executors; with more signs at once they take turns.
SUSPECT_NOTICES_PER_HEARTBEAT = 16


@frozen
class SuspectNotice:
    """An executor that refused: its process leaves or cannot be reached.

    ``address`` tells the process from a later one of the same name.
    ``is_refused`` says that a connection was refused, which may be a fault
    between the two instead.
    """

    executor: str
    address: str
    is_refused: bool


@frozen
class _Dated:
    sign: SuspectNotice
    seen_at: float


@define
class SuspectNoticeBuffer:
    """The signs seen here or heard of from peers."""

    clock: Callable[[], float] = trio.current_time
    random: Random = field(factory=Random)
    handler: Callable[[SuspectNotice], None] | None = None
    _signs: dict[int, _Dated] = field(factory=dict, init=False)
    _cursor: int = field(default=0, init=False)

    def add(self, sign: SuspectNotice) -> None:
        """Take a sign that was seen here."""
        self._signs[self.random.getrandbits(32)] = _Dated(sign, self.clock())

    def encode(self, heartbeat: peer_pb2.Beat) -> None:
        """Write the signs into a beat to a daemon of the data centre."""
        self._expire()
        numbers = list(self._signs)
        if len(numbers) > SUSPECT_NOTICES_PER_HEARTBEAT:
            start = self._cursor % len(numbers)
            self._cursor = start + SUSPECT_NOTICES_PER_HEARTBEAT
            numbers = (numbers + numbers)[start : start + SUSPECT_NOTICES_PER_HEARTBEAT]
        for number in numbers:
            dated = self._signs[number]
            heartbeat.signs.add(
                id=number,
                executor=dated.sign.executor,
                address=dated.sign.address,
                is_refused=dated.sign.is_refused,
                age_ms=ceil((self.clock() - dated.seen_at) * 1000),
            )

    def decode(self, heartbeat: peer_pb2.Beat) -> None:
        """Take the signs in a beat that are not known yet."""
        for entry in heartbeat.signs:
            seen_at = self.clock() - entry.age_ms / 1000
            if entry.id in self._signs or self._is_old(seen_at):
                continue
            sign = SuspectNotice(entry.executor, entry.address, entry.is_refused)
            self._signs[entry.id] = _Dated(sign, seen_at)
            if self.handler is not None:
                self.handler(sign)

    def _expire(self) -> None:
        for number, dated in tuple(self._signs.items()):
            if self._is_old(dated.seen_at):
                del self._signs[number]

    def _is_old(self, seen_at: float) -> bool:
        return self.clock() - seen_at > SUSPECT_NOTICE_KEEP_SECONDS
