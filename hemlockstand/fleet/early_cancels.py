"""Cancels of jobs that have no row yet.

The write of a job may arrive seconds after its caller has given up on it and has
cancelled it at another daemon. The cancel is stored all the same, and applies to
the job if it comes. The scheduler removes it after a time in which no write can
be on its way any more.
"""

import time
from itertools import islice

import trio
from attrs import define, evolve, field
from loguru import logger

from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.storage import (
    JOBS_TABLE,
    CancelRecord,
    cancel_key,
    job_part,
)
from hemlockstand.platform.decoding import JOB_ID
from hemlockstand.platform.rows import RowConflict, RowExpectation, RowStore

log = logger.bind(module=__name__)

# A frontend repeats a write for up to 30 s, and the store may apply the last
# attempt seconds later.
KEEP_SECONDS = 120.0
ROUND_SECONDS = 1.0
MAX_REMOVED = 20  # in a round


@define(eq=False)
class EarlyCancels:
    """The cancels whose job is not known, by its id, oldest first."""

    rows: RowStore
    _records: dict[str, CancelRecord] = field(factory=dict)

    def add(self, job: str, record: CancelRecord) -> None:
        """Add a cancel, or replace an earlier one of the job.

        No submission can give a job another form of id.
        """
        if JOB_ID.fullmatch(job) is None:
            return
        self._records.pop(job, None)
        self._records[job] = record

    def find(self, job: str) -> CancelRecord | None:
        """Return the cancel of a job, if there is one."""
        return self._records.get(job)

    def discard(self, job: str) -> None:
        """Drop the cancel of a job whose row has come."""
        self._records.pop(job, None)

    async def run(self) -> None:
        """Remove the old ones until the scheduler ends."""
        while True:
            await trio.sleep(ROUND_SECONDS)
            before_ms = (time.time() - KEEP_SECONDS) * 1000
            old = (job for job, item in self._records.items() if item.at_ms < before_ms)
            for job in list(islice(old, MAX_REMOVED)):
                await self._remove(job)

    async def _remove(self, job: str) -> None:
        """Remove a cancel if its job has no row.

        Otherwise it stays known, as the row may be stored and not be read yet.
        """
        absent = RowExpectation(JOBS_TABLE, job, 0, job_part(job))
        try:
            await self.rows.write(expected=[absent], removed=[cancel_key(job)])
        except RowConflict:
            # The row may have been read during the call.
            record = self._records.get(job)
            if record is not None:
                self.add(job, evolve(record, at_ms=int(time.time() * 1000)))
            return
        except (PlatformUnavailable, OutcomeUnknown) as error:
            log.info("old cancel not removed", job=job, detail=str(error))
            return
        self._records.pop(job, None)
