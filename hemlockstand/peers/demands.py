"""Demand figures of the teams, here and at the peers."""

from collections.abc import Callable, Iterator, Mapping

import trio
from attrs import define, field, frozen

# Figures older than this no longer describe a peer's queues.
DEMAND_KEEP_SECONDS = 10.0


@frozen
class Demand:
    """Demand of one team at one daemon.

    ``waiting`` and ``running`` count requests, ``idle`` counts unused slots,
    ``served`` counts requests since the daemon started.
    """

    waiting: int
    running: int
    idle: int
    served: int


@frozen
class _Dated:
    demand: Demand
    changed_at: float


@define
class DemandBoard:
    """Own figures to send and the figures received from peers."""

    clock: Callable[[], float] = trio.current_time
    _own: dict[str, _Dated] = field(factory=dict, init=False)
    _cursor: int = field(default=0, init=False)
    _peers: dict[str, dict[str, _Dated]] = field(factory=dict, init=False)

    def publish(self, team: str, demand: Demand) -> None:
        """Set the own figures of a team."""
        known = self._own.get(team)
        if known is None or known.demand != demand:
            self._own[team] = _Dated(demand, self.clock())

    def choose(self, limit: int) -> list[tuple[str, Demand]]:
        """Return own figures for one message.

        Teams that are idle and have not changed lately are left out; if the
        others are too many for one message, they take turns.
        """
        teams = list(self._list_active())
        if len(teams) > limit:
            start = self._cursor % len(teams)
            self._cursor = start + limit
            teams = (teams + teams)[start : start + limit]
        return [(team, self._own[team].demand) for team in teams]

    def receive(self, daemon: str, demands: Mapping[str, Demand]) -> None:
        """Take figures of a peer; teams that are not named are unchanged."""
        dated = {team: _Dated(demand, self.clock()) for team, demand in demands.items()}
        self._peers.setdefault(daemon, {}).update(dated)

    def list_peers(self) -> dict[str, dict[str, Demand]]:
        """Return the valid figures by daemon and team; drop the others."""
        for daemon in tuple(self._peers):
            valid = dict(self._list_valid(self._peers[daemon]))
            if valid:
                self._peers[daemon] = valid
            else:
                del self._peers[daemon]
        return {
            daemon: {team: dated.demand for team, dated in teams.items()}
            for daemon, teams in self._peers.items()
        }

    def _list_active(self) -> Iterator[str]:
        for team, dated in self._own.items():
            demand = dated.demand
            if demand.waiting or demand.running or demand.idle or self._is_valid(dated):
                yield team

    def _list_valid(self, teams: dict[str, _Dated]) -> Iterator[tuple[str, _Dated]]:
        for team, dated in teams.items():
            if self._is_valid(dated):
                yield team, dated

    def _is_valid(self, dated: _Dated) -> bool:
        return self.clock() - dated.changed_at < DEMAND_KEEP_SECONDS
