"""The state of a job as operators see it."""

from datetime import date

from attrs import frozen

from hemlockstand.jobs.records import TeamWork
from hemlockstand.jobs.schedules import is_wanted
from hemlockstand.model import Job


@frozen
class JobStatus:
    """A job as operators see it.

    ``state`` is ``wanted``, ``retired``, ``running``, ``checkpointed`` or
    ``parked``.
    """

    name: str
    team: str
    pool: str
    state: str
    last_run: str
    worker: str
    detail: str


def describe_job(job: Job, work: TeamWork, today: date) -> JobStatus:
    """Return the status of a job on a day, from its team's row."""
    running = (task for task in work.running.values() if task.job == job.name)
    task = next(running, None)
    parked = work.parked.get(job.name)
    if parked is not None:
        state, detail = "parked", f"{parked.reason}: {', '.join(parked.workers)}"
    elif task is not None:
        state = "checkpointed" if task.checkpointed else "running"
        detail = f"fence {task.fence}"
    elif is_wanted(job, job.team, job.pool, today):
        state, detail = "wanted", job.schedule
    else:
        state, detail = "retired", f"last wanted on {job.last_day.isoformat()}"
    return JobStatus(
        job.name,
        job.team,
        job.pool,
        state,
        work.last_run.get(job.name, ""),
        task.worker if task is not None else "",
        detail,
    )
