"""The maintenance service: members of pools, moves, and maintenance waves.

Each pool is maintained by the daemon that rendezvous hashing assigns it to.
The assignment only avoids conflicts; the conditional transactions keep the
budgets even when two daemons act at once.
"""

from collections.abc import Iterable, Iterator
from time import time

import trio
from attrs import evolve, frozen
from loguru import logger

from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.coordination.rendezvous import OwnerIndex
from hemlockstand.errors import (
    HemlockstandError,
    InvalidInput,
    NotFound,
    PlatformUnavailable,
)
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.maintenance.records import (
    POOL_PREFIX,
    WAVE_PREFIX,
    PoolState,
    Wave,
    WaveState,
    decode_pool,
    decode_wave,
    encode_wave,
)
from hemlockstand.maintenance.rounds import MaintenanceRounds
from hemlockstand.maintenance.steps import (
    MEMBERS_KEY,
    WAVES_KEY,
    InstanceSteps,
    bump_waves_epoch,
)
from hemlockstand.maintenance.waves import count_left
from hemlockstand.model import Pool
from hemlockstand.peers.service import PeersService
from hemlockstand.platform.interface import InstanceRecord
from hemlockstand.platform.service import PlatformService

log = logger.bind(module=__name__)

MEMBERS_POLL_SECONDS = 2.0


@frozen
class WaveStatus:
    """A wave and the progress that operators see."""

    wave: Wave
    total: int
    left: int


