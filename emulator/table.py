"""The transactional table and the object store of the platform stand-in.

Rows are stored in their encoded form, so that a read only joins byte strings.
"""

import time
from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Any, Literal

import msgspec
from attrs import define, field

from emulator.recorder import Recorder
from emulator.web import BadRequest

HISTORY_LENGTH = 100_000
MAX_SCAN_ROWS = 5_000


class TableOperation(msgspec.Struct):
    """One operation in the body of ``POST /table/transact``."""

    op: Literal["put", "delete", "check"]
    key: str
    value: msgspec.Raw = msgspec.Raw(b"")
    expected: int | None = None


class Transaction(msgspec.Struct):
    """Body of ``POST /table/transact``."""

    operations: list[TableOperation]


class RowsRequest(msgspec.Struct):
    """Body of ``POST /table/rows``."""

    keys: list[str]


@define
class StoredRow:
    """A row's version and the JSON text that replies contain."""

    version: int
    encoded: bytes


class Conflict(Exception):
    """Rows had other versions than expected; nothing was applied."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(", ".join(keys))
        self.keys = keys


@define
class TableState:
    """All rows and objects; each put gets the table's next version."""

    recorder: Recorder
    rows: dict[str, StoredRow] = field(factory=dict)
    objects: dict[str, bytes] = field(factory=dict)
    history: deque[tuple[float, str, str, int, bytes]] = field(
        factory=lambda: deque(maxlen=HISTORY_LENGTH)
    )
    _sorted_keys: list[str] = field(factory=list)
    _last_version: int = 0

    def read_rows(self, keys: list[str]) -> bytes:
        """Return the encoded rows in the order of the keys.

        A row that does not exist is encoded with version 0.
        """
        self.recorder.counters["reads"] += 1
        self.recorder.counters["rows_read"] += len(keys)
        return _join_rows(self._encode_or_absent(key) for key in keys)

    def scan(self, prefix: str, after: str, limit: int) -> bytes:
        """Return the encoded rows with a prefix after a key, in key order."""
        keys = list(self._select_keys(prefix, after, min(limit, MAX_SCAN_ROWS)))
        self.recorder.counters["reads"] += 1
        self.recorder.counters["rows_read"] += len(keys)
        return _join_rows(self.rows[key].encoded for key in keys)

    def transact(self, operations: list[TableOperation]) -> list[int]:
        """Apply all operations or none and return the versions of their rows.

        Raises ``Conflict`` and ``BadRequest``.
        """
        _check_operations(operations)
        conflicts = [entry.key for entry in operations if self._conflicts(entry)]
        if conflicts:
            self.recorder.counters["conflicts"] += 1
            raise Conflict(conflicts)
        self.recorder.counters["transactions"] += 1
        return [self._apply(operation) for operation in operations]

    def show_history(self, prefix: str) -> list[dict[str, Any]]:
        """Return the committed writes to keys with the prefix, oldest first.

        The history holds the last ``HISTORY_LENGTH`` writes of the table.
        """
        return [
            {
                "time": moment,
                "op": kind,
                "key": key,
                "version": version,
                "value": msgspec.Raw(value or b"null"),
            }
            for moment, kind, key, version, value in self.history
            if key.startswith(prefix)
        ]

    def _encode_or_absent(self, key: str) -> bytes:
        row = self.rows.get(key)
        if row is None:
            return _encode_row(key, b"{}", 0)
        return row.encoded

    def _select_keys(self, prefix: str, after: str, limit: int) -> Iterator[str]:
        keys = self._sorted_keys
        start = max(bisect_left(keys, prefix), bisect_right(keys, after))
        for key in keys[start : start + limit]:
            if not key.startswith(prefix):
                return
            yield key

    def _conflicts(self, operation: TableOperation) -> bool:
        if operation.expected is None:
            return False
        row = self.rows.get(operation.key)
        return operation.expected != (0 if row is None else row.version)

    def _apply(self, operation: TableOperation) -> int:
        key = operation.key
        if operation.op == "check":
            row = self.rows.get(key)
            return 0 if row is None else row.version
        self.recorder.counters["writes"] += 1
        self.recorder.counters[f"writes:{key.partition('/')[0]}"] += 1
        if operation.op == "delete":
            return self._delete(key)
        return self._put(key, bytes(operation.value))

    def _put(self, key: str, value: bytes) -> int:
        self._last_version += 1
        version = self._last_version
        if key not in self.rows:
            insort(self._sorted_keys, key)
        self.rows[key] = StoredRow(version, _encode_row(key, value, version))
        self.history.append((time.monotonic(), "put", key, version, value))
        return version

    def _delete(self, key: str) -> int:
        if self.rows.pop(key, None) is not None:
            del self._sorted_keys[bisect_left(self._sorted_keys, key)]
        self.history.append((time.monotonic(), "delete", key, 0, b""))
        return 0


def _check_operations(operations: list[TableOperation]) -> None:
    for operation in operations:
        value = bytes(operation.value)
        if operation.op == "put" and not value.startswith(b"{"):
            raise BadRequest(f"put {operation.key!r}: value must be an object")
        if operation.op == "check" and operation.expected is None:
            raise BadRequest(f"check {operation.key!r}: expected is missing")


def _encode_row(key: str, value: bytes, version: int) -> bytes:
    name = msgspec.json.encode(key)
    return b'{"key":%b,"value":%b,"version":%d}' % (name, value, version)


def _join_rows(rows: Iterable[bytes]) -> bytes:
    return b'{"rows":[%b]}' % b",".join(rows)
