"""Orders of two holders for one instance whose clocks differ by 1%."""

from functools import partial

import pytest
import trio

from hemlockstand.fleet.storage import read_lease
from test.fleet_world import FleetWorld
from test.test_fleet_order_intervals import INTERVAL_SECONDS, begin_wave, is_leading

FAST_RATE = 1.01


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


class FastClockWorld(FleetWorld):
    """A world in which the clocks of all daemons but the first one are fast."""

    def find_clock(self, daemon):
        """Return the clock of a daemon."""
        rate = 1.0 if daemon.name == "a" else FAST_RATE
        return lambda: trio.current_time() * rate


@pytest.mark.parametrize("terms", [1, 2])
async def test_fast_clock_does_not_shorten_the_interval(clock, terms):
    """Guards against an order that is sent a hundredth of the interval too soon.

    The first scheduler is killed once it has stored an answer. The next one reads
    the lease at once.
    """
    async with trio.open_nursery() as nursery:
        world = FastClockWorld(nursery)
        world.add_instances("pool", 2)
        name = next(iter(world.instances.instances))
        first = world.start_daemon("a")
        await trio.sleep(1)
        leader = first.leader
        answered_at = trio.current_time()
        leader._instances._answered[name] = answered_at
        leader.state.request_commit()
        while name not in read_lease(world.store.find("scheduler", "lease")).turned:
            await trio.sleep(0.001)
        for holder in ("b", "c")[:terms]:
            world.kill(world.daemons[world.lease_holder()])
            daemon = world.start_daemon(holder)
            await world.wait_for(partial(is_leading, daemon), 5)
            await trio.sleep(0.5)
        instances = world.daemons[holder].leader._instances
        blocked_until = instances._blocked[name] / FAST_RATE
        assert blocked_until >= answered_at + INTERVAL_SECONDS
        nursery.cancel_scope.cancel()


async def test_fast_clock_does_not_shorten_the_wait_for_an_open_order(clock):
    """Guards against an order that is sent before an open one is carried out."""
    async with trio.open_nursery() as nursery:
        world = FastClockWorld(nursery)
        name = await begin_wave(world, order_seconds=1.9)
        daemon = world.daemons["a"]
        waves = daemon.leader._instances.waves.waves
        await world.wait_for(lambda: 1 in waves and waves[1].ordered, 10)
        await trio.sleep(0.1)
        sent_at = trio.current_time()
        world.stop(daemon)
        successor = world.start_daemon("b")
        await world.wait_for(lambda: successor.leader is not None, 5)
        await trio.sleep(0.5)
        blocked_until = successor.leader._instances._blocked[name] / FAST_RATE
        assert blocked_until >= sent_at + 2.0 + INTERVAL_SECONDS
        nursery.cancel_scope.cancel()
