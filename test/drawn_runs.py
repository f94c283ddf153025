"""Randomly drawn runs of a queue, and what predictions of them are worth."""

from collections.abc import Callable, Iterator
from math import log2, log10
from operator import add
from random import Random
from statistics import median

from attrs import define, field

from hemlockstand.fleet.durations import Durations
from hemlockstand.fleet.model import JobSpec
from hemlockstand.fleet.policy.observations import RunTime
from test.fleet_world import make_step

# Typical seconds of a subtask by its image.
IMAGES = {"thumbnail": 0.5, "report": 2.0, "backup": 8.0}
NOISE_OCTAVES = 0.25  # standard deviation of times around what is typical


@define
class DrawnRun:
    """A job with one subtask, and the time that it takes."""

    spec: JobSpec
    seconds: float


def draw_runs(
    count: int,
    estimate: Callable[[Random, float, str], float],
    seed: int = 1,
    tail_part: float = 0.0,
    tail_factor: float = 7.0,
    change_factor: float = 1.0,
) -> Iterator[DrawnRun]:
    """Yield runs; the latter half takes ``change_factor`` times as long.

    ``estimate`` returns the estimate from the typical time of the work and the
    workspace.
    """
    random = Random(seed)
    for number in range(count):
        image = random.choice(sorted(IMAGES))
        workspace = random.choice(("hinge", "bolt"))
        typical = IMAGES[image] * 2 ** random.gauss(0, 1)
        told = estimate(random, typical, workspace)
        seconds = typical * 2 ** random.gauss(0, NOISE_OCTAVES)
        if random.random() < tail_part:
            seconds *= tail_factor
        if number >= count // 2:
            seconds *= change_factor
        step = make_step(seconds=told, image=image)
        spec = JobSpec(f"{number:016x}", "queue", "pool", workspace, "", (step,))
        yield DrawnRun(spec, seconds)


def tell_right(random: Random, typical: float, workspace: str) -> float:
    """Return an estimate that is right."""
    return typical


def tell_fifth(random: Random, typical: float, workspace: str) -> float:
    """Return a fifth of the typical time."""
    return typical / 5


def tell_by_workspace(random: Random, typical: float, workspace: str) -> float:
    """Return an estimate that one of the workspaces has wrong by a factor."""
    return typical * 10 if workspace == "hinge" else typical


def tell_anything(random: Random, typical: float, workspace: str) -> float:
    """Return an estimate that means nothing."""
    return 10 ** random.uniform(-1, 2)


@define
class PresentLine:
    """The line through logarithms that the model replaced, for comparison."""

    weight: float = 4.0
    sums: list[float] = field(factory=lambda: [0.0, 0.0, 0.36, 0.36])

    def predict(self, run: DrawnRun) -> float:
        """Return the seconds that the line predicts."""
        x = log10(max(run.spec.steps[0].estimate_ms / 1000, 0.01))
        if self.weight == 4.0:
            return 10**x
        sum_x, sum_y, sum_xx, sum_xy = (part / self.weight for part in self.sums)
        variance = sum_xx - sum_x * sum_x
        slope = min(1.0, max(0.0, (sum_xy - sum_x * sum_y) / variance))
        return 10 ** (sum_y + slope * (x - sum_x))

    def learn(self, run: DrawnRun) -> None:
        """Add a run."""
        x = log10(max(run.spec.steps[0].estimate_ms / 1000, 0.01))
        y = log10(max(run.seconds, 0.01))
        self.weight += 1
        added = (x, y, x * x, x * y)
        self.sums = list(map(add, self.sums, added))


@define
class Model:
    """The product's model, with the same methods as the line."""

    durations: Durations = field(factory=Durations)

    def predict(self, run: DrawnRun) -> float:
        """Return the median that the model expects."""
        return self.durations.expect(run.spec, 0).median_seconds

    def learn(self, run: DrawnRun) -> None:
        """Add a run."""
        self.durations.record(run.spec, 0, RunTime(run.seconds, True))


def measure_error(predictor: PresentLine | Model, runs: list[DrawnRun]) -> float:
    """Return the median factor by which each run's prediction before it is off."""
    errors = []
    for run in runs:
        errors.append(abs(log2(predictor.predict(run) / run.seconds)))
        predictor.learn(run)
    return 2 ** median(errors)
