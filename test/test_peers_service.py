"""Discovery of peers, calls between daemons, and demand figures."""

from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from hemlockstand.coordination.membership import MembershipView, Peer
from hemlockstand.peers.demands import DEMAND_KEEP_SECONDS, Demand, DemandRegistry
from hemlockstand.peers.transport import PeerError
from hemlockstand.platform.interface import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
)
from hemlockstand.verdict import Answered, MayHaveRun, Reason
from test.daemons import Fleet, make_change, wait_until
from test.test_freshness import TOLERANCE_SECONDS, Clock

SUSPECT_SECONDS = 5.0


@pytest.fixture
async def fleet(tmp_path, monkeypatch, nursery):
    """Return a fleet without daemons."""
    return Fleet(nursery, tmp_path, monkeypatch)


def find_member(daemon, name):
    for member in daemon.peers.members():
        if member.name == name:
            return member
    return None


async def test_daemons_learn_of_third_ones(fleet):
    """Guards against daemons that know only the seeds of their settings."""
    daemons = [await fleet.add(f"entry-{number}", "dc1") for number in (1, 2, 3)]
    for daemon in daemons:
        await wait_until(
            lambda peers=daemon.peers: sum(m.alive for m in peers.members()) == 2
        )
    names = {member.name for member in daemons[0].peers.members()}
    assert names == {"entry-2", "entry-3"}


async def test_members_show_version_in_force(fleet):
    """Guards against an endless wait for peers to put a version in force."""
    first = await fleet.add("entry-1", "dc1")
    second = await fleet.add("entry-2", "dc2")
    await first.configuration.commit(make_change(1), 0)
    await wait_until(
        lambda: (
            find_member(first, "entry-2").configuration_version == 1
            and find_member(second, "entry-1").configuration_version == 1
        )
    )


async def test_instance_list_gives_addresses(fleet):
    """Guards against a daemon that finds peers only by its settings."""
    first = await fleet.add("entry-1", "dc1")
    second = await fleet.add("entry-2", "dc2")
    fleet.cut_peers(second)
    third = await fleet.add("entry-3", "dc2")
    third.platform.instances.source.records.append(
        InstanceRecord(
            "entry-1",
            InstanceKind.ENTRY,
            "central",
            "dc1",
            "r1",
            first.peers.address,
            InstanceState.LIVE,
        )
    )
    third.platform.instances.source.down = False
    await wait_until(lambda: find_member(third, "entry-1").alive)


async def test_demand_reaches_peers(fleet):
    """Guards against slots that stay idle while a peer has waiting work."""
    first = await fleet.add("entry-1", "dc1")
    second = await fleet.add("entry-2", "dc2")
    first.peers.publish_demand("quotes", Demand(3, 2, 0))
    await wait_until(
        lambda: second.peers.demands().get("entry-1") == {"quotes": Demand(3, 2, 0)}
    )


async def test_ask_and_forward_reach_the_incarnation(fleet):
    """Guards against a call that a restarted daemon answers as the old one."""
    first = await fleet.add("entry-1", "dc1")
    second = await fleet.add("entry-2", "dc2")
    answered = Answered(200, (), b"done")

    async def answer_ask(team, request_id):
        return answered if (team, request_id) == ("quotes", "r-1") else None

    async def answer_forward(message):
        return MayHaveRun(message.decode(), Reason.ANSWER_LOST, "lost")

    first.peers.handle_ask(answer_ask)
    first.peers.handle_forward(answer_forward)
    incarnation = first.peers.incarnation
    await wait_until(lambda: find_member(second, "entry-1"))
    assert await second.peers.ask(incarnation, "quotes", "r-1") == answered
    assert await second.peers.ask(incarnation, "quotes", "r-2") is None
    verdict = await second.peers.forward(incarnation, b"r-3")
    assert verdict == MayHaveRun("r-3", Reason.ANSWER_LOST, "lost")
    with pytest.raises(PeerError) as caught:
        await second.peers.ask("entry-1-gone", "quotes", "r-1")
    assert caught.value.code == "peer_unknown"
    first.peers.incarnation = "entry-1-restarted"
    assert await second.peers.ask(incarnation, "quotes", "r-1") is None
    with pytest.raises(PeerError) as caught:
        await second.peers.forward(incarnation, b"r-4")
    assert caught.value.code == "peer_incarnation_gone"


