"""Client of the platform's row store."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

import trio
from attrs import frozen
from loguru import logger

from hemlockstand.coordination.timeouts import AdaptiveTimeout
from hemlockstand.errors import NotFound, OutcomeUnknown, PlatformUnavailable
from hemlockstand.platform.connection import Connection, Reply

log = logger.bind(module=__name__)

PAGE_ROWS = 500  # the largest number that the store returns in a response
# The store answers within 0.01 s, and within 0.3 s when it is sixty times
# slower than usual.
MIN_TIMEOUT_SECONDS = 0.4
MAX_READ_TIMEOUT_SECONDS = 1.0
MAX_WRITE_TIMEOUT_SECONDS = 1.5
READ_ATTEMPTS = 2  # the second one is made on a new connection
REFUSALS = (400, 403, 413, 422)  # of a transaction as such
MAX_TRANSACTION_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
MAX_ROW_BYTES = 49_152  # of a value; its base64 has 65,536 bytes
MAX_NAME_BYTES = 200
LARGEST_ROW_BYTES = 65_536  # of a value, if the limit does not count its base64


@frozen
class StoredRow:
    """A row; ``value`` is None if the row was removed or cannot be decoded."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int
    dropped: bool = False


@frozen
class RowWrite:
    """A row to write."""

    table: str
    key: str
    value: bytes
    part: str = ""


def make_stored_row(write: RowWrite, version: int = 0) -> StoredRow:
    """Return a row as it will be read once a write was applied."""
    return StoredRow(write.table, write.part, write.key, write.value, version)


@frozen
class RowKey:
    """A row to remove."""

    table: str
    key: str
    part: str = ""


@frozen
class RowExpectation:
    """A version that a row must have; 0 means that it must not exist."""

    table: str
    key: str
    version: int
    part: str = ""


@frozen
class RowPage:
    """Rows at one time; ``version`` is the store's newest version then."""

    rows: tuple[StoredRow, ...]
    version: int
    more: bool = False


class RowsRefused(PlatformUnavailable):
    """The store does not accept the transaction, also if it is repeated."""

    code = "rows_refused"


class RowConflict(PlatformUnavailable):
    """A row did not have its expected version; nothing was applied.

    ``rows`` are the rows that the store returned with the refusal.
    """

    code = "row_conflict"

    def __init__(self, rows: tuple[StoredRow, ...]) -> None:
        super().__init__("an expected row version did not hold")
        self.rows = rows


class HistoryGone(NotFound):
    """The store no longer has the changes after the requested version."""

    code = "history_gone"


