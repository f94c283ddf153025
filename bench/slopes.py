"""Linear fits of cost against size, with their errors."""

from collections.abc import Sequence

import numpy as np
from attrs import frozen


@frozen
class Slope:
    """A fit ``cost = fixed + per_unit * size`` with the error of its slope.

    ``error`` is the standard error of ``per_unit``; ``sizes`` and ``costs``
    are the measured points.
    """

    fixed: float
    per_unit: float
    error: float
    sizes: tuple[float, ...]
    costs: tuple[float, ...]

    def extrapolate(self, size: float) -> float:
        """Return the cost at a size, in the unit of the measured costs."""
        return self.fixed + self.per_unit * size

    def extrapolate_error(self, size: float) -> float:
        """Return one standard error of the extrapolated cost."""
        return self.error * abs(size - float(np.mean(self.sizes)))


def fit_slope(sizes: Sequence[float], costs: Sequence[float]) -> Slope:
    """Fit a line through four or more points by least squares.

    Raises ``ValueError`` for fewer points, as the error would be unreliable::

        >>> fit_slope([1, 2, 3, 4], [3, 5, 7, 9]).extrapolate(10)
        21.0
    """
    if len(sizes) < 4 or len(sizes) != len(costs):
        raise ValueError(f"a slope needs 4 or more points, got {len(sizes)}")
    x_values = np.asarray(sizes, dtype=float)
    y_values = np.asarray(costs, dtype=float)
    per_unit, fixed = np.polyfit(x_values, y_values, 1)
    residuals = y_values - (fixed + per_unit * x_values)
    squares = float(np.sum((x_values - x_values.mean()) ** 2))
    error = float(np.sqrt(np.sum(residuals**2) / (len(sizes) - 2) / squares))
    return Slope(
        round(float(fixed), 9),
        round(float(per_unit), 9),
        error,
        tuple(map(float, sizes)),
        tuple(map(float, costs)),
    )
