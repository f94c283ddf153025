"""How close teams come to their shares over a fleet, on a simulated clock.

Each daemon serves a part of the pool's capacity from its own fair queue and
exchanges heartbeats like a real one; callers are distributed unevenly. What
the teams get in each second is compared with what they get from a single queue
with all requests and the whole capacity. The result does not depend on the
machine::

    python -m bench.shares
"""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from math import inf
from random import Random

from attrs import define, field, frozen

from bench.figures import Figure
from bench.spread import Clock
from hemlockstand.coordination.fairqueue import FairQueue
from hemlockstand.coordination.freshness import FreshnessTracker
from hemlockstand.coordination.membership import MembershipView, Peer
from hemlockstand.model import Configuration, Pool, PoolKind, Team
from hemlockstand.peers.demands import (
    POOL_DEMAND_KEEP_SECONDS,
    DemandRegistry,
    PoolDemand,
    PoolTeam,
)
from hemlockstand.peers.heartbeats import HeartbeatHandler
from hemlockstand.peers.members import Member
from hemlockstand.peers.names import NameIndex
from hemlockstand.peers.suspects import SuspectNoticeBuffer
from hemlockstand.requests.shares import UPDATE_SECONDS, FleetShares

POOL = "main"
LIGHT_LOAD = 0.05
PEAK_AT_SECONDS = 3
PEAK_SECONDS = 9
SETTLE_SECONDS = 3
EXCHANGE_SECONDS = 1.0
DEADLINE_SECONDS = 2.5
SUSPECT_SECONDS = 5.0
QUEUE_LENGTH = 1_000_000
BOUND = 0.05

# Demand at one daemon in a peak, by team, in units of the daemon's capacity.
Demand = Mapping[str, float]


@frozen
class Scenario:
    """Shares by team, and the demand at each daemon in a peak.

    The first ``pool_centres`` of the ``fleet_centres`` data centres have a part
    of the pool each; daemons of the others only take part in the exchange.
    ``rate`` is the number of requests that one daemon serves per second.
    """

    shares: Mapping[str, float]
    demands: Sequence[Demand]
    fleet_centres: int
    pool_centres: int
    rate: int = 60

    def count_queues(self) -> int:
        """Return the number of daemons that have a part of the pool."""
        numbers = range(len(self.demands))
        return sum(
            number % self.fleet_centres < self.pool_centres for number in numbers
        )


@define(eq=False)
class QueueDaemon:
    """The queue, the share corrections and the heartbeats of one daemon."""

    name: str
    data_centre: str
    view: MembershipView
    heartbeat_handler: HeartbeatHandler
    clock: Clock
    queue: FairQueue[str] = field(factory=lambda: FairQueue(QUEUE_LENGTH))
    shares: FleetShares = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.shares = FleetShares(self.data_centre, self, self.clock.read)

    def members(self) -> list[Member]:
        """Return the other daemons as the peers service would."""
        return [
            Member(
                name=heard.peer.name,
                incarnation=heard.peer.incarnation,
                data_centre=heard.peer.data_centre,
                address=heard.peer.address,
                alive=heard.age < SUSPECT_SECONDS,
                leaving=False,
                configuration_version=1,
            )
            for heard in self.view.list_peers()
        ]

    def set_names(self, pools, teams) -> None:
        """Number the names as the peers service would."""
        self.heartbeat_handler.names = NameIndex.make(pools, teams)

    def publish_pool_demand(self, pool_team: PoolTeam, demand: PoolDemand) -> None:
        """Set figures for the next heartbeats."""
        self.heartbeat_handler.pool_demand_registry.publish(pool_team, demand)

    def pool_demands(self) -> Mapping[str, Mapping[PoolTeam, PoolDemand]]:
        """Return the figures of the peers that were heard recently."""
        return self.heartbeat_handler.pool_demand_registry.list_peers()


