"""The scheduler under seeded random faults.

Each test checks the runs of the executors: no subtask runs twice at the same
time or again after an acknowledged end, the tenant stays within its maximum or
no start exceeds its executor's capacity, and all jobs are done once the faults
are over.
"""

import os
from random import Random

import pytest
import trio

from hemlockstand.fleet.model import Resources
from test.fleet_faults import (
    change_random_capacities,
    fail_random_tables,
    inject_random_faults,
    submit_random_jobs,
)
from test.fleet_world import FleetWorld, make_config, open_world

FAULT_SECONDS = 40.0
QUIET_SECONDS = 45.0
MAXIMUM_CPU = 40_000
# More seeds: HEMLOCKSTAND_SEEDS=0:300 pytest test/test_fleet_interleavings.py
FIRST_SEED, LAST_SEED = map(int, os.environ.get("HEMLOCKSTAND_SEEDS", "0:8").split(":"))


async def watch_maximum(world: FleetWorld) -> None:
    """Check ten times a second that the tenant stays within its maximum.

    Runs on executors that the daemons cannot reach count too, so the tenant
    may exceed its maximum by a tenth and one subtask.
    """
    while True:
        for model in world.executors.values():
            model.advance()
        used = sum(
            model.capacity.cpu_millis - model.free_resources().cpu_millis
            for model in world.executors.values()
        )
        assert used <= MAXIMUM_CPU * 1.1 + 4000, f"the tenant uses {used} CPU millis"
        await trio.sleep(0.1)


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED))
async def test_rules_hold_under_random_faults(autojump_clock, seed):
    """Guards against broken rules that only a combination of faults causes."""
    random = Random(seed)
    async with open_world() as world:
        world.configuration.current = make_config(Resources(MAXIMUM_CPU))
        for position in range(5):
            world.add_executor(rack=f"r{position % 2}")
        for name in ("a", "b", "c"):
            world.start_daemon(name)
        world.nursery.start_soon(watch_maximum, world)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_random_jobs, world, random, FAULT_SECONDS)
            nursery.start_soon(inject_random_faults, world, random, FAULT_SECONDS)
        await trio.sleep(QUIET_SECONDS)
        world.check_runs()
        check_jobs(world)


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED))
async def test_no_start_exceeds_a_changing_capacity(autojump_clock, seed):
    """Guards against starts over the capacity of executors that shrink.

    The executors have no admission check.
    """
    random = Random(seed)
    async with open_world() as world:
        world.configuration.current = make_config(admission_check=False)
        for position in range(4):
            world.add_executor(rack=f"r{position % 2}", admission_check=False)
        for name in ("a", "b", "c"):
            world.start_daemon(name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_random_jobs, world, random, FAULT_SECONDS)
            nursery.start_soon(inject_random_faults, world, random, FAULT_SECONDS)
            nursery.start_soon(change_random_capacities, world, random, FAULT_SECONDS)
            nursery.start_soon(fail_random_tables, world, random, FAULT_SECONDS)
        await trio.sleep(QUIET_SECONDS)
        world.check_capacities()
        world.check_runs()
        check_jobs(world)


def check_jobs(world: FleetWorld) -> None:
    """Check that each job has ended, or is running if its work is lasting."""
    jobs = {key for table, _, key in world.store.rows if table == "jobs"}
    for job in (key for key in sorted(jobs) if "/" not in key):
        state = world.state(job)
        if state in ("completed", "failed", "cancelled"):
            running = world.find_running(job)
            assert not running, f"job {job} is {state} and still runs"
        else:
            work = world.work[job]
            assert work.lasting, f"job {job} is still {state}"
            assert world.find_running(job), f"lasting job {job} does not run"