@register
class MaintenanceService(Service):
    """Knows the members of pools and maintains the pools that it owns."""

    name = "maintenance"
    needs = ("platform", "configuration", "peers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        service = kernel.find("platform", PlatformService)
        self.platform, self.polled = service.platform, service.polled
        self.configuration = kernel.find("configuration", ConfigurationService)
        self.peers = kernel.find("peers", PeersService)
        section = self.settings.maintenance
        self.steps = InstanceSteps(
            self.platform.table,
            self.platform.machines,
            time,
            section.health_wait_seconds,
            section.max_bad_instances,
        )
        self.records: dict[str, InstanceRecord] = {}
        self.pools: dict[str, PoolState] = {}
        self._members_version = -1
        self._waves: list[Wave] = []
        self._waves_version = -1
        self._owners = OwnerIndex()
        self.rounds = MaintenanceRounds(self.steps, lambda: self.records)

    def members(self, pool: str) -> tuple[InstanceRecord, ...]:
        """Return the members of the pool that the instance list shows."""
        state = self.pools.get(pool)
        names = state.members if state is not None else ()
        return tuple(self.records[name] for name in names if name in self.records)

    def list_schedulable(self, pools: Iterable[str]) -> Iterator[InstanceRecord]:
        """Yield the members of the pools that take new work."""
        unschedulable = self._list_unschedulable()
        for pool in pools:
            for record in self.members(pool):
                if record.id not in unschedulable and record.state != "leaving":
                    yield record

    def _list_unschedulable(self) -> set[str]:
        """Return the instances that are drained or planned to be unavailable.

        An instance may be a member of one pool while its disruption is in the
        row of another, so the disruptions of all pools are included.
        """
        unschedulable = set(self.configuration.current.drains)
        for pool in self.pools.values():
            unschedulable.update(pool.disruptions)
        return unschedulable

    async def start(self) -> None:
        """Read the members once before the services that need them start."""
        try:
            await self._refresh()
        except HemlockstandError as error:
            log.warning("pool members could not be read at start: {}", error)

    async def run(self) -> None:
        """Refresh the members and maintain the pools that this daemon owns."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_members)
            if self.settings.maintenance.enabled:
                nursery.start_soon(self._maintain)

    async def _poll_members(self) -> None:
        while True:
            await trio.sleep(MEMBERS_POLL_SECONDS)
            try:
                await self._refresh()
            except HemlockstandError as error:
                log.info("refresh of pool members failed: {}", error)

    async def _refresh(self) -> None:
        listed = await self.platform.instances.list()
        self.records = {record.id: record for record in listed}
        epoch = await self.polled.read(MEMBERS_KEY, MEMBERS_POLL_SECONDS)
        if epoch.version == self._members_version:
            return
        for row in await self.platform.table.scan(POOL_PREFIX, limit=1000):
            name = row.key.removeprefix(POOL_PREFIX)
            self.pools[name] = decode_pool(name, row)
        self._members_version = epoch.version

    async def _maintain(self) -> None:
        while True:
            await trio.sleep(self.settings.maintenance.interval_seconds)
            try:
                waves = await self._read_waves()
                for pool in list(self._list_owned()):
                    await self._step_pool(pool, waves)
                await self._finish_waves(waves)
            except HemlockstandError as error:
                log.info("maintenance round failed: {}", error)

    async def _step_pool(self, pool: Pool, waves: list[Wave]) -> None:
        """Run one pool's round; its failure must not block the others."""
        try:
            self.pools[pool.name] = await self.rounds.step_pool(pool, waves)
        except PlatformUnavailable:
            raise
        except HemlockstandError as error:
            log.info("maintenance of pool {} failed: {}", pool.name, error)

    def _list_owned(self) -> Iterator[Pool]:
        members = [
            member.name
            for member in self.peers.members()
            if member.alive and not member.leaving
        ]
        own = self.settings.daemon.name
        pools = self.configuration.current.pools
        for name in self._owners.select(own, pools, {own, *members}):
            yield pools[name]

    async def _read_waves(self) -> list[Wave]:
        """Return the waves that are not done.

        They are read after an operator has changed one, and in each round
        while one is under way.
        """
        marker = await self.polled.read(
            WAVES_KEY, self.settings.maintenance.interval_seconds
        )
        if marker.version != self._waves_version or self._waves:
            self._waves = [
                wave
                for wave in await self.list_waves()
                if wave.state is not WaveState.DONE
            ]
            self._waves_version = marker.version
        return self._waves

    async def _finish_waves(self, waves: list[Wave]) -> None:
        """Mark completed waves as done if this daemon owns the first pool."""
        owned = {pool.name for pool in self._list_owned()}
        for wave in waves:
            if wave.state is not WaveState.RUNNING or wave.pools[0] not in owned:
                continue
            status = await self.show_wave(wave.id)
            if status.left == 0:
                done = evolve(status.wave, state=WaveState.DONE, finished_at=time())
                await self.steps.commit([encode_wave(done)])

    async def show_wave(self, name: str) -> WaveStatus:
        """Return a wave and what is left of it; raises ``NotFound``."""
        row = await self.platform.table.read(WAVE_PREFIX + name)
        if row.version == 0:
            raise NotFound(f"wave {name!r} does not exist")
        wave = decode_wave(row)
        total = left = 0
        for pool_name in wave.pools:
            pool = await self.steps.read_pool(pool_name)
            instances = await self.rounds.read_instances(pool)
            total += len(pool.members)
            left += count_left(wave, [pool], instances)
        return WaveStatus(wave, total, left)

    async def start_wave(self, name: str, pools: tuple[str, ...]) -> Wave:
        """Start a wave over the pools.

        Raises ``InvalidInput`` with code ``unknown_pool``, ``no_budget`` or
        ``wave_exists``.
        """
        known = self.configuration.current.pools
        for pool in pools:
            if pool not in known:
                raise InvalidInput(f"pool {pool!r} does not exist", "unknown_pool")
            if known[pool].budget < 1:
                raise InvalidInput(
                    f"pool {pool!r} has no availability budget", "no_budget"
                )
        wave = Wave(name, pools, time())
        if not await self.steps.commit([encode_wave(wave), bump_waves_epoch(name)]):
            row = await self.platform.table.read(WAVE_PREFIX + name)
            if row.version == 0 or decode_wave(row).started_at != wave.started_at:
                raise InvalidInput(f"wave {name!r} exists already", "wave_exists")
        return wave

    async def set_wave_state(self, name: str, state: WaveState) -> Wave:
        """Pause, resume or halt a wave; instances under way are finished.

        Raises ``NotFound``, and ``InvalidInput`` with code ``wave_done`` or
        ``wave_changed``.
        """
        wave = (await self.show_wave(name)).wave
        if wave.state is WaveState.DONE:
            raise InvalidInput(f"wave {name!r} is done", "wave_done")
        resumed = state is WaveState.RUNNING
        changed = evolve(wave, state=state, bad=() if resumed else wave.bad, reason="")
        if not await self.steps.commit([encode_wave(changed), bump_waves_epoch(name)]):
            # The reply may have been lost after the write took effect.
            now = (await self.show_wave(name)).wave
            if now.state is not state:
                raise InvalidInput(f"wave {name!r} changed meanwhile", "wave_changed")
        return changed

    async def list_waves(self) -> list[Wave]:
        """Return all waves, done ones included."""
        rows = await self.platform.table.scan(WAVE_PREFIX)
        return [decode_wave(row) for row in rows]
