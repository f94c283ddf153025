"""Workers of the platform stand-in: tasks under leases with fencing tokens.

The payload of a start may set the actual behaviour of the task, which may
differ from what its job declares: ``duration_seconds``, ``cores``,
``memory_mb``, ``accelerators`` and ``fails``. A profile registered for the
payload's ``job``, or else for ``*``, supplies the values that the payload
leaves out. Without either, a task uses the resources that the first start of
its job asked for.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Literal

import msgspec
from attrs import define, field

from emulator.faults import Faults
from emulator.recorder import Recorder

DEFAULT_DURATION_SECONDS = 2.0
FAILURE_SECONDS = 0.05
MAX_ENDED_TASKS = 200
ANY_JOB = "*"

EndState = Literal["done", "failed", "stopped", "checkpointed"]


class TaskShape(msgspec.Struct):
    """Resources of a task."""

    cores: float
    memory_mb: int
    accelerators: int = 0


class TaskStartMessage(msgspec.Struct):
    """Body of ``POST /workers/ID/start``."""

    task: str
    fence: int
    lease_seconds: float
    shape: TaskShape
    priority: str
    payload: dict[str, Any] = {}


class ReportsRequest(msgspec.Struct):
    """Body of ``POST /workers/reports``."""

    workers: list[str]


class TaskActionMessage(msgspec.Struct):
    """Body of ``renew``, ``checkpoint``, ``throttle`` and ``stop``."""

    task: str
    fence: int
    lease_seconds: float = 0.0
    fraction: float = 1.0


class TaskProfile(msgspec.Struct, forbid_unknown_fields=True):
    """Actual behaviour of a job's tasks, set by ``POST /profiles``."""

    duration_seconds: float | None = None
    cores: float | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    fails: bool | None = None


class StaleFence(Exception):
    """The fencing token of a call is too low or not that of the task."""


class UnknownTask(Exception):
    """The worker or the task is unknown, or the task has ended."""


@define
class WorkerTask:
    """One start of a task on a worker.

    ``remaining_seconds`` is the remaining work at full speed, as of the time
    ``updated_at``. ``fraction`` is the speed that a throttle allows.
    """

    name: str
    fence: int
    usage: TaskShape
    remaining_seconds: float
    lease_end: float
    updated_at: float
    fails: bool
    priority: str
    fraction: float = 1.0
    state: str = "running"
    detail: str = ""
    usages: list[tuple[float, TaskShape]] = field(factory=list)

    @property
    def active(self) -> bool:
        """Whether the task holds resources."""
        return self.state in ("running", "throttled")

    def advance(self, now: float) -> None:
        """Subtract the work done since the last update."""
        self.remaining_seconds -= (now - self.updated_at) * self.fraction
        self.updated_at = now

    def due(self) -> float:
        """Return the time at which the task completes or its lease expires."""
        if self.fraction <= 0:
            return self.lease_end
        return min(
            self.lease_end, self.updated_at + self.remaining_seconds / self.fraction
        )

    def set_usage(self, now: float) -> None:
        """Record the usage from now on, for the reports, which lag behind."""
        cores = self.usage.cores * self.fraction
        shape = TaskShape(cores, self.usage.memory_mb, self.usage.accelerators)
        self.usages.append((now, shape if self.active else TaskShape(0, 0, 0)))

    def usage_at(self, moment: float) -> TaskShape:
        """Return the usage at a time, or an empty one before the start."""
        known = [shape for since, shape in self.usages if since <= moment]
        return known[-1] if known else TaskShape(0, 0, 0)


@define
class WorkerState:
    """A worker, its tasks and the largest fence it has seen for each."""

    name: str
    tasks: dict[str, WorkerTask] = field(factory=dict)
    fences: dict[str, int] = field(factory=dict)

    def active_tasks(self) -> Iterator[WorkerTask]:
        """Yield the tasks that hold resources."""
        return (task for task in self.tasks.values() if task.active)


