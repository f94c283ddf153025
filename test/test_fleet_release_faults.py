"""Faults while a scheduler releases its lease."""

import pytest
import trio

from test.fleet_world import open_world, read_status
from test.test_fleet_order_intervals import begin_wave, check_intervals

# An order is carried out this long after it was sent, within the time in which
# it may be in flight.
ORDER_SECONDS = 1.9


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


@pytest.mark.parametrize("reopen_seconds", [0.0, 0.2, 0.4, 0.6])
async def test_no_order_is_repeated_once_the_release_may_be_stored(
    clock, reopen_seconds
):
    """Guards against orders of two holders for one instance too soon.

    The store applies the release and does not answer. The machines, which did
    not answer before, do so again while the release is being repeated.
    """
    async with open_world() as world:
        await begin_wave(world, order_seconds=ORDER_SECONDS, call_seconds=0.1)
        daemon = world.daemons["a"]
        waves = daemon.leader._instances.waves.waves
        await world.wait_for(lambda: 1 in waves and waves[1].ordered, 10)
        daemon.instances.closed = True
        await trio.sleep(0.5)
        assert not world.instances.orders
        world.start_daemon("b")
        daemon.rows.lost_answers = 2  # of the last changes and of the release
        world.stop(daemon)
        await world.wait_for(lambda: world.lease_holder() != "a", 1)
        daemon.rows.closed = True
        await trio.sleep(reopen_seconds)
        daemon.instances.closed = False
        await trio.sleep(4)
        daemon.rows.closed = False
        await world.wait_for(lambda: "completed" in read_status(world), 20)
        check_intervals(world)
