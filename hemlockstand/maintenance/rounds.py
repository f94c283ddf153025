"""Maintenance rounds of a pool."""

from collections.abc import Callable, Iterable, Mapping

from attrs import define, evolve, field
from loguru import logger

from hemlockstand.errors import HemlockstandError, PlatformUnavailable
from hemlockstand.maintenance.budgets import count_excess_drains, find_unavailable
from hemlockstand.maintenance.records import (
    INSTANCE_PREFIX,
    InstanceState,
    Phase,
    PoolState,
    Wave,
    add_joining,
    add_member,
    decode_instance,
    encode_instance,
    encode_pool,
    remove_member,
)
from hemlockstand.maintenance.steps import InstanceSteps, bump_members_epoch
from hemlockstand.maintenance.waves import choose_next
from hemlockstand.model import Pool
from hemlockstand.platform.interface import InstanceKind, InstanceRecord, Operation

log = logger.bind(module=__name__)

ABSENCE_LIMIT_SECONDS = 60.0  # absence from the list after which a member is removed
MAX_ADDED_INSTANCES = 50  # instances added in one transaction


@define
class MaintenanceRounds:
    """Runs maintenance steps; ``list_records`` returns instances by name."""

    steps: InstanceSteps
    list_records: Callable[[], Mapping[str, InstanceRecord]]
    _absent_since: dict[str, float] = field(factory=dict)

    async def step_pool(self, pool: Pool, waves: Iterable[Wave]) -> PoolState:
        """Advance each instance that needs it by a step; return the new state.

        Raises ``PlatformUnavailable``; nothing is disrupted then.
        """
        state = await self.steps.read_pool(pool.name)
        state = await self._reconcile_members(pool, state)
        pool_waves = [wave for wave in waves if pool.name in wave.pools]
        if not (state.disruptions or state.joining or pool_waves):
            return state
        instances = await self.read_instances(state)
        for instance in instances.values():
            if instance.phase is not Phase.SERVING:
                await self._advance(instance)
        await self._undo_excess_drains(state, instances)
        for wave in pool_waves:
            await self._step_wave(wave, pool.name)
        return await self.steps.read_pool(pool.name)

    async def _advance(self, instance: InstanceState) -> None:
        """Take the next step of an instance.

        The platform refuses an instance that was replaced, which must not
        block the other instances of its pool.
        """
        try:
            await self.steps.advance(instance)
        except PlatformUnavailable:
            raise
        except HemlockstandError as error:
            log.info("maintenance step of instance {} failed: {}", instance.id, error)

    async def read_instances(self, state: PoolState) -> dict[str, InstanceState]:
        """Return the rows of the members and of those that are joining."""
        names = [*state.members, *state.joining]
        rows = await self.steps.table.read_many([INSTANCE_PREFIX + n for n in names])
        found = (
            decode_instance(name, row)
            for name, row in zip(names, rows, strict=True)
            if row.version
        )
        return {entry.id: entry for entry in found if entry.pool == state.name}

    async def _reconcile_members(self, pool: Pool, state: PoolState) -> PoolState:
        """Reconcile the pool's row with the configuration and instance list.

        New instances are added to the pool that the platform created them
        for. Members that have been absent from the list for longer than
        ``ABSENCE_LIMIT_SECONDS`` are removed.
        """
        changed = evolve(state, budget=pool.budget)
        operations: list[Operation] = []
        for instance in await self._find_new(pool, state):
            if instance.version == 0:
                changed = add_member(changed, instance.id)
            else:
                changed = add_joining(changed, instance.id)
            operations.append(encode_instance(instance))
        for name in self._find_absent(state):
            changed = remove_member(changed, name)
        if changed == state:
            return state
        operations.append(encode_pool(changed))
        if changed.members != state.members:
            operations.append(bump_members_epoch(pool.name))
        await self.steps.commit(operations)
        return await self.steps.read_pool(pool.name)

    async def _find_new(self, pool: Pool, state: PoolState) -> list[InstanceState]:
        """Return listed instances that belong to the pool and are not in it.

        An instance that was removed and came back joins again, because it may
        still be drained. Its row is the only record of a move to another pool.
        """
        now = self.steps.clock()
        listed = [
            record
            for record in self.list_records().values()
            if record.pool == pool.name
            and record.kind is not InstanceKind.ENTRY
            and record.id not in (*state.members, *state.joining)
        ][:MAX_ADDED_INSTANCES]
        keys = [INSTANCE_PREFIX + record.id for record in listed]
        rows = await self.steps.table.read_many(keys) if keys else []
        found = (
            decode_instance(record.id, row)
            for record, row in zip(listed, rows, strict=True)
        )
        return [
            _enter_pool(instance, pool.name, now)
            for instance in found
            if instance.version == 0 or instance.pool == pool.name
        ]

    def _find_absent(self, state: PoolState) -> list[str]:
        now = self.steps.clock()
        records = self.list_records()
        known = {*state.members, *state.joining}
        absent = {name for name in known if name not in records}
        for name in absent:
            self._absent_since.setdefault(name, now)
        for name in known - absent:
            self._absent_since.pop(name, None)
        return [
            name
            for name in absent
            if now - self._absent_since[name] > ABSENCE_LIMIT_SECONDS
        ]

    async def _undo_excess_drains(
        self, state: PoolState, instances: Mapping[str, InstanceState]
    ) -> None:
        draining = [
            entry for entry in instances.values() if entry.phase is Phase.DRAINING
        ]
        if not draining:
            return
        health = await self.steps.read_health(state.members)
        unavailable = find_unavailable(state, self.list_records(), health)
        newest = sorted(draining, key=lambda entry: entry.since, reverse=True)
        for instance in newest[: count_excess_drains(state, unavailable)]:
            await self.steps.undo_drain(instance)

    async def _step_wave(self, wave: Wave, name: str) -> None:
        state = await self.steps.read_pool(name)
        instances = await self.read_instances(state)
        for instance in choose_next(wave, state, instances, self.list_records()):
            reason = f"wave {wave.id}"
            begun = await self.steps.disrupt(
                state, instances[instance], self.list_records(), reason, wave=wave.id
            )
            if not begun:
                return
            state = await self.steps.read_pool(name)


def _enter_pool(instance: InstanceState, pool: str, now: float) -> InstanceState:
    """Return the row of an instance that enters a pool, new or again."""
    if instance.version == 0:
        return InstanceState(instance.id, pool, since=now)
    return evolve(instance, phase=Phase.JOINING, since=now, wave="", target="")
