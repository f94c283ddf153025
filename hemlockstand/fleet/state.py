"""State shared by the parts of the scheduler while the lease is held."""

from collections.abc import Awaitable, Callable

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.executor_leases import MIN_CLOCK_RATE
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import JobRegistry
from hemlockstand.fleet.lease import SchedulerLease
from hemlockstand.fleet.model import FleetConfig
from hemlockstand.fleet.settings import FleetSettings
from hemlockstand.platform.executors import ORDER_TIMEOUT_SECONDS
from hemlockstand.platform.rows import RowPage, RowStore

log = logger.bind(module=__name__)

# Longest time by which leases of executors outlast the scheduler's lease, so
# that runs survive an outage of the store.
GRANT_SECONDS = 4.0
# Usual lease of an executor. A takeover after a kill takes up to two seconds,
# more on a slow machine, and the last renewal may be one second old.
EXECUTOR_LEASE_SECONDS = 3.7
# Delay before rows are read again that were too old or could not be read.
RETRY_SECONDS = 0.2
# Part of the longest permitted lease that is used, since clocks differ.
MAX_LEASE_FRACTION = 0.9


@define(eq=False)
class SchedulerState:
    """Jobs, executors and lease, with requests for placement and commits."""

    settings: FleetSettings
    rows: RowStore
    configuration: FleetConfigurationService
    lease: SchedulerLease
    clock: Callable[[], float]
    nursery: trio.Nursery
    registry: JobRegistry
    executors: dict[str, Executor] = field(factory=dict)
    store_failing: bool = False
    _placement_requested: trio.Event = field(factory=trio.Event)
    _commit_requested: trio.Event = field(factory=trio.Event)

    @property
    def config(self) -> FleetConfig:
        """The configuration in force, loaded before the lease is taken."""
        config = self.configuration.current
        assert config is not None
        return config

    @property
    def grant_seconds(self) -> float:
        """How long leases of executors may outlast the scheduler's lease."""
        longest = self.settings.bounds.longest_hold_ms / 1000 * MAX_LEASE_FRACTION
        return min(GRANT_SECONDS, longest - self.lease.lease_seconds)

    @property
    def previous_grants_end(self) -> float:
        """Latest end of the leases that a previous scheduler granted."""
        return self.lease.previous_valid_until + self.grant_seconds

    @property
    def longest_lease_seconds(self) -> float:
        """The longest time for which an executor keeps any lease."""
        return self.settings.bounds.longest_hold_ms / 1000 / MIN_CLOCK_RATE

    @property
    def previous_longest_end(self) -> float:
        """Latest end of any leases that calls of a previous scheduler have given.

        An executor that has started again takes them by another clock than they
        were meant for, so that they last as long as any. The first scheduler has
        no predecessor.
        """
        if self.lease.record.epoch == 1:
            return float("-inf")
        seconds = ORDER_TIMEOUT_SECONDS + self.longest_lease_seconds
        return self.lease.previous_valid_until + seconds

    @property
    def previous_stops_end(self) -> float:
        """Latest end of the runs that a previous scheduler has stopped.

        A scheduler that released its lease has stored it. One that did not may
        have sent stops as long as its lease was valid.
        """
        longest = (
            self.lease.previous_valid_until + ORDER_TIMEOUT_SECONDS + self.stop_seconds
        )
        stops_ms = self.lease.previous_stops_ms
        if stops_ms is None:
            return longest
        return min(self.lease.find_local_time(stops_ms), longest)

    @property
    def stop_seconds(self) -> float:
        """Longest time that an executor takes to stop a run."""
        return self.settings.bounds.stop_ms / 1000

    def may_order(self) -> bool:
        """Return whether the scheduler may give orders."""
        return self.lease.valid

    def last_grant_end(self) -> float:
        """Return the latest end that a lease of an executor may have."""
        return self.lease.valid_until + self.grant_seconds

    def grant_end(self) -> float:
        """Return the end of a lease that is granted to an executor now.

        Leases are as short as a takeover permits, because the work of a lost
        executor waits until its lease has expired. While the store does not
        answer, no other scheduler can take over, and leases are as long as
        possible.
        """
        if self.store_failing:
            return self.last_grant_end()
        return min(self.clock() + EXECUTOR_LEASE_SECONDS, self.last_grant_end())

    def request_placement(self) -> None:
        """Request a round of placement."""
        self._placement_requested.set()

    async def wait_for_placement_request(self) -> None:
        """Wait until placement is requested."""
        await self._placement_requested.wait()
        self._placement_requested = trio.Event()

    def request_commit(self) -> None:
        """Request that changes are stored."""
        self._commit_requested.set()

    async def wait_for_commit_request(
        self, seconds: float, pause_seconds: float
    ) -> None:
        """Wait for a commit request, then ``pause_seconds`` for more of them.

        Returns after ``seconds`` in any case.
        """
        with trio.move_on_after(seconds):
            await self._commit_requested.wait()
            await trio.sleep(pause_seconds)
        self._commit_requested = trio.Event()

    async def keep_lease(self, stop: trio.Event) -> None:
        """Renew the lease, without other changes, until ``stop`` is set.

        Raises ``LeaseLost``. A renewal in flight is never cancelled, because
        its outcome would stay unknown.
        """
        while not stop.is_set():
            with trio.move_on_after(self.settings.scheduler.renew_seconds):
                await stop.wait()
            try:
                await self.lease.renew()
            except PlatformUnavailable as error:
                log.warning("scheduler lease not renewed", detail=str(error))
                await trio.sleep(RETRY_SECONDS)


async def read_current(
    state: SchedulerState, read: Callable[[], Awaitable[RowPage]]
) -> RowPage:
    """Read rows until they are at least as new as the lease row.

    Older rows could lack what a previous scheduler has stored last.
    """
    while True:
        least = state.lease.version
        try:
            page = await read()
            if page.version >= least:
                return page
            log.warning(
                "rows read from the store are older than the lease",
                version=page.version,
                lease=least,
            )
        except PlatformUnavailable as error:
            log.warning("rows could not be read from the store", detail=str(error))
        await trio.sleep(RETRY_SECONDS)
