"""Workers in memory for the tests of placement."""

from attrs import define, evolve, field

from hemlockstand.errors import InvalidInput, PlatformUnavailable
from hemlockstand.platform.interface import (
    Shape,
    TaskReport,
    TaskStart,
    TaskState,
    WorkerReport,
)


@define
class FakeWorkers:
    """Runs tasks until the test ends them; checks fences as workers do.

    ``broken`` workers fail each start, ``broken_jobs`` fail everywhere and
    ``unreachable`` workers answer nothing. ``started`` records each accepted
    start as (worker, task, fence).
    """

    broken: set[str] = field(factory=set)
    broken_jobs: set[str] = field(factory=set)
    unreachable: set[str] = field(factory=set)
    usage: dict[str, Shape] = field(factory=dict)
    started: list[tuple[str, str, int]] = field(factory=list)
    tasks: dict[tuple[str, str], TaskReport] = field(factory=dict)
    fences: dict[tuple[str, str], int] = field(factory=dict)

    async def start(self, worker: str, task: TaskStart) -> None:
        self._reach(worker)
        key = worker, task.task
        if task.fence <= self.fences.get(key, 0):
            raise InvalidInput("fence is stale", code="stale_fence")
        self.fences[key] = task.fence
        self.started.append((worker, task.task, task.fence))
        failing = worker in self.broken or task.payload["job"] in self.broken_jobs
        state = TaskState.FAILED if failing else TaskState.RUNNING
        used = self.usage.get(task.payload["job"], task.shape)
        self.tasks[key] = TaskReport(task.task, task.fence, state, used)

    async def renew(
        self, worker: str, task: str, fence: int, lease_seconds: float
    ) -> None:
        self._reach(worker)

    async def checkpoint(self, worker: str, task: str, fence: int) -> None:
        self._set(worker, task, fence, TaskState.CHECKPOINTED)

    async def throttle(
        self, worker: str, task: str, fence: int, fraction: float
    ) -> None:
        self._set(worker, task, fence, TaskState.THROTTLED)

    async def stop(self, worker: str, task: str, fence: int) -> None:
        self._reach(worker)
        key = worker, task
        self.fences[key] = max(fence, self.fences.get(key, 0))
        self._set(worker, task, fence, TaskState.STOPPED)

    async def report(self, worker: str) -> WorkerReport:
        self._reach(worker)
        reports = (entry for (name, _), entry in self.tasks.items() if name == worker)
        return WorkerReport(worker, tuple(reports))

    async def reports(self) -> list[WorkerReport]:
        return [await self.report(worker) for worker, _ in self.tasks]

    def finish(self, task: str) -> None:
        """End every running start of the task with success."""
        for (worker, name), entry in self.tasks.items():
            if name == task:
                self._set(worker, task, entry.fence, TaskState.DONE)

    def count_running(self, task: str) -> int:
        """Return on how many workers the task runs."""
        return sum(
            name == task and entry.state in (TaskState.RUNNING, TaskState.THROTTLED)
            for (_, name), entry in self.tasks.items()
        )

    def _reach(self, worker: str) -> None:
        if worker in self.unreachable:
            raise PlatformUnavailable(f"worker {worker!r} does not answer")

    def _set(self, worker: str, task: str, fence: int, state: TaskState) -> None:
        self._reach(worker)
        entry = self.tasks.get((worker, task))
        if entry is not None and entry.fence == fence:
            if entry.state in (TaskState.RUNNING, TaskState.THROTTLED):
                self.tasks[worker, task] = evolve(entry, state=state)
