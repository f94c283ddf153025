"""Totals over lines, for which the target states limits."""

from collections.abc import Iterator

from bench.capacity_limits import (
    BYTES_LIMIT,
    CPU_LIMIT,
    MEMORY_LIMIT,
    READS_LIMIT,
    WRITES_LIMIT,
)
from bench.capacity_lines import Estimate, Line, Quantity, Role, make_line


def list_totals(lines: list[Line], idle_rss_mb: float | None) -> Iterator[Line]:
    """Yield the totals that limits are stated for."""
    daemon = [line for line in lines if line.role.startswith("entry daemon as")]
    control = [line for line in daemon if line.role is not Role.PROXY]
    for quantity, unit, limit in (
        (Quantity.CPU, "% core", CPU_LIMIT),
        (Quantity.BYTES, "B/s", BYTES_LIMIT),
    ):
        total = _sum_lines(control, quantity, unit)
        yield make_line(
            Role.DAEMON,
            quantity,
            "control in total",
            total,
            unit,
            "lines above",
            limit,
            "the designs named above" if total.value > limit else "",
        )
    memory = _sum_lines(control, Quantity.MEMORY, "MB")
    if idle_rss_mb is not None:
        yield make_line(
            Role.DAEMON,
            Quantity.MEMORY,
            "resident memory of an idle daemon and the state above",
            memory + Estimate(idle_rss_mb),
            "MB",
            "lines above, `make capacity` with a real process",
            MEMORY_LIMIT,
        )
    for quantity, limit in (
        (Quantity.WRITES, WRITES_LIMIT),
        (Quantity.READS, READS_LIMIT),
    ):
        total = _sum_lines(control, quantity, "1/s")
        yield make_line(
            Role.PLATFORM,
            quantity,
            "control of the whole fleet",
            total,
            "1/s",
            "lines above",
            limit,
            "the designs named above" if total.value > limit else "",
        )


def _sum_lines(lines: list[Line], quantity: Quantity, unit: str) -> Estimate:
    total = Estimate(0.0)
    for line in lines:
        if line.in_total and line.quantity is quantity and line.unit == unit:
            total += Estimate(line.value, line.error)
    return total
