"""Shares the budget of an endpoint between its connections.

When a client needs more than is left, one connection at a time is closed to make
room: the oldest whose request is incomplete, then the one idle for longest, then
one whose client does not read its answer. Requests that are handled are never
closed, so what is refused here has not run.
"""

from collections import Counter
from typing import Protocol

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.serving.budget import Budget
from hemlockstand.serving.metrics import (
    CLIENT_BYTES,
    CLIENT_CONNECTIONS,
    CLIENT_REFUSALS,
)

log = logger.bind(module=__name__)

# Interval between checks of deadlines and of what can be closed for others.
CHECK_SECONDS = 0.25
# A client that sends at once is not closed for others in this time.
MIN_AGE_SECONDS = 0.5
# Connections that wait to be served, as a part of those that are served. They
# are accepted, so that one of another source need not wait behind them.
WAITING_SHARE = 0.125
# Callers wait 3 s for an answer unless they say otherwise.
ADMIT_SECONDS = 3.0
# Interval between log lines about one reason, which a crowd may give thousands
# of times a second.
LOG_SECONDS = 5.0


class Held(Protocol):
    """A connection as the limiter sees it."""

    source: str
    since: float
    deadline: float
    closed: bool

    @property
    def rank(self) -> int | None:
        """Order in which connections are closed; None for never."""

    def expire(self) -> None:
        """Close the connection, because its deadline has passed."""

    def evict(self) -> None:
        """Close the connection to make room."""


@define(eq=False)
class Limiter:
    """The connections of an endpoint, and what is left for them."""

    endpoint: str
    budget: Budget
    connections: set[Held] = field(factory=set)
    _closing: set[Held] = field(factory=set)
    _waiting: int = 0
    _admitting: int = 0
    _freed: trio.Event = field(factory=trio.Event)
    _logged_at: dict[str, float] = field(factory=dict)
    _unlogged: Counter[str] = field(factory=Counter)

    @property
    def crowded(self) -> bool:
        """Whether connections wait until others are closed."""
        return self._admitting > 0

    async def wait_admission(self) -> None:
        """Wait while as many connections wait for room as may be accepted."""
        while self._admitting > self.budget.max_connections * WAITING_SHARE:
            await self._wait()

    def admit(self, source: str) -> bool:
        """Return whether a connection may be served; it may wait if not."""
        if self.budget.take_connection(source):
            return True
        self._admitting += 1
        return False

    async def admit_late(self, source: str) -> bool:
        """Wait until there is room; False if the connection has to be closed."""
        try:
            with trio.move_on_after(ADMIT_SECONDS):
                while not self.budget.take_connection(source):
                    self._make_room(source)
                    await self._wait()
                return True
            return False
        finally:
            self._admitting -= 1
            self.wake()

    def add(self, connection: Held) -> None:
        """Add an admitted connection."""
        self.connections.add(connection)
        CLIENT_CONNECTIONS.labels(self.endpoint).set(self.budget.connections)

    def remove(self, connection: Held) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        self._closing.discard(connection)
        self.budget.give_connection(connection.source)
        CLIENT_CONNECTIONS.labels(self.endpoint).set(self.budget.connections)
        self.wake()

    async def obtain(self, connection: Held, amount: int) -> None:
        """Wait until a connection may hold more bytes.

        Raises ``trio.ClosedResourceError`` if it is closed meanwhile.
        """
        while not self.budget.take_bytes(connection.source, amount):
            self._make_room(connection.source, connection)
            await self._wait()
            if connection.closed:
                raise trio.ClosedResourceError

    def release(self, connection: Held, amount: int) -> None:
        """Count bytes of a connection as free."""
        if amount:
            self.budget.give_bytes(connection.source, amount)
            self.wake()

    async def _wait(self) -> None:
        self._waiting += 1
        try:
            await self._freed.wait()
        finally:
            self._waiting -= 1

    def wake(self) -> None:
        """Let those who wait for room check again."""
        if self._waiting:
            self._freed.set()
            self._freed = trio.Event()

    def _make_room(self, source: str, needed_by: Held | None = None) -> None:
        """Close one connection, if one can be closed.

        The next one is closed only after this one has ended.
        """
        if self._closing:
            return
        latest = trio.current_time() - MIN_AGE_SECONDS
        candidates = [
            connection
            for connection in self.connections
            if connection.since <= latest
            and connection.rank is not None
            and connection is not needed_by
        ]
        if self.budget.has_its_share(source):
            wanted = source
        else:
            sources = {connection.source for connection in candidates}
            wanted = max(sources, key=self.budget.bytes_of, default="")
        victims = (each for each in candidates if each.source == wanted)
        victim = min(victims, key=lambda each: (each.rank, each.since), default=None)
        if victim is not None:
            self._closing.add(victim)
            victim.evict()

    async def check(self) -> None:
        """Close what is too slow, until cancelled."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            now = trio.current_time()
            for connection in [
                each for each in self.connections if each.deadline <= now
            ]:
                connection.expire()
            self.wake()
            CLIENT_BYTES.labels(self.endpoint).set(self.budget.used_bytes)

    def count(self, reason: str, source: str) -> None:
        """Count a refusal, and log it unless its reason was logged just now."""
        CLIENT_REFUSALS.labels(self.endpoint, reason).inc()
        self._unlogged[reason] += 1
        now = trio.current_time()
        if now < self._logged_at.get(reason, 0) + LOG_SECONDS:
            return
        self._logged_at[reason] = now
        log.warning(
            "clients were refused",
            endpoint=self.endpoint,
            reason=reason,
            count=self._unlogged.pop(reason),
            source=source,
            connections=self.budget.connections,
            held_bytes=self.budget.used_bytes,
            max_bytes=self.budget.max_bytes,
        )
