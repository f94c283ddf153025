"""The scheduler service: one daemon at a time decides what runs where.

Every daemon watches the lease and takes it when its holder has gone. The
holder reads all jobs and asks every executor for its runs. Then it places
subtasks, stores their ends and follows changes until it loses the lease or
stops.
"""

import time
from uuid import uuid4

import trio
from loguru import logger

from hemlockstand.coordination.lease import LeaseLost, make_lease_clock
from hemlockstand.coordination.looplag import LoopLag
from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.clients import FleetClients
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.failed_terms import FailedTerms
from hemlockstand.fleet.instances import PREVIOUS_ORDER_SECONDS
from hemlockstand.fleet.leader import Leader
from hemlockstand.fleet.lease import LeaseWatch, SchedulerLease
from hemlockstand.fleet.metrics import EVACUATION_RUNS, LEADING
from hemlockstand.fleet.policy.candidacy import Candidacy, find_candidacy
from hemlockstand.fleet.services import RowStoreService
from hemlockstand.fleet.settings import FleetSettings
from hemlockstand.fleet.storage import DAEMONS_TABLE, daemon_write, decode_daemons
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.platform.advice import AdviceClient
from hemlockstand.platform.executors import ExecutorClient
from hemlockstand.platform.machines import InstanceClient

log = logger.bind(module=__name__)

# Each daemon with a larger processor capacity delays this one by one check of
# the lease. The number is limited, since some of them may be gone.
MAX_WAITED_FOR = 3
# Before the first acquisition daemons wait until all have stored their
# processor capacity.
FIRST_WAIT_SECONDS = 0.8
DAEMONS_REFRESH_SECONDS = 20.0
# Delay of a daemon on a slow machine, so that others take the lease first. It
# stays for a while after the daemon has released the lease as too slow.
SLOW_DELAY_SECONDS = 2.0
SLOW_COOLDOWN_SECONDS = 6.0
SLOW_CHECK_SECONDS = 0.2
# A scheduler that becomes slow within this time after it took over from a slow
# one is overloaded, and its successor would be as well.
SLOW_HANDOVER_SECONDS = 15.0


