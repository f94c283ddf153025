"""Room that the rest of a job needs.

Load pattern: the end of a queue's turn, when nothing waits any more and the
last subtasks run. Subtasks that wait have to be done in the time that their
job has left, so their need rises while they wait. Those that run have their
room, and it is free once they end: if they counted over the time left as
well, a pool would stay as large as at the peak until its last job is done.
"""

from hemlockstand.fleet.work import Job, StepRun

# Time in which jobs without an objective should be done.
MIN_WINDOW_SECONDS = 1.0


def count_parallel(step_run: StepRun, seconds: float, now: float) -> float:
    """Return how many subtasks of a step should run at a time.

    ``seconds`` is the predicted time of one.
    """
    left = step_run.step.count - step_run.done.bit_count()
    running = left - len(step_run.waiting) if step_run.unlocked else 0
    job = step_run.job
    whole = max(MIN_WINDOW_SECONDS, job.objective_seconds)
    return running * min(1.0, seconds / whole) + (left - running) * min(
        1.0, seconds / find_window(job, now)
    )


def find_window(job: Job, now: float) -> float:
    """Return the seconds in which the waiting rest of a job should be done.

    The time that a job has waited is gone. A late job has all its time again:
    it is worth too little for instances of its own.
    """
    left = job.accepted_at + job.objective_seconds - now
    if left < 0:
        left = job.objective_seconds
    return max(MIN_WINDOW_SECONDS, left)
