"""Moves of one of two runs of a subtask, and their checkpoints."""

import trio

from hemlockstand.fleet.work import Run
from test.fleet_world import open_world
from test.test_fleet_copies import (
    SLOW,
    make_behaviour,
    set_runs,
    start_world,
    submit_slow,
    wait_for_copy,
)
from test.test_fleet_copy_policy import make_subtask


async def test_draining_executor_keeps_the_more_advanced_run(autojump_clock):
    """Guards against a stop of a run that is nearer its end than its copy."""
    async with open_world() as world:
        start_world(world)
        set_runs(world, f".{SLOW}", make_behaviour(6), make_behaviour(6))
        _, name = await submit_slow(world, checkpoints=True)
        first, _ = await wait_for_copy(world, name)
        await trio.sleep(2.5)
        model = world.executors[first.executor]
        model.draining = True
        world.register_executor(model)
        await trio.sleep(1)
        assert first.kind is None
        assert len(world.find_running(name)) == 2


def test_checkpoint_of_the_more_advanced_run_is_kept():
    """Guards against progress that is lost because the copy ends last."""
    subtask = make_subtask()
    subtask.keep_checkpoint("first", 80)
    subtask.keep_checkpoint("copy", 20)
    assert subtask.checkpoint == "first"
    subtask.keep_checkpoint("", 90)
    assert subtask.checkpoint == "first"
    subtask.keep_checkpoint("later", 80)
    assert subtask.checkpoint == "later"


def test_checkpoint_of_a_later_run_is_kept():
    """Guards against progress that is lost if percents count from a checkpoint."""
    subtask = make_subtask()
    subtask.keep_checkpoint("first", 80)
    subtask.add_run(Run(2, "x-2", 1, 0.0))
    subtask.keep_checkpoint("second", 20)
    assert subtask.checkpoint == "second"
