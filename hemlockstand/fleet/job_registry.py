"""The scheduler's jobs in memory: which subtasks wait, run and are done.

The registry is rebuilt from the store's rows and the executors' lists after
each change of the scheduler. Ends of runs are written to the status rows of
the jobs. Starts are not written, since the executors' lists show them.
"""

from heapq import heappop, heappush

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.durations import Durations
from hemlockstand.fleet.model import (
    FleetConfig,
    JobSpec,
    JobState,
    JobStatus,
    Resources,
)
from hemlockstand.fleet.policy.waiting import measure_chain
from hemlockstand.fleet.work import Job, Run, StepRun, Subtask

log = logger.bind(module=__name__)

DEFAULT_ATTEMPTS = 1  # for a queue that is no longer in the configuration


@define(eq=False)
class JobRegistry:
    """All jobs of the fleet.

    ``ready`` holds the steps with waiting subtasks, ``in_use`` the resources
    of all runs by tenant, and ``ended`` the ended jobs by time. ``dirty``
    names the jobs whose status row is out of date.
    """

    run_base: int = 0
    jobs: dict[str, Job] = field(factory=dict)
    ready: dict[str, StepRun] = field(factory=dict)
    dirty: set[str] = field(factory=set)
    in_use: dict[str, Resources] = field(factory=dict)
    ended: list[tuple[int, str]] = field(factory=list)
    durations: Durations = field(factory=Durations)
    _due: list[tuple[float, str, int]] = field(factory=list)

    def add(
        self,
        spec: JobSpec,
        version: int,
        status: JobStatus | None,
        now: float,
        now_ms: int,
    ) -> Job | None:
        """Add a job from its rows; return None if it is already known."""
        if spec.id in self.jobs:
            return None
        age = max(0.0, (now_ms - spec.accepted_ms) / 1000)
        job = Job(spec, version, accepted_at=now - age)
        self.jobs[spec.id] = job
        if status is not None:
            job.state = status.state
            job.started = status.state is not JobState.QUEUED
            if status.state.final:
                self._retire(job, status.ended_ms)
                return job
        self._create_steps(job, status or JobStatus(JobState.QUEUED))
        for occurrence in range(spec.occurrences):
            due_at = now
            if spec.timed:
                due_ms = spec.start_at_ms + occurrence * spec.interval_ms
                due_at = now + (due_ms - now_ms) / 1000
            heappush(self._due, (due_at, spec.id, occurrence))
        self.release_due(now)
        return job

    def _create_steps(self, job: Job, status: JobStatus) -> None:
        job.pools.update(status.other_pools)
        job.stored_pools.update(status.other_pools)
        for occurrence in range(job.spec.occurrences):
            for position, step in enumerate(job.spec.steps):
                step_run = StepRun(job, occurrence, position, step)
                if not step.lasting:
                    step_run.done = status.done.get(step_run.key, 0)
                step_run.inherited = step_run.key in status.announced
                step_run.announced = step_run.inherited
                job.steps[occurrence, position] = step_run
        marked = {*status.failures, *status.crashes}
        for step_run in job.steps.values():
            if any(name.startswith(step_run.key + ".") for name in marked):
                self._create_subtasks(step_run)
                for subtask in step_run.subtasks:
                    key = f"{step_run.key}.{subtask.index}"
                    subtask.failures = set(status.failures.get(key, ()))
                    subtask.crashes = status.crashes.get(key, 0)

    def _create_subtasks(self, step_run: StepRun) -> None:
        if step_run.subtasks:
            return
        for index in range(step_run.step.count):
            name = f"{step_run.name}.{index}"
            subtask = Subtask(step_run, index, name, self.run_base)
            subtask.done = bool(step_run.done >> index & 1)
            step_run.subtasks.append(subtask)

    def next_due(self) -> float | None:
        """Return when the next occurrence is due."""
        return self._due[0][0] if self._due else None

    def release_due(self, now: float) -> bool:
        """Unlock the occurrences that are due; return whether any were."""
        released = False
        while self._due and self._due[0][0] <= now:
            _, job_id, occurrence = heappop(self._due)
            job = self.jobs.get(job_id)
            if job is None or job.state.final or job.cancelled:
                continue
            self._unlock(job, occurrence, now)
            released = True
        return released

    def _unlock(self, job: Job, occurrence: int, now: float) -> None:
        for position, step in enumerate(job.spec.steps):
            step_run = job.steps[occurrence, position]
            if step_run.complete or step_run.unlocked_at:
                continue
            if all(job.steps[occurrence, earlier].complete for earlier in step.after):
                step_run.unlocked_at = now
                step_run.remaining_seconds = self._predict_remaining(step_run)
                self._create_subtasks(step_run)
                for subtask in step_run.subtasks:
                    if not subtask.done and subtask.run is None:
                        self.set_waiting(subtask)

    def _predict_remaining(self, step_run: StepRun) -> float:
        spec = step_run.job.spec
        seconds = [
            self.durations.predict(spec.queue, step.estimate_ms) for step in spec.steps
        ]
        return measure_chain(spec, step_run.position, seconds)

    def announce(self, step_run: StepRun, pool: str) -> None:
        """Request that a step is stored as one that may have started in a pool."""
        job = step_run.job
        if not step_run.announce_requested or pool not in job.pools:
            step_run.announce_requested = True
            job.pools.add(pool)
            self.dirty.add(job.id)

    def mark_stored(self, jobs: list[str], statuses: list[JobStatus]) -> None:
        """Mark the steps and pools in stored statuses; starts may follow now."""
        for job_id, status in zip(jobs, statuses, strict=True):
            job = self.jobs.get(job_id)
            if job is None:
                continue
            job.stored_pools.update(status.other_pools)
            for step_run in job.steps.values():
                if step_run.key in status.announced:
                    step_run.announced = True

    def set_waiting(self, subtask: Subtask) -> None:
        """Queue a subtask for placement."""
        subtask.step_run.waiting[subtask.index] = subtask
        self.ready[subtask.step_run.name] = subtask.step_run

    def unset_waiting(self, subtask: Subtask) -> None:
        """Remove a subtask from the placement queue."""
        step_run = subtask.step_run
        step_run.waiting.pop(subtask.index, None)
        if not step_run.waiting:
            self.ready.pop(step_run.name, None)

    def find(self, name: str) -> Subtask | None:
        """Return a subtask by the name that executors use.

        A step that is still locked here may have runs: a previous scheduler
        may have started it after ends that were not stored yet. A job that has
        ended may have runs until they are stopped.
        """
        job_id, _, rest = name.partition(".")
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if not job.steps:
            self._create_steps(job, JobStatus(job.state))
        try:
            occurrence, position, index = (int(part) for part in rest.split("."))
            step_run = job.steps[occurrence, position]
        except (ValueError, KeyError):
            log.warning(
                "executor reports a run of {}, which is not a known subtask", name
            )
            return None
        self._create_subtasks(step_run)
        if not 0 <= index < len(step_run.subtasks):
            log.warning(
                "executor reports a run of {}, which is not a known subtask", name
            )
            return None
        return step_run.subtasks[index]

    def attach(self, subtask: Subtask, run: Run) -> None:
        """Set the run of a subtask; count it against the tenant's maximum."""
        self.unset_waiting(subtask)
        subtask.run = run
        subtask.runs = max(subtask.runs, run.number)
        self._add_usage(subtask, 1)

    def detach(self, subtask: Subtask) -> None:
        """Remove the run of a subtask."""
        subtask.run = None
        self._add_usage(subtask, -1)

    def _add_usage(self, subtask: Subtask, times: int) -> None:
        tenant = subtask.job.spec.tenant
        used = self.in_use.get(tenant, Resources())
        self.in_use[tenant] = used.add(subtask.step.size, times)

    def set_started(self, job: Job) -> None:
        """Mark a job as started."""
        if job.started:
            return
        job.started = True
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.dirty.add(job.id)

    def set_done(self, subtask: Subtask, now: float, now_ms: int) -> None:
        """Mark a subtask as done, and unlock the steps that depend on it."""
        step_run = subtask.step_run
        job = subtask.job
        if subtask.done or job.state.final:
            subtask.done = True
            return
        members = step_run.subtasks if step_run.step.gang else (subtask,)
        for member in members:
            member.done = True
            step_run.done |= 1 << member.index
            self.unset_waiting(member)
        self.dirty.add(job.id)
        if not step_run.complete:
            return
        self._unlock(job, step_run.occurrence, now)
        if all(other.complete for other in job.steps.values()):
            self.finish(job, JobState.COMPLETED, now_ms)

    def add_failure(
        self, subtask: Subtask, run: int, attempts: int, now_ms: int
    ) -> None:
        """Count a failed run once; the job fails after its last attempt."""
        subtask.failures.add(run)
        if subtask.step.lasting or subtask.job.state.final:
            return
        self.dirty.add(subtask.job.id)
        if len(subtask.failures) >= attempts and not subtask.done:
            detail = f"{subtask.name} has failed {attempts} times"
            self.finish(subtask.job, JobState.FAILED, now_ms, detail)

    def add_crash(self, subtask: Subtask) -> None:
        """Count a crash of an executor under a subtask."""
        if not subtask.job.state.final:
            subtask.crashes += 1
            self.dirty.add(subtask.job.id)

    def clear_crashes(self, subtask: Subtask) -> None:
        """Forget the crashes under a subtask that has turned out harmless."""
        if subtask.crashes and not subtask.job.state.final:
            subtask.crashes = 0
            self.dirty.add(subtask.job.id)

    def finish(self, job: Job, state: JobState, now_ms: int, detail: str = "") -> None:
        """End a job; its runs are stopped by the scheduler."""
        if job.state.final:
            return
        job.state = state
        for subtask in job.subtasks():
            self.unset_waiting(subtask)
        self.dirty.add(job.id)
        self._retire(job, now_ms)
        log.info("job ended", job=job.id, outcome=state.value, detail=detail)

    def _retire(self, job: Job, now_ms: int) -> None:
        job.ended_ms = now_ms
        heappush(self.ended, (now_ms, job.id))

    def expire(self, before_ms: int, limit: int) -> list[str]:
        """Drop jobs that ended before a time; return their ids."""
        expired = []
        while self.ended and self.ended[0][0] < before_ms and len(expired) < limit:
            _, job_id = self.ended[0]
            if job_id in self.dirty:
                break
            heappop(self.ended)
            self.jobs.pop(job_id, None)
            expired.append(job_id)
        return expired

    def count_pending(self) -> dict[str, int]:
        """Return the number of untimed jobs not started yet, by queue."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if job.started or job.state.final or job.spec.timed or job.cancelled:
                continue
            counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
        return counts


def find_pool(job: Job, config: FleetConfig) -> str:
    """Return the pool that runs a job's subtasks.

    It is that of the job's queue in the configuration, or the pool stored with
    the job if the queue is gone.
    """
    queue = config.queues_by_name.get(job.spec.queue)
    return job.spec.pool if queue is None else queue.pool


def find_max_attempts(job: Job, config: FleetConfig) -> int:
    """Return how often a subtask of the job may fail."""
    queue = config.queues_by_name.get(job.spec.queue)
    return DEFAULT_ATTEMPTS if queue is None else queue.attempts
