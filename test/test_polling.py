"""Shared reads of rows that several services poll."""

import trio

from hemlockstand.platform.interface import Put
from hemlockstand.platform.polling import KEEP_SECONDS, PolledRows
from test.helper import YieldingTable


async def test_polls_share_one_call(autojump_clock):
    """Guards against a separate call to the platform for each polled row."""
    table = YieldingTable()
    rows = PolledRows(table)
    for _ in range(3):
        for key in ("a", "b", "c"):
            await rows.read(key, max_age=0.4)
        await trio.sleep(0.5)
    # The first round adds the keys one by one; each later one needs one call.
    assert table.reads == 5


async def test_row_is_never_older_than_asked(autojump_clock):
    """Guards against a cached row that hides a change for too long."""
    table = YieldingTable()
    rows = PolledRows(table)
    assert (await rows.read("a", max_age=1.0)).version == 0
    await table.transact([Put("a", {"value": 1}, 0)])
    assert (await rows.read("a", max_age=1.0)).version == 0
    await trio.sleep(1.1)
    assert (await rows.read("a", max_age=1.0)).value == {"value": 1}


async def test_abandoned_keys_are_not_read(autojump_clock):
    """Guards against reads of rows that no service polls any more.

    Otherwise reads would grow with each pool that a daemon ever owned.
    """
    table = YieldingTable()
    rows = PolledRows(table)
    asked = []
    read_many = table.read_many

    async def record(keys):
        asked.append(keys)
        return await read_many(keys)

    table.read_many = record
    await rows.read("gone", max_age=0.0)
    await trio.sleep(KEEP_SECONDS + 1)
    await rows.read("kept", max_age=0.0)
    assert asked == [["gone"], ["kept"]]
