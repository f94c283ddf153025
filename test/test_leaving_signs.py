"""A sign that an upstream leaves reaches all daemons of its data centre."""

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

SIGN = SuspectNotice("main-0", "127.0.0.1:1", is_refused=False)
STOP_SECONDS = 3.0


async def answer_at_once(received):
    return make_answer(received)


async def refuse_as_leaving(received):
    return make_answer(received, status=503, extra="X-Not-Run: leaving\r\n")


class Stage:
    """Three daemons of one data centre, one of another, and an upstream."""

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


ALL = ("entry-1", "entry-2", "entry-3")


@pytest.fixture
async def stage(tmp_path, monkeypatch, nursery):
    """Give the test daemons that know each other."""
    upstream = FakeUpstream(answer_at_once)
    scope = trio.CancelScope()

    async def serve(task_status):
        with scope:
            await upstream.serve(task_status)
        upstream.is_closed = True

    await nursery.start(serve)
    fleet = Fleet(nursery, tmp_path, monkeypatch, ("upstreams",))
    stage = Stage(fleet, upstream, scope.cancel)
    for name in ALL:
        await stage.add(name, "dc1")
    await stage.add("entry-4", "dc2")
    for name in ALL:
        view = stage.fleet.daemons[name].peers.view
        await wait_until(lambda view=view: len(view.list_alive("dc1")) == 2)
    return stage


async def test_refusal_as_leaving_stops_all_daemons(stage):
    """Guards against new work for a leaving upstream through other daemons."""
    stage.upstream.respond = refuse_as_leaving
    stage.upstream.is_leaving = True
    assert isinstance(await stage.call("entry-1"), NotRun)
    await wait_until(lambda: not any(stage.takes_work(*ALL)))
    assert stage.takes_work("entry-4") == [True]
    assert len(stage.upstream.received) == 1
    # The list still says live, and the upstream says that it leaves.
    for name in ALL:
        stage.find(name).avoid_until = 0.0
    checks = stage.upstream.health_checks
    await wait_until(lambda: stage.upstream.health_checks >= checks + 6)
    assert not any(stage.takes_work(*ALL))
    stage.upstream.is_leaving = False
    await wait_until(lambda: all(stage.takes_work(*ALL)))
    stage.upstream.respond = answer_at_once
    assert isinstance(await stage.call("entry-2"), Answered)


async def test_refused_connection_stops_all_daemons(stage):
    """Guards against connections to a dead upstream from each daemon in turn."""
    stage.stop_upstream()
    await wait_until(lambda: stage.upstream.is_closed)
    assert isinstance(await stage.call("entry-3"), NotRun)
    await wait_until(lambda: not any(stage.takes_work(*ALL)))
    for name in ALL:
        stage.find(name).avoid_until = 0.0
    # The health check fails, so that the sign stays.
    assert not await is_healthy(stage.upstream.address)
    assert not any(stage.takes_work(*ALL))


async def test_false_signs_expire(stage):
    """Guards against a daemon with a broken network that stops all others."""
    told = stage.fleet.daemons["entry-1"].peers.announce_suspect
    address = stage.upstream.address
    told(SuspectNotice("main-0", address, is_refused=True))
    checks = stage.upstream.health_checks
    await wait_until(lambda: stage.upstream.health_checks > checks)
    await wait_until(lambda: all(stage.takes_work(*ALL)))
    told(SuspectNotice("main-0", address, is_refused=False))
    await wait_until(lambda: not any(stage.takes_work("entry-2", "entry-3")))
    # The list shows that it left and came back before the time has passed.
    stage.list_state(InstanceState.LEAVING)
    await wait_until(lambda: all(stage.find(name).listed_leaving for name in ALL))
    stage.list_state(InstanceState.LIVE)
    await wait_until(lambda: all(stage.takes_work(*ALL)))
    assert LEAVING_SECONDS > STOP_SECONDS


async def test_sign_of_an_earlier_process_is_ignored(stage):
    """Guards against a replacement that is taken for what it replaced."""
    told = stage.fleet.daemons["entry-1"].peers.announce_suspect
    heard = []
    stage.fleet.daemons["entry-2"].peers.handle_suspect_notice(heard.append)
    told(SuspectNotice("main-0", "127.0.0.1:1", is_refused=False))
    await wait_until(lambda: heard)
    assert all(stage.takes_work(*ALL))


@pytest.mark.parametrize("seed", range(1, 6))
def test_sign_spreads_in_the_rounds_alone(seed):
    """Guards against a sign that is lost with the exchange that announces it."""
    simulation = Simulation(make_small_scenarios()["skewed"], seed)
    first, *others = [
        daemon for daemon in simulation.fleet.values() if daemon.data_centre == "dc00"
    ]
    heard = []
    for daemon in simulation.fleet.values():
        daemon.beats.suspect_notices.handler = lambda _, name=daemon.name: heard.append(
            name
        )
    simulation.clock.now = 1.0
    simulation.exchange_due()
    first.beats.suspect_notices.add(SIGN)
    while simulation.clock.now < 1.0 + STOP_SECONDS:
        simulation.clock.now += 0.1
        simulation.exchange_due()
    assert sorted(heard) == sorted(daemon.name for daemon in others)


def test_signs_are_taken_once_and_expire():
    """Guards against a sign that comes back after the executor did."""
    clock = Clock()
    first, second = SuspectNoticeBuffer(clock.read), SuspectNoticeBuffer(clock.read)
    heard = []
    second.handler = heard.append
    first.add(SIGN)
    heartbeat = peer_pb2.Beat()
    first.encode(heartbeat)
    for _ in range(2):
        second.decode(heartbeat)
    assert heard == [SIGN]
    clock.now += SUSPECT_NOTICE_KEEP_SECONDS + 0.1
    late = peer_pb2.Beat()
    first.encode(late)
    second.encode(late)
    assert not late.signs


def test_many_signs_take_turns():
    """Guards against a wave of failures that makes heartbeats grow with it."""
    board = SuspectNoticeBuffer(Clock().read)
    for number in range(3 * SUSPECT_NOTICES_PER_HEARTBEAT):
        board.add(attrs.evolve(SIGN, executor=f"main-{number}"))
    seen = set()
    for _ in range(3):
        heartbeat = peer_pb2.Beat()
        board.encode(heartbeat)
        assert len(heartbeat.signs) == SUSPECT_NOTICES_PER_HEARTBEAT
        seen.update(entry.executor for entry in heartbeat.signs)
    assert len(seen) == 3 * SUSPECT_NOTICES_PER_HEARTBEAT
