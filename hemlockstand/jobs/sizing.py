"""Estimates the sizes of tasks from observed usage.

Declared sizes are far off, so only the first run gets the declared size; later
runs get the largest observed usage with headroom. A run that used more than
before raises the estimate at once; a smaller one lowers it slowly, because an
estimate that is too small costs a checkpoint and one that is too large only
leaves resources unused.
"""

from attrs import frozen

from hemlockstand.jobs.records import ObservedSize
from hemlockstand.model import Job
from hemlockstand.platform.interface import Shape

DECAY_FACTOR = 0.9  # on the old maximum after a smaller run
MIN_SHAPE = Shape(0.1, 64, 0)


@frozen
class SizeBounds:
    """The largest worker of the pool; no estimate exceeds it."""

    largest: Shape


def estimate_shape(
    job: Job, observed: ObservedSize | None, headroom: float, bounds: SizeBounds
) -> Shape:
    """Return the resources to reserve for the next run of the job.

    Accelerators cannot be shared, so their declared number is kept.
    """
    if observed is None:
        return Shape(job.cores, job.memory_mb, job.accelerators)
    cores = max(MIN_SHAPE.cores, observed.shape.cores * headroom)
    memory_mb = max(MIN_SHAPE.memory_mb, int(observed.shape.memory_mb * headroom))
    return Shape(
        min(cores, bounds.largest.cores),
        min(memory_mb, bounds.largest.memory_mb),
        job.accelerators,
    )


def learn_size(
    before: ObservedSize | None, peak: Shape, run_seconds: float
) -> ObservedSize:
    """Return the estimate after a run with that peak usage."""
    if before is None:
        return ObservedSize(peak, run_seconds, 1)
    return ObservedSize(
        Shape(
            max(peak.cores, before.shape.cores * DECAY_FACTOR),
            max(peak.memory_mb, int(before.shape.memory_mb * DECAY_FACTOR)),
            peak.accelerators,
        ),
        max(run_seconds, before.run_seconds * DECAY_FACTOR),
        before.runs + 1,
    )
