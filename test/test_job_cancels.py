"""Cancellations of jobs and the pacing of writes."""

from datetime import date
from types import SimpleNamespace

import pytest
import trio
from attrs import evolve

from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.jobs.cancels import CancelBatches
from hemlockstand.jobs.pacing import WritePacer
from hemlockstand.jobs.records import (
    Task,
    TeamWork,
    decode_work,
    drop_entry,
    encode_work,
)
from hemlockstand.jobs.service import JobsService
from hemlockstand.model import Configuration, Job, Priority
from hemlockstand.platform.interface import Shape
from hemlockstand.platform.memory import MemoryTable

RUN = "20261204T060000Z"
LATER = "20261204T070000Z"
COUNT = 50


def make_task(job):
    shape = Shape(1, 1000)
    return Task(f"{job}:{RUN}", job, RUN, "w1", 1, shape, Priority.BATCH, 0.0)


class TeamRow:
    """A team's row whose commits take 10 ms and fail if ``error`` is set."""

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
    row = TeamRow()
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


async def test_disconnected_caller_stops_no_other_cancellation():
    """Guards against cancellations that wait for a caller who disconnected."""
    row = TeamRow()
    batches = CancelBatches(row.commit)
    done = []

    async def cancel(job):
        done.extend(await batches.cancel("frame", job, "night", LATER))

    async with trio.open_nursery() as nursery:
        caller_scope = trio.CancelScope()

        async def cancel_and_disconnect():
            with caller_scope:
                await cancel("job-0")

        nursery.start_soon(cancel_and_disconnect)
        await trio.sleep(0.005)
        nursery.start_soon(cancel, "job-1")
        await trio.sleep(0)
        caller_scope.cancel()
    assert [task.job for task in done] == ["job-1"]


async def test_outage_fails_all_waiting_cancellations_at_once():
    """Guards against a queue of callers that time out one after the other."""
    row = TeamRow()
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
    """Guards against a cancellation that makes a finished run due again."""
    row = TeamRow()
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


class EarlyFinishTable(MemoryTable):
    """Loses the reply to a submit whose run ends before it is read back."""

    lost = False

    async def transact(self, operations):
        versions = await super().transact(operations)
        if self.lost:
            return versions
        self.lost = True
        work = decode_work("frame", await self.read("work/frame"))
        ((task, demanded_run),) = work.demanded.items()
        done = evolve(
            work,
            demanded=drop_entry(work.demanded, task),
            last_run={demanded_run.job: demanded_run.run},
        )
        await super().transact([encode_work(done)])
        raise OutcomeUnknown("reply lost")


def make_service(table, job):
    platform = SimpleNamespace(table=table)
    services = {
        "platform": SimpleNamespace(platform=platform, polled=None),
        "configuration": SimpleNamespace(current=Configuration(jobs={job.name: job})),
        "peers": None,
        "maintenance": None,
    }
    settings = SimpleNamespace(
        daemon=SimpleNamespace(name="entry-1"),
        jobs=SimpleNamespace(writes_per_second=50),
    )
    return JobsService(
        SimpleNamespace(settings=settings, find=lambda name, kind: services[name])
    )


async def test_submit_is_not_repeated_after_its_run_has_ended():
    """Guards against a second run because the reply to the first was lost."""
    day = date(2999, 1, 1)
    job = Job("once", "frame", "p", "on demand", day, Priority.BATCH, 1, 1000, 1)
    table = EarlyFinishTable()
    await make_service(table, job).submit("once", "frame")
    assert decode_work("frame", await table.read("work/frame")).demanded == {}
