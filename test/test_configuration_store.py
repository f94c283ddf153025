"""Commits take effect exactly once, also when replies are lost."""

from datetime import date

import pytest
from hypothesis import given, settings, strategies as st

from hemlockstand.configuration.changes import (
    Change,
    ClearDrain,
    DropEntity,
    EntityKind,
    PutEntity,
    SetDrain,
    SetSheetDay,
    apply_change,
    decode_change,
    encode_change,
    new_change_id,
    pack_change,
    pack_configuration,
    unpack_change,
    unpack_configuration,
)
from hemlockstand.configuration.store import (
    ConfigurationConflict,
    ConfigurationStore,
    change_key,
)
from hemlockstand.errors import (
    InvalidInput,
    OutcomeUnknown,
    PlatformUnavailable,
)
from hemlockstand.model import (
    Access,
    Configuration,
    Job,
    Key,
    Pool,
    PoolKind,
    Priority,
    Queue,
    Team,
)
from hemlockstand.platform.interface import Put
from hemlockstand.platform.memory import MemoryTable
from test.helper import MemoryPlatform

NAMES = st.sampled_from(["quotes", "hinge", "ledger", "ปฏิทิน"])
ENTITIES = st.one_of(
    st.builds(Team, NAMES, st.just("sakda"), st.floats(0.1, 9), st.integers(0, 99)),
    st.builds(
        Pool,
        NAMES,
        st.sampled_from(PoolKind),
        st.just(("dc1", "dc2")),
        st.integers(0, 9),
        st.integers(0, 3),
    ),
    st.builds(
        Queue,
        NAMES,
        NAMES,
        st.sampled_from(Access),
        st.booleans(),
        st.sampled_from(Priority),
        st.floats(0.1, 30),
        NAMES,
        st.none() | NAMES,
    ),
    st.builds(
        Job,
        NAMES,
        NAMES,
        NAMES,
        st.just("daily 02:00"),
        st.dates(),
        st.sampled_from(Priority),
        st.floats(0.1, 16),
        st.integers(1, 1024),
        st.floats(1, 60),
        st.integers(0, 8),
    ),
    st.builds(Key, NAMES, NAMES, st.just("5a17"), st.just("d1ce57")),
)
EDITS = st.one_of(
    st.builds(PutEntity, ENTITIES),
    st.builds(DropEntity, st.sampled_from(EntityKind), NAMES),
    st.builds(SetSheetDay, st.dates()),
    st.builds(SetDrain, NAMES, st.just("reboot")),
    st.builds(ClearDrain, NAMES),
)
CHANGES = st.builds(
    Change,
    st.just("id"),
    NAMES,
    st.just("2026-12-04"),
    st.lists(EDITS, max_size=6).map(tuple),
)


def make_change(share: float = 1.0) -> Change:
    team = Team("quotes", "sakda", share, 40)
    return Change(new_change_id(), "planner", "2026-12-04", (PutEntity(team),))


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def store(table):
    return ConfigurationStore(MemoryPlatform(table))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(CHANGES, max_size=4))
def test_encodings_keep_every_change(changes):
    """Guards against a field that an encoding loses between two daemons."""
    configuration = Configuration()
    for change in changes:
        assert decode_change(encode_change(change)) == change
        assert unpack_change(pack_change(change)) == change
        before = pack_configuration(configuration)
        changed = apply_change(configuration, change)
        assert changed.version == configuration.version + 1
        assert pack_configuration(configuration) == before
        configuration = changed
        assert unpack_configuration(pack_configuration(configuration)) == configuration


def test_later_edits_of_a_change_win():
    """Guards against edits that are applied out of order."""
    edits = (
        PutEntity(Team("quotes", "sakda", 1.0, 40)),
        DropEntity(EntityKind.TEAM, "quotes"),
        SetDrain("w-1", "reboot"),
        ClearDrain("w-1"),
        SetSheetDay(date(2026, 12, 4)),
    )
    applied = apply_change(Configuration(), Change("id", "planner", "", edits))
    assert applied == Configuration(version=1, sheet_day=date(2026, 12, 4))


@pytest.mark.parametrize(
    "edit",
    [
        {"edit": "put", "kind": "teams", "value": {"name": "quotes"}},
        {"edit": "put", "kind": "robots", "value": {}},
        {"edit": "drop", "kind": "teams"},
        {"edit": "sheet_day", "day": "yesterday"},
        {"edit": "explode"},
        "drop",
    ],
)
def test_malformed_edit_is_refused_with_code(edit):
    """Guards against a traceback, or an edit that is silently left out."""
    data = {"id": "c", "author": "a", "time": "t", "edits": [edit]}
    with pytest.raises(InvalidInput) as caught:
        decode_change(data)
    assert caught.value.code == "change_malformed"


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x01", b"\x81\xa1x"])
def test_broken_bytes_are_refused_with_code(data):
    """Guards against malformed bytes from a peer that stop the daemon."""
    with pytest.raises(InvalidInput):
        unpack_change(data)
    with pytest.raises(InvalidInput):
        unpack_configuration(data)


