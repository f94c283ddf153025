"""In-process stand-in for the platform's row store.

It keeps rows, whose versions come from one counter, and a history for
clients that follow changes. ``RowStoreAccess`` is one daemon's client of the
store, with the faults of its connection. It refuses transactions beyond the
platform's limits.
"""

from bisect import bisect_right
from collections.abc import Callable

import trio
from attrs import define, field, frozen

from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.platform.rows import (
    HistoryGone,
    RowConflict,
    RowExpectation,
    RowKey,
    RowPage,
    RowsRefused,
    RowWrite,
    StoredRow,
)

RowName = tuple[str, str, str]

MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
MAX_VALUE_BYTES = 65_536
MAX_NAME_BYTES = 200


@frozen
class Transaction:
    """A transaction as the client requested it."""

    writes: tuple[RowWrite, ...]
    expected: tuple[RowExpectation, ...]
    removed: tuple[RowKey, ...]

    def find_excess(self) -> str:
        """Return which limit of the platform is exceeded, or an empty text."""
        entries = [*self.writes, *self.expected, *self.removed]
        if len(entries) > MAX_ENTRIES:
            return f"{len(entries)} entries"
        for entry in entries:
            for name in (entry.table, entry.part, entry.key):
                if len(name.encode()) > MAX_NAME_BYTES:
                    return f"a name of {len(name)} characters: {name[:40]}"
        for write in self.writes:
            if len(write.value) > MAX_VALUE_BYTES:
                return f"{len(write.value)} bytes in {write.table}/{write.key}"
        size = sum(len(write.value) * 4 // 3 for write in self.writes)
        return f"{size} bytes" if size > MAX_TRANSACTION_BYTES else ""


@define(eq=False)
class RowStoreModel:
    """Rows, their versions and the history of changes.

    ``oldest`` is the version up to which the history has been dropped.
    """

    version: int = 0
    rows: dict[RowName, StoredRow] = field(factory=dict)
    history: list[StoredRow] = field(factory=list)
    oldest: int = 0
    writes: int = 0
    _changed: trio.Event = field(factory=trio.Event)

    def apply(self, transaction: Transaction) -> int:
        """Apply a transaction and return its version.

        Raises ``RowConflict``.
        """
        wrong = [row for row in transaction.expected if self._differs(row)]
        if wrong:
            found = (
                self.rows.get((row.table, row.part, row.key))
                or StoredRow(row.table, row.part, row.key, None, 0, True)
                for row in transaction.expected
            )
            raise RowConflict(tuple(found))
        self.version += 1
        self.writes += 1
        for row in transaction.writes:
            self._put(row.table, row.part, row.key, row.value)
        for key in transaction.removed:
            self._put(key.table, key.part, key.key, None)
        self._changed.set()
        self._changed = trio.Event()
        return self.version

    def _differs(self, row: RowExpectation) -> bool:
        known = self.rows.get((row.table, row.part, row.key))
        return (0 if known is None else known.version) != row.version

    def _put(self, table: str, part: str, key: str, value: bytes | None) -> None:
        row = StoredRow(table, part, key, value, self.version, value is None)
        name = (table, part, key)
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = row
        self.history.append(row)

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator or an executor does."""
        return self.apply(Transaction((RowWrite(table, key, value),), (), ()))

    def remove(self, table: str, key: str) -> int:
        """Remove a row as the platform does."""
        return self.apply(Transaction((), (), (RowKey(table, key),)))

    def find(self, table: str, key: str) -> StoredRow | None:
        """Return a row, or ``None`` if it does not exist."""
        return self.rows.get((table, "", key))

    def forget_history(self) -> None:
        """Drop the history, so that followers have to read the table again."""
        self.history.clear()
        self.oldest = self.version

    def select(
        self, table: str, start: str, end: str, part: str
    ) -> tuple[StoredRow, ...]:
        """Return the rows of a part in key order.

        Their keys are at least ``start`` and below ``end``; an empty ``end``
        sets no bound.
        """
        found = (
            row
            for (row_table, row_part, key), row in self.rows.items()
            if (row_table, row_part) == (table, part)
            and key >= start
            and (not end or key < end)
        )
        return tuple(sorted(found, key=lambda row: row.key))

    def changes(self, table: str, after: int) -> tuple[StoredRow, ...]:
        """Return the changes of a table after a version.

        Raises ``HistoryGone`` if the history no longer reaches back to it.
        """
        if after < self.oldest:
            raise HistoryGone(f"changes of {table} after version {after} are gone")
        first = bisect_right(self.history, after, key=lambda row: row.version)
        return tuple(row for row in self.history[first:] if row.table == table)

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()


@define(eq=False)
class RowStoreAccess:
    """One daemon's client of the store, with the interface of ``RowStore``.

    While ``closed``, all calls fail. Of the coming writes, ``late_writes`` get
    no answer and are kept in ``late`` until ``apply_late``; then
    ``lost_answers`` are applied but not answered.
    Reads of the ``stale_tables`` return an empty table at version 0, as before
    the first write; those of the ``failing_tables`` fail, and those of the
    ``slow_tables`` take so many seconds longer. With ``failing_removals``,
    transactions without a condition that remove rows fail. ``refuses`` returns
    whether the store refuses every transaction that writes a row.
    """

    model: RowStoreModel
    closed: bool = False
    lost_answers: int = 0
    late_writes: int = 0
    late_seconds: float = 3.0
    call_seconds: float = 0.004
    late: list[Transaction] = field(factory=list)
    stale_tables: set[str] = field(factory=set)
    failing_tables: set[str] = field(factory=set)
    slow_tables: dict[str, float] = field(factory=dict)
    failing_removals: bool = False
    refuses: Callable[[RowWrite], bool] = field(default=lambda write: False)

    async def _call(self) -> None:
        await trio.sleep(self.call_seconds)
        if self.closed:
            raise PlatformUnavailable("the store is closed to this daemon")

    async def read(
        self, table: str, start: str = "", end: str = "", part: str = ""
    ) -> RowPage:
        """Return rows as ``RowStore.read`` does."""
        await self._call()
        await trio.sleep(self.slow_tables.get(table, 0.0))
        if table in self.failing_tables:
            raise PlatformUnavailable(f"table {table} cannot be read")
        if table in self.stale_tables:
            return RowPage((), 0)
        rows = self.model.select(table, start, end, part)
        return RowPage(rows, self.model.version)

    async def read_all(self, table: str, part: str = "") -> RowPage:
        """Return all rows of a part."""
        return await self.read(table, part=part)

    async def read_one(self, table: str, key: str) -> StoredRow:
        """Return a row; one that does not exist has version 0."""
        page = await self.read(table, key, key + "\0")
        return page.rows[0] if page.rows else StoredRow(table, "", key, None, 0, True)

    async def follow(self, table: str, after: int, wait_seconds: float) -> RowPage:
        """Return changes as ``RowStore.follow`` does."""
        await self._call()
        if table in self.failing_tables:
            raise PlatformUnavailable(f"table {table} cannot be read")
        with trio.move_on_after(wait_seconds):
            while not self.model.changes(table, after):
                await self.model.wait()
        if self.closed or table in self.failing_tables:
            raise PlatformUnavailable("the store is closed to this daemon")
        return RowPage(self.model.changes(table, after), self.model.version)

    async def write(self, writes=(), expected=(), removed=()) -> int:
        """Apply a transaction as ``RowStore.write`` does."""
        await self._call()
        if self.failing_removals and removed and not expected:
            raise PlatformUnavailable("rows cannot be removed")
        transaction = Transaction(tuple(writes), tuple(expected), tuple(removed))
        if excess := transaction.find_excess():
            raise RowsRefused(f"the store answered 400: {excess}")
        if any(self.refuses(write) for write in writes):
            raise RowsRefused("the store answered 400")
        if self.late_writes:
            self.late_writes -= 1
            self.late.append(transaction)
            raise OutcomeUnknown("no answer")
        version = self.model.apply(transaction)
        if self.lost_answers:
            self.lost_answers -= 1
            raise OutcomeUnknown("the answer was lost")
        return version

    def apply_late(self) -> list[bool]:
        """Apply the late writes now; return for each whether it succeeded."""
        results = []
        for transaction in self.late:
            try:
                self.model.apply(transaction)
                results.append(True)
            except RowConflict:
                results.append(False)
        self.late.clear()
        return results

    async def close(self) -> None:
        """Do nothing, as there is no connection."""
