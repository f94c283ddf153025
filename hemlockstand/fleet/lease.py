"""The scheduler's lease, a row that each of its transactions changes.

Every transaction of the holder expects the row at the last known version and
writes it again. So each transaction extends the lease, a holder that has been
replaced cannot change anything, and a transaction whose answer was lost cannot
be applied after a later one.
"""

from collections.abc import Callable, Mapping, Sequence
from enum import Enum, auto

import attrs
import trio
from attrs import define, field, frozen
from loguru import logger

from hemlockstand.coordination.lease import LeaseLost
from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.storage import (
    LEASE_KEY,
    SCHEDULER_TABLE,
    UNKNOWN_HOLDER,
    LeaseRecord,
    lease_write,
    read_lease,
)
from hemlockstand.platform.rows import (
    MAX_ROW_BYTES,
    RowConflict,
    RowExpectation,
    RowKey,
    RowsRefused,
    RowStore,
    RowWrite,
    StoredRow,
)

log = logger.bind(module=__name__)

# Factor on the lease before a takeover: clocks may differ by 1%.
TAKEOVER_FACTOR = 1.05
RETRY_SECONDS = 0.1
_NEVER = float("-inf")


class Release(Enum):
    """Why a holder gives up its lease."""

    STOPPED = auto()
    SLOW = auto()


@frozen
class InstanceOrders:
    """Instances for which the next holder must not give orders for a while.

    An order for the ``open`` ones may still be in flight; the last order for
    the ``answered`` ones was answered a short time ago. Orders of earlier holders
    for the ``blocked`` ones matter until a time of the lease. ``replaced_ms`` is
    the lease's time at which the holder that sent the orders was replaced.
    """

    open: tuple[str, ...] = ()
    answered: tuple[str, ...] = ()
    blocked: Mapping[str, int] = field(factory=dict)
    replaced_ms: int | None = None


NO_ORDERS = InstanceOrders()


def find_orders(record: LeaseRecord) -> InstanceOrders:
    """Return the orders in a lease row."""
    return InstanceOrders(
        tuple(name for name in record.ordered if name not in record.blocked),
        record.turned,
        record.blocked,
        record.replaced_ms,
    )


