"""Waves while lists and orders are answered late, on virtual time."""

from itertools import pairwise

import pytest
import trio
from attrs import define, evolve, field
from loguru import logger

from emulator.fleet_executors import SubtaskBehaviour
from emulator.fleet_instances import InstanceAccess
from hemlockstand.errors import OutcomeUnknown
from hemlockstand.fleet.model import InstanceState, Resources, Step
from hemlockstand.fleet.split_rows import decode_waves
from hemlockstand.fleet.storage import WaveRecord
from hemlockstand.platform.machines import LeaseHolder, OrderOutcome
from hemlockstand.platform.rows import StoredRow
from test.fleet_world import LASTING, add_wave, open_world, read_status


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


@pytest.mark.parametrize("order_seconds", [0.0, 0.45, 1.2])
async def test_list_read_before_an_order_ends_no_maintenance(clock, order_seconds):
    """Guards against an old list that counts an instance as returned.

    Each list is answered 0.3 s after it was read, so an order may be accepted
    in between.
    """
    async with open_world() as world:
        world.add_instances("pool", 8)
        names = list(world.instances.instances)
        add_wave(world, names, maximum=2, seconds=12.0)
        daemon = world.start_daemon("a")
        daemon.instances.list_answer_seconds = 0.3
        daemon.instances.order_seconds = order_seconds
        most = 0
        while "completed" not in read_status(world):
            most = max(most, world.instances.count_in_upkeep(1))
            await trio.sleep(0.01)
        assert most == 2
        assert sorted(world.instances.maintained[1]) == sorted(names)
        assert world.instances.count_in_upkeep(1) == 0


@pytest.mark.parametrize("order_seconds", [0.0, 0.9])
async def test_list_read_before_an_order_moves_no_instance_twice(clock, order_seconds):
    """Guards against an old list that shows a moved instance in its old pool."""
    async with open_world() as world:
        world.add_instances("pool", 2)
        world.add_instances("standby", 8)
        daemon = world.start_daemon("a")
        daemon.instances.list_answer_seconds = 0.3
        daemon.instances.order_seconds = order_seconds
        await trio.sleep(2)
        size = Resources(9000, 512)
        work = SubtaskBehaviour(LASTING, size=size)
        job = world.submit(Step(8, size, lasting=True), work=work)
        await world.wait_for(lambda: len(world.find_running(job)) == 8, 20)
        await trio.sleep(2)
        ordered = [order.instance for order in world.instances.orders]
        assert len(ordered) >= 6
        assert len(ordered) == len(set(ordered))


async def test_next_scheduler_knows_which_instances_have_returned(clock):
    """Guards against a wave that waits for an instance that was maintained.

    It fails after its maintenance, and then the scheduler is killed.
    """
    async with open_world() as world:
        world.add_instances("pool", 3)
        names = list(world.instances.instances)
        first = world.start_daemon("a")
        await trio.sleep(1)
        world.start_daemon("b")
        add_wave(world, names, maximum=1)

        def find_returned() -> set[str]:
            return first.leader._instances.waves.waves[1].returned

        await world.wait_for(lambda: world.instances.maintained.get(1), 10)
        await world.wait_for(find_returned, 10)
        (name,) = find_returned()
        await trio.sleep(0.5)
        instance = world.instances.instances[name]
        world.instances.instances[name] = evolve(
            instance, state=InstanceState.DOWN, executor=""
        )
        world.kill(first)
        await world.wait_for(lambda: "completed" in read_status(world), 40)
        assert sorted(world.instances.maintained[1]) == sorted(names)


async def test_completed_wave_stays_completed(clock):
    """Guards against the status ``running`` after ``completed``."""
    async with open_world() as world:
        world.add_instances("pool", 3)
        names = list(world.instances.instances)
        add_wave(world, [*names[:2], "m-gone"], maximum=1)
        first = world.start_daemon("a")
        await world.wait_for(lambda: "completed" in read_status(world), 25)
        world.start_daemon("b")
        await trio.sleep(0.5)
        world.kill(first)
        await world.wait_for(lambda: world.lease_holder() == "b", 10)
        for _ in range(100):
            assert "completed" in read_status(world)
            await trio.sleep(0.02)


