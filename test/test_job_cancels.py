"""Cancellations and the pacing of writes."""

import pytest
import trio
from attrs import evolve

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.jobs.cancels import CancelBatches
from hemlockstand.jobs.pacing import WritePacer
from hemlockstand.jobs.records import Task, TeamWork
from hemlockstand.model import Priority
from hemlockstand.platform.interface import Shape

RUN = "20261204T060000Z"
LATER = "20261204T070000Z"
COUNT = 50


def make_task(job):
    shape = Shape(1, 1000)
    return Task(f"{job}:{RUN}", job, RUN, "w1", 1, shape, Priority.BATCH, 0.0)


class Row:
    """One team's row whose writes take a while and may fail."""

    def __init__(self):
        jobs = [f"job-{number}" for number in range(COUNT)]
        running = {f"{job}:{RUN}": make_task(job) for job in jobs}
        self.work = TeamWork("frame", running=running)
        self.commits = []
        self.error = None

    async def commit(self, team, pools, change):
        await trio.sleep(0.01)
        self.commits.append((team, pools))
        if self.error is not None:
            raise self.error
        self.work = change(self.work)


async def test_cancellations_at_once_share_transactions():
    """Guards against one transaction for each of many cancellations."""
    row = Row()
    batches = CancelBatches(row.commit)
    cancelled = []

    async def cancel(job):
        tasks = await batches.cancel("frame", job, "night", LATER)
        cancelled.extend(task.name for task in tasks)

    async with trio.open_nursery() as nursery:
        for number in range(COUNT):
            nursery.start_soon(cancel, f"job-{number}")
    assert len(row.commits) <= 2
    assert sorted(cancelled) == sorted(f"job-{n}:{RUN}" for n in range(COUNT))
    assert row.work.running == {}
    assert set(row.work.last_run.values()) == {LATER}


async def test_caller_that_goes_away_takes_no_other_cancellation_with_it():
    """Guards against cancellations that wait for a caller who is gone."""
    row = Row()
    batches = CancelBatches(row.commit)
    done = []

    async def cancel(job):
        done.extend(await batches.cancel("frame", job, "night", LATER))

    async with trio.open_nursery() as nursery:
        gone = trio.CancelScope()

        async def leave():
            with gone:
                await cancel("job-0")

        nursery.start_soon(leave)
        await trio.sleep(0.005)
        nursery.start_soon(cancel, "job-1")
        await trio.sleep(0)
        gone.cancel()
    assert [task.job for task in done] == ["job-1"]


async def test_outage_fails_all_waiting_cancellations_at_once():
    """Guards against a queue of callers that time out one after the other."""
    row = Row()
    row.error = PlatformUnavailable("table is down")
    batches = CancelBatches(row.commit)
    failed = []

    async def cancel(job):
        with pytest.raises(PlatformUnavailable):
            await batches.cancel("frame", job, "night", LATER)
        failed.append(job)

    async with trio.open_nursery() as nursery:
        for number in range(COUNT):
            nursery.start_soon(cancel, f"job-{number}")
    assert len(failed) == COUNT
    assert len(row.commits) <= 2


async def test_cancellation_does_not_move_the_last_run_back():
    """Guards against a run that becomes due again by a cancellation."""
    row = Row()
    row.work = evolve(row.work, last_run={"job-0": LATER})
    batches = CancelBatches(row.commit)
    await batches.cancel("frame", "job-0", "night", RUN)
    assert row.work.last_run["job-0"] == LATER


async def test_pacer_never_exceeds_its_rate_in_any_second(autojump_clock):
    """Guards against a burst of twice the rate after idle time."""
    pacer = WritePacer(10)
    sent = []

    async def write():
        for _ in range(10):
            await pacer.wait(3)
            sent.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(write)
    for moment in sent:
        within = [other for other in sent if moment <= other < moment + 1]
        assert 3 * len(within) <= 10
    assert len(sent) == 40
