"""Ends holders and removes their slots from the limit rows."""

from collections.abc import Mapping

from hemlockstand.coordination.escrow import read_holders, replace_holder
from hemlockstand.coordination.lease import HolderLease, read_all
from hemlockstand.errors import OutcomeUnknown, TableConflict
from hemlockstand.platform.interface import Operation, Row, Table

LIMIT_PREFIX = "limit/"
ROWS_PER_TRANSACTION = 100
RELEASE_ATTEMPTS = 5


async def release_holder(
    table: Table, lease: HolderLease, keep: Mapping[str, Mapping[str, int]]
) -> None:
    """Release the holder's slots and its row, in one transaction if possible.

    ``keep`` are slots by team and part whose requests may still be running;
    when there are any, the holder row stays for others to watch.
    """
    kept = {LIMIT_PREFIX + team: parts for team, parts in keep.items()}
    keeps_row = any(sum(parts.values()) for parts in kept.values())
    for _ in range(RELEASE_ATTEMPTS):
        rows = await read_all(table, LIMIT_PREFIX)
        operations = _make_releases(rows, lease.holder, kept)
        last = len(operations) <= ROWS_PER_TRANSACTION
        batch = operations[:ROWS_PER_TRANSACTION]
        if last and not keeps_row:
            batch.append(lease.make_release())
        if not batch:
            return
        try:
            await table.transact(batch)
        except (TableConflict, OutcomeUnknown):
            continue
        if last:
            return


def _make_releases(
    rows: list[Row], holder: str, kept: Mapping[str, Mapping[str, int]]
) -> list[Operation]:
    releases: list[Operation] = []
    for row in rows:
        held = read_holders(row).get(holder)
        if held is None:
            continue
        left = {
            part: min(n, kept.get(row.key, {}).get(part, 0)) for part, n in held.items()
        }
        if left != held:
            releases.append(replace_holder(row, holder, left))
    return releases
