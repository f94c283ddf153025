"""Refusals of jobs that another request at the same frontend may have stored."""

import pytest
import trio

from test.test_fleet_door import JOB, OTHER_JOB, DoorHarness, door, model

__all__ = ["door", "model"]


async def test_no_refusal_while_a_write_of_the_job_is_open(door: DoorHarness):
    """Guards against "not run" for a job whose first write is applied later."""
    door.kernel.rows.late_writes = 2
    statuses = []

    async def submit_first() -> None:
        statuses.append((await door.submit())[0])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit_first)
        await trio.sleep(0.05)
        await door.publish()
        assert (await door.submit())[0] == 200
        assert (await door.submit(OTHER_JOB))[0] == 429
    assert statuses == [200]


async def test_no_refusal_if_the_job_is_stored_while_its_row_is_read(
    door: DoorHarness, monkeypatch
):
    """Guards against a row that is read before a write and answered after it."""
    rows = door.kernel.rows
    read = rows.read
    may_answer = trio.Event()

    async def read_slowly(*arguments):
        page = await read(*arguments)
        await may_answer.wait()
        return page

    statuses = []

    async def submit_first() -> None:
        statuses.append((await door.submit())[0])

    await door.publish()
    async with trio.open_nursery() as nursery:
        with monkeypatch.context() as patch:
            patch.setattr(type(rows), "read", staticmethod(read_slowly))
            nursery.start_soon(submit_first)
            await trio.sleep(0.05)
        await door.publish(pools={})
        assert (await door.submit())[0] == 200
        may_answer.set()
    assert statuses == [200]


@pytest.mark.parametrize("late_writes", [0, 1])
async def test_no_refusal_after_a_request_was_cancelled(door, late_writes):
    """Guards against "not run" after a caller has left during the write."""
    door.kernel.rows.late_writes = late_writes
    with trio.move_on_after(0.002):
        await door.submit()
    assert not [name for name in door.model.rows if name[0] == "jobs"]
    await door.publish()
    assert (await door.submit(OTHER_JOB))[0] == 429
    assert (await door.submit())[0] == 200


async def test_refusal_after_a_write_that_was_not_made(door):
    """Guards against jobs that are let in for good after one failed write."""
    door.kernel.rows.closed = True
    assert (await door.submit())[0] == 503
    door.kernel.rows.closed = False
    await door.publish()
    assert (await door.submit(JOB))[0] == 429
