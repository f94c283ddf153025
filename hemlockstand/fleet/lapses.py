"""When the leases of executors that do not answer end, kept over takeovers.

A scheduler cannot ask a silent executor which lease its predecessor has granted
last, so it has to assume the longest one from the takeover on. To let that wait
go on over further takeovers instead of beginning anew, a scheduler stores when
the last lease of each silent executor ends, and grants it no other before a row
without it has been stored. The times are those of the scheduler's lease
(``SchedulerLease.find_time_ms``), which also go on over takeovers::

    scheduler  lapses   {"since": 3, "ends": {"i-7": 48210}}
"""

from collections.abc import Iterable, Iterator, Mapping
from itertools import islice
from math import isfinite

import msgspec
from attrs import define, field, frozen

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.storage import SCHEDULER_TABLE, decode_rows, encode_compact
from hemlockstand.platform.rows import RowWrite, StoredRow

LAPSES_KEY = "lapses"
PREVIOUS_GRANTS_MARGIN_SECONDS = 0.3
# Of the executors in the row. The next scheduler waits longer for others.
MAX_LAPSES = 1_000


@frozen
class LapseRecord:
    """The ends of leases, in milliseconds of the lease's time, by executor.

    ``since`` is the epoch in which that time began. A scheduler of an earlier
    version does not keep it, and may have granted leases since.
    """

    since: int
    ends: Mapping[str, int] = field(factory=dict)


_decoder = msgspec.json.Decoder(LapseRecord)


def lapses_write(record: LapseRecord) -> RowWrite:
    """Return the row of the ends of leases."""
    return RowWrite(SCHEDULER_TABLE, LAPSES_KEY, encode_compact(record))


def decode_lapses(rows: Iterable[StoredRow], since: int) -> dict[str, int]:
    """Return the ends of leases by executor, unless another time has begun."""
    for key, record in decode_rows(rows, LAPSES_KEY, _decoder):
        if not key and record is not None and record.since == since:
            return dict(record.ends)
    return {}


@define(eq=False)
class Lapses:
    """Knows when leases of previous schedulers end, and stores it for the next.

    ``inherited`` holds the executors that may have runs of a previous scheduler,
    and ``unreadable_pools`` the pools of which it is not known which ones do.
    """

    state: SchedulerState
    inherited: set[str] = field(factory=set)
    unreadable_pools: set[str] = field(factory=set)
    _loaded: bool = False
    _given_up: bool = False
    _stored: dict[str, int] = field(factory=dict)
    _suspended: set[str] = field(factory=set)  # their leases are not extended

    def load(
        self,
        rows: Iterable[StoredRow],
        known_executors: Mapping[str, Mapping[str, str] | None],
    ) -> None:
        """Read what the previous scheduler has stored.

        Executors get no leases before that, if it has stored any ends.
        """
        self._loaded = True
        self._stored = decode_lapses(rows, self.state.lease.record.time_since)
        self._suspended = set(self._stored)
        for pool, addresses in known_executors.items():
            if addresses is None:
                self.unreadable_pools.add(pool)
            else:
                self.inherited.update(addresses)
        for executor in self.state.executors.values():
            self.prepare(executor)

    def prepare(self, executor: Executor) -> None:
        """Set what is known of the leases of an executor."""
        unknown = not self._loaded and self.state.lease.record.lapses
        executor.lapse_stored = unknown or executor.id in self._suspended
        pool = executor.entry.pool
        if executor.id in self.inherited or pool in self.unreadable_pools:
            executor.previous_lease_end = self._find_previous_end(executor.id)

    def _find_previous_end(self, executor: str) -> float:
        if executor not in self._stored:
            return self.state.previous_grants_end
        end = self.state.lease.find_local_time(self._stored[executor])
        return min(end, self.state.clock() + self.state.longest_lease_seconds)

    def find_unknown_pools(self) -> set[str]:
        """Return the pools that may have executors with runs which are not known.

        What is stored of such a pool must not be replaced, as the next scheduler
        has to wait for them as well.
        """
        end = self.state.previous_grants_end + PREVIOUS_GRANTS_MARGIN_SECONDS
        return self.unreadable_pools if self.state.clock() <= end else set()

    def find_change(self) -> LapseRecord | None:
        """Return the row if it has to be written, and suspend leases by it.

        None of the earlier changes may be in progress. If this one is stored,
        ``mark_stored`` has to follow, and ``mark_unstored`` if it is not.
        """
        if self._given_up:
            return None
        ends = dict(islice(self._find_ends(), MAX_LAPSES))
        self._suspend({*self._stored, *ends})
        if ends == self._stored:
            return None
        return LapseRecord(self.state.lease.record.time_since, ends)

    def _find_ends(self) -> Iterator[tuple[str, int]]:
        for executor in self.state.executors.values():
            if not (executor.is_silent and executor.needs_record):
                continue
            if not isfinite(executor.runs_end_at):
                continue  # it has never had a lease
            if executor.id in self._stored:
                yield executor.id, self._stored[executor.id]
            elif not self.state.store_failing:
                end = self.state.lease.find_time_ms(executor.runs_end_at) + 1
                yield executor.id, end

    def check(self) -> None:
        """Request a commit if an executor has become silent."""
        if dict(self._find_ends()).keys() > self._stored.keys():
            self.state.request_commit()

    def mark_stored(self, record: LapseRecord) -> None:
        """Let the executors that have left the row get leases again."""
        self._stored = dict(record.ends)
        self._suspend(set(self._stored))

    def mark_unstored(self) -> None:
        """Forget a change that was certainly not stored."""
        self._suspend(set(self._stored))

    def give_up(self) -> None:
        """Store no more ends in this term, since the store refuses the row.

        The lease's time ends with the next commit, so that the row no longer
        counts and its executors may get leases.
        """
        self._given_up = True
        self.state.lease.keeps_time = False

    def mark_committed(self) -> None:
        """Let all executors get leases again once the lease's time has ended."""
        if self._given_up:
            self._stored = {}
            self._suspend(set())

    def _suspend(self, executors: set[str]) -> None:
        for name in executors ^ self._suspended:
            executor = self.state.executors.get(name)
            if executor is not None:
                executor.lapse_stored = name in executors
        self._suspended = executors