async def test_stopping_daemon_informs_its_peers(fleet):
    """Guards against forwards to a daemon that has stopped."""
    first = await fleet.add("entry-1", "dc1")
    second = await fleet.add("entry-2", "dc1")
    await wait_until(lambda: find_member(second, "entry-1"))
    first.kernel.stopping.set()
    await wait_until(lambda: find_member(second, "entry-1").leaving)


def make_peer(name, data_centre="dc1", incarnation=""):
    return Peer(name, incarnation, data_centre, f"{name}:1")


def make_view(clock):
    return MembershipView(SUSPECT_SECONDS, clock.read, Random(1))


def test_older_update_never_replaces_newer():
    """Guards against a late update that restores an old incarnation."""
    clock = Clock()
    view = make_view(clock)
    view.update_peer(make_peer("entry-2", incarnation="new"), age=1.0)
    view.update_peer(make_peer("entry-2", incarnation="old"), age=2.0)
    assert view.get("entry-2").incarnation == "new"
    assert view.find_incarnation("old") is None


def test_leaving_incarnation_never_returns():
    """Guards against a delayed heartbeat that hides that a daemon stops."""
    clock = Clock()
    view = make_view(clock)
    leaving = Peer("entry-2", "entry-2-a", "dc1", "entry-2:1", leaving=True)
    view.update_peer(leaving)
    clock.now += 1
    view.update_peer(make_peer("entry-2", incarnation="entry-2-a"))
    assert view.get("entry-2").leaving
    clock.now += 1
    view.update_peer(make_peer("entry-2", incarnation="entry-2-b"))
    assert not view.get("entry-2").leaving


def test_unlisted_silent_peer_is_forgotten():
    """Guards against a member list that grows as instances are replaced."""
    clock = Clock()
    view = make_view(clock)
    view.set_candidates([make_peer("entry-2"), make_peer("entry-3")])
    view.update_peer(make_peer("entry-3"))
    view.set_candidates([])
    assert [heard.peer.name for heard in view.list_peers()] == ["entry-3"]
    clock.now += SUSPECT_SECONDS
    view.set_candidates([])
    assert view.list_peers() == []


def test_listed_address_overrides_announced_one():
    """Guards against calls that bypass the address in the instance list."""
    view = make_view(Clock())
    view.set_candidates([Peer("entry-2", "", "dc2", "10.0.0.9:1")])
    view.update_peer(Peer("entry-2", "a", "dc2", "127.0.0.1:7"))
    assert view.get("entry-2").address == "10.0.0.9:1"


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.lists(st.sampled_from(["dc1", "dc2", "dc3"]), max_size=12),
    st.sampled_from(["dc1", "dc2", "dc3"]),
    st.integers(0, 1000),
)
def test_targets_cover_own_other_and_oldest(data_centres, oldest, seed):
    """Guards against a data centre that is never asked for its stamp."""
    view = MembershipView(SUSPECT_SECONDS, Clock().read, Random(seed))
    for number, data_centre in enumerate(data_centres):
        view.add_candidate(make_peer(f"entry-{number}", data_centre))
    targets = view.choose_targets("dc1", oldest)
    found = [target.data_centre for target in targets]
    assert len({target.name for target in targets}) == len(targets) <= 3
    if "dc1" in data_centres:
        assert "dc1" in found
    if set(data_centres) - {"dc1"}:
        assert set(found) - {"dc1"}
    if oldest in data_centres:
        assert oldest in found


