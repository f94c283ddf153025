"""Reads and commits the rows of teams and workers for one pool.

The rows are cached between rounds, because a conditional write fails when they
are out of date. After a conflict or a lost reply they are read again. Every
decision of a round is in the rows, so they show whether it was applied.
"""

from collections.abc import Iterable

from attrs import define, field
from loguru import logger

from hemlockstand.errors import OutcomeUnknown, TableConflict
from hemlockstand.jobs.records import (
    WORK_PREFIX,
    WORKER_PREFIX,
    TeamWork,
    WorkerState,
    decode_work,
    decode_worker,
    encode_work,
    encode_worker,
)
from hemlockstand.platform.interface import Put, Table

log = logger.bind(module=__name__)


@define
class JobStore:
    """Cached rows of one pool; ``writes`` counts row writes."""

    table: Table
    works: dict[str, TeamWork] = field(factory=dict)
    workers: dict[str, WorkerState] = field(factory=dict)
    writes: int = 0
    transactions: int = 0

    async def load(self, teams: Iterable[str], workers: Iterable[str]) -> None:
        """Read the rows that are not cached.

        Raises ``PlatformUnavailable``.
        """
        new_teams = [name for name in teams if name not in self.works]
        new_workers = [name for name in workers if name not in self.workers]
        keys = [WORK_PREFIX + name for name in new_teams]
        keys += [WORKER_PREFIX + name for name in new_workers]
        if not keys:
            return
        rows = await self.table.read_many(keys)
        for name, row in zip(new_teams, rows, strict=False):
            self.works[name] = decode_work(name, row)
        for name, row in zip(new_workers, rows[len(new_teams) :], strict=True):
            self.workers[name] = decode_worker(name, row)

    async def commit(
        self, works: Iterable[TeamWork], workers: Iterable[WorkerState]
    ) -> bool:
        """Write the changed rows atomically; return whether it succeeded.

        On a conflict or a lost reply the cached rows are dropped. Raises
        ``PlatformUnavailable``.
        """
        changed_works = [work for work in works if work != self.works.get(work.team)]
        changed_workers = [
            worker for worker in workers if worker != self.workers.get(worker.id)
        ]
        operations: list[Put] = [encode_work(work) for work in changed_works]
        operations += [encode_worker(worker) for worker in changed_workers]
        if not operations:
            return True
        # Counted first, as a write may succeed although its reply is lost.
        self.writes += len(operations)
        try:
            versions = await self.table.transact(operations)
        except (TableConflict, OutcomeUnknown) as error:
            if isinstance(error, TableConflict):
                self.writes -= len(operations)
            log.info("job rows are read again after {}", error.code)
            self.forget()
            return False
        self.transactions += 1
        self._update_cache(changed_works, changed_workers, versions)
        return True

    def _update_cache(
        self,
        works: list[TeamWork],
        workers: list[WorkerState],
        versions: tuple[int, ...],
    ) -> None:
        for work, version in zip(works, versions, strict=False):
            self.works[work.team] = work.at_version(version)
        for worker, version in zip(workers, versions[len(works) :], strict=True):
            self.workers[worker.id] = worker.at_version(version)

    def forget(self) -> None:
        """Drop all cached rows."""
        self.works.clear()
        self.workers.clear()
