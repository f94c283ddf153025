"""Queues whose policy allows only some executors, on virtual time."""

import attrs
import pytest
import trio
from attrs import define

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Advice, Resources
from hemlockstand.platform.advice import StepAdvice
from test.fleet_world import (
    LASTING,
    SMALL,
    AdviceModel,
    FleetWorld,
    make_config,
    make_step,
    open_world,
)

LAST = SubtaskBehaviour(LASTING, size=SMALL)
LARGE = Resources(12_000, 512)
ADVICE = Advice(20, 1, 30_000)


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def test_quarantined_executors_get_tickets(clock):
    """Guards against a last resort that no ticket permits."""
    async with open_world() as world:
        world.advice = AdviceModel()
        world.configuration.current = make_config(advice=ADVICE)
        for _ in range(2):
            world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        for executor in daemon.leader.state.executors.values():
            executor.quarantined_until = trio.current_time() + 12
        job = world.submit(make_step(lasting=True), work=LAST)
        await world.wait_for(lambda: world.find_running(job), 5)


async def test_tickets_are_requested_for_executors_with_the_label(clock):
    """Guards against tickets that cannot be used and are taken for enough."""
    async with open_world() as world:
        world.advice = AdviceModel()
        world.configuration.current = make_config(advice=ADVICE)
        for position in range(11):
            # Executors are asked about in the order of their ids; i-9 is last.
            world.add_executor(kind="b" if position == 4 else "a")
        world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(make_step(lasting=True, label="b"), work=LAST)
        await world.wait_for(lambda: world.find_running(job), 5)


async def test_tickets_are_requested_for_all_members_of_a_gang(clock):
    """Guards against a gang that needs more executors than one call names."""
    async with open_world() as world:
        world.advice = AdviceModel()
        world.configuration.current = make_config(advice=ADVICE)
        for _ in range(10):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(
            make_step(10, gang=True, size=LARGE),
            work=SubtaskBehaviour(1.0, size=LARGE),
        )
        await world.wait_for(lambda: world.state(job) == "completed", 6)


@define(eq=False)
class SlowAdvice:
    """Advice that allows the executors of kind ``a``, answered after 2 s."""

    world: FleetWorld
    asked: int = 0

    async def ask(self, step: str, executors: list[str]) -> StepAdvice:
        """Return the advice for a step, as of the time of the call."""
        self.asked += 1
        allowed = {
            executor: "ticket"
            for executor in executors
            if self.world.executors[executor].kind == "a"
        }
        await trio.sleep(2.0)
        return StepAdvice(allowed, 10_000)


async def test_advice_on_an_earlier_lifetime_is_not_used(clock):
    """Guards against an executor that is refused for what it was before.

    It restarts with another kind while the advice on it is on its way.
    """
    async with open_world() as world:
        executor = world.add_executor(kind="b")
        config = world.configuration.current
        queue = attrs.evolve(config.queues[0], advice=Advice(100, 10, 10_000))
        world.configuration.current = attrs.evolve(config, queues=(queue,))
        world.advice = SlowAdvice(world)
        world.start_daemon("a")
        work = SubtaskBehaviour(0.5, size=SMALL)
        job = world.submit(make_step(), work=work)
        await world.wait_for(lambda: world.advice.asked, 5)
        await trio.sleep(0.5)
        executor.kind = "a"
        executor.restart()
        world.register_executor(executor)
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        assert world.advice.asked == 2
