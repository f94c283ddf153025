"""Sheets and load processes for benchmarks that run a fleet of processes."""

import csv
import time
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import msgspec
from attrs import define

from emulator.fleet import SHEETS, Fleet, read_sheet
from emulator.load import LoadPlan
from emulator.processes import Child

# The last requests with their failovers, and the wait for late answers.
LOAD_END_SECONDS = 60.0
LONGEST_DEADLINE = 30.0
# Rows of these kinds are left out by default: jobs would use processor time.
JOB_KINDS = ("job",)


class BenchmarkError(Exception):
    """Raised when a benchmark cannot be completed."""


@define
class RunningLoad:
    """A load process and the file of its report."""

    child: Child
    report: Path
    seconds: float

    def finish(self) -> dict[str, Any]:
        """Wait for the end of the load and return its report."""
        code = self.child.wait(self.seconds + LOAD_END_SECONDS)
        if code != 0:
            raise BenchmarkError(f"{self.child.name}: {self.child.read_log_tail()}")
        return msgspec.json.decode(self.report.read_bytes())


def start_load(fleet: Fleet, name: str, plan: LoadPlan) -> RunningLoad:
    """Start a process that runs the plan."""
    path = fleet.children.directory / f"{name}.plan"
    path.write_bytes(msgspec.json.encode(plan))
    report = path.with_suffix(".report")
    arguments = [f"--plan={path}", f"--report={report}"]
    child = fleet.children.start(name, "emulator.load", arguments)
    return RunningLoad(child, report, plan.seconds)


def write_sheet(
    fleet: Fleet,
    teams: Mapping[str, Mapping[str, str]],
    without: Iterable[str] = JOB_KINDS,
    longest_deadline: float = LONGEST_DEADLINE,
) -> Path:
    """Write the sheet of the fleet's shape with changed cells for some teams.

    Rows of the kinds in ``without`` are left out. The deadlines of queues are
    limited to ``longest_deadline`` seconds.
    """
    rows = read_sheet(SHEETS / fleet.shape.sheet)
    left_out = frozenset(without)
    path = fleet.children.directory / "bench.csv"
    with path.open("w", encoding="utf-8", newline="") as stream:
        writer = csv.DictWriter(stream, rows[0])
        writer.writeheader()
        for row in rows:
            if row["kind"] in left_out:
                continue
            if row["kind"] == "team":
                row = row | teams.get(row["name"], {})
            if row["kind"] == "queue":
                seconds = min(float(row["deadline_seconds"]), longest_deadline)
                row = row | {"deadline_seconds": f"{seconds:g}"}
            writer.writerow(row)
    return path


def list_callers(fleet: Fleet, names: Iterable[str] = ()) -> list[str]:
    """Return the caller addresses of the named daemons, or of all."""
    wanted = tuple(names) or tuple(fleet.daemons)
    return [fleet.daemons[name].caller for name in wanted]


def find_repeatable(fleet: Fleet) -> frozenset[str]:
    """Return the queues of the sheet whose requests may run twice."""
    rows = read_sheet(SHEETS / fleet.shape.sheet)
    return frozenset(
        row["name"]
        for row in rows
        if row["kind"] == "queue" and row["idempotent"] == "yes"
    )


def sleep_until(moment: float) -> None:
    """Sleep until ``time.monotonic`` reaches the given time."""
    time.sleep(max(0.0, moment - time.monotonic()))
