"""Moves of instances between pools, and their upkeep in waves.

Each instance has at most one plan at a time. A plan reserves its executor, so
that nothing new starts there; lasting work is stopped as its steps can miss
it, and short work ends by itself. The order is sent once nothing runs there.
"""

import time
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs
import trio
from attrs import define, field
from loguru import logger

from hemlockstand.errors import HemlockstandError, OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.capacity import (
    Demand,
    PoolNeed,
    find_capacity,
    measure_demand,
)
from hemlockstand.fleet.eviction import find_stoppable
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.lease import InstanceOrders
from hemlockstand.fleet.ledger import Ledger, Subtask
from hemlockstand.fleet.metrics import INSTANCE_ORDERS
from hemlockstand.fleet.model import FleetConfig, InstanceEntry, InstanceState, Wave
from hemlockstand.fleet.storage import WaveRecord
from hemlockstand.platform.machines import InstanceClient, OrderOutcome

log = logger.bind(module=__name__)

ROUND_SECONDS = 0.2
LIST_SECONDS = 0.8
# Orders of an earlier scheduler may be on their way for this long on top of
# the time between two holders' orders.
EARLIER_ORDER_SECONDS = 2.0
# Short work on a reserved executor is stopped after this, if it keeps its
# progress.
PATIENCE_SECONDS = 2.5
# Part of a pool that may be reserved for upkeep while there is time.
UPKEEP_FRACTION = 0.25
# Time that an instance needs from its reservation to the end of its upkeep,
# beyond the upkeep itself.
CLEAR_SECONDS = 4.0
RETRY_SECONDS = 0.5
STORED_POLL_SECONDS = 0.01
# Clocks of two holders may differ by a few percent.
TURN_MARGIN = 1.1


@define(eq=False)
class Plan:
    """What is to happen to an instance: a move, or upkeep for a wave."""

    instance: str
    pool: str = ""
    wave: int = 0
    planned_at: float = 0.0
    ordering: bool = False
    stored: bool = False


@define(eq=False)
class WaveProgress:
    """How far a wave is; an order is stored before it is sent."""

    wave: Wave
    seen_ms: int
    ordered: set[str] = field(factory=set)
    begun: set[str] = field(factory=set)
    back: set[str] = field(factory=set)
    completed: bool = False
    stored: bool = False

    def make_record(self) -> WaveRecord:
        """Return what is stored of the wave."""
        return WaveRecord(
            self.seen_ms, tuple(sorted(self.ordered)), tuple(sorted(self.begun))
        )


class InstanceHost(Protocol):
    """What the manager asks of the scheduler."""

    executors: dict[str, Executor]
    ledger: Ledger

    @property
    def config(self) -> FleetConfig:
        """The configuration in force."""

    def may_order(self) -> bool:
        """Return whether orders may be given."""

    def stop_run(self, subtask: Subtask) -> None:
        """Stop the run of a subtask."""

    def want_place(self) -> None:
        """Have waiting subtasks placed."""

    def want_commit(self) -> None:
        """Have the progress of waves stored."""


