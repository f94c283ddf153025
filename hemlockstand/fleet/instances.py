"""Moves of instances between pools, and their maintenance in waves.

Each instance has at most one plan at a time. A plan reserves the instance's
executor, so that nothing new starts there. Lasting subtasks are stopped as far
as their steps' ``max_unavailable`` permits, and short ones end by themselves.
The order is sent once nothing runs there.
"""

from collections.abc import Callable, Iterable

import attrs
import trio
from attrs import define, field
from loguru import logger

from hemlockstand.errors import HemlockstandError, OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.copies import is_ahead
from hemlockstand.fleet.eviction import find_stoppable
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.lease import InstanceOrders
from hemlockstand.fleet.metrics import INSTANCE_ORDERS
from hemlockstand.fleet.model import InstanceEntry, InstanceState
from hemlockstand.fleet.moves import MovePlanner
from hemlockstand.fleet.plans import InstancePlans, Plan
from hemlockstand.fleet.restarts import RestartRooms
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.waves import WavePlanner, WaveProgress
from hemlockstand.platform.machines import InstanceClient, LeaseHolder, OrderOutcome

log = logger.bind(module=__name__)

ROUND_SECONDS = 0.2
LIST_SECONDS = 0.8
# Orders of a previous scheduler may be in flight for this long, in addition to
# the required time between two holders' orders.
PREVIOUS_ORDER_SECONDS = 2.0
# Short subtasks that keep their progress (``checkpoints``) are stopped on a
# reserved executor after this time.
SHORT_RUN_WAIT_SECONDS = 2.5
RETRY_SECONDS = 0.5
STORED_POLL_SECONDS = 0.01
# Clocks of two holders may differ by a few percent.
ORDER_INTERVAL_FACTOR = 1.1
# Factor on the waits for orders of previous schedulers: this holder's clock, and
# those by which the lease's time went on, may run 1% faster than the platform's.
BLOCK_FACTOR = 1.02


