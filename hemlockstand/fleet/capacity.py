"""How many instances each pool needs for the work that it has now."""

import math
from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

from hemlockstand.fleet.durations import Durations
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import JobRegistry, find_pool
from hemlockstand.fleet.model import FleetConfig, Resources, get_reservation
from hemlockstand.fleet.work import Job

# Subtasks of uneven sizes leave about a tenth of an instance unused.
FILL_FRACTION = 0.9
# Jobs go on arriving as in the last part of the time in which such a job
# should be done; a shorter view would make a burst of every large job.
ARRIVAL_FRACTION = 0.5
MIN_ARRIVAL_SECONDS = 1.0
# A late job costs as much as an instance for several seconds, so pools get
# more than the work of the moment needs.
HEADROOM = 1.3
# Jobs without an objective should be done within this time.
MIN_WINDOW_SECONDS = 1.0
# Room for the first jobs of a queue that was idle.
SPARE_CPU_MILLIS = 16_000
# A pool with work keeps this many, so that the loss of one leaves another.
MIN_INSTANCES = 2
# Moving an instance there and back costs as much as two idle seconds of it.
KEEP_SECONDS = 1.8


@define
class PoolNeed:
    """The need of a pool, which falls only after it was low for a while."""

    keep_seconds: float = KEEP_SECONDS
    _samples: deque[tuple[float, int]] = field(factory=deque)

    def update(self, now: float, instances: int) -> int:
        """Note a need and return the largest of the last seconds."""
        while self._samples and self._samples[-1][1] <= instances:
            self._samples.pop()
        self._samples.append((now, instances))
        while self._samples[0][0] < now - self.keep_seconds:
            self._samples.popleft()
        return self._samples[0][1]


@define
class ResourceDemand:
    """Room that work takes, averaged over the time it may take."""

    cpu_millis: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0

    def add(self, size: Resources, count: float) -> None:
        """Add the room of a number of subtasks."""
        self.cpu_millis += size.cpu_millis * count
        self.memory_mb += size.memory_mb * count
        self.accelerators += size.accelerators * count

    def count_instances(self, capacity: Resources) -> float:
        """Return how many instances of a capacity the room fills."""
        parts = [
            self.cpu_millis / max(1, capacity.cpu_millis),
            self.memory_mb / max(1, capacity.memory_mb),
        ]
        if capacity.accelerators:
            parts.append(self.accelerators / capacity.accelerators)
        return max(parts) / FILL_FRACTION


@frozen
class SubtaskGroup:
    """Subtasks that need their room at the same time."""

    size: Resources
    count: int

    def count_instances(self, capacity: Resources) -> float:
        """Return how many instances of a capacity they need by themselves.

        A subtask cannot be split, so those of over half an instance need one
        each.
        """
        fitting = [
            room // needed
            for room, needed in (
                (capacity.cpu_millis, self.size.cpu_millis),
                (capacity.memory_mb, self.size.memory_mb),
                (capacity.accelerators, self.size.accelerators),
            )
            if needed
        ]
        return self.count / max(1, min(fitting, default=self.count))


@define
class Demand:
    """Work of a pool, and the least instances that its caps allow.

    ``present`` is work that is there, ``arriving`` what will be there if
    jobs go on arriving as in the last seconds. ``labelled`` is the part of
    the present and lasting work that only executors with a label may run.
    ``lasting_blocks`` and ``gangs`` are the work that takes no turns.
    """

    lasting: ResourceDemand = field(factory=ResourceDemand)
    present: ResourceDemand = field(factory=ResourceDemand)
    arriving: ResourceDemand = field(factory=ResourceDemand)
    labelled: dict[str, ResourceDemand] = field(factory=dict)
    lasting_groups: list[SubtaskGroup] = field(factory=list)
    gangs: list[SubtaskGroup] = field(factory=list)
    minimum: int = MIN_INSTANCES

    def count_labelled(self, label: str, capacity: Resources) -> int:
        """Return how many instances with a label the work needs."""
        return math.ceil(self.labelled[label].count_instances(capacity))

    def count_instances(self, capacity: Resources) -> int:
        """Return how many instances of a capacity the work needs."""
        spare = SPARE_CPU_MILLIS / max(1, capacity.cpu_millis)
        short_lived = max(
            self.present.count_instances(capacity),
            self.arriving.count_instances(capacity),
            spare / HEADROOM,
        )
        lasting_instances = sum(
            block.count_instances(capacity) for block in self.lasting_groups
        )
        lasting = max(self.lasting.count_instances(capacity), lasting_instances)
        gang = max((block.count_instances(capacity) for block in self.gangs), default=0)
        needed = lasting + max(short_lived * HEADROOM, math.ceil(gang))
        return max(math.ceil(needed), self.minimum)


def measure_demand(
    registry: JobRegistry, config: FleetConfig, now: float
) -> dict[str, Demand]:
    """Return the work of each pool that is there or expected soon."""
    demands: dict[str, Demand] = {}
    for job in registry.jobs.values():
        demand = demands.setdefault(find_pool(job, config), Demand())
        if not job.state.final and not job.cancelled:
            add_job(demand, job, registry.durations)
        arrival_window = max(
            MIN_ARRIVAL_SECONDS, job.objective_seconds * ARRIVAL_FRACTION
        )
        if now - job.accepted_at < arrival_window and not job.spec.timed:
            add_arrival(demand, job, registry.durations, arrival_window)
    return demands


def add_job(demand: Demand, job: Job, durations: Durations) -> None:
    """Add the work that is left of a job.

    Lasting work and gangs need their room at once; other work may take it in
    turns.
    """
    window = max(MIN_WINDOW_SECONDS, job.objective_seconds)
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
            seconds = durations.predict(job.spec.queue, step.estimate_ms)
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


def add_arrival(
    demand: Demand, job: Job, durations: Durations, window_seconds: float
) -> None:
    """Add work like that of a job that has come in the last seconds."""
    for step in job.spec.steps:
        if not step.lasting:
            seconds = durations.predict(job.spec.queue, step.estimate_ms)
            count = step.count * seconds / window_seconds
            demand.arriving.add(get_reservation(step), count)


def find_smallest_capacity(executors: Iterable[Executor]) -> Resources:
    """Return the capacity of the smallest of some executors."""
    return min(
        (executor.entry.capacity for executor in executors),
        key=lambda capacity: capacity.cpu_millis,
        default=Resources(),
    )
