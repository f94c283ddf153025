"""Rows that the daemons share through the platform's store.

The scheduler's rows are in one part of the store, so that each of its
transactions can include its lease: a scheduler that has been replaced cannot
change them any more. A part applies one transaction after another, so the rows
that frontends write are spread over other parts by the job's id::

    jobs    5c0e7a21d94b36f8          the job, written once by a frontend
    jobs    5c0e7a21d94b36f8/cancel   a caller's cancel
    states  5c0e7a21d94b36f8          the job's status, by the scheduler
    attempts  5c0e7a21d94b36f8/2      failures of the third block of its subtasks
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs
import msgspec
import trio
from attrs import field, frozen
from loguru import logger

from hemlockstand.documents import decode_document
from hemlockstand.errors import InvalidInput, PlatformUnavailable
from hemlockstand.fleet.bit_sets import decode_bits
from hemlockstand.fleet.model import (
    NO_TENANT,
    JobAttempts,
    JobSpec,
    JobState,
    JobStatus,
)
from hemlockstand.platform.decoding import check_job
from hemlockstand.platform.rows import (
    RowKey,
    RowPage,
    RowStore,
    RowWrite,
    StoredRow,
)

log = logger.bind(module=__name__)

JOBS_TABLE = "jobs"
STATES_TABLE = "states"
ATTEMPTS_TABLE = "attempts"
SCHEDULER_TABLE = "scheduler"
DAEMONS_TABLE = "daemons"
STATUS_TABLE = "status"
OPERATOR_TABLE = "op"
EXECUTORS_TABLE = "servers"
CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
LEASE_KEY = "lease"
UNKNOWN_HOLDER = "unknown"
PENDING_KEY = "pending"

# Parts of the jobs table, one for each last digit of a job's id.
JOB_PARTS = tuple("0123456789abcdef")

_CANCEL = "/cancel"
_AFTER_SLASH = "0"  # the character that sorts after the slash

_spec_decoder = msgspec.json.Decoder(JobSpec)
_status_decoder = msgspec.json.Decoder(JobStatus)
_attempts_decoder = msgspec.json.Decoder(JobAttempts)


@frozen
class CancelRecord:
    """A cancel that callers of some tenants have requested, last at ``at_ms``.

    It may be stored before the job, whose submission then has no effect. In a
    row of an earlier version, ``tenants`` is empty and the cancel applies to any
    job, as the job was there. ``queues`` holds the public queues in which callers
    without a key have requested it.
    """

    at_ms: int = 0
    tenants: tuple[str, ...] = ()
    queues: tuple[str, ...] = ()

    def applies_to(self, spec: JobSpec) -> bool:
        """Return whether it cancels a job."""
        if not self.tenants or spec.tenant in (NO_TENANT, *self.tenants):
            return True
        return spec.queue in self.queues

    def was_requested_by(self, tenant: str, queue: str) -> bool:
        """Return whether callers of a tenant, or without one, have requested it."""
        if tenant == NO_TENANT:
            return queue in self.queues
        return tenant in self.tenants

    def add_request(self, at_ms: int, tenant: str, queue: str) -> "CancelRecord":
        """Return the record with another request."""
        tenants = tuple(sorted({tenant, *self.tenants}))
        if tenant != NO_TENANT:
            return CancelRecord(at_ms, tenants, self.queues)
        return CancelRecord(at_ms, tenants, tuple(sorted({queue, *self.queues})))


@frozen
class JobRows:
    """The rows of one job as read, with the versions of the job and its cancel.

    ``attempts`` holds the rows of failures and crashes by block of subtasks.
    """

    spec: JobSpec | None = None
    status: JobStatus | None = None
    cancel: CancelRecord | None = None
    version: int = 0
    cancel_version: int = 0
    attempts: Mapping[int, JobAttempts] = field(factory=dict)

    @property
    def cancelled(self) -> bool:
        """Whether the job is there and cancelled."""
        if self.spec is None or self.cancel is None:
            return False
        return self.cancel.applies_to(self.spec)

    @property
    def state(self) -> JobState:
        """State that is shown to callers."""
        if self.status is not None and self.status.state.final:
            return self.status.state
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.QUEUED if self.status is None else self.status.state


@frozen
class LeaseRecord:
    """The scheduler's lease row.

    ``epoch`` rises with each holder, and ``sequence`` with each write of a
    holder. ``ordered`` holds the instances with an order that may still be in
    flight, and ``turned`` those whose order was answered a short time ago.
    ``holder`` is empty after a release, and ``slow`` is set if it was released
    by a slow machine; ``follows_slow`` then marks the next holder. ``time_ms``
    is a time that goes on over holders and never runs ahead of the real one. It
    began in the epoch ``time_since``; holders of earlier versions do not keep it.
    ``lapses`` is set while the row ``lapses`` names an executor.
    ``blocked`` holds the instances for which orders of earlier holders matter,
    with the end of that in this time. They are also in ``ordered``, as holders of
    earlier versions read that only. ``replaced_ms`` is the time at which the
    holder that wrote ``ordered`` and ``turned`` was replaced, and None if it is
    the present one. ``stops_ms`` is stored with a release: the runs that this
    holder and earlier ones have stopped have ended by then. ``restarted`` holds the
    executors that have started again under their id, with the end, in this time,
    of the leases that they may have taken by the clock of an earlier lifetime.
    """

    holder: str
    session: str
    epoch: int
    sequence: int
    ordered: tuple[str, ...] = ()
    turned: tuple[str, ...] = ()
    slow: bool = False
    follows_slow: bool = False
    time_ms: int = 0
    time_since: int = 0
    lapses: bool = False
    blocked: Mapping[str, int] = field(factory=dict)
    replaced_ms: int | None = None
    stops_ms: int | None = None
    restarted: Mapping[str, int] = field(factory=dict)


@frozen
class WaveRecord:
    """Progress of a wave.

    ``seen_ms`` is the time at which a scheduler first read the wave.
    ``ordered`` holds the instances whose maintenance was ordered, ``begun``
    those whose maintenance has certainly begun, and ``returned`` those whose
    maintenance is over. Rows of earlier versions lack ``returned``.
    """

    seen_ms: int
    ordered: tuple[str, ...] = ()
    begun: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()


@frozen
class DaemonRecord:
    """A daemon's processor capacity; the row outlives the daemon."""

    cores: float


