"""The scheduler on a machine that becomes slow."""

import pytest
import trio

from emulator.row_store import RowStoreModel
from hemlockstand.coordination.looplag import LoopLag
from hemlockstand.fleet.lease import Release
from hemlockstand.fleet.policy.candidacy import MAX_CANDIDATES, find_candidacy
from hemlockstand.fleet.scheduler import (
    SLOW_DELAY_SECONDS,
    SLOW_HANDOVER_SECONDS,
    SchedulerService,
)
from test.test_fleet_frontend import StubKernel
from test.test_fleet_lease import acquire, make_watch

SLOW_LAG_SECONDS = 0.15  # delay of timers on a machine that is six times slower


class StubLeader:
    """Records whether ``leave`` was called."""

    left = False
    follows_slow = False

    def leave(self, slow: bool = False) -> None:
        """Record the call."""
        assert slow
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


async def test_slow_schedulers_do_not_follow_each_other(autojump_clock):
    """Guards against a load that makes one scheduler after another give way.

    On small machines each of five schedulers was slow after one to two
    seconds, and every change added to the load of the next.
    """
    service = SchedulerService(StubKernel(None))
    service._clock = trio.current_time
    leader = StubLeader()
    leader.follows_slow = True
    for _ in range(4):
        service._lag.add_sample(SLOW_LAG_SECONDS)
    with trio.move_on_after(SLOW_HANDOVER_SECONDS - 1):
        await service._step_down_when_slow(leader)
    assert not leader.left
    # It is no exception for good: the machine itself may have become slow.
    with trio.move_on_after(SLOW_HANDOVER_SECONDS + 1):
        await service._step_down_when_slow(leader)
    assert leader.left


@pytest.mark.parametrize("release", [Release.SLOW, Release.STOPPED])
async def test_lease_tells_the_next_holder_of_a_slow_machine(autojump_clock, release):
    """Guards against a handover after which nobody knows why it happened."""
    model = RowStoreModel()
    first = await acquire(make_watch(model, "a"))
    await first.commit(release=release)
    second = await acquire(make_watch(model, "b"))
    assert second.record.follows_slow is (release is Release.SLOW)
    await second.commit()
    assert second.record.follows_slow is (release is Release.SLOW)
    assert not second.record.slow


def test_candidates_are_few_and_stay_the_same():
    """Guards against a fleet in which every daemon reads the lease all the time."""
    daemons = {f"edge-{zone}-{n}": 0.5 for zone in "abcdef" for n in range(16)}
    daemons |= {f"large-{zone}": 2.0 for zone in "abc"}
    places = {
        name: find_candidacy(name, cores, daemons) for name, cores in daemons.items()
    }
    close = [name for name, place in places.items() if place.interval_factor == 1.0]
    assert len(close) == MAX_CANDIDATES
    assert {"large-a", "large-b", "large-c"} <= set(close)
    assert len({name.split("-")[1] for name in close}) >= 3
    assert sorted(place.position for place in places.values()) == list(range(99))
    assert places["edge-a-0"].larger_daemons == 3
    assert places["large-a"].larger_daemons == 0
