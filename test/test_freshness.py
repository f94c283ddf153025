"""Freshness proofs are sound and agree with a reference model."""

from math import inf

from attrs import define, field
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hemlockstand.coordination.freshness import (
    FreshnessTracker,
    Report,
    Scope,
    StampAge,
)

BOUND_SECONDS = 4.0
DATA_CENTRES = ("dc1", "dc2", "dc3")
TOLERANCE_SECONDS = 1e-6


@define
class Clock:
    """A clock that the test moves."""

    now: float = 1000.0

    def read(self) -> float:
        """Return the time in seconds."""
        return self.now


def is_close(first: float, second: float) -> bool:
    """Return whether two ages in seconds are equal except for rounding."""
    return first == second or abs(first - second) < TOLERANCE_SECONDS


def make_tracker(clock, data_centre="dc1", data_centres=("dc1", "dc2")):
    tracker = FreshnessTracker(data_centre, data_centres, BOUND_SECONDS, clock.read)
    tracker.set_version(0)
    return tracker


def test_read_is_dated_when_it_was_sent():
    """Guards against a read whose proof is dated when its answer arrives."""
    clock = Clock()
    tracker = make_tracker(clock)
    sent_at = clock.now
    clock.now += 3
    assert tracker.record_read(sent_at, 0)
    assert tracker.age(Scope.FLEET) == 3
    clock.now += 1.5
    assert not tracker.is_fresh(Scope.FLEET)


def test_stale_read_proves_nothing():
    """Guards against a stale replica that hides a withdrawn key."""
    clock = Clock()
    tracker = make_tracker(clock)
    tracker.set_version(5)
    assert not tracker.record_read(clock.now, 4)
    assert tracker.age(Scope.FLEET) == inf


def test_daemon_behind_a_peer_is_not_fresh():
    """Guards against keyed work on a version that is older than a peer's."""
    clock = Clock()
    tracker = make_tracker(clock)
    tracker.record_read(clock.now, 0)
    assert tracker.is_fresh(Scope.FLEET)
    tracker.record_version(1)
    assert not tracker.is_fresh(Scope.FLEET)
    tracker.set_version(1)
    assert tracker.is_fresh(Scope.FLEET)


def test_peer_proof_is_dated_by_age_and_round_trip():
    """Guards against a proof whose age leaves out the time on a slow link."""
    clock = Clock()
    tracker = make_tracker(clock)
    sent_at = clock.now
    clock.now += 1
    tracker.record_report(Report(0, proof_age=2.0), sent_at)
    assert tracker.age(Scope.FLEET) == 3


def test_cut_off_data_centre_serves_reserved_slots_only():
    """Guards against keyed work in a data centre without any contact."""
    clock = Clock()
    tracker = make_tracker(clock)
    tracker.record_read(clock.now, 0)
    for _ in range(100):
        clock.now += 1
        tracker.record_failure()
    assert tracker.is_fresh(Scope.DATA_CENTRE)
    assert not tracker.is_fresh(Scope.FLEET)


def test_outage_of_any_length_keeps_all_fresh():
    """Guards against a platform outage that stops keyed requests."""
    clock = Clock()
    trackers = [make_tracker(clock, name) for name in ("dc1", "dc2")]
    for tracker in trackers:
        tracker.record_read(clock.now, 0)
    for _ in range(400):
        clock.now += 0.25
        for tracker, other in (trackers, trackers[::-1]):
            tracker.record_failure()
            tracker.record_report(other.make_report(), clock.now - 0.01)
        assert all(tracker.is_fresh(Scope.FLEET) for tracker in trackers)


def test_stamp_expires():
    """Guards against a stamp that counts after its data centre is cut off."""
    clock = Clock()
    tracker = make_tracker(clock)
    tracker.record_report(Report(0, stamps=(StampAge("dc2", 0, 0.0),)), clock.now)
    tracker.record_failure()
    assert tracker.is_fresh(Scope.FLEET)
    clock.now += BOUND_SECONDS + 0.1
    tracker.record_failure()
    assert not tracker.is_fresh(Scope.FLEET)


def test_process_without_a_version_gives_no_stamp():
    """Guards against a restart that makes a data centre forget a change."""
    clock = Clock()
    tracker = FreshnessTracker("dc1", ("dc1",), BOUND_SECONDS, clock.read)
    tracker.record_failure()
    assert tracker.make_report().stamps == ()
    assert not tracker.is_fresh(Scope.DATA_CENTRE)
    tracker.set_version(0)
    tracker.record_failure()
    assert tracker.is_fresh(Scope.DATA_CENTRE)


