"""Daemons agree on the newest configuration and never go back."""

from math import inf

import pytest
import trio

from hemlockstand.configuration.store import (
    HEAD_KEY,
    ConfigurationConflict,
    change_key,
)
from hemlockstand.coordination.freshness import Scope
from hemlockstand.errors import PlatformUnavailable
from hemlockstand.platform.interface import Put
from test.daemons import TIMEOUT_SECONDS, Fleet, make_change, wait_until


@pytest.fixture
async def fleet(tmp_path, monkeypatch, nursery):
    """Return a fleet that has no daemons yet."""
    return Fleet(nursery, tmp_path, monkeypatch)


async def commit_many(daemon, count):
    """Commit changes one after the other."""
    for base in range(count):
        await daemon.configuration.commit(make_change(base + 1), base)


async def wait_version(daemon, version):
    with trio.fail_after(TIMEOUT_SECONDS):
        await daemon.configuration.wait_version(version)


async def test_commit_reaches_cut_off_peer(fleet):
    """Guards against a data centre that depends on the platform alone."""
    first = await fleet.add("entry-1", "dc1")
    second = await fleet.add("entry-2", "dc2")
    second.platform.table.down = True
    assert await first.configuration.commit(make_change(1), 0) == 1
    await wait_version(second, 1)
    assert second.configuration.current.teams["quotes"].share == 1
    await wait_until(lambda: second.freshness.is_fresh(Scope.FLEET))


async def test_commit_reaches_poller_without_peers(fleet):
    """Guards against a daemon that depends on its peers alone."""
    first = await fleet.add("entry-1", "dc1")
    second = await fleet.add("entry-2", "dc2")
    fleet.cut_peers(second)
    await first.configuration.commit(make_change(1), 0)
    await wait_version(second, 1)


async def test_racing_commits_have_one_winner_each(fleet):
    """Guards against racing commits that all succeed, or that all fail."""
    daemons = [await fleet.add(f"entry-{number}", "dc1") for number in (1, 2, 3)]
    outcomes = []

    async def commit(daemon, base):
        try:
            outcomes.append(await daemon.configuration.commit(make_change(1), base))
        except ConfigurationConflict as conflict:
            assert conflict.version == base + 1
            outcomes.append(0)

    for base in range(5):
        outcomes.clear()
        async with trio.open_nursery() as nursery:
            for daemon in daemons:
                nursery.start_soon(commit, daemon, base)
        assert sorted(outcomes) == [0, 0, base + 1]
    for daemon in daemons:
        await wait_version(daemon, 5)
    versions = [entry.version for entry in await daemons[0].configuration.history(3)]
    assert versions == [3, 4, 5]


async def test_restart_in_outage_takes_version_of_peers(fleet):
    """Guards against an empty configuration after a start in an outage."""
    first = await fleet.add("entry-1", "dc1")
    await commit_many(first, 3)
    first.platform.table.down = True
    second = await fleet.add("entry-2", "dc2", down=True)
    assert second.configuration.loaded
    assert second.configuration.current == first.configuration.current


async def test_start_without_table_and_peers_is_not_loaded(fleet):
    """Guards against a daemon that is ready without any configuration."""
    alone = await fleet.add("entry-1", "dc1", down=True)
    assert not alone.configuration.loaded
    assert not alone.freshness.is_fresh(Scope.FLEET)
    alone.platform.table.down = False
    await wait_until(lambda: alone.configuration.loaded)


async def test_start_of_whole_fleet_in_outage_loads_nothing(fleet):
    """Guards against daemons that load each other's empty configuration."""
    first = await fleet.add("entry-1", "dc1", down=True)
    second = await fleet.add("entry-2", "dc2", down=True)
    assert not first.configuration.loaded
    assert not second.configuration.loaded
    first.platform.table.down = False
    await wait_until(lambda: first.configuration.loaded)


