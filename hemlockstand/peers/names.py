"""Numbers in place of the names of pools and teams in messages.

Both ends number the sorted names of their configuration. A checksum tells
whether the numbers of a message mean the same names here::

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
from hemlockstand.peers.demands import PoolDemand, PoolTeam


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

    def encode(
        self, beat: peer_pb2.Beat, demands: Iterable[tuple[PoolTeam, PoolDemand]]
    ) -> None:
        """Write demands into a beat; those with unknown names are left out."""
        entries: dict[int, list[int]] = {}
        for place, demand in demands:
            pool = self._pool_numbers.get(place.pool)
            team = self._team_numbers.get(place.team)
            if pool is not None and team is not None:
                figures = entries.setdefault(pool, [])
                figures += (team, demand.waiting, demand.served)
        if entries:
            beat.names = self.checksum
        for pool, figures in entries.items():
            beat.pools.add(pool=pool, figures=figures)

    def decode(self, beat: peer_pb2.Beat) -> dict[PoolTeam, PoolDemand]:
        """Return the demands in a beat, none if its names are others."""
        if beat.names != self.checksum:
            return {}
        return {
            PoolTeam(self.pools[entry.pool], self.teams[team]): PoolDemand(
                waiting, served
            )
            for entry in beat.pools
            if entry.pool < len(self.pools)
            for team, waiting, served in zip(*[iter(entry.figures)] * 3, strict=False)
            if team < len(self.teams)
        }