@register
class SchedulerService(Service):
    """Watches the lease, and leads while this daemon holds it."""

    name = "scheduler"
    needs = ("row_store", "fleet_configuration", "frontend")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: FleetSettings = kernel.settings
        self._settings = settings
        self._rows = kernel.find("row_store", RowStoreService).rows
        self._configuration = kernel.find(
            "fleet_configuration", FleetConfigurationService
        )
        self._clock = make_lease_clock(time.monotonic)
        self._clients = FleetClients(
            ExecutorClient,
            InstanceClient(settings.platform.instances),
            AdviceClient(settings.platform.advice),
        )
        self._lag = LoopLag()
        self._failed_terms = FailedTerms(settings.scheduler.lease_seconds, self._clock)
        self._cooldown_until = float("-inf")
        self._leader: Leader | None = None
        self._leaving = False
        self._candidacy = Candidacy()
        self._daemons_read_at = float("-inf")
        self._stopped = trio.Event()

    @property
    def leader(self) -> Leader | None:
        """The leader, while this daemon is the scheduler."""
        return self._leader

    async def run(self) -> None:
        """Run the scheduler whenever the lease can be acquired."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lag.run)
            await self._lead_forever()

    async def _lead_forever(self) -> None:
        await self._register_daemon()
        while not self._leaving:
            await trio.sleep(self._failed_terms.delay_seconds)
            await self._wait_and_lead()
        self._stopped.set()
        await trio.sleep_forever()

    async def _wait_and_lead(self) -> None:
        """Lead for one term; an error in it ends the term alone.

        The daemon goes on serving callers, and another one may lead.
        """
        began_at = self._clock()
        try:
            watch = self._make_watch()
            lease = await self._wait_for_lease(watch)
            if lease is not None:
                began_at = self._clock()
                await self._lead(lease, watch)
        except* Exception as group:
            log.opt(exception=group).error(
                "error in the scheduler; this daemon leaves the lease to others",
                delay_seconds=self._failed_terms.add(began_at),
            )

    async def stop(self) -> None:
        """Stop leading, so that another daemon can take the lease."""
        self._leaving = True
        if self._leader is not None:
            self._leader.leave()
            with trio.move_on_after(self._settings.bounds.grace_s / 4):
                await self._stopped.wait()

    async def _register_daemon(self) -> None:
        """Store this daemon's capacity, for the choice of the scheduler."""
        daemon = self._settings.daemon
        while not self._leaving:
            try:
                await self._rows.write([daemon_write(daemon.name, daemon.cores)])
                return
            except (PlatformUnavailable, OutcomeUnknown) as error:
                log.info(
                    "processor capacity of this daemon not stored", detail=str(error)
                )
            await trio.sleep(self._settings.scheduler.watch_seconds)

    async def _update_candidacy(self) -> None:
        """Find this daemon's place among those that may lead."""
        if self._clock() - self._daemons_read_at < DAEMONS_REFRESH_SECONDS:
            return
        daemons = decode_daemons((await self._rows.read_all(DAEMONS_TABLE)).rows)
        self._daemons_read_at = self._clock()
        own = self._settings.daemon
        self._candidacy = find_candidacy(own.name, own.cores, daemons)

    def _make_watch(self) -> LeaseWatch:
        return LeaseWatch(
            rows=self._rows,
            holder=self._settings.daemon.name,
            session=uuid4().hex,
            lease_seconds=self._settings.scheduler.lease_seconds,
            clock=self._clock,
            first_wait_seconds=FIRST_WAIT_SECONDS,
            unknown_orders_seconds=(
                self._settings.bounds.order_turn_ms / 1000 + PREVIOUS_ORDER_SECONDS
            ),
        )

    async def _wait_for_lease(self, watch: LeaseWatch) -> SchedulerLease | None:
        while not self._leaving:
            if self._configuration.current is not None:
                try:
                    await self._update_candidacy()
                    watch.delay_seconds = self._choose_delay()
                    lease = await watch.try_acquire()
                except PlatformUnavailable as error:
                    log.debug("scheduler lease not read: {}", error)
                    lease = None
                if lease is not None:
                    return lease
            await trio.sleep(
                self._settings.scheduler.watch_seconds * self._candidacy.interval_factor
            )
        return None

    def _choose_delay(self) -> float:
        """Return the time for which other daemons have precedence."""
        waited_for = min(self._candidacy.larger_daemons, MAX_WAITED_FOR)
        delay = waited_for * self._settings.scheduler.watch_seconds
        if self._lag.slow or self._clock() < self._cooldown_until:
            delay += SLOW_DELAY_SECONDS
        return delay

    async def _step_down_when_slow(self, leader: Leader) -> None:
        """Release the lease once this machine has become slow.

        A scheduler that took over from a slow one keeps the lease for a while:
        if the load makes every machine slow, further changes only add to it.
        """
        began_at = self._clock()
        while not self._lag.slow or (
            leader.follows_slow and self._clock() - began_at < SLOW_HANDOVER_SECONDS
        ):
            await trio.sleep(SLOW_CHECK_SECONDS)
        log.warning(
            "machine is slow; the scheduler releases its lease",
            lag_seconds=round(self._lag.seconds, 3),
        )
        self._cooldown_until = self._clock() + SLOW_COOLDOWN_SECONDS
        leader.leave(slow=True)

    async def _lead(self, lease: SchedulerLease, watch: LeaseWatch) -> None:
        record = lease.record
        log.info("scheduler starts", epoch=record.epoch, version=lease.version)
        LEADING.set(1)
        try:
            async with trio.open_nursery() as nursery:
                self._leader = Leader(
                    self._settings,
                    self._rows,
                    self._configuration,
                    lease,
                    self._clock,
                    self._clients,
                    nursery,
                )
                nursery.start_soon(self._step_down_when_slow, self._leader)
                await self._leader.run(fresh=watch.previous is None)
            log.info("scheduler ends", epoch=record.epoch, detail="released")
        except* LeaseLost as group:
            detail = str(group.exceptions[0])
            log.warning("scheduler ends", epoch=record.epoch, detail=detail)
        finally:
            LEADING.set(0)
            EVACUATION_RUNS.set(0)
            self._leader = None
