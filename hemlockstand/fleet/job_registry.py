"""The scheduler's jobs in memory: which subtasks wait, run and are done.

The registry is rebuilt from the store's rows and the executors' lists after
each change of the scheduler. Ends of runs are written to the status rows of
the jobs. Starts are not written, since the executors' lists show them.
"""

from collections.abc import Callable, Iterable, Mapping
from heapq import heappop, heappush

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.bit_sets import find_bits
from hemlockstand.fleet.copy_index import CopyIndex
from hemlockstand.fleet.durations import Durations, expect_medians
from hemlockstand.fleet.model import (
    FleetConfig,
    JobAttempts,
    JobSpec,
    JobState,
    JobStatus,
    Resources,
)
from hemlockstand.fleet.policy.usage import UsageLedger
from hemlockstand.fleet.policy.waiting import measure_chain
from hemlockstand.fleet.suspected_crashes import SuspectedCrashes
from hemlockstand.fleet.work import Job, Run, StepRun, Subtask

log = logger.bind(module=__name__)


@define(eq=False)
class JobRegistry:
    """All jobs of the fleet.

    ``ready`` holds the steps with waiting subtasks, ``in_use`` the resources of all
    runs by tenant, ``ledger`` those by pool, and ``ended`` the ended jobs by time.
    ``dirty`` names the jobs whose status row is out of date, ``dirty_blocks`` the
    blocks of subtasks whose row of failures and crashes is.
    """

    run_base: int = 0
    jobs: dict[str, Job] = field(factory=dict)
    ready: dict[str, StepRun] = field(factory=dict)
    dirty: set[str] = field(factory=set)
    dirty_blocks: set[tuple[str, int]] = field(factory=set)
    in_use: dict[str, Resources] = field(factory=dict)
    ended: list[tuple[int, str]] = field(factory=list)
    durations: Durations = field(factory=Durations)
    ledger: UsageLedger = field(factory=UsageLedger)
    copies: CopyIndex = field(factory=CopyIndex)
    suspected_crashes: SuspectedCrashes = field(factory=SuspectedCrashes)
    _due: list[tuple[float, str, int]] = field(factory=list)

    def add(
        self,
        spec: JobSpec,
        version: int,
        status: JobStatus | None,
        now: float,
        now_ms: int,
        attempts: Mapping[int, JobAttempts] | None = None,
    ) -> Job | None:
        """Add a job from its rows; return None if it is already known.

        ``attempts`` holds the failures and crashes that are not in the status.
        """
        if spec.id in self.jobs:
            return None
        age = max(0.0, (now_ms - spec.accepted_ms) / 1000)
        job = Job(spec, version, accepted_at=now - age)
        self.jobs[spec.id] = job
        blocks = attempts or {}
        job.stored_blocks.update(blocks)
        if status is not None:
            job.state = status.state
            job.started = status.state is not JobState.QUEUED
            if status.state.final:
                self._retire(job, status.ended_ms)
                return job
        status = status or JobStatus(JobState.QUEUED)
        self._create_steps(job, status)
        self._add_attempts(job, 0, status, now)
        for block, record in blocks.items():
            self._add_attempts(job, block, record, now)
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
                job.steps[occurrence, position] = step_run
        done = job.read_done(status)
        announced = job.read_announced(status)
        for step_run in job.steps.values():
            if not step_run.step.lasting:
                step_run.done = done >> step_run.first_position & step_run.mask
                job.done |= step_run.done << step_run.first_position
            step_run.inherited = bool(announced >> step_run.number & 1)
            step_run.announced = step_run.inherited
            if step_run.complete:
                continue
            job.open_steps += 1
            if step_run.inherited:
                job.announced |= 1 << step_run.number
        job.stored_announced = job.announced

    def _add_attempts(
        self, job: Job, block: int, record: JobStatus | JobAttempts, now: float
    ) -> None:
        """Set the stored failures and crashes of the subtasks of a block."""
        for key in {*record.failures, *record.crashes}:
            subtask = self._find_subtask(job, key)
            if subtask is None:
                log.warning("status of job {} names no subtask: {}", job.id, key)
                continue
            subtask.failures = set(record.failures.get(key, ()))
            subtask.crashes = record.crashes.get(key, 0)
            if not subtask.has_attempts:
                continue
            subtask.suspected = record.suspected.get(key, subtask.suspected)
            for executor in subtask.suspected:
                self.suspected_crashes.add(executor, subtask, now)
            job.attempted.setdefault(subtask.block, {})[subtask.position] = subtask
            if subtask.block != block:
                # An earlier version stored it with the status.
                self.dirty_blocks.add((job.id, subtask.block))

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
                self.predict_remaining(step_run)
                self._create_subtasks(step_run)
                for subtask in step_run.subtasks:
                    if not subtask.done and subtask.run is None:
                        self.set_waiting(subtask)

    def predict_remaining(self, step_run: StepRun) -> None:
        """Predict the time of the longest chain from a step on."""
        spec = step_run.job.spec
        seconds = expect_medians(spec, self.durations)
        position = step_run.position
        step_run.remaining_seconds = measure_chain(spec, position, seconds)

    def announce(self, step_run: StepRun, pool: str) -> None:
        """Request that a step is stored as one that may have started in a pool."""
        job = step_run.job
        if not step_run.announce_requested or pool not in job.pools:
            step_run.announce_requested = True
            job.announced |= 1 << step_run.number
            job.pools.add(pool)
            self.dirty.add(job.id)

    def mark_stored(self, job_id: str, pools: Iterable[str], announced: int) -> None:
        """Mark stored pools and the set of announced steps; starts may follow."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.stored_pools.update(pools)
        for number in find_bits(announced & ~job.stored_announced):
            job.find_step(number).announced = True
        job.stored_announced |= announced

    def mark_block_stored(self, job_id: str, block: int, exists: bool) -> None:
        """Mark whether a block of subtasks has a row of failures and crashes."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        if not exists:
            job.stored_blocks.discard(block)
            return
        job.stored_blocks.add(block)
        if job.state.final:
            # It has ended during the transaction.
            self.dirty_blocks.add((job_id, block))

    def set_waiting(self, subtask: Subtask) -> None:
        """Queue a subtask for placement."""
        if subtask.index not in subtask.step_run.waiting:
            subtask.step_run.waiting[subtask.index] = subtask
            self.ledger.add_waiting(subtask, 1)
        self.ready[subtask.step_run.name] = subtask.step_run

    def unset_waiting(self, subtask: Subtask) -> None:
        """Remove a subtask from the placement queue."""
        step_run = subtask.step_run
        if step_run.waiting.pop(subtask.index, None) is not None:
            self.ledger.add_waiting(subtask, -1)
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
        subtask = self._find_subtask(job, rest)
        if subtask is None:
            log.warning(
                "executor reports a run of {}, which is not a known subtask", name
            )
        return subtask

    def _find_subtask(self, job: Job, key: str) -> Subtask | None:
        """Return the subtask with a key within the job, if there is one."""
        try:
            occurrence, position, index = (int(part) for part in key.split("."))
            step_run = job.steps[occurrence, position]
        except (ValueError, KeyError):
            return None
        self._create_subtasks(step_run)
        if not 0 <= index < len(step_run.subtasks):
            return None
        return step_run.subtasks[index]

    def attach(self, subtask: Subtask, run: Run) -> None:
        """Add a run of a subtask; count it against the tenant's maximum."""
        self.unset_waiting(subtask)
        subtask.add_run(run)
        self._add_usage(subtask, run, 1)
        self.copies.add_run(subtask)

    def detach(self, subtask: Subtask, run: Run) -> None:
        """Remove a run of a subtask."""
        subtask.remove_run(run)
        self._add_usage(subtask, run, -1)
        self.copies.remove_run(subtask)

    def _add_usage(self, subtask: Subtask, run: Run, times: int) -> None:
        tenant = subtask.job.spec.tenant
        used = self.in_use.get(tenant, Resources())
        self.in_use[tenant] = used.add(subtask.step.size, times)
        self.ledger.add_run(subtask, run, times)

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
            job.done |= 1 << member.position
            self.unset_waiting(member)
            if member.failures or member.crashes:
                self._update_attempts(member)
        self.dirty.add(job.id)
        if not step_run.complete:
            return
        job.announced &= ~(1 << step_run.number)
        job.open_steps -= 1
        self._unlock(job, step_run.occurrence, now)
        if not job.open_steps:
            self.finish(job, JobState.COMPLETED, now_ms)

    def add_failure(
        self, subtask: Subtask, run: int, attempts: int, now_ms: int
    ) -> None:
        """Count a failed run once; the job fails after its last attempt.

        While the number of attempts is not known, 0, the job does not fail: that
        could not be undone.
        """
        subtask.failures.add(run)
        if subtask.step.lasting or subtask.job.state.final:
            return
        self._update_attempts(subtask)
        if 0 < attempts <= len(subtask.failures) and not subtask.done:
            detail = f"{subtask.name} has failed {attempts} times"
            self.finish(subtask.job, JobState.FAILED, now_ms, detail)

    def add_crash(self, subtask: Subtask) -> None:
        """Count a crash of an executor under a subtask."""
        if not subtask.job.state.final:
            subtask.crashes += 1
            self._update_attempts(subtask)

    def suspect_crash(
        self, subtask: Subtask, executor: str, lifetime: int, now: float
    ) -> None:
        """Count a crash of an executor that may have been cut off in place.

        ``lifetime`` is the start of the executor's lifetime, 0 if it is not known.
        """
        if subtask.job.state.final or executor in subtask.suspected:
            return
        subtask.crashes += 1
        subtask.suspected = {**subtask.suspected, executor: lifetime}
        self.suspected_crashes.add(executor, subtask, now)
        self._update_attempts(subtask)

    def settle_crash(
        self, executor: str, proves_crash: Callable[[int], bool]
    ) -> list[Subtask]:
        """Keep or withdraw a suspected crash; return for which subtasks it is kept.

        ``proves_crash`` returns whether a lifetime of the executor has crashed.
        """
        proven = []
        for subtask in self.suspected_crashes.take(executor):
            if subtask.done or subtask.job.state.final:
                continue
            suspected = dict(subtask.suspected)
            lifetime = suspected.pop(executor)
            subtask.suspected = suspected
            if proves_crash(lifetime):
                proven.append(subtask)
            else:
                subtask.crashes -= 1
            self._update_attempts(subtask)
        return proven

    def withdraw_old_crashes(self, now: float) -> None:
        """Withdraw the suspected crashes that nothing has proven in time."""
        for executor in self.suspected_crashes.find_expired(now):
            self.settle_crash(executor, lambda lifetime: False)

    def clear_crashes(self, subtask: Subtask) -> None:
        """Forget the crashes under a subtask that has turned out harmless."""
        if subtask.crashes and not subtask.job.state.final:
            self.suspected_crashes.discard(subtask)
            subtask.suspected = {}
            subtask.crashes = 0
            self._update_attempts(subtask)

    def _update_attempts(self, subtask: Subtask) -> None:
        """Request that the failures and crashes of a subtask are stored."""
        job = subtask.job
        block = subtask.block
        attempted = job.attempted.setdefault(block, {})
        if subtask.has_attempts:
            attempted[subtask.position] = subtask
        else:
            attempted.pop(subtask.position, None)
        if block:
            self.dirty_blocks.add((job.id, block))
        else:
            self.dirty.add(job.id)

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
        # Their rows are removed.
        self.dirty_blocks.update((job.id, block) for block in job.stored_blocks)
        heappush(self.ended, (now_ms, job.id))

    def expire(self, before_ms: int, limit: int) -> list[str]:
        """Drop jobs that ended before a time; return their ids."""
        expired = []
        while self.ended and self.ended[0][0] < before_ms and len(expired) < limit:
            if self.ended[0][1] in self.dirty:
                break
            _, job_id = heappop(self.ended)
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
    """Return the pool of a job's queue, or the stored one if that is gone."""
    queue = config.queues_by_name.get(job.spec.queue)
    return job.spec.pool if queue is None else queue.pool