@define(eq=False)
class InstanceManager:
    """Plans and orders; one of the scheduler's tasks."""

    host: InstanceHost
    client: InstanceClient
    holder: str
    fence: int
    clock: Callable[[], float]
    turn_seconds: float
    waves: dict[int, WaveProgress] = field(factory=dict)
    instances: dict[str, InstanceEntry] = field(factory=dict)
    plans: dict[str, Plan] = field(factory=dict)
    _needs: dict[str, PoolNeed] = field(factory=dict)
    _answered: dict[str, float] = field(factory=dict)
    _blocked: dict[str, float] = field(factory=dict)
    _reported: dict[str, tuple[int, int]] = field(factory=dict)
    _listed_at: float = float("-inf")

    async def run(self) -> None:
        """Plan and give orders until the scheduler ends."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(ROUND_SECONDS)
                if not self.host.may_order() or not await self._refresh():
                    continue
                self._plan()
                for plan in list(self.plans.values()):
                    self._advance(plan, nursery)

    def add_wave(self, wave: Wave, record: WaveRecord | None) -> None:
        """Note a wave, with what an earlier scheduler has stored of it."""
        if wave.number in self.waves:
            return
        if record is None:
            record = WaveRecord(int(time.time() * 1000))
        progress = WaveProgress(wave, record.seen_ms)
        progress.begun.update(record.begun)
        progress.ordered.update(record.ordered)
        self.waves[wave.number] = progress
        self.host.want_commit()

    def block(self, orders: InstanceOrders, waited_seconds: float) -> None:
        """Leave alone for a while what an earlier scheduler has ordered.

        ``waited_seconds`` is the time since it can have had an answer.
        """
        now = self.clock()
        until = now + self.turn_seconds - waited_seconds
        self._blocked = dict.fromkeys(orders.answered, until)
        until = now + self.turn_seconds + EARLIER_ORDER_SECONDS
        self._blocked.update(dict.fromkeys(orders.open, until))

    def find_orders(self) -> InstanceOrders:
        """Return the instances that the next scheduler must leave alone.

        An instance is stored here before its first order is sent.
        """
        oldest = self.clock() - self.turn_seconds * TURN_MARGIN
        for name, answered_at in list(self._answered.items()):
            if answered_at < oldest:
                del self._answered[name]
        in_progress = (plan.instance for plan in self.plans.values() if plan.ordering)
        return InstanceOrders(tuple(in_progress), tuple(self._answered))

    def note_stored(self, orders: InstanceOrders) -> None:
        """Note that the next scheduler knows of these orders."""
        for name in orders.open:
            plan = self.plans.get(name)
            if plan is not None:
                plan.stored = True

    async def _refresh(self) -> bool:
        """Read the list if it is old; return whether it is known."""
        if self.clock() - self._listed_at < LIST_SECONDS:
            return bool(self.instances)
        try:
            listed = await self.client.list_instances()
        except HemlockstandError as error:
            log.info("instances not listed", detail=str(error))
            return False
        self._listed_at = self.clock()
        self.instances = {instance.name: instance for instance in listed}
        for progress in self.waves.values():
            self._note_progress(progress)
        return True

    def _note_progress(self, progress: WaveProgress) -> None:
        for name in progress.begun:
            instance = self.instances.get(name)
            if instance is None or instance.state is InstanceState.UP:
                progress.back.add(name)
        done = all(
            name in progress.back or name not in self.instances
            for name in progress.wave.instances
        )
        if done and not progress.completed:
            progress.completed = True
            progress.stored = False
            log.info("wave {} completed", progress.wave.number)
            self.host.want_commit()

    # Plans

    def _plan(self) -> None:
        self._drop_plans()
        self._plan_waves()
        self._plan_moves()

    def _drop_plans(self) -> None:
        """Drop the plans of instances that have gone."""
        for name in list(self.plans):
            if name not in self.instances and not self.plans[name].ordering:
                self._drop(self.plans[name])

    def _drop(self, plan: Plan) -> None:
        self.plans.pop(plan.instance, None)
        executor = self._find_executor(plan.instance)
        if executor is not None and executor.reserved:
            executor.reserved = False
            self.host.want_place()

    def _find_executor(self, name: str) -> Executor | None:
        instance = self.instances.get(name)
        if instance is None or not instance.executor:
            return None
        return self.host.executors.get(instance.executor)

    def _reserve(self, plan: Plan) -> None:
        self.plans[plan.instance] = plan
        executor = self._find_executor(plan.instance)
        if executor is not None:
            executor.reserved = True
        log.info(
            "instance planned",
            instance=plan.instance,
            pool=plan.pool,
            wave=plan.wave,
            runs=0 if executor is None else len(executor.runs),
        )

    # Waves

    def _plan_waves(self) -> None:
        for progress in sorted(self.waves.values(), key=lambda item: item.wave.number):
            if not progress.completed:
                self._plan_wave(progress)

    def _plan_wave(self, progress: WaveProgress) -> None:
        wave = progress.wave
        down = len(progress.ordered | progress.begun) - len(progress.back)
        planned = [
            plan
            for plan in self.plans.values()
            if plan.wave == wave.number and plan.instance not in progress.ordered
        ]
        free = wave.maximum - down - len(planned)
        for instance in self._rank_upkeep(progress):
            if free <= 0:
                return
            if not self._may_reserve(instance, progress):
                continue
            plan = Plan(instance.name, wave=wave.number, planned_at=self.clock())
            self._reserve(plan)
            free -= 1

    def _rank_upkeep(self, progress: WaveProgress) -> list[InstanceEntry]:
        """Return the instances left, those with the least work first."""
        left = [
            self.instances[name]
            for name in progress.wave.instances
            if name in self.instances
            and name not in progress.begun
            and name not in self.plans
            and self.instances[name].state is InstanceState.UP
        ]
        return sorted(left, key=self._weigh)

    def _weigh(self, instance: InstanceEntry) -> tuple[int, int]:
        executor = self._find_executor(instance.name)
        if executor is None:
            return 0, 0
        lasting = sum(1 for other in executor.runs.values() if other.step.lasting)
        return 1 + lasting, executor.used.cpu_millis

    def _may_reserve(self, instance: InstanceEntry, progress: WaveProgress) -> bool:
        """Return whether the pool can miss the instance now.

        Towards the end of the wave's time it must.
        """
        if self._find_executor(instance.name) is None:
            return not instance.executor
        members = [
            other for other in self.instances.values() if other.pool == instance.pool
        ]
        reserved = sum(1 for other in members if other.name in self.plans)
        wave = progress.wave
        left = len(wave.instances) - len(progress.begun)
        rounds = -(-left // max(1, wave.maximum))
        elapsed = time.time() - progress.seen_ms / 1000
        pressed = elapsed + rounds * CLEAR_SECONDS * 2 > wave.duration_s
        fraction = 2 * UPKEEP_FRACTION if pressed else UPKEEP_FRACTION
        return reserved < max(1, int(len(members) * fraction))

    # Moves

    def _plan_moves(self) -> None:
        config = self.host.config
        standby = [pool.name for pool in config.pools.values() if pool.standby]
        if not standby:
            return
        now = self.clock()
        demands = measure_demand(self.host.ledger, config, now)
        capacity = find_capacity(
            executor for executor in self.host.executors.values() if executor.present
        )
        if not capacity.cpu_millis:
            return
        surplus: list[InstanceEntry] = []
        lacking: list[tuple[int, str]] = []
        for pool in config.pools.values():
            if pool.standby:
                continue
            demand = demands.get(pool.name, Demand())
            need = self._needs.setdefault(pool.name, PoolNeed())
            wanted = need.note(now, demand.count_instances(capacity))
            members = self._find_members(pool.name)
            self._report_need(pool.name, len(members), wanted, demand)
            if len(members) > wanted:
                surplus.extend(self._rank_surplus(members)[: len(members) - wanted])
            elif len(members) < wanted:
                lacking.append((wanted - len(members), pool.name))
        for missing, pool in sorted(lacking, reverse=True):
            self._bring_in(pool, missing, surplus, standby)
        for instance in surplus:
            self._plan_move(instance, standby[0])

    def _report_need(
        self, pool: str, members: int, wanted: int, demand: Demand
    ) -> None:
        if self._reported.get(pool) == (members, wanted):
            return
        self._reported[pool] = members, wanted
        log.info(
            "pool needs {} instances",
            wanted,
            pool=pool,
            members=members,
            present_cpu=int(demand.present.cpu_millis),
            arriving_cpu=int(demand.arriving.cpu_millis),
            used_cpu=sum(
                executor.used.cpu_millis
                for executor in self.host.executors.values()
                if executor.entry.pool == pool and executor.present
            ),
        )

    def _find_members(self, pool: str) -> list[InstanceEntry]:
        """Return the instances that a pool has or is about to have."""
        members = []
        for instance in self.instances.values():
            plan = self.plans.get(instance.name)
            if plan is not None:
                # Upkeep takes the instance away for as long as a move.
                if plan.pool == pool:
                    members.append(instance)
            elif instance.pool == pool and self._is_of_use(instance):
                members.append(instance)
        return members

    def _is_of_use(self, instance: InstanceEntry) -> bool:
        """Return whether an instance runs work, or will in a moment."""
        if instance.state is InstanceState.DOWN:
            return False
        executor = self._find_executor(instance.name)
        return executor is None or executor.reachable

    def _rank_surplus(self, members: list[InstanceEntry]) -> list[InstanceEntry]:
        """Return the members that can go, those with the least work first."""
        movable = [
            instance
            for instance in members
            if instance.name not in self.plans
            and instance.state is InstanceState.UP
            and self._is_idle_enough(instance)
        ]
        return sorted(movable, key=self._weigh)

    def _is_idle_enough(self, instance: InstanceEntry) -> bool:
        executor = self._find_executor(instance.name)
        if executor is None:
            return False
        return not executor.entry.draining

    def _bring_in(
        self,
        pool: str,
        missing: int,
        surplus: list[InstanceEntry],
        standby: list[str],
    ) -> None:
        for plan in list(self.plans.values()):
            if missing <= 0:
                return
            instance = self.instances.get(plan.instance)
            if instance is None or plan.wave or plan.ordering:
                continue
            if instance.pool == pool and plan.pool != pool:
                self._drop(plan)
                missing -= 1
        for instance in self._find_sources(surplus, standby):
            if missing <= 0:
                return
            if instance in surplus:
                surplus.remove(instance)
            self._plan_move(instance, pool)
            missing -= 1

    def _find_sources(
        self, surplus: list[InstanceEntry], standby: list[str]
    ) -> Iterator[InstanceEntry]:
        """Yield idle instances, then those on standby.

        Those that cannot be ordered yet, or stand where executors do not
        answer, come last.
        """
        for instance in list(surplus):
            executor = self._find_executor(instance.name)
            if executor is not None and not executor.runs:
                yield instance
        lost = self._count_lost()
        now = self.clock()
        waiting = [
            instance
            for instance in self.instances.values()
            if instance.pool in standby
            and instance.state is InstanceState.UP
            and instance.name not in self.plans
        ]
        yield from sorted(
            waiting,
            key=lambda instance: (
                self._blocked.get(instance.name, 0.0) > now,
                lost.get(instance.data_centre, 0),
            ),
        )

    def _count_lost(self) -> dict[str, int]:
        """Return the executors that do not answer by data centre."""
        counts: dict[str, int] = {}
        for executor in self.host.executors.values():
            if executor.present and not executor.reachable:
                data_centre = executor.entry.data_centre
                counts[data_centre] = counts.get(data_centre, 0) + 1
        return counts

    def _plan_move(self, instance: InstanceEntry, pool: str) -> None:
        self._reserve(Plan(instance.name, pool=pool, planned_at=self.clock()))

    # Orders

    def _advance(self, plan: Plan, nursery: trio.Nursery) -> None:
        """Clear the instance, and order once nothing runs there."""
        if plan.ordering:
            return
        executor = self._find_executor(plan.instance)
        instance = self.instances.get(plan.instance)
        if instance is None:
            return
        if executor is None and instance.executor:
            # The list is older than the executor's entry, or the other way.
            return
        if executor is not None:
            executor.reserved = True
            if not executor.settled or not executor.reachable:
                return
            if executor.runs:
                self._clear(executor, plan)
                return
        if self._blocked.get(plan.instance, 0.0) > self.clock():
            return
        plan.ordering = True
        nursery.start_soon(self._order, plan, instance)

    def _clear(self, executor: Executor, plan: Plan) -> None:
        now = self.clock()
        for subtask in find_stoppable(executor, self.host.executors, now):
            self.host.stop_run(subtask)
        if now - plan.planned_at < PATIENCE_SECONDS:
            return
        for subtask in list(executor.runs.values()):
            if subtask.step.checkpoints and not subtask.step.gang:
                self.host.stop_run(subtask)

    async def _order(self, plan: Plan, instance: InstanceEntry) -> None:
        """Repeat an order until the platform says what came of it."""
        progress = self.waves.get(plan.wave)
        if progress is not None:
            progress.ordered.add(plan.instance)
            progress.stored = False
        plan.stored = False
        self.host.want_commit()
        while not plan.stored or not (progress is None or progress.stored):
            await trio.sleep(STORED_POLL_SECONDS)
        while self.host.may_order():
            try:
                outcome = await self._send(plan)
            except (PlatformUnavailable, OutcomeUnknown) as error:
                log.info("order failed", instance=plan.instance, detail=str(error))
                await trio.sleep(RETRY_SECONDS)
                continue
            self._note_outcome(plan, instance, outcome, progress)
            return
        plan.ordering = False

    async def _send(self, plan: Plan) -> OrderOutcome:
        if plan.wave:
            return await self.client.maintain(
                plan.instance, plan.wave, self.holder, self.fence
            )
        return await self.client.move(plan.instance, plan.pool, self.holder, self.fence)

    def _note_outcome(
        self,
        plan: Plan,
        instance: InstanceEntry,
        outcome: OrderOutcome,
        progress: WaveProgress | None,
    ) -> None:
        self._answered[plan.instance] = self.clock()
        kind = "upkeep" if plan.wave else "move"
        INSTANCE_ORDERS.labels(kind, outcome.value).inc()
        log.info(
            "instance ordered",
            instance=plan.instance,
            kind=kind,
            pool=plan.pool,
            wave=plan.wave,
            fence=self.fence,
            outcome=outcome.value,
        )
        executor = self._find_executor(plan.instance)
        if outcome is OrderOutcome.TAKEN:
            self._listed_at = float("-inf")
            if executor is not None:
                executor.present = False
            if progress is not None:
                progress.begun.add(plan.instance)
                progress.stored = False
                self.host.want_commit()
            self.plans.pop(plan.instance, None)
            self._mark_changing(plan, instance)
            return
        if progress is not None:
            progress.ordered.discard(plan.instance)
        plan.ordering = False
        if outcome is OrderOutcome.REFUSED or plan.pool:
            self._drop(plan)

    def _mark_changing(self, plan: Plan, instance: InstanceEntry) -> None:
        """Show the order in the list until it is read again."""
        state = InstanceState.UPKEEP if plan.wave else InstanceState.MOVING
        pool = plan.pool or instance.pool
        self.instances[plan.instance] = attrs.evolve(
            instance, state=state, pool=pool, executor=""
        )
