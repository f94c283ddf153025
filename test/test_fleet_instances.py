"""Moves and waves against the model of the instances, on virtual time."""

import pytest
import trio
from loguru import logger

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources, Step
from test.fleet_world import LASTING, SMALL, add_wave, open_world, read_status


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


async def test_wave_completes_within_its_maximum(clock):
    """Guards against a wave with more instances down than its maximum."""
    async with open_world() as world:
        world.add_instances("pool", 6)
        names = list(world.instances.instances)
        add_wave(world, names)
        world.start_daemon("a")
        most = 0
        while "completed" not in read_status(world):
            most = max(most, world.instances.count_in_upkeep(1))
            await trio.sleep(0.05)
        assert most <= 2
        assert sorted(world.instances.maintained[1]) == sorted(names)
        assert trio.current_time() < 31


async def test_wave_goes_on_with_the_next_scheduler(clock):
    """Guards against a wave that exceeds its maximum or ends early.

    The scheduler is killed after the first upkeep has begun.
    """
    async with open_world() as world:
        world.add_instances("pool", 6)
        names = list(world.instances.instances)
        add_wave(world, names)
        first = world.start_daemon("a")
        world.start_daemon("b")
        most = 0
        killed = False
        while "completed" not in read_status(world):
            most = max(most, world.instances.count_in_upkeep(1))
            begun = len(world.instances.maintained.get(1, ()))
            if begun == 1 and not killed:
                first.instances.lost_answers = 1
                world.kill(world.daemons[world.lease_holder()])
                killed = True
            await trio.sleep(0.02)
        assert killed
        assert most <= 2
        assert sorted(world.instances.maintained[1]) == sorted(names)


async def test_wave_spares_the_steps_that_last(clock):
    """Guards against upkeep that stops more subtasks than a step can spare."""
    async with open_world() as world:
        world.add_instances("pool", 4)
        world.add_instances("standby", 3)
        names = list(world.instances.instances)
        world.start_daemon("a")
        step = Step(
            4,
            SMALL,
            lasting=True,
            max_per_executor=1,
            max_unavailable=1,
        )
        job = world.submit(step, work=SubtaskBehaviour(LASTING, size=SMALL))
        await world.wait_for(lambda: len(world.find_running(job)) == 4, 10)
        await trio.sleep(1)
        # For so short a wave, two instances of the pool are reserved at once.
        add_wave(world, names, maximum=4, seconds=6.0)
        fewest = 4
        while "completed" not in read_status(world):
            fewest = min(fewest, len(world.find_running(job)))
            await trio.sleep(0.02)
        assert fewest >= 3
        assert sorted(world.instances.maintained[1]) == sorted(names)


async def test_stopped_runs_count_on_places_of_their_own(clock):
    """Guards against stops for upkeep that all count on the same free place.

    Two executors were emptied at once. The one that came from standby had
    places for two subtasks by the limit per executor, and four were stopped.
    """
    async with open_world() as world:
        world.add_instances("pool", 4)
        names = list(world.instances.instances)
        world.add_instances("standby", 1)
        world.start_daemon("a")
        job = world.submit(
            Step(8, SMALL, lasting=True, max_per_executor=2),
            work=SubtaskBehaviour(LASTING, size=SMALL),
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 8, 10)
        await trio.sleep(1)
        # For so short a wave, two instances of the pool are reserved at once.
        add_wave(world, names, maximum=2, seconds=6.0)
        fewest = 8
        with trio.fail_after(60):
            while "completed" not in read_status(world):
                fewest = min(fewest, len(world.find_running(job)))
                await trio.sleep(0.02)
        assert fewest >= 6


async def test_lost_answer_of_an_order_is_repeated(clock):
    """Guards against upkeep that is skipped after a lost answer."""
    async with open_world() as world:
        world.add_instances("pool", 2)
        names = list(world.instances.instances)
        add_wave(world, names, maximum=1)
        daemon = world.start_daemon("a")
        daemon.instances.lost_answers = 2
        await world.wait_for(lambda: "completed" in read_status(world), 25)
        assert sorted(world.instances.maintained[1]) == sorted(names)


async def test_pool_follows_its_demand(clock):
    """Guards against pools that do not grow and shrink with their work."""
    async with open_world() as world:
        world.add_instances("pool", 6)
        world.add_instances("standby", 6)
        world.start_daemon("a")

        def count() -> int:
            return sum(
                1
                for instance in world.instances.instances.values()
                if instance.pool == "pool"
            )

        await trio.sleep(5)
        assert count() == 6
        world.submit(Step(1, SMALL, 1000))
        await world.wait_for(lambda: count() == 2, 20)
        size = Resources(4000, 512)
        work = SubtaskBehaviour(2.0, size=size)
        jobs = [world.submit(Step(6, size, 2000), work=work) for _ in range(8)]
        await world.wait_for(lambda: count() >= 5, 5)
        await world.wait_for(
            lambda: all(world.state(job) == "completed" for job in jobs), 25
        )
        await world.wait_for(lambda: count() == 2, 25)
        world.check_runs()


