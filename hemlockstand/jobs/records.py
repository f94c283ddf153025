"""Rows of the table that hold jobs and workers, and their encoding.

``work/TEAM`` is the authority on a team's tasks: what runs where, the last
run of each job, what is parked or cancelled, and the fence counter.
``worker/ID`` is the authority on a worker's allocations and its quarantine.
A placement changes both in one transaction, which makes two writes.
"""

from collections.abc import Mapping
from typing import Any

import cattrs
from attrs import evolve, field, frozen

from hemlockstand.jobs.shapes import add_shapes, subtract_shape
from hemlockstand.model import Priority
from hemlockstand.platform.interface import Put, Row, Shape

WORK_PREFIX = "work/"
WORKER_PREFIX = "worker/"


@frozen
class Task:
    """One run of a job that has been placed.

    ``fence`` grows with each start of any task of the team. ``started_at`` is
    in seconds since the epoch. ``checkpointed`` tasks hold no resources.
    ``asked_at`` is when a submitter asked for the run, 0 for scheduled runs.
    """

    name: str
    job: str
    run: str
    worker: str
    fence: int
    shape: Shape
    priority: Priority
    started_at: float
    checkpointed: bool = False
    asked_at: float = 0.0


@frozen
class Parked:
    """Why a job is excluded from placement, and the workers it failed on."""

    reason: str
    workers: tuple[str, ...]
    parked_at: float


@frozen
class ObservedSize:
    """The largest usage seen over recent runs of a job and the longest run."""

    shape: Shape
    run_seconds: float
    runs: int


@frozen
class DemandedRun:
    """A run that a submitter asked for.

    ``asked_at`` is in seconds since the epoch.
    """

    job: str
    run: str
    asked_at: float


@frozen
class TeamWork:
    """The tasks of one team, as in its row of the table.

    ``failed_on`` names the distinct workers on which a job failed since its
    last success; ``starts`` counts its starts since then. ``last_run`` is the
    newest finished or cancelled run of each job. ``demanded`` holds runs that
    a submitter asked for, by task name.
    """

    team: str
    version: int = 0
    fence: int = 0
    running: Mapping[str, Task] = field(factory=dict)
    last_run: Mapping[str, str] = field(factory=dict)
    failed_on: Mapping[str, tuple[str, ...]] = field(factory=dict)
    starts: Mapping[str, int] = field(factory=dict)
    parked: Mapping[str, Parked] = field(factory=dict)
    sizes: Mapping[str, ObservedSize] = field(factory=dict)
    demanded: Mapping[str, DemandedRun] = field(factory=dict)

    def at_version(self, version: int) -> "TeamWork":
        """Return the same content at another version of the row."""
        return evolve(self, version=version)

    def with_demanded(self, demanded: Mapping[str, DemandedRun]) -> "TeamWork":
        """Return the same work with other demanded runs."""
        return evolve(self, demanded=demanded)

    def measure_usage(self) -> Shape:
        """Return the sum of the resources of the team's running tasks."""
        return add_shapes(
            task.shape for task in self.running.values() if not task.checkpointed
        )


@frozen
class Allocation:
    """Resources of a worker that a task holds."""

    team: str
    job: str
    fence: int
    shape: Shape
    priority: Priority
    started_at: float


@frozen
class Quarantine:
    """Exclusion of a worker from placement; ``probes`` counts trial starts."""

    jobs: tuple[str, ...]
    since: float
    probes: int = 0


@frozen
class WorkerState:
    """A worker with its allocations, as in its row of the table.

    ``failed_jobs`` names the distinct jobs that failed on it since the last
    success; ``failed_starts`` counts the failures.
    """

    id: str
    version: int = 0
    allocations: Mapping[str, Allocation] = field(factory=dict)
    failed_jobs: tuple[str, ...] = ()
    failed_starts: int = 0
    quarantine: Quarantine | None = None

    def at_version(self, version: int) -> "WorkerState":
        """Return the same content at another version of the row."""
        return evolve(self, version=version)

    def measure_free(self, capacity: Shape) -> Shape:
        """Return what is left of the worker's capacity."""
        held = add_shapes(entry.shape for entry in self.allocations.values())
        return subtract_shape(capacity, held)


def name_task(job: str, run: str) -> str:
    """Return the name of a task, unique over the fleet."""
    return f"{job}:{run}"


def decode_work(team: str, row: Row) -> TeamWork:
    """Return the team's work, which is empty if the row is absent."""
    return _decode(TeamWork, {"team": team, **row.value, "version": row.version})


def decode_worker(worker: str, row: Row) -> WorkerState:
    """Return the worker's state, which is idle if the row is absent."""
    return _decode(WorkerState, {"id": worker, **row.value, "version": row.version})


def encode_work(work: TeamWork) -> Put:
    """Return the conditional write of the team's row."""
    return Put(WORK_PREFIX + work.team, _encode(work), work.version)


def encode_worker(worker: WorkerState) -> Put:
    """Return the conditional write of the worker's row."""
    return Put(WORKER_PREFIX + worker.id, _encode(worker), worker.version)


def _decode(kind: type, value: Mapping[str, Any]) -> Any:
    return cattrs.structure(value, kind)


def _encode(record: TeamWork | WorkerState) -> dict[str, Any]:
    value = cattrs.unstructure(record)
    del value["version"]
    return value


def drop_entry(entries: Mapping[str, Any], name: str) -> dict[str, Any]:
    """Return the mapping without one entry."""
    return {key: value for key, value in entries.items() if key != name}


def start_task(
    work: TeamWork, worker: WorkerState, task: Task
) -> tuple[TeamWork, WorkerState]:
    """Return both records with the task placed on the worker."""
    allocation = Allocation(
        work.team, task.job, task.fence, task.shape, task.priority, task.started_at
    )
    return (
        evolve(
            work,
            fence=max(work.fence, task.fence),
            running={**work.running, task.name: task},
            demanded=drop_entry(work.demanded, task.name),
            starts={**work.starts, task.job: work.starts.get(task.job, 0) + 1},
        ),
        evolve(worker, allocations={**worker.allocations, task.name: allocation}),
    )


def stop_task(work: TeamWork, task: Task) -> TeamWork:
    """Return the work without a start that ended before its run was done.

    A scheduled run becomes due again by its schedule. A run that a submitter
    asked for is recorded nowhere else, so it returns to the demanded runs.
    """
    work = evolve(work, running=drop_entry(work.running, task.name))
    if not task.asked_at:
        return work
    asked = DemandedRun(task.job, task.run, task.asked_at)
    return work.with_demanded({**work.demanded, task.name: asked})


def advance_last_run(work: TeamWork, job: str, run: str) -> dict[str, str]:
    """Return the last run of each job after one more run has ended.

    Runs may end out of order; the end of an earlier run must not make a later
    one due again.
    """
    return {**work.last_run, job: max(run, work.last_run.get(job, ""))}


def release_task(worker: WorkerState, task: Task) -> WorkerState:
    """Return the worker without the task, if it still holds that start."""
    held = worker.allocations.get(task.name)
    if held is None or held.fence != task.fence:
        return worker
    return evolve(worker, allocations=drop_entry(worker.allocations, task.name))
