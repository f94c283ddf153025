"""Placement of runs on workers, with preemption by urgent runs."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

from attrs import define, evolve, field, frozen

from hemlockstand.jobs.accounting import FairOrder, PendingRun
from hemlockstand.jobs.quarantine import count_starts_left
from hemlockstand.jobs.records import Allocation, WorkerState
from hemlockstand.jobs.shapes import (
    add_shapes,
    find_dominant_share,
    fits_within,
    subtract_shape,
)
from hemlockstand.model import Priority
from hemlockstand.platform.interface import Shape


@frozen
class CandidateWorker:
    """A worker with the location and capacity that placement considers.

    ``open`` is false for workers that are draining, moving or gone.
    """

    id: str
    data_centre: str
    rack: str
    capacity: Shape
    open: bool = True


@frozen
class Victim:
    """A running task that an urgent run preempts."""

    task: str
    allocation: Allocation


@frozen
class Placement:
    """A run and its worker, with the tasks to preempt for it."""

    run: PendingRun
    worker: str
    victims: tuple[Victim, ...] = ()


@frozen
class Unplaced:
    """A run without a worker.

    ``possible`` is false if no worker is large enough.
    """

    run: PendingRun
    possible: bool


@define
class PlacementState:
    """Free resources of a pool's workers during one placement round.

    ``now`` is in seconds since the epoch.
    """

    candidate_workers: Mapping[str, CandidateWorker]
    workers: dict[str, WorkerState]
    now: float
    starts_left: dict[str, int] = field(init=False)
    free: dict[str, Shape] = field(init=False)
    _jobs: dict[str, Counter[str]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.free = {
            name: self.workers[name].measure_free(candidate.capacity)
            for name, candidate in self.candidate_workers.items()
        }
        self.starts_left = {
            name: count_starts_left(self.workers[name], self.now)
            for name in self.candidate_workers
        }
        self._jobs = {}
        for name, worker in self.workers.items():
            for allocation in worker.allocations.values():
                if name in self.candidate_workers:
                    self._count(allocation.job, self.candidate_workers[name])

    def reserve(self, job: str, worker: str, shape: Shape) -> None:
        """Reserve the worker's resources for a placed run."""
        self.free[worker] = subtract_shape(self.free[worker], shape)
        self.starts_left[worker] -= 1
        self._count(job, self.candidate_workers[worker])

    def accepts_run(self, run: PendingRun, candidate: CandidateWorker) -> bool:
        """Return whether the run may start there if resources are free."""
        if (
            not candidate.open
            or candidate.id in run.avoid
            or self.starts_left[candidate.id] < 1
        ):
            return False
        return run.proven or self.workers[candidate.id].quarantine is None

    def count_neighbours(self, job: str, candidate: CandidateWorker) -> tuple[int, int]:
        """Return how many runs of the job share the data centre and rack."""
        counts = self._jobs.get(job)
        if counts is None:
            return 0, 0
        return counts[candidate.data_centre], counts[_name_rack(candidate)]

    def _count(self, job: str, candidate: CandidateWorker) -> None:
        counts = self._jobs.setdefault(job, Counter())
        counts[candidate.data_centre] += 1
        counts[_name_rack(candidate)] += 1


def _name_rack(candidate: CandidateWorker) -> str:
    return f"{candidate.data_centre}/{candidate.rack}"


def place_runs(
    order: FairOrder, pool: PlacementState
) -> Iterator[Placement | Unplaced]:
    """Yield a decision for each run that its team's limit allows."""
    for run in order.pop_runs():
        decision = place_run(run, pool)
        if isinstance(decision, Placement):
            order.charge(run.team, run.shape)
        yield decision


def place_run(run: PendingRun, pool: PlacementState) -> Placement | Unplaced:
    """Choose a worker for the run and reserve its resources."""
    worker = choose_worker(run, pool)
    if worker is not None:
        pool.reserve(run.job, worker, run.shape)
        return Placement(run, worker)
    if run.priority is Priority.URGENT:
        preemption = choose_victims(run, pool)
        if preemption is not None:
            _preempt(preemption, pool)
            return preemption
    fitting = any(
        fits_within(run.shape, candidate.capacity)
        for candidate in pool.candidate_workers.values()
    )
    return Unplaced(run, fitting)


def choose_worker(run: PendingRun, pool: PlacementState) -> str | None:
    """Return the best worker with room, or ``None``.

    Workers whose accelerators would be wasted come last. Runs of one job are
    spread over data centres, then racks. Among equals the fullest worker is
    chosen, which leaves room for large runs on the others.
    """
    scored = (
        (_score(run, candidate, pool), candidate.id)
        for candidate in pool.candidate_workers.values()
        if pool.accepts_run(run, candidate)
        and fits_within(run.shape, pool.free[candidate.id])
    )
    best = min(scored, default=None)
    return best[1] if best is not None else None


def _score(
    run: PendingRun, candidate: CandidateWorker, pool: PlacementState
) -> tuple[int, int, int, float]:
    data_centre, rack = pool.count_neighbours(run.job, candidate)
    wasted = candidate.capacity.accelerators if run.shape.accelerators == 0 else 0
    left = subtract_shape(pool.free[candidate.id], run.shape)
    return wasted, data_centre, rack, find_dominant_share(left, candidate.capacity)


def choose_victims(run: PendingRun, pool: PlacementState) -> Placement | None:
    """Return the run's placement with the cheapest preemption, or ``None``.

    All victims are batch tasks of the same worker.
    """
    best: tuple[float, Placement] | None = None
    for candidate in pool.candidate_workers.values():
        if not pool.accepts_run(run, candidate) or not fits_within(
            run.shape, candidate.capacity
        ):
            continue
        victims = tuple(_collect_victims(run, candidate, pool))
        if not victims:
            continue
        cost = sum(_rank_victim(entry, candidate)[0] for entry in victims)
        if best is None or cost < best[0]:
            best = cost, Placement(run, candidate.id, victims)
    return best[1] if best is not None else None


def _collect_victims(
    run: PendingRun, candidate: CandidateWorker, pool: PlacementState
) -> Iterable[Victim]:
    free = pool.free[candidate.id]
    chosen: list[Victim] = []
    preemptible = (
        Victim(task, allocation)
        for task, allocation in pool.workers[candidate.id].allocations.items()
        if allocation.priority is Priority.BATCH
    )
    for victim in sorted(preemptible, key=lambda entry: _rank_victim(entry, candidate)):
        if fits_within(run.shape, free):
            break
        chosen.append(victim)
        free = add_shapes((free, victim.allocation.shape))
    return chosen if fits_within(run.shape, free) else ()


def _rank_victim(victim: Victim, candidate: CandidateWorker) -> tuple[float, float]:
    """Return the sort key of a victim: smallest first, then youngest."""
    size = find_dominant_share(victim.allocation.shape, candidate.capacity)
    return size, -victim.allocation.started_at


def _preempt(placement: Placement, pool: PlacementState) -> None:
    worker = pool.workers[placement.worker]
    preempted = {victim.task for victim in placement.victims}
    kept = {
        task: entry
        for task, entry in worker.allocations.items()
        if task not in preempted
    }
    released = add_shapes(entry.allocation.shape for entry in placement.victims)
    pool.workers[placement.worker] = evolve(worker, allocations=kept)
    pool.free[placement.worker] = add_shapes((pool.free[placement.worker], released))
    pool.reserve(placement.run.job, placement.worker, placement.run.shape)
