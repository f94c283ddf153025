"""The executors, as their entries in the store name them."""

from collections.abc import Callable, Iterable, Mapping

import trio
from attrs import define
from loguru import logger

from hemlockstand.errors import HemlockstandError, InvalidInput, PlatformUnavailable
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.model import ExecutorEntry, Resources
from hemlockstand.fleet.reports import Reports
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.storage import EXECUTORS_TABLE
from hemlockstand.platform.decoding import decode_executor
from hemlockstand.platform.executors import ExecutorClient
from hemlockstand.platform.rows import HistoryGone, StoredRow

log = logger.bind(module=__name__)

FOLLOW_SECONDS = 1.0
RETRY_SECONDS = 0.2


@define(eq=False)
class Roster:
    """Keeps an ``Executor`` with its task for each entry."""

    state: SchedulerState
    connect: Callable[[str, str], ExecutorClient]
    reports: Reports
    fence: int

    async def load(self) -> int:
        """Read all entries; return the version to follow from."""
        while True:
            try:
                page = await self.state.rows.read_all(EXECUTORS_TABLE)
                break
            except PlatformUnavailable as error:
                await wait_for_store(self.state, error)
        self._apply_executor_rows(page.rows)
        return page.version

    def add_known(self, rosters: Mapping[str, Mapping[str, str]]) -> None:
        """Add executors of an earlier scheduler that have left the store."""
        for pool, addresses in rosters.items():
            for executor, address in addresses.items():
                if executor in self.state.executors:
                    continue
                entry = ExecutorEntry(
                    executor, pool, address, "", False, None, None, Resources(), ()
                )
                self._add_executor(entry).present = False

    async def follow(self, version: int) -> None:
        """Follow the entries until the scheduler ends."""
        while True:
            try:
                page = await self.state.rows.follow(
                    EXECUTORS_TABLE, version, FOLLOW_SECONDS
                )
            except HistoryGone:
                version = await self.load()
                continue
            except PlatformUnavailable as error:
                log.debug("executors not followed: {}", error)
                await trio.sleep(RETRY_SECONDS)
                continue
            version = page.version
            self._apply_executor_rows(page.rows)

    def _apply_executor_rows(self, rows: Iterable[StoredRow]) -> None:
        for row in rows:
            if row.value is None:
                self._remove_entry(row.key)
                continue
            try:
                entry = decode_executor(row.key, row.value)
            except InvalidInput as error:
                log.warning("entry of an executor is not used: {}", error)
                self._remove_entry(row.key)
                continue
            self._apply_entry(entry)
        self.state.want_place()

    def _remove_entry(self, executor_id: str) -> None:
        executor = self.state.executors.get(executor_id)
        if executor is not None and executor.present:
            log.info("executor {} is gone from the store", executor_id)
            executor.present = False

    def _apply_entry(self, entry: ExecutorEntry) -> None:
        executor = self.state.executors.get(entry.id)
        if executor is None:
            self._add_executor(entry)
            return
        if executor.entry.address != entry.address:
            executor.client = self.connect(entry.id, entry.address)
        if entry.draining and not executor.entry.draining:
            log.info("executor {} is draining", entry.id, left_ms=entry.remaining_ms)
        executor.update_entry(entry)

    def _add_executor(self, entry: ExecutorEntry) -> Executor:
        client = self.connect(entry.id, entry.address)
        executor = Executor(
            entry,
            client,
            self.fence,
            self.state.clock,
            self.reports,
            self.state.settings.scheduler.hold_seconds,
        )
        self.state.executors[entry.id] = executor
        self.state.nursery.start_soon(executor.run)
        self.state.want_commit()
        return executor

    def forget_gone(self) -> None:
        """Drop executors that are gone and can run nothing any more."""
        now = self.state.clock()
        for executor in list(self.state.executors.values()):
            if executor.present or executor.runs:
                continue
            if now > max(
                executor.lapses_at, self.state.took_over_at + self.state.grant_seconds
            ):
                executor.close()
                del self.state.executors[executor.id]
                log.info("executor {} is forgotten", executor.id)


async def wait_for_store(state: SchedulerState, error: HemlockstandError) -> None:
    """Wait before another try; ends the leadership with the lease."""
    log.warning("store does not answer", detail=str(error))
    if not state.lease.valid:
        await state.lease.commit()
    await trio.sleep(RETRY_SECONDS)
