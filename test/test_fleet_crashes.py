"""Subtasks that crash the executors that start them, on virtual time."""

from random import Random

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import EndKind
from hemlockstand.fleet.policy.crashes import CrashedRun, judge_crash
from test.fleet_world import LASTING, SMALL, make_step, open_world

# The users' bound on starts of a subtask after three executors have crashed
# under it, and those that led to these crashes.
MAX_CRASHING_STARTS = 5
CRASHING = SubtaskBehaviour(1.0, crashes_executor=True, size=SMALL)


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


def submit_crashing(world, *steps, work=CRASHING):
    """Submit a job of which the first subtask crashes its executor."""
    job = world.submit(*steps)
    world.work[f"{job}.0.0.0"] = work
    return job


def count_crashes(world):
    """Return how many times executors have crashed."""
    return sum(len(model.crashed_at) for model in world.executors.values())


async def test_crashing_subtask_is_given_up(clock):
    """Guards against a subtask that crashes executor after executor.

    Replays the load of a busy pool: the runs beside it are lost with it and
    must not crash the next executors together.
    """
    async with open_world() as world:
        for _ in range(6):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        jobs = [world.submit(make_step(6)) for _ in range(4)]
        crashing = submit_crashing(world, make_step(4))
        jobs += [world.submit(make_step(6)) for _ in range(4)]
        await world.wait_for(lambda: world.state(crashing) == "failed", 20)
        await trio.sleep(15)
        assert world.count_runs(f"{crashing}.0.0.0") <= 3
        assert count_crashes(world) <= 3
        assert [world.state(job) for job in jobs] == ["completed"] * 8
        world.check_runs()


async def test_crashing_subtask_that_lasts_is_given_up(clock):
    """Guards against lasting work that is restarted through all executors.

    The others of its step go on; a stop of them would use up its budget. The
    next scheduler does not start it either.
    """
    async with open_world() as world:
        for _ in range(4):
            world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        job = submit_crashing(
            world,
            make_step(3, lasting=True, max_unavailable=1),
            work=SubtaskBehaviour(LASTING, crashes_executor=True, size=SMALL),
        )
        sound = SubtaskBehaviour(LASTING, size=SMALL)
        world.work.update({f"{job}.0.0.1": sound, f"{job}.0.0.2": sound})
        other = world.submit(make_step(4, lasting=True), work=sound)
        await trio.sleep(25)
        world.kill(daemon)
        world.start_daemon("b")
        await trio.sleep(20)
        assert world.count_runs(f"{job}.0.0.0") <= MAX_CRASHING_STARTS
        assert len(world.find_running(job)) == 2
        assert len(world.find_running(other)) == 4
        assert not any(run.kind is EndKind.STOPPED for run in world.records)