_daemon_decoder = msgspec.json.Decoder(DaemonRecord)
_lease_decoder = msgspec.json.Decoder(LeaseRecord)


def encode_compact(value: Any) -> bytes:
    """Return an attrs object as JSON without the fields that have defaults."""
    body = attrs.asdict(value, filter=_differs_from_default)
    return msgspec.json.encode(body)


def _differs_from_default(attribute: attrs.Attribute, value: Any) -> bool:
    default = attribute.default
    if isinstance(default, attrs.Factory):
        return bool(value)
    return default is attrs.NOTHING or value != default


def job_range(job: str) -> tuple[str, str]:
    """Return the range of keys of a job's rows."""
    return job, job + _AFTER_SLASH


def job_part(job: str) -> str:
    """Return the part of the store that holds a job and its cancel."""
    return job[-1]


_cancel_decoder = msgspec.json.Decoder(CancelRecord)


def job_write(spec: JobSpec) -> RowWrite:
    """Return the row of an accepted job."""
    return RowWrite(JOBS_TABLE, spec.id, encode_compact(spec), job_part(spec.id))


def cancel_write(job: str, record: CancelRecord) -> RowWrite:
    """Return the row that cancels a job."""
    key = cancel_key(job)
    return RowWrite(key.table, key.key, encode_compact(record), key.part)


def cancel_key(job: str) -> RowKey:
    """Return the key of the row that cancels a job."""
    return RowKey(JOBS_TABLE, job + _CANCEL, job_part(job))


