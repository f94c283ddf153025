"""Numbers that replace the names of pools and teams in messages.

Both ends number the sorted names of their configuration. A checksum shows
whether the numbers of a message stand for the same names at the receiver::

    >>> names = NameIndex.make(["hinge", "clamp"], ["quotes", "ledger"])
    >>> names.teams
    ('ledger', 'quotes')
    >>> names.checksum == NameIndex.make(["clamp"], ["ledger"]).checksum
    False
"""

from collections.abc import Iterable, Mapping
from zlib import crc32

from attrs import field, frozen

from hemlockstand.peers import peer_pb2
from hemlockstand.peers.demands import Demand, PoolDemand, PoolTeam


def _number(names: tuple[str, ...]) -> dict[str, int]:
    return {name: number for number, name in enumerate(names)}


@frozen
class NameIndex:
    """The sorted names of pools and teams."""

    pools: tuple[str, ...] = ()
    teams: tuple[str, ...] = ()
    checksum: int = 0
    _pool_numbers: Mapping[str, int] = field(factory=dict, repr=False)
    _team_numbers: Mapping[str, int] = field(factory=dict, repr=False)

    @classmethod
    def make(cls, pools: Iterable[str], teams: Iterable[str]) -> "NameIndex":
        """Return the index of these names."""
        sorted_pools, sorted_teams = tuple(sorted(pools)), tuple(sorted(teams))
        text = "\n".join((*sorted_pools, "", *sorted_teams))
        return cls(
            sorted_pools,
            sorted_teams,
            crc32(text.encode()),
            _number(sorted_pools),
            _number(sorted_teams),
        )

    def encode_teams(
        self, heartbeat: peer_pb2.Beat, demands: Iterable[tuple[str, Demand]]
    ) -> None:
        """Write demands by team into a heartbeat.

        Teams that are not in the index are sent by name.
        """
        for team, demand in demands:
            entry = heartbeat.demands.add(
                waiting=demand.waiting, running=demand.running, idle=demand.idle
            )
            if team in self._team_numbers:
                entry.number = self._team_numbers[team]
                heartbeat.names = self.checksum
            else:
                entry.team = team

    def decode_teams(self, heartbeat: peer_pb2.Beat) -> dict[str, Demand]:
        """Return the demands by team, without those of unknown teams."""
        teams = self.teams if heartbeat.names == self.checksum else ()
        demands = {}
        for entry in heartbeat.demands:
            name = entry.team
            if entry.HasField("number"):
                name = teams[entry.number] if entry.number < len(teams) else ""
            if name:
                demands[name] = Demand(entry.waiting, entry.running, entry.idle)
        return demands

    def encode_pools(
        self, heartbeat: peer_pb2.Beat, demands: Iterable[tuple[PoolTeam, PoolDemand]]
    ) -> None:
        """Write demands by pool and team, without names not in the index."""
        entries: dict[int, dict[int, PoolDemand]] = {}
        for pool_team, demand in demands:
            pool = self._pool_numbers.get(pool_team.pool)
            team = self._team_numbers.get(pool_team.team)
            if pool is not None and team is not None:
                entries.setdefault(pool, {})[team] = demand
        for pool, teams in entries.items():
            heartbeat.names = self.checksum
            figures = heartbeat.pools.add(pool=pool).figures
            before = 0
            for team in sorted(teams):
                demand = teams[team]
                figures.extend((team - before, demand.waiting, demand.served))
                before = team

    def decode_pools(self, heartbeat: peer_pb2.Beat) -> dict[PoolTeam, PoolDemand]:
        """Return the demands by pool and team; none if checksums differ."""
        if heartbeat.names != self.checksum:
            return {}
        demands = {}
        for entry in heartbeat.pools:
            figures = iter(entry.figures)
            team = 0
            for step, waiting, served in zip(figures, figures, figures, strict=False):
                team += step
                if entry.pool < len(self.pools) and team < len(self.teams):
                    pool_team = PoolTeam(self.pools[entry.pool], self.teams[team])
                    demands[pool_team] = PoolDemand(waiting, served)
        return demands