@define(eq=False)
class Simulation:
    """The queues of a fleet, and a single queue that gets all requests."""

    scenario: Scenario
    seed: int = 1
    is_corrected: bool = True
    clock: Clock = field(factory=Clock)
    fleet: dict[str, QueueDaemon] = field(factory=dict)
    _single_queue: FairQueue[str] = field(factory=lambda: FairQueue(QUEUE_LENGTH))
    _random: Random = field(init=False)
    _next_exchange: dict[str, float] = field(factory=dict)
    _partial_arrivals: dict[tuple[str, str], float] = field(factory=dict)
    _configuration: Configuration = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        shares = self.scenario.shares
        centres = _name_centres(self.scenario.pool_centres)
        self._configuration = Configuration(
            teams={name: Team(name, "h", share, 1) for name, share in shares.items()},
            pools={POOL: Pool(POOL, PoolKind.EXECUTORS, centres, 1, 1)},
        )
        for number in range(len(self.scenario.demands)):
            self._add(number)
        for daemon in self.fleet.values():
            daemon.view.set_candidates(
                Peer(other.name, "", other.data_centre, other.name)
                for other in self.fleet.values()
                if other is not daemon
            )

    def run(self) -> Iterator[float]:
        """Yield the error of each second of the peak after the settling time.

        The error is the largest difference between what a team got and what it
        got from the single queue, as a fraction of the pool's capacity.
        """
        rate = self.scenario.rate
        capacity = rate * self.scenario.count_queues()
        updates = max(1, round(rate * UPDATE_SECONDS))
        for second in range(PEAK_AT_SECONDS + PEAK_SECONDS):
            fleet: Counter[str] = Counter()
            single: Counter[str] = Counter()
            for step in range(rate):
                self.clock.now = second + step / rate
                fleet.update(self._serve_step(single))
                self.exchange_due()
                if self.is_corrected and step % updates == 0:
                    self._update_all()
            if second >= PEAK_AT_SECONDS + SETTLE_SECONDS:
                teams = self.scenario.shares
                yield max(abs(fleet[team] - single[team]) for team in teams) / capacity

    def _add(self, number: int) -> None:
        centres = _name_centres(self.scenario.fleet_centres)
        name, centre = f"entry-{number:03d}", centres[number % len(centres)]
        tracker = FreshnessTracker(centre, centres, 4.0, self.clock.read)
        view = MembershipView(
            SUSPECT_SECONDS, self.clock.read, Random(self._random.random())
        )
        demand_registry = DemandRegistry(self.clock.read)
        heartbeat_handler = HeartbeatHandler(
            name, f"{name}-1", centre, view, demand_registry, tracker, name
        )
        heartbeat_handler.pool_demand_registry = DemandRegistry(
            self.clock.read, POOL_DEMAND_KEEP_SECONDS
        )
        heartbeat_handler.suspect_notices = SuspectNoticeBuffer(
            self.clock.read, Random(self._random.random())
        )
        self.fleet[name] = QueueDaemon(
            name, centre, view, heartbeat_handler, self.clock
        )
        self._next_exchange[name] = self._random.random() * EXCHANGE_SECONDS

    def _serve_step(self, single: Counter[str]) -> Iterator[str]:
        """Add new requests, serve one per queue and yield their teams."""
        now = self.clock.now
        for daemon, demand in zip(
            self.fleet.values(), self.scenario.demands, strict=True
        ):
            if not self._has_queue(daemon):
                continue
            for team, load in demand.items():
                self._add_arrivals(daemon, team, load)
            daemon.queue.expire(now)
            if (entry := daemon.queue.pop(now)) is not None:
                daemon.shares.record_served(POOL, entry.item)
                yield entry.item
            if (entry := self._single_queue.pop(now)) is not None:
                single[entry.item] += 1
        self._single_queue.expire(now)

    def _add_arrivals(self, daemon: QueueDaemon, team: str, load: float) -> None:
        key = (daemon.name, team)
        if self.clock.now < PEAK_AT_SECONDS:
            load = LIGHT_LOAD
        arrivals = self._partial_arrivals.get(key, self._random.random()) + load
        while arrivals >= 1.0:
            arrivals -= 1.0
            deadline = self.clock.now + DEADLINE_SECONDS
            share = self.scenario.shares[team]
            weight = share * daemon.shares.factor(POOL, team)
            daemon.queue.push(team, team, weight, deadline)
            self._single_queue.push(team, team, share, deadline)
        self._partial_arrivals[key] = arrivals

    def _has_queue(self, daemon: QueueDaemon) -> bool:
        return daemon.data_centre in self._configuration.pools[POOL].data_centres

    def exchange_due(self) -> None:
        """Run the exchanges of all daemons that are due."""
        for daemon in self.fleet.values():
            if self.clock.now < self._next_exchange[daemon.name]:
                continue
            self._next_exchange[daemon.name] += EXCHANGE_SECONDS
            stalest = daemon.heartbeat_handler.tracker.stalest_data_centre()
            for peer in daemon.view.choose_targets(daemon.data_centre, stalest):
                called = self.fleet[peer.name]
                called.heartbeat_handler.apply(
                    daemon.heartbeat_handler.make(False, called.data_centre)
                )
                reply = called.heartbeat_handler.make_reply(
                    daemon.name, False, daemon.data_centre
                )
                daemon.heartbeat_handler.apply(reply)

    def _update_all(self) -> None:
        for daemon in self.fleet.values():
            waiting = daemon.queue.count_waiting()
            waiting_by_pool = {POOL: waiting} if waiting else {}
            daemon.shares.update(self._configuration, waiting_by_pool, {})
            for team in waiting:
                factor = daemon.shares.factor(POOL, team)
                daemon.queue.reweigh(team, self.scenario.shares[team] * factor)