async def test_of_racing_commits_one_wins(store):
    """Guards against two racing commits that both succeed."""
    assert await store.commit(make_change(), 0) == 1
    with pytest.raises(ConfigurationConflict) as caught:
        await store.commit(make_change(), 0)
    assert caught.value.version == 1
    assert len(await store.read_changes(0)) == 1


async def test_race_between_read_and_write(store, table, monkeypatch):
    """Guards against a commit on a head that changed after it was read."""
    other = ConfigurationStore(MemoryPlatform(table))
    read_head = store.read_head
    raced = False

    async def read_before_other_commit(self):
        nonlocal raced
        head = await read_head()
        if not raced:
            raced = True
            await other.commit(make_change(), 0)
        return head

    monkeypatch.setattr(ConfigurationStore, "read_head", read_before_other_commit)
    with pytest.raises(ConfigurationConflict):
        await store.commit(make_change(), 0)
    assert len(await store.read_changes(0)) == 1


class LossyTable:
    """Loses the reply to each write; ``applied`` tells if it takes effect."""

    def __init__(self, table, applied):
        self._table = table
        self._applied = applied
        self.transactions = 0

    async def read(self, key):
        return await self._table.read(key)

    async def transact(self, operations):
        self.transactions += 1
        if self._applied:
            await self._table.transact(operations)
        raise OutcomeUnknown("reply lost")


async def test_lost_reply_of_applied_commit(store, table):
    """Guards against a commit that is reported as failed or written twice."""
    change = make_change()
    lossy = LossyTable(table, applied=True)
    assert await ConfigurationStore(MemoryPlatform(lossy)).commit(change, 0) == 1
    assert lossy.transactions == 1
    assert (await store.read_changes(0))[0].change == change


async def test_lost_reply_of_absent_commit_stays_unknown(table):
    """Guards against reporting "not committed" while the write may arrive."""
    lossy = LossyTable(table, applied=False)
    with pytest.raises(OutcomeUnknown):
        await ConfigurationStore(MemoryPlatform(lossy)).commit(make_change(), 0)
    assert lossy.transactions == 1


async def test_lost_reply_to_a_later_commit_is_a_conflict(store, table):
    """Guards against a lost reply that hides a conflict."""
    await store.commit(make_change(), 0)
    store = ConfigurationStore(MemoryPlatform(StaleHeadTable(table)))
    with pytest.raises(ConfigurationConflict):
        await store.commit(make_change(), 0)


class StaleHeadTable:
    """Returns an empty head at the first read and loses the write's reply."""

    def __init__(self, table):
        self._table = table
        self._reads = 0

    async def read(self, key):
        self._reads += 1
        row = await self._table.read(key)
        return row if self._reads > 1 else (await MemoryTable().read(key))

    async def transact(self, operations):
        raise OutcomeUnknown("reply lost")


async def test_outage_after_lost_reply_stays_unknown(table):
    """Guards against a retry while the outcome cannot be read."""

    class FailingReadTable(LossyTable):
        async def transact(self, operations):
            self._table.fail_next(PlatformUnavailable("down"))
            raise OutcomeUnknown("reply lost")

    failing = FailingReadTable(table, applied=False)
    with pytest.raises(OutcomeUnknown):
        await ConfigurationStore(MemoryPlatform(failing)).commit(make_change(), 0)


async def test_missing_snapshot_falls_back_to_an_earlier_one(store):
    """Guards against a start that fails because a snapshot was not stored."""
    configuration = Configuration()
    for version in range(1, 31):
        change = make_change(version)
        await store.commit(change, version - 1)
        configuration = apply_change(configuration, change)
        if version == 10:
            await store.save_snapshot(configuration)
    loaded = await store.load_newest_snapshot(30, every=10)
    assert loaded.version == 10
    assert loaded.teams["quotes"].share == 10


async def test_broken_snapshot_is_skipped(store):
    """Guards against a damaged object that replaces the configuration."""
    store.platform.objects.objects["config/snapshot/000000000010"] = b"\xc1"
    assert (await store.load_newest_snapshot(10, every=10)).version == 0


async def test_malformed_row_is_refused(store, table):
    """Guards against a row that is skipped because it cannot be read."""
    await table.transact([Put(change_key(1), {"id": "x"}, 0)])
    with pytest.raises(InvalidInput):
        await store.read_changes(0)
