"""Leases on a holder row, and detection of holders that stopped renewing.

A holder renews one row. It counts its lease from before the renewal was sent,
so the lease ends no later than an observer may assume. An observer reads all
holder rows. It may end a holder only after the holder's row was unchanged for
the lease plus the longest grant plus a margin, with the table reachable
during all of that time. Clocks are functions that return seconds; the clocks
of two processes are never compared::

    >>> import trio
    >>> from hemlockstand.platform.memory import MemoryTable
    >>> async def example():
    ...     seconds = [0.0]
    ...     clock = lambda: seconds[0]
    ...     table = MemoryTable()
    ...     terms = LeaseTerms(lease_seconds=10, grant_seconds=30)
    ...     holder = HolderLease(table, "entry-1", "a1", "dc1", terms, clock)
    ...     await holder.renew()
    ...     watch = HolderWatch(table, margin_seconds=1, clock=clock)
    ...     await watch.observe()
    ...     print(holder.is_valid(), watch.silent())
    ...     for _ in range(41):
    ...         seconds[0] += 1.0
    ...         await watch.observe()
    ...     print(holder.is_valid(), watch.silent())
    >>> trio.run(example)
    True []
    False ['entry-1/a1']
"""

import time
from collections.abc import Callable, Mapping

from attrs import define, field, frozen

from hemlockstand.errors import (
    HemlockstandError,
    OutcomeUnknown,
    PlatformUnavailable,
    TableConflict,
)
from hemlockstand.platform.interface import (
    ABSENT,
    ANY_VERSION,
    Delete,
    Operation,
    Put,
    Row,
    Table,
)

HOLDER_PREFIX = "holder/"
PAGE_ROWS = 500
CLOCK_READS = 5  # a preemption between its two reads makes a sample too small
_NEVER = float("-inf")

Clock = Callable[[], float]


class LeaseLost(HemlockstandError):
    """Another process has ended this holder and its grants."""

    code = "lease_lost"


@frozen
class LeaseTerms:
    """Durations of a lease, in seconds.

    ``grant_seconds`` is the longest time that work started under the lease
    can go on after the lease has ended. ``proof_seconds`` is the age up to
    which the holder relies on the proof of an outage instead of the lease.
    """

    lease_seconds: float
    grant_seconds: float
    proof_seconds: float = 0.0

    def wait_seconds(self) -> float:
        """Return for how long work can go on after the last renewal."""
        return max(self.lease_seconds, self.proof_seconds) + self.grant_seconds


def make_lease_clock(clock: Clock) -> Clock:
    """Return a clock that also counts time in which the machine was suspended.

    Monotonic clocks of Linux stop while the machine is suspended, so a lease
    measured with one would still be valid afterwards.
    """
    base = max(_read_suspended() for _ in range(CLOCK_READS))
    return lambda: clock() + max(0.0, _read_suspended() - base)


def _read_suspended() -> float:
    """Return the seconds of suspension, less the time between the reads."""
    boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot - time.clock_gettime(time.CLOCK_MONOTONIC)


@define
class HolderLease:
    """The lease of one process.

    ``session`` must differ for each start of the process, because the grants
    of an earlier session may still be in use when the next one starts.
    """

    table: Table
    name: str
    session: str
    data_centre: str
    terms: LeaseTerms
    clock: Clock
    lost: bool = False
    _counter: int = 0
    _version: int = ABSENT
    _first_sent_at: float | None = None
    _renewed_at: float = _NEVER
    _covered_at: dict[str, float] = field(factory=dict)

    @property
    def holder(self) -> str:
        """Identifier of this holder in rows that record its grants."""
        return f"{self.name}/{self.session}"

    @property
    def key(self) -> str:
        """Key of the holder row."""
        return HOLDER_PREFIX + self.holder

    def is_valid(self) -> bool:
        """Return whether the lease is valid now.

        Call it immediately before each use of a grant, because the process
        may have been paused since an earlier call.
        """
        return not self.lost and self.clock() < self._valid_until()

    def is_covered_by_outage(self, part: str, outage_age: float) -> bool:
        """Return whether grants may be used because nobody can end them.

        ``outage_age`` is the age in seconds of the newest proof that no
        process that could end this part of the grants reached the table. An
        observer needs the table during its whole wait. A proof therefore
        counts only if less than that wait lies between it and the last
        renewal or the last proof that counted. A process that was paused for
        longer has to renew its lease first.
        """
        proved_at = self.clock() - outage_age
        if self.lost or outage_age > self.terms.proof_seconds:
            return False
        covered_at = max(self._renewed_at, self._covered_at.get(part, _NEVER))
        if proved_at - covered_at >= self.terms.wait_seconds():
            return False
        self._covered_at[part] = max(covered_at, proved_at)
        return True

    def _valid_until(self) -> float:
        return self._renewed_at + self.terms.lease_seconds

    async def renew(self) -> None:
        """Extend the lease; a lost reply is resolved by reading the row.

        Raises ``LeaseLost`` when this holder was ended, and
        ``PlatformUnavailable`` or ``OutcomeUnknown`` when the lease could not
        be extended and ends at its earlier time.
        """
        if self.lost:
            raise LeaseLost(f"holder {self.holder} has ended")
        sent_at = self.clock()
        if self._first_sent_at is None:
            self._first_sent_at = sent_at
        try:
            versions = await self.table.transact([self._make_put()])
        except (TableConflict, OutcomeUnknown):
            await self._adopt()
        else:
            self._confirm(versions[0], sent_at)

    def make_release(self) -> Operation:
        """Return the operation that ends this holder.

        It is unconditional, because the row belongs to this session alone.
        """
        return Delete(self.key, ANY_VERSION)

    def end(self) -> None:
        """End the lease in this process, for example before it is released."""
        self.lost = True

    def _make_put(self) -> Put:
        value = {
            "counter": self._counter + 1,
            "data_centre": self.data_centre,
            "lease_seconds": self.terms.lease_seconds,
            "grant_seconds": self.terms.grant_seconds,
            "proof_seconds": self.terms.proof_seconds,
            "ended_by_others": [],
        }
        return Put(self.key, value, self._version)

    async def _adopt(self) -> None:
        """Read the state of the row after a lost reply or a conflict.

        Only this process advances the counter, so a new version of the row is
        one of the renewals sent since the last confirmed one. It is not known
        which one, so the lease counts from the first.
        """
        row = await self.table.read(self.key)
        if row.version == self._version:
            raise OutcomeUnknown(f"renewal of {self.key} is not visible yet")
        if row.version == ABSENT or row.value["ended_by_others"]:
            self.lost = True
            raise LeaseLost(f"holder {self.holder} was ended by another process")
        self._confirm(row.version, self._first_sent_at)

    def _confirm(self, version: int, sent_at: float) -> None:
        self._counter += 1
        self._version = version
        self._first_sent_at = None
        self._renewed_at = max(self._renewed_at, sent_at)


