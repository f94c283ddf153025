"""Evacuations of data centres through partial failures, on virtual time."""

from contextlib import asynccontextmanager, contextmanager
from types import SimpleNamespace

import attrs
import pytest
import trio
from loguru import logger

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.model import EndKind, Resources
from test.fleet_world import (
    LASTING,
    SMALL,
    Daemon,
    FleetWorld,
    make_settings,
    make_step,
    open_world,
)
from test.test_fleet_frontend import StubKernel

CONFIG = b"""{"ConfigVersion": 1, "Services": [{"Name": "pool", "AdmissionCheck":
true}], "Routes": [{"Name": "queue", "Hostname": "host", "Prefix": "/queue/",
"Backend": "pool", "Attempts": 2, "SlackFactor": 1.6, "SloMs": 600}],
"Tenants": [{"Name": "team", "ApiKeys": ["key"]}]}"""
BOUND_SECONDS = 5.0  # after which nothing may start in an evacuated data centre
LARGE = Resources(9000, 512)  # an executor has room for one of these


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


def add_executors(world: FleetWorld, **numbers: int) -> None:
    """Add executors to data centres."""
    for data_centre, number in numbers.items():
        for _ in range(number):
            world.add_executor(data_centre=data_centre)


def find_data_centres(world: FleetWorld, job: str = "") -> list[str]:
    """Return the data centres of the runs in progress, sorted."""
    runs = world.find_running(job)
    return sorted(world.executors[run.executor].data_centre for run in runs)


def count_starts(world: FleetWorld, data_centre: str, after: float = 0.0) -> int:
    """Return how many runs have begun in a data centre after a time."""
    return sum(
        1
        for run in world.records
        if run.began_at > after
        and run.executor in world.executors
        and world.executors[run.executor].data_centre == data_centre
    )


async def watch_unavailable(world: FleetWorld, job: str, count: int, seen: list):
    """Note how many subtasks of a lasting step are not running, again and again."""
    while True:
        seen.append(count - len(world.find_running(job)))
        await trio.sleep(0.02)


@contextmanager
def record_lines(key: str):
    """Yield a list of the fields of the log lines that have a field ``key``."""
    lines: list[dict] = []

    def record(message) -> None:
        if key in message.record["extra"]:
            lines.append(message.record["extra"])

    handler = logger.add(record, level="INFO")
    try:
        yield lines
    finally:
        logger.remove(handler)


@asynccontextmanager
async def open_followed_world(*names: str):
    """Yield a world whose daemons each follow the operator's rows in the store.

    An evacuation counts after five seconds.
    """
    async with open_world() as world:
        world.store.put("op", "config", CONFIG)
        for name in names:
            daemon = world.start_daemon(name)
            daemon.configuration = follow_operator(daemon)
            world.nursery.start_soon(daemon.configuration.run)
        yield world


def follow_operator(daemon: Daemon) -> FleetConfigurationService:
    """Return a daemon's own copy of the operator's rows."""
    settings = make_settings(daemon.name)
    bounds = attrs.evolve(settings.bounds, config_apply_ms=10_000, evacuate_ms=5000)
    kernel = StubKernel(daemon.rows, attrs.evolve(settings, bounds=bounds))
    service = FleetConfigurationService(kernel)
    service._clock = trio.current_time
    return service


def lasting(size: Resources = SMALL) -> SubtaskBehaviour:
    """Return the behaviour of a lasting subtask."""
    return SubtaskBehaviour(LASTING, size=size)


async def test_nothing_starts_in_an_evacuated_data_centre(clock):
    """Guards against a start after the evacuation."""
    async with open_world() as world:
        add_executors(world, dc1=2, dc2=2)
        world.start_daemon("a")
        world.submit(make_step(8))
        await trio.sleep(2)
        assert count_starts(world, "dc1")
        world.evacuate("dc1")
        began = trio.current_time()
        jobs = [world.submit(make_step(4)) for _ in range(4)]
        jobs.append(world.submit(make_step(2, gang=True)))
        await world.wait_for(
            lambda: all(world.state(job) == "completed" for job in jobs), 10
        )
        assert count_starts(world, "dc1", began) == 0


@pytest.mark.parametrize("gang", [False, True])
async def test_pending_start_is_checked_before_it_is_sent(clock, gang):
    """Guards against a start that was decided just before the evacuation."""
    async with open_world() as world:
        add_executors(world, dc1=1, dc2=1)
        daemon = world.start_daemon("a")
        job = world.submit(make_step(2, size=LARGE, seconds=1.0))
        await world.wait_for(lambda: world.count_runs(job) == 2, 5)
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        orders = daemon.leader._orders

        def start_and_evacuate(subtask, executor):
            orders.start(subtask, executor)
            world.evacuate("dc1")

        daemon.leader._orders = SimpleNamespace(start=start_and_evacuate)
        began = trio.current_time()
        job = world.submit(make_step(20 if gang else 8, gang=gang))
        await trio.sleep(3)
        assert count_starts(world, "dc1", began) == 0
        add_executors(world, dc2=1)
        await world.wait_for(lambda: world.state(job) == "completed", 10)
        assert count_starts(world, "dc1", began) == 0
        world.check_runs()


