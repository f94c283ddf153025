"""How far the estimates of a queue's submitters tell times apart.

Load pattern: queues whose submitters know how long their work takes, beside
queues whose estimates mean nothing, in one pool and in one order.

It is the slope of a least-squares line through the logarithms of estimates
and times, between 0 and 1. A slope of 1 means that times follow the estimates,
also where all of them are off by the same factor; 0 means that estimates say
nothing. Each workspace may have a factor of its own, so deviations are taken
from the means of the workspace; its slope starts from that of its queue::

    >>> trust = EstimateTrust()
    >>> for estimate in (1.0, 2.0, 4.0, 8.0) * 10:
    ...     trust.add("hinge", estimate, 3 * estimate)
    ...     trust.add("bolt", estimate, 0.2 * estimate)
    >>> trust.measure_slope("hinge")
    1.0
"""

from math import log2

from attrs import define, field

# Until enough runs have ended, the wider slope counts as this many runs, with
# estimates spread as half and double. The widest is 1: estimates are trusted.
WIDER_RUNS = 4.0
WIDER_VARIANCE = 1.0  # of binary logarithms
# Runs at which all weights are halved, as in the histograms.
MAX_WEIGHT = 256.0
# Slopes nearer to 0 or 1 than this differ from it by chance in 100 runs.
SNAP = 0.15
MIN_SECONDS = 0.001


@define
class Deviations:
    """Weight, means and centred sums of logarithms of estimates and times."""

    weight: float = 0.0
    mean_x: float = 0.0
    mean_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    def add(self, x: float, y: float) -> tuple[float, float]:
        """Add a run; return what it adds to the sums."""
        if self.weight >= MAX_WEIGHT:
            self.fade(MAX_WEIGHT / 2)
        self.weight += 1
        change = x - self.mean_x
        self.mean_x += change / self.weight
        self.mean_y += (y - self.mean_y) / self.weight
        added_xx = change * (x - self.mean_x)
        added_xy = change * (y - self.mean_y)
        self.sum_xx += added_xx
        self.sum_xy += added_xy
        return added_xx, added_xy

    def add_sums(self, added_xx: float, added_xy: float) -> None:
        """Add a run's deviations from other means."""
        if self.weight >= MAX_WEIGHT:
            self.fade(MAX_WEIGHT / 2)
        self.weight += 1
        self.sum_xx += added_xx
        self.sum_xy += added_xy

    def fade(self, kept: float) -> None:
        """Reduce the weight to so many runs."""
        if self.weight > kept:
            factor = kept / self.weight
            self.weight = kept
            self.sum_xx *= factor
            self.sum_xy *= factor

    def measure_slope(self, wider: float) -> float:
        """Return the slope, which without runs is the wider one."""
        prior = WIDER_RUNS * WIDER_VARIANCE
        return (self.sum_xy + prior * wider) / (self.sum_xx + prior)


@define(eq=False)
class EstimateTrust:
    """The deviations within the workspaces of a queue, together and of each."""

    pooled: Deviations = field(factory=Deviations)
    workspaces: dict[str, Deviations] = field(factory=dict)

    def add(self, workspace: str, estimate_seconds: float, seconds: float) -> None:
        """Add the estimate and the time of a run."""
        deviations = self.workspaces.get(workspace)
        if deviations is None:
            deviations = self.workspaces[workspace] = Deviations()
        added = deviations.add(log2(estimate_seconds), log2(max(seconds, MIN_SECONDS)))
        self.pooled.add_sums(*added)

    def fade(self, kept: float) -> None:
        """Reduce the weights to so many runs each."""
        for deviations in (self.pooled, *self.workspaces.values()):
            deviations.fade(kept)

    def measure_slope(self, workspace: str) -> float:
        """Return by which power of a workspace's estimates times differ."""
        slope = self.pooled.measure_slope(1.0)
        deviations = self.workspaces.get(workspace)
        if deviations is not None:
            slope = deviations.measure_slope(slope)
        if slope >= 1 - SNAP:
            return 1.0
        return 0.0 if slope <= SNAP else slope
