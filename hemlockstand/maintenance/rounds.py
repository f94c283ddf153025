"""Rounds of maintenance of one pool, written straight down."""

from collections.abc import Callable, Iterable, Mapping

from attrs import define, evolve, field

from hemlockstand.maintenance.budgets import choose_recalls, find_unavailable
from hemlockstand.maintenance.records import (
    INSTANCE_PREFIX,
    InstanceState,
    Phase,
    PoolState,
    Wave,
    add_member,
    decode_instance,
    encode_instance,
    encode_pool,
    remove_member,
)
from hemlockstand.maintenance.steps import InstanceSteps, mark_members
from hemlockstand.maintenance.waves import choose_next
from hemlockstand.model import Pool
from hemlockstand.platform.interface import InstanceKind, InstanceRecord, Operation

GONE_SECONDS = 60.0  # absence from the list after which a member is removed
ADOPT_BATCH = 50  # instances adopted in one transaction


@define
class MaintenanceRounds:
    """Steps pools; ``list_records`` returns the instance list by name."""

    steps: InstanceSteps
    list_records: Callable[[], Mapping[str, InstanceRecord]]
    _absent_since: dict[str, float] = field(factory=dict)

    async def step_pool(self, pool: Pool, waves: Iterable[Wave]) -> PoolState:
        """Take one step for each instance of the pool that needs one.

        Returns the pool as it is afterwards.

        Raises ``PlatformUnavailable``; nothing is disrupted then.
        """
        state = await self.steps.read_pool(pool.name)
        state = await self._adopt(pool, state)
        rolling = [wave for wave in waves if pool.name in wave.pools]
        if not (state.disruptions or state.joining or rolling):
            return state
        instances = await self.read_instances(state)
        for instance in instances.values():
            if instance.phase is not Phase.SERVING:
                await self.steps.advance(instance)
        await self._recall_excess(state, instances)
        for wave in rolling:
            await self._step_wave(wave, pool.name)
        return await self.steps.read_pool(pool.name)

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

    async def _adopt(self, pool: Pool, state: PoolState) -> PoolState:
        """Bring the pool's row in line with the configuration and the list.

        New instances are added under the pool that the platform made them
        for; members that have long been gone are removed.
        """
        changed = evolve(state, budget=pool.budget)
        operations: list[Operation] = []
        for record in await self._find_new(pool, state):
            changed = add_member(changed, record.id)
            fresh = InstanceState(record.id, pool.name, since=self.steps.clock())
            operations.append(encode_instance(fresh))
        for name in self._find_gone(state):
            changed = remove_member(changed, name)
        if changed == state:
            return state
        operations.append(encode_pool(changed))
        if changed.members != state.members:
            operations.append(mark_members(pool.name))
        await self.steps.commit(operations)
        return await self.steps.read_pool(pool.name)

    async def _find_new(self, pool: Pool, state: PoolState) -> list[InstanceRecord]:
        listed = [
            record
            for record in self.list_records().values()
            if record.pool == pool.name
            and record.kind is not InstanceKind.ENTRY
            and record.id not in state.members
        ][:ADOPT_BATCH]
        keys = [INSTANCE_PREFIX + record.id for record in listed]
        rows = await self.steps.table.read_many(keys) if keys else []
        return [
            record for record, row in zip(listed, rows, strict=True) if row.version == 0
        ]

    def _find_gone(self, state: PoolState) -> list[str]:
        now = self.steps.clock()
        records = self.list_records()
        absent = {name for name in state.members if name not in records}
        for name in absent:
            self._absent_since.setdefault(name, now)
        for name in set(state.members) - absent:
            self._absent_since.pop(name, None)
        return [
            name for name in absent if now - self._absent_since[name] > GONE_SECONDS
        ]

    async def _recall_excess(
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
        for instance in newest[: choose_recalls(state, unavailable)]:
            await self.steps.recall(instance)

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
