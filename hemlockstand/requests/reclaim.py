"""Ends silent holders and frees their slots in the limit rows.

A holder is ended by one conditional write to its row. Slots in the limit rows
whose holder has no row any more are free, and any daemon may remove them.
"""

from collections.abc import Iterator, Mapping

from attrs import define
from loguru import logger

from hemlockstand.coordination.escrow import ELASTIC, read_holders, replace_holder
from hemlockstand.coordination.lease import (
    HOLDER_PREFIX,
    HolderLease,
    HolderWatch,
    read_all,
)
from hemlockstand.errors import OutcomeUnknown, TableConflict
from hemlockstand.platform.interface import (
    ABSENT,
    Check,
    Delete,
    Operation,
    Put,
    Row,
    Table,
)

log = logger.bind(module=__name__)

LIMIT_PREFIX = "limit/"
ROWS_PER_TRANSACTION = 100
RELEASE_ATTEMPTS = 5
# Every so many rounds a sweep is made without a known need, since a write that
# arrives late may leave slots without a holder.
SWEEP_ROUNDS = 300


@define
class Reclaimer:
    """Reclaims the slots of silent holders.

    Elastic slots are reclaimed by daemons of any data centre, reserved slots
    only by daemons of the same data centre, because a data centre that is cut
    off continues to use its reserved slots.
    """

    table: Table
    watch: HolderWatch
    data_centre: str
    _rounds: int = 0
    _sweep_needed: bool = True

    async def run_once(self) -> None:
        """Observe all holders, end the silent ones and free their slots.

        Raises ``PlatformUnavailable`` or ``OutcomeUnknown``; the next round
        continues from the state of the table.
        """
        self._rounds += 1
        await self.watch.observe()
        for holder in self.watch.silent():
            await self._end(self.watch.row(holder))
        if self._sweep_needed or self._rounds % SWEEP_ROUNDS == 0:
            self._sweep_needed = True
            self._sweep_needed = await self._sweep()

    async def _end(self, row: Row) -> None:
        if row.value["data_centre"] == self.data_centre:
            operation: Operation = Delete(row.key, row.version)
        elif ELASTIC in row.value["ended_by_others"]:
            return
        else:
            value = {**row.value, "ended_by_others": [ELASTIC]}
            operation = Put(row.key, value, row.version)
        self._sweep_needed = True
        try:
            await self.table.transact([operation])
        except TableConflict:
            return  # the holder has renewed, or another daemon has ended it
        log.info("ended limit holder {}, which has stopped renewing its lease", row.key)

    async def _sweep(self) -> bool:
        """Remove the slots of ended holders; return whether any are left.

        Each removal checks that the holder row is unchanged, since the holder
        may have registered after the holder rows were read.
        """
        holders = {row.key: row for row in await read_all(self.table, HOLDER_PREFIX)}
        is_incomplete = False
        for row in await read_all(self.table, LIMIT_PREFIX):
            operations = list(_make_removals(row, holders))
            if operations and not await _try_transact(self.table, operations):
                is_incomplete = True
        return is_incomplete


def _make_removals(row: Row, holders: Mapping[str, Row]) -> Iterator[Operation]:
    """Yield a write of the limit row and the checks that it depends on."""
    changed = row
    for holder, held in read_holders(row).items():
        key = HOLDER_PREFIX + holder
        known = holders.get(key, Row(key, {}, ABSENT))
        ended = held if known.version == ABSENT else known.value["ended_by_others"]
        left = {part: count for part, count in held.items() if part not in ended}
        if left != held:
            yield Check(key, known.version)
            put = replace_holder(changed, holder, left)
            changed = Row(row.key, put.value, row.version)
    if changed is not row:
        yield Put(row.key, changed.value, row.version)


async def release_holder(
    table: Table, lease: HolderLease, keep: Mapping[str, Mapping[str, int]]
) -> None:
    """Release the holder's slots and its row, in one transaction if possible.

    ``keep`` has the numbers of slots, by team and part, whose requests may
    still be running. If there are any, the holder row stays, so that other
    daemons watch it. Raises ``PlatformUnavailable`` or ``OutcomeUnknown``.
    """
    kept = {LIMIT_PREFIX + team: parts for team, parts in keep.items()}
    keeps_row = any(sum(parts.values()) for parts in kept.values())
    for _ in range(RELEASE_ATTEMPTS):
        rows = await read_all(table, LIMIT_PREFIX)
        operations = list(_make_releases(rows, lease.holder, kept))
        batch = operations[:ROWS_PER_TRANSACTION]
        is_last = len(operations) <= ROWS_PER_TRANSACTION
        if is_last and not keeps_row:
            batch.append(lease.make_release())
        if not batch or await _try_transact(table, batch) and is_last:
            return
    raise OutcomeUnknown(f"not all slots of limit holder {lease.holder} are released")


async def _try_transact(table: Table, batch: list[Operation]) -> bool:
    try:
        await table.transact(batch)
    except (TableConflict, OutcomeUnknown):
        return False
    return True


def _make_releases(
    rows: list[Row], holder: str, kept: Mapping[str, Mapping[str, int]]
) -> Iterator[Operation]:
    for row in rows:
        held = read_holders(row).get(holder)
        if held is None:
            continue
        keep = kept.get(row.key, {})
        left = {part: min(count, keep.get(part, 0)) for part, count in held.items()}
        if left != held:
            yield replace_holder(row, holder, left)