@define
class _ObservedRow:
    """A holder row and the time since which it is known to be unchanged.

    ``since`` is the time at which the first read that returned this version
    ended, so the change had become visible by then.
    """

    row: Row
    since: float


@define
class HolderWatch:
    """Finds the holders that have not renewed for long enough to be ended."""

    table: Table
    margin_seconds: float
    clock: Clock
    max_gap_seconds: float = 5.0
    _observed_rows: dict[str, _ObservedRow] = field(factory=dict)
    _last_read: float | None = None

    async def observe(self) -> None:
        """Read all holder rows; a failed read restarts all observations."""
        sent_at = self.clock()
        if self._last_read is None or sent_at - self._last_read > self.max_gap_seconds:
            self._observed_rows.clear()
        try:
            rows = await read_all(self.table, HOLDER_PREFIX)
        except (PlatformUnavailable, OutcomeUnknown):
            self.restart()
            raise
        self._record_rows(rows, sent_at)

    def restart(self) -> None:
        """Discard all observations, because the table was not reachable."""
        self._observed_rows.clear()
        self._last_read = None

    def silent(self) -> list[str]:
        """Return the holders whose rows were unchanged for long enough."""
        return [
            name
            for name, observed in self._observed_rows.items()
            if self.unchanged_seconds(name)
            >= wait_seconds(observed.row, self.margin_seconds)
        ]

    def unchanged_seconds(self, holder: str) -> float:
        """Return for how many seconds the row is known to be unchanged."""
        observed = self._observed_rows.get(holder)
        if observed is None or self._last_read is None:
            return 0.0
        return self._last_read - observed.since

    def row(self, holder: str) -> Row:
        """Return the holder row as last read; raises ``KeyError``."""
        return self._observed_rows[holder].row

    def holders(self) -> Mapping[str, Row]:
        """Return all holder rows as last read."""
        return {name: observed.row for name, observed in self._observed_rows.items()}

    def _record_rows(self, rows: list[Row], sent_at: float) -> None:
        arrived_at = self.clock()
        seen: dict[str, _ObservedRow] = {}
        for row in rows:
            name = row.key.removeprefix(HOLDER_PREFIX)
            known = self._observed_rows.get(name)
            if known is not None and known.row.version == row.version:
                seen[name] = known
            else:
                seen[name] = _ObservedRow(row, arrived_at)
        self._observed_rows = seen
        self._last_read = sent_at


def wait_seconds(row: Row, margin_seconds: float) -> float:
    """Return how long a row must be unchanged before its holder may be ended.

    The terms come from the holder's row, because the observer may run with
    other settings.
    """
    terms = read_terms(row)
    return terms.wait_seconds() + margin_seconds


def read_terms(row: Row) -> LeaseTerms:
    """Return the terms in a holder row."""
    return LeaseTerms(
        row.value["lease_seconds"],
        row.value["grant_seconds"],
        row.value["proof_seconds"],
    )


async def read_all(table: Table, prefix: str) -> list[Row]:
    """Return all rows with the prefix, page by page."""
    rows: list[Row] = []
    while True:
        after = rows[-1].key if rows else ""
        page = await table.scan(prefix, after, PAGE_ROWS)
        rows.extend(page)
        if len(page) < PAGE_ROWS:
            return rows
