"""Rows that several services poll, read together in one call.

A call to the platform costs close to a millisecond of processor time whatever
the number of rows, and a daemon polls some ten rows each second. Each poll
reads all rows that were polled lately, so the next services find theirs::

    marker = await rows.read("jobs/marker/frame", max_age=0.4)
"""

import trio
from attrs import define, field, frozen

from hemlockstand.platform.interface import Row, Table

KEEP_SECONDS = 5.0  # a key that nobody polled for this time is not read


@frozen
class _Polled:
    row: Row
    read_at: float


@define
class PolledRows:
    """Shares the reads of rows that are polled."""

    table: Table
    reads: int = 0
    _rows: dict[str, _Polled] = field(factory=dict)
    _asked_at: dict[str, float] = field(factory=dict)
    _lock: trio.Lock = field(factory=trio.Lock)

    async def read(self, key: str, max_age: float) -> Row:
        """Return the row as it was at most ``max_age`` seconds ago.

        Raises ``PlatformUnavailable``.
        """
        async with self._lock:
            now = trio.current_time()
            self._asked_at[key] = now
            known = self._rows.get(key)
            if known is None or now - known.read_at > max_age:
                await self._read_all(now)
        return self._rows[key].row

    async def _read_all(self, now: float) -> None:
        keys = [key for key, at in self._asked_at.items() if now - at <= KEEP_SECONDS]
        rows = await self.table.read_many(keys)
        self.reads += 1
        self._rows = {row.key: _Polled(row, now) for row in rows}
        self._asked_at = {key: self._asked_at[key] for key in keys}
