"""Stops of running work for more urgent work, on virtual time."""

from configparser import ConfigParser
from functools import partial

import attrs
import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from emulator.row_store import Transaction
from hemlockstand.fleet.model import EndKind, JobSpec, Resources, Tenant
from hemlockstand.fleet.policy.preemption import (
    ExecutorRoom,
    LossBudget,
    Reason,
    RunningWork,
    choose_cheapest,
    choose_runs,
    estimate_remaining,
    has_room_in_time,
    is_last_moment,
    plan_preemptions,
)
from hemlockstand.fleet.settings import (
    DEFAULT_PREEMPTION,
    DEFAULTS_FILE,
    PreemptionSettings,
)
from hemlockstand.fleet.storage import job_write
from test import fleet_world
from test.fleet_world import SMALL, make_config, make_step, open_world

CORES = 16
LARGE = Resources(4000, 2048)


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


@pytest.fixture
def preemption(monkeypatch):
    """Return a function that sets the section of later daemons."""
    make_settings = fleet_world.make_settings

    def use(basis: str, lost: float = 1.0) -> None:
        section = PreemptionSettings(basis, lost, 10.0)
        monkeypatch.setattr(
            fleet_world,
            "make_settings",
            lambda name: attrs.evolve(make_settings(name), preemption=section),
        )

    return use


def use_queues(world, first: int, second: int, weights=("team",)) -> None:
    """Configure the queues ``quick`` and ``queue``, and one of last priority."""
    config = make_config()
    batch = attrs.evolve(config.queues[0], priority=second)
    quick = attrs.evolve(batch, name="quick", prefix="/quick/", priority=first)
    last = attrs.evolve(batch, name="last", prefix="/last/", priority=9)
    tenants = {name: Tenant(name, frozenset(), 1.0, Resources()) for name in weights}
    world.configuration.current = attrs.evolve(
        config, queues=(quick, batch, last), tenants=tenants
    )


def submit(world, queue: str, count: int, seconds: float, tenant="team", **values):
    """Submit a job to a queue; return its id."""
    job = f"{next(world._ids):016x}"
    size = values.get("size", SMALL)
    world.work[job] = SubtaskBehaviour(seconds, size=size)
    accepted_ms = int(trio.current_time() * 1000)
    step = make_step(count, seconds, **values)
    spec = JobSpec(job, queue, "pool", tenant, "p", (step,), accepted_ms=accepted_ms)
    world.store.apply(Transaction((job_write(spec),), (), ()))
    return job


async def fill(world, count: int = CORES, **values) -> str:
    """Fill an executor with long runs of the lower priority."""
    world.add_executor()
    world.start_daemon("a")
    await trio.sleep(2)
    job = submit(world, "queue", count, 60.0, **values)
    await world.wait_for(lambda: len(world.find_running(job)) == count, 2)
    return job


def find_stopped(world, job: str) -> list:
    """Return the runs of a job that were stopped."""
    for model in world.executors.values():
        model.advance()
    return [
        run
        for run in world.records
        if run.subtask.startswith(job) and run.kind is EndKind.STOPPED
    ]


async def test_urgent_job_gets_room_in_time(clock, preemption):
    """Guards against a short job that waits for a minute behind long runs."""
    preemption("priority")
    async with open_world() as world:
        use_queues(world, 0, 1)
        batch = await fill(world)
        quick = submit(world, "quick", 1, 1.0, size=LARGE)
        began_at = trio.current_time()
        await world.wait_for(lambda: world.state(quick) == "completed", 5)
        assert trio.current_time() - began_at <= 1.6 * 1.0 + 0.6 + 0.1
        assert len(find_stopped(world, batch)) == 4
        await trio.sleep(2)
        assert len(world.find_running(batch)) == CORES
        assert world.state(batch) == "running"
        world.check_runs()


@pytest.mark.parametrize(
    ("basis", "first", "second", "lost"),
    [("none", 0, 1, 1.0), ("priority", 1, 1, 1.0), ("share", 1, 1, 1.0)]
    + [("priority", 1, 0, 1.0), ("priority", 0, 1, 0.0)],
)
async def test_nothing_is_stopped_without_a_right_to_it(
    clock, preemption, basis, first, second, lost
):
    """Guards against stops when switched off, of equals or beyond the budget."""
    preemption(basis, lost)
    async with open_world() as world:
        use_queues(world, first, second)
        batch = await fill(world)
        submit(world, "quick", 2, 1.0)
        await trio.sleep(4)
        assert not find_stopped(world, batch)


