"""Adjusts the weights of the pools' queues towards fleet-wide shares.

Each daemon publishes to its peers how many requests of each team wait in each
pool and how many are served there. In a large fleet a daemon receives the
figures of a sample of the others only, and scales them to all living ones.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import trio
from attrs import define, field, frozen

from hemlockstand.coordination.shares import (
    COMPLETE_GAIN,
    SAMPLED_GAIN,
    RateMeter,
    ShareCorrection,
)
from hemlockstand.model import Configuration
from hemlockstand.peers.demands import PoolDemand, PoolTeam
from hemlockstand.requests.interfaces import PeersSource

UPDATE_SECONDS = 0.1
IDLE_UPDATE_SECONDS = 0.5  # while nothing waits; each update wakes the process
# Members change slowly, and a large fleet has hundreds.
MEMBERS_REFRESH_SECONDS = 1.0
TENTHS_PER_REQUEST = 10
# If fewer of the peers were heard recently, the rates are estimates.
COMPLETE_FRACTION = 0.75


@frozen
class _Sample:
    """Demands of the daemons heard recently, by data centre.

    ``alive`` counts the living peers by data centre.
    """

    heard: Mapping[str, list[Mapping[PoolTeam, PoolDemand]]]
    alive: Mapping[str, int]

    def is_complete(self) -> bool:
        """Return whether nearly all living peers were heard."""
        heard = sum(len(demands) for demands in self.heard.values())
        return heard >= COMPLETE_FRACTION * sum(self.alive.values())

    def estimate(self, pool_team: PoolTeam, own: str, others: Iterable[str]) -> float:
        """Return the rate of all other daemons, in requests per second.

        Peers in this data centre are heard more often than others, so the two
        groups are scaled separately.
        """
        return sum(
            self._scale(pool_team, group) for group in ({own}, set(others) - {own})
        )

    def _scale(self, pool_team: PoolTeam, data_centres: set[str]) -> float:
        heard = [
            demands for name in data_centres for demands in self.heard.get(name, ())
        ]
        if not heard:
            return 0.0
        alive = max(len(heard), sum(self.alive.get(name, 0) for name in data_centres))
        served = sum(
            demands[pool_team].served for demands in heard if pool_team in demands
        )
        return served / TENTHS_PER_REQUEST * alive / len(heard)


@define(eq=False)
class FleetShares:
    """Measures what this daemon serves and computes the weight factors."""

    data_centre: str
    _peers: PeersSource
    clock: Callable[[], float] = trio.current_time
    _meter: RateMeter[PoolTeam] = field(factory=RateMeter)
    _corrections: dict[str, ShareCorrection] = field(factory=dict)
    _published: set[PoolTeam] = field(factory=set)
    _updated_at: float = field(init=False)
    _configuration: Configuration = field(factory=Configuration)
    _members_at: float = float("-inf")
    _centres_of_peers: dict[str, str] = field(factory=dict)
    _alive: Counter[str] = field(factory=Counter)
    _pools_with_waiting_peers: frozenset[str] = frozenset()

    def __attrs_post_init__(self) -> None:
        self._updated_at = self.clock()

    def record_served(self, pool: str, team: str) -> None:
        """Count a request that was assigned to an executor of the pool."""
        self._meter.record(PoolTeam(pool, team))

    def factor(self, pool: str, team: str) -> float:
        """Return the factor of the team's weight in the pool."""
        correction = self._corrections.get(pool)
        return 1.0 if correction is None else correction.factor(team)

    def is_wanted(self, pool: str) -> bool:
        """Return whether a peer in this data centre has work for the pool.

        Peers in other data centres use other executors.
        """
        return pool in self._pools_with_waiting_peers

    def update(
        self,
        configuration: Configuration,
        waiting: Mapping[str, Mapping[str, int]],
        limited: Mapping[str, Iterable[str]],
    ) -> None:
        """Publish this daemon's figures to the peers, and update the factors.

        ``waiting`` counts requests by pool and team. ``limited`` has the
        teams, by pool, that are at their limit; their rates do not depend on
        their shares, so they are left out.
        """
        now = self.clock()
        seconds = now - self._updated_at
        if seconds <= 0.0:
            return
        self._updated_at = now
        self._update_names(configuration)
        self._meter.update(seconds)
        self._publish(waiting)
        sample = self._take_sample(now)
        self._pools_with_waiting_peers = frozenset(
            pool_team.pool
            for demands in sample.heard.get(self.data_centre, ())
            for pool_team, demand in demands.items()
            if demand.waiting
        )
        for pool, teams in waiting.items():
            compared = [team for team in teams if team not in limited.get(pool, ())]
            self._correct(pool, compared, sample, seconds)

    def _update_names(self, configuration: Configuration) -> None:
        known = self._configuration
        if known.pools is not configuration.pools or (
            known.teams is not configuration.teams
        ):
            self._peers.set_names(configuration.pools, configuration.teams)
        self._configuration = configuration

    def _publish(self, waiting: Mapping[str, Mapping[str, int]]) -> None:
        """Publish figures of teams with work, and once more after it ended."""
        waiting_counts = {
            PoolTeam(pool, team): count
            for pool, teams in waiting.items()
            for team, count in teams.items()
        }
        active = {*waiting_counts, *self._meter.keys()}
        for pool_team in active | self._published:
            served = round(self._meter.get(pool_team) * TENTHS_PER_REQUEST)
            self._peers.publish_pool_demand(
                pool_team, PoolDemand(waiting_counts.get(pool_team, 0), served)
            )
        self._published = active

    def _take_sample(self, now: float) -> _Sample:
        if now - self._members_at >= MEMBERS_REFRESH_SECONDS:
            self._members_at = now
            alive = [member for member in self._peers.members() if member.alive]
            self._centres_of_peers = {
                member.name: member.data_centre for member in alive
            }
            self._alive = Counter(self._centres_of_peers.values())
        heard: dict[str, list[Mapping[PoolTeam, PoolDemand]]] = {}
        for daemon, demands in self._peers.pool_demands().items():
            if daemon in self._centres_of_peers:
                heard.setdefault(self._centres_of_peers[daemon], []).append(demands)
        return _Sample(heard, self._alive)

    def _correct(
        self, pool: str, teams: Iterable[str], sample: _Sample, seconds: float
    ) -> None:
        configuration = self._configuration
        shares = {
            team: configuration.teams[team].share
            for team in teams
            if team in configuration.teams
        }
        known = configuration.pools.get(pool)
        centres = known.data_centres if known is not None else ()
        rates = {}
        for team in shares:
            pool_team = PoolTeam(pool, team)
            others = sample.estimate(pool_team, self.data_centre, centres)
            rates[team] = self._meter.get(pool_team) + others
        correction = self._corrections.setdefault(pool, ShareCorrection())
        gain = COMPLETE_GAIN if sample.is_complete() else SAMPLED_GAIN
        correction.update(seconds, shares, rates, gain)
