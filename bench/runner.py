"""Runs every benchmark, prints one line per figure and records the run.

``make bench`` runs all groups; ``python -m bench.runner limits jobs`` runs
the named ones. Each group is a module of this package with a function
``measure_figures()`` that yields ``Figure`` objects. A run of all groups is
recorded in ``bench/records/`` under the commit's name.
"""

import json
import subprocess
import sys
import traceback
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from importlib import import_module
from pathlib import Path
from time import perf_counter

from attrs import asdict

from bench.figures import Figure, Side

GROUPS: tuple[str, ...] = (
    "buffers",
    "jobs",
    "limits",
    "maintenance",
    "peers",
    "requests_overload",
    "requests_path",
    "shares",
    "spread",
    "faults",
    "control",
    "latency",
    "rolling",
)
RECORDS = Path(__file__).with_name("records")
NOTABLE_CHANGE = 0.2


def run_groups(groups: Iterable[str]) -> Iterator[Figure]:
    """Yield the figures of all groups.

    A group that raises an exception yields a figure that fails.
    """
    for group in groups:
        started = perf_counter()
        try:
            yield from import_module(f"bench.{group}").measure_figures()
        except Exception:
            traceback.print_exc()
            yield Figure(f"{group}_completed", 0, "runs", 1, Side.AT_LEAST)
        print(f"# {group}: {perf_counter() - started:.1f} s", flush=True)


def print_figures(figures: Iterable[Figure]) -> Iterator[Figure]:
    """Print each figure as it arrives and pass it on."""
    for figure in figures:
        print(figure.format_line(), flush=True)
        yield figure


def load_last_record() -> dict[str, float]:
    """Return the values of the newest recorded run by figure name."""
    records = sorted(RECORDS.glob("[0-9]*.json"))
    if not records:
        return {}
    figures = json.loads(records[-1].read_text())["figures"]
    return {figure["name"]: figure["value"] for figure in figures}


def describe_changes(
    figures: Iterable[Figure], last: dict[str, float]
) -> Iterator[str]:
    """Yield a line for each figure that differs much from the last record."""
    for figure in figures:
        before = last.get(figure.name)
        if before is None:
            continue
        if abs(figure.value - before) > NOTABLE_CHANGE * max(abs(before), 1e-9):
            yield f"# {figure.name}: {before:.6g} -> {figure.value:.6g} {figure.unit}"


def write_record(figures: Iterable[Figure]) -> Path:
    """Write the run to a file named by time and commit; return its path."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    now = datetime.now(UTC)
    RECORDS.mkdir(exist_ok=True)
    path = RECORDS / f"{now:%Y%m%dT%H%M%S}-{commit or 'unknown'}.json"
    record = {
        "time": now.isoformat(),
        "commit": commit,
        "figures": [asdict(figure) for figure in figures],
    }
    path.write_text(json.dumps(record, indent=1) + "\n")
    return path


def main() -> None:
    """Run the groups named on the command line, or all of them."""
    selected = tuple(sys.argv[1:]) or GROUPS
    figures = list(print_figures(run_groups(selected)))
    for line in describe_changes(figures, load_last_record()):
        print(line)
    if selected == GROUPS:
        print(f"# recorded in {write_record(figures)}")
    failed = [figure.name for figure in figures if not figure.holds()]
    if failed:
        print(f"# failed: {', '.join(failed)}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