def _name_centres(number: int) -> tuple[str, ...]:
    return tuple(f"dc{index:02d}" for index in range(number))


def make_small_scenarios() -> dict[str, Scenario]:
    """Return scenarios of nine daemons in three data centres.

    In all scenarios of this module the daemons can serve what the single queue
    serves: what it gives to a team never exceeds the capacity of the daemons
    that the team calls.
    """
    third = [{"a": 3.0, "b": 2.0} if n % 3 == 0 else {"b": 2.0} for n in range(9)]
    skewed = [
        {
            "a": 3.0 if n < 5 else 0.1,
            "b": 3.0 if n >= 3 else 0.1,
            "c": 2.0 if n in (2, 5, 8) else 0.0,
            "d": 1.0,
        }
        for n in range(9)
    ]
    single = [{"a": 5.0, "b": 0.8 if n in (0, 4) else 0.0, "c": 0.15} for n in range(9)]
    return {
        "one_data_centre": Scenario({"a": 1.0, "b": 3.0}, third, 3, 3),
        "skewed": Scenario({"a": 1.0, "b": 2.0, "c": 1.5, "d": 1.0}, skewed, 3, 3),
        "two_daemons": Scenario({"a": 1.0, "b": 1.0, "c": 2.0}, single, 3, 3),
    }


def make_large_scenario(daemons: int, centres: int, pool_centres: int) -> Scenario:
    """Return a scenario of six teams that call random daemons."""
    random = Random(5)
    chances = {"a": 1.0, "b": 0.8, "c": 0.7, "d": 0.6, "e": 0.6, "f": 0.5}
    demands = [
        {team: 2.0 for team, chance in chances.items() if random.random() < chance}
        for _ in range(daemons)
    ]
    shares = {team: 1.0 + number % 3 for number, team in enumerate(chances)}
    return Scenario(shares, demands, centres, pool_centres, rate=20)


def measure_figures() -> Iterator[Figure]:
    """Yield the largest error of a second, without and with correction."""
    scenarios = make_small_scenarios() | {
        "30_daemons": make_large_scenario(30, 6, 6),
        "100_daemons": make_large_scenario(100, 12, 12),
        "220_daemons": make_large_scenario(220, 22, 22),
        "220_daemons_pool_in_4": make_large_scenario(220, 22, 4),
    }
    for name, scenario in scenarios.items():
        for is_corrected in (False, True):
            errors = list(Simulation(scenario, is_corrected=is_corrected).run())
            label = "corrected" if is_corrected else "local"
            yield Figure(
                f"share_error_{label}_{name}",
                max(errors, default=inf),
                "of the pool",
                BOUND if is_corrected and name in make_small_scenarios() else None,
            )


def main() -> None:
    """Print the figures."""
    for figure in measure_figures():
        print(figure.format_line(), flush=True)


if __name__ == "__main__":
    main()