def test_wave_row_of_an_earlier_version_can_be_read():
    """Guards against a scheduler that cannot read its predecessor's waves."""
    value = b'{"seen_ms":5,"ordered":["m-1","m-2"],"begun":["m-1"]}'
    row = StoredRow("scheduler", "", "wave/7", value, 1)
    assert decode_waves([row]) == {7: WaveRecord(5, ("m-1", "m-2"), ("m-1",))}


async def test_ordered_instance_that_is_gone_holds_up_no_wave(clock):
    """Guards against a wave that hangs on an order for a removed instance.

    The scheduler is killed before it has the answer, and then the instance is
    removed.
    """
    async with open_world() as world:
        world.add_instances("pool", 3)
        names = list(world.instances.instances)
        first = world.start_daemon("a")
        await trio.sleep(1)
        world.start_daemon("b")
        first.instances.order_seconds = 1.0
        add_wave(world, names, maximum=1)
        progress = first.leader._instances.waves.waves

        def find_ordered() -> set[str]:
            return progress[1].ordered if 1 in progress else set()

        await world.wait_for(find_ordered, 10)
        (name,) = find_ordered()
        await trio.sleep(0.5)
        world.kill(first)
        executor = world.instances.instances.pop(name).executor
        world.executors.pop(executor).crash()
        world.store.remove("servers", executor)
        await world.wait_for(lambda: "completed" in read_status(world), 40)
        assert sorted(world.instances.maintained[1]) == sorted({*names} - {name})


@define(eq=False)
class DelayedInstanceAccess(InstanceAccess):
    """A client whose first order is carried out when the test says so."""

    delayed: list = field(factory=list)

    async def maintain(
        self, instance: str, wave: int, holder: LeaseHolder
    ) -> OrderOutcome:
        """Start the upkeep of an instance, or keep the order for later."""
        if not self.delayed:
            self.delayed.append((instance, wave, holder))
            raise OutcomeUnknown("the order is delayed")
        return await super().maintain(instance, wave, holder)


async def test_refused_repetition_does_not_hide_a_delayed_order(clock):
    """Guards against a delayed order that the next scheduler does not know of.

    The repetition is refused as the instance is down for a moment. Once it is
    up, the delayed order can still be carried out.
    """
    async with open_world() as world:
        world.add_instances("pool", 3)
        daemon = world.start_daemon("a")
        daemon.instances = DelayedInstanceAccess(world.instances)
        await trio.sleep(1)
        add_wave(world, list(world.instances.instances), maximum=1)
        await world.wait_for(lambda: daemon.instances.delayed, 10)
        (order,) = daemon.instances.delayed
        world.instances.fail(order[0], 2.5)
        await world.wait_for(lambda: world.instances.orders, 10)
        assert world.instances.orders[0].outcome is OrderOutcome.BUSY
        progress = daemon.leader._instances.waves.waves[1]
        while world.instances.orders[-1].outcome is OrderOutcome.BUSY:
            assert order[0] in progress.make_record().ordered
            await trio.sleep(0.01)
        await world.wait_for(lambda: "completed" in read_status(world), 30)


async def test_list_read_before_an_order_is_read_again(clock):
    """Guards against an old list that puts off the one that an order needs."""
    lists = []

    def record(message) -> None:
        if message.record["message"] == "instances listed":
            lists.append(message.record["extra"])

    handler = logger.add(record, level="INFO")
    try:
        async with open_world() as world:
            world.add_instances("pool", 8)
            add_wave(world, list(world.instances.instances), seconds=12.0)
            daemon = world.start_daemon("a")
            daemon.instances.list_answer_seconds = 0.3
            daemon.instances.order_seconds = 1.2
            await world.wait_for(lambda: "completed" in read_status(world), 40)
    finally:
        logger.remove(handler)
    waits = [
        later["read_began"] - earlier["read_ended"]
        for earlier, later in pairwise(lists)
        if earlier["ordered_meanwhile"]
    ]
    assert waits and max(waits) < 0.3
