"""Rows that several services poll, read together in one call.

A call to the platform takes close to a millisecond of processor time for any
number of rows, and a daemon polls about ten rows each second. Each call
therefore reads all rows that were polled lately, so that the polls of the
other services need no call::

    marker = await rows.read("jobs/marker/frame", max_age=0.4)
"""

import trio
from attrs import define, field, frozen

from hemlockstand.platform.interface import Row, Table

KEEP_SECONDS = 5.0  # a key that was not polled for this time is not read


@frozen
class _PolledRow:
    row: Row
    read_at: float


@define
class PolledRows:
    """Shares the reads of polled rows between services."""

    table: Table
    reads: int = 0
    _rows: dict[str, _PolledRow] = field(factory=dict)
    _polled_at: dict[str, float] = field(factory=dict)
    _lock: trio.Lock = field(factory=trio.Lock)

    async def read(self, key: str, max_age: float) -> Row:
        """Return the row as read at most ``max_age`` seconds ago.

        Raises ``PlatformUnavailable``.
        """
        async with self._lock:
            now = trio.current_time()
            self._polled_at[key] = now
            known = self._rows.get(key)
            if known is None or now - known.read_at > max_age:
                await self._read_all(now)
        return self._rows[key].row

    async def _read_all(self, now: float) -> None:
        keys = [key for key, at in self._polled_at.items() if now - at <= KEEP_SECONDS]
        rows = await self.table.read_many(keys)
        self.reads += 1
        self._rows = {row.key: _PolledRow(row, now) for row in rows}
        self._polled_at = {key: self._polled_at[key] for key in keys}
