"""Expected durations of subtasks, learned from estimates and actual times."""

from math import log10

from attrs import define, field, frozen

from hemlockstand.fleet.model import JobSpec

# Until enough subtasks have ended, estimates are taken as correct: the fit
# starts with this many samples on the diagonal, with the variance of the
# decimal logarithms of half and double.
PRIOR_SAMPLES = 4.0
PRIOR_VARIANCE = 0.09


@define(eq=False)
class _LinearFit:
    """Sums for a least-squares line through logarithms."""

    weight: float = PRIOR_SAMPLES
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = PRIOR_SAMPLES * PRIOR_VARIANCE
    sum_xy: float = PRIOR_SAMPLES * PRIOR_VARIANCE

    def add_point(self, x: float, y: float) -> None:
        """Add a point."""
        self.weight += 1
        self.sum_x += x
        self.sum_y += y
        self.sum_xx += x * x
        self.sum_xy += x * y

    def predict(self, x: float) -> float:
        """Return the y that the line has at x."""
        mean_x = self.sum_x / self.weight
        mean_y = self.sum_y / self.weight
        variance = self.sum_xx / self.weight - mean_x * mean_x
        covariance = self.sum_xy / self.weight - mean_x * mean_y
        slope = min(1.0, max(0.0, covariance / variance)) if variance > 0 else 1.0
        return mean_y + slope * (x - mean_x)


@frozen
class ExpectedDuration:
    """What a subtask is expected to take, and on how many runs that rests.

    Without any run, all three are what its submitter estimates.
    """

    median_seconds: float
    p90_seconds: float
    p99_seconds: float
    runs: int


@define(eq=False)
class Durations:
    """Predicts how long subtasks take from their submitters' estimates.

    Estimates of some queues are far off. A least-squares line through the
    logarithms of a queue's estimated and actual times corrects them.
    """

    _fits: dict[str, _LinearFit] = field(factory=dict)

    def add_sample(self, queue: str, seconds: float, estimate_seconds: float) -> None:
        """Add the actual and the estimated time of a subtask."""
        fit = self._fits.setdefault(queue, _LinearFit())
        fit.add_point(log10(max(estimate_seconds, 0.01)), log10(max(seconds, 0.01)))

    def predict(self, queue: str, estimate_ms: int) -> float:
        """Return the seconds that a subtask is expected to take."""
        seconds = max(estimate_ms / 1000, 0.01)
        fit = self._fits.get(queue)
        return seconds if fit is None else 10 ** fit.predict(log10(seconds))

    def expect(self, spec: JobSpec, position: int) -> ExpectedDuration:
        """Return what a subtask of a job's step is expected to take."""
        seconds = self.predict(spec.queue, spec.steps[position].estimate_ms)
        return ExpectedDuration(seconds, seconds, seconds, 0)


def estimate_chain_seconds(spec: JobSpec, durations: Durations) -> float:
    """Return the expected seconds of the longest chain of a job's steps."""
    finished: list[float] = []
    for step in spec.steps:
        start = max((finished[earlier] for earlier in step.after), default=0.0)
        finished.append(start + durations.predict(spec.queue, step.estimate_ms))
    return max(finished, default=0.0)
