"""Copies of slow subtasks under seeded random faults.

Jobs have speculative steps beside others, and a fifth of the runs takes six
times as long. No connected executor starts a subtask long after its
acknowledged end or its last attempt, the tenant stays within its maximum, no
start exceeds an executor, and all jobs end once the faults are over.
"""

import os
import time
from collections import Counter
from random import Random

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources, Step
from test.fleet_faults import cancel_later, inject_random_faults
from test.fleet_world import FleetWorld, make_config, open_world
from test.test_fleet_interleavings import (
    FAULT_SECONDS,
    MAXIMUM_CPU,
    QUIET_SECONDS,
    check_jobs,
    watch_maximum,
)

# More seeds: HEMLOCKSTAND_SEEDS=0:300 pytest test/test_fleet_copy_interleavings.py
FIRST_SEED, LAST_SEED = map(int, os.environ.get("HEMLOCKSTAND_SEEDS", "0:8").split(":"))
ATTEMPTS = 3
SLOW_FRACTION = 0.2
SLOW_FACTOR = 6


def submit_speculative_job(world: FleetWorld, random: Random) -> str:
    """Submit a job of one or two steps, most of them speculative; return its id."""
    size = Resources(random.choice((500, 1000, 2000)), 512)
    seconds = random.uniform(0.4, 2.0)
    steps = [
        Step(
            random.randint(4, 8),
            size,
            int(seconds * 1000),
            after=(position - 1,) if position else (),
            speculative=random.random() < 0.8,
        )
        for position in range(random.randint(1, 2))
    ]
    return world.submit(
        *steps,
        work=SubtaskBehaviour(seconds, size=size),
        accepted_ms=int(time.time() * 1000),
    )


async def submit_speculative_jobs(world: FleetWorld, random: Random) -> None:
    """Submit jobs while faults are injected, and cancel some of them."""
    end_at = trio.current_time() + FAULT_SECONDS
    while trio.current_time() < end_at:
        job = submit_speculative_job(world, random)
        if random.random() < 0.1:
            world.nursery.start_soon(cancel_later, world, job, random.uniform(0.1, 5))
        await trio.sleep(random.expovariate(0.8))


def set_random_runs(world: FleetWorld, random: Random) -> None:
    """Let each run be usual, slow or failing by chance."""

    def describe(subtask):
        usual = world.describe(subtask)
        seconds = usual.seconds
        if random.random() < SLOW_FRACTION:
            seconds *= SLOW_FACTOR
        fails = random.random() < 0.03
        return SubtaskBehaviour(seconds, fails=fails, size=usual.size)

    for model in world.executors.values():
        model.describe = describe


def record_connections(world: FleetWorld) -> None:
    """Record with each start whether the scheduler reaches the executor."""

    def report(model, record):
        holder = world.daemons.get(world.lease_holder())
        cut = holder is None or holder.leader is None or model.id in holder.cut_off
        record.connected = not cut and not model.unresponsive

    for model in world.executors.values():
        model.report_start = report


def count_doubles(world: FleetWorld) -> int:
    """Return how many runs began while another run of their subtask went on."""
    runs: dict[str, list] = {}
    for run in world.records:
        runs.setdefault(run.subtask, []).append(run)
    return sum(
        1
        for group in runs.values()
        for run in group
        if any(
            other.began_at < run.began_at < (other.ended_at or run.began_at + 1)
            for other in group
        )
    )


def check_single_steps(world: FleetWorld) -> None:
    """Check that subtasks of other steps run once at a time, as ever."""
    records = world.records
    world.records = [run for run in records if not is_speculative(world, run.subtask)]
    world.check_runs()
    world.records = records


def is_speculative(world: FleetWorld, subtask: str) -> bool:
    """Return whether the step of a subtask is speculative, as it was stored."""
    job, _, position, _ = subtask.split(".")
    return world.specs[job][int(position)].speculative


def check_starts(world: FleetWorld) -> None:
    """Check that copies were started, and no subtask more often than expected."""
    assert count_doubles(world), "no copy was started"
    counts = Counter(run.subtask for run in world.records)
    assert max(counts.values()) < 20


def check_use(world: FleetWorld) -> None:
    """Check that the scheduler counts no use of runs that have ended."""
    leader = world.daemons[world.lease_holder()].leader
    assert leader is not None
    copies = leader.state.registry.copies
    assert not copies.copied
    assert not copies.unneeded
    assert all(use == Resources() for use in leader.state.registry.in_use.values())
    assert all(
        executor.used == Resources() for executor in leader.state.executors.values()
    )


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED))
async def test_rules_hold_with_two_runs(autojump_clock, seed):
    """Guards against broken rules that only copies beside faults cause."""
    random = Random(seed)
    async with open_world() as world:
        world.configuration.current = make_config(
            Resources(MAXIMUM_CPU), attempts=ATTEMPTS
        )
        for position in range(5):
            world.add_executor(rack=f"r{position % 2}")
        set_random_runs(world, Random(seed))
        record_connections(world)
        for name in ("a", "b", "c"):
            world.start_daemon(name)
        world.nursery.start_soon(watch_maximum, world)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_speculative_jobs, world, random)
            nursery.start_soon(inject_random_faults, world, random, FAULT_SECONDS)
        await trio.sleep(QUIET_SECONDS)
        world.check_speculative_runs(ATTEMPTS)
        check_single_steps(world)
        world.check_capacities()
        check_starts(world)
        check_jobs(world)
        check_use(world)
