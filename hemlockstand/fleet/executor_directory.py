"""The executors, as found in the store."""

from collections.abc import Callable, Iterable, Mapping

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.errors import InvalidInput, PlatformUnavailable
from hemlockstand.fleet.executors import LEASE_EXPIRY_MARGIN_SECONDS, Executor
from hemlockstand.fleet.lapses import Lapses
from hemlockstand.fleet.model import ExecutorEntry, Resources
from hemlockstand.fleet.reports import ExecutorReportHandler
from hemlockstand.fleet.state import SchedulerState, read_current
from hemlockstand.fleet.storage import EXECUTORS_TABLE
from hemlockstand.platform.decoding import decode_executor, quote_value
from hemlockstand.platform.executors import ORDER_TIMEOUT_SECONDS, ExecutorClient
from hemlockstand.platform.rows import HistoryGone, RowPage, StoredRow

log = logger.bind(module=__name__)

FOLLOW_SECONDS = 1.0
RETRY_SECONDS = 0.2
_NEVER = float("-inf")


@define(eq=False)
class ExecutorDirectory:
    """Keeps an ``Executor`` with its task for each entry in the store.

    An entry of a pool that the configuration does not name waits in ``_unused``
    until it does; another program may have written it. ``fence`` is the first
    fencing token of the scheduler. ``_fences`` holds the higher ones that
    executors have seen which are no longer tracked, since their entries may come
    back. ``_confirmed_at`` is the latest time of which all entries are known.
    """

    state: SchedulerState
    connect: Callable[[str, str], ExecutorClient]
    report_handler: ExecutorReportHandler
    fence: int
    lapses: Lapses
    _versions: dict[str, int] = field(factory=dict)
    _fences: dict[str, int] = field(factory=dict)
    _unused: dict[str, ExecutorEntry] = field(factory=dict)
    _read_at: float = _NEVER
    _confirmed_at: float = _NEVER

    def is_confirmed(self) -> bool:
        """Return whether the known capacities still apply.

        An executor writes a smaller capacity to the store before it counts
        for ``stability_ms``. The commits may succeed while the entries cannot
        be read.
        """
        age = self.state.clock() - self._confirmed_at
        return (
            age + ORDER_TIMEOUT_SECONDS < self.state.settings.bounds.stability_ms / 1000
        )

    async def load(self) -> int:
        """Read all entries; return the version to follow from."""
        page = await read_current(self.state, self._read_all)
        self._confirmed_at = self._read_at
        self._apply_executor_rows(page.rows)
        self._remove_unlisted(page)
        return page.version

    async def _read_all(self) -> RowPage:
        self._read_at = self.state.clock()
        return await self.state.rows.read_all(EXECUTORS_TABLE)

    def _remove_unlisted(self, page: RowPage) -> None:
        """Remove executors that are missing from a full read.

        Their removal was not among the changes that were followed.
        """
        listed = {row.key for row in page.rows}
        known = self.state.executors.keys() | self._unused.keys()
        for executor_id in known - listed:
            if self._versions.get(executor_id, 0) <= page.version:
                self._remove_entry(executor_id)

    def add_known(self, known_executors: Mapping[str, Mapping[str, str]]) -> None:
        """Add executors of a previous scheduler, which may have runs.

        They have left the store, or the configuration no longer names their pool.
        """
        for pool, addresses in known_executors.items():
            for executor, address in addresses.items():
                if executor in self.state.executors:
                    continue
                if executor in self._unused:
                    self._add_executor(self._unused.pop(executor))
                    continue
                entry = ExecutorEntry(
                    executor, pool, address, "", False, None, None, Resources(), ()
                )
                self._add_executor(entry).is_in_store = False

    async def follow(self, version: int) -> None:
        """Follow the entries until the scheduler ends."""
        while True:
            sent_at = self.state.clock()
            try:
                page = await self.state.rows.follow(
                    EXECUTORS_TABLE, version, FOLLOW_SECONDS
                )
            except HistoryGone:
                version = await self.load()
                continue
            except PlatformUnavailable as error:
                log.info(
                    "changes of the executors could not be read",
                    unconfirmed_seconds=round(sent_at - self._confirmed_at, 1),
                    detail=str(error),
                )
                await trio.sleep(RETRY_SECONDS)
                continue
            version = page.version
            self._apply_executor_rows(page.rows)
            self._confirmed_at = sent_at

    def _apply_executor_rows(self, rows: Iterable[StoredRow]) -> None:
        for row in rows:
            # A full read may return older entries than the last change.
            if row.version < self._versions.get(row.key, 0):
                continue
            self._versions[row.key] = row.version
            if row.value is None:
                self._remove_entry(row.key)
                continue
            try:
                entry = decode_executor(row.key, row.value)
            except InvalidInput as error:
                log.warning("invalid entry of an executor is ignored: {}", error)
                self._remove_entry(row.key)
                continue
            self._apply_entry(entry)
        self.state.request_placement()

    def _remove_entry(self, executor_id: str) -> None:
        self._unused.pop(executor_id, None)
        executor = self.state.executors.get(executor_id)
        if executor is not None and executor.is_in_store:
            log.info("entry of executor {} was removed from the store", executor_id)
            executor.is_in_store = False

    def _apply_entry(self, entry: ExecutorEntry) -> None:
        executor = self.state.executors.get(entry.id)
        if executor is None:
            if entry.pool in self.state.config.pools:
                self._add_executor(entry)
                return
            if entry.id not in self._unused:
                log.info(
                    "executor {} is not used: its pool is not in the configuration",
                    entry.id,
                    pool=quote_value(entry.pool),
                )
            self._unused[entry.id] = entry
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
            self._fences.pop(entry.id, self.fence),
            self.state.clock,
            self.report_handler,
            self.state.settings.scheduler.hold_seconds,
        )
        self.lapses.prepare(executor)
        lease = self.state.lease
        executor.expect_leases(lease.restarted.get(entry.id, _NEVER))
        changed = self._versions.get(entry.id, 0) > lease.previous_version
        if changed and not entry.draining:
            # The previous scheduler may not have known of this lifetime.
            executor.expect_previous_leases()
        self.state.executors[entry.id] = executor
        self.state.nursery.start_soon(executor.run)
        self.state.request_commit()
        return executor

    def add_configured(self) -> None:
        """Add the executors whose pool the configuration has come to name."""
        for entry in list(self._unused.values()):
            if entry.pool in self.state.config.pools:
                del self._unused[entry.id]
                self._add_executor(entry)

    def remove_gone(self) -> None:
        """Remove executors that have left the store and can have no runs."""
        now = self.state.clock()
        for executor in list(self.state.executors.values()):
            if executor.is_in_store or executor.runs:
                continue
            if self.report_handler.may_have_crashed(executor):
                continue
            if now > executor.runs_end_at + LEASE_EXPIRY_MARGIN_SECONDS:
                executor.close()
                del self.state.executors[executor.id]
                self._versions.pop(executor.id, None)
                if executor.fence > self.fence:
                    self._fences[executor.id] = executor.fence
                log.info("executor {} is no longer tracked", executor.id)