async def test_room_that_gets_free_in_time_is_waited_for(clock, preemption):
    """Guards against stops of runs although others end by themselves."""
    preemption("priority")
    async with open_world() as world:
        use_queues(world, 0, 1)
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(2)
        submit(world, "queue", CORES - 1, 60.0)
        submit(world, "queue", 1, 1.0)
        await world.wait_for(lambda: len(world.find_running()) == CORES, 2)
        quick = submit(world, "quick", 1, 1.0)
        await world.wait_for(lambda: world.state(quick) == "completed", 5)
        assert not [run for run in world.records if run.kind is EndKind.STOPPED]


@pytest.mark.parametrize("values", [{"lasting": True}, {"gang": True}])
async def test_lasting_work_and_gangs_are_never_stopped(clock, preemption, values):
    """Guards against part of a gang, or users' servers, being stopped."""
    preemption("priority")
    async with open_world() as world:
        use_queues(world, 0, 1)
        batch = await fill(world, **values)
        submit(world, "quick", 2, 1.0)
        await trio.sleep(4)
        assert not find_stopped(world, batch)


async def test_flood_gives_way_to_a_workspace_within_its_share(clock, preemption):
    """Guards against long runs of a flood that keep all of the pool."""
    preemption("share")
    async with open_world() as world:
        use_queues(world, 1, 1, ("flood", "usual"))
        flood = await fill(world, tenant="flood")
        submit(world, "queue", CORES, 60.0, tenant="flood")
        job = submit(world, "quick", 2, 1.0, tenant="usual")
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        assert 1 <= len(find_stopped(world, flood)) <= 2
        # What is above its share of half may be stopped, the rest not.
        fewest = CORES
        for _ in range(4):
            submit(world, "quick", CORES // 2, 1.0, tenant="usual")
            for _ in range(20):
                await trio.sleep(0.05)
                tenants = world.daemons["a"].leader.state.registry.ledger.by_pool
                fewest = min(fewest, tenants["pool"]["flood"].running[0] // 1000)
        assert fewest == CORES / 2
        world.check_runs()


async def test_run_that_straddles_a_share_is_not_stopped(clock, preemption):
    """Guards against a workspace that falls below its share by a stop."""
    preemption("share")
    async with open_world() as world:
        use_queues(world, 1, 1, ("flood", "usual"))
        flood = await fill(world, CORES // 4, tenant="flood", size=LARGE)
        submit(world, "queue", CORES, 60.0, tenant="flood")
        submit(world, "quick", 2, 1.0, tenant="usual")
        await trio.sleep(4)
        assert not find_stopped(world, flood)


async def test_run_without_progress_is_not_stopped_again(clock, preemption):
    """Guards against a run that is started and stopped over and over."""
    preemption("priority")
    async with open_world() as world:
        use_queues(world, 0, 1)
        batch = await fill(world)
        await trio.sleep(5)
        quick = submit(world, "quick", 2, 1.0)
        await world.wait_for(lambda: world.state(quick) == "completed", 5)
        await world.wait_for(lambda: len(world.find_running(batch)) == CORES, 2)
        await trio.sleep(1)
        submit(world, "quick", CORES - 1, 1.0)
        await trio.sleep(3)
        assert len(find_stopped(world, batch)) == 2


async def test_freed_room_is_held(clock, preemption):
    """Guards against small work that takes the room before all of it is free."""
    preemption("priority")
    async with open_world() as world:
        use_queues(world, 0, 1)
        await fill(world)
        submit(world, "queue", CORES, 60.0)
        quick = submit(world, "quick", 1, 1.0, size=LARGE)
        leader = world.daemons["a"].leader
        await world.wait_for(lambda: bool(leader._preemptor.holds), 3)
        await trio.sleep(0.05)
        (holds,) = leader._preemptor.holds.values()
        model = next(iter(world.executors.values()))
        model.end_run(holds[0].stopped[0][0].name, EndKind.STOPPED)
        await world.wait_for(lambda: world.state(quick) == "completed", 1.5)


@pytest.mark.parametrize("delay", [0.0, 0.1])
async def test_preempted_run_goes_on_after_a_takeover(clock, preemption, delay):
    """Guards against subtasks that run twice, or not, after a lost leader.

    It is lost before or after its stop orders have been carried out.
    """
    preemption("priority")
    async with open_world() as world:
        use_queues(world, 0, 1)
        batch = await fill(world)
        quick = submit(world, "quick", 2, 1.0)
        leader = world.daemons["a"].leader
        await world.wait_for(lambda: bool(leader._preemptor.holds), 3)
        await trio.sleep(delay)
        world.kill(world.daemons["a"])
        world.start_daemon("b")
        if delay:
            await world.wait_for(lambda: world.state(quick) == "completed", 10)
            assert len(find_stopped(world, batch)) == 2
        await world.wait_for(lambda: len(world.find_running(batch)) == CORES, 10)
        world.check_runs()


async def test_hold_ends_if_the_executor_does_not_answer(clock, preemption):
    """Guards against room that is held for ever, or a run that counts as failed."""
    preemption("priority")
    async with open_world() as world:
        use_queues(world, 0, 1)
        batch = await fill(world)
        submit(world, "quick", 2, 1.0)
        leader = world.daemons["a"].leader
        await world.wait_for(lambda: bool(leader._preemptor.holds), 3)
        model = next(iter(world.executors.values()))
        model.unresponsive = True
        await trio.sleep(5)
        assert not leader._preemptor.holds
        model.unresponsive = False
        await world.wait_for(lambda: len(world.find_running(batch)) == CORES, 15)
        assert world.state(batch) == "running"
        world.check_runs()


def make_run(name, cpu, worked, checkpoints=False, remaining=60.0, **values):
    """Return a run that may be stopped."""
    reason = values.get("reason", Reason.PRIORITY)
    size = (cpu, 100, 0)
    return RunningWork(name, "w", size, worked, remaining, 50, checkpoints, reason)


def test_cheapest_runs_are_chosen():
    """Guards against lost work although a checkpoint or a younger run would do."""
    runs = [
        make_run("old", 4000, 30.0),
        make_run("young", 4000, 2.0),
        make_run("saved", 4000, 50.0, checkpoints=True),
        make_run("spared", 4000, 0.1, reason=None),
    ]
    room = ExecutorRoom("e", (0, 9000, 0), runs)
    one = choose_runs((4000, 100, 0), room, 0.4)
    assert [run.name for run in one.runs] == ["saved"]
    two = choose_runs((8000, 100, 0), room, 0.4)
    assert {run.name for run in two.runs} == {"saved", "young"}
    assert choose_runs((16_000, 100, 0), room, 0.4) is None
    assert choose_cheapest([two, None, one], 1e9) is one
    assert choose_cheapest([two], 9.0) is None


def test_step_gets_room_for_all_its_subtasks_or_none():
    """Guards against stops for a job that is late all the same."""
    runs = [make_run(str(number), 4000, 2.0) for number in range(3)]
    rooms = {"e": ExecutorRoom("e", (4000, 9000, 0), runs)}
    before = dict(rooms)
    plan = partial(plan_preemptions, (4000, 100, 0), rooms=rooms)
    plan = partial(plan, start_seconds=1.0, stop_seconds=0.4, budget=1e9)
    assert plan(count=5) == [] and rooms == before
    assert len(plan(count=4)) == 3
    assert rooms["e"].free[0] == 0 and not rooms["e"].runs


def test_room_of_one_stop_serves_several_subtasks():
    """Guards against a second run that is stopped beside room that is left."""
    runs = [make_run("a", 4000, 2.0), make_run("b", 4000, 3.0)]
    rooms = {"e": ExecutorRoom("e", (0, 9000, 0), runs)}
    plan = plan_preemptions((1000, 100, 0), 4, rooms, 1.0, 0.4, 1e9)
    assert [run.name for item in plan for run in item.runs] == ["a"]


def test_no_run_is_stopped_whose_room_is_not_needed():
    """Guards against a small cheap run stopped beside the one that suffices."""
    runs = [make_run("small", 500, 0.1), make_run("large", 4000, 2.0)]
    room = ExecutorRoom("e", (0, 9000, 0), runs)
    chosen = choose_runs((4000, 100, 0), room, 0.4)
    assert [run.name for run in chosen.runs] == ["large"]


def test_stops_come_at_the_last_moment_that_helps():
    """Guards against stops that come too early, or too late to help."""
    moments = [is_last_moment(now, 10.0, 0.5) for now in (5.0, 9.3, 9.6, 11.0)]
    assert moments == [False, True, False, False]
    ending = ExecutorRoom("e", (0, 900, 0), [make_run("r", 4000, 1.0, remaining=2.0)])
    assert has_room_in_time((4000, 100, 0), ending, 2.0)
    assert not has_room_in_time((4000, 100, 0), ending, 1.0)
    remaining = [
        estimate_remaining(*case) for case in ((9, 90, 99), (2, 0, 5), (9, 0, 5))
    ]
    assert remaining == [1.0, 3, 9]


def test_budget_of_lost_work_recovers():
    """Guards against a pool that throws away more than is permitted."""
    budget = LossBudget(10.0)
    budget.add(0.0, 8.0)
    assert budget.measure_left(5.0, 10.0) == 2.0
    assert budget.measure_left(10.0, 10.0) == 10.0


def test_daemons_without_the_section_use_the_shipped_defaults():
    """Guards against other values in tests than in the shipped file."""
    shipped = ConfigParser()
    shipped.read(DEFAULTS_FILE)
    section = attrs.asdict(DEFAULT_PREEMPTION)
    assert {key: str(text) for key, text in shipped["preemption"].items()} == {
        key: f"{value:g}" if isinstance(value, float) else value
        for key, value in section.items()
    }
