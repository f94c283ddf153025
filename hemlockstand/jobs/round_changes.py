"""Changes that a placement round collects before it commits them."""

from collections.abc import Iterable, Iterator

from attrs import define, evolve, field, frozen

from hemlockstand.jobs.placement import CandidateWorker, Placement, Unplaced
from hemlockstand.jobs.quarantine import count_probe
from hemlockstand.jobs.records import (
    Task,
    TeamWork,
    WorkerState,
    release_task,
    start_task,
    stop_task,
)
from hemlockstand.jobs.store import JobStore
from hemlockstand.model import Configuration, Job
from hemlockstand.platform.interface import Shape


@frozen
class RoundOutcome:
    """Result of a round, for metrics and operators."""

    placed: int
    finished: int
    failed: int
    unplaced: tuple[Unplaced, ...] = ()


@define
class RoundChanges:
    """Changes of a round that are not yet committed.

    ``ended`` holds the name and the fence of each task that ended.
    """

    works: dict[str, TeamWork]
    workers: dict[str, WorkerState]
    starts: list[tuple[str, Task]] = field(factory=list)
    checkpoints: list[Task] = field(factory=list)
    finished: int = 0
    failed: int = 0
    placed: int = 0
    unplaced: list[Unplaced] = field(factory=list)
    ended: list[tuple[str, int]] = field(factory=list)

    def copy(self) -> "RoundChanges":
        """Return a copy that later modifications of this one do not affect."""
        return RoundChanges(
            dict(self.works),
            dict(self.workers),
            list(self.starts),
            list(self.checkpoints),
            self.finished,
            self.failed,
            self.placed,
            list(self.unplaced),
            list(self.ended),
        )

    def count_changed(self, store: JobStore) -> int:
        """Return how many rows differ from the cached ones."""
        works = sum(store.works.get(n) is not work for n, work in self.works.items())
        return works + sum(
            store.workers.get(n) is not worker for n, worker in self.workers.items()
        )


def list_tasks(changes: RoundChanges, worker: str) -> Iterator[tuple[str, Task]]:
    """Yield the team and the task of each allocation that is still valid."""
    for name, allocation in changes.workers[worker].allocations.items():
        work = changes.works.get(allocation.team)
        task = work.running.get(name) if work is not None else None
        if task is not None and task.fence == allocation.fence:
            yield allocation.team, task


def list_waiting(
    work: TeamWork, configuration: Configuration
) -> Iterator[tuple[str, Job | None, str, float]]:
    """Yield checkpointed tasks, and demanded runs of jobs not parked."""
    for task in work.running.values():
        if task.checkpointed:
            job = configuration.jobs.get(task.job)
            yield task.name, job, task.run, task.started_at
    for name, demanded in work.demanded.items():
        if demanded.job not in work.parked and name not in work.running:
            job = configuration.jobs.get(demanded.job)
            yield name, job, demanded.run, demanded.asked_at


def find_largest(candidate_workers: Iterable[CandidateWorker]) -> Shape:
    """Return the largest amount of each resource on any single worker."""
    largest = Shape(0.0, 0, 0)
    for candidate in candidate_workers:
        largest = Shape(
            max(largest.cores, candidate.capacity.cores),
            max(largest.memory_mb, candidate.capacity.memory_mb),
            max(largest.accelerators, candidate.capacity.accelerators),
        )
    return largest


def drop_start(changes: RoundChanges, team: str, task: Task) -> None:
    """Remove a start that no longer runs; its run becomes due again."""
    changes.works[team] = stop_task(changes.works[team], task)
    changes.workers[task.worker] = release_task(changes.workers[task.worker], task)


def suspend_task(changes: RoundChanges, team: str, task: Task) -> None:
    """Release the resources of a checkpointed task and keep its run."""
    work = changes.works[team]
    suspended = evolve(task, checkpointed=True)
    changes.works[team] = evolve(work, running={**work.running, task.name: suspended})
    changes.workers[task.worker] = release_task(changes.workers[task.worker], task)


def _find_asked_at(work: TeamWork, name: str) -> float:
    """Return when the run was asked for, or 0 for a scheduled run."""
    if name in work.demanded:
        return work.demanded[name].asked_at
    return work.running[name].asked_at if name in work.running else 0.0


def apply_placement(changes: RoundChanges, placement: Placement, now: float) -> None:
    """Add a placement to the changes and suspend the tasks it preempts."""
    run = placement.run
    for victim in placement.victims:
        team = victim.allocation.team
        task = changes.works[team].running[victim.task]
        suspend_task(changes, team, task)
        changes.checkpoints.append(task)
    work = changes.works[run.team]
    task = Task(
        run.name,
        run.job,
        run.run,
        placement.worker,
        work.fence + 1,
        run.shape,
        run.priority,
        now,
        asked_at=_find_asked_at(work, run.name),
    )
    changes.works[run.team], worker = start_task(
        work, changes.workers[placement.worker], task
    )
    changes.workers[placement.worker] = count_probe(worker)
    changes.starts.append((run.team, task))
    changes.placed += 1
