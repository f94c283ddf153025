"""Group commit: operations that arrive together share a transaction.

Each operation has its own condition and its own outcome::

    >>> import trio
    >>> from hemlockstand.platform.interface import Put
    >>> from hemlockstand.platform.memory import MemoryTable
    >>> async def example():
    ...     commits = GroupCommit(MemoryTable(), delay_seconds=0.0)
    ...     async with trio.open_nursery() as nursery:
    ...         nursery.start_soon(commits.run)
    ...         async with trio.open_nursery() as writers:
    ...             for name in ("a", "b", "c"):
    ...                 writers.start_soon(commits.submit, Put(name, {}, 0))
    ...         nursery.cancel_scope.cancel()
    ...     print(commits.transactions)
    >>> trio.run(example)
    1
"""

from collections import deque

import trio
from attrs import define, field

from hemlockstand.errors import (
    HemlockstandError,
    OutcomeUnknown,
    PlatformUnavailable,
    TableConflict,
)
from hemlockstand.platform.interface import (
    ABSENT,
    Delete,
    Operation,
    Put,
    Row,
    Table,
)

MAX_BATCH = 100  # operations in one transaction
COMMIT_ATTEMPTS = 3


@define(eq=False)
class _Entry:
    """A submitted operation and its outcome once it is known."""

    operation: Operation
    done: trio.Event = field(factory=trio.Event)
    version: int = ABSENT
    error: HemlockstandError | None = None

    def succeed(self, version: int) -> None:
        self.version = version
        self.done.set()

    def fail(self, error: HemlockstandError) -> None:
        self.error = error
        self.done.set()


@define(eq=False)
class GroupCommit:
    """Commits independent operations in shared transactions.

    Operations are committed only while ``run`` is running. No two operations
    that are submitted at the same time may have the same key.
    """

    table: Table
    delay_seconds: float
    transactions: int = 0
    _queue: deque[_Entry] = field(factory=deque)
    _arrived: trio.Event = field(factory=trio.Event)

    async def submit(self, operation: Operation, deadline: float = float("inf")) -> int:
        """Apply the operation and return the row's new version.

        Raises ``TableConflict``, ``PlatformUnavailable``, or
        ``OutcomeUnknown`` when the operation may still be applied. One of the
        latter two is raised at the deadline, which is a value of
        ``trio.current_time()``.
        """
        entry = _Entry(operation)
        self._queue.append(entry)
        self._arrived.set()
        with trio.move_on_at(deadline):
            await entry.done.wait()
        if not entry.done.is_set():
            self._time_out(entry)
        if entry.error is not None:
            raise entry.error
        return entry.version

    async def run(self) -> None:
        """Commit submitted operations until cancelled."""
        while True:
            await self._arrived.wait()
            await trio.sleep(self.delay_seconds)
            batch = self._take_batch()
            for _ in range(COMMIT_ATTEMPTS):
                batch = await self._commit(batch)
                if not batch:
                    break
            for entry in batch:
                entry.fail(OutcomeUnknown(f"write of {entry.operation.key}"))

    def _time_out(self, entry: _Entry) -> None:
        """Fail an entry at its deadline; remove it if it was not yet sent."""
        message = f"write of {entry.operation.key} not finished by its deadline"
        if entry not in self._queue:
            entry.fail(OutcomeUnknown(message))
            return
        self._queue.remove(entry)
        entry.fail(PlatformUnavailable(message))

    def _take_batch(self) -> list[_Entry]:
        """Remove and return the oldest entries, one for each key.

        Further entries of a key stay queued for a later transaction.
        """
        batch: dict[str, _Entry] = {}
        later: list[_Entry] = []
        while self._queue and len(batch) < MAX_BATCH:
            entry = self._queue.popleft()
            if entry.operation.key in batch:
                later.append(entry)
            else:
                batch[entry.operation.key] = entry
        self._queue.extendleft(reversed(later))
        if not self._queue:
            self._arrived = trio.Event()
        return list(batch.values())

    async def _commit(self, batch: list[_Entry]) -> list[_Entry]:
        """Commit the batch; return the entries that need another attempt."""
        self.transactions += 1
        try:
            versions = await self.table.transact([entry.operation for entry in batch])
        except TableConflict as conflict:
            return await self._drop_conflicting(batch, conflict)
        except OutcomeUnknown as error:
            return await self._resolve(batch, error)
        except HemlockstandError as error:
            return _fail_all(batch, error)
        for entry, version in zip(batch, versions, strict=True):
            entry.succeed(version)
        return []

    async def _drop_conflicting(
        self, batch: list[_Entry], conflict: TableConflict
    ) -> list[_Entry]:
        """Resolve the conflicting entries; return those to commit again.

        The other entries were not applied, because a transaction with a
        conflict changes nothing.
        """
        conflicting = [e for e in batch if e.operation.key in conflict.keys]
        rest = [e for e in batch if e.operation.key not in conflict.keys]
        return rest + await self._resolve(conflicting, conflict)

    async def _resolve(
        self, batch: list[_Entry], error: HemlockstandError
    ) -> list[_Entry]:
        """Read the rows; return the entries whose operation is not visible.

        These may be sent again. Both attempts require the same row version,
        so a delayed first attempt and the second cannot both be applied.
        """
        try:
            rows = await self.table.read_many([e.operation.key for e in batch])
        except HemlockstandError:
            return _fail_all(
                batch,
                OutcomeUnknown(f"not resolved: {error}"),
            )
        not_applied: list[_Entry] = []
        for entry, row in zip(batch, rows, strict=True):
            if _is_applied(entry.operation, row):
                entry.succeed(row.version)
            elif row.version == entry.operation.expected:
                not_applied.append(entry)
            else:
                entry.fail(TableConflict([row.key]))
        return not_applied


def _fail_all(batch: list[_Entry], error: HemlockstandError) -> list[_Entry]:
    for entry in batch:
        entry.fail(error)
    return []


def _is_applied(operation: Operation, row: Row) -> bool:
    match operation:
        case Put(value=value):
            return row.version != ABSENT and row.value == value
        case Delete():
            return row.version == ABSENT
        case _:
            return False
