"""Costs that must not grow with a product of two sizes, or recur unchanged."""

from attrs import evolve

from bench.capacity_rounds import make_maintenance
from hemlockstand.coordination import rendezvous
from hemlockstand.coordination.rendezvous import OwnerIndex, choose_owner
from hemlockstand.requests.limits import LimitsService
from test.limit_fakes import FakePeers, Fleet

POOLS = [f"pool-{number}" for number in range(20)]


async def test_rebalancing_reads_the_peers_once_a_round(tmp_path, monkeypatch):
    """Guards against a rebalancing that reads all demands for each team.

    Such a round costs daemons times teams for each team.
    """
    fleet = Fleet(tmp_path)
    kernel = fleet.add("entry-1")
    peers = kernel.services["peers"]
    reads = []
    read = FakePeers.demands
    monkeypatch.setattr(
        FakePeers, "demands", lambda self: reads.append(1) or read(self)
    )
    service = LimitsService(kernel)
    await service.start()
    for team in ("hinge", "clamp", "frame"):
        fleet.configuration.set_limit(team, 8)
        service.take(team, 0.0, False)
    await service.move_all()
    assert len(reads) == 1
    assert set(peers.published) == {"hinge", "clamp", "frame"}


async def test_team_that_is_dropped_gets_no_slot(tmp_path):
    """Guards against a cached split that outlives the team's configuration."""
    fleet = Fleet(tmp_path)
    service = LimitsService(fleet.add("entry-1"))
    fleet.configuration.set_limit("hinge", 8)
    assert service._find_team("hinge").split.limit == 8
    fleet.configuration.set_limit("hinge", 5)
    assert service._find_team("hinge").split.limit == 5
    current = fleet.configuration.current
    fleet.configuration.current = evolve(current, version=9, teams={})
    assert service._find_team("hinge") is None


def test_owners_are_computed_once_while_members_stay(monkeypatch):
    """Guards against hashing all pools and members several times a second."""
    computed = []

    def count(name, members):
        computed.append(name)
        return choose_owner(name, members)

    monkeypatch.setattr(rendezvous, "choose_owner", count)
    index = OwnerIndex()
    members = ["entry-1", "entry-2"]
    first = list(index.select("entry-1", POOLS, members))
    assert list(index.select("entry-1", POOLS, reversed(members))) == first
    assert len(computed) == len(POOLS)
    others = list(index.select("entry-2", POOLS, members))
    assert sorted(first + others) == sorted(POOLS)
    assert list(index.select("entry-1", POOLS, ["entry-1"])) == POOLS
    assert len(computed) == 2 * len(POOLS)


def test_disruption_in_another_pool_closes_a_worker():
    """Guards against work on a worker whose disruption is in another pool."""
    jobs, maintenance = make_maintenance(2, 1)
    first, second = maintenance.pools.values()
    worker = first.members[0]
    assert jobs._list_candidates(first.name)[worker].open
    whole = jobs._measure_fleet()
    maintenance.pools[second.name] = evolve(second, disruptions={worker: "move"})
    candidate_workers = jobs._list_candidates(first.name)
    assert not candidate_workers[worker].open
    assert (
        sum(candidate.open for candidate in candidate_workers.values())
        == len(first.members) - 1
    )
    assert jobs._measure_fleet().cores == whole.cores - 16
