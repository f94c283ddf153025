"""Jobs whose queue has left the configuration, for a time or for good."""

import attrs
import pytest
import trio
from attrs import define

from emulator.fleet_executors import SubtaskBehaviour
from emulator.row_store import Transaction
from hemlockstand.fleet.model import Advice, JobSpec
from hemlockstand.fleet.storage import job_write
from hemlockstand.platform.advice import StepAdvice
from test.fleet_world import make_config, make_step, open_world

ATTEMPTS = 3


@define(eq=False)
class OneExecutorAdvice:
    """An advice service that allows a single executor, as ``AdviceClient``."""

    allowed: str

    async def ask(self, step: str, executors: list[str]) -> StepAdvice:
        """Return a ticket for the allowed executor, if the call names it."""
        await trio.sleep(0.05)
        tickets = {self.allowed: step} if self.allowed in executors else {}
        return StepAdvice(tickets, 30_000)


def drop_queue(world) -> None:
    """Configure no queue; the pool and the workspace stay."""
    config = world.configuration.current
    world.configuration.current = attrs.evolve(
        config, version=config.version + 1, queues=()
    )


def restore_queue(world, **values) -> None:
    """Configure the queue again."""
    config = make_config(**values)
    version = world.configuration.current.version + 1
    world.configuration.current = attrs.evolve(config, version=version)


async def fail_first_run(world, job: str, queue_dropped: bool = True) -> None:
    """Let the first run of a job fail while its queue is gone."""
    await world.wait_for(lambda: world.count_runs(job) == 1, 5)
    if queue_dropped:
        drop_queue(world)
    await world.wait_for(lambda: not world.find_running(job), 5)


@pytest.mark.parametrize("takeover", [False, True])
async def test_failed_run_without_the_queue_is_tried_again(autojump_clock, takeover):
    """Guards against a job that is given up early while its queue is dropped."""
    async with open_world() as world:
        world.configuration.current = make_config(attempts=ATTEMPTS)
        for _ in range(2):
            world.add_executor()
        daemon = world.start_daemon("a")
        job = world.submit(make_step(), work=SubtaskBehaviour(1.0, fails=True))
        await fail_first_run(world, job)
        if takeover:
            world.kill(daemon)
            world.start_daemon("b")
        await world.wait_for(lambda: world.count_runs(job) == 2, 15)
        world.work[job].fails = False
        restore_queue(world, attempts=ATTEMPTS)
        await world.wait_for(lambda: world.state(job) == "completed", 10)
        world.check_runs()


async def test_attempts_are_limited_without_the_queue(autojump_clock):
    """Guards against runs after the last attempt while the queue is dropped."""
    async with open_world() as world:
        world.configuration.current = make_config(attempts=ATTEMPTS)
        for _ in range(4):
            world.add_executor()
        world.start_daemon("a")
        job = world.submit(make_step(), work=SubtaskBehaviour(0.5, fails=True))
        await fail_first_run(world, job)
        await world.wait_for(lambda: world.state(job) == "failed", 20)
        await trio.sleep(5)
        assert world.count_runs(job) == ATTEMPTS


async def test_policy_of_a_dropped_queue_still_holds(autojump_clock):
    """Guards against starts on any executor while the queue is dropped."""
    async with open_world() as world:
        world.configuration.current = make_config(advice=Advice(50, 1, 30_000))
        world.add_executor()
        allowed = world.add_executor()
        world.advice = OneExecutorAdvice(allowed.id)
        jobs = [world.submit(make_step()) for _ in range(4)]
        drop_queue(world)
        world.start_daemon("a")
        for job in jobs:
            await world.wait_for(lambda job=job: world.state(job) == "completed", 10)
        assert {run.executor for run in world.records} == {allowed.id}


async def test_job_of_an_earlier_version_without_its_queue(autojump_clock):
    """Guards against giving up a job whose number of attempts is not known."""
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        world.start_daemon("a")
        job = "00000000000000e1"
        world.work[job] = SubtaskBehaviour(1.0, fails=True)
        spec = JobSpec(job, "queue", "pool", "team", "payload", (make_step(),))
        world.store.apply(Transaction((job_write(spec),), (), ()))
        await fail_first_run(world, job)
        await world.wait_for(lambda: world.count_runs(job) == 2, 5)
        assert world.state(job) == "running"
        world.work[job].fails = False
        restore_queue(world)
        await world.wait_for(lambda: world.state(job) == "completed", 10)