AGES = st.integers(0, 20_000).map(lambda milliseconds: milliseconds / 1000)
PEER_STATES = st.tuples(AGES, st.integers(0, 30))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(PEER_STATES, max_size=8), st.integers(0, 30))
def test_digest_never_claims_more_than_is_known(states, version):
    """Guards against a dead peer that counts as alive, and a false version."""
    clock = Clock()
    names = ["own-1", "own-2", *(f"entry-{number}" for number in range(len(states)))]
    first, second = (make_view(clock) for _ in range(2))
    for own, view in (("own-1", first), ("own-2", second)):
        view.set_candidates(make_peer(name) for name in names if name != own)
    for number, (age, known) in enumerate(states):
        peer = Peer(f"entry-{number}", "a", "dc1", "", version=min(known, version))
        first.update_peer(peer, age)
    digest = first.make_digest("own-1", version)
    assert second.apply_digest("own-2", digest, version)
    for number, (age, known) in enumerate(states):
        name = f"entry-{number}"
        assert second.age(name) >= age - TOLERANCE_SECONDS
        assert second.get(name).version <= min(known, version)
        if age <= SUSPECT_SECONDS - 1:
            assert second.is_alive(name)
            behind = version - known
            assert behind >= 15 or second.get(name).version == min(known, version)


def test_digest_passes_over_forgotten_peers():
    """Guards against an exchange that fails on a listed but forgotten peer."""
    first, second = make_view(Clock()), make_view(Clock())
    first.set_candidates([make_peer("entry-2"), make_peer("entry-3")])
    second.set_candidates([make_peer("entry-1"), make_peer("entry-3")])
    first.update_peer(make_peer("entry-3"))
    digest = first.make_digest("entry-1", 1)
    first.forget("entry-3")
    second.forget("entry-3")
    assert first.make_digest("entry-1", 1).checksum == digest.checksum
    assert second.apply_digest("entry-2", digest, 1)
    assert second.get("entry-3") is None


def test_digest_of_another_list_has_no_effect():
    """Guards against ages that are assigned to other daemons.

    The entries of a digest are in the order of the sender's list of names.
    """
    clock = Clock()
    first, second = make_view(clock), make_view(clock)
    first.set_candidates([make_peer("entry-2"), make_peer("entry-3")])
    second.set_candidates([make_peer("entry-1"), make_peer("entry-4")])
    first.update_peer(make_peer("entry-3"))
    digest = first.make_digest("entry-1", 1)
    assert not second.apply_digest("entry-2", digest, 1)
    assert not second.is_alive("entry-4")


def test_digest_does_not_block_an_older_incarnation_update():
    """Guards against a restarted daemon whose new incarnation is never found.

    A digest gives a newer age than the update that has the incarnation.
    """
    clock = Clock()
    first, second = make_view(clock), make_view(clock)
    first.set_candidates([make_peer("entry-2"), make_peer("entry-3")])
    second.set_candidates([make_peer("entry-1"), make_peer("entry-3")])
    first.update_peer(make_peer("entry-3", incarnation="entry-3-new"))
    assert second.apply_digest("entry-2", first.make_digest("entry-1", 1), 1)
    second.update_peer(make_peer("entry-3", incarnation="entry-3-new"), age=2.0)
    assert second.find_incarnation("entry-3-new") is not None


def test_all_active_teams_take_turns():
    """Guards against a team whose demand never reaches the peers."""
    clock = Clock()
    registry = DemandRegistry(clock.read)
    for number in range(10):
        registry.publish(f"team-{number}", Demand(1, 0, 0))
    seen = {team for _ in range(4) for team, _ in registry.choose(3)}
    assert len(seen) == 10


def test_idle_team_is_sent_once_more_then_left_out():
    """Guards against a peer that keeps the demand of a team that went idle."""
    clock = Clock()
    registry = DemandRegistry(clock.read)
    registry.publish("quotes", Demand(5, 0, 0))
    clock.now += 60
    registry.publish("quotes", Demand(0, 0, 0))
    assert registry.choose(8) == [("quotes", Demand(0, 0, 0))]
    clock.now += DEMAND_KEEP_SECONDS
    assert registry.choose(8) == []


def test_old_figures_of_peers_expire():
    """Guards against slots that are reserved for a daemon that is gone."""
    clock = Clock()
    registry = DemandRegistry(clock.read)
    registry.receive("entry-2", {"quotes": Demand(5, 0, 0)})
    assert registry.list_peers() == {"entry-2": {"quotes": Demand(5, 0, 0)}}
    clock.now += DEMAND_KEEP_SECONDS
    assert registry.list_peers() == {}
