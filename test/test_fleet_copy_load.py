"""A load in which few runs take several times as long, with and without copies."""

import time
from random import Random

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources
from test.fleet_world import SMALL, make_step, open_world

SLOW_FRACTION = 0.03
SLOW_FACTOR = 7
JOBS = 150
STEPS = 3  # one after the other
COUNT = 4  # subtasks of a step
SPREAD = (0.8, 1.2)  # of the usual times of a run
INTERVAL_SECONDS = 0.5  # mean time between two jobs
SEEDS = (1, 2, 3)


def set_random_runs(world, random):
    """Let each run take its usual time, or seven times that by chance."""

    def describe(subtask):
        seconds = random.uniform(*SPREAD)
        if random.random() < SLOW_FRACTION:
            seconds *= SLOW_FACTOR
        return SubtaskBehaviour(seconds, size=SMALL)

    for model in world.executors.values():
        model.describe = describe


def make_steps(speculative):
    """Return the steps of a job."""
    return [
        make_step(
            COUNT, after=(position - 1,) if position else (), speculative=speculative
        )
        for position in range(STEPS)
    ]


async def play(seed, speculative):
    """Return the sorted times of the jobs, and the core-seconds of their runs."""
    random = Random(seed)
    seconds = []
    async with open_world() as world:
        for position in range(4):
            world.add_executor(rack=f"r{position % 2}")
        set_random_runs(world, Random(seed))
        world.start_daemon("a")
        await trio.sleep(1)

        async def follow(job):
            sent_at = trio.current_time()
            await world.wait_for(lambda: world.state(job) == "completed", 30)
            seconds.append(trio.current_time() - sent_at)

        async with trio.open_nursery() as nursery:
            for _ in range(JOBS):
                job = world.submit(
                    *make_steps(speculative),
                    accepted_ms=int(time.time() * 1000),
                )
                nursery.start_soon(follow, job)
                await trio.sleep(random.expovariate(1 / INTERVAL_SECONDS))
        await trio.sleep(1)
        world.check_speculative_runs()
        world.check_capacities()
        if not speculative:
            world.check_runs()
        (leader,) = (daemon.leader for daemon in world.daemons.values())
        assert leader.state.registry.in_use["team"] == Resources()
        used = sum(run.ended_at - run.began_at for run in world.records)
    return sorted(seconds), used


def count_in_time(seconds):
    """Return the part of the jobs that complete within their objective."""
    objective = 1.6 * STEPS + 0.6
    return sum(1 for value in seconds if value <= objective) / len(seconds)


@pytest.mark.parametrize("seed", SEEDS)
async def test_copies_shorten_the_tail(autojump_clock, seed):
    """Guards against jobs that are as late as their slowest run.

    With six subtasks, a sixth of the jobs has a run of seven times the usual
    time. Their median and the work done must hardly change.
    """
    plain, plain_use = await play(seed, speculative=False)
    copied, copied_use = await play(seed, speculative=True)
    figures = {
        "in_time": (count_in_time(plain), count_in_time(copied)),
        "median": (plain[JOBS // 2], copied[JOBS // 2]),
        "p95": (plain[JOBS * 95 // 100], copied[JOBS * 95 // 100]),
        "p99": (plain[JOBS * 99 // 100], copied[JOBS * 99 // 100]),
        "core_seconds": (plain_use, copied_use),
    }
    print(
        {
            name: tuple(round(value, 3) for value in pair)
            for name, pair in figures.items()
        }
    )
    assert copied[JOBS * 95 // 100] < 0.6 * plain[JOBS * 95 // 100], figures
    assert copied[JOBS * 99 // 100] < 0.75 * plain[JOBS * 99 // 100], figures
    assert copied[JOBS // 2] < 1.05 * plain[JOBS // 2], figures
    assert copied_use < plain_use, figures