def status_write(job: str, status: JobStatus) -> RowWrite:
    """Return the status row of a job."""
    return RowWrite(STATES_TABLE, job, encode_compact(status))


def attempts_key(job: str, block: int) -> RowKey:
    """Return the key of the failures and crashes of a block of subtasks."""
    return RowKey(ATTEMPTS_TABLE, f"{job}/{block}")


def attempts_write(job: str, block: int, attempts: JobAttempts) -> RowWrite:
    """Return the row of the failures and crashes of a block of subtasks."""
    key = attempts_key(job, block)
    return RowWrite(key.table, key.key, encode_compact(attempts))


def expired_keys(job: str) -> tuple[RowKey, RowKey]:
    """Return the keys of the rows that a job has in its own part."""
    return RowKey(JOBS_TABLE, job, job_part(job)), cancel_key(job)


def group_rows(rows: Iterable[StoredRow]) -> dict[str, JobRows]:
    """Return the jobs in some rows by their ids.

    Raises ``msgspec.DecodeError`` for a row that a daemon cannot have written.
    """
    jobs: dict[str, JobRows] = {}
    for row in rows:
        if not row.dropped:
            job = row.key.partition("/")[0]
            jobs[job] = _add_row(jobs.get(job, JobRows()), row)
    return jobs


def group_job_rows(
    rows: Iterable[StoredRow],
) -> tuple[dict[str, JobRows], dict[str, str]]:
    """Return the jobs in some rows, and why others cannot be read, by id.

    A job with an unreadable status may have ended, so it is not among the jobs
    even if its other rows can be read.
    """
    jobs: dict[str, JobRows] = {}
    unreadable: dict[str, str] = {}
    for row in rows:
        if row.dropped:
            continue
        job = row.key.partition("/")[0]
        try:
            known = _add_row(jobs.get(job, JobRows()), row)
            if known.spec is not None:
                check_job(known.spec, job)
            jobs[job] = known
        except (msgspec.DecodeError, InvalidInput) as error:
            unreadable[job] = f"{row.table}/{row.key}: {error}"
    readable = {job: found for job, found in jobs.items() if job not in unreadable}
    return readable, unreadable


def _add_row(known: JobRows, row: StoredRow) -> JobRows:
    kind = row.key.partition("/")[2]
    if row.table == ATTEMPTS_TABLE:
        return _add_attempts(known, kind, row)
    if row.table != STATES_TABLE and kind == "cancel":
        cancel = _decode_cancel(row)
        return attrs.evolve(known, cancel=cancel, cancel_version=row.version)
    if row.table != STATES_TABLE and "/" in row.key:
        return known
    if row.value is None:
        raise msgspec.DecodeError("the store returned no readable value")
    if row.table == STATES_TABLE:
        status = decode_document(_status_decoder, row.value)
        # Raises for sets that cannot be read later.
        decode_bits(status.done_bits)
        decode_bits(status.announced_bits)
        return attrs.evolve(known, status=status)
    spec = decode_document(_spec_decoder, row.value)
    return attrs.evolve(known, spec=spec, version=row.version)


def _decode_cancel(row: StoredRow) -> CancelRecord:
    """Return a cancel; one that cannot be decoded applies to any job.

    Earlier versions stored only the time.
    """
    try:
        return decode_document(_cancel_decoder, row.value or b"")
    except msgspec.DecodeError as error:
        log.debug("row {}/{} has no tenants: {}", row.table, row.key, error)
        return CancelRecord()


def _add_attempts(known: JobRows, block: str, row: StoredRow) -> JobRows:
    if not block.isdecimal():
        raise InvalidInput(f"{block!r} is no number of a block of subtasks")
    record = decode_document(_attempts_decoder, row.value or b"")
    return attrs.evolve(known, attempts={**known.attempts, int(block): record})


