"""At-most-once ledger: claims in the table that keep the results.

A claim is a conditional insert of one row, made before the work is started.
Claims that arrive together share a transaction. The row keeps the outcome; it
is deleted only when the work was certainly not started, or after the
retention time. A claim is never transferred, even if its owner has ended::

    >>> import trio
    >>> from hemlockstand.platform.memory import MemoryTable
    >>> async def example():
    ...     table = MemoryTable()
    ...     first = Ledger(GroupCommit(table, 0.0), "daemon-1")
    ...     second = Ledger(GroupCommit(table, 0.0), "daemon-2")
    ...     async with trio.open_nursery() as nursery:
    ...         nursery.start_soon(first.commits.run)
    ...         nursery.start_soon(second.commits.run)
    ...         print(await first.claim("hinge/order-7"))
    ...         print(await second.claim("hinge/order-7"))
    ...         await first.finish("hinge/order-7", {"status": 200})
    ...         print(await second.claim("hinge/order-7"))
    ...         nursery.cancel_scope.cancel()
    >>> trio.run(example)
    Granted(name='hinge/order-7')
    Pending(owner='daemon-1')
    Finished(result={'status': 200})
"""

import secrets
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field, frozen

from hemlockstand.coordination.commits import MAX_BATCH, GroupCommit
from hemlockstand.errors import PlatformUnavailable, TableConflict
from hemlockstand.platform.interface import (
    ABSENT,
    Delete,
    Operation,
    Put,
    Row,
    Table,
)

CLAIM_PREFIX = "claim/"


@frozen
class Granted:
    """The caller of ``claim`` may start the work, and must call ``finish``."""

    name: str


@frozen
class Pending:
    """The work was claimed by ``owner`` and has no recorded outcome."""

    owner: str


@frozen
class Finished:
    """The work has ended; a ``result`` of None means that it is not known."""

    result: Mapping[str, Any] | None


ClaimState = Granted | Pending | Finished


@frozen(eq=False)
class _Record:
    """A claim of this owner whose outcome is not recorded yet."""

    name: str
    version: int
    value: Mapping[str, Any]


@define(eq=False)
class Ledger:
    """The claims of one owner.

    ``owner`` must differ for each start of the process. ``abandoned`` holds
    the marks of claims whose insert has an unknown outcome, by name. Their
    work was never started, so the row of such a claim may be claimed again or
    deleted when it appears.
    """

    commits: GroupCommit
    owner: str
    max_abandoned: int = 10_000
    abandoned: dict[str, set[str]] = field(factory=dict)
    _records: dict[str, _Record] = field(factory=dict)
    _claiming: set[str] = field(factory=set)

    async def claim(self, name: str, deadline: float = float("inf")) -> ClaimState:
        """Claim the work, unless it was claimed before.

        Raises ``PlatformUnavailable`` or ``OutcomeUnknown`` when the claim
        could not be made by the deadline; the work must not be started then.
        """
        if self.is_active(name):
            return Pending(self.owner)
        self._claiming.add(name)
        try:
            return await self._claim(name, deadline)
        finally:
            self._claiming.discard(name)

    def is_active(self, name: str) -> bool:
        """Return whether this owner is claiming the work or holds a claim."""
        return name in self._claiming or name in self._records

    async def _claim(self, name: str, deadline: float) -> ClaimState:
        try:
            return await self._insert(name, ABSENT, deadline)
        except TableConflict:
            row = await self.commits.table.read(_key(name))
        if self._is_abandoned(name, row):
            # An insert of this owner that was applied late. The write requires
            # the row's version, so it fails if the row has changed since.
            return await self._insert(name, row.version, deadline)
        return _read_state(row)

    async def _insert(self, name: str, expected: int, deadline: float) -> ClaimState:
        mark = secrets.token_hex(8)
        value = {"owner": self.owner, "state": "claimed", "mark": mark}
        marks = self.abandoned.setdefault(name, set())
        marks.add(mark)
        try:
            version = await self.commits.submit(
                Put(_key(name), value, expected), deadline
            )
        except (PlatformUnavailable, TableConflict):
            self._drop_mark(name, mark)
            raise
        self.abandoned.pop(name, None)
        self._records[name] = _Record(name, version, value)
        return Granted(name)

    def _drop_mark(self, name: str, mark: str) -> None:
        """Remove the mark of an insert that can no longer be applied."""
        marks = self.abandoned.get(name, set())
        marks.discard(mark)
        if not marks:
            self.abandoned.pop(name, None)

    def _is_abandoned(self, name: str, row: Row) -> bool:
        is_claimed = row.version != ABSENT and row.value["state"] == "claimed"
        return is_claimed and row.value["mark"] in self.abandoned.get(name, ())

    async def finish(self, name: str, result: Mapping[str, Any] | None) -> None:
        """Record the outcome of granted work; None if it is not known.

        Raises the table's errors; calling it again is safe.
        """
        record = self._records[name]
        value = {**record.value, "state": "finished", "result": result}
        await self._end(record, Put(_key(name), value, record.version))

    async def release(self, name: str) -> None:
        """Delete the claim of granted work that was certainly not started.

        Raises the table's errors; calling it again is safe.
        """
        record = self._records[name]
        await self._end(record, Delete(_key(name), record.version))

    async def _end(self, record: _Record, operation: Operation) -> None:
        try:
            await self.commits.submit(operation)
        except TableConflict:
            # An earlier attempt was applied, and the name may have been
            # claimed again, or the claim was deleted after the retention time.
            pass
        if self._records.get(record.name) is record:
            del self._records[record.name]

    async def clean_abandoned(self) -> None:
        """Delete claims of this owner whose insert had an unknown outcome.

        A name without a row is kept, because its insert may still be applied.
        The oldest names above ``max_abandoned`` are dropped. Raises the
        table's errors.
        """
        names = [name for name in self.abandoned if name not in self._claiming]
        for name in names[:MAX_BATCH]:
            row = await self.commits.table.read(_key(name))
            if name not in self._claiming and self._is_abandoned(name, row):
                await self._delete_abandoned(name, row)
        while len(self.abandoned) > self.max_abandoned:
            del self.abandoned[next(iter(self.abandoned))]

    async def _delete_abandoned(self, name: str, row: Row) -> None:
        self._claiming.add(name)
        try:
            await self.commits.submit(Delete(row.key, row.version))
            self._drop_mark(name, row.value["mark"])
        finally:
            self._claiming.discard(name)

    async def look_up(self, name: str) -> ClaimState | None:
        """Return the state of the claim, or None when there is no claim."""
        row = await self.commits.table.read(_key(name))
        return None if row.version == ABSENT else _read_state(row)