async def lose_upkeep_order(world, leave=False):
    """Return the first upkeep order, whose answer is lost.

    The scheduler that sent it is killed, or stopped if ``leave`` is true.
    """
    first = world.start_daemon("a")
    await trio.sleep(2)
    world.start_daemon("b")
    first.instances.lost_answers = 1
    add_wave(world, list(world.instances.instances), maximum=1)
    await world.wait_for(lambda: world.instances.maintained.get(1), 10)
    ordered = world.instances.orders[-1]
    if leave:
        world.stop(first)
    else:
        world.kill(first)
    return ordered


async def test_open_order_is_taken_up_by_the_next_scheduler(clock):
    """Guards against a wave that hangs on an order with an unknown outcome."""
    async with open_world() as world:
        world.add_instances("pool", 3)
        await lose_upkeep_order(world)
        await world.wait_for(lambda: "completed" in read_status(world), 40)
        names = list(world.instances.instances)
        assert sorted(world.instances.maintained[1]) == sorted(names)


async def test_holders_take_turns_for_an_instance(clock):
    """Guards against orders of two holders for an instance within one turn.

    At least ``order_turn_ms`` has to pass between them, which is 3 s here.
    """
    async with open_world() as world:
        world.add_instances("pool", 3)
        ordered = await lose_upkeep_order(world, leave=True)

        def find_later():
            return [
                order
                for order in world.instances.orders
                if order.instance == ordered.instance and order.at > ordered.at
            ]

        await world.wait_for(find_later, 20)
        (later,) = find_later()
        assert later.fence > ordered.fence
        assert later.at - ordered.at >= 3.0


async def test_instance_that_one_list_misses_is_not_gone(clock):
    """Guards against a wave that completes without an instance's upkeep."""
    async with open_world() as world:
        world.add_instances("pool", 3)
        names = list(world.instances.instances)
        add_wave(world, names, maximum=1)
        daemon = world.start_daemon("a")

        def find_left() -> set[str]:
            return set(names) - set(world.instances.maintained.get(1, ()))

        def is_one_left() -> bool:
            return len(find_left()) == 1 and not world.instances.count_in_upkeep(1)

        await world.wait_for(is_one_left, 20)
        daemon.instances.hidden.update(find_left())
        await trio.sleep(1.0)
        assert "completed" not in read_status(world)
        daemon.instances.hidden.clear()
        await world.wait_for(lambda: "completed" in read_status(world), 30)
        assert sorted(world.instances.maintained[1]) == sorted(names)


async def test_moved_executors_hold_up_no_takeover(clock):
    """Guards against steps that wait for executors whose instances were moved.

    After a scheduler had frozen, its successor held back all steps of a pool
    for 4 s, because 13 executors of moved instances did not answer.
    """
    async with open_world() as world:
        world.add_instances("pool", 6)
        world.add_instances("standby", 2)
        first = world.start_daemon("a")
        await trio.sleep(0.5)
        world.start_daemon("b")
        entries = dict(world.store.rows)
        job = world.submit(
            Step(2, SMALL, 1000), work=SubtaskBehaviour(12.0, size=SMALL)
        )
        await world.wait_for(lambda: world.instances.orders, 20)
        await trio.sleep(0.3)
        # The entries of moved instances stay in the store for seconds.
        for (table, _, key), row in entries.items():
            if table == "servers" and world.store.find(table, key) is None:
                world.store.put(table, key, row.value)
        for record in world.find_running(job):
            world.executors[record.executor].crash()
        world.kill(first)
        killed_at = trio.current_time()
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 10)
        assert trio.current_time() - killed_at < 3.5
        world.check_runs()


