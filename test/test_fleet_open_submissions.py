"""Refusals of jobs that another request at the same frontend may have stored."""

import pytest
import trio

from test.test_fleet_admission import (
    JOB,
    OTHER_JOB,
    AdmissionHarness,
    frontend,
    model,
)

__all__ = ["frontend", "model"]


async def test_no_refusal_while_a_write_of_the_job_is_open(
    frontend: AdmissionHarness, autojump_clock
):
    """Guards against "not run" for a job whose first write is applied later."""
    frontend.kernel.rows.late_writes = 2
    statuses = []

    async def submit_first() -> None:
        statuses.append((await frontend.submit())[0])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit_first)
        await trio.sleep(0.05)
        await frontend.publish()
        assert (await frontend.submit())[0] == 200
        assert (await frontend.submit(OTHER_JOB))[0] == 429
    assert statuses == [200]


async def test_no_refusal_if_the_job_is_stored_while_its_row_is_read(
    frontend: AdmissionHarness, monkeypatch, autojump_clock
):
    """Guards against a row that is read before a write and answered after it."""
    rows = frontend.kernel.rows
    read = rows.read
    may_answer = trio.Event()

    async def read_slowly(*arguments):
        page = await read(*arguments)
        await may_answer.wait()
        return page

    statuses = []

    async def submit_first() -> None:
        statuses.append((await frontend.submit())[0])

    await frontend.publish()
    async with trio.open_nursery() as nursery:
        with monkeypatch.context() as patch:
            patch.setattr(type(rows), "read", staticmethod(read_slowly))
            nursery.start_soon(submit_first)
            await trio.sleep(0.05)
        await frontend.publish(pools={})
        assert (await frontend.submit())[0] == 200
        may_answer.set()
    assert statuses == [200]


@pytest.mark.parametrize("late_writes", [0, 1])
async def test_no_refusal_after_a_request_was_cancelled(
    frontend, late_writes, autojump_clock
):
    """Guards against "not run" after a caller has left during the write."""
    frontend.kernel.rows.late_writes = late_writes
    with trio.move_on_after(0.002):
        await frontend.submit()
    assert not [name for name in frontend.model.rows if name[0] == "jobs"]
    await frontend.publish()
    assert (await frontend.submit(OTHER_JOB))[0] == 429
    assert (await frontend.submit())[0] == 200


async def test_refusal_after_a_write_that_was_not_made(frontend, autojump_clock):
    """Guards against jobs that are let in for good after one failed write."""
    frontend.kernel.rows.closed = True
    assert (await frontend.submit())[0] == 503
    frontend.kernel.rows.closed = False
    await frontend.publish()
    assert (await frontend.submit(JOB))[0] == 429
