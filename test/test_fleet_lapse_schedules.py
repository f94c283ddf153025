"""Drawn schedules of takeovers and faults, with clocks that differ.

Lasting work must not run twice at the same time, and has to run at the end.
"""

import json
import os
from collections.abc import Callable
from random import Random

import attrs
import pytest
import trio
from attrs import define

from emulator.fleet_executors import ExecutorModel, SubtaskBehaviour
from emulator.row_store import RowStoreAccess
from hemlockstand.fleet.model import EndKind
from hemlockstand.fleet.policy.crashes import is_given_up
from test import fleet_world
from test.fleet_faults import (
    delay_starts,
    delay_writes,
    disconnect_executor,
    disconnect_store,
    lose_start_answers,
    lose_write_answers,
    pick_executor,
    restart_executor,
)
from test.fleet_world import (
    LASTING,
    SMALL,
    Daemon,
    FleetWorld,
    make_step,
)

# Of the lease row, which the earlier version leaves out.
LATER_FIELDS = ("time_ms", "time_since", "lapses", "blocked", "replaced_ms", "stops_ms")
FAULT_SECONDS = 60.0
QUIET_SECONDS = 25.0
FIRST_SEED, LAST_SEED = map(int, os.environ.get("HEMLOCKSTAND_SEEDS", "0:3").split(":"))


@define(eq=False)
class SlowClockExecutor(ExecutorModel):
    """An executor whose clock runs 2% slow, as slow as it may."""

    rate = 0.98

    @property
    def clock_ms(self) -> int:
        """The time on the executor's clock."""
        return int((trio.current_time() - self.clock_offset) * self.rate * 1000)

    def _end(self, name: str, kind: EndKind, at: float) -> None:
        if kind is EndKind.LAPSED:
            at = min(
                self.due_ms / 1000 / self.rate + self.clock_offset, trio.current_time()
            )
        ExecutorModel._end(self, name, kind, at)


@define(eq=False)
class EarlierVersionRows(RowStoreAccess):
    """The store as a scheduler uses it that keeps no time in its lease."""

    async def read(self, table, start="", end="", part=""):
        """Return rows without what that version does not know."""
        page = await RowStoreAccess.read(self, table, start, end, part)
        rows = tuple(_hide(row) for row in page.rows if row.key != "lapses")
        return attrs.evolve(page, rows=rows)

    async def write(self, writes=(), expected=(), removed=()):
        """Write rows without what that version does not know."""
        writes = tuple(_hide(write) for write in writes if write.key != "lapses")
        return await RowStoreAccess.write(self, writes, expected, removed)


def _hide(row):
    if row.table != "scheduler" or row.key != "lease" or row.value is None:
        return row
    body = json.loads(row.value)
    known = {key: value for key, value in body.items() if key not in LATER_FIELDS}
    return attrs.evolve(row, value=json.dumps(known).encode())


@define(eq=False)
class ClockWorld(FleetWorld):
    """A world in which each daemon's clock has a rate of its own."""

    random: Random = attrs.field(factory=Random)
    earlier_versions: bool = False

    def start_daemon(self, name: str) -> Daemon:
        """Start a daemon, which may be of the earlier version."""
        kind = RowStoreAccess
        if self.earlier_versions and self.random.random() < 0.4:
            kind = EarlierVersionRows
        access = fleet_world.InstanceAccess(self.instances)
        daemon = Daemon(name, kind(self.store), access)
        self.daemons[name] = daemon
        self.nursery.start_soon(self._run_daemon, daemon)
        return daemon

    def find_clock(self, daemon: Daemon) -> Callable[[], float]:
        """Return a clock that is up to half a hundredth slow or fast."""
        rate = self.random.uniform(0.995, 1.005)
        offset = self.random.uniform(100, 900)
        return lambda: trio.current_time() * rate + offset


async def replace_holder(world: FleetWorld, random: Random) -> None:
    """Kill or stop the scheduler; a daemon of another name follows it."""
    holder = world.daemons.get(world.lease_holder())
    if holder is None:
        return
    if random.random() < 0.5 or holder.leader is None:
        world.kill(holder)
    else:
        world.stop(holder)
    await trio.sleep(random.choice((0, random.uniform(0, 3))))
    if world.daemons.get(holder.name) is holder:
        del world.daemons[holder.name]
        world.start_daemon(f"{holder.name.split('+')[0]}+{next(world._ids)}")