def test_stamp_of_newer_version_is_no_proof():
    """Guards against a proof from a data centre that knows a later change."""
    clock = Clock()
    tracker = make_tracker(clock)
    tracker.record_failure()
    tracker.record_report(Report(0, stamps=(StampAge("dc2", 1, 0.0),)), clock.now)
    assert not tracker.is_fresh(Scope.FLEET)


def test_success_contradicts_stamp():
    """Guards against proof by outage while a peer reaches the platform."""
    clock = Clock()
    tracker = make_tracker(clock)
    tracker.record_failure()
    stamp = StampAge("dc2", 0, failed_age=0.1, reached_age=0.5)
    tracker.record_report(Report(0, stamps=(stamp,)), clock.now)
    assert not tracker.is_fresh(Scope.FLEET)


def test_echoed_success_gets_older():
    """Guards against reports that stay young because two peers echo them."""
    clock = Clock()
    trackers = [make_tracker(clock, name) for name in ("dc1", "dc2")]
    trackers[0].record_read(clock.now, 0)
    trackers[0].record_failure()
    for _ in range(20):
        for tracker, other in (trackers, trackers[::-1]):
            sent_at = clock.now
            clock.now += 0.4
            report = other.make_report()
            clock.now += 0.4
            tracker.record_report(report, sent_at)
    stamps = {stamp.data_centre: stamp for stamp in trackers[0].make_report().stamps}
    assert stamps["dc1"].reached_age > 10


def test_paused_process_is_not_fresh_when_it_goes_on():
    """Guards against a request sent on a proof that expired in a pause."""
    clock = Clock()
    tracker = make_tracker(clock)
    tracker.record_read(clock.now, 0)
    tracker.record_failure()
    clock.now += 60
    assert not tracker.is_fresh(Scope.FLEET)
    assert not tracker.is_fresh(Scope.DATA_CENTRE)


@define
class NaiveFreshness:
    """Reference model that keeps all events and searches them each time."""

    data_centre: str
    clock: object
    version: int = 0
    known_versions: list[int] = field(factory=lambda: [0])
    proofs: list[float] = field(factory=lambda: [-inf])
    versions: list[tuple[str, int]] = field(factory=list)
    failures: list[tuple[str, float]] = field(factory=list)
    successes: list[tuple[str, float]] = field(factory=list)

    def find_newest(self, events, data_centre, default):
        return max(
            (event for name, event in events if name == data_centre), default=default
        )

    def stamp_age(self, data_centre):
        failed_at = self.find_newest(self.failures, data_centre, -inf)
        reached_at = self.find_newest(self.successes, data_centre, -inf)
        newest_version = self.find_newest(self.versions, data_centre, 0)
        contradicted = (
            failed_at < reached_at
            or self.clock.now - reached_at < BOUND_SECONDS / 2
            or newest_version > self.version
        )
        return inf if contradicted else self.clock.now - failed_at

    def age(self, scope):
        if self.version < max(self.known_versions):
            return inf
        names = DATA_CENTRES if scope is Scope.FLEET else (self.data_centre,)
        stamps = max(self.stamp_age(name) for name in names)
        return min(self.clock.now - max(self.proofs), stamps)


@define
class Process:
    """One daemon of the simulated fleet, with its calls in flight."""

    tracker: FreshnessTracker
    naive: NaiveFreshness
    poll: tuple[float, int | None] | None = None
    commit: int | None = None
    exchange: tuple[float, Report] | None = None


