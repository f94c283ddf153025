"""Steps of moves and of maintenance, each one conditional transaction.

Every decision is stored in the instance's row, so any daemon can take the next
step if the one that took the last step is lost. Commands to the platform
(drain, reboot, undrain) are idempotent and are repeated until the health that
the platform reports shows their effect.
"""

from collections.abc import Callable, Mapping

from attrs import define, evolve
from loguru import logger

from hemlockstand.errors import (
    HemlockstandError,
    InvalidInput,
    NotFound,
    OutcomeUnknown,
    TableConflict,
)
from hemlockstand.maintenance.budgets import find_unavailable, may_disrupt
from hemlockstand.maintenance.records import (
    INSTANCE_PREFIX,
    POOL_PREFIX,
    WAVE_PREFIX,
    InstanceState,
    Phase,
    PoolState,
    Wave,
    WaveState,
    add_disruption,
    add_joining,
    add_member,
    decode_instance,
    decode_pool,
    decode_wave,
    encode_instance,
    encode_pool,
    encode_wave,
    end_disruption,
    remove_member,
)
from hemlockstand.platform.interface import (
    InstanceRecord,
    MachineHealth,
    Machines,
    Operation,
    Put,
    Table,
)

log = logger.bind(module=__name__)

MEMBERS_KEY = "members/epoch"  # changes with each change of any pool's members
WAVES_KEY = "waves/epoch"  # changes when an operator starts, pauses or resumes one