@define
class WorkerSimulator:
    """All workers of the platform; simulates the tasks that they run."""

    recorder: Recorder
    faults: Faults
    clock: Callable[[], float]
    workers: dict[str, WorkerState] = field(factory=dict)
    profiles: dict[str, TaskProfile] = field(factory=dict)
    _checkpoints: dict[str, float] = field(factory=dict)
    _first_shapes: dict[str, TaskShape] = field(factory=dict)

    def add(self, worker: str) -> None:
        """Add a worker; one that is known already keeps its tasks."""
        self.workers.setdefault(worker, WorkerState(worker))

    def advance(self) -> None:
        """End the tasks that have completed or whose lease has expired."""
        now = self.clock()
        for worker in self.workers.values():
            for task in list(worker.active_tasks()):
                if task.due() <= now:
                    self._end_due(worker, task, now)

    def start(self, worker_name: str, message: TaskStartMessage) -> None:
        """Start a task; raises ``UnknownTask`` or ``StaleFence``."""
        worker = self._find_worker(worker_name)
        seen = worker.fences.get(message.task, 0)
        if message.fence <= seen:
            self.recorder.record_event(
                "start_refused",
                worker=worker_name,
                task=message.task,
                fence=message.fence,
                largest=seen,
            )
            raise StaleFence(f"fence {message.fence} is not larger than {seen}")
        now = self.clock()
        older = worker.tasks.pop(message.task, None)
        if older is not None and older.active:
            self._end(worker, older, now, "stopped", "replaced")
        worker.fences[message.task] = message.fence
        task = self._make_task(worker_name, message, now)
        worker.tasks[message.task] = task
        self.recorder.record_event(
            "task_start",
            worker=worker_name,
            task=message.task,
            fence=message.fence,
            priority=message.priority,
            declared=msgspec.to_builtins(message.shape),
            usage=msgspec.to_builtins(task.usage),
        )
        _prune_ended_tasks(worker)

    def apply_action(
        self, worker_name: str, verb: str, message: TaskActionMessage
    ) -> None:
        """Renew, checkpoint, throttle or stop a task.

        Raises ``UnknownTask`` or ``StaleFence``.
        """
        worker = self._find_worker(worker_name)
        if verb == "stop":
            # Refuses a start with this fence that arrives after the stop.
            seen = worker.fences.get(message.task, 0)
            worker.fences[message.task] = max(message.fence, seen)
        task = worker.tasks.get(message.task)
        if task is None:
            raise UnknownTask(f"task {message.task!r} is not on {worker_name!r}")
        if message.fence != task.fence:
            raise StaleFence(
                f"fence {message.fence} is not the task's fence {task.fence}"
            )
        now = self.clock()
        if task.active and task.due() <= now:
            self._end_due(worker, task, now)
        if not task.active:
            _check_ended(verb, task)
            return
        task.advance(now)
        match verb:
            case "renew":
                task.lease_end = now + message.lease_seconds
            case "throttle":
                task.fraction = max(0.0, min(1.0, message.fraction))
                task.state = "running" if task.fraction == 1 else "throttled"
                task.set_usage(now)
                self._record_action(worker, task, "task_throttle")
            case "checkpoint":
                self._checkpoints[task.name] = task.remaining_seconds
                self._end(worker, task, now, "checkpointed", "checkpointed")
            case "stop":
                self._end(worker, task, now, "stopped", "stopped")
            case _:
                raise UnknownTask(f"unknown action {verb!r}")

    def report(self, worker_name: str) -> dict[str, Any]:
        """Return the report of a worker, whose usage figures lag behind."""
        worker = self._find_worker(worker_name)
        moment = self.clock() - self.faults.usage_lag_seconds
        tasks = [_report_task(task, moment) for task in worker.tasks.values()]
        return {"worker": worker_name, "tasks": tasks}

    def kill_tasks(self, worker_name: str, detail: str) -> None:
        """Stop all tasks of a worker because of its reboot."""
        worker = self.workers.get(worker_name)
        if worker is None:
            return
        for task in list(worker.active_tasks()):
            self._end(worker, task, self.clock(), "stopped", detail)

    def count_active(self, worker_name: str) -> int:
        """Return the number of tasks that hold resources of a worker."""
        worker = self.workers.get(worker_name)
        return 0 if worker is None else sum(1 for _ in worker.active_tasks())

    def _find_worker(self, name: str) -> WorkerState:
        if name not in self.workers:
            raise UnknownTask(f"worker {name!r} does not exist")
        return self.workers[name]

    def _make_task(
        self, worker: str, message: TaskStartMessage, now: float
    ) -> WorkerTask:
        job = _find_job(message)
        actual = self._resolve_behaviour(job, message)
        # Later starts ask for the observed usage plus headroom. If the task
        # used all of that, the size of a job would grow with each run.
        shape = self._first_shapes.setdefault(job, message.shape)
        duration = actual.get("duration_seconds", DEFAULT_DURATION_SECONDS)
        fails = bool(actual.get("fails")) or worker in self.faults.failing_workers
        left = min(self._checkpoints.pop(message.task, duration), duration)
        task = WorkerTask(
            name=message.task,
            fence=message.fence,
            usage=_read_usage(actual, shape),
            remaining_seconds=FAILURE_SECONDS if fails else left,
            lease_end=now + message.lease_seconds,
            updated_at=now,
            fails=fails,
            priority=message.priority,
        )
        task.set_usage(now)
        return task

    def _resolve_behaviour(
        self, job: str, message: TaskStartMessage
    ) -> Mapping[str, Any]:
        profile = self.profiles.get(job, self.profiles.get(ANY_JOB))
        known = {} if profile is None else msgspec.structs.asdict(profile)
        set_values = {key: value for key, value in known.items() if value is not None}
        return set_values | message.payload

    def _end_due(self, worker: WorkerState, task: WorkerTask, now: float) -> None:
        if task.lease_end <= task.due():
            self._end(worker, task, now, "stopped", "lease_expired")
        elif task.fails:
            self._end(worker, task, now, "failed", "task failed")
        else:
            self._end(worker, task, now, "done", "")

    def _end(
        self,
        worker: WorkerState,
        task: WorkerTask,
        now: float,
        state: EndState,
        detail: str,
    ) -> None:
        task.state = state
        task.detail = detail
        task.set_usage(now)
        self._record_action(worker, task, "task_end")

    def _record_action(self, worker: WorkerState, task: WorkerTask, event: str) -> None:
        self.recorder.record_event(
            event,
            worker=worker.name,
            task=task.name,
            fence=task.fence,
            state=task.state,
            detail=task.detail,
        )