class FreshnessMachine(RuleBasedStateMachine):
    """One daemon in each of three data centres, with events in any order.

    A commit counts as accepted when its author gets the reply, and as known
    once any daemon has it. A daemon with a fresh proof must have in force all
    that was known before the date of the proof.
    """

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.head = 0
        self.known_at: dict[int, float] = {}
        self.reachable = dict.fromkeys(DATA_CENTRES, True)
        self.processes = {
            name: Process(
                make_tracker(self.clock, name, DATA_CENTRES),
                NaiveFreshness(name, self.clock),
            )
            for name in DATA_CENTRES
        }

    names = st.sampled_from(DATA_CENTRES)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 2.5, 5.0]))
    def pass_time(self, seconds):
        self.clock.now += seconds

    @rule(name=names, reachable=st.booleans())
    def set_reachable(self, name, reachable):
        self.reachable[name] = reachable

    @rule(reachable=st.booleans())
    def set_all_reachable(self, reachable):
        self.reachable = dict.fromkeys(DATA_CENTRES, reachable)

    @rule(name=names)
    def send_poll(self, name):
        version = self.head if self.reachable[name] else None
        self.processes[name].poll = (self.clock.now, version)

    @rule(name=names, stale=st.booleans())
    def receive_poll(self, name, stale):
        process = self.processes[name]
        if process.poll is None:
            return
        sent_at, version = process.poll
        process.poll = None
        if version is None:
            process.tracker.record_failure()
            process.naive.failures.append((name, self.clock.now))
            return
        newest = process.tracker.newest_known_version
        # A stale replica shows only if it is older than what is known here.
        version = newest - 1 if stale and newest else version
        self.put_in_force(name, version)
        proved = process.tracker.record_read(sent_at, version)
        process.naive.known_versions.append(version)
        if version >= newest:
            process.naive.successes.append((name, self.clock.now))
        if proved:
            process.naive.proofs.append(sent_at)
        assert proved == (version >= newest)

    @rule(name=names)
    def send_commit(self, name):
        process = self.processes[name]
        up_to_date = process.tracker.version == self.head
        if self.reachable[name] and up_to_date and process.commit is None:
            self.head += 1
            process.commit = self.head

    @rule(name=names, lost=st.booleans())
    def receive_commit(self, name, lost):
        process = self.processes[name]
        if process.commit is not None and not lost:
            self.put_in_force(name, process.commit)
        process.commit = None

    @rule(name=names, other=names)
    def send_exchange(self, name, other):
        process, peer = self.processes[name], self.processes[other]
        if name == other:
            return
        peer.tracker.record_version(process.tracker.version)
        peer.naive.known_versions.append(process.tracker.version)
        process.exchange = (self.clock.now, peer.tracker.make_report())

    @rule(seconds=st.sampled_from([0.0, 0.5, 1.5]))
    def exchange_all(self, seconds):
        """Poll from every daemon and exchange reports with some delay."""
        for name in DATA_CENTRES:
            self.send_poll(name)
            self.receive_poll(name, False)
        for step in (1, 2):
            for index, name in enumerate(DATA_CENTRES):
                self.send_exchange(name, DATA_CENTRES[(index + step) % 3])
            self.clock.now += seconds
            for name in DATA_CENTRES:
                self.receive_exchange(name, False)

    @rule(name=names, fetch=st.booleans())
    def receive_exchange(self, name, fetch):
        process = self.processes[name]
        if process.exchange is None:
            return
        sent_at, report = process.exchange
        process.exchange = None
        if fetch:
            self.put_in_force(name, report.version)
        self.record_report_in_model(process.naive, process.tracker, report, sent_at)
        process.tracker.record_report(report, sent_at)

    def record_report_in_model(self, naive, tracker, report, sent_at):
        naive.known_versions.append(report.version)
        for stamp in report.stamps:
            name = stamp.data_centre
            naive.known_versions.append(stamp.version)
            naive.versions.append((name, stamp.version))
            naive.failures.append((name, sent_at - stamp.failed_age))
            known = naive.find_newest(naive.successes, name, -inf)
            if known < sent_at - stamp.reached_age:
                naive.successes.append((name, self.clock.now - stamp.reached_age))
        if report.version <= tracker.version:
            naive.proofs.append(sent_at - report.proof_age)

    def put_in_force(self, name, version):
        """Put a version in force at a daemon and count it as known."""
        process = self.processes[name]
        if version <= process.tracker.version:
            return
        for passed in range(process.tracker.version + 1, version + 1):
            self.known_at.setdefault(passed, self.clock.now)
        process.tracker.set_version(version)
        process.naive.version = version
        process.naive.known_versions.append(version)
        process.naive.versions.append((name, version))

    @invariant()
    def proofs_are_sound(self):
        for process in self.processes.values():
            age = process.tracker.age(Scope.FLEET)
            if age > BOUND_SECONDS:
                continue
            proved_at = self.clock.now - age
            for version in range(process.tracker.version + 1, self.head + 1):
                known_at = self.known_at.get(version, inf)
                assert known_at >= proved_at - TOLERANCE_SECONDS

    @invariant()
    def stamps_agree_with_naive_model(self):
        for process in self.processes.values():
            naive = process.naive
            for stamp in process.tracker.make_report().stamps:
                name = stamp.data_centre
                failed_at = naive.find_newest(naive.failures, name, -inf)
                reached_at = naive.find_newest(naive.successes, name, -inf)
                assert is_close(stamp.failed_age, self.clock.now - failed_at)
                assert is_close(stamp.reached_age, self.clock.now - reached_at)
                assert stamp.version == naive.find_newest(naive.versions, name, 0)

    @invariant()
    def ages_agree_with_naive_model(self):
        for process in self.processes.values():
            for scope in Scope:
                assert is_close(process.tracker.age(scope), process.naive.age(scope))


FreshnessMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, derandomize=True, deadline=None
)
TestFreshnessInterleavings = FreshnessMachine.TestCase
