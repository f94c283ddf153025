"""What the parts of the scheduler share during a leadership."""

from collections.abc import Awaitable, Callable

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import Ledger
from hemlockstand.fleet.lease import SchedulerLease
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
HOLD_LEASE_SECONDS = 3.7
# Pause before rows are read again that the store did not give.
RETRY_SECONDS = 0.2
# Part of an executor's longest lease that is used, for clocks that differ.
HOLD_FRACTION = 0.9


@define(eq=False)
class SchedulerState:
    """Jobs, executors and lease, and the wishes for the next round."""

    settings: FleetSettings
    rows: RowStore
    configuration: FleetConfigurationService
    lease: SchedulerLease
    clock: Callable[[], float]
    nursery: trio.Nursery
    ledger: Ledger
    executors: dict[str, Executor] = field(factory=dict)
    store_failing: bool = False
    _place_wanted: trio.Event = field(factory=trio.Event)
    _commit_wanted: trio.Event = field(factory=trio.Event)

    @property
    def config(self) -> FleetConfig:
        """The configuration in force; there is one before the lease is taken."""
        config = self.configuration.current
        assert config is not None
        return config

    @property
    def grant_seconds(self) -> float:
        """How long leases of executors may outlast the scheduler's lease."""
        longest = self.settings.bounds.longest_hold_ms / 1000 * HOLD_FRACTION
        return min(GRANT_SECONDS, longest - self.lease.lease_seconds)

    @property
    def earlier_grants_end(self) -> float:
        """Until when leases that an earlier scheduler granted may last."""
        return self.lease.previous_valid_until + self.grant_seconds

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
        return min(self.clock() + HOLD_LEASE_SECONDS, self.last_grant_end())

    def want_place(self) -> None:
        """Have waiting subtasks placed."""
        self._place_wanted.set()

    async def wait_place(self) -> None:
        """Wait until subtasks may find a place."""
        await self._place_wanted.wait()
        self._place_wanted = trio.Event()

    def want_commit(self) -> None:
        """Have changes stored."""
        self._commit_wanted.set()

    async def wait_commit(self, seconds: float, pause_seconds: float) -> None:
        """Wait for changes, and shortly for more; at most some seconds."""
        with trio.move_on_after(seconds):
            await self._commit_wanted.wait()
            await trio.sleep(pause_seconds)
        self._commit_wanted = trio.Event()


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
