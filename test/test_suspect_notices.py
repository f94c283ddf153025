"""A notice that an upstream leaves reaches all daemons of its data centre."""

import attrs
import pytest
import trio

from bench.shares import Simulation, make_small_scenarios
from hemlockstand.peers import peer_pb2
from hemlockstand.peers.suspects import (
    SUSPECT_NOTICE_KEEP_SECONDS,
    SUSPECT_NOTICES_PER_HEARTBEAT,
    SuspectNotice,
    SuspectNoticeBuffer,
)
from hemlockstand.platform.interface import InstanceState
from hemlockstand.requests.messages import Request
from hemlockstand.requests.suspects import LEAVING_SECONDS, is_healthy
from hemlockstand.requests.upstreams import UpstreamsService
from hemlockstand.verdict import Answered, NotRun
from test.daemons import Fleet, wait_until
from test.fakes import FakeUpstream, make_answer
from test.helper import make_record
from test.test_freshness import Clock

NOTICE = SuspectNotice("main-0", "127.0.0.1:1", is_refused=False)
PROPAGATION_SECONDS = 3.0


async def answer_at_once(received):
    return make_answer(received)


async def refuse_as_leaving(received):
    return make_answer(received, status=503, extra="X-Not-Run: leaving\r\n")


class Cluster:
    """Daemons of two data centres, with one upstream that all of them use."""

    def __init__(self, fleet, upstream, stop_upstream):
        self.fleet = fleet
        self.upstream = upstream
        self.stop_upstream = stop_upstream

    async def add(self, name, data_centre):
        daemon = await self.fleet.add(name, data_centre)
        records = daemon.platform.instances.source.records
        for centre, instance in (("dc1", "main-0"), ("dc2", "main-1")):
            record = make_record(instance, self.upstream.address, "main")
            records.append(attrs.evolve(record, data_centre=centre))
        daemon.platform.instances.source.down = False
        await wait_until(lambda: self.find(name) is not None)

    def list_state(self, state):
        for daemon in self.fleet.daemons.values():
            records = daemon.platform.instances.source.records
            records[0] = attrs.evolve(records[0], state=state)

    def upstreams(self, name):
        return self.fleet.daemons[name].kernel.find("upstreams", UpstreamsService)

    def find(self, name):
        return next(iter(self.upstreams(name).executors("main")), None)

    def takes_work(self, *names):
        now = trio.current_time()
        return [self.find(name).takes_work(now) for name in names]

    async def call(self, name):
        executor = self.find(name)
        executor.window.acquire(trio.current_time())
        deadline = trio.current_time() + 5
        request = Request("r1", "hinge", "quotes", deadline, b"", "text/plain", {})
        return await self.upstreams(name).call(executor, request)


DC1_DAEMONS = ("entry-1", "entry-2", "entry-3")


@pytest.fixture
async def cluster(tmp_path, monkeypatch, nursery):
    """Return three daemons of one data centre and one of another.

    The three know each other.
    """
    upstream = FakeUpstream(answer_at_once)
    scope = trio.CancelScope()

    async def serve(task_status):
        with scope:
            await upstream.serve(task_status)
        upstream.is_closed = True

    await nursery.start(serve)
    fleet = Fleet(nursery, tmp_path, monkeypatch, ("upstreams",))
    cluster = Cluster(fleet, upstream, scope.cancel)
    for name in DC1_DAEMONS:
        await cluster.add(name, "dc1")
    await cluster.add("entry-4", "dc2")
    for name in DC1_DAEMONS:
        view = cluster.fleet.daemons[name].peers.view
        await wait_until(lambda view=view: len(view.list_alive("dc1")) == 2)
    return cluster


async def test_refusal_as_leaving_stops_all_daemons(cluster):
    """Guards against new work for a leaving upstream from other daemons."""
    cluster.upstream.respond = refuse_as_leaving
    cluster.upstream.is_leaving = True
    assert isinstance(await cluster.call("entry-1"), NotRun)
    await wait_until(lambda: not any(cluster.takes_work(*DC1_DAEMONS)))
    assert cluster.takes_work("entry-4") == [True]
    assert len(cluster.upstream.received) == 1
    # The list still shows the executor live; its health check says it leaves.
    for name in DC1_DAEMONS:
        cluster.find(name).avoid_until = 0.0
    checks = cluster.upstream.health_checks
    await wait_until(lambda: cluster.upstream.health_checks >= checks + 6)
    assert not any(cluster.takes_work(*DC1_DAEMONS))
    cluster.upstream.is_leaving = False
    await wait_until(lambda: all(cluster.takes_work(*DC1_DAEMONS)))
    cluster.upstream.respond = answer_at_once
    assert isinstance(await cluster.call("entry-2"), Answered)