@define(eq=False)
class SchedulerLease:
    """The lease as held by one holder."""

    rows: RowStore
    record: LeaseRecord
    version: int
    lease_seconds: float
    clock: Callable[[], float]
    valid_until: float = _NEVER
    # Set before a release is first sent, as the next holder may read it at once.
    releasing: bool = False
    # Latest time at which the previous holder may have renewed the lease.
    previous_renewed_at: float = _NEVER
    # When the lease was acquired, and the lease's time then.
    acquired_at: float = 0.0
    acquired_ms: int = 0
    keeps_time: bool = True
    # The lease's time by which stops of previous holders have ended, if known.
    previous_stops_ms: int | None = None
    # Version of the row that the previous holder wrote last.
    previous_version: int = 0
    # When leases end that executors may have by the clock of an earlier lifetime.
    restarted: dict[str, float] = field(factory=dict)

    @property
    def previous_valid_until(self) -> float:
        """Latest time at which the previous holder may have given orders."""
        return self.previous_renewed_at + self.lease_seconds * TAKEOVER_FACTOR

    @property
    def valid(self) -> bool:
        """Whether the holder may give orders; checked before each of them."""
        return not self.releasing and self.clock() < self.valid_until

    def find_time_ms(self, at: float) -> int:
        """Return the lease's time, in milliseconds, at a time of the clock."""
        return self.acquired_ms + int((at - self.acquired_at) * 1000)

    def find_local_time(self, time_ms: int) -> float:
        """Return the time of the clock by which the lease's time has come.

        Another holder's clock may have run faster than this one.
        """
        left_seconds = (time_ms - self.acquired_ms) / 1000
        return self.acquired_at + left_seconds * TAKEOVER_FACTOR

    async def commit(
        self,
        writes: Sequence[RowWrite] = (),
        removed: Sequence[RowKey] = (),
        orders: InstanceOrders = NO_ORDERS,
        release: Release | None = None,
        stops_end: float | None = None,
        lapses: bool | None = None,
    ) -> None:
        """Apply the writes and extend the lease.

        ``orders`` is stored for the next holder, ``lapses`` unless it is as
        before, and with a release the time by which all stopped runs have ended,
        if it is known. From a release on, no more orders may be given.
        Raises ``LeaseLost``, or
        ``PlatformUnavailable`` if nothing was applied. After a lost answer the
        transaction is repeated until its outcome is known.
        """
        record = attrs.evolve(
            self.record,
            holder="" if release else self.record.holder,
            slow=release is Release.SLOW,
            sequence=self.record.sequence + 1,
            ordered=(*orders.open, *orders.blocked),
            turned=orders.answered,
            blocked=orders.blocked,
            replaced_ms=orders.replaced_ms,
            stops_ms=None if stops_end is None else self.find_time_ms(stops_end) + 1,
            time_ms=self.find_time_ms(self.clock()) if self.keeps_time else 0,
            time_since=self.record.time_since if self.keeps_time else 0,
            lapses=self.record.lapses if lapses is None else lapses,
            restarted=self._list_restarted(),
        )
        self.releasing = self.releasing or release is not None
        lease_row = lease_write(record)
        if len(lease_row.value) > MAX_ROW_BYTES:
            # Without the ends of their waits these instances count as open.
            record = attrs.evolve(record, blocked={})
            lease_row = lease_write(record)
        if len(lease_row.value) > MAX_ROW_BYTES:
            log.error("too many executors have started again to be stored")
            record = attrs.evolve(record, restarted={})
            lease_row = lease_write(record)
        batch = [lease_row, *writes]
        sent_at = self.clock()
        unsure = False
        while True:
            try:
                version = await self._write(batch, removed)
                break
            except RowConflict as conflict:
                version = self._find_own_write(conflict.rows, record)
                break
            except RowsRefused:
                # An earlier attempt was the same transaction.
                raise
            except PlatformUnavailable:
                if not unsure:
                    raise
            except OutcomeUnknown as error:
                unsure = True
                log.warning(
                    "no answer to a commit of the scheduler; repeating it",
                    detail=str(error),
                )
            await trio.sleep(RETRY_SECONDS)
        self.record = record
        self.version = version
        self.valid_until = sent_at + self.lease_seconds

    def _list_restarted(self) -> dict[str, int]:
        """Return what is stored of restarted executors; drop what is over."""
        now = self.clock()
        self.restarted = {
            name: end for name, end in self.restarted.items() if end > now
        }
        if not self.keeps_time:
            return {}
        return {
            name: self.find_time_ms(end) + 1 for name, end in self.restarted.items()
        }

    async def renew(self) -> None:
        """Extend the lease and change nothing else; raises as ``commit``."""
        await self.commit(orders=find_orders(self.record))

    async def _write(self, batch: Sequence[RowWrite], removed: Sequence[RowKey]) -> int:
        expected = (RowExpectation(SCHEDULER_TABLE, LEASE_KEY, self.version),)
        return await self.rows.write(batch, expected, removed)

    def _find_own_write(self, rows: Sequence[StoredRow], record: LeaseRecord) -> int:
        """Return the version of the row if an earlier attempt wrote it."""
        for row in rows:
            found = read_lease(row)
            if found is None:
                continue
            if found.session == record.session and found.sequence == record.sequence:
                return row.version
        self.valid_until = _NEVER
        raise LeaseLost("another daemon has become the scheduler")


