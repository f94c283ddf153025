"""Fleet-wide shares while callers are spread unevenly over the daemons."""

import pytest
from hypothesis import given, settings, strategies as st

from bench.shares import BOUND, Simulation, make_small_scenarios
from hemlockstand.coordination.fairqueue import FairQueue
from hemlockstand.coordination.shares import MAX_ERROR, RateMeter, ShareCorrection
from hemlockstand.model import Configuration, Pool, PoolKind, Team
from hemlockstand.peers import peer_pb2
from hemlockstand.peers.demands import PoolDemand, PoolTeam
from hemlockstand.peers.names import NameIndex
from hemlockstand.requests.shares import FleetShares
from test.fakes import (
    FakePeers,
    FakeUpstream,
    make_answer,
    make_configuration,
    make_queue,
    run_request_path,
)
from test.helper import FakeMember
from test.test_freshness import Clock

HINGE = PoolTeam("main", "hinge")
CLAMP = PoolTeam("main", "clamp")
SCENARIOS = make_small_scenarios()


@pytest.mark.parametrize("name", SCENARIOS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fleet_shares_like_one_queue(name, seed):
    """Guards against shares that hold at each daemon but not fleet-wide."""
    errors = list(Simulation(SCENARIOS[name], seed).run())
    assert len(errors) == 6
    assert max(errors) <= BOUND


def test_scenarios_need_the_correction():
    """Guards against scenarios in which local shares alone would be enough."""
    for scenario in SCENARIOS.values():
        assert max(Simulation(scenario, is_corrected=False).run()) > BOUND


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.floats(0.01, 100), min_size=2),
    st.lists(st.floats(0, 1e6), min_size=6, max_size=6),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_factors_stay_positive_and_bounded(shares, rates):
    """Guards against a weight of zero, which would divide by zero."""
    correction = ShareCorrection()
    for _ in range(200):
        correction.update(0.1, shares, dict(zip("abcdef", rates, strict=True)))
    for flow in "abcdef":
        assert 0.004 < correction.factor(flow) < 250


def test_flow_that_stops_waiting_loses_its_correction():
    """Guards against a factor from one peak that distorts the next one."""
    correction = ShareCorrection()
    for _ in range(100):
        correction.update(0.1, {"a": 1.0, "b": 1.0}, {"a": 9.0, "b": 1.0})
    assert correction.factor("b") > MAX_ERROR
    for _ in range(400):
        correction.update(0.1, {}, {})
    assert correction.factor("a") == correction.factor("b") == 1.0


def test_meter_follows_the_rate_and_forgets():
    """Guards against memory that grows with each name ever served."""
    meter = RateMeter()
    for _ in range(50):
        for _ in range(3):
            meter.record("a")
        meter.update(0.1)
    assert meter.get("a") == pytest.approx(30.0, rel=0.05)
    for _ in range(100):
        meter.update(0.1)
    assert list(meter.keys()) == []


def test_weight_of_a_backlogged_flow_changes():
    """Guards against a correction that only affects new arrivals."""
    queue = FairQueue(100)
    for flow in ("a", "b"):
        for _ in range(40):
            queue.push(flow, flow, 1.0, 100.0)
    assert queue.count_waiting() == {"a": 40, "b": 40}
    queue.reweigh("a", 3.0)
    served = [queue.pop(0.0).flow for _ in range(40)]
    assert 29 <= served.count("a") <= 31
    assert sum(queue.count_waiting().values()) == 40


def test_numbered_names_of_another_configuration_are_ignored():
    """Guards against demand that is assigned to another team.

    Teams and pools are sent by number, which depends on the configuration.
    """
    names = NameIndex.make(["main", "spare"], ["hinge", "clamp"])
    heartbeat = peer_pb2.Beat()
    demands = {HINGE: PoolDemand(3, 125), PoolTeam("spare", "clamp"): PoolDemand(0, 7)}
    names.encode_pools(
        heartbeat, [*demands.items(), (PoolTeam("gone", "x"), PoolDemand(1, 1))]
    )
    assert names.decode_pools(heartbeat) == demands
    assert NameIndex.make(["main", "spare"], ["hinge"]).decode_pools(heartbeat) == {}
    heartbeat.pools.add(pool=9, figures=[0, 1, 1])
    heartbeat.pools.add(pool=0, figures=[9, 1, 1, 0])
    assert names.decode_pools(heartbeat) == demands


def test_sampled_demand_is_scaled_to_the_live_daemons():
    """Guards against demand that is underestimated in a large fleet.

    A daemon of a large fleet hears the demand of only some daemons.
    """
    clock = Clock()
    peers = FakePeers()
    peers.known = [FakeMember(f"d{number}") for number in range(8)]
    peers.heard = {
        "d0": {HINGE: PoolDemand(1, 100), CLAMP: PoolDemand(1, 25)},
        "d1": {},
    }
    configuration = Configuration(
        teams={name: Team(name, "h", 1.0, 9) for name in ("hinge", "clamp")},
        pools={"main": Pool("main", PoolKind.EXECUTORS, ("dc1",), 1, 1)},
    )
    shares = FleetShares("dc1", peers, clock.read)
    sample = shares._take_sample(clock.now)
    assert sample.estimate(HINGE, "dc1", ("dc1",)) == pytest.approx(40.0)
    assert not sample.is_complete()
    for _ in range(10):
        clock.now += 0.1
        shares.update(configuration, {"main": {"hinge": 2, "clamp": 2}}, {})
    assert shares.factor("main", "clamp") > 1.0 > shares.factor("main", "hinge")
    assert peers.published == {HINGE: PoolDemand(2, 0), CLAMP: PoolDemand(2, 0)}
    assert peers.names == (("main",), ("hinge", "clamp"))
    clock.now += 0.1
    shares.update(configuration, {}, {})
    assert peers.published[HINGE] == PoolDemand(0, 0)


async def test_no_overflow_while_a_peer_waits_for_the_spare_pool(monkeypatch, tmp_path):
    """Guards against a busy team that starves the spare pool's own teams."""

    async def answer(received):
        return make_answer(received)

    spare = FakeUpstream(answer)
    queue = make_queue("quotes", spare_pool="spare", deadline_seconds=0.5)
    demand_key = PoolTeam("spare", "clamp")
    async with run_request_path(
        monkeypatch, tmp_path, make_configuration(queue), {"spare": [spare]}
    ) as harness:
        harness.peers.known = [FakeMember("entry-2")]
        harness.peers.heard = {"entry-2": {demand_key: PoolDemand(1, 10)}}
        # The daemon reads the members once a second; make it read them now.
        harness.dispatch._shares._members_at = float("-inf")
        async with harness.make_client() as client:
            while not harness.dispatch._shares.is_wanted("spare"):
                assert (await client.get("/health")).status_code == 404
            refused = await client.post("/v1/queues/quotes")
            harness.peers.heard = {"entry-2": {demand_key: PoolDemand(0, 10)}}
            while harness.dispatch._shares.is_wanted("spare"):
                assert (await client.get("/health")).status_code == 404
            answered = await client.post("/v1/queues/quotes")
    assert refused.headers["X-Verdict"] == "not-run"
    assert answered.status_code == 200
