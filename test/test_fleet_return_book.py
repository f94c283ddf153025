"""What callers are told who come back, by the book of one frontend."""

from hemlockstand.fleet.load_view import PoolLoad, WaitingWork
from test.test_fleet_door import DoorHarness, door, model

__all__ = ["door", "model"]


async def test_turns_of_small_jobs_without_a_measured_scale(door: DoorHarness):
    """Guards against long times for small jobs beside large ones elsewhere.

    Of 32 core-seconds accepted, none are known to be this frontend's. 60 jobs of
    0.1 core-seconds take 0.54 s of 0.7 of the pool.
    """
    pool = PoolLoad(
        16.0, 0.0, {"0": {"team": WaitingWork(1000.0, 500.0)}}, arrived=32.0
    )
    seconds = []
    for number in range(60):
        await door.publish(pools={"pool": pool})
        seconds.append(int((await door.submit(f"{number:016x}", Cpu=100))[2]))
    assert seconds[-1] <= seconds[0] + 1
