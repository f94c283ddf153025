"""Drawn takeovers and faults while instances are maintained, with clocks that differ.

Orders of two holders for one instance must be the required time apart, and at
most ``max_unavailable`` subtasks may be away by the system's stops.
"""

import os
from random import Random

import pytest
import trio
from attrs import define

from emulator import fleet_executors
from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import EndKind, Wave
from test.fleet_faults import disconnect_store, lose_write_answers
from test.fleet_world import LASTING, SMALL, FleetWorld, make_step
from test.test_fleet_lapse_schedules import ClockWorld, replace_holder
from test.test_fleet_order_intervals import check_intervals
from test.test_fleet_release_faults import LossyWorld

FAULT_SECONDS = 60.0
WAVE_SECONDS = 8.0  # from the beginning of a wave to that of the next one
LONGEST_FLIGHT_SECONDS = 1.95
FIRST_SEED, LAST_SEED = map(int, os.environ.get("HEMLOCKSTAND_SEEDS", "0:3").split(":"))


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


@define(eq=False)
class HandoverWorld(ClockWorld):
    """Daemons with clocks of their own, whose polls may lose the answer."""

    connect_executor = LossyWorld.connect_executor


def check_budget(world: FleetWorld, job: str) -> None:
    """Check that no run was stopped while another one was away by a stop."""
    for model in world.executors.values():
        model.advance()
    runs = [run for run in world.records if run.subtask.startswith(job)]
    stops = [run for run in runs if run.kind is EndKind.STOPPED]
    for stop in stops:
        away = {
            other.subtask
            for other in stops
            if other.subtask != stop.subtask
            and other.ended_at <= stop.ended_at
            and not any(
                later.subtask == other.subtask
                and later.began_at >= other.ended_at
                and later.began_at < stop.ended_at
                for later in runs
            )
        }
        assert not away, f"{stop} was stopped while {away} were away by stops"


async def cut_briefly(world: FleetWorld, random: Random) -> None:
    """Cut a scheduler off from an executor for a short time."""
    daemon = world.daemons.get(world.lease_holder())
    if daemon is None or not world.executors:
        return
    name = random.choice(list(world.executors))
    daemon.cut_off.add(name)
    await trio.sleep(random.uniform(0.1, 1.5))
    daemon.cut_off.discard(name)


async def delay_orders(world: FleetWorld, random: Random) -> None:
    """Let the orders of a daemon for instances take long, fail or stay unanswered."""
    daemon = world.daemons.get(world.lease_holder())
    if daemon is None:
        return
    access = daemon.instances
    seconds = random.uniform(0, LONGEST_FLIGHT_SECONDS)
    access.order_seconds = random.choice((0, seconds))
    access.order_answer_seconds = LONGEST_FLIGHT_SECONDS - access.order_seconds
    access.lost_answers = random.randint(0, 2)
    access.closed = random.random() < 0.3
    await trio.sleep(random.uniform(0.1, 2))
    access.order_seconds = access.order_answer_seconds = 0.0
    access.closed = False


FAULTS = (
    replace_holder,
    replace_holder,
    replace_holder,
    cut_briefly,
    cut_briefly,
    delay_orders,
    delay_orders,
    lose_write_answers,
    disconnect_store,
)


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED))
async def test_waits_hold_over_drawn_takeovers(clock, monkeypatch, seed):
    """Guards against orders and stops that come too soon after a takeover."""
    monkeypatch.setattr(fleet_executors, "STOP_SECONDS", 0.85)
    random = Random(seed)
    async with trio.open_nursery() as nursery:
        world = HandoverWorld(nursery, random=random)
        world.add_instances("pool", 6)
        for name in ("a", "b", "c"):
            world.start_daemon(name)
        step = make_step(3, lasting=True, max_unavailable=1, max_per_executor=1)
        job = world.submit(step, work=SubtaskBehaviour(LASTING, size=SMALL))
        await world.wait_for(lambda: len(world.find_running(job)) == 3, 10)
        names = tuple(world.instances.instances)
        number = 0
        end_at = trio.current_time() + FAULT_SECONDS
        while trio.current_time() < end_at:
            nursery.start_soon(random.choice(FAULTS), world, random)
            if number * WAVE_SECONDS <= trio.current_time():
                number += 1
                world.configuration.waves[number] = Wave(number, names, 20.0, 2)
            await trio.sleep(random.expovariate(1.5))
            check_intervals(world)
            check_budget(world, job)
            world.check_runs()
        await trio.sleep(20)
        check_intervals(world)
        check_budget(world, job)
        assert len(world.find_running(job)) == 3
        nursery.cancel_scope.cancel()
