"""The scheduler on a machine that becomes slow."""

import trio

from hemlockstand.coordination.looplag import LoopLag
from hemlockstand.fleet.scheduler import SLOW_DELAY_SECONDS, SchedulerService
from test.test_fleet_frontend import StubKernel

SLOW_LAG_SECONDS = 0.15  # delay of timers on a machine that is six times slower


class StubLeader:
    """Records whether ``leave`` was called."""

    left = False

    def leave(self) -> None:
        """Record the call."""
        self.left = True


def test_one_pause_is_not_slowness():
    """Guards against a scheduler that steps down after each short freeze."""
    lag = LoopLag()
    lag.add_sample(4.0)
    assert not lag.slow
    for _ in range(10):
        lag.add_sample(0.001)
    lag.add_sample(4.0)
    assert not lag.slow


async def test_slow_scheduler_gives_way_and_rests(autojump_clock):
    """Guards against a fleet that is as slow as the machine of its scheduler.

    A scheduler led for five seconds on a machine that was six times slower,
    and half of the callers of these five seconds were served late.
    """
    service = SchedulerService(StubKernel(None))
    leader = StubLeader()
    with trio.move_on_after(5):
        await service._step_down_when_slow(leader)
    assert not leader.left
    for _ in range(4):
        service._lag.add_sample(SLOW_LAG_SECONDS)
    with trio.move_on_after(1):
        await service._step_down_when_slow(leader)
    assert leader.left
    for _ in range(30):
        service._lag.add_sample(0.0)
    assert service._choose_delay() >= SLOW_DELAY_SECONDS
