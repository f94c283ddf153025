"""Waves under seeded faults of lists, orders, the store and the scheduler.

Each test checks that a wave never has more than its maximum down, that no
maintenance begins after the wave is shown as completed, that each instance is
maintained once, and that all jobs are done once the faults are over.
"""

import os
from random import Random

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Step
from test.fleet_faults import delay_writes, disconnect_store, lose_write_answers
from test.fleet_world import LASTING, SMALL, add_wave, open_world, read_status
from test.wave_faults import WaveFaults

FAULT_SECONDS = 25.0
QUIET_SECONDS = 60.0
MAXIMUM = 2
# More seeds: HEMLOCKSTAND_WAVE_SEEDS=0:200 pytest test/test_wave_interleavings.py
FIRST_SEED, LAST_SEED = map(
    int, os.environ.get("HEMLOCKSTAND_WAVE_SEEDS", "0:8").split(":")
)


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


async def disturb_store(world, random):
    """Inject faults of the daemons' connections to the store."""
    faults = (delay_writes, disconnect_store, lose_write_answers)
    end_at = trio.current_time() + FAULT_SECONDS
    while trio.current_time() < end_at:
        await trio.sleep(random.uniform(1.0, 8.0))
        world.nursery.start_soon(random.choice(faults), world, random)


def submit_jobs(world):
    """Submit lasting work and short jobs; return their ids."""
    step = Step(3, SMALL, lasting=True, max_per_executor=1, max_unavailable=1)
    yield world.submit(step, work=SubtaskBehaviour(LASTING, size=SMALL))
    for _ in range(6):
        work = SubtaskBehaviour(2.0, size=SMALL)
        yield world.submit(Step(10, SMALL, 2000), work=work)


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED))
async def test_wave_keeps_its_rules_under_random_faults(clock, seed):
    """Guards against waves that a combination of faults leads astray."""
    random = Random(seed)
    async with open_world() as world:
        world.instances.change_seconds = random.choice((1.5, 4.0))
        world.add_instances("pool", 8)
        world.add_instances("standby", 2)
        names = list(world.instances.instances)

        def check_order(instance: str) -> None:
            down = world.instances.count_in_upkeep(1)
            assert down <= MAXIMUM, f"{down} are down with the order for {instance}"
            if "completed" in read_status(world):
                maintained = world.instances.maintained[1]
                assert sorted(maintained) == sorted(names), "completed early"

        faults = WaveFaults(world, random, check_order)
        for name in ("a", "b", "c"):
            faults.start_daemon(name)
        jobs = list(submit_jobs(world))
        await trio.sleep(random.uniform(0, 3))
        add_wave(world, names, maximum=MAXIMUM, seconds=30.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(faults.replace_leaders, FAULT_SECONDS)
            nursery.start_soon(faults.fail_instances, FAULT_SECONDS)
            nursery.start_soon(disturb_store, world, random)
        faults.end()
        await world.wait_for(lambda: "completed" in read_status(world), QUIET_SECONDS)
        assert sorted(world.instances.maintained[1]) == sorted(names)
        lasting, *short = jobs
        await world.wait_for(
            lambda: (
                all(world.state(job) == "completed" for job in short)
                and len(world.find_running(lasting)) == 3
            ),
            QUIET_SECONDS,
        )
        world.check_runs()
