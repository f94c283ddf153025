"""Demand of each pool for instances, from its present and expected work."""

import math
from collections import deque

from attrs import define, field, frozen

from hemlockstand.fleet.durations import Durations
from hemlockstand.fleet.job_registry import JobRegistry, find_pool
from hemlockstand.fleet.model import FleetConfig, Resources, get_reservation
from hemlockstand.fleet.policy.arrivals import ArrivedWork, estimate_rate
from hemlockstand.fleet.policy.sizing import OfferScale, PoolSize, count_fitting
from hemlockstand.fleet.work import Job

# Part of an instance that subtasks fill; uneven sizes leave a tenth unused.
FILL_FRACTION = 0.9
# The arrival rate of jobs is measured over this part of the time in which such
# a job should be done. A shorter window would make every large job look like a
# burst.
ARRIVAL_FRACTION = 0.5
MIN_ARRIVAL_SECONDS = 1.0
# Factor on the demand of short work: a late job costs as much as an instance
# for several seconds. Expected work is right on the mean; where it was a tenth
# to a sixth too low, 1.3 gave pools of the same size.
HEADROOM = 1.15
# Time in which jobs without an objective should be done.
MIN_WINDOW_SECONDS = 1.0
# Spare cpu for the first jobs of a queue that was idle.
SPARE_CPU_MILLIS = 16_000
# Minimum size of a pool, so that the loss of one instance leaves another.
MIN_INSTANCES = 2
# A need is kept for this long after it has fallen: moving an instance away and
# back costs as much as two idle seconds of it.
KEEP_SECONDS = 1.8


@define
class SlidingMaximum:
    """The largest sample of the last seconds."""

    keep_seconds: float = KEEP_SECONDS
    _samples: deque[tuple[float, float]] = field(factory=deque)

    def update(self, now: float, sample: float) -> float:
        """Add a sample and return the largest of the last seconds."""
        while self._samples and self._samples[-1][1] <= sample:
            self._samples.pop()
        self._samples.append((now, sample))
        while self._samples[0][0] < now - self.keep_seconds:
            self._samples.popleft()
        return self._samples[0][1]


@define
class PoolNeed:
    """Size that a pool needs; it is kept for a while after it has fallen."""

    _work: SlidingMaximum = field(factory=SlidingMaximum)
    _unsplit: SlidingMaximum = field(factory=SlidingMaximum)
    _instances: SlidingMaximum = field(factory=SlidingMaximum)

    def update(self, now: float, size: PoolSize) -> PoolSize:
        """Add a sample and return the largest values of the last seconds."""
        return PoolSize(
            self._work.update(now, size.work),
            self._unsplit.update(now, size.unsplit),
            int(self._instances.update(now, size.instances)),
        )


@define
class ResourceDemand:
    """Average resources that work needs to be done in time."""

    cpu_millis: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0

    def add(self, size: Resources, count: float) -> None:
        """Add the resources of ``count`` subtasks, which may be a fraction."""
        self.cpu_millis += size.cpu_millis * count
        self.memory_mb += size.memory_mb * count
        self.accelerators += size.accelerators * count

    def count_instances(self, capacity: Resources) -> float:
        """Return how many instances of a capacity the resources fill."""
        parts = [self.cpu_millis / max(1, capacity.cpu_millis)]
        if capacity.memory_mb:
            parts.append(self.memory_mb / capacity.memory_mb)
        if capacity.accelerators:
            parts.append(self.accelerators / capacity.accelerators)
        return max(parts) / FILL_FRACTION


@frozen
class SubtaskGroup:
    """Subtasks that need their resources at the same time."""

    size: Resources
    count: int

    def count_instances(self, capacity: Resources) -> float:
        """Return how many instances of a capacity they need by themselves.

        A subtask cannot be split, so those of over half an instance need one
        each.
        """
        if self.size == Resources():
            return 1.0
        return self.count / max(1, count_fitting(self.size, capacity))


