"""How fast information spreads over the sparse exchange, by fleet size.

The daemons' exchange runs on a simulated clock without a network, so the
result does not depend on the machine. After ten seconds the platform fails
permanently. Later one daemon gets a change that no other has, and another
daemon ends::

    python -m bench.spread
"""

import heapq
from collections.abc import Callable, Iterator
from itertools import count
from random import Random
from statistics import quantiles

from attrs import define, field, frozen

from bench.figures import Figure
from hemlockstand.coordination.freshness import FreshnessTracker, Scope
from hemlockstand.coordination.membership import MembershipView, Peer
from hemlockstand.peers.demands import DemandRegistry
from hemlockstand.peers.heartbeats import HeartbeatHandler
from hemlockstand.peers.messages import decode_report

# Numbers of daemons, each with its number of data centres.
SIZES = ((9, 3), (30, 6), (100, 12), (220, 22))
INTERVAL_SECONDS = 1.0
ROUND_TRIP_SECONDS = 0.006
BOUND_SECONDS = 4.0
SUSPECT_SECONDS = 5.0
OUTAGE_AT_SECONDS = 10.0
STEADY_AT_SECONDS = 20.0
CHANGE_AT_SECONDS = 30.0
END_SECONDS = 45.0
SAMPLE_SECONDS = 0.5
SEED = 7


@define(eq=False)
class Clock:
    """The simulated clock that all daemons share."""

    now: float = 0.0

    def read(self) -> float:
        """Return the time in seconds."""
        return self.now


@define(eq=False)
class SimulatedDaemon:
    """The parts of one daemon that the exchange uses."""

    name: str
    data_centre: str
    tracker: FreshnessTracker
    view: MembershipView
    heartbeat_handler: HeartbeatHandler


@frozen
class SpreadResult:
    """Results for one fleet size.

    ``stamp_ages`` are in seconds. ``alive_fraction`` is the mean fraction of
    its peers that a daemon considers alive, sampled before the change.
    ``change_seconds`` is the time until all daemons have the change,
    ``seen_by_author_seconds`` until the author knows that they have it, and
    ``end_seen_seconds`` until no daemon considers the ended one alive.
    """

    daemons: int
    stamp_ages: list[float]
    alive_fraction: float
    change_seconds: float
    seen_by_author_seconds: float
    end_seen_seconds: float


