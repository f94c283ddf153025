"""Seeded random jobs and faults for the in-process fleet."""

from random import Random

import trio

from emulator.capacities import HEARTBEAT_SECONDS
from emulator.fleet_executors import ExecutorModel, SubtaskBehaviour
from hemlockstand.fleet.model import Resources, Step
from test.fleet_world import LASTING, USUAL, Daemon, FleetWorld

START_DELAY_SECONDS = (2.0, 12.0)


async def submit_random_jobs(world: FleetWorld, random: Random, seconds: float) -> None:
    """Submit jobs of all kinds for ``seconds``, and cancel some of them."""
    end_at = trio.current_time() + seconds
    while trio.current_time() < end_at:
        job = submit_job(world, random)
        if random.random() < 0.15:
            world.nursery.start_soon(cancel_later, world, job, random.uniform(0.1, 5))
        await trio.sleep(random.expovariate(1.5))


def submit_job(world: FleetWorld, random: Random) -> str:
    """Submit a job of one to three steps with random values; return its id."""
    size = Resources(random.choice((500, 1000, 4000)), 512)
    if random.random() < 0.05:
        count = random.randint(1, 4)
        size = Resources(500, 512)
        step = Step(count, size, lasting=True, max_unavailable=1)
        return world.submit(step, work=SubtaskBehaviour(LASTING, size=size))
    seconds = random.uniform(0.2, 3.0)
    steps = [Step(random.randint(1, 6), size, int(seconds * 1000))]
    for position in range(random.randint(0, 2)):
        count = random.randint(1, 4)
        steps.append(Step(count, size, int(seconds * 1000), after=(position,)))
    fails = random.random() < 0.05
    return world.submit(*steps, work=SubtaskBehaviour(seconds, fails=fails, size=size))


async def cancel_later(world: FleetWorld, job: str, seconds: float) -> None:
    """Cancel a job after ``seconds``."""
    await trio.sleep(seconds)
    world.cancel(job)


async def inject_random_faults(
    world: FleetWorld, random: Random, seconds: float
) -> None:
    """Inject faults at random times for ``seconds``; they may overlap."""
    end_at = trio.current_time() + seconds
    faults = (
        kill_daemon,
        disconnect_store,
        lose_write_answers,
        delay_writes,
        crash_executor,
        restart_executor,
        disconnect_executor,
        lose_start_answers,
        delay_starts,
        forget_history,
    )
    while trio.current_time() < end_at:
        fault = random.choice(faults)
        world.nursery.start_soon(fault, world, random)
        await trio.sleep(random.expovariate(1.0))


async def change_random_capacities(
    world: FleetWorld, random: Random, seconds: float
) -> None:
    """Shrink and grow executors for ``seconds``, then restore all of them.

    Their entries show it within an interval between their writes.
    """
    end_at = trio.current_time() + seconds
    while trio.current_time() < end_at:
        model = pick_executor(world, random)
        capacity = USUAL.scale(random.choice((0.05, 0.2, 0.5, 0.8, 1.0)))
        world.nursery.start_soon(change_capacity, world, random, model, capacity)
        await trio.sleep(random.expovariate(1.0))
    for model in world.executors.values():
        await change_capacity(world, random, model, USUAL)


async def change_capacity(
    world: FleetWorld, random: Random, model: ExecutorModel, capacity: Resources
) -> None:
    """Change a capacity now and write the executor's entry later."""
    model.change_capacity(capacity)
    await trio.sleep(random.uniform(0, HEARTBEAT_SECONDS))
    if not model.unresponsive:
        world.register_executor(model)


async def fail_random_tables(world: FleetWorld, random: Random, seconds: float) -> None:
    """Let reads of single tables of the store fail for ``seconds``."""
    end_at = trio.current_time() + seconds
    while trio.current_time() < end_at:
        rows = pick_daemon(world, random).rows
        table = random.choice(("servers", "servers", "jobs", "states", "scheduler"))
        rows.failing_tables.add(table)
        await trio.sleep(random.uniform(0.5, 9))
        rows.failing_tables.discard(table)
        await trio.sleep(random.expovariate(0.5))