@define(eq=False)
class InstanceManager:
    """Plans moves and maintenance of instances, and sends the orders."""

    state: SchedulerState
    client: InstanceClient
    fence: int
    stop_run: Callable[..., None]
    plans: InstancePlans = field(init=False)
    waves: WavePlanner = field(init=False)
    _moves: MovePlanner = field(init=False)
    _answered: dict[str, float] = field(factory=dict)
    _unanswered: dict[str, float] = field(factory=dict)
    _blocked: dict[str, float] = field(factory=dict)
    _block_ends_ms: dict[str, int] = field(factory=dict)  # in the lease's time
    _listed_at: float = float("-inf")
    # Rooms for the runs that are stopped in this round, once one may be.
    _rooms: RestartRooms | None = None

    def __attrs_post_init__(self) -> None:
        self.plans = InstancePlans(self.state)
        self.waves = WavePlanner(self.plans)
        self._moves = MovePlanner(self.plans, self._is_blocked)

    @property
    def order_interval_seconds(self) -> float:
        """Required time between the orders of two holders for one instance."""
        return self.state.settings.bounds.order_turn_ms / 1000

    def _is_blocked(self, instance: str) -> bool:
        return self._blocked.get(instance, 0.0) > self.state.clock()

    async def run(self) -> None:
        """Plan and give orders until the scheduler ends."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(ROUND_SECONDS)
                if not self.state.may_order() or not await self._refresh():
                    continue
                self.plans.drop_gone()
                self.waves.plan()
                self._moves.plan()
                self._rooms = None
                for plan in list(self.plans.current.values()):
                    self._advance(plan, nursery)

    def block(self, orders: InstanceOrders, waited_seconds: float) -> None:
        """Block instances for which previous schedulers have sent orders.

        ``waited_seconds`` is the time since the latest renewal of the last one's
        lease, after which it cannot have stored an answer.
        """
        lease = self.state.lease
        for name, end_ms in orders.blocked.items():
            self._add_block(name, lease.find_local_time(end_ms), end_ms)
        interval = self.order_interval_seconds * BLOCK_FACTOR
        self._block_all(orders.answered, orders, interval, interval - waited_seconds)
        longest = interval + PREVIOUS_ORDER_SECONDS * BLOCK_FACTOR
        self._block_all(orders.open, orders, longest, longest)

    def _block_all(
        self,
        names: Iterable[str],
        orders: InstanceOrders,
        seconds: float,
        left_seconds: float,
    ) -> None:
        """Block instances for a time from when their scheduler was replaced.

        ``left_seconds`` is the rest if it was the last one.
        """
        lease = self.state.lease
        until = self.state.clock() + left_seconds
        end_ms = lease.find_time_ms(until) + 1
        if orders.replaced_ms is not None and orders.replaced_ms < lease.acquired_ms:
            stored_ms = orders.replaced_ms + int(seconds * 1000) + 1
            if lease.find_local_time(stored_ms) < until:
                until, end_ms = lease.find_local_time(stored_ms), stored_ms
        for name in names:
            self._add_block(name, until, end_ms)

    def _add_block(self, name: str, until: float, end_ms: int) -> None:
        if name not in self._blocked or self._blocked[name] < until:
            self._blocked[name] = until
            self._block_ends_ms[name] = end_ms

    def find_orders(self) -> InstanceOrders:
        """Return the instances that the next scheduler has to block.

        They are stored with the lease before an order is first sent.
        """
        interval = self.order_interval_seconds
        self._answered = self._find_recent(self._answered, interval)
        self._unanswered = self._find_recent(
            self._unanswered, interval + PREVIOUS_ORDER_SECONDS
        )
        ordering = (
            plan.instance for plan in self.plans.current.values() if plan.ordering
        )
        # An order without an answer is not repeated while the lease is not valid.
        in_progress = tuple({**dict.fromkeys(ordering), **self._unanswered})
        blocked = {
            name: end_ms
            for name, end_ms in self._block_ends_ms.items()
            if self._is_blocked(name) and name not in in_progress
        }
        return InstanceOrders(in_progress, tuple(self._answered), blocked)

    def _find_recent(self, times: dict[str, float], seconds: float) -> dict[str, float]:
        """Return the times that are at most about ``seconds`` ago."""
        oldest = self.state.clock() - seconds * ORDER_INTERVAL_FACTOR
        return {name: at for name, at in times.items() if at >= oldest}

    def mark_stored(self, orders: InstanceOrders) -> None:
        """Mark the plans whose orders the next scheduler can read."""
        for name in orders.open:
            plan = self.plans.current.get(name)
            if plan is not None:
                plan.stored = True

    async def _refresh(self) -> bool:
        """Read the list if it is old; return whether there is one."""
        if self.state.clock() - self._listed_at < LIST_SECONDS:
            return bool(self.plans.instances)
        began_at = self.state.clock()
        try:
            listed = await self.client.list_instances()
        except HemlockstandError as error:
            log.info("instance list could not be read", detail=str(error))
            return False
        ended_at = self.state.clock()
        log.info(
            "instances listed",
            instances=len(listed),
            read_began=round(began_at, 3),
            read_ended=round(ended_at, 3),
            ordered_meanwhile=sorted(
                name
                for name, answered_at in self._answered.items()
                if answered_at >= began_at
            ),
        )
        recent = self.plans.apply_list(listed, began_at)
        self.plans.unreadable = self.client.unreadable
        self._listed_at = ended_at if recent else float("-inf")
        self.waves.update_instances()
        return True

    def _advance(self, plan: Plan, nursery: trio.Nursery) -> None:
        """Stop runs on the instance, or send the order if there are none."""
        if plan.ordering:
            return
        instance = self.plans.instances.get(plan.instance)
        if instance is None:
            return
        executor = self.plans.reserve_executor(plan)
        if executor is None and instance.executor:
            # Either the list of instances or that of executors is out of date.
            return
        if executor is not None:
            if not executor.reconciled or not executor.reachable:
                return
            if executor.runs:
                self._stop_remaining_runs(executor, plan)
                return
        if self._is_blocked(plan.instance):
            return
        plan.ordering = True
        plan.born_ms = None if executor is None else executor.born_ms
        nursery.start_soon(self._order, plan, instance)

    def _stop_remaining_runs(self, executor: Executor, plan: Plan) -> None:
        now = self.state.clock()
        known = now > self.state.previous_stops_end
        for subtask in find_stoppable(
            executor, self.state.executors, now, known, self.state.config
        ):
            self._rooms = self._rooms or RestartRooms(self.state)
            if self._rooms.take(subtask):
                self.stop_run(subtask)
        if now - plan.planned_at < SHORT_RUN_WAIT_SECONDS:
            return
        for subtask in list(executor.runs.values()):
            step, run = subtask.step, subtask.find_run(executor.id)
            if run is not None and is_ahead(subtask, run, now):
                continue
            if step.checkpoints and not step.gang and not step.lasting:
                self.stop_run(subtask, executor)

    async def _order(self, plan: Plan, instance: InstanceEntry) -> None:
        """Repeat an order until its outcome is known."""
        progress = self.waves.waves.get(plan.wave)
        if progress is not None:
            if plan.instance in progress.ordered:
                plan.unanswered = True
            progress.ordered.add(plan.instance)
            progress.stored = False
        plan.stored = False
        self.state.request_commit()
        while not plan.stored or not (progress is None or progress.stored):
            await trio.sleep(STORED_POLL_SECONDS)
        while self.state.may_order():
            if self._is_revoked(plan, instance):
                log.info("move into a pool is dropped", instance=plan.instance)
                plan.ordering = False
                self.plans.drop(plan)
                return
            sent_at = self.state.clock()
            try:
                outcome = await self._send(plan)
            except (PlatformUnavailable, OutcomeUnknown) as error:
                if isinstance(error, OutcomeUnknown):
                    plan.unanswered = True
                    self._unanswered[plan.instance] = self.state.clock()
                log.info(
                    "order for an instance failed; it is repeated",
                    instance=plan.instance,
                    detail=str(error),
                )
                await trio.sleep(RETRY_SECONDS)
                continue
            self._handle_outcome(plan, instance, outcome, progress, sent_at)
            return
        plan.ordering = False

    def _is_revoked(self, plan: Plan, instance: InstanceEntry) -> bool:
        """Return whether an evacuation forbids a move that is not begun.

        An order without an answer may be carried out yet, and is repeated.
        """
        pool = self.state.config.pools.get(plan.pool)
        return (
            pool is not None
            and not pool.standby
            and not plan.unanswered
            and instance.data_centre in self.state.config.evacuated
        )

    async def _send(self, plan: Plan) -> OrderOutcome:
        holder = LeaseHolder(
            self.state.settings.daemon.name, self.fence, self.state.may_order
        )
        if plan.wave:
            return await self.client.maintain(plan.instance, plan.wave, holder)
        return await self.client.move(plan.instance, plan.pool, holder)

    def _handle_outcome(
        self,
        plan: Plan,
        instance: InstanceEntry,
        outcome: OrderOutcome,
        progress: WaveProgress | None,
        sent_at: float,
    ) -> None:
        self._answered[plan.instance] = self.state.clock()
        self._unanswered.pop(plan.instance, None)
        kind = "upkeep" if plan.wave else "move"
        INSTANCE_ORDERS.labels(kind, outcome.value).inc()
        log.info(
            "order for an instance answered",
            instance=plan.instance,
            kind=kind,
            pool=plan.pool,
            wave=plan.wave,
            fence=self.fence,
            outcome=outcome.value,
            sent=round(sent_at, 3),
            answered=round(self._answered[plan.instance], 3),
        )
        if outcome is OrderOutcome.ACCEPTED:
            self._listed_at = float("-inf")
            self._drop_executor(plan)
            if progress is not None:
                progress.begun.add(plan.instance)
                progress.stored = False
                self.state.request_commit()
            self.plans.current.pop(plan.instance, None)
            self._mark_changing(plan, instance)
            return
        refused = outcome is OrderOutcome.REFUSED
        # An earlier attempt that got no answer may still be carried out once
        # the instance is no longer busy.
        if progress is not None and (refused or not plan.unanswered):
            progress.ordered.discard(plan.instance)
        plan.ordering = False
        if refused or plan.pool:
            self.plans.drop(plan)

    def _drop_executor(self, plan: Plan) -> None:
        """Remove the executor that an accepted order has ended.

        Its name leaves the store, so that no scheduler waits for its answer
        after a takeover. After an attempt without an answer, or a restart, the
        order may have been carried out before this executor, or its present
        lifetime, began. It is then kept, and gets no runs before it answers.
        """
        executor = plan.executor
        if executor is None:
            return
        executor.reserved = False
        if plan.unanswered or executor.runs or executor.born_ms != plan.born_ms:
            executor.reconciled = False
            executor.wake()
            return
        executor.close()
        if self.state.executors.get(executor.id) is executor:
            del self.state.executors[executor.id]
        self.state.request_commit()

    def _mark_changing(self, plan: Plan, instance: InstanceEntry) -> None:
        """Apply the order to the known list."""
        state = InstanceState.UPKEEP if plan.wave else InstanceState.MOVING
        pool = plan.pool or instance.pool
        self.plans.change(attrs.evolve(instance, state=state, pool=pool, executor=""))
