"""A limit that is split into slots of holders, in one table row.

The limit has parts: one elastic part and one reserved part for each data
centre. A holder takes slots of a part with a conditional transaction and then
uses them without any table access. The sum of all slots in the row never
exceeds the limit that was in force when slots were last taken. After the
limit is lowered, no holder starts work until the row is within the new
limit::

    >>> import trio
    >>> from hemlockstand.platform.memory import MemoryTable
    >>> async def example():
    ...     table = MemoryTable()
    ...     split = split_limit(10, 0.5, ["dc1", "dc2"], version=1)
    ...     print(dict(split.parts))
    ...     first = Escrow(table, "limit/hinge", "entry-1/a")
    ...     second = Escrow(table, "limit/hinge", "entry-2/b")
    ...     print(await first.take({ELASTIC: 4}, split))
    ...     print(await second.take({ELASTIC: 4}, split))
    ...     await first.shrink({ELASTIC: 1}, split)
    ...     print(await second.take({ELASTIC: 4}, split))
    >>> trio.run(example)
    {'dc1': 2, 'dc2': 2, '*': 6}
    {'*': 4}
    {'*': 2}
    {'*': 3}
"""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import define, field, frozen

from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable, TableConflict
from hemlockstand.platform.interface import ABSENT, Put, Row, Table

ELASTIC = "*"
# Attempts of a write that conflicts with other holders; more would delay the
# caller.
MAX_ATTEMPTS = 4


@frozen
class Split:
    """A limit by part, and the configuration version that it comes from.

    ``since`` is the earliest version since which the limit is known to be
    unchanged.
    """

    limit: int
    version: int
    parts: Mapping[str, int]
    since: int


def split_limit(
    limit: int,
    reserved_fraction: float,
    data_centres: Iterable[str],
    version: int,
    since: int | None = None,
) -> Split:
    """Split a limit into equal reserved parts and an elastic remainder.

    ``since`` defaults to ``version``; pass an earlier version if the limit is
    known to be unchanged since then.
    """
    names = sorted(data_centres)
    reserved = int(limit * reserved_fraction) // len(names)
    parts = dict.fromkeys(names, reserved)
    parts[ELASTIC] = limit - reserved * len(names)
    return Split(limit, version, parts, version if since is None else since)


