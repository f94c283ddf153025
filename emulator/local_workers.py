"""In-memory workers for tests and benchmarks of placement."""

from collections.abc import Callable, Iterator, Sequence

from attrs import define, evolve, field, frozen

from hemlockstand.errors import InvalidInput, PlatformUnavailable
from hemlockstand.platform.interface import (
    Shape,
    TaskReport,
    TaskStart,
    TaskState,
    WorkerReport,
)

ACTIVE = (TaskState.RUNNING, TaskState.THROTTLED)


@frozen
class LocalTask:
    """A task on a worker, which stops when its lease ends."""

    report: TaskReport
    lease_end: float


@define
class LocalWorkers:
    """Runs tasks until the test ends them or their lease ends.

    On ``broken`` workers each task fails at its start, and so do the tasks of
    ``broken_jobs`` on all workers. Calls to ``unreachable`` workers fail while
    their tasks go on. ``usage`` holds the actual usage of the tasks of a job,
    if it differs from the declared shape. ``started`` records each accepted
    start as (worker, task, fence).
    """

    clock: Callable[[], float]
    broken: set[str] = field(factory=set)
    broken_jobs: set[str] = field(factory=set)
    unreachable: set[str] = field(factory=set)
    usage: dict[str, Shape] = field(factory=dict)
    started: list[tuple[str, str, int]] = field(factory=list)
    tasks: dict[str, dict[str, LocalTask]] = field(factory=dict)
    fences: dict[tuple[str, str], int] = field(factory=dict)

    async def start(self, worker: str, task: TaskStart) -> None:
        """Start a task; refuses a fence that is not larger than all before.

        Raises ``InvalidInput`` with the code ``stale_fence``.
        """
        self._check_reachable(worker)
        key = worker, task.task
        if task.fence <= self.fences.get(key, 0):
            raise InvalidInput(
                f"fence {task.fence} of task {task.task!r} is stale", code="stale_fence"
            )
        self.fences[key] = task.fence
        self.started.append((worker, task.task, task.fence))
        failing = worker in self.broken or task.payload["job"] in self.broken_jobs
        state = TaskState.FAILED if failing else TaskState.RUNNING
        used = self.usage.get(task.payload["job"], task.shape)
        report = TaskReport(task.task, task.fence, state, used)
        lease_end = self.clock() + task.lease_seconds
        self.tasks.setdefault(worker, {})[task.task] = LocalTask(report, lease_end)

    async def renew(
        self, worker: str, task: str, fence: int, lease_seconds: float
    ) -> None:
        """Extend the lease of a running task."""
        self._check_reachable(worker)
        entry = self._find(worker, task, fence)
        if entry is not None and entry.report.state in ACTIVE:
            lease_end = self.clock() + lease_seconds
            self.tasks[worker][task] = evolve(entry, lease_end=lease_end)

    async def checkpoint(self, worker: str, task: str, fence: int) -> None:
        """Checkpoint a running task."""
        self._check_reachable(worker)
        self._end(worker, task, fence, TaskState.CHECKPOINTED)

    async def throttle(
        self, worker: str, task: str, fence: int, fraction: float
    ) -> None:
        """Throttle a running task; the fraction has no further effect."""
        self._check_reachable(worker)
        self._end(worker, task, fence, TaskState.THROTTLED)

    async def stop(self, worker: str, task: str, fence: int) -> None:
        """Stop a task and refuse later starts with this fence."""
        self._check_reachable(worker)
        key = worker, task
        self.fences[key] = max(fence, self.fences.get(key, 0))
        self._end(worker, task, fence, TaskState.STOPPED)

    async def report(self, worker: str) -> WorkerReport:
        """Return the worker's tasks."""
        self._check_reachable(worker)
        self._end_leases(worker)
        entries = self.tasks.get(worker, {}).values()
        return WorkerReport(worker, tuple(entry.report for entry in entries))

    async def reports(self, workers: Sequence[str]) -> list[WorkerReport]:
        """Return the reports of those workers that can be reached."""
        reached = [worker for worker in workers if worker not in self.unreachable]
        return [await self.report(worker) for worker in reached]

    def finish(self, task: str) -> None:
        """End every running start of the task with success."""
        for worker, entries in self.tasks.items():
            if task in entries:
                self._end(worker, task, entries[task].report.fence, TaskState.DONE)

    def list_running(self) -> Iterator[str]:
        """Yield the name of each running task, once per worker running it."""
        for worker, entries in self.tasks.items():
            self._end_leases(worker)
            for name, entry in entries.items():
                if entry.report.state in ACTIVE:
                    yield name

    def count_running(self, task: str) -> int:
        """Return the number of workers on which the task runs."""
        return sum(name == task for name in self.list_running())

    def _check_reachable(self, worker: str) -> None:
        if worker in self.unreachable:
            raise PlatformUnavailable(f"worker {worker!r} does not answer")

    def _find(self, worker: str, task: str, fence: int) -> LocalTask | None:
        self._end_leases(worker)
        entry = self.tasks.get(worker, {}).get(task)
        return entry if entry is not None and entry.report.fence == fence else None

    def _end(self, worker: str, task: str, fence: int, state: TaskState) -> None:
        entry = self._find(worker, task, fence)
        if entry is not None and entry.report.state in ACTIVE:
            report = evolve(entry.report, state=state)
            self.tasks[worker][task] = evolve(entry, report=report)

    def _end_leases(self, worker: str) -> None:
        now = self.clock()
        entries = self.tasks.get(worker, {})
        for name, entry in entries.items():
            if entry.report.state in ACTIVE and now > entry.lease_end:
                stopped = evolve(entry.report, state=TaskState.STOPPED)
                entries[name] = evolve(entry, report=stopped)