async def test_short_work_runs_to_completion(clock):
    """Guards against work that is thrown away, as short runs and gangs are."""
    async with open_world() as world:
        add_executors(world, dc1=2)
        world.start_daemon("a")
        jobs = [
            world.submit(make_step(4, 2.0), work=SubtaskBehaviour(2.0, size=SMALL)),
            world.submit(
                make_step(2, 20.0, gang=True, checkpoints=True),
                work=SubtaskBehaviour(20.0, size=SMALL),
            ),
            world.submit(
                make_step(2, 3.0, checkpoints=True),
                work=SubtaskBehaviour(3.0, size=SMALL),
            ),
        ]
        await world.wait_for(lambda: len(world.find_running()) == 8, 5)
        add_executors(world, dc2=2)
        world.evacuate("dc1")
        await world.wait_for(
            lambda: all(world.state(job) == "completed" for job in jobs), 25
        )
        assert {run.kind for run in world.records} == {EndKind.DONE}


async def test_long_work_with_checkpoints_moves_where_there_is_room(clock):
    """Guards against long runs that stay, and against stops without room."""
    async with open_world() as world:
        add_executors(world, dc1=2)
        world.start_daemon("a")
        work = SubtaskBehaviour(60.0, size=LARGE)
        job = world.submit(make_step(2, 60, size=LARGE, checkpoints=True), work=work)
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 5)
        world.evacuate("dc1")
        await trio.sleep(5)
        assert find_data_centres(world, job) == ["dc1", "dc1"]
        assert world.count_runs(job) == 2
        add_executors(world, dc2=1)
        await trio.sleep(5)
        assert find_data_centres(world, job) == ["dc1", "dc2"]
        assert world.count_runs(job) == 3
        world.check_runs()


@pytest.mark.parametrize("budget", [0, 1, 3])
async def test_lasting_work_moves_one_subtask_at_a_time(clock, budget):
    """Guards against a step that loses several subtasks at once."""
    async with open_world() as world:
        add_executors(world, dc1=3)
        world.start_daemon("a")
        step = make_step(5, lasting=True, max_unavailable=budget)
        job = world.submit(step, work=lasting())
        await world.wait_for(lambda: len(world.find_running(job)) == 5, 5)
        await trio.sleep(2)
        add_executors(world, dc2=2)
        unavailable: list[int] = []
        world.nursery.start_soon(watch_unavailable, world, job, 5, unavailable)
        world.evacuate("dc1")
        await world.wait_for(lambda: find_data_centres(world, job) == ["dc2"] * 5, 30)
        assert max(unavailable) == 1
        world.check_runs()
        world.check_capacities()


async def test_work_stays_while_there_is_too_little_room(clock):
    """Guards against stops that leave lasting work idle.

    Two steps compete for the room of one executor, which holds one subtask.
    """
    async with open_world() as world:
        add_executors(world, dc1=4)
        world.start_daemon("a")
        step = make_step(2, size=LARGE, lasting=True, max_unavailable=1)
        jobs = [world.submit(step, work=lasting(LARGE)) for _ in range(2)]
        await world.wait_for(lambda: len(world.find_running()) == 4, 5)
        await trio.sleep(2)
        with record_lines("missing_cores") as lines:
            add_executors(world, dc2=1)
            unavailable: list[int] = []
            for job in jobs:
                world.nursery.start_soon(watch_unavailable, world, job, 2, unavailable)
            world.evacuate("dc1")
            await trio.sleep(10)
        assert find_data_centres(world) == ["dc1", "dc1", "dc1", "dc2"]
        assert len(world.records) == 5
        # The run that moved was idle; no other one may have been.
        assert max(unavailable) == 1
        assert lines[-1]["missing_cores"] == 27.0
        assert lines[-1]["evacuated"] == ["dc1"]
        add_executors(world, dc2=3)
        await world.wait_for(lambda: find_data_centres(world) == ["dc2"] * 4, 20)


