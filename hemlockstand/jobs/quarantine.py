"""Distinguishes jobs that can never run from workers that fail every job.

A job that failed on several distinct workers, each of which runs other jobs,
is parked. A worker on which several distinct jobs failed, each of which runs
elsewhere or is new, is put in quarantine and probed. The number of starts is
bounded in both cases, whatever the order of events.
"""

from attrs import evolve

from hemlockstand.jobs.records import (
    Parked,
    Quarantine,
    Task,
    TeamWork,
    WorkerState,
    advance_last_run,
    drop_entry,
    release_task,
    stop_task,
)

DISTINCT_WORKERS = 3  # failures on fewer could be the workers' fault
DISTINCT_JOBS = 3  # failures of fewer could be the jobs' fault
MAX_JOB_STARTS = 5
MAX_WORKER_STARTS = 5
MAX_PROBES = 2
# All unconfirmed starts may fail, so together with the probes they must not
# exceed the bound on a worker's starts.
MAX_UNCONFIRMED = MAX_WORKER_STARTS - MAX_PROBES
PROBE_INTERVAL_SECONDS = 300.0
UNCONFIRMED_SECONDS = 5.0


def record_success(
    work: TeamWork, worker: WorkerState, task: Task
) -> tuple[TeamWork, WorkerState]:
    """Return both records after a task succeeded."""
    return (
        evolve(
            work,
            running=drop_entry(work.running, task.name),
            last_run=advance_last_run(work, task.job, task.run),
            failed_on=drop_entry(work.failed_on, task.job),
            starts=drop_entry(work.starts, task.job),
        ),
        evolve(
            release_task(worker, task),
            failed_jobs=(),
            failed_starts=0,
            quarantine=None,
        ),
    )


def record_failure(
    work: TeamWork, worker: WorkerState, task: Task, now: float
) -> tuple[TeamWork, WorkerState]:
    """Return both records after a task failed.

    ``now`` is in seconds since the epoch. The job is parked or the worker put
    in quarantine if there have been enough failures. A failure on a worker
    that is already in quarantine does not count against the job.
    """
    was_quarantined = worker.quarantine is not None
    worker = _record_worker_failure(release_task(worker, task), task, now)
    work = stop_task(work, task)
    if was_quarantined:
        return _discount_start(work, task), worker
    failed_on = work.failed_on.get(task.job, ())
    if task.worker not in failed_on:
        failed_on = (*failed_on, task.worker)
    work = evolve(work, failed_on={**work.failed_on, task.job: failed_on})
    return _park_if_failing(work, task, failed_on, now), worker


def _discount_start(work: TeamWork, task: Task) -> TeamWork:
    starts = max(0, work.starts.get(task.job, 0) - 1)
    return evolve(work, starts={**work.starts, task.job: starts})


def _record_worker_failure(worker: WorkerState, task: Task, now: float) -> WorkerState:
    jobs = worker.failed_jobs
    if task.job not in jobs:
        jobs = (*jobs, task.job)
    worker = evolve(worker, failed_jobs=jobs, failed_starts=worker.failed_starts + 1)
    if worker.quarantine is not None:
        return evolve(worker, quarantine=evolve(worker.quarantine, since=now))
    if len(jobs) >= DISTINCT_JOBS or worker.failed_starts >= MAX_UNCONFIRMED:
        return evolve(worker, quarantine=Quarantine(jobs, now))
    return worker


def _park_if_failing(
    work: TeamWork, task: Task, failed_on: tuple[str, ...], now: float
) -> TeamWork:
    starts = work.starts.get(task.job, 0)
    if len(failed_on) >= DISTINCT_WORKERS:
        reason = f"failed on {len(failed_on)} distinct workers"
    elif starts >= MAX_JOB_STARTS:
        reason = f"failed {starts} starts in a row"
    else:
        return work
    parked = Parked(reason, failed_on, now)
    return evolve(
        work,
        parked={**work.parked, task.job: parked},
        last_run=advance_last_run(work, task.job, task.run),
        demanded=drop_entry(work.demanded, task.name),
    )


def count_starts_left(worker: WorkerState, now: float) -> int:
    """Return how many more starts the worker may be given at once.

    Starts that are younger than ``UNCONFIRMED_SECONDS`` may all fail, so they
    count as failures. A worker in quarantine may be given a single probe when
    one is due.
    """
    if worker.quarantine is not None:
        due = now - worker.quarantine.since >= PROBE_INTERVAL_SECONDS
        left = worker.quarantine.probes < MAX_PROBES
        return int(due and left and not worker.allocations)
    unconfirmed = sum(
        now - allocation.started_at < UNCONFIRMED_SECONDS
        for allocation in worker.allocations.values()
    )
    return max(0, MAX_UNCONFIRMED - worker.failed_starts - unconfirmed)


def count_probe(worker: WorkerState) -> WorkerState:
    """Return the worker with a probe counted if it is in quarantine."""
    if worker.quarantine is None:
        return worker
    probes = worker.quarantine.probes + 1
    return evolve(worker, quarantine=evolve(worker.quarantine, probes=probes))
