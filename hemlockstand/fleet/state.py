"""What the parts of the scheduler share during a leadership."""

from collections.abc import Awaitable, Callable

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.lease import SchedulerLease
from hemlockstand.fleet.ledger import JobRegistry
from hemlockstand.fleet.model import FleetConfig
from hemlockstand.fleet.settings import FleetSettings
from hemlockstand.platform.rows import RowPage, RowStore

log = logger.bind(module=__name__)

# Leases of executors outlast the scheduler's lease by at most this much, so
# that what runs survives an outage of the store.
GRANT_SECONDS = 4.0
# Usual lease of an executor: a change of the scheduler after a kill takes up
# to two seconds, more on a slow machine, and the last renewal may be one
# second old.
EXECUTOR_LEASE_SECONDS = 3.7
# Pause before rows are read again that the store did not give.
RETRY_SECONDS = 0.2
# Part of an executor's longest lease that is used, for clocks that differ.
MAX_LEASE_FRACTION = 0.9


@define(eq=False)
class SchedulerState:
    """Jobs, executors and lease, and the wishes for the next round."""

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
        """The configuration in force; there is one before the lease is taken."""
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
        """Until when leases that an earlier scheduler granted may last."""
        return self.lease.earlier_until + self.grant_seconds

    def may_order(self) -> bool:
        """Return whether orders may be given."""
        return self.lease.valid

    def last_grant_end(self) -> float:
        """Return until when leases of executors may be granted at the most."""
        return self.lease.valid_until + self.grant_seconds

    def grant_end(self) -> float:
        """Return until when to grant leases to executors.

        As short as a change of the scheduler allows, because lost executors
        delay their work for as long; as long as possible while the store
        does not answer, because then no scheduler can take over.
        """
        if self.store_failing:
            return self.last_grant_end()
        return min(self.clock() + EXECUTOR_LEASE_SECONDS, self.last_grant_end())

    def request_placement(self) -> None:
        """Have waiting subtasks placed."""
        self._placement_requested.set()

    async def wait_for_placement_request(self) -> None:
        """Wait until subtasks may find a place."""
        await self._placement_requested.wait()
        self._placement_requested = trio.Event()

    def request_commit(self) -> None:
        """Have changes stored."""
        self._commit_requested.set()

    async def wait_for_commit_request(
        self, seconds: float, pause_seconds: float
    ) -> None:
        """Wait for changes, and shortly for more; at most some seconds."""
        with trio.move_on_after(seconds):
            await self._commit_requested.wait()
            await trio.sleep(pause_seconds)
        self._commit_requested = trio.Event()


async def read_current(
    state: SchedulerState, read: Callable[[], Awaitable[RowPage]]
) -> RowPage:
    """Read rows until the store gives them as of the lease or later.

    Older ones could lack what an earlier scheduler has stored last. The
    leadership ends with the lease.
    """
    while True:
        least = state.lease.version
        try:
            page = await read()
            if page.version >= least:
                return page
            log.warning("rows are old", version=page.version, lease=least)
        except PlatformUnavailable as error:
            log.warning("store does not answer", detail=str(error))
        if not state.lease.valid:
            await state.lease.commit()
        await trio.sleep(RETRY_SECONDS)