def _find_job(message: TaskStartMessage) -> str:
    return str(message.payload.get("job") or message.task.rpartition("/")[0])


def _read_usage(actual: Mapping[str, Any], declared: TaskShape) -> TaskShape:
    return TaskShape(
        float(actual.get("cores", declared.cores)),
        int(actual.get("memory_mb", declared.memory_mb)),
        int(actual.get("accelerators", declared.accelerators)),
    )


def _check_ended(verb: str, task: WorkerTask) -> None:
    """Accept the repetition of an action that has ended the task.

    Raises ``UnknownTask`` for any other action.
    """
    if verb == "stop" or (verb == "checkpoint" and task.state == "checkpointed"):
        return
    raise UnknownTask(f"task {task.name!r} has ended: {task.state} {task.detail}")


def _report_task(task: WorkerTask, moment: float) -> dict[str, Any]:
    return {
        "task": task.name,
        "fence": task.fence,
        "state": task.state,
        "usage": msgspec.to_builtins(task.usage_at(moment)),
        "detail": task.detail,
    }


def _prune_ended_tasks(worker: WorkerState) -> None:
    ended = [task.name for task in worker.tasks.values() if not task.active]
    for name in ended[: max(0, len(ended) - MAX_ENDED_TASKS)]:
        del worker.tasks[name]
