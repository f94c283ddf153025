"""At-most-once ledger: claims in the table, issued ids and kept results.

A claim is a conditional insert of one row, made before the work is started.
Claims that arrive together share a transaction. The row keeps the outcome; it
is deleted only when the work was certainly not started, or after the
retention time. A claim of an owner that is gone is never given to another::

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

import hashlib
import hmac
import secrets
from collections import deque
from collections.abc import Mapping
from typing import Any

import trio
from attrs import define, field, frozen

from hemlockstand.errors import (
    HemlockstandError,
    OutcomeUnknown,
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

CLAIM_PREFIX = "claim/"
MAX_BATCH = 100  # operations of one transaction
COMMIT_ATTEMPTS = 3
MAC_BYTES = 16


@define(eq=False)
class _Entry:
    """One operation that waits for its transaction."""

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
    """Collects independent operations into common transactions.

    ``run`` must be running. No two operations that are submitted at the same
    time may have the same key.
    """

    table: Table
    delay_seconds: float
    transactions: int = 0
    _queue: deque[_Entry] = field(factory=deque)
    _arrived: trio.Event = field(factory=trio.Event)

    async def submit(self, operation: Operation) -> int:
        """Apply the operation and return the row's new version.

        Raises ``TableConflict``, ``PlatformUnavailable``, or
        ``OutcomeUnknown`` when the operation may still be applied.
        """
        entry = _Entry(operation)
        self._queue.append(entry)
        self._arrived.set()
        await entry.done.wait()
        if entry.error is not None:
            raise entry.error
        return entry.version

    async def run(self) -> None:
        """Commit what was submitted until cancelled."""
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

    def _take_batch(self) -> list[_Entry]:
        count = min(MAX_BATCH, len(self._queue))
        batch = [self._queue.popleft() for _ in range(count)]
        if not self._queue:
            self._arrived = trio.Event()
        return batch

    async def _commit(self, batch: list[_Entry]) -> list[_Entry]:
        """Commit the batch and return the entries that need another attempt."""
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
        """Resolve the conflicting entries; the others were not applied."""
        conflicting = [e for e in batch if e.operation.key in conflict.keys]
        rest = [e for e in batch if e.operation.key not in conflict.keys]
        return rest + await self._resolve(conflicting, conflict)

    async def _resolve(
        self, batch: list[_Entry], error: HemlockstandError
    ) -> list[_Entry]:
        """Read the rows; return the entries whose operation is not visible.

        These may be sent again: they are conditional on the same version, so
        a delayed first attempt and the second cannot both be applied.
        """
        try:
            rows = await self.table.read_many([e.operation.key for e in batch])
        except HemlockstandError:
            return _fail_all(batch, OutcomeUnknown(f"not resolved: {error}"))
        unseen: list[_Entry] = []
        for entry, row in zip(batch, rows, strict=True):
            if _is_applied(entry.operation, row):
                entry.succeed(row.version)
            elif row.version == entry.operation.expected:
                unseen.append(entry)
            else:
                entry.fail(TableConflict([row.key]))
        return unseen


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
    """The work has this outcome; None means that it is not known."""

    result: Mapping[str, Any] | None


ClaimState = Granted | Pending | Finished


@define
class _Record:
    """What this owner knows of a claim of its own.

    ``abandoned`` marks a claim whose insert has an unknown outcome; its work
    was never started.
    """

    version: int
    value: Mapping[str, Any]
    abandoned: bool = False


@define(eq=False)
class Ledger:
    """The claims of one owner, which must be new for each process start."""

    commits: GroupCommit
    owner: str
    _records: dict[str, _Record] = field(factory=dict)
    _claiming: set[str] = field(factory=set)

    async def claim(self, name: str) -> ClaimState:
        """Claim the work, unless it was claimed before.

        Raises ``PlatformUnavailable`` or ``OutcomeUnknown`` when the claim
        could not be made; the work must not be started then.
        """
        if name in self._claiming or self.is_active(name):
            return Pending(self.owner)
        self._claiming.add(name)
        try:
            return await self._claim(name)
        finally:
            self._claiming.discard(name)

    def is_active(self, name: str) -> bool:
        """Return whether this owner runs the work or has not recorded its end."""
        return name in self._records and not self._records[name].abandoned

    async def _claim(self, name: str) -> ClaimState:
        value = {"owner": self.owner, "state": "claimed", "id": secrets.token_hex(8)}
        known = self._records.get(name)
        expected = ABSENT if known is None else known.version
        self._records[name] = _Record(expected, value, abandoned=True)
        try:
            version = await self.commits.submit(Put(_key(name), value, expected))
        except TableConflict:
            return await self._resolve_conflict(name)
        self._records[name] = _Record(version, value)
        return Granted(name)

    async def _resolve_conflict(self, name: str) -> ClaimState:
        """Read whose claim is in the row.

        An own claim that was abandoned is adopted with a new conditional
        write, because its first insert arrived late.
        """
        row = await self.commits.table.read(_key(name))
        if row.version == ABSENT or row.value["owner"] != self.owner:
            del self._records[name]
            return _read_state(row)
        value = {**row.value, "id": secrets.token_hex(8)}
        version = await self.commits.submit(Put(row.key, value, row.version))
        self._records[name] = _Record(version, value)
        return Granted(name)

    async def finish(self, name: str, result: Mapping[str, Any] | None) -> None:
        """Record the outcome of granted work; None means not known.

        Raises the table's errors; calling it again is safe.
        """
        record = self._records[name]
        value = {**record.value, "state": "finished", "result": result}
        await self.commits.submit(Put(_key(name), value, record.version))
        self._records.pop(name, None)

    async def release(self, name: str) -> None:
        """Delete the claim of granted work that was certainly not started.

        Raises the table's errors; calling it again is safe.
        """
        record = self._records[name]
        await self.commits.submit(Delete(_key(name), record.version))
        self._records.pop(name, None)

    async def look_up(self, name: str) -> ClaimState | None:
        """Return the state of the claim, or None when there is no claim."""
        row = await self.commits.table.read(_key(name))
        return None if row.version == ABSENT else _read_state(row)


def _key(name: str) -> str:
    return CLAIM_PREFIX + name


def _read_state(row: Row) -> ClaimState:
    if row.version == ABSENT:
        return Pending("")
    if row.value["state"] == "finished":
        return Finished(row.value["result"])
    return Pending(row.value["owner"])


@define(eq=False)
class IdIssuer:
    """Ids that only the issuing process may use, each at most once.

    An id is ``OWNER.SEQUENCE.MAC``; the MAC covers the team, so that an id is
    worthless to other teams. At most ``max_unused`` ids are remembered; older
    ones count as used.
    """

    owner: str
    secret: bytes = field(repr=False)
    max_unused: int = 100_000
    _sequence: int = 0
    _unused: dict[str, None] = field(factory=dict)

    def issue(self, team: str, count: int) -> list[str]:
        """Return new ids for the team."""
        ids = [self._make_id(team) for _ in range(count)]
        self._unused.update(dict.fromkeys(ids))
        while len(self._unused) > self.max_unused:
            del self._unused[next(iter(self._unused))]
        return ids

    def owner_of(self, team: str, request_id: str) -> str | None:
        """Return who issued the id to the team, or None if nobody did."""
        parts = request_id.rsplit(".", 2)
        if len(parts) != 3:
            return None
        signed = f"{parts[0]}.{parts[1]}"
        if not hmac.compare_digest(self._sign(team, signed), parts[2].encode()):
            return None
        return parts[0]

    def is_unused(self, request_id: str) -> bool:
        """Return whether the own id was certainly never used."""
        return request_id in self._unused

    def use(self, request_id: str) -> bool:
        """Mark an own id as used; return False if it was used before."""
        if request_id not in self._unused:
            return False
        del self._unused[request_id]
        return True

    def restore(self, request_id: str) -> None:
        """Allow an own id again whose work was certainly not started."""
        self._unused[request_id] = None

    def _make_id(self, team: str) -> str:
        self._sequence += 1
        signed = f"{self.owner}.{self._sequence}"
        return f"{signed}.{self._sign(team, signed).decode()}"

    def _sign(self, team: str, signed: str) -> bytes:
        message = f"{team}\0{signed}".encode()
        digest = hmac.new(self.secret, message, hashlib.sha256).digest()
        return digest[:MAC_BYTES].hex().encode()
