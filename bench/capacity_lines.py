"""Lines of the capacity page: a figure of one role, compared with a limit."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import frozen

from bench.capacity_series import TARGET, Series


class Role(StrEnum):
    """Roles that the page has a table for."""

    PROXY = "entry daemon as caller-facing proxy"
    PEER = "entry daemon as peer"
    READER = "entry daemon as configuration reader"
    HOLDER = "entry daemon as slot holder"
    PLACER = "entry daemon as placer of jobs"
    MAINTAINER = "entry daemon as maintainer"
    DAEMON = "entry daemon in total"
    TOOL = "operators' tool"
    PLATFORM = "platform's table and object store"
    UPSTREAM = "upstream (executor)"
    WORKER = "worker"


class Quantity(StrEnum):
    """Quantity of a line; totals add up the lines of one quantity."""

    CPU = "processor time"
    BYTES = "messages"
    MEMORY = "memory"
    WRITES = "table writes"
    READS = "table reads"
    CALLS = "calls of the platform"
    TIME = "time"
    STATE = "state"


@frozen
class Line:
    """One figure of one role, with the limit that it is compared with.

    ``error`` is one standard error from the slopes. ``design`` names the
    design that would meet the limit if the line fails. ``in_total`` is false
    for a line that does not occur at the same time as the others; totals leave
    it out.
    """

    role: Role
    quantity: Quantity
    what: str
    value: float
    error: float
    unit: str
    mechanism: str
    limit: float | None = None
    design: str = ""
    in_total: bool = True

    @property
    def verdict(self) -> str:
        """``ok``, ``FAIL``, or empty without a limit."""
        if self.limit is None:
            return ""
        return "ok" if self.value <= self.limit else "FAIL"


@frozen
class Estimate:
    """A value with its standard error."""

    value: float
    error: float = 0.0

    def __mul__(self, factor: float) -> "Estimate":
        return Estimate(self.value * factor, self.error * abs(factor))

    def __add__(self, other: "Estimate") -> "Estimate":
        # Errors of different slopes are assumed to be independent.
        error = (self.error**2 + other.error**2) ** 0.5
        return Estimate(self.value + other.value, error)


class Costs:
    """Estimates of costs from the measured series."""

    def __init__(self, series: Mapping[str, Series]) -> None:
        self._series = series

    def at_target(self, name: str) -> Estimate:
        """Return the cost extrapolated to the target size."""
        series = self._series[name]
        return Estimate(series.value, series.error)

    def at(self, name: str, size: float) -> Estimate:
        """Return the cost at another size."""
        slope = self._series[name].slope
        return Estimate(slope.extrapolate(size), slope.extrapolate_error(size))

    def per_unit(self, name: str) -> Estimate:
        """Return the slope itself."""
        slope = self._series[name].slope
        return Estimate(slope.per_unit, slope.error)

    def percent(self, micros: Estimate, per_second: float) -> Estimate:
        """Return the load of events of ``micros`` each, in percent of a core."""
        return micros * (per_second / 1e4)


def make_line(
    role: Role,
    quantity: Quantity,
    what: str,
    estimate: Estimate,
    unit: str,
    mechanism: str,
    limit: float | None = None,
    design: str = "",
) -> Line:
    return Line(
        role,
        quantity,
        what,
        estimate.value,
        estimate.error,
        unit,
        mechanism,
        limit,
        design,
    )


def sum_fleet(per_daemon: float) -> Estimate:
    """Return the sum over all daemons of a value per daemon."""
    return Estimate(per_daemon * TARGET.daemons)
