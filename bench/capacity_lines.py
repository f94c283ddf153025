"""Lines of the capacity page: a figure of one role, held against a limit."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import frozen

from bench.capacity_series import TARGET, Series


class Role(StrEnum):
    """The roles of the page."""

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
    """What a line counts; the values are used in the totals."""

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
    """One figure of one role, with the limit that it is held against.

    ``error`` is one standard error from the slopes. ``design`` names what
    carries the line when it fails. Lines that do not occur together with the
    others are not ``in_total``.
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
class Amount:
    """A value with its standard error."""

    value: float
    error: float = 0.0

    def __mul__(self, factor: float) -> "Amount":
        return Amount(self.value * factor, self.error * abs(factor))

    def __add__(self, other: "Amount") -> "Amount":
        # Errors of different slopes are taken as independent.
        error = (self.error**2 + other.error**2) ** 0.5
        return Amount(self.value + other.value, error)


class Costs:
    """The measured series by name, as amounts at the target."""

    def __init__(self, series: Mapping[str, Series]) -> None:
        self._series = series

    def at_target(self, name: str) -> Amount:
        """Return the extrapolated cost."""
        series = self._series[name]
        return Amount(series.value, series.error)

    def at(self, name: str, size: float) -> Amount:
        """Return the cost at another size."""
        slope = self._series[name].slope
        return Amount(slope.extrapolate(size), slope.extrapolate_error(size))

    def per_unit(self, name: str) -> Amount:
        """Return the slope itself."""
        slope = self._series[name].slope
        return Amount(slope.per_unit, slope.error)

    def percent(self, micros: Amount, per_second: float) -> Amount:
        """Return processor time as a percentage of a core."""
        return micros * (per_second / 1e4)


def make_line(
    role: Role,
    quantity: Quantity,
    what: str,
    amount: Amount,
    unit: str,
    mechanism: str,
    limit: float | None = None,
    design: str = "",
) -> Line:
    return Line(
        role,
        quantity,
        what,
        amount.value,
        amount.error,
        unit,
        mechanism,
        limit,
        design,
    )


def sum_fleet(per_daemon: float) -> Amount:
    """Return the sum over all daemons."""
    return Amount(per_daemon * TARGET.daemons)
