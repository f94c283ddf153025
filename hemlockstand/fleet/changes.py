"""Changes that the scheduler stores, and the transactions that hold them.

The store refuses a transaction over its limits as a whole, and the scheduler's
lease is in each of them. So a batch takes no more changes than fit; the others
wait for the next one.
"""

from collections.abc import Mapping

from attrs import define, field, frozen

from hemlockstand.fleet.durations_row import durations_write
from hemlockstand.fleet.lapses import LapseRecord, lapses_write
from hemlockstand.fleet.load_row import load_write
from hemlockstand.fleet.load_view import LoadView
from hemlockstand.fleet.model import JobAttempts, JobStatus
from hemlockstand.fleet.split_rows import known_executors_writes, wave_writes
from hemlockstand.fleet.storage import (
    STATES_TABLE,
    WaveRecord,
    attempts_key,
    attempts_write,
    pending_write,
    status_write,
)
from hemlockstand.fleet.waves import WaveProgress
from hemlockstand.platform.rows import (
    MAX_NAME_BYTES,
    MAX_ROW_BYTES,
    MAX_TRANSACTION_BYTES,
    MAX_TRANSACTION_ENTRIES,
    RowKey,
    RowWrite,
)

LEASE_ENTRIES = 2  # the lease's row, and its expected version
LEASE_BYTES = 100_000  # room for the lease's row, which names open orders
ENTRY_BYTES = 150  # of a call, for each entry beside its names and its value
BASE64_FACTOR = 4 / 3


@frozen
class KnownExecutorsChange:
    """The executors of a pool that may have runs; it had so many rows before."""

    pool: str
    addresses: Mapping[str, str]
    rows: int


@frozen
class LapseChange:
    """When the leases of executors that do not answer end."""

    record: LapseRecord


@frozen
class WaveChange:
    """Progress of a wave."""

    progress: WaveProgress
    record: WaveRecord
    completed: bool


@frozen
class PendingChange:
    """The number of jobs not started, by queue."""

    counts: Mapping[str, int]


@frozen
class DurationsChange:
    """What was learned of durations from so many runs, as a document."""

    runs: int
    document: bytes = field(repr=False)


@frozen
class LoadChange:
    """The load of the pools that lack room."""

    view: LoadView


@frozen
class AttemptsChange:
    """Failures and crashes of a block of subtasks; None removes their row."""

    job: str
    block: int
    attempts: JobAttempts | None


@frozen
class StatusChange:
    """Status of a job; ``announced`` is the set of its announced steps."""

    job: str
    status: JobStatus
    announced: int = field(repr=False)  # too many digits for a decimal number


@frozen
class ExpiryChange:
    """Removal of the last row of an expired job."""

    job: str


Change = (
    KnownExecutorsChange
    | LapseChange
    | WaveChange
    | PendingChange
    | DurationsChange
    | LoadChange
    | AttemptsChange
    | StatusChange
    | ExpiryChange
)


def identify(change: Change) -> tuple:
    """Return what tells a change from those of other rows."""
    match change:
        case KnownExecutorsChange(pool):
            return KnownExecutorsChange, pool
        case WaveChange(progress):
            return WaveChange, progress.wave.number
        case AttemptsChange(job, block):
            return AttemptsChange, job, block
        case StatusChange(job) | ExpiryChange(job):
            return type(change), job
    return (type(change),)


def list_writes(change: Change) -> list[RowWrite]:
    """Return the rows that a change writes."""
    match change:
        case KnownExecutorsChange(pool, addresses, rows):
            return known_executors_writes(pool, addresses, rows)
        case LapseChange(record):
            return [lapses_write(record)]
        case WaveChange(progress, record, completed):
            return wave_writes(progress.wave, record, completed)
        case PendingChange(counts):
            return [pending_write(counts)]
        case DurationsChange(_, document):
            return [durations_write(document)]
        case LoadChange(view):
            return [load_write(view)]
        case AttemptsChange(job, block, attempts) if attempts is not None:
            return [attempts_write(job, block, attempts)]
        case StatusChange(job, status):
            return [status_write(job, status)]
    return []


def list_removals(change: Change) -> list[RowKey]:
    """Return the keys of the rows that a change removes."""
    match change:
        case AttemptsChange(job, block, None):
            return [attempts_key(job, block)]
        case ExpiryChange(job):
            return [RowKey(STATES_TABLE, job)]
    return []


@define(eq=False)
class Batch:
    """Changes for one transaction, all of which the store can accept."""

    max_changes: int = MAX_TRANSACTION_ENTRIES
    changes: list[Change] = field(factory=list)
    writes: list[RowWrite] = field(factory=list)
    removed: list[RowKey] = field(factory=list)
    _bytes: float = LEASE_BYTES

    def add(self, change: Change) -> bool:
        """Add a change; return whether it fits."""
        writes, removed = list_writes(change), list_removals(change)
        size = measure_call(writes, removed)
        entries = len(self.writes) + len(self.removed) + len(writes) + len(removed)
        if (
            len(self.changes) >= self.max_changes
            or entries > MAX_TRANSACTION_ENTRIES - LEASE_ENTRIES
            or self._bytes + size > MAX_TRANSACTION_BYTES
            or any(len(write.value) > MAX_ROW_BYTES for write in writes)
            or any(len(row.key.encode()) > MAX_NAME_BYTES for row in writes)
        ):
            return False
        self.changes.append(change)
        self.writes += writes
        self.removed += removed
        self._bytes += size
        return True

    def list_jobs(self) -> list[str]:
        """Return the jobs whose status is in the batch."""
        return [item.job for item in self.changes if isinstance(item, StatusChange)]

    def find_lapses(self) -> bool | None:
        """Return whether ends of leases are stored after it; None if as before."""
        for item in self.changes:
            if isinstance(item, LapseChange):
                return bool(item.record.ends)
        return None

    def list_blocks(self) -> list[tuple[str, int]]:
        """Return the blocks of subtasks whose failures are in the batch."""
        return [
            (item.job, item.block)
            for item in self.changes
            if isinstance(item, AttemptsChange)
        ]


def fits_alone(change: Change) -> bool:
    """Return whether a transaction can hold the change at all."""
    return Batch().add(change)


def measure_call(writes: list[RowWrite], removed: list[RowKey]) -> float:
    """Return the most bytes that rows take in the body of a call."""
    values = sum(len(write.value) for write in writes) * BASE64_FACTOR
    names = sum(len(row.key) for row in (*writes, *removed))
    return values + names + ENTRY_BYTES * (len(writes) + len(removed))
