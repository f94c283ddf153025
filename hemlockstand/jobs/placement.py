"""Choice of a worker for a run, and of the work that urgent runs displace."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

from attrs import define, evolve, field, frozen

from hemlockstand.jobs.accounting import FairOrder, Pending
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
    """A worker as placement sees it.

    ``open`` is false for workers that are draining, moving or gone.
    """

    id: str
    data_centre: str
    rack: str
    capacity: Shape
    open: bool = True


@frozen
class Victim:
    """A running task that an urgent run displaces."""

    task: str
    allocation: Allocation


@frozen
class Placement:
    """A run and the worker it goes to, after the victims have gone."""

    run: Pending
    worker: str
    victims: tuple[Victim, ...] = ()


@frozen
class Unplaced:
    """A run that finds no worker; ``possible`` is false if none is large enough."""

    run: Pending
    possible: bool


@define
class PoolState:
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
            name: self.workers[name].measure_free(site.capacity)
            for name, site in self.candidate_workers.items()
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

    def hold(self, job: str, worker: str, shape: Shape) -> None:
        """Take the resources of a placed run."""
        self.free[worker] = subtract_shape(self.free[worker], shape)
        self.starts_left[worker] -= 1
        self._count(job, self.candidate_workers[worker])

    def is_open(self, run: Pending, site: CandidateWorker) -> bool:
        """Return whether the worker may be given a start of this run."""
        if not site.open or site.id in run.avoid or self.starts_left[site.id] < 1:
            return False
        return run.proven or self.workers[site.id].quarantine is None

    def count_neighbours(self, job: str, site: CandidateWorker) -> tuple[int, int]:
        """Return how many runs of the job share the data centre and the rack."""
        counts = self._jobs.get(job)
        if counts is None:
            return 0, 0
        return counts[site.data_centre], counts[_name_rack(site)]

    def _count(self, job: str, site: CandidateWorker) -> None:
        counts = self._jobs.setdefault(job, Counter())
        counts[site.data_centre] += 1
        counts[_name_rack(site)] += 1


def _name_rack(site: CandidateWorker) -> str:
    return f"{site.data_centre}/{site.rack}"


def place_runs(order: FairOrder, pool: PoolState) -> Iterator[Placement | Unplaced]:
    """Yield a decision for each run that its team's limit allows."""
    for run in order.take_runs():
        decision = place_run(run, pool)
        if isinstance(decision, Placement):
            order.charge(run.team, run.shape)
        yield decision


def place_run(run: Pending, pool: PoolState) -> Placement | Unplaced:
    """Choose a worker for the run and take its resources."""
    worker = choose_worker(run, pool)
    if worker is not None:
        pool.hold(run.job, worker, run.shape)
        return Placement(run, worker)
    if run.priority is Priority.URGENT:
        displacing = choose_victims(run, pool)
        if displacing is not None:
            _displace(displacing, pool)
            return displacing
    fitting = any(
        fits_within(run.shape, site.capacity)
        for site in pool.candidate_workers.values()
    )
    return Unplaced(run, fitting)


def choose_worker(run: Pending, pool: PoolState) -> str | None:
    """Return the best worker with room, or ``None``.

    Runs of one job are spread over data centres, then racks; among equals the
    fullest worker wins, so that room for large runs is left elsewhere.
    """
    scored = (
        (_score(run, site, pool), site.id)
        for site in pool.candidate_workers.values()
        if pool.is_open(run, site) and fits_within(run.shape, pool.free[site.id])
    )
    best = min(scored, default=None)
    return best[1] if best is not None else None


def _score(
    run: Pending, site: CandidateWorker, pool: PoolState
) -> tuple[int, int, int, float]:
    data_centre, rack = pool.count_neighbours(run.job, site)
    wasted = site.capacity.accelerators if run.shape.accelerators == 0 else 0
    left = subtract_shape(pool.free[site.id], run.shape)
    return wasted, data_centre, rack, find_dominant_share(left, site.capacity)


def choose_victims(run: Pending, pool: PoolState) -> Placement | None:
    """Return the cheapest set of batch tasks on one worker to displace."""
    best: tuple[float, Placement] | None = None
    for site in pool.candidate_workers.values():
        if not pool.is_open(run, site) or not fits_within(run.shape, site.capacity):
            continue
        victims = tuple(_collect_victims(run, site, pool))
        if not victims:
            continue
        cost = sum(_rank_victim(entry, site)[0] for entry in victims)
        if best is None or cost < best[0]:
            best = cost, Placement(run, site.id, victims)
    return best[1] if best is not None else None


def _collect_victims(
    run: Pending, site: CandidateWorker, pool: PoolState
) -> Iterable[Victim]:
    free = pool.free[site.id]
    chosen: list[Victim] = []
    candidates = (
        Victim(task, allocation)
        for task, allocation in pool.workers[site.id].allocations.items()
        if allocation.priority is Priority.BATCH
    )
    for victim in sorted(candidates, key=lambda entry: _rank_victim(entry, site)):
        if fits_within(run.shape, free):
            break
        chosen.append(victim)
        free = add_shapes((free, victim.allocation.shape))
    return chosen if fits_within(run.shape, free) else ()


def _rank_victim(victim: Victim, site: CandidateWorker) -> tuple[float, float]:
    """Order victims: the smallest first, then the youngest."""
    size = find_dominant_share(victim.allocation.shape, site.capacity)
    return size, -victim.allocation.started_at


def _displace(placement: Placement, pool: PoolState) -> None:
    worker = pool.workers[placement.worker]
    gone = {victim.task for victim in placement.victims}
    kept = {
        task: entry for task, entry in worker.allocations.items() if task not in gone
    }
    released = add_shapes(entry.allocation.shape for entry in placement.victims)
    pool.workers[placement.worker] = evolve(worker, allocations=kept)
    pool.free[placement.worker] = add_shapes((pool.free[placement.worker], released))
    pool.hold(placement.run.job, placement.worker, placement.run.shape)