@define
class InstanceSteps:
    """Takes the steps of individual instances.

    ``clock`` returns seconds since the epoch. ``max_bad`` is the number of
    instances that come back unhealthy before their wave halts.
    """

    table: Table
    machines: Machines
    clock: Callable[[], float]
    health_wait_seconds: float
    max_bad: int

    async def read_instance(self, name: str) -> InstanceState:
        """Return the instance's row; raises ``NotFound``."""
        row = await self.table.read(INSTANCE_PREFIX + name)
        if row.version == 0:
            raise NotFound(f"instance {name!r} is not known")
        return decode_instance(name, row)

    async def read_pool(self, name: str) -> PoolState:
        """Return the pool's row."""
        return decode_pool(name, await self.table.read(POOL_PREFIX + name))

    async def commit(self, operations: list[Operation]) -> bool:
        """Apply the step; ``False`` means that the rows have to be read again.

        A lost reply is handled like a conflict, because the next step is
        decided from the rows alone.
        """
        try:
            await self.table.transact(operations)
        except (TableConflict, OutcomeUnknown) as error:
            log.info(
                "maintenance step is retried with rows read again after {}", error.code
            )
            return False
        return True

    async def disrupt(
        self,
        pool: PoolState,
        instance: InstanceState,
        records: Mapping[str, InstanceRecord],
        reason: str,
        target: str = "",
        wave: str = "",
    ) -> bool:
        """Begin a planned disruption if the pool's budget allows it.

        The health of all members is read first, because the instance list
        lags. Returns whether the disruption was committed.
        """
        health = await self.read_health(pool.members)
        unavailable = find_unavailable(pool, records, health)
        if not may_disrupt(pool, unavailable, instance.id):
            return False
        begun = evolve(
            instance,
            phase=Phase.DRAINING,
            since=self.clock(),
            target=target,
            wave=wave,
        )
        disrupted = add_disruption(pool, instance.id, reason)
        if not await self.commit([encode_pool(disrupted), encode_instance(begun)]):
            return False
        log.info("instance {} leaves service: {}", instance.id, reason)
        await self.machines.drain(instance.id)
        return True

    async def read_health(self, names: tuple[str, ...]) -> dict[str, MachineHealth]:
        """Return the health of each instance that the platform answers for."""
        health = {}
        for name in names:
            try:
                health[name] = await self.machines.health(name)
            except HemlockstandError as error:
                log.info("health of instance {} is unknown: {}", name, error)
        return health

    async def move(
        self, name: str, target: str, records: Mapping[str, InstanceRecord]
    ) -> None:
        """Begin to move an instance to another pool.

        Raises ``NotFound`` for an unknown instance and ``InvalidInput`` with
        code ``not_serving``, ``same_pool`` or ``budget_exhausted``.
        """
        instance = await self.read_instance(name)
        if instance.phase is not Phase.SERVING:
            raise InvalidInput(
                f"instance {name!r} is {instance.phase}", code="not_serving"
            )
        if instance.pool == target:
            raise InvalidInput(
                f"instance {name!r} is in pool {target!r} already", code="same_pool"
            )
        pool = await self.read_pool(instance.pool)
        reason = f"move to {target}"
        if await self.disrupt(pool, instance, records, reason, target=target):
            return
        # The reply may have been lost after the move was committed.
        moving = await self.read_instance(name)
        if moving.version == instance.version or target not in (
            moving.target,
            moving.pool,
        ):
            raise InvalidInput(
                f"pool {pool.name!r} has no budget for moving {name!r} now",
                code="budget_exhausted",
            )

    async def advance(self, instance: InstanceState) -> None:
        """Take the next step of an instance that is not serving.

        Raises ``PlatformUnavailable``; the step is taken later then.
        """
        health = await self.machines.health(instance.id)
        match instance.phase:
            case Phase.DRAINING:
                await self._advance_draining(instance, health)
            case Phase.REBOOTING:
                await self._advance_rebooting(instance, health)
            case Phase.JOINING:
                await self._advance_joining(instance, health)
            case Phase.BAD:
                await self._advance_bad(instance, health)

    async def _advance_draining(
        self, instance: InstanceState, health: MachineHealth
    ) -> None:
        if health.phase == "serving":
            await self.machines.drain(instance.id)
        elif health.phase == "drained" and instance.target:
            await self._change_pool(instance)
        elif health.phase == "drained" and instance.wave:
            rebooting = evolve(
                instance,
                phase=Phase.REBOOTING,
                since=self.clock(),
                boots_before=health.boots,
            )
            if await self.commit([encode_instance(rebooting)]):
                await self.machines.reboot(instance.id)

    async def _change_pool(self, instance: InstanceState) -> None:
        pool = await self.read_pool(instance.pool)
        joining = evolve(
            instance,
            pool=instance.target,
            target="",
            phase=Phase.JOINING,
            since=self.clock(),
        )
        target = await self.read_pool(instance.target)
        operations = [
            encode_pool(remove_member(pool, instance.id)),
            encode_pool(add_joining(target, instance.id)),
            encode_instance(joining),
            bump_members_epoch(instance.id),
        ]
        if await self.commit(operations):
            await self.machines.undrain(instance.id)

    async def _advance_rebooting(
        self, instance: InstanceState, health: MachineHealth
    ) -> None:
        rebooted = health.boots > instance.boots_before
        if rebooted and health.healthy and health.phase == "serving":
            await self._return_to_service(instance, maintained=True)
        elif self.clock() - instance.since > self.health_wait_seconds:
            await self._mark_bad(instance)
        elif rebooted and health.healthy:
            await self.machines.undrain(instance.id)
        elif health.phase == "drained" and not rebooted:
            await self.machines.reboot(instance.id)
        elif health.phase == "serving" and not rebooted:
            # A daemon that read the row earlier has undone the drain.
            await self.machines.drain(instance.id)

    async def _advance_joining(
        self, instance: InstanceState, health: MachineHealth
    ) -> None:
        if not (health.healthy and health.phase == "serving"):
            await self.machines.undrain(instance.id)
            return
        pool = await self.read_pool(instance.pool)
        serving = evolve(instance, phase=Phase.SERVING, since=self.clock())
        await self.commit(
            [
                encode_pool(add_member(pool, instance.id)),
                encode_instance(serving),
                bump_members_epoch(instance.id),
            ]
        )

    async def _advance_bad(
        self, instance: InstanceState, health: MachineHealth
    ) -> None:
        if health.healthy and health.phase == "serving":
            await self._return_to_service(instance, maintained=True)
        elif health.healthy:
            await self.machines.undrain(instance.id)

    async def _return_to_service(
        self, instance: InstanceState, maintained: bool
    ) -> None:
        now = self.clock()
        pool = await self.read_pool(instance.pool)
        serving = evolve(
            instance,
            phase=Phase.SERVING,
            since=now,
            wave="",
            target="",
            maintained_at=now if maintained else instance.maintained_at,
        )
        operations = [
            encode_pool(end_disruption(pool, instance.id)),
            encode_instance(serving),
        ]
        if await self.commit(operations):
            log.info("instance {} is back in service", instance.id)

    async def _mark_bad(self, instance: InstanceState) -> None:
        """Mark an instance as bad and halt its wave after too many of them."""
        operations = [encode_instance(evolve(instance, phase=Phase.BAD))]
        row = await self.table.read(WAVE_PREFIX + instance.wave)
        if row.version:
            operations.append(
                encode_wave(self._record_bad_instance(decode_wave(row), instance))
            )
        if await self.commit(operations):
            log.warning(
                "instance {} did not return healthy from its reboot", instance.id
            )

    def _record_bad_instance(self, wave: Wave, instance: InstanceState) -> Wave:
        bad = tuple(sorted({*wave.bad, instance.id}))
        if len(bad) < self.max_bad or wave.state is not WaveState.RUNNING:
            return evolve(wave, bad=bad)
        reason = f"{len(bad)} instances came back bad: {', '.join(bad)}"
        return evolve(wave, bad=bad, state=WaveState.HALTED, reason=reason)

    async def undo_drain(self, instance: InstanceState) -> None:
        """Undo a planned disruption if the instance is still draining."""
        instance = await self.read_instance(instance.id)
        if instance.phase is not Phase.DRAINING:
            return
        await self.machines.undrain(instance.id)
        health = await self.machines.health(instance.id)
        if health.phase == "serving":
            log.info("drain of instance {} is undone", instance.id)
            await self._return_to_service(instance, maintained=False)


def bump_members_epoch(instance: str) -> Put:
    """Return a write that makes all daemons read the pools' members again."""
    return Put(MEMBERS_KEY, {"instance": instance}, None)


def bump_waves_epoch(wave: str) -> Put:
    """Return a write that makes all daemons read the waves again."""
    return Put(WAVES_KEY, {"wave": wave}, None)