async def take_entry_away(world: FleetWorld, random: Random) -> None:
    """Remove the entry of an executor that is cut off, and return it later."""
    model = pick_executor(world, random)
    if random.random() < 0.7:
        model.unresponsive = True
    await trio.sleep(random.uniform(0, 1))
    world.store.remove("servers", model.id)
    await trio.sleep(random.uniform(0.1, 8))
    if random.random() < 0.3:
        model.restart()
    model.unresponsive = False
    await trio.sleep(random.choice((0, random.uniform(0, 2))))
    world.register_executor(model)


async def silence_executor(world: FleetWorld, random: Random) -> None:
    """Let an executor answer no calls for some time."""
    model = pick_executor(world, random)
    model.unresponsive = True
    await trio.sleep(random.uniform(0.5, 7))
    model.unresponsive = False


async def refuse_rows(world: FleetWorld, random: Random) -> None:
    """Let the store refuse the row of lapses for a time."""
    keys = ("lapses",)
    daemons = list(world.daemons.values())
    for daemon in daemons:
        daemon.rows.refuses = lambda write: write.key.startswith(keys)
    await trio.sleep(random.uniform(0.05, 1))
    for daemon in daemons:
        daemon.rows.refuses = lambda write: False


async def slow_store(world: FleetWorld, random: Random) -> None:
    """Let the calls to the store take long for all daemons."""
    seconds = random.choice((0.05, 0.2, 0.4))
    daemons = list(world.daemons.values())
    for daemon in daemons:
        daemon.rows.call_seconds = seconds
    await trio.sleep(random.uniform(0.5, 6))
    for daemon in daemons:
        daemon.rows.call_seconds = 0.004


FAULTS = (
    replace_holder,
    replace_holder,
    replace_holder,
    take_entry_away,
    silence_executor,
    restart_executor,
    disconnect_executor,
    disconnect_executor,
    disconnect_store,
    lose_write_answers,
    delay_writes,
    lose_start_answers,
    delay_starts,
    slow_store,
)


async def run_schedule(seed: int, faults, earlier_versions: bool, monkeypatch) -> None:
    """Run lasting work under drawn faults and check its runs."""
    monkeypatch.setattr(fleet_world, "ExecutorModel", SlowClockExecutor)
    random = Random(seed)
    async with trio.open_nursery() as nursery:
        world = ClockWorld(nursery, random=random, earlier_versions=earlier_versions)
        for position in range(4):
            world.add_executor(rack=f"r{position % 2}")
        for name in ("a", "b", "c"):
            world.start_daemon(name)
        jobs = [
            world.submit(
                make_step(2, lasting=True, max_per_executor=1),
                work=SubtaskBehaviour(LASTING, size=SMALL),
            )
            for _ in range(3)
        ]
        await trio.sleep(4)
        end_at = trio.current_time() + FAULT_SECONDS
        while trio.current_time() < end_at:
            nursery.start_soon(random.choice(faults), world, random)
            await trio.sleep(random.expovariate(1.2))
            world.check_runs()
        await trio.sleep(QUIET_SECONDS)
        world.check_runs()
        # Restarts of executors may look as if a subtask had caused them.
        leader = world.daemons[world.lease_holder()].leader
        for job in jobs:
            found = leader.state.registry.jobs[job]
            given_up = sum(
                is_given_up(subtask)
                for step_run in found.steps.values()
                for subtask in step_run.subtasks
            )
            running = len(world.find_running(job))
            assert running + given_up == 2, f"{job} is idle at the end"
        for executor in leader.state.executors.values():
            assert not executor.lapse_stored, f"{executor.id} gets no leases"
            assert executor.recorded, f"{executor.id} is not named"
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("earlier_versions", [False, True])
@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED))
async def test_lasting_work_runs_once_under_drawn_faults(
    autojump_clock, monkeypatch, seed, earlier_versions
):
    """Guards against a run that begins before a lease has certainly expired."""
    await run_schedule(seed, FAULTS, earlier_versions, monkeypatch)


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED))
async def test_lasting_work_runs_again_after_refused_rows(
    autojump_clock, monkeypatch, seed
):
    """Guards against executors that get no leases or runs any more."""
    await run_schedule(seed, (*FAULTS, refuse_rows), False, monkeypatch)
