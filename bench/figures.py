"""Figures of the benchmarks: a name, a value, a unit and a bound."""

from enum import StrEnum

from attrs import frozen


class Side(StrEnum):
    """Whether the bound is the largest or the smallest allowed value."""

    AT_MOST = "<="
    AT_LEAST = ">="


@frozen
class Figure:
    """One measured figure with the bound that the target states.

    A figure without a bound is recorded for comparison and never fails.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    side: Side = Side.AT_MOST

    def holds(self) -> bool:
        """Return whether the value is within the bound."""
        if self.bound is None:
            return True
        if self.side is Side.AT_MOST:
            return self.value <= self.bound
        return self.value >= self.bound

    def format_line(self) -> str:
        """Return the line that ``make bench`` prints for this figure."""
        bound = "none" if self.bound is None else f"{self.side}{self.bound:g}"
        verdict = "ok" if self.holds() else "FAIL"
        return (
            f"bench {self.name} value={self.value:.6g} unit={self.unit} "
            f"bound={bound} {verdict}"
        )
