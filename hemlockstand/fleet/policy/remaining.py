"""Room that the rest of a job needs.

Load pattern: the end of a queue's turn, when nothing waits any more and the
last subtasks run. Subtasks that wait have to be done in the time that their
job has left, so their need rises while they wait. Those that run have their
room, and need it for the rest of their time: if they counted in full over the
time left, a pool would stay as large as at the peak until its last job is done.
"""

from hemlockstand.fleet.work import Job, StepRun

# Time in which jobs without an objective should be done.
MIN_WINDOW_SECONDS = 1.0


def count_parallel(step_run: StepRun, seconds: float, now: float) -> float:
    """Return how many subtasks of a step should run at a time.

    ``seconds`` is the predicted time of one.
    """
    left = step_run.step.count - step_run.done.bit_count()
    window = find_window(step_run.job, now)
    parallel = left * min(1.0, seconds / window)
    for subtask in step_run.subtasks:
        if subtask.run is not None and not subtask.done:
            elapsed = min(seconds, now - subtask.run.ordered_at)
            rest = min(1.0, (seconds - elapsed) / window)
            parallel += rest - min(1.0, seconds / window)
    return parallel


def find_window(job: Job, now: float) -> float:
    """Return the seconds in which the waiting rest of a job should be done.

    The time that a job has waited is gone. A late job has all its time again:
    it is worth too little for instances of its own.
    """
    left = job.accepted_at + job.objective_seconds - now
    if left < 0:
        left = job.objective_seconds
    return max(MIN_WINDOW_SECONDS, left)
