"""Checks of the soak, from what callers, executors and the store see.

The executors' records are compared at each start, so a verdict depends on the
order of events at the stand-ins and not on the speed of the machine. Bounds in
time count from the end of the faults, and are generous.
"""

from collections import defaultdict
from collections.abc import Iterator

import trio
from attrs import define, field

from emulator.fleet_executors import ExecutorModel, RecordedRun
from emulator.soak_jobs import CALL_SECONDS, FINAL_STATES, Callers, Job
from emulator.soak_platform import TENANTS, SoakPlatform
from hemlockstand.fleet.model import EndKind, Resources

POLL_SECONDS = 0.1
# After this time no subtask of a cancelled job starts: the platform's bound of
# 3 s, and the longest time for which the soak delays an order, 8 s.
CANCEL_SECONDS = 12.0
# A job is visible at all daemons after this time (the platform's bound).
VISIBLE_SECONDS = 3.0
# Bound on the recovery after the last fault has ended; the platform's is 12 s.
RECOVERY_SECONDS = 30.0
QUOTA_OVERAGE = 1.1  # part of the maximum that a tenant may briefly have


@define(eq=False)
class Checks:
    """Records events, and collects the violations of the product's promises.

    ``events`` are times, texts and the ids of the jobs concerned; faults and
    processes have no id.
    """

    events: list[tuple[float, str, str]] = field(factory=list)
    violations: list[tuple[str, str]] = field(factory=list)
    violated: trio.Event = field(factory=trio.Event)
    started_at: float = field(factory=trio.current_time)
    runs: defaultdict[str, list[RecordedRun]] = field(factory=lambda: defaultdict(list))
    answers: int = 0
    platform: SoakPlatform = field(init=False)
    callers: Callers = field(init=False)

    def note(self, text: str, job: str = "") -> None:
        """Record an event."""
        self.events.append((trio.current_time() - self.started_at, text, job))

    def fail(self, text: str, job: str = "") -> None:
        """Record a violation."""
        self.note(f"VIOLATION {text}", job)
        self.violations.append((text, job))
        self.violated.set()

    def show_timeline(self, job: str) -> Iterator[str]:
        """Return the events of a job, with the faults between them."""
        for at, text, concerned in self.events:
            if concerned in ("", job):
                yield f"{at:8.3f} {text}"

    def note_start(self, model: ExecutorModel, record: RecordedRun) -> None:
        """Check a run that an executor has just started."""
        subtask = record.subtask
        job_id = subtask.split(".")[0]
        for other in self.platform.executors.values():
            other.advance()
        text = f"{subtask} run {record.number} started on {model.id}"
        self.note(text, job_id)
        for problem in self._find_start_problems(model, record, job_id):
            self.fail(f"{text}: {problem}", job_id)
        self.runs[subtask].append(record)

    def _find_start_problems(
        self, model: ExecutorModel, record: RecordedRun, job_id: str
    ) -> Iterator[str]:
        job = self.callers.jobs[job_id]
        if record.payload != f"text of {job_id}":
            yield f"the payload is {record.payload!r}"
        if model.pool != job.queue:
            yield f"the executor belongs to {model.pool}, the job to {job.queue}"
        if job.refused:
            yield "the job was refused"
        if job.cancelled_at is not None:
            age = trio.current_time() - job.cancelled_at
            if age > CANCEL_SECONDS:
                yield f"the job's cancel was acknowledged {age:.1f} s ago"
        yield from self._find_repetitions(record, job)
        for after in job.steps[job.find_position(record.subtask)].get("After", ()):
            for subtask in self._list_subtasks(job, after):
                if not self._is_done(subtask):
                    yield f"{subtask} of an earlier step has not ended"
        free = model.free_resources()
        if not Resources().fits(free):
            yield f"the executor is over its room: {free} is free"
        yield from self._find_excess(job)

    def _find_repetitions(self, record: RecordedRun, job: Job) -> Iterator[str]:
        failures = 0
        for earlier in self.runs[record.subtask]:
            if earlier.ended_at is None:
                yield f"run {earlier.number} still runs on {earlier.executor}"
            if earlier.kind is EndKind.DONE and earlier.acknowledged:
                yield f"the end of run {earlier.number} was acknowledged"
            failures += earlier.kind is EndKind.FAILED and earlier.acknowledged
        if failures >= job.attempts:
            yield f"{failures} failed runs were acknowledged"

    def _find_excess(self, job: Job) -> Iterator[str]:
        """Yield whether a tenant has more at work than its maximum."""
        maximum = TENANTS[job.tenant]
        if not maximum:
            return
        sizes = [
            run.behaviour.size.cpu_millis
            for model in self.platform.executors.values()
            for subtask, run in model.running.items()
            if self.callers.jobs[subtask.split(".")[0]].tenant == job.tenant
        ]
        if sum(sizes) > maximum * QUOTA_OVERAGE + max(sizes):
            yield f"{job.tenant} has {sum(sizes)}m at work, its maximum is {maximum}m"

    def _list_subtasks(self, job: Job, position: int) -> list[str]:
        return [name for name in job.subtasks if job.find_position(name) == position]

    def _is_done(self, subtask: str) -> bool:
        return any(run.kind is EndKind.DONE for run in self.runs[subtask])

    def note_answer(
        self, job: Job, method: str, host: str, status: int, state: str
    ) -> None:
        """Check an answer to a caller."""
        self.answers += 1
        self.note(f"{method} at {host}: {status} {state}".rstrip(), job.id)
        started = any(self.runs[subtask] for subtask in job.subtasks)
        if method == "POST" and job.refused and started:
            self.fail(f"job {job.id} was refused and has started", job.id)
        if not job.accepted:
            return
        age = trio.current_time() - job.accepted_at
        if status in (404, 410) and age > VISIBLE_SECONDS + CALL_SECONDS:
            self.fail(f"{host} does not know job {job.id} after {age:.1f} s", job.id)
        if method == "GET" and state in FINAL_STATES:
            self._check_final_state(job, state)

    def _check_final_state(self, job: Job, state: str) -> None:
        for model in self.platform.executors.values():
            model.advance()
        if state == "completed" and not all(map(self._is_done, job.subtasks)):
            self.fail(f"job {job.id} is shown as completed and is not", job.id)
        if state == "cancelled" and not job.cancel_sent:
            self.fail(f"job {job.id} is shown as cancelled, nobody did", job.id)
        if state == "failed" and not job.fails:
            self.fail(f"job {job.id} is shown as failed without a cause", job.id)

    async def watch(self) -> None:
        """End runs at their times, and check ends that are acknowledged late."""
        while True:
            for model in list(self.platform.executors.values()):
                model.advance()
            for subtask, runs in self.runs.items():
                for position, run in enumerate(runs[:-1]):
                    if run.kind is EndKind.DONE and run.acknowledged:
                        later = runs[position + 1]
                        self.fail(
                            f"{subtask} run {later.number} started after run "
                            f"{run.number}, whose end was acknowledged",
                            subtask.split(".")[0],
                        )
            await trio.sleep(POLL_SECONDS)

    def find_unsettled(self, before: float) -> Iterator[tuple[str, str]]:
        """Yield what is not as it should be when no fault is active, by job.

        Jobs accepted by ``before`` are at work or done, cancelled ones gone.
        """
        running = {
            subtask: model
            for model in self.platform.executors.values()
            for subtask in model.running
        }
        for job in list(self.callers.jobs.values()):
            if not job.accepted or job.accepted_at > before:
                continue
            if job.cancelled_at is not None:
                for subtask in job.subtasks:
                    if subtask in running and job.cancelled_at < before:
                        yield f"{subtask} of a cancelled job runs", job.id
            elif not job.cancel_sent and not job.fails:
                for subtask in job.subtasks:
                    if subtask not in running and not self._is_done(subtask):
                        room = self._describe_room(job)
                        yield f"{subtask} is not at work, {room}", job.id

    def _describe_room(self, job: Job) -> str:
        free = [
            f"{model.id} {model.free_resources().cpu_millis}m"
            for model in self.platform.executors.values()
            if model.pool == job.queue
        ]
        return f"free: {', '.join(free)}"

    async def settle(self) -> float:
        """Wait until all accepted jobs are at work; return the seconds taken.

        They have to be within ``RECOVERY_SECONDS``.
        """
        since = trio.current_time()
        last = "nothing was away"
        while unsettled := list(self.find_unsettled(since)):
            last = unsettled[0][0]
            if trio.current_time() > since + RECOVERY_SECONDS:
                for text, job in unsettled[:5]:
                    self.fail(f"{text}, {RECOVERY_SECONDS:.0f} s after faults", job)
                return RECOVERY_SECONDS
            await trio.sleep(POLL_SECONDS)
        seconds = trio.current_time() - since
        self.note(f"recovered in {seconds:.1f} s; last: {last}")
        return seconds

    async def check_final_states(self, hosts: list[str]) -> None:
        """Ask all daemons for all accepted jobs, until all show their end."""
        give_up_at = trio.current_time() + RECOVERY_SECONDS
        waiting = [job for job in self.callers.jobs.values() if job.accepted]
        while waiting:
            host = hosts[len(waiting) % len(hosts)]
            limiter = trio.CapacityLimiter(8)
            shown: dict[Job, str] = {}
            async with trio.open_nursery() as nursery:
                for job in waiting:
                    nursery.start_soon(self._query, job, host, limiter, shown)
            waiting = [job for job in waiting if not self._is_shown_right(job, shown)]
            if waiting and trio.current_time() > give_up_at:
                for job in waiting[:5]:
                    self.fail(f"job {job.id} is shown as {shown[job]!r}", job.id)
                return
            await trio.sleep(POLL_SECONDS)

    async def _query(
        self, job: Job, host: str, limiter: trio.CapacityLimiter, shown: dict[Job, str]
    ) -> None:
        async with limiter:
            _, shown[job] = await self.callers.query(job, host)

    def _is_shown_right(self, job: Job, shown: dict[Job, str]) -> bool:
        if job.cancelled_at is not None:
            return shown[job] in FINAL_STATES
        if job.cancel_sent:
            return shown[job] != ""
        if job.lasting:
            return shown[job] == "running"
        return shown[job] == ("failed" if job.fails else "completed")