def _key(name: str) -> str:
    return CLAIM_PREFIX + name


def _read_state(row: Row) -> ClaimState:
    if row.version == ABSENT:
        # Released since the conflict; the next attempt may claim it.
        return Pending("")
    if row.value["state"] == "finished":
        return Finished(row.value["result"])
    return Pending(row.value["owner"])


@define
class ClaimCleaner:
    """Deletes claims that were unchanged for the retention time.

    The time is measured on this process's clock from the first read of a row
    version, so no clocks are compared. Each round reads one page, and at most
    ``max_watched`` claims are watched at a time.
    """

    table: Table
    keep_seconds: float
    clock: Callable[[], float]
    page_rows: int = 200
    max_watched: int = 5000
    _after: str = ""
    _watched: dict[str, tuple[int, float]] = field(factory=dict)

    async def run_once(self) -> int:
        """Check the next page and return how many claims were deleted.

        Raises ``PlatformUnavailable`` or ``OutcomeUnknown``. A deletion
        requires the row's version, so the next rounds repeat it safely.
        """
        rows = await self.table.scan(CLAIM_PREFIX, self._after, self.page_rows)
        is_end = len(rows) < self.page_rows
        self._forget_missing(rows, is_end)
        self._after = "" if is_end else rows[-1].key
        now = self.clock()
        old = [row for row in rows if self._watch(row, now) >= self.keep_seconds]
        return await self._delete(old[:MAX_BATCH])

    def _forget_missing(self, rows: list[Row], is_end: bool) -> None:
        present = {row.key for row in rows}
        last = rows[-1].key if rows else ""
        for key in tuple(self._watched):
            in_page = key > self._after and (is_end or key <= last)
            if in_page and key not in present:
                del self._watched[key]

    def _watch(self, row: Row, now: float) -> float:
        """Return for how long the row is known to be unchanged."""
        known = self._watched.get(row.key)
        if known is not None and known[0] == row.version:
            return now - known[1]
        if known is not None or len(self._watched) < self.max_watched:
            self._watched[row.key] = (row.version, now)
        return 0.0

    async def _delete(self, rows: list[Row]) -> int:
        if not rows:
            return 0
        try:
            await self.table.transact([Delete(row.key, row.version) for row in rows])
        except TableConflict:
            return 0  # changed by another daemon; the next pass reads it again
        return len(rows)
