"""Measures the costs behind docs/CAPACITY.md and fills its tables.

``make capacity`` runs each mechanism at four or more sizes, fits the cost,
extrapolates it to the two-year size and compares it with the limits. The run
is recorded in ``bench/records/capacity.json``; the page's tables are made from
that record. It takes a few minutes at most. ``python -m bench.capacity page``
only fills the page from the record.
"""

import json
import os
import sys
from collections.abc import Callable, Iterable, Iterator
from datetime import UTC, datetime
from time import monotonic
from typing import Any

from attrs import asdict
from loguru import logger

from bench.capacity_calls import measure_exchanges, measure_platform_calls
from bench.capacity_daemon import measure_daemons
from bench.capacity_limits import BYTES_LIMIT, CPU_LIMIT, MEMORY_LIMIT
from bench.capacity_lines import Line
from bench.capacity_page import PAGE, RECORD, fill_page, make_tables
from bench.capacity_requests import (
    measure_claims,
    measure_peaks,
    measure_queue,
    measure_requests,
)
from bench.capacity_roles import list_lines
from bench.capacity_rounds import (
    measure_maintenance,
    measure_moves,
    measure_owners,
    measure_placement,
    measure_pool_rows,
)
from bench.capacity_series import TARGET, Series
from bench.capacity_slopes import (
    measure_configuration,
    measure_records,
    measure_schedules,
    measure_sheet,
    measure_slots,
    measure_spread,
)

GROUPS: tuple[Callable[[], Iterable[Series]], ...] = (
    measure_platform_calls,
    measure_exchanges,
    measure_configuration,
    measure_records,
    measure_sheet,
    measure_slots,
    measure_moves,
    measure_peaks,
    measure_claims,
    measure_requests,
    measure_queue,
    measure_spread,
    measure_schedules,
    measure_owners,
    measure_placement,
    measure_pool_rows,
    measure_maintenance,
)


def measure_series() -> Iterator[Series]:
    """Measure all groups and print each series as it is complete."""
    for group in GROUPS:
        began = monotonic()
        for series in group():
            print(
                f"capacity {series.name} slope={series.slope.per_unit:.6g} "
                f"error={series.slope.error:.2g} at={series.target:g} "
                f"value={series.value:.6g} unit={series.unit}",
                flush=True,
            )
            yield series
        print(f"# {group.__name__}: {monotonic() - began:.1f} s", flush=True)


def describe_series(series: Series) -> dict[str, Any]:
    """Return the series as JSON data."""
    return {
        "name": series.name,
        "mechanism": series.mechanism,
        "size_name": series.size_name,
        "unit": series.unit,
        "sizes": list(series.slope.sizes),
        "costs": list(series.slope.costs),
        "fixed": series.slope.fixed,
        "per_unit": series.slope.per_unit,
        "error": series.slope.error,
        "target": series.target,
        "value": series.value,
        "value_error": series.error,
    }


def describe_line(line: Line) -> dict[str, Any]:
    """Return the line as JSON data, with its verdict."""
    return asdict(line) | {"verdict": line.verdict}


def check_daemon_limits(entry: dict[str, Any]) -> dict[str, Any]:
    """Return a daemon's control traffic and the limits that it exceeds.

    Under load, most of the processor time is spent on requests, so processor
    time is checked only for an idle daemon.
    """
    volume = entry["platform_bytes_per_second"] + entry["peer_bytes_per_second"]
    checks = {
        "bytes": volume <= BYTES_LIMIT,
        "processor": entry["load"] != "idle" or entry["cpu_percent"] <= CPU_LIMIT,
        "memory": entry["rss_mb"] <= MEMORY_LIMIT,
    }
    failed = [name for name, holds in checks.items() if not holds]
    return {"control_bytes_per_second": volume, "failed": failed}


def make_record(series: list[Series], daemons: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the record of a run."""
    by_name = {entry.name: entry for entry in series}
    idle = [entry["rss_mb"] for entry in daemons if entry["load"] == "idle"]
    lines = list_lines(by_name, max(idle, default=None))
    return {
        "time": datetime.now(UTC).isoformat(timespec="seconds"),
        "processors": os.cpu_count(),
        "target": asdict(TARGET),
        "series": [describe_series(entry) for entry in series],
        "daemons": daemons,
        "lines": [describe_line(line) for line in lines],
    }


def write_page(record: dict[str, Any]) -> None:
    """Fill the tables of the page."""
    text = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(fill_page(text, make_tables(record)), encoding="utf-8")


def main() -> None:
    """Measure, record and fill the page, or only fill the page."""
    logger.remove()
    if sys.argv[1:] == ["page"]:
        write_page(json.loads(RECORD.read_text(encoding="utf-8")))
        return
    series = list(measure_series())
    daemons = []
    for entry in measure_daemons():
        print(f"capacity daemon {json.dumps(entry)}", flush=True)
        daemons.append(entry | check_daemon_limits(entry))
    record = make_record(series, daemons)
    RECORD.parent.mkdir(exist_ok=True)
    RECORD.write_text(json.dumps(record, indent=1) + "\n", encoding="utf-8")
    write_page(record)
    for line in record["lines"]:
        if line["limit"] is not None:
            print(
                f"capacity {line['role']}: {line['quantity']}, {line['what']}: "
                f"{line['value']:.6g} {line['unit']} limit={line['limit']:g} "
                f"{line['verdict']}"
            )


if __name__ == "__main__":
    main()
