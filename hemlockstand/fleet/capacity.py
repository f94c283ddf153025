"""How many instances each pool needs for the work that it has now."""

import math
from collections import deque
from collections.abc import Iterable, Mapping

from attrs import define, field

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.ledger import Job, Ledger, find_pool
from hemlockstand.fleet.model import FleetConfig, Resources

# Subtasks of uneven sizes leave about a sixth of an instance unused.
FILL_FRACTION = 0.85
# Instances beyond the need of the moment, for the next arrival and for the
# loss of one.
SPARE_INSTANCES = 1
# Part of the work of later steps that counts as needed now: most of it
# starts within the time that an instance takes to arrive.
LATER_FRACTION = 0.5
# An instance costs about as much to move there and back as for three seconds.
KEEP_SECONDS = 3.0


@define
class PoolNeed:
    """The need of a pool, which falls only after it was low for a while."""

    keep_seconds: float = KEEP_SECONDS
    _samples: deque[tuple[float, int]] = field(factory=deque)

    def note(self, now: float, instances: int) -> int:
        """Note a need and return the largest of the last seconds."""
        while self._samples and self._samples[-1][1] <= instances:
            self._samples.pop()
        self._samples.append((now, instances))
        while self._samples[0][0] < now - self.keep_seconds:
            self._samples.popleft()
        return self._samples[0][1]


@define
class Demand:
    """Work of a pool: its size, and the least instances its caps allow."""

    size: Resources = field(factory=Resources)
    least: int = 0

    def count_instances(self, capacity: Resources) -> int:
        """Return how many instances of a capacity the work needs."""
        parts = [
            self.size.cpu_millis / max(1, capacity.cpu_millis),
            self.size.memory_mb / max(1, capacity.memory_mb),
        ]
        if capacity.accelerators:
            parts.append(self.size.accelerators / capacity.accelerators)
        needed = math.ceil(max(parts) / FILL_FRACTION)
        return max(needed, self.least)


def measure_demand(ledger: Ledger, config: FleetConfig) -> dict[str, Demand]:
    """Return the work of each pool that runs, waits or follows soon."""
    demands: dict[str, Demand] = {}
    for job in ledger.jobs.values():
        if job.state.final or job.cancelled:
            continue
        demand = demands.setdefault(find_pool(job, config), Demand())
        add_job(demand, job)
    return demands


def add_job(demand: Demand, job: Job) -> None:
    """Add what a job needs to the demand of its pool."""
    for step_run in job.steps.values():
        step = step_run.step
        left = step.count - step_run.done.bit_count()
        if not left or (not step_run.unlocked_at and job.spec.timed):
            continue
        size = step.size
        if step.fills:
            size = Resources(0, size.memory_mb, size.accelerators)
        if step_run.unlocked_at:
            demand.size = demand.size.add(size, left)
        else:
            demand.size = demand.size.add(size.scale(LATER_FRACTION), left)
        if step.max_per_executor and step_run.unlocked_at:
            least = math.ceil(left / step.max_per_executor)
            demand.least = max(demand.least, least)


def find_capacity(executors: Iterable[Executor]) -> Resources:
    """Return the capacity of the smallest of some executors."""
    return min(
        (executor.entry.capacity for executor in executors),
        key=lambda capacity: capacity.cpu_millis,
        default=Resources(),
    )


def count_loads(executors: Mapping[str, Executor]) -> dict[str, int]:
    """Return the thousandths of a core in use by pool."""
    loads: dict[str, int] = {}
    for executor in executors.values():
        pool = executor.entry.pool
        loads[pool] = loads.get(pool, 0) + executor.used.cpu_millis
    return loads