@define(eq=False)
class LeaseWatch:
    """Watches the lease of another holder and takes it once it has ended.

    ``delay_seconds`` gives better suited daemons precedence, and
    ``first_wait_seconds`` lets all daemons start before the first acquisition.
    ``unknown_orders_seconds`` is how long the orders of a holder may matter; a
    lease that cannot be decoded does not tell to which instances they went.
    """

    rows: RowStore
    holder: str
    session: str
    lease_seconds: float
    clock: Callable[[], float]
    delay_seconds: float = 0.0
    first_wait_seconds: float = 0.0
    unknown_orders_seconds: float = 0.0
    previous: LeaseRecord | None = None
    _seen_version: int | None = None
    _seen_at: float = _NEVER
    _attempted_at: float = _NEVER
    _attempted_version: int = 0  # of the row that the attempt replaces
    _previous_renewed_at: float = _NEVER

    async def try_acquire(self) -> SchedulerLease | None:
        """Read the row and return the lease if it could be taken.

        A holder counts as gone if its row did not change for the duration of
        the lease while the store could be read. Raises
        ``PlatformUnavailable``.
        """
        try:
            row = await self.rows.read_one(SCHEDULER_TABLE, LEASE_KEY)
        except PlatformUnavailable:
            self._seen_version = None
            raise
        record = read_lease(row)
        if record is not None and record.session == self.session:
            # An earlier attempt without an answer was applied after all.
            return self._make_lease(record, row.version, self._attempted_at)
        if row.version != self._seen_version:
            self._seen_version = row.version
            self._seen_at = self.clock()
        if not self._has_ended(record):
            return None
        return await self._acquire(record, row.version)

    def _has_ended(self, record: LeaseRecord | None) -> bool:
        """Return whether the holder has gone, and store its latest renewal.

        Since this version of the row was first seen, nobody has renewed it.
        """
        now = self.clock()
        unchanged = now - self._seen_at
        self._previous_renewed_at = self._seen_at
        if record is None:
            return unchanged >= self.first_wait_seconds + self.delay_seconds
        if not record.holder:
            return unchanged >= self.delay_seconds
        if record.session and record.holder == self.holder:
            # It was an earlier process of this daemon, which has ended.
            return True
        wait = self.lease_seconds * TAKEOVER_FACTOR + self.delay_seconds
        if not record.session and record.holder == UNKNOWN_HOLDER:
            wait += self.unknown_orders_seconds
        return unchanged >= wait

    async def _acquire(
        self, record: LeaseRecord | None, version: int
    ) -> SchedulerLease | None:
        self.previous = record
        epoch = 1 if record is None else record.epoch + 1
        new = LeaseRecord(self.holder, self.session, epoch, 0, time_since=epoch)
        if record is not None:
            new = attrs.evolve(
                new,
                ordered=record.ordered,
                turned=record.turned,
                follows_slow=record.slow,
            )
        expected = (RowExpectation(SCHEDULER_TABLE, LEASE_KEY, version),)
        self._attempted_at = self.clock()
        self._attempted_version = version
        if record is not None and record.time_since:
            passed = self._attempted_at - self._previous_renewed_at
            time_ms = record.time_ms + int(passed * 1000)
            new = attrs.evolve(
                new,
                time_ms=time_ms,
                time_since=record.time_since,
                lapses=record.lapses,
                blocked=record.blocked,
                replaced_ms=record.replaced_ms,
                stops_ms=None if record.holder else record.stops_ms,
                restarted=record.restarted,
            )
        if new.replaced_ms is None:
            new = attrs.evolve(new, replaced_ms=new.time_ms)
        try:
            new_version = await self.rows.write([lease_write(new)], expected)
        except RowConflict:
            log.info(
                "another daemon acquired the scheduler lease first", version=version
            )
            return None
        except OutcomeUnknown as error:
            log.warning(
                "no answer to the acquisition of the scheduler lease", detail=str(error)
            )
            return None
        return self._make_lease(new, new_version, self._attempted_at)

    def _make_lease(
        self, record: LeaseRecord, version: int, sent_at: float
    ) -> SchedulerLease:
        lease = SchedulerLease(
            self.rows, record, version, self.lease_seconds, self.clock
        )
        lease.valid_until = sent_at + self.lease_seconds
        lease.previous_renewed_at = self._previous_renewed_at
        lease.previous_version = self._attempted_version
        lease.acquired_at = sent_at
        lease.acquired_ms = record.time_ms
        lease.previous_stops_ms = record.stops_ms
        lease.restarted = {
            name: lease.find_local_time(end_ms)
            for name, end_ms in record.restarted.items()
        }
        return lease