class RowStore:
    """Reads, follows and writes rows.

    Reads raise ``PlatformUnavailable``. Writes raise it when nothing was
    applied, ``RowConflict`` when a condition did not hold, ``RowsRefused`` when
    the transaction is over a limit of the store or malformed, and
    ``OutcomeUnknown`` when the write may be applied, also seconds later.
    """

    def __init__(self, address: str) -> None:
        self._call_connection = Connection(address)
        # A read that waits for changes occupies its connection, so such reads
        # have their own.
        self._follow_connection = Connection(address)
        self._read_timeout = AdaptiveTimeout(
            MIN_TIMEOUT_SECONDS, MAX_READ_TIMEOUT_SECONDS
        )
        self._write_timeout = AdaptiveTimeout(
            MIN_TIMEOUT_SECONDS, MAX_WRITE_TIMEOUT_SECONDS
        )

    async def read(
        self, table: str, start: str = "", end: str = "", part: str = ""
    ) -> RowPage:
        """Return one page of rows with ``start`` <= key < ``end``."""
        query = {"Table": table, "part": part, "Limit": PAGE_ROWS}
        if start:
            query["StartKey"] = start
        if end:
            query["To"] = end
        reply = await self._read(f"/rows-get?{urlencode(query)}")
        return decode_page(table, reply)

    async def read_all(self, table: str, part: str = "") -> RowPage:
        """Return all rows of a part.

        Pages are read at different times. The version is that of the first
        page, so that ``follow`` from this version misses no change.
        """
        page = await self.read(table, part=part)
        first = page.version
        rows = list(page.rows)
        while page.more:
            page = await self.read(table, rows[-1].key + "\0", part=part)
            rows.extend(page.rows)
        return RowPage(tuple(rows), first)

    async def read_one(self, table: str, key: str) -> StoredRow:
        """Return a row; one that does not exist has version 0."""
        page = await self.read(table, key, key + "\0")
        for row in page.rows:
            if row.key == key:
                return row
        return StoredRow(table, "", key, None, 0, dropped=True)

    async def follow(self, table: str, after: int, wait_seconds: float) -> RowPage:
        """Return the changes after a version.

        Waits up to ``wait_seconds`` for the first change. Raises
        ``HistoryGone`` when the rows must be read again.
        """
        query = {"Table": table, "After": after, "WaitMs": int(wait_seconds * 1000)}
        seconds = MAX_READ_TIMEOUT_SECONDS + wait_seconds
        try:
            reply = await self._follow_connection.call(
                "GET", f"/rows-feed?{urlencode(query)}", seconds
            )
        except OutcomeUnknown as error:
            raise PlatformUnavailable(str(error)) from error
        if reply.status == 410:
            raise HistoryGone(
                f"the store no longer has the changes of {table} after version {after}"
            )
        _require_ok(reply)
        return decode_page(table, reply)

    async def write(
        self,
        writes: Sequence[RowWrite] = (),
        expected: Sequence[RowExpectation] = (),
        removed: Sequence[RowKey] = (),
    ) -> int:
        """Apply all changes or none; return the version of the transaction."""
        body = {
            "ExpectedRev": [
                {
                    "Table": row.table,
                    "part": row.part,
                    "Key": row.key,
                    "RowVersion": row.version,
                }
                for row in expected
            ],
            "Write": [
                {
                    "Table": row.table,
                    "part": row.part,
                    "Key": row.key,
                    "Value": b64encode(row.value).decode(),
                }
                for row in writes
            ],
            "Remove": [
                {"Table": row.table, "part": row.part, "Key": row.key}
                for row in removed
            ],
        }
        reply = await self._call("POST", "/rows-tx", self._write_timeout, body)
        try:
            if reply.status == 200:
                return int(reply.decode()["RowVersion"])
            if reply.status == 412:
                raise RowConflict(tuple(_decode_rows("", reply.decode()["rows"])))
        except (KeyError, TypeError, ValueError) as error:
            raise OutcomeUnknown(
                f"unreadable response {reply.status} to a write: {error!r}"
            ) from error
        if reply.status in REFUSALS:
            raise RowsRefused(f"the store answered {reply.status}")
        if reply.status in (429, 503):
            raise PlatformUnavailable(f"the store answered {reply.status}")
        raise OutcomeUnknown(f"the store answered {reply.status}")

    async def _read(self, target: str) -> Reply:
        for attempt in range(1, READ_ATTEMPTS + 1):
            try:
                reply = await self._call("GET", target, self._read_timeout)
                break
            except OutcomeUnknown as error:
                if attempt == READ_ATTEMPTS:
                    raise PlatformUnavailable(str(error)) from error
                log.debug("repeating a read of the row store: {}", error)
        _require_ok(reply)
        return reply

    async def _call(
        self, method: str, target: str, timeout: AdaptiveTimeout, body: Any = None
    ) -> Reply:
        sent_at = trio.current_time()
        try:
            reply = await self._call_connection.call(
                method, target, timeout.seconds, body
            )
        except OutcomeUnknown:
            timeout.record_timeout()
            raise
        timeout.record_response(trio.current_time() - sent_at)
        return reply

    async def close(self) -> None:
        """Close all connections."""
        await self._call_connection.close()
        await self._follow_connection.close()


def _require_ok(reply: Reply) -> None:
    if reply.status != 200:
        raise PlatformUnavailable(f"the store answered {reply.status}")


def decode_page(table: str, reply: Reply) -> RowPage:
    """Return the rows of a response; raises ``PlatformUnavailable``."""
    try:
        body = reply.decode()
        return RowPage(
            tuple(_decode_rows(table, body["rows"])),
            int(body["RowVersion"]),
            bool(body.get("HasMore")),
        )
    except (OutcomeUnknown, KeyError, TypeError, ValueError) as error:
        raise PlatformUnavailable(f"unreadable rows of {table}: {error!r}") from error


def _decode_rows(table: str, rows: Sequence[Mapping[str, Any]]):
    for row in rows:
        if not isinstance(row, dict):
            raise TypeError(f"row {row!r} is not an object")
        dropped = bool(row.get("Deleted"))
        name = row.get("Table", table), row.get("part", ""), row["Key"]
        if not all(isinstance(each, str) for each in name):
            raise TypeError(f"row {name!r} has no text as its name")
        yield StoredRow(
            *name,
            None if dropped else _decode_value(row),
            int(row["RowVersion"]),
            dropped,
        )


def _decode_value(row: Mapping[str, Any]) -> bytes | None:
    try:
        return b64decode(row["Value"], validate=True)
    except (KeyError, TypeError, ValueError, Base64Error) as error:
        log.warning("row {} has an unreadable value: {!r}", row.get("Key"), error)
        return None