async def test_instance_of_a_released_lease_waits_for_its_turn(clock):
    """Guards against a second holder's order within the turn of the first.

    A released lease is taken at once, so the whole turn is still ahead.
    """
    async with open_world() as world:
        world.add_instances("pool", 6)
        world.add_instances("standby", 1)
        first = world.start_daemon("a")
        world.submit(Step(1, SMALL, 1000))
        await trio.sleep(1)
        world.start_daemon("b")
        await world.wait_for(lambda: world.instances.orders, 20)
        await trio.sleep(0.3)
        world.stop(first)
        size = Resources(8000, 512)
        for _ in range(10):
            world.submit(Step(6, size, 2000), work=SubtaskBehaviour(2.0, size=size))
        ordered = {order.instance: order for order in world.instances.orders}
        await world.wait_for(lambda: world.daemons["b"].leader is not None, 5)
        await trio.sleep(0.5)
        manager = world.daemons["b"].leader._instances
        last = max(ordered.values(), key=lambda order: order.at)
        while trio.current_time() < last.at + 3.0:
            assert manager._is_blocked(last.instance)
            await trio.sleep(0.05)

        def find_later():
            return [
                order
                for order in world.instances.orders
                if order.holder == "b" and order.instance in ordered
            ]

        await world.wait_for(lambda: len(find_later()) >= 3, 20)
        for later in find_later():
            assert later.at - ordered[later.instance].at >= 3.0


async def test_pool_grows_to_the_room_of_a_gang(clock):
    """Guards against a gang that waits for ever in a pool that is too small.

    Its members need room at the same time, while pools are sized for work
    that can run one subtask after another.
    """
    async with open_world() as world:
        world.add_instances("pool", 2)
        world.add_instances("standby", 6)
        world.start_daemon("a")
        size = Resources(9000, 512)
        gang = Step(6, size, 2000, after=(0,), gang=True)
        job = world.submit(Step(1, SMALL, 5000), gang)
        # Long enough that the job no longer counts as newly arrived.
        world.work[f"{job}.0.0"] = SubtaskBehaviour(9.0, size=SMALL)
        world.work[f"{job}.0.1"] = SubtaskBehaviour(2.0, size=size)
        await world.wait_for(lambda: world.state(job) == "completed", 25)
        capped = Step(5, SMALL, 2000, gang=True, max_per_executor=1)
        job = world.submit(capped, work=SubtaskBehaviour(2.0, size=SMALL))
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        world.check_runs()


async def test_pool_gets_the_labels_that_its_work_needs(clock):
    """Guards against work that waits for ever for a label.

    All instances that have the label are on standby.
    """
    async with open_world() as world:
        world.add_instances("pool", 3)
        world.add_instances("standby", 2, kind="b")
        world.start_daemon("a")
        job = world.submit(Step(4, SMALL, 1000, label="b"))
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        lasting = Step(2, SMALL, lasting=True, label="b")
        job = world.submit(lasting, work=SubtaskBehaviour(LASTING, size=SMALL))
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 10)
        await trio.sleep(10)
        assert len(world.find_running(job)) == 2
        assert world.count_runs(job) == 2


async def test_pool_grows_to_wide_lasting_work(clock):
    """Guards against lasting work whose last subtasks find no instance."""
    async with open_world() as world:
        world.add_instances("pool", 2)
        world.add_instances("standby", 8)
        world.start_daemon("a")
        size = Resources(8500, 512)
        job = world.submit(
            Step(8, size, lasting=True), work=SubtaskBehaviour(LASTING, size=size)
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 8, 15)


async def test_log_shows_the_age_of_lists_against_orders(clock):
    """Guards against lists whose age against the orders cannot be told."""
    lines = []
    handler = logger.add(lambda message: lines.append(message.record), level="INFO")
    try:
        async with open_world() as world:
            world.add_instances("pool", 2)
            add_wave(world, list(world.instances.instances), maximum=1)
            world.start_daemon("a")
            await world.wait_for(lambda: "completed" in read_status(world), 25)
    finally:
        logger.remove(handler)
    orders = [
        line["extra"]
        for line in lines
        if line["message"] == "order for an instance answered"
    ]
    lists = [line["extra"] for line in lines if line["message"] == "instances listed"]
    assert len(orders) == 2
    for order in orders:
        assert any(item["read_ended"] < order["sent"] for item in lists)
        assert order["sent"] < order["answered"]
        assert any(order["answered"] < item["read_began"] for item in lists)
    for item in lists:
        assert item["read_began"] < item["read_ended"]
        assert item["ordered_meanwhile"] == []


async def test_leaving_executor_is_replaced_before_it_has_left(clock):
    """Guards against lasting work that stays on an executor until it leaves.

    The pool has no other room, and an instance on standby could join in time.
    """
    async with open_world() as world:
        world.add_instances("pool", 2)
        world.add_instances("standby", 2)
        world.start_daemon("a")
        step = Step(2, SMALL, lasting=True, max_per_executor=1)
        job = world.submit(step, work=SubtaskBehaviour(LASTING, size=SMALL))
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 10)
        await trio.sleep(1)
        leaving = world.executors[world.find_running(job)[0].executor]
        leaving.draining = True
        world.register_executor(leaving)
        await world.wait_for(lambda: world.count_runs(job) == 3, 4)
        assert len(world.find_running(job)) == 2
        world.check_runs()