async def test_two_evacuations_at_once(clock):
    """Guards against work that goes from one evacuated data centre to another.

    Once no data centre is left, work waits and is not lost.
    """
    async with open_world() as world:
        add_executors(world, dc1=1, dc2=1, dc3=1)
        world.start_daemon("a")
        step = make_step(3, lasting=True, max_unavailable=1, max_per_executor=3)
        job = world.submit(step, work=lasting())
        await world.wait_for(lambda: len(world.find_running(job)) == 3, 5)
        await trio.sleep(1)
        world.evacuate("dc1", "dc2")
        await world.wait_for(lambda: find_data_centres(world, job) == ["dc3"] * 3, 10)
        runs = world.count_runs(job)
        world.evacuate("dc1", "dc2", "dc3")
        short = world.submit(make_step(2))
        await trio.sleep(10)
        assert find_data_centres(world, job) == ["dc3"] * 3
        assert world.count_runs(job) == runs
        assert world.count_runs(short) == 0
        world.evacuate("dc1")
        await world.wait_for(lambda: world.state(short) == "completed", 5)
        assert count_starts(world, "dc1", trio.current_time() - 5) == 0
        world.check_runs()


async def test_evacuated_data_centre_that_is_cut_off(clock):
    """Guards against duplicates of runs that go on under their leases."""
    async with open_world() as world:
        add_executors(world, dc1=2)
        daemon = world.start_daemon("a")
        step = make_step(3, lasting=True, max_unavailable=1)
        job = world.submit(step, work=lasting())
        short = world.submit(make_step(4), work=SubtaskBehaviour(8.0, size=SMALL))
        await world.wait_for(lambda: len(world.find_running()) == 7, 5)
        add_executors(world, dc2=2)
        daemon.cut_off.update(
            name
            for name, model in world.executors.items()
            if model.data_centre == "dc1"
        )
        cut_at = trio.current_time()
        world.evacuate("dc1")
        await trio.sleep(2)
        assert find_data_centres(world) == ["dc1"] * 7
        await world.wait_for(lambda: find_data_centres(world, job) == ["dc2"] * 3, 10)
        await world.wait_for(lambda: world.state(short) == "completed", 15)
        daemon.cut_off.clear()
        await trio.sleep(5)
        assert count_starts(world, "dc1", cut_at) == 0
        world.check_runs()


async def test_leader_is_lost_during_an_evacuation(clock):
    """Guards against a successor that does not know of the evacuation.

    The stops of the lost leader may be in progress when the next one reads the
    lists of the executors.
    """
    async with open_followed_world("a", "b") as world:
        add_executors(world, dc1=3)
        step = make_step(5, lasting=True, max_unavailable=1)
        job = world.submit(step, work=lasting())
        await world.wait_for(lambda: len(world.find_running(job)) == 5, 10)
        await trio.sleep(2)
        add_executors(world, dc2=3)
        unavailable: list[int] = []
        world.nursery.start_soon(watch_unavailable, world, job, 5, unavailable)
        world.store.put("op", "evacuate/dc1", b"{}")
        acknowledged = trio.current_time()
        await world.wait_for(lambda: "dc2" in find_data_centres(world, job), 5)
        world.kill(world.daemons[world.lease_holder()])
        for _ in range(30):
            world.submit(make_step(1))
            await trio.sleep(0.2)
        await world.wait_for(lambda: find_data_centres(world, job) == ["dc2"] * 5, 20)
        assert max(unavailable) == 1
        assert count_starts(world, "dc1", acknowledged + BOUND_SECONDS) == 0
        world.check_runs()


@pytest.mark.parametrize("everything", [False, True])
async def test_store_is_lost_before_the_evacuation(clock, everything):
    """Guards against starts by a copy that lacks the evacuation.

    The operator still reaches the store. Either nothing of it answers the
    leader, or the operator's rows alone cannot be read.
    """
    async with open_followed_world("a") as world:
        add_executors(world, dc1=1, dc2=1)
        daemon = world.daemons["a"]
        job = world.submit(make_step(2))
        await world.wait_for(lambda: world.state(job) == "completed", 10)
        if everything:
            daemon.rows.closed = True
        else:
            daemon.rows.failing_tables.add("op")
        world.store.put("op", "evacuate/dc1", b"{}")
        acknowledged = trio.current_time()
        for _ in range(60):
            world.submit(make_step(3))
            await trio.sleep(0.2)
        assert count_starts(world, "dc1", acknowledged + BOUND_SECONDS) == 0
        assert count_starts(world, "dc2", acknowledged + BOUND_SECONDS) == 0
        daemon.rows.closed = False
        daemon.rows.failing_tables.clear()
        back = trio.current_time()
        await world.wait_for(
            lambda: all(world.state(job.spec.id) == "completed" for job in jobs(world)),
            60,
        )
        assert count_starts(world, "dc1", back) == 0


def jobs(world: FleetWorld):
    """Return the jobs that the present leader knows."""
    leader = world.daemons["a"].leader
    return [] if leader is None else list(leader.state.registry.jobs.values())


