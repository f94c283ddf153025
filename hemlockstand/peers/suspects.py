"""Notices of suspect executors, spread among the daemons of a data centre.

Every daemon that receives a notice passes it on for a few seconds. The id of a
notice lets a daemon handle it only once, so that an expired notice is not
revived by a peer that still sends it.
"""

from collections.abc import Callable
from math import ceil
from random import Random

import trio
from attrs import define, field, frozen

from hemlockstand.peers import peer_pb2

# Older notices are not sent any more. A daemon that received none for this
# long learns from the instance list that the executor is leaving.
SUSPECT_NOTICE_KEEP_SECONDS = 5.0
# More than the executors of a rack. If there are more notices at once,
# successive heartbeats rotate through them.
SUSPECT_NOTICES_PER_HEARTBEAT = 16


@frozen
class SuspectNotice:
    """Notice that an executor is suspected to be leaving or unreachable.

    ``address`` distinguishes the process from a later one of the same name.
    ``is_refused`` says that a connection was refused. That may also be a
    network fault between the daemon and the executor.
    """

    executor: str
    address: str
    is_refused: bool


@frozen
class _Dated:
    notice: SuspectNotice
    seen_at: float


@define
class SuspectNoticeBuffer:
    """The recent notices of this daemon and its peers."""

    clock: Callable[[], float] = trio.current_time
    random: Random = field(factory=Random)
    handler: Callable[[SuspectNotice], None] | None = None
    _notices: dict[int, _Dated] = field(factory=dict, init=False)
    _cursor: int = field(default=0, init=False)

    def add(self, notice: SuspectNotice) -> None:
        """Add a notice of this daemon."""
        self._notices[self.random.getrandbits(32)] = _Dated(notice, self.clock())

    def encode(self, heartbeat: peer_pb2.Beat) -> None:
        """Write the notices into a heartbeat within the data centre."""
        self._expire()
        numbers = list(self._notices)
        if len(numbers) > SUSPECT_NOTICES_PER_HEARTBEAT:
            start = self._cursor % len(numbers)
            self._cursor = start + SUSPECT_NOTICES_PER_HEARTBEAT
            numbers = (numbers + numbers)[start : start + SUSPECT_NOTICES_PER_HEARTBEAT]
        for number in numbers:
            dated = self._notices[number]
            heartbeat.signs.add(
                id=number,
                executor=dated.notice.executor,
                address=dated.notice.address,
                is_refused=dated.notice.is_refused,
                age_ms=ceil((self.clock() - dated.seen_at) * 1000),
            )

    def decode(self, heartbeat: peer_pb2.Beat) -> None:
        """Add the new notices of a heartbeat; call the handler for each."""
        for entry in heartbeat.signs:
            seen_at = self.clock() - entry.age_ms / 1000
            if entry.id in self._notices or self._is_old(seen_at):
                continue
            notice = SuspectNotice(entry.executor, entry.address, entry.is_refused)
            self._notices[entry.id] = _Dated(notice, seen_at)
            if self.handler is not None:
                self.handler(notice)

    def _expire(self) -> None:
        for number, dated in tuple(self._notices.items()):
            if self._is_old(dated.seen_at):
                del self._notices[number]

    def _is_old(self, seen_at: float) -> bool:
        return self.clock() - seen_at > SUSPECT_NOTICE_KEEP_SECONDS