@define(eq=False)
class Simulation:
    """A fleet whose daemons exchange heartbeats at different phases."""

    daemons: int
    data_centres: int
    clock: Clock = field(factory=Clock)
    fleet: dict[str, SimulatedDaemon] = field(factory=dict)
    _random: Random = field(factory=lambda: Random(SEED))
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _sequence: Iterator[int] = field(factory=count)
    _stamp_ages: list[float] = field(factory=list)
    _alive_fractions: list[float] = field(factory=list)
    _all_changed_at: float | None = None
    _seen_by_author_at: float | None = None
    _end_seen_at: float | None = None
    _ended: SimulatedDaemon | None = None

    def run(self) -> SpreadResult:
        """Run to the end and return the results."""
        self._build_fleet()
        self._schedule(CHANGE_AT_SECONDS, self._change)
        while self._events and self._events[0][0] < END_SECONDS:
            self.clock.now, _, action = heapq.heappop(self._events)
            action()
        changed_at = self._all_changed_at or float("inf")
        return SpreadResult(
            self.daemons,
            self._stamp_ages,
            sum(self._alive_fractions) / len(self._alive_fractions),
            changed_at - CHANGE_AT_SECONDS,
            (self._seen_by_author_at or float("inf")) - CHANGE_AT_SECONDS,
            (self._end_seen_at or float("inf")) - CHANGE_AT_SECONDS,
        )

    def _build_fleet(self) -> None:
        names = tuple(f"dc{number:02d}" for number in range(self.data_centres))
        for number in range(self.daemons):
            daemon = self._make_daemon(
                f"entry-{number:03d}", names[number % len(names)], names
            )
            self.fleet[daemon.name] = daemon
        for daemon in self.fleet.values():
            others = (other for other in self.fleet.values() if other is not daemon)
            daemon.view.set_candidates(
                Peer(other.name, "", other.data_centre, f"{other.name}:8102")
                for other in others
            )
            phase = self._random.random()
            self._repeat(
                phase,
                INTERVAL_SECONDS,
                lambda own=daemon: self._run_exchange_round(own),
            )
            phase = self._random.random()
            self._repeat(phase, INTERVAL_SECONDS, lambda own=daemon: self._poll(own))
        self._repeat(STEADY_AT_SECONDS, SAMPLE_SECONDS, self._sample)

    def _make_daemon(
        self, name: str, data_centre: str, data_centres: tuple[str, ...]
    ) -> SimulatedDaemon:
        tracker = FreshnessTracker(
            data_centre, data_centres, BOUND_SECONDS, self.clock.read
        )
        tracker.set_version(1)
        view_random = Random(self._random.random())
        view = MembershipView(SUSPECT_SECONDS, self.clock.read, view_random)
        demand_registry = DemandRegistry(self.clock.read)
        heartbeat_handler = HeartbeatHandler(
            name, f"{name}-1", data_centre, view, demand_registry, tracker
        )
        heartbeat_handler.pool_demand_registry = DemandRegistry(self.clock.read)
        heartbeat_handler.address = f"{name}:8102"
        return SimulatedDaemon(name, data_centre, tracker, view, heartbeat_handler)

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def _repeat(self, time: float, interval: float, action: Callable[[], None]) -> None:
        def run_again() -> None:
            action()
            self._repeat(self.clock.now + interval, interval, action)

        self._schedule(time, run_again)

    def _poll(self, daemon: SimulatedDaemon) -> None:
        if self.clock.now < OUTAGE_AT_SECONDS:
            daemon.tracker.record_read(self.clock.now, 1)
        else:
            daemon.tracker.record_failure()

    def _run_exchange_round(self, daemon: SimulatedDaemon) -> None:
        if daemon is self._ended:
            return
        stalest = daemon.tracker.stalest_data_centre()
        for peer in daemon.view.choose_targets(daemon.data_centre, stalest):
            self._exchange(daemon, self.fleet[peer.name])

    def _exchange(self, caller: SimulatedDaemon, called: SimulatedDaemon) -> None:
        if called is self._ended:
            return
        called.heartbeat_handler.apply(caller.heartbeat_handler.make(False))
        reply = called.heartbeat_handler.make_reply(caller.name, False)
        sent_at = self.clock.now - ROUND_TRIP_SECONDS
        caller.tracker.record_report(decode_report(reply), sent_at)
        caller.heartbeat_handler.apply(reply)
        version = max(caller.tracker.version, called.tracker.version)
        for daemon in (caller, called):
            if daemon.tracker.version < version:
                daemon.tracker.set_version(version)
                self._record_change()

    def _change(self) -> None:
        """Give the first daemon a change and end the last daemon."""
        first, *_, last = self.fleet.values()
        first.tracker.set_version(2)
        self._ended = last

    def _record_change(self) -> None:
        if all(daemon.tracker.version == 2 for daemon in self._list_running()):
            self._all_changed_at = self.clock.now

    def _list_running(self) -> list[SimulatedDaemon]:
        return [daemon for daemon in self.fleet.values() if daemon is not self._ended]

    def _sample(self) -> None:
        if self._ended is not None:
            self._sample_change()
            return
        for daemon in self.fleet.values():
            self._stamp_ages.append(daemon.tracker.age(Scope.FLEET))
            known = daemon.view.list_peers()
            alive = sum(daemon.view.is_alive(heard.peer.name) for heard in known)
            self._alive_fractions.append(alive / len(known))

    def _sample_change(self) -> None:
        first, *_, last = self.fleet.values()
        versions = [
            heard.peer.version
            for heard in first.view.list_peers()
            if heard.peer.name != last.name
        ]
        if self._seen_by_author_at is None and min(versions) == 2:
            self._seen_by_author_at = self.clock.now
        alive = (daemon.view.is_alive(last.name) for daemon in self._list_running())
        if self._end_seen_at is None and not any(alive):
            self._end_seen_at = self.clock.now


def measure_figures() -> Iterator[Figure]:
    """Yield the figures of all sizes."""
    for daemons, data_centres in SIZES:
        result = Simulation(daemons, data_centres).run()
        prefix = f"spread_{daemons}"
        ages = quantiles(result.stamp_ages, n=100)
        yield Figure(f"{prefix}_outage_proof_age_p50", ages[49], "seconds")
        yield Figure(f"{prefix}_outage_proof_age_p99", ages[98], "seconds")
        yield Figure(
            f"{prefix}_outage_proof_age_max", max(result.stamp_ages), "seconds"
        )
        yield Figure(f"{prefix}_seen_alive", result.alive_fraction, "fraction")
        yield Figure(f"{prefix}_change_everywhere", result.change_seconds, "seconds")
        yield Figure(
            f"{prefix}_change_seen_by_author", result.seen_by_author_seconds, "seconds"
        )
        yield Figure(f"{prefix}_end_seen_by_all", result.end_seen_seconds, "seconds")


def main() -> None:
    """Print the figures."""
    for figure in measure_figures():
        print(figure.format_line(), flush=True)


if __name__ == "__main__":
    main()