@pytest.mark.parametrize("delay", [1.4, 1.5, 1.6, 1.7])
async def test_runs_stay_while_they_could_not_start_again(clock, delay):
    """Guards against lasting work that is stopped in an outage of the store.

    The copy of the operator's rows still counts when the outage begins, and no
    longer does when the stopped run should start elsewhere.
    """
    async with open_followed_world("a") as world:
        add_executors(world, dc1=1)
        step = make_step(14, lasting=True, max_unavailable=1)
        job = world.submit(step, work=lasting())
        await world.wait_for(lambda: len(world.find_running(job)) == 14, 10)
        add_executors(world, dc2=1)
        await trio.sleep(2)
        world.store.put("op", "evacuate/dc1", b"{}")
        await world.wait_for(lambda: "dc2" in find_data_centres(world, job), 5)
        await trio.sleep(delay)
        # The copy counts for four seconds from the first change.
        for _ in range(2):
            world.store.put("op", "other", b"{}")
            await trio.sleep(0.02)
        world.daemons["a"].rows.failing_tables.add("op")
        await trio.sleep(10)
        assert len(world.find_running(job)) == 14
        assert "dc1" in find_data_centres(world, job)
        world.daemons["a"].rows.failing_tables.clear()
        await world.wait_for(lambda: find_data_centres(world, job) == ["dc2"] * 14, 30)


async def test_early_revocation(clock):
    """Guards against moves that go on, and a return that waits.

    What runs there stays, and new work prefers other data centres for a while.
    """
    async with open_world() as world:
        add_executors(world, dc1=3)
        world.start_daemon("a")
        step = make_step(6, lasting=True, max_unavailable=1)
        job = world.submit(step, work=lasting())
        await world.wait_for(lambda: len(world.find_running(job)) == 6, 5)
        await trio.sleep(2)
        add_executors(world, dc2=1)
        world.evacuate("dc1")
        await world.wait_for(lambda: "dc2" in find_data_centres(world, job), 5)
        world.evacuate()
        await trio.sleep(1)
        runs = world.count_runs(job)
        revoked = trio.current_time()
        first = world.submit(make_step(4))
        await world.wait_for(lambda: world.state(first) == "completed", 5)
        assert count_starts(world, "dc1", revoked) == 0
        # Work that does not fit elsewhere uses it at once.
        wide = world.submit(make_step(4, size=LARGE))
        await world.wait_for(lambda: world.state(wide) == "completed", 5)
        assert count_starts(world, "dc1", revoked) > 0
        await trio.sleep(10)
        assert world.count_runs(job) == runs
        back = trio.current_time()
        last = world.submit(make_step(8))
        await world.wait_for(lambda: world.state(last) == "completed", 5)
        assert count_starts(world, "dc1", back) > 0
        world.check_runs()


async def keep_submitting(world: FleetWorld, size: Resources) -> None:
    """Submit jobs that keep two instances busy."""
    while True:
        world.submit(make_step(8, size=size), work=SubtaskBehaviour(1.0, size=size))
        await trio.sleep(0.4)


async def test_pool_is_filled_from_other_data_centres(clock):
    """Guards against a pool that is sized by instances nothing may start on."""
    async with open_world() as world:
        world.add_instances("pool", 4, data_centre="dc1")
        world.add_instances("standby", 6, data_centre="dc1")
        world.add_instances("standby", 6, data_centre="dc2")
        world.start_daemon("a")
        world.nursery.start_soon(keep_submitting, world, SMALL)
        await trio.sleep(5)
        listed = world.instances.instances
        world.evacuate("dc1")
        began = trio.current_time()
        await trio.sleep(10)
        present = [
            instance
            for instance in listed.values()
            if instance.pool == "pool" and instance.data_centre == "dc2"
        ]
        assert len(present) >= 2
        moved = {
            listed[order.instance].data_centre
            for order in world.instances.orders
            if order.at > began + 0.5 and listed[order.instance].pool == "pool"
        }
        assert moved == {"dc2"}
        assert count_starts(world, "dc1", began) == 0
        assert count_starts(world, "dc2", began) > 50


async def test_planned_move_into_a_pool_is_dropped(clock):
    """Guards against an instance that joins a pool during the evacuation."""
    async with open_world() as world:
        world.add_instances("pool", 2, data_centre="dc2")
        world.add_instances("standby", 4, data_centre="dc1")
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        manager = daemon.leader._instances
        manager._blocked.update(
            dict.fromkeys(world.instances.instances, trio.current_time() + 4)
        )
        for _ in range(4):
            world.submit(make_step(40), work=SubtaskBehaviour(1.0, size=SMALL))
        await trio.sleep(1)
        assert any(plan.pool == "pool" for plan in manager.plans.current.values())
        world.evacuate("dc1")
        await trio.sleep(8)
        assert world.instances.orders == []
