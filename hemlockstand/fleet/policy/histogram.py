"""Histogram over logarithms, whose older weights fade.

Load pattern: queues whose work changes within a day, with thousands of runs a
minute, of which a scheduler can keep only a summary.

Times of runs differ by factors, so the bins have equal widths on a logarithmic
scale. A histogram can be merged, shortened and stored, which exact samples and
quantile sketches cannot within the same few hundred bytes::

    >>> histogram = FadingHistogram()
    >>> for seconds in (1.0, 1.0, 8.0):
    ...     histogram.add(find_bin(seconds))
    >>> [round(2**value, 1) for value in read_quantiles(histogram.counts, (0.5, 0.99))]
    [1.0, 8.3]
"""

from collections.abc import Iterable, Mapping
from math import log2

from attrs import define, field

# A bin is 9% wide, so the middle of one is off by at most 4.4%.
BINS_PER_OCTAVE = 8
# Range of values: milliseconds to weeks, and ratios of these.
MIN_BIN, MAX_BIN = -24 * BINS_PER_OCTAVE, 24 * BINS_PER_OCTAVE
# Weights, in runs. At the largest one all weights are halved, so the latest
# 128 to 256 runs count: enough for a 99th percentile.
MAX_WEIGHT = 256.0
# Smaller weights of bins are dropped, in runs.
MIN_BIN_WEIGHT = 0.01
# Sums of weights that differ by less than this factor are equal.
ROUNDING = 1 - 1e-9

_VALUES = {
    number: 2.0 ** (number / BINS_PER_OCTAVE) for number in range(MIN_BIN, MAX_BIN + 1)
}


def find_bin(value: float) -> int:
    """Return the bin of a positive value."""
    if value <= 2.0 ** (MIN_BIN / BINS_PER_OCTAVE):
        return MIN_BIN
    return min(MAX_BIN, round(BINS_PER_OCTAVE * log2(value)))


@define(eq=False)
class FadingHistogram:
    """Weights of bins, in runs; ``total`` is their sum."""

    counts: dict[int, float] = field(factory=dict)
    total: float = 0.0

    def add(self, bin_number: int, weight: float = 1.0) -> None:
        """Add runs to a bin; older ones fade when there are many."""
        if self.total + weight > MAX_WEIGHT:
            self.fade(MAX_WEIGHT / 2)
        self.counts[bin_number] = self.counts.get(bin_number, 0.0) + weight
        self.total += weight

    def fade(self, kept: float) -> None:
        """Reduce the weights in proportion, to ``kept`` runs in all."""
        if self.total <= kept:
            return
        factor = kept / self.total
        self.counts = {
            number: weight * factor
            for number, weight in self.counts.items()
            if weight * factor >= MIN_BIN_WEIGHT
        }
        self.total = sum(self.counts.values())

    def blend(
        self, wider: Mapping[int, float], wider_weight: float
    ) -> Mapping[int, float]:
        """Return the distribution of the runs, with a wider one as so many runs.

        ``wider`` and the result have a sum of 1; ``wider`` may be empty.
        """
        whole = self.total + (wider_weight if wider else 0.0)
        if not self.total or not whole:
            return wider
        mixed = {number: weight / whole for number, weight in self.counts.items()}
        factor = wider_weight / whole
        get = mixed.get
        for number, part in wider.items():
            mixed[number] = get(number, 0.0) + part * factor
        return mixed


def read_quantiles(
    distribution: Mapping[int, float], parts: Iterable[float]
) -> list[float]:
    """Return the binary logarithms below which increasing parts of the runs lie.

    Within a bin they are taken as evenly spread.
    """
    whole = sum(distribution.values())
    numbers = iter(sorted(distribution))
    number = next(numbers)
    weight = reached = distribution[number]
    found = []
    for part in parts:
        while reached < part * whole * ROUNDING:
            number = next(numbers)
            weight = distribution[number]
            reached += weight
        inside = 1.0 - (reached - part * whole) / weight
        found.append((number - 0.5 + inside) / BINS_PER_OCTAVE)
    return found


def read_mean(distribution: Mapping[int, float]) -> float:
    """Return the binary logarithm of the mean value."""
    total = 0.0
    for number, part in distribution.items():
        total += part * _VALUES[number]
    return log2(total / sum(distribution.values()))