@define
class Demand:
    """Demand of a pool.

    ``present`` is the work that is left of known jobs, ``arriving`` what is
    expected if jobs keep arriving as in the last seconds; ``arrived`` holds
    the latest of them, in thousandths of a core times seconds. ``labelled`` is the
    part of the present and lasting work that only executors with a label may
    run. ``lasting_groups`` and ``gangs`` are the subtasks that must run at the
    same time. ``minimum`` is the least number of instances that the steps'
    limits per executor permit.
    """

    lasting: ResourceDemand = field(factory=ResourceDemand)
    present: ResourceDemand = field(factory=ResourceDemand)
    arriving: ResourceDemand = field(factory=ResourceDemand)
    arrived: list[ArrivedWork] = field(factory=list)
    labelled: dict[str, ResourceDemand] = field(factory=dict)
    lasting_groups: list[SubtaskGroup] = field(factory=list)
    gangs: list[SubtaskGroup] = field(factory=list)
    minimum: int = MIN_INSTANCES

    def count_labelled(self, label: str, capacity: Resources) -> PoolSize:
        """Return what the work with a label needs of instances that have it."""
        count = self.labelled[label].count_instances(capacity)
        return PoolSize(count, count)

    def count_instances(self, capacity: Resources) -> PoolSize:
        """Return how many instances of a capacity the work needs."""
        spare = SPARE_CPU_MILLIS / max(1, capacity.cpu_millis)
        short_lived = max(
            self.present.count_instances(capacity),
            self.arriving.count_instances(capacity),
            estimate_rate(self.arrived) / max(1, capacity.cpu_millis) / FILL_FRACTION,
            spare / HEADROOM,
        )
        lasting_instances = sum(
            group.count_instances(capacity) for group in self.lasting_groups
        )
        gang = max((group.count_instances(capacity) for group in self.gangs), default=0)
        rest = max(short_lived * HEADROOM, math.ceil(gang))
        return PoolSize(
            self.lasting.count_instances(capacity) + rest,
            lasting_instances + rest,
            self.minimum,
        )

    def make_scale(self, usual: Resources) -> OfferScale:
        """Return the scale for what instances offer for the work."""
        sizes = {group.size for group in (*self.lasting_groups, *self.gangs)}
        return OfferScale(usual, frozenset(sizes))


def measure_demand(
    registry: JobRegistry, config: FleetConfig, now: float
) -> dict[str, Demand]:
    """Return the present and the expected work of each pool."""
    demands: dict[str, Demand] = {}
    for job in registry.jobs.values():
        demand = demands.setdefault(find_pool(job, config), Demand())
        if not job.state.final and not job.cancelled:
            add_job(demand, job, registry.durations, now)
        arrival_window = max(
            MIN_ARRIVAL_SECONDS, job.objective_seconds * ARRIVAL_FRACTION
        )
        age = now - job.accepted_at
        if age < arrival_window and not job.spec.timed:
            add_arrival(demand, job, registry.durations, age, arrival_window)
    return demands


def add_job(demand: Demand, job: Job, durations: Durations, now: float) -> None:
    """Add the work that is left of a job.

    Lasting subtasks and gangs need all their resources at once; other subtasks
    may run one after another, in the time until the job should be done.
    """
    window = find_window(job, now)
    for step_run in job.steps.values():
        step = step_run.step
        left = step.count - step_run.done.bit_count()
        if not left or (not step_run.unlocked_at and job.spec.timed):
            continue
        if step.lasting:
            share = 1.0
            demand.lasting.add(get_reservation(step), left)
            demand.lasting_groups.append(SubtaskGroup(get_reservation(step), left))
        else:
            # Means, since the room that subtasks need is the sum of their work.
            seconds = durations.expect(job.spec, step_run.position).mean_seconds
            share = min(1.0, seconds / window)
            if step.gang and step_run.unlocked:
                share = 1.0
                demand.gangs.append(SubtaskGroup(get_reservation(step), left))
            demand.present.add(get_reservation(step), left * share)
        if step.label:
            labelled = demand.labelled.setdefault(step.label, ResourceDemand())
            labelled.add(get_reservation(step), left * share)
        if step.max_per_executor and (step.lasting or step.gang):
            minimum = math.ceil(left / step.max_per_executor)
            demand.minimum = max(demand.minimum, minimum)


def find_window(job: Job, now: float) -> float:
    """Return the seconds in which the rest of a job should be done.

    The time that a job has waited is gone. A late job has all its time again:
    it is worth too little for instances of its own.
    """
    left = job.accepted_at + job.objective_seconds - now
    if left < 0:
        left = job.objective_seconds
    return max(MIN_WINDOW_SECONDS, left)


def add_arrival(
    demand: Demand,
    job: Job,
    durations: Durations,
    age_seconds: float,
    window_seconds: float,
) -> None:
    """Add the work expected from more jobs like one that arrived recently."""
    cpu_seconds = 0.0
    for position, step in enumerate(job.spec.steps):
        if not step.lasting:
            seconds = durations.expect(job.spec, position).mean_seconds
            size = get_reservation(step)
            demand.arriving.add(size, step.count * seconds / window_seconds)
            cpu_seconds += size.cpu_millis * step.count * seconds
    demand.arrived.append(ArrivedWork(age_seconds, cpu_seconds))