async def test_victims_of_crashes_are_not_given_up(clock):
    """Guards against lasting work that is given up for what starts beside it.

    It loses executors again and again soon after its starts, but not at once.
    """
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(
            make_step(2, lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        for _ in range(6):
            await world.wait_for(lambda: len(world.find_running(job)) == 2, 12)
            await trio.sleep(1)
            submit_crashing(world, make_step(1))
            await world.wait_for(lambda: len(world.find_running(job)) < 2, 12)
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 12)


async def test_crashing_gang_is_given_up(clock):
    """Guards against a gang of which a member crashes its executor each time."""
    async with open_world() as world:
        for _ in range(4):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        job = submit_crashing(world, make_step(6, gang=True))
        await world.wait_for(lambda: world.state(job) == "failed", 30)
        assert world.count_runs(f"{job}.0.0.0") <= MAX_CRASHING_STARTS


async def test_crashes_are_counted_over_takeovers(clock):
    """Guards against a next scheduler that starts the count anew."""
    async with open_world() as world:
        for _ in range(6):
            world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        crashing = submit_crashing(world, make_step(2))
        for name in ("b", "c"):
            crashes = count_crashes(world)
            await world.wait_for(lambda n=crashes: count_crashes(world) > n, 20)
            await trio.sleep(3.3)
            world.kill(daemon)
            daemon = world.start_daemon(name)
        await world.wait_for(lambda: world.state(crashing) == "failed", 30)
        await trio.sleep(10)
        assert world.count_runs(f"{crashing}.0.0.0") <= MAX_CRASHING_STARTS


@pytest.mark.parametrize("takeovers", [2, 4, 6])
async def test_crashes_before_a_takeover_are_counted(clock, takeovers):
    """Guards against a crash that only its scheduler knew of.

    The scheduler is killed a second after each crash, before the executor is
    back.
    """
    async with open_world() as world:
        for _ in range(8):
            world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        crashing = submit_crashing(world, make_step(1))
        for number in range(takeovers):
            crashes = count_crashes(world)
            with trio.move_on_after(20):
                await world.wait_for(lambda n=crashes: count_crashes(world) > n, 30)
            await trio.sleep(1)
            world.kill(daemon)
            daemon = world.start_daemon(f"b{number}")
        await trio.sleep(40)
        assert world.count_runs(f"{crashing}.0.0.0") <= MAX_CRASHING_STARTS
        assert world.state(crashing) == "failed"


async def test_crashed_executor_is_told_from_one_that_is_cut_off(clock):
    """Guards against work that is given up because its executors were cut off."""
    async with open_world() as world:
        for _ in range(3):
            world.add_executor()
        daemon = world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        for _ in range(5):
            await world.wait_for(lambda: world.find_running(job), 10)
            (run,) = world.find_running(job)
            await trio.sleep(0.2)
            daemon.cut_off.clear()
            daemon.cut_off.add(run.executor)
            await world.wait_for(lambda: not world.find_running(job), 10)
        daemon.cut_off.clear()
        await world.wait_for(lambda: world.find_running(job), 10)
        assert world.state(job) == "running"


@pytest.mark.parametrize("seed", range(12))
async def test_random_crashes_give_up_no_sound_job(clock, seed):
    """Guards against sound jobs that are given up for crashes at random.

    Each executor crashes once in 20 s, a thousand times as often as the users'.
    """
    random = Random(seed)
    async with open_world() as world:
        for _ in range(6):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        lasting = world.submit(
            make_step(4, lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        jobs = []
        for _ in range(80):
            jobs.append(world.submit(make_step(random.randint(1, 6))))
            await trio.sleep(random.uniform(0.1, 0.5))
            if random.random() < 0.09:
                model = random.choice(list(world.executors.values()))
                if model.back_at is None:
                    model.crash_process()
        await trio.sleep(20)
        assert [world.state(job) for job in jobs] == ["completed"] * 80
        assert len(world.find_running(lasting)) == 4
        world.check_runs()


async def test_two_crashes_hold_up_no_lasting_work(clock):
    """Guards against suspects that start one by one, five seconds apart."""
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(
            make_step(8, lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        for _ in range(2):
            await world.wait_for(lambda: len(world.find_running(job)) == 8, 12)
            await trio.sleep(1)
            for model in world.executors.values():
                if model.running:
                    model.crash_process()
        await world.wait_for(lambda: len(world.find_running(job)) == 8, 8)


def test_old_runs_are_not_blamed_for_a_recent_start():
    """Guards against long runs that are given up for what starts beside them."""
    runs = [CrashedRun("old", 20.0, 2), CrashedRun("new", 0.01, 2)]
    verdicts = {item.subtask: item.gives_up for item in judge_crash(runs)}
    assert verdicts == {"new": True}


async def test_crash_of_an_executor_that_stays_away_counts_once(clock):
    """Guards against one crash that is counted with each refused connection."""
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        daemon = world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        await trio.sleep(2)
        (run,) = world.find_running(job)
        model = world.executors[run.executor]
        model.crash_process()
        model.back_at += 8
        await trio.sleep(8)
        (subtask,) = daemon.leader.state.registry.jobs[job].subtasks()
        assert subtask.crashes == 1


async def test_start_that_never_arrived_is_no_crash(clock):
    """Guards against sound work that is given up for executors it never reached.

    The executors are cut off while idle, and start again before the path is
    back.
    """
    async with open_world() as world:
        models = [world.add_executor() for _ in range(4)]
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        daemon.cut_off.update(model.id for model in models)
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        for _ in models:
            await trio.sleep(5)
            for model in models:
                model.restart()
                world.register_executor(model)
        daemon.cut_off.clear()
        await world.wait_for(lambda: world.find_running(job), 10)
        (subtask,) = daemon.leader.state.registry.jobs[job].subtasks()
        assert subtask.crashes == 0


async def test_crash_before_the_answer_is_counted(clock, monkeypatch):
    """Guards against a subtask that crashes executors faster than they answer."""
    monkeypatch.setattr("emulator.fleet_executors.CRASH_SECONDS", 0.0)
    async with open_world() as world:
        for _ in range(4):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        job = submit_crashing(world, make_step(2))
        await world.wait_for(lambda: world.state(job) == "failed", 25)
        assert world.count_runs(f"{job}.0.0.0") <= MAX_CRASHING_STARTS