async def test_refused_connection_stops_all_daemons(cluster):
    """Guards against connections to a dead upstream from each daemon in turn."""
    cluster.stop_upstream()
    await wait_until(lambda: cluster.upstream.is_closed)
    assert isinstance(await cluster.call("entry-3"), NotRun)
    await wait_until(lambda: not any(cluster.takes_work(*DC1_DAEMONS)))
    for name in DC1_DAEMONS:
        cluster.find(name).avoid_until = 0.0
    # The health check fails, so the executor stays suspect.
    assert not await is_healthy(cluster.upstream.address)
    assert not any(cluster.takes_work(*DC1_DAEMONS))


async def test_false_notices_expire(cluster):
    """Guards against a daemon with a broken network that stops all others."""
    announce = cluster.fleet.daemons["entry-1"].peers.announce_suspect
    address = cluster.upstream.address
    announce(SuspectNotice("main-0", address, is_refused=True))
    checks = cluster.upstream.health_checks
    await wait_until(lambda: cluster.upstream.health_checks > checks)
    await wait_until(lambda: all(cluster.takes_work(*DC1_DAEMONS)))
    announce(SuspectNotice("main-0", address, is_refused=False))
    await wait_until(lambda: not any(cluster.takes_work("entry-2", "entry-3")))
    # The list shows it leaving and live again before LEAVING_SECONDS end.
    cluster.list_state(InstanceState.LEAVING)
    await wait_until(
        lambda: all(cluster.find(name).listed_leaving for name in DC1_DAEMONS)
    )
    cluster.list_state(InstanceState.LIVE)
    await wait_until(lambda: all(cluster.takes_work(*DC1_DAEMONS)))
    assert LEAVING_SECONDS > PROPAGATION_SECONDS


async def test_notice_of_an_earlier_process_is_ignored(cluster):
    """Guards against suspecting a process that replaced the reported one."""
    announce = cluster.fleet.daemons["entry-1"].peers.announce_suspect
    received = []
    cluster.fleet.daemons["entry-2"].peers.handle_suspect_notice(received.append)
    announce(SuspectNotice("main-0", "127.0.0.1:1", is_refused=False))
    await wait_until(lambda: received)
    assert all(cluster.takes_work(*DC1_DAEMONS))


@pytest.mark.parametrize("seed", range(1, 6))
def test_notice_spreads_by_heartbeat_rounds_alone(seed):
    """Guards against a notice that is lost if its first message is lost."""
    simulation = Simulation(make_small_scenarios()["skewed"], seed)
    first, *others = [
        daemon for daemon in simulation.fleet.values() if daemon.data_centre == "dc00"
    ]
    notified = []
    for daemon in simulation.fleet.values():
        daemon.heartbeat_handler.suspect_notices.handler = lambda _, name=daemon.name: (
            notified.append(name)
        )
    simulation.clock.now = 1.0
    simulation.exchange_due()
    first.heartbeat_handler.suspect_notices.add(NOTICE)
    while simulation.clock.now < 1.0 + PROPAGATION_SECONDS:
        simulation.clock.now += 0.1
        simulation.exchange_due()
    assert sorted(notified) == sorted(daemon.name for daemon in others)


def test_notices_are_processed_once_and_expire():
    """Guards against an old notice that arrives after the executor is back."""
    clock = Clock()
    first, second = SuspectNoticeBuffer(clock.read), SuspectNoticeBuffer(clock.read)
    received = []
    second.handler = received.append
    first.add(NOTICE)
    heartbeat = peer_pb2.Beat()
    first.encode(heartbeat)
    for _ in range(2):
        second.decode(heartbeat)
    assert received == [NOTICE]
    clock.now += SUSPECT_NOTICE_KEEP_SECONDS + 0.1
    late = peer_pb2.Beat()
    first.encode(late)
    second.encode(late)
    assert not late.signs


def test_many_notices_take_turns():
    """Guards against heartbeats that grow with each failed executor."""
    buffer = SuspectNoticeBuffer(Clock().read)
    for number in range(3 * SUSPECT_NOTICES_PER_HEARTBEAT):
        buffer.add(attrs.evolve(NOTICE, executor=f"main-{number}"))
    seen = set()
    for _ in range(3):
        heartbeat = peer_pb2.Beat()
        buffer.encode(heartbeat)
        assert len(heartbeat.signs) == SUSPECT_NOTICES_PER_HEARTBEAT
        seen.update(entry.executor for entry in heartbeat.signs)
    assert len(seen) == 3 * SUSPECT_NOTICES_PER_HEARTBEAT