@define
class Escrow:
    """The slots of one holder in the row of one limit.

    ``usable`` is the most that the holder may use. It never exceeds the slots
    in the row, even if a write whose reply was lost is applied later.
    """

    table: Table
    key: str
    holder: str
    transactions: int = 0
    _row: Row = field(init=False)
    _usable: dict[str, int] = field(factory=dict)
    _unresolved: int | None = None

    def __attrs_post_init__(self) -> None:
        self._row = Row(self.key, {}, ABSENT)

    def usable(self, part: str) -> int:
        """Return the number of slots of the part that are certainly held."""
        return self._usable.get(part, 0)

    def within(self, split: Split) -> bool:
        """Return whether the limit allows work to be started.

        It does not while the row was last written before the limit was set,
        because a holder that does not know the limit yet may change it.
        """
        return _excludes_stale_writers(self._row, split) and fits(
            read_holders(self._row), split
        )

    def shown_limit(self) -> int | None:
        """Return the limit in the row as last read, None without a row."""
        return self._row.value.get("limit")

    def free(self, part: str, split: Split) -> int:
        """Return how many slots of the part were free when last read."""
        return count_free(read_holders(self._row), part, split)

    async def refresh(self) -> None:
        """Read the row from the table."""
        self._adopt(await self.table.read(self.key))

    async def take(self, wanted: Mapping[str, int], split: Split) -> dict[str, int]:
        """Take up to the wanted slots by part and return what was taken.

        Takes nothing if the row has another limit, from a newer configuration
        than that of ``split``. Raises ``PlatformUnavailable`` or
        ``OutcomeUnknown``.
        """
        for _ in range(MAX_ATTEMPTS):
            holders = read_holders(self._row)
            if not is_current(self._row, split):
                await self.refresh()
                if not is_current(self._row, split):
                    return {}
                continue
            taken = _choose_slots(holders, wanted, split)
            if not taken:
                stale = self._row.version
                await self.refresh()
                if self._row.version == stale:
                    return {}
                continue
            mine = dict(holders.get(self.holder, {}))
            for part, count in taken.items():
                mine[part] = mine.get(part, 0) + count
            if await self._write(mine, split):
                return taken
        return {}

    async def shrink(self, target: Mapping[str, int], split: Split) -> None:
        """Give back all slots above the target of each part.

        Slots above the target are not usable from now on, even if the write
        fails. Raises ``PlatformUnavailable`` or ``OutcomeUnknown``.
        """
        for _ in range(MAX_ATTEMPTS):
            mine = read_holders(self._row).get(self.holder, {})
            left = {part: min(mine[part], target.get(part, 0)) for part in mine}
            if left == mine and self._unresolved is None:
                return
            if await self._write(left, split):
                return

    async def apply_limit(self, used: Mapping[str, int], split: Split) -> None:
        """Write a changed limit and give back unused slots that exceed it.

        Used slots are kept. Raises ``PlatformUnavailable`` or
        ``OutcomeUnknown``.
        """
        for _ in range(MAX_ATTEMPTS):
            await self.refresh()
            if not is_current(self._row, split) or self._is_limit_applied(split):
                return
            await self._write(self._reduce(used, split), split)

    def _is_limit_applied(self, split: Split) -> bool:
        if self._row.version == ABSENT:
            return True
        holders = read_holders(self._row)
        mine = holders.get(self.holder, {})
        fitting = fits(holders, split) or not any(mine.values())
        excludes_stale = _excludes_stale_writers(self._row, split)
        return excludes_stale and self._row.value["limit"] == split.limit and fitting

    def _reduce(self, used: Mapping[str, int], split: Split) -> dict[str, int]:
        """Return the slots that this holder keeps under a smaller limit.

        The first holder that writes a smaller limit scales its slots with the
        limit. After that, each holder gives back slots until the row is
        within the limit.
        """
        holders = read_holders(self._row)
        mine = dict(holders.get(self.holder, {}))
        old_limit = self._row.value["limit"]
        if old_limit > split.limit:
            scaled = {part: n * split.limit // old_limit for part, n in mine.items()}
            return {part: max(scaled[part], used.get(part, 0)) for part in mine}
        counts = count_parts(holders)
        excess = sum(counts.values()) - split.limit
        for part, count in mine.items():
            over = max(counts[part] - split.parts.get(part, 0), excess)
            mine[part] = min(count, max(count - max(over, 0), used.get(part, 0)))
            excess -= count - mine[part]
        return mine

    async def _write(self, mine: Mapping[str, int], split: Split) -> bool:
        """Write this holder's slots; return False if the row had changed."""
        operation = self.make_put(mine, split)
        self._usable = self._clamp(mine)
        already_unresolved = self._unresolved is not None
        self._unresolved = self._row.version
        self.transactions += 1
        try:
            versions = await self.table.transact([operation])
        except PlatformUnavailable:
            if not already_unresolved:
                self._unresolved = None
                self._adopt(self._row)
            raise
        except TableConflict:
            await self.refresh()
            return False
        except OutcomeUnknown:
            await self.refresh()
            if self._unresolved is not None:
                raise
            return read_holders(self._row).get(self.holder, {}) == _drop_empty(mine)
        self._adopt(Row(self.key, operation.value, versions[0]))
        return True

    def make_put(self, mine: Mapping[str, int], split: Split) -> Put:
        """Return the conditional write of this holder's slots."""
        holders = {name: dict(parts) for name, parts in self._holders().items()}
        holders[self.holder] = _drop_empty(mine)
        return Put(self.key, make_value(self._row, holders, split), self._row.version)

    def _holders(self) -> Mapping[str, Mapping[str, int]]:
        return read_holders(self._row)

    def _clamp(self, mine: Mapping[str, int]) -> dict[str, int]:
        return {
            part: min(count, mine.get(part, 0)) for part, count in self._usable.items()
        }

    def _adopt(self, row: Row) -> None:
        """Make the row's slots usable, unless a pending write can change them.

        A conditional write with an unknown outcome can be applied as long as
        the row has the version that the write expects. Until the row has
        another version, only the smaller number of slots may be used.
        """
        self._row = row
        if self._unresolved is not None and row.version == self._unresolved:
            return
        self._unresolved = None
        self._usable = dict(read_holders(row).get(self.holder, {}))


def read_holders(row: Row) -> Mapping[str, Mapping[str, int]]:
    """Return the slots by holder and part."""
    return row.value.get("holders", {})


def is_current(row: Row, split: Split) -> bool:
    """Return whether a holder with this split may write the row.

    A row with another limit from a newer configuration must not be written by
    a holder that does not have that configuration yet.
    """
    if row.version == ABSENT or row.value["limit"] == split.limit:
        return True
    return row.value["version"] < split.version


def _excludes_stale_writers(row: Row, split: Split) -> bool:
    """Return whether holders that do not know the limit cannot write the row.

    ``is_current`` keeps them from writing a row of a newer configuration.
    """
    if row.version == ABSENT:
        return True
    return row.value["limit"] <= split.limit and row.value["version"] >= split.since


def fits(holders: Mapping[str, Mapping[str, int]], split: Split) -> bool:
    """Return whether all parts and their sum are within the limit."""
    counts = count_parts(holders)
    within = all(count <= split.parts.get(part, 0) for part, count in counts.items())
    return within and sum(counts.values()) <= split.limit


def count_parts(holders: Mapping[str, Mapping[str, int]]) -> dict[str, int]:
    """Return the number of held slots by part."""
    counts: dict[str, int] = {}
    for parts in holders.values():
        for part, count in parts.items():
            counts[part] = counts.get(part, 0) + count
    return counts


def count_free(
    holders: Mapping[str, Mapping[str, int]], part: str, split: Split
) -> int:
    """Return how many slots of the part nobody holds."""
    counts = count_parts(holders)
    of_part = split.parts.get(part, 0) - counts.get(part, 0)
    of_all = split.limit - sum(counts.values())
    return max(0, min(of_part, of_all))


def replace_holder(row: Row, holder: str, parts: Mapping[str, int]) -> Put:
    """Return the write that replaces a holder's slots with ``parts``."""
    holders = {name: dict(held) for name, held in read_holders(row).items()}
    holders.pop(holder, None)
    if _drop_empty(parts):
        holders[holder] = _drop_empty(parts)
    return Put(row.key, {**row.value, "holders": holders}, row.version)


def make_value(
    row: Row, holders: Mapping[str, Mapping[str, int]], split: Split
) -> dict[str, Any]:
    """Return the row's new value with the slots of ``holders``.

    The limit of a newer configuration is kept: a holder that does not have
    that configuration yet may still give back slots.
    """
    held = {name: parts for name, parts in holders.items() if parts}
    if row.value.get("version", 0) > split.version:
        return {**row.value, "holders": held}
    return {
        "limit": split.limit,
        "version": split.version,
        "parts": dict(split.parts),
        "holders": held,
    }


def _drop_empty(mine: Mapping[str, int]) -> dict[str, int]:
    return {part: count for part, count in mine.items() if count > 0}


def _choose_slots(
    holders: Mapping[str, Mapping[str, int]], wanted: Mapping[str, int], split: Split
) -> dict[str, int]:
    room = split.limit - sum(count_parts(holders).values())
    taken: dict[str, int] = {}
    for part, count in wanted.items():
        chosen = min(count, count_free(holders, part, split), room)
        if chosen > 0:
            taken[part] = chosen
            room -= chosen
    return taken
