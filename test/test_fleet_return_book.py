"""What callers are told who come back, by the book of one frontend."""

import trio

from hemlockstand.fleet.load_view import PoolLoad, WaitingWork
from hemlockstand.fleet.policy.admission import Postponed
from hemlockstand.fleet.return_book import ReturnBook
from test.test_fleet_admission import AdmissionHarness, frontend, model

__all__ = ["frontend", "model"]


async def test_turns_of_small_jobs_without_a_measured_scale(frontend: AdmissionHarness):
    """Guards against long times for small jobs beside large ones elsewhere.

    Of 32 core-seconds accepted, none are known to be this frontend's. 60 jobs of
    0.1 core-seconds take 0.54 s of 0.7 of the pool.
    """
    pool = PoolLoad(
        16.0, 0.0, {"0": {"team": WaitingWork(1000.0, 500.0)}}, arrived=32.0
    )
    seconds = []
    for number in range(60):
        await frontend.publish(pools={"pool": pool})
        seconds.append(int((await frontend.submit(f"{number:016x}", Cpu=100))[2]))
    assert seconds[-1] <= seconds[0] + 1


async def test_stored_jobs_and_failed_reads_take_no_turns(frontend: AdmissionHarness):
    """Guards against newcomers that wait for the turns of nobody."""
    assert (await frontend.submit())[0] == 200
    await frontend.publish()
    first = int((await frontend.submit(f"{1:016x}"))[2])
    for _ in range(150):
        assert (await frontend.submit())[0] == 200
    await frontend.publish()
    frontend.kernel.rows.closed = True
    for number in range(150):
        assert (await frontend.submit(f"{100 + number:016x}"))[0] == 503
    frontend.kernel.rows.closed = False
    await frontend.publish()
    assert int((await frontend.submit(f"{2:016x}"))[2]) <= first + 1


async def test_same_job_submitted_twice_at_once_takes_one_turn(
    frontend: AdmissionHarness,
):
    """Guards against work that is counted twice and taken back once."""
    await frontend.publish()
    answers = []

    async def submit() -> None:
        answers.append((await frontend.submit())[::2])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit)
        nursery.start_soon(submit)
    assert answers[0] == answers[1] and answers[0][0] == 429
    assert [
        work for _, work in frontend.service._admission.book.list_outstanding()
    ] == [1]


def test_heap_is_bounded_by_the_callers_in_the_book():
    """Guards against memory for callers that were removed from the book."""
    book = ReturnBook()
    decision = Postponed("time", "", 1.0, 0.05)
    for number in range(5_000):
        book.tell(f"{number % 7}", ("pool", 0, "team"), 1.0, 0.0, decision)
        book.remove(f"{number % 7}", 0.0)
    assert len(book._heap) <= 200
