"""Advice that is answered while executors change, on virtual time."""

import attrs
import pytest
import trio
from attrs import define

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Advice
from hemlockstand.platform.advice import StepAdvice
from test.fleet_world import SMALL, FleetWorld, make_step, open_world


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


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
