"""What copies, and the checks for slow runs, cost."""

import time

import attrs
import pytest
import trio

from hemlockstand.fleet.model import EndKind, Resources
from test import fleet_world
from test.fleet_world import make_config, make_step, open_world
from test.test_fleet_copies import (
    SLOW_SECONDS,
    count_exact,
    make_behaviour,
    set_runs,
    set_slow,
    start_world,
    submit_now,
    submit_slow,
    wait_for_copy,
)


async def test_full_pool_is_searched_once_a_check(autojump_clock, monkeypatch):
    """Guards against a search of all executors for each slow run of a full pool."""
    async with open_world() as world:
        for position in range(10):
            world.add_executor(rack=f"r{position % 2}")
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(
            make_step(60, 60, speculative=True),
            work=make_behaviour(60),
            accepted_ms=int(time.time() * 1000),
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 60, 10)
        starter = daemon.leader._copy_starter
        step_run = daemon.leader.state.registry.find(f"{job}.0.0.0").step_run
        for subtask in step_run.subtasks:
            subtask.avoid.update(world.executors)
        searches = []
        choose = type(starter)._choose_executor

        def record(self, subtask, *args):
            searches.append((trio.current_time(), subtask.name))
            return choose(self, subtask, *args)

        monkeypatch.setattr(type(starter), "_choose_executor", record)
        step_run.finished_seconds.extend([0.5] * 3)
        await trio.sleep(10)
        checks = [at for at, _ in searches]
        assert len(checks) > 20
        assert len(set(checks)) == len(checks)
        # The one that finds no room does not keep the others from a search.
        assert len({name for _, name in searches}) > 20


async def test_team_has_few_copies_at_once(autojump_clock):
    """Guards against copies without bound where every run is slow."""
    async with open_world() as world:
        for position in range(6):
            world.add_executor(rack=f"r{position % 2}")
        slow = [f".0.0.{index}" for index in range(4, 24)]
        set_runs(world, tuple(slow), make_behaviour(SLOW_SECONDS))
        world.start_daemon("a")
        await trio.sleep(1)
        job = submit_now(world, make_step(24, speculative=True))
        most = 0
        while world.state(job) != "completed":
            running = len(world.find_running(job))
            most = max(most, running - len({r.subtask for r in world.find_running()}))
            await trio.sleep(0.05)
        # A tenth of twenty cores, and the one that may exceed it.
        assert 1 <= most <= 3
        await trio.sleep(0.5)
        world.check_speculative_runs()


async def test_disabled_copies_keep_no_runs(autojump_clock, monkeypatch):
    """Guards against memory that grows with each run where copies are off."""
    make_settings = fleet_world.make_settings

    def make_disabled(name):
        settings = make_settings(name)
        copies = attrs.evolve(settings.copies, enabled=False)
        return attrs.evolve(settings, copies=copies)

    monkeypatch.setattr(fleet_world, "make_settings", make_disabled)
    async with open_world() as world:
        daemon = start_world(world)
        job, name = await submit_slow(world)
        await world.wait_for(lambda: world.state(job) == "completed", 12)
        assert count_exact(world, name) == 1
        assert not daemon.leader.state.registry.copies.has_due(float("inf"))


async def test_refused_copies_are_not_counted(autojump_clock):
    """Guards against a slow run that gets no copy after executors refuse two."""
    async with open_world() as world:
        start_world(world, 8)
        job, name = await submit_slow(world)
        await world.wait_for(lambda: world.count_runs(job) == 4, 5)
        (first,) = world.find_running(name)
        others = [m for m in world.executors.values() if m.id != first.executor]
        for model in others:
            model.unhealthy_orders = 1
        await world.wait_for(
            lambda: sum(not model.unhealthy_orders for model in others) == 3, 5
        )
        for model in others:
            model.unhealthy_orders = 0
        await world.wait_for(lambda: len(world.find_running(name)) == 2, 2)


async def test_copy_that_was_left_alone_has_won_no_race(autojump_clock):
    """Guards against copies that seem useful because the first run was lost."""
    async with open_world() as world:
        daemon = start_world(world)
        job, name = await submit_slow(world)
        first, _ = await wait_for_copy(world, name)
        world.executors[first.executor].end_run(name, EndKind.STOPPED)
        await world.wait_for(lambda: world.state(job) == "completed", 9)
        assert not daemon.leader.state.registry.copies._races


@pytest.mark.parametrize(("seconds", "won"), [(1, True), (60, False)])
async def test_race_of_two_runs_is_counted(autojump_clock, seconds, won):
    """Guards against races that are not counted, or for the wrong run."""
    async with open_world() as world:
        daemon = start_world(world)
        set_slow(world, make_behaviour(seconds))
        job, name = await submit_slow(world)
        await wait_for_copy(world, name)
        await world.wait_for(lambda: world.state(job) == "completed", 9)
        races = daemon.leader.state.registry.copies._races
        assert [list(group) for group in races.values()] == [[won]]


@pytest.mark.parametrize(
    ("maximum", "waiting", "copied"), [(0, 1, 1), (20_000, 1, 1), (20_000, 20, 0)]
)
async def test_waiting_work_of_the_same_team(autojump_clock, maximum, waiting, copied):
    """Guards against a subtask that can never run and keeps copies from its team.

    Work for which a copy would take a part of the maximum comes first.
    """
    async with open_world() as world:
        world.configuration.current = make_config(Resources(maximum))
        start_world(world)
        job, name = await submit_slow(world)
        world.submit(make_step(waiting, label="none"), work=make_behaviour())
        await world.wait_for(lambda: world.state(job) == "completed", 12)
        assert count_exact(world, name) == 1 + copied