def pick_daemon(world: FleetWorld, random: Random) -> Daemon:
    """Return the leader with a probability of one half, else any daemon."""
    holder = world.daemons.get(world.lease_holder())
    if holder is not None and random.random() < 0.5:
        return holder
    return random.choice(list(world.daemons.values()))


def pick_executor(world: FleetWorld, random: Random) -> ExecutorModel:
    """Return a random executor."""
    return random.choice(list(world.executors.values()))


async def kill_daemon(world: FleetWorld, random: Random) -> None:
    """Kill a daemon and restart it some seconds later."""
    daemon = pick_daemon(world, random)
    world.kill(daemon)
    await trio.sleep(random.uniform(0.3, 4))
    if world.daemons.get(daemon.name) is daemon:
        world.start_daemon(daemon.name)


async def disconnect_store(world: FleetWorld, random: Random) -> None:
    """Disconnect one daemon or all from the store for some seconds."""
    daemons = [pick_daemon(world, random)]
    if random.random() < 0.3:
        daemons = list(world.daemons.values())
    for daemon in daemons:
        daemon.rows.closed = True
    await trio.sleep(random.uniform(0.5, 7))
    for daemon in daemons:
        daemon.rows.closed = False


async def lose_write_answers(world: FleetWorld, random: Random) -> None:
    """Apply some writes of a daemon and lose the answers."""
    pick_daemon(world, random).rows.lost_answers += random.randint(1, 3)


async def delay_writes(world: FleetWorld, random: Random) -> None:
    """Leave some writes unanswered and apply them seconds later."""
    rows = pick_daemon(world, random).rows
    rows.late_writes += random.randint(1, 2)
    await trio.sleep(random.uniform(0.1, 6))
    rows.late_writes = 0
    rows.apply_late()


async def crash_executor(world: FleetWorld, random: Random) -> None:
    """Crash an executor without notice; a new lifetime starts later.

    In half of the cases its entry in the store is removed in between.
    """
    model = pick_executor(world, random)
    model.unresponsive = True
    model.crash()
    await trio.sleep(random.uniform(1, 8))
    if random.random() < 0.5:
        world.store.remove("servers", model.id)
        await trio.sleep(random.uniform(0.1, 2))
    model.restart()
    model.unresponsive = False
    world.register_executor(model)


async def restart_executor(world: FleetWorld, random: Random) -> None:
    """Restart an executor without any downtime."""
    model = pick_executor(world, random)
    if not model.unresponsive:
        model.restart()
        world.register_executor(model)


async def disconnect_executor(world: FleetWorld, random: Random) -> None:
    """Disconnect an executor from one daemon or all; its runs go on."""
    model = pick_executor(world, random)
    daemons = [pick_daemon(world, random)]
    if random.random() < 0.5:
        daemons = list(world.daemons.values())
    for daemon in daemons:
        daemon.cut_off.add(model.id)
    await trio.sleep(random.uniform(0.5, 9))
    for daemon in world.daemons.values():
        daemon.cut_off.discard(model.id)


async def lose_start_answers(world: FleetWorld, random: Random) -> None:
    """Carry out some starts on an executor and lose the answers."""
    pick_executor(world, random).lost_answers += random.randint(1, 3)


async def delay_starts(world: FleetWorld, random: Random) -> None:
    """Leave some starts unanswered and carry them out seconds later."""
    model = pick_executor(world, random)
    model.late_orders += random.randint(1, 3)
    await trio.sleep(random.uniform(*START_DELAY_SECONDS))
    model.late_orders = 0
    model.execute_late_orders()


async def forget_history(world: FleetWorld, random: Random) -> None:
    """Drop the store's history of changes."""
    world.store.forget_history()
