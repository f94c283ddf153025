"""In-process stand-in for the platform's machines."""

from collections.abc import Callable

import attrs
import trio
from attrs import define, field, frozen

from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.model import InstanceEntry, InstanceState
from hemlockstand.platform.machines import LeaseHolder, OrderOutcome


@frozen
class RecordedOrder:
    """An order for an instance and its outcome, kept for tests."""

    at: float
    instance: str
    kind: str
    holder: str
    fence: int
    outcome: OrderOutcome


@define(eq=False)
class InstanceModel:
    """Instances that move between pools and get upkeep.

    ``leave`` is called when the executor of an instance ends; ``join`` starts
    a new one on an instance and returns its id. A change takes
    ``change_seconds``. Instances in the pool ``standby`` have no executor.
    ``maintained`` holds the instances that got upkeep, by wave.
    """

    leave: Callable[[str], None]
    join: Callable[[InstanceEntry], str]
    change_seconds: float = 1.5
    standby: str = "standby"
    instances: dict[str, InstanceEntry] = field(factory=dict)
    maintained: dict[int, list[str]] = field(factory=dict)
    orders: list[RecordedOrder] = field(factory=list)
    _ready_at: dict[str, float] = field(factory=dict)

    def advance(self) -> None:
        """Bring back into service the instances whose change is over."""
        for name, ready_at in list(self._ready_at.items()):
            if ready_at > trio.current_time():
                continue
            del self._ready_at[name]
            instance = self.instances[name]
            executor = "" if instance.pool == self.standby else self.join(instance)
            self.instances[name] = attrs.evolve(
                instance, state=InstanceState.UP, executor=executor
            )

    def change(self, name: str, state: InstanceState, pool: str) -> OrderOutcome:
        """Begin a change, during which the instance is out of service."""
        self.advance()
        instance = self.instances.get(name)
        if instance is None:
            return OrderOutcome.REFUSED
        if instance.state is not InstanceState.UP:
            return OrderOutcome.BUSY
        if instance.executor:
            self.leave(instance.executor)
        self.instances[name] = attrs.evolve(
            instance, state=state, pool=pool, executor=""
        )
        self._ready_at[name] = trio.current_time() + self.change_seconds
        return OrderOutcome.ACCEPTED

    def fail(self, name: str, seconds: float) -> None:
        """Take an instance that is up out of service for ``seconds``."""
        self.advance()
        instance = self.instances[name]
        if instance.state is not InstanceState.UP or not instance.executor:
            return
        self.leave(instance.executor)
        self.instances[name] = attrs.evolve(
            instance, state=InstanceState.DOWN, executor=""
        )
        self._ready_at[name] = trio.current_time() + seconds

    def count_in_upkeep(self, wave: int) -> int:
        """Return how many instances of a wave are in upkeep now."""
        self.advance()
        return sum(
            1
            for name in self.maintained.get(wave, ())
            if self.instances[name].state is InstanceState.UPKEEP
        )


@define(eq=False)
class InstanceAccess:
    """One daemon's client of the machines, as ``InstanceClient``.

    Lists omit the ``hidden`` instances. While ``closed``, all calls fail.
    ``lost_answers`` is the number of coming orders that are carried out but
    not answered. A list is answered ``list_answer_seconds`` after it was read.
    An order is carried out after ``order_seconds`` and answered
    ``order_answer_seconds`` later. ``unreadable`` is the number of entries that
    a list has left out.
    """

    model: InstanceModel
    closed: bool = False
    lost_answers: int = 0
    call_seconds: float = 0.005
    list_answer_seconds: float = 0.0
    order_seconds: float = 0.0
    order_answer_seconds: float = 0.0
    hidden: set[str] = field(factory=set)
    unreadable: int = 0

    async def _reach(self) -> None:
        await trio.sleep(self.call_seconds)
        if self.closed:
            raise PlatformUnavailable("the machines do not answer")

    async def list_instances(self) -> list[InstanceEntry]:
        """Return all instances that are not hidden."""
        await self._reach()
        self.model.advance()
        listed = [
            entry
            for name, entry in self.model.instances.items()
            if name not in self.hidden
        ]
        await trio.sleep(self.list_answer_seconds)
        return listed

    async def move(self, instance: str, pool: str, holder: LeaseHolder) -> OrderOutcome:
        """Move an instance to a pool; accepted if it is already there."""
        await self._reach()
        await trio.sleep(self.order_seconds)
        known = self.model.instances.get(instance)
        if known is not None and known.pool == pool:
            outcome = OrderOutcome.ACCEPTED
        else:
            outcome = self.model.change(instance, InstanceState.MOVING, pool)
        return await self._answer(instance, "move", holder, outcome)

    async def maintain(
        self, instance: str, wave: int, holder: LeaseHolder
    ) -> OrderOutcome:
        """Start the upkeep of an instance; accepted again within a wave."""
        await self._reach()
        await trio.sleep(self.order_seconds)
        done = self.model.maintained.setdefault(wave, [])
        if instance in done:
            outcome = OrderOutcome.ACCEPTED
        else:
            known = self.model.instances.get(instance)
            pool = "" if known is None else known.pool
            outcome = self.model.change(instance, InstanceState.UPKEEP, pool)
            if outcome is OrderOutcome.ACCEPTED:
                done.append(instance)
        return await self._answer(instance, "upkeep", holder, outcome)

    async def _answer(
        self, instance: str, kind: str, holder: LeaseHolder, outcome: OrderOutcome
    ) -> OrderOutcome:
        order = RecordedOrder(
            trio.current_time(), instance, kind, holder.name, holder.fence, outcome
        )
        self.model.orders.append(order)
        await trio.sleep(self.order_answer_seconds)
        if self.lost_answers:
            self.lost_answers -= 1
            raise OutcomeUnknown("the answer was lost")
        return outcome

    async def close(self) -> None:
        """Do nothing, as there is no connection."""