def read_lease(row: StoredRow) -> LeaseRecord | None:
    """Return the lease in a row as read, if there is one.

    A lease that cannot be decoded belongs to ``UNKNOWN_HOLDER``. Its epoch is
    taken as the row's version: each holder writes the row, so that no holder
    can have had a higher epoch.
    """
    if row.dropped:
        return None
    try:
        return decode_document(_lease_decoder, row.value or b"")
    except msgspec.DecodeError as error:
        log.error("lease of the scheduler cannot be decoded: {}", error)
        return LeaseRecord(UNKNOWN_HOLDER, "", row.version, 0)


def lease_write(record: LeaseRecord) -> RowWrite:
    """Return the row of a lease."""
    return RowWrite(SCHEDULER_TABLE, LEASE_KEY, encode_compact(record))


def decode_rows(
    rows: Iterable[StoredRow], prefix: str, decoder: msgspec.json.Decoder
) -> Iterator[tuple[str, Any]]:
    """Yield the keys without the prefix, and the values or None.

    A value that cannot be decoded is logged. It must not end a scheduler, since
    each of its successors would read it as well.
    """
    for row in rows:
        if row.dropped or not row.key.startswith(prefix):
            continue
        try:
            value = decode_document(decoder, row.value or b"")
        except msgspec.DecodeError as error:
            log.error("row {}/{} cannot be decoded: {}", row.table, row.key, error)
            value = None
        yield row.key.removeprefix(prefix), value


def pending_write(counts: Mapping[str, int]) -> RowWrite:
    """Return the row with the number of jobs not started, by queue."""
    return RowWrite(SCHEDULER_TABLE, PENDING_KEY, msgspec.json.encode(counts))


def decode_pending(value: bytes | None) -> Mapping[str, int]:
    """Return the counts by queue; none are stored before the first job."""
    return {} if value is None else msgspec.json.decode(value, type=dict[str, int])


def daemon_write(name: str, cores: float) -> RowWrite:
    """Return the row of a daemon."""
    return RowWrite(DAEMONS_TABLE, name, encode_compact(DaemonRecord(cores)))


def decode_daemons(rows: Iterable[StoredRow]) -> dict[str, float]:
    """Return the cores of all daemons by their names.

    A row that cannot be decoded is left out.
    """
    found = decode_rows(rows, "", _daemon_decoder)
    return {name: record.cores for name, record in found if record is not None}


async def read_job(rows: RowStore, job: str) -> JobRows:
    """Return the rows of a job; raises ``PlatformUnavailable``."""
    found: list[StoredRow] = []

    async def read(table: str, part: str) -> None:
        page = await rows.read(table, *job_range(job), part)
        found.extend(page.rows)

    await _read_concurrently(
        [(read, (JOBS_TABLE, job_part(job))), (read, (STATES_TABLE, ""))]
    )
    return group_rows(found).get(job, JobRows())


async def read_jobs(rows: RowStore) -> RowPage:
    """Return the rows of all jobs, with the version to follow from.

    The status of a finished job is removed after the job itself. It is read
    before, as the job would otherwise look as if it had not started.
    """
    pages = [await rows.read_all(STATES_TABLE)]

    async def read(table: str, part: str) -> None:
        pages.append(await rows.read_all(table, part))

    jobs = [(read, (JOBS_TABLE, part)) for part in JOB_PARTS]
    await _read_concurrently([(read, (ATTEMPTS_TABLE, "")), *jobs])
    found = tuple(row for page in pages for row in page.rows)
    return RowPage(found, min(page.version for page in pages))


async def _read_concurrently(calls: list[tuple[Any, tuple[str, str]]]) -> None:
    """Make calls concurrently; raises only the first failure."""
    try:
        async with trio.open_nursery() as nursery:
            for function, arguments in calls:
                nursery.start_soon(function, *arguments)
    except* PlatformUnavailable as group:
        raise PlatformUnavailable(str(group.exceptions[0])) from group
