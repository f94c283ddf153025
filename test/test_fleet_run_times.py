"""Times of runs that teach the scheduler how long subtasks take."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import EndKind
from hemlockstand.fleet.policy.observations import RunTime
from hemlockstand.fleet.run_times import measure_run
from hemlockstand.fleet.work import Run
from test.fleet_world import SMALL, make_step, open_world


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


@pytest.mark.parametrize(
    ("kind", "values", "told"),
    [
        (EndKind.DONE, {}, RunTime(5.0, True)),
        (EndKind.DONE, {"answered_at": None}, RunTime(7.0, True)),
        (EndKind.DONE, {"checkpoint": "own"}, RunTime(5.0, True)),
        (EndKind.DONE, {"resumed": True}, RunTime(5.0, False)),
        (EndKind.DONE, {"start_unknown": True}, RunTime(5.0, False)),
        (EndKind.DONE, {"slowed": True}, None),
        (EndKind.FAILED, {}, RunTime(5.0, False)),
        (EndKind.STOPPED, {"stopped_at": 14.0}, RunTime(2.0, False)),
        (EndKind.STOPPED, {"answered_at": None}, None),
        (EndKind.LAPSED, {}, None),
        (EndKind.ALONE, {}, None),
    ],
)
def test_ends_tell_what_they_show(kind, values, told):
    """Guards against times that are shorter or longer than the work took."""
    run = Run(1, "e", 1, 10.0)
    run.answered_at = 12.0
    for name, value in values.items():
        setattr(run, name, value)
    assert measure_run(run, make_step(), kind, 17.0) == told


async def test_slow_link_does_not_lengthen_work(clock):
    """Guards against estimates that grow while orders wait on a slow link."""
    async with open_world() as world:
        world.call_seconds = 0.25
        world.add_executor()
        leader = world.start_daemon("a")
        await trio.sleep(3)
        jobs = [
            world.submit(make_step(seconds=1.0), work=SubtaskBehaviour(1.0, size=SMALL))
            for _ in range(16)
        ]
        await world.wait_for(
            lambda: all(world.state(job) == "completed" for job in jobs), 20
        )
        durations = leader.leader.state.registry.durations
        spec = leader.leader.state.registry.jobs[jobs[0]].spec
        assert durations.expect(spec, 0).median_seconds < 1.15


async def test_adopted_run_does_not_count_from_its_adoption(clock):
    """Guards against estimates that fall with each takeover."""
    async with open_world() as world:
        world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        second = world.start_daemon("b")
        job = world.submit(
            make_step(12, seconds=4.0), work=SubtaskBehaviour(4.0, size=SMALL)
        )
        await world.wait_for(lambda: world.count_runs(job) == 12, 5)
        world.kill(first)
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        durations = second.leader.state.registry.durations
        spec = second.leader.state.registry.jobs[job].spec
        assert durations.expect(spec, 0).median_seconds > 3.5
