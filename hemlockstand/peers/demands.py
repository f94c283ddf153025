"""Demand figures of this daemon and its peers, by team and by pool."""

from collections.abc import Callable, Hashable, Iterator, Mapping
from typing import Generic, Protocol, TypeVar

import trio
from attrs import define, field, frozen

# Figures older than this do not describe a peer's queues any more.
DEMAND_KEEP_SECONDS = 10.0
# Served rates are useful only while they are close to the current ones.
POOL_DEMAND_KEEP_SECONDS = 4.0


@frozen
class Demand:
    """Demand of one team at one daemon.

    ``waiting`` and ``running`` count requests, ``idle`` counts unused slots.
    """

    waiting: int
    running: int
    idle: int

    @property
    def is_active(self) -> bool:
        """Whether the figures have to be sent to peers."""
        return bool(self.waiting or self.running or self.idle)


@frozen(cache_hash=True)
class PoolTeam:
    """A pool and a team that has work for it."""

    pool: str
    team: str


@frozen
class PoolDemand:
    """Work of one team in one pool at one daemon.

    ``waiting`` counts requests. ``served`` is the recent average rate, in
    tenths of a request per second.
    """

    waiting: int
    served: int

    @property
    def is_active(self) -> bool:
        """Whether the figures have to be sent to peers."""
        return bool(self.waiting or self.served)


class Figures(Protocol):
    """The figures that a registry keeps for a key."""

    @property
    def is_active(self) -> bool: ...


KeyType = TypeVar("KeyType", bound=Hashable)
FiguresType = TypeVar("FiguresType", bound=Figures)


@frozen
class _Dated(Generic[FiguresType]):
    demand: FiguresType
    changed_at: float


@define
class DemandRegistry(Generic[KeyType, FiguresType]):
    """This daemon's figures to be sent and the figures received from peers."""

    clock: Callable[[], float] = trio.current_time
    keep_seconds: float = DEMAND_KEEP_SECONDS
    _own: dict[KeyType, _Dated[FiguresType]] = field(factory=dict, init=False)
    _cursor: int = field(default=0, init=False)
    _peers: dict[str, dict[KeyType, _Dated[FiguresType]]] = field(
        factory=dict, init=False
    )
    _heard_at: dict[str, float] = field(factory=dict, init=False)

    def publish(self, key: KeyType, demand: FiguresType) -> None:
        """Set this daemon's figures of a key."""
        known = self._own.get(key)
        if known is None or known.demand != demand:
            self._own[key] = _Dated(demand, self.clock())

    def choose(self, limit: int) -> list[tuple[KeyType, FiguresType]]:
        """Return at most ``limit`` figures of this daemon for one message.

        Keys that are idle and have not changed recently are left out. If the
        others exceed the limit, successive messages rotate through them.
        """
        keys = list(self._list_active())
        if len(keys) > limit:
            start = self._cursor % len(keys)
            self._cursor = start + limit
            keys = (keys + keys)[start : start + limit]
        return [(key, self._own[key].demand) for key in keys]

    def receive(self, daemon: str, demands: Mapping[KeyType, FiguresType]) -> None:
        """Store figures of a peer; keys that are left out stay unchanged."""
        now = self.clock()
        dated = {key: _Dated(demand, now) for key, demand in demands.items()}
        self._heard_at[daemon] = now
        self._peers.setdefault(daemon, {}).update(dated)

    def list_peers(self) -> dict[str, dict[KeyType, FiguresType]]:
        """Return the valid figures by daemon and key, and drop expired ones.

        A daemon that was heard recently is included even without figures.
        """
        valid_since = self.clock() - self.keep_seconds
        listed = {}
        for daemon, figures in tuple(self._peers.items()):
            for key in [
                key for key, entry in figures.items() if entry.changed_at <= valid_since
            ]:
                del figures[key]
            if figures or self._heard_at[daemon] > valid_since:
                listed[daemon] = {key: entry.demand for key, entry in figures.items()}
            else:
                del self._peers[daemon], self._heard_at[daemon]
        return listed

    def _list_active(self) -> Iterator[KeyType]:
        for key, dated in self._own.items():
            if dated.demand.is_active or self._is_recent(dated.changed_at):
                yield key

    def _is_recent(self, time: float) -> bool:
        return self.clock() - time < self.keep_seconds
