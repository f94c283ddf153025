"""In-memory table and object store for tests and embedding.

``fail_next`` lets a test cause an outage or a lost reply::

    table = MemoryTable()
    table.fail_next(OutcomeUnknown("reply lost"), applied=True)
"""

from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from attrs import define, field

from hemlockstand.errors import HemlockstandError, NotFound, TableConflict
from hemlockstand.platform.interface import (
    ABSENT,
    Check,
    Delete,
    Operation,
    Put,
    Row,
)


@define
class MemoryTable:
    """A table in memory; versions are unique and grow across all rows."""

    rows: dict[str, Row] = field(factory=dict)
    writes: int = 0
    reads: int = 0
    _last_version: int = 0
    _failures: deque[tuple[HemlockstandError, bool]] = field(factory=deque)

    def fail_next(self, error: HemlockstandError, applied: bool = False) -> None:
        """Make the next call raise ``error``.

        With ``applied``, a transaction is applied before the error.
        """
        self._failures.append((error, applied))

    async def read(self, key: str) -> Row:
        """Return the row; an absent one has version 0 and an empty value."""
        self._begin_read()
        return self._look_up(key)

    async def read_many(self, keys: Sequence[str]) -> list[Row]:
        """Return the rows in the order of the keys."""
        self._begin_read()
        return [self._look_up(key) for key in keys]

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        """Return rows with the prefix whose key sorts after ``after``."""
        self._begin_read()
        matching = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return [self.rows[key] for key in matching[:limit]]

    async def transact(self, operations: Sequence[Operation]) -> tuple[int, ...]:
        """Apply all operations or none; return the rows' new versions.

        Raises ``TableConflict`` when a row had another version.
        """
        failure = self._failures.popleft() if self._failures else None
        if failure is not None and not failure[1]:
            raise failure[0]
        conflicts = list(self._find_conflicts(operations))
        if conflicts:
            raise TableConflict(conflicts)
        versions = tuple(self._apply(operation) for operation in operations)
        if failure is not None:
            raise failure[0]
        return versions

    def _begin_read(self) -> None:
        self.reads += 1
        if self._failures:
            raise self._failures.popleft()[0]

    def _look_up(self, key: str) -> Row:
        return self.rows.get(key, Row(key, {}, ABSENT))

    def _find_conflicts(self, operations: Sequence[Operation]) -> Iterator[str]:
        for operation in operations:
            current = self._look_up(operation.key).version
            if operation.expected is not None and operation.expected != current:
                yield operation.key

    def _apply(self, operation: Operation) -> int:
        match operation:
            case Put(key=key, value=value):
                self.writes += 1
                self._last_version += 1
                self.rows[key] = Row(key, _copy(value), self._last_version)
            case Delete(key=key):
                self.writes += 1
                self.rows.pop(key, None)
            case Check(key=key):
                pass
        return self._look_up(key).version


def _copy(value: Mapping[str, Any]) -> dict[str, Any]:
    """Copy a JSON object, so that a caller cannot change a stored row."""
    return {name: _copy_item(item) for name, item in value.items()}


def _copy_item(item: Any) -> Any:
    match item:
        case Mapping():
            return _copy(item)
        case list() | tuple():
            return [_copy_item(entry) for entry in item]
        case _:
            return item


@define
class MemoryObjects:
    """An object store in memory."""

    objects: dict[str, bytes] = field(factory=dict)

    async def put(self, name: str, data: bytes) -> None:
        """Store the object."""
        self.objects[name] = data

    async def get(self, name: str) -> bytes:
        """Return the object; raises ``NotFound``."""
        if name not in self.objects:
            raise NotFound(f"object {name!r} does not exist")
        return self.objects[name]