async def test_start_takes_newer_version_of_peer(fleet):
    """Guards against a start from a replica of the table that lags."""
    first = await fleet.add("entry-1", "dc1")
    await commit_many(first, 3)
    first.platform.table.down = True
    fleet.rewind_table(1)
    second = await fleet.add("entry-2", "dc2")
    assert second.configuration.current.version == 3


async def test_older_table_never_reverts_a_daemon(fleet):
    """Guards against a restored table that brings a withdrawn key back."""
    first = await fleet.add("entry-1", "dc1")
    await commit_many(first, 3)
    fleet.rewind_table(1)
    await first.configuration.poll()
    assert first.configuration.current.version == 3
    await wait_until(lambda: not first.freshness.is_fresh(Scope.FLEET))


async def test_unreadable_change_keeps_what_is_in_force(fleet):
    """Guards against a malformed row that stops the daemon or is skipped."""
    first = await fleet.add("entry-1", "dc1")
    await commit_many(first, 1)
    row = await fleet.table.read(HEAD_KEY)
    broken = {"id": "x", "author": "a", "time": "t", "edits": [{"edit": "explode"}]}
    await fleet.table.transact(
        [Put(change_key(2), broken, 0), Put(HEAD_KEY, {"version": 2}, row.version)]
    )
    await first.configuration.poll()
    assert first.configuration.current.version == 1
    await wait_until(lambda: not first.freshness.is_fresh(Scope.FLEET))


async def test_late_daemon_starts_from_snapshot(fleet):
    """Guards against a start that reads the whole history."""
    first = await fleet.add("entry-1", "dc1")
    await commit_many(first, 25)
    fleet.cut_peers(first)
    for version in range(1, 15):
        del fleet.table.rows[change_key(version)]
    second = await fleet.add("entry-2", "dc2")
    assert second.configuration.current == first.configuration.current


async def test_far_behind_peer_takes_snapshot(fleet):
    """Guards against a peer that cannot catch up on changes no longer kept."""
    first = await fleet.add("entry-1", "dc1")
    await commit_many(first, 25)
    second = await fleet.add("entry-2", "dc2", down=True)
    assert second.configuration.current == first.configuration.current


async def test_outage_of_platform_alone_keeps_daemons_fresh(fleet):
    """Guards against an outage that stops keyed requests."""
    daemons = [await fleet.add(f"entry-{number}", f"dc{number}") for number in (1, 2)]
    for daemon in daemons:
        daemon.platform.table.down = True
    sources = [daemon.freshness for daemon in daemons]
    await wait_until(
        lambda: all(source.outage_age(Scope.FLEET) < inf for source in sources)
    )
    await wait_until(lambda: all(source.is_fresh(Scope.FLEET) for source in sources))


async def test_hanging_platform_counts_as_failure(fleet):
    """Guards against a hanging platform that delays the freshness stamps."""
    first = await fleet.add("entry-1", "dc1")
    first.platform.table.delay_seconds = inf
    await wait_until(lambda: first.freshness.outage_age(Scope.DATA_CENTRE) < inf)


async def test_cut_off_data_centre_is_not_fresh(fleet):
    """Guards against keyed requests served without news of withdrawn keys."""
    await fleet.add("entry-1", "dc1")
    second = await fleet.add("entry-2", "dc2")
    await wait_until(lambda: second.freshness.is_fresh(Scope.FLEET))
    fleet.cut_peers(second)
    second.platform.table.down = True
    await wait_until(lambda: not second.freshness.is_fresh(Scope.FLEET))
    await wait_until(lambda: second.freshness.is_fresh(Scope.DATA_CENTRE))


async def test_commit_in_outage_is_refused(fleet):
    """Guards against a change that is accepted without the platform."""
    first = await fleet.add("entry-1", "dc1")
    first.platform.table.down = True
    with pytest.raises(PlatformUnavailable):
        await first.configuration.commit(make_change(1), 0)
    assert first.configuration.current.version == 0
