"""Work that goes on while schedulers are replaced one after the other."""

import json

import pytest
import trio

from emulator.fleet_executors import ExecutorModel, SubtaskBehaviour
from test.fleet_world import LASTING, SMALL, FleetWorld, make_step, open_world

# A lasting subtask with room for it has to run again within this time.
IDLE_SECONDS = 9.0


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def replace_schedulers(world: FleetWorld, gap_seconds: float, kill: bool) -> None:
    """Replace the scheduler every ``gap_seconds``, until cancelled."""
    while True:
        holder = world.daemons[world.lease_holder()]
        world.start_daemon(f"{holder.name}+")
        if kill or holder.leader is None:
            world.kill(holder)
        else:
            world.stop(holder)
        await trio.sleep(gap_seconds)


async def start_lasting_job(world: FleetWorld) -> tuple[str, ExecutorModel]:
    """Start a lasting subtask, and add an executor that could take it as well."""
    lost = world.add_executor()
    world.start_daemon("a")
    job = world.submit(
        make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
    )
    await world.wait_for(lambda: world.find_running(job), 5)
    world.add_executor()
    await trio.sleep(1)
    return job, lost


@pytest.mark.parametrize("kill", [False, True])
@pytest.mark.parametrize("gap_seconds", [2.0, 4.0, 8.0])
async def test_takeovers_do_not_prolong_the_wait_for_a_lost_executor(
    clock, gap_seconds, kill
):
    """Guards against a wait after a takeover that begins anew with each takeover.

    The executor leaves with a lasting subtask while schedulers are replaced, and
    none of them can know when the lease that an earlier one granted has ended.
    """
    async with open_world() as world:
        job, lost = await start_lasting_job(world)
        world.nursery.start_soon(replace_schedulers, world, gap_seconds, kill)
        await trio.sleep(gap_seconds / 2)
        world.store.remove("servers", lost.id)
        lost.unresponsive = True
        await world.wait_for(lambda: world.count_runs(job) == 2, IDLE_SECONDS)
        world.check_runs()


async def take_over_beside_a_lost_executor(listed: bool) -> None:
    """Let a scheduler take over after an executor that none has ever reached.

    A subtask of a step that has begun waits for room, and gets it after the
    takeover. The entry of the lost executor stays in the store if ``listed``.
    """
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        step = make_step(2, lasting=True, max_per_executor=1)
        job = world.submit(step, work=SubtaskBehaviour(LASTING, size=SMALL))
        await world.wait_for(lambda: world.count_runs(job) == 1, 5)
        gone = world.add_executor()
        gone.unresponsive = True
        await trio.sleep(1)
        if not listed:
            world.store.remove("servers", gone.id)
        world.stop(world.daemons["a"])
        world.start_daemon("b")
        await world.wait_for(lambda: world.lease_holder() == "b", 2)
        world.add_executor()
        await world.wait_for(lambda: world.count_runs(job) == 2, 2)
        world.check_runs()


async def test_executor_that_never_answered_blocks_no_pool(clock):
    """Guards against a wait for an executor that cannot have runs."""
    await take_over_beside_a_lost_executor(listed=False)


async def test_executor_that_is_gone_blocks_no_pool_while_it_is_listed(clock):
    """Guards against a wait for an executor whose entry outlives it.

    Each scheduler found it in the store and named it to the next one as an
    executor that may have runs, though none had reached it.
    """
    await take_over_beside_a_lost_executor(listed=True)


async def test_executor_gets_no_lease_while_the_end_of_its_last_one_is_stored(clock):
    """Guards against a second run on the word of a scheduler that lost the store.

    It has stored when the lease of a silent executor ends. The executor answers
    again after the store is lost, and another scheduler relies on the row.
    """
    async with open_world() as world:
        job, lost = await start_lasting_job(world)
        first = world.daemons["a"]
        first.cut_off.add(lost.id)
        await world.wait_for(lambda: world.store.find("scheduler", "lapses"), 3)
        first.rows.closed = True
        world.start_daemon("b").cut_off.add(lost.id)
        first.cut_off.discard(lost.id)
        await world.wait_for(lambda: world.lease_holder() == "b", 4)
        await world.wait_for(lambda: world.count_runs(job) == 2, 6)
        await trio.sleep(5)
        world.check_runs()


async def test_executor_that_answers_again_gets_leases(clock):
    """Guards against an executor whose work ends again and again.

    The end of its lease was stored while it was silent.
    """
    async with open_world() as world:
        lost = world.add_executor()
        daemon = world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        daemon.cut_off.add(lost.id)
        await world.wait_for(lambda: world.store.find("scheduler", "lapses"), 3)
        daemon.cut_off.discard(lost.id)
        await trio.sleep(6)
        (run,) = world.find_running(job)
        await trio.sleep(12)
        assert world.find_running(job) == [run]
        stored = json.loads(world.store.find("scheduler", "lapses").value)
        assert not stored.get("ends")


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[",
        b'{"since": 1, "ends": {"i-1": -5}}',
        b'{"since": 1, "ends": {"i-1": 1e400}}',
        b'{"since": 7, "ends": {"i-1": 0}}',
        b'{"since": 1, "ends": [1]}',
    ],
)
async def test_odd_row_of_ends_of_leases_ends_no_scheduler(clock, value):
    """Guards against a row that cannot be read, or is of another time."""
    async with open_world() as world:
        job, _ = await start_lasting_job(world)
        world.store.put("scheduler", "lapses", value)
        world.kill(world.daemons["a"])
        world.start_daemon("b")
        await trio.sleep(4)
        assert world.lease_holder() == "b"
        assert len(world.find_running(job)) == 1
        world.check_runs()


async def test_scheduler_of_an_earlier_version_keeps_the_full_wait(clock):
    """Guards against ends of leases that are out of date after a downgrade.

    A scheduler of an earlier version writes the lease without its time, and may
    grant leases to executors that the row names.
    """
    async with open_world() as world:
        job, lost = await start_lasting_job(world)
        first = world.daemons["a"]
        row = world.store.find("scheduler", "lease")
        since = json.loads(row.value)["time_since"]
        ends = json.dumps({"since": since, "ends": {lost.id: 1}}).encode()
        world.store.put("scheduler", "lapses", ends)
        world.kill(first)
        lease = json.loads(world.store.find("scheduler", "lease").value)
        del lease["time_since"], lease["time_ms"]
        world.store.put("scheduler", "lease", json.dumps(lease).encode())
        world.start_daemon("b").cut_off.add(lost.id)
        await world.wait_for(lambda: world.count_runs(job) == 2, 10)
        world.check_runs()


@pytest.mark.parametrize("gap_seconds", [2.0, 4.0])
async def test_takeovers_do_not_prolong_the_wait_for_a_stalled_run(clock, gap_seconds):
    """Guards against a run without progress that no scheduler stops.

    Each scheduler counts the time without progress from its own takeover on.
    """
    async with open_world() as world:
        stalled = world.add_executor()
        world.start_daemon("a")
        job = world.submit(make_step(), work=SubtaskBehaviour(stalls=True, size=SMALL))
        await world.wait_for(lambda: stalled.running, 5)
        world.work[job] = SubtaskBehaviour(1.0, size=SMALL)
        world.add_executor()
        world.nursery.start_soon(replace_schedulers, world, gap_seconds, False)
        await world.wait_for(lambda: world.count_runs(job) == 2, IDLE_SECONDS)
        world.check_runs()
