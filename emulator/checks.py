"""Invariant checks that compare callers' reports with the stand-ins' records.

The requests come from a load report, the runs from ``Fleet.read_runs`` and
the events from the platform's record.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import Any

Entry = Mapping[str, Any]


def find_double_runs(
    runs: Iterable[Entry], repeatable: Collection[str] = ()
) -> list[str]:
    """Return the requests that ran twice, except on repeatable queues."""
    counts = Counter(run["request"] for run in runs if run["queue"] not in repeatable)
    return [request for request, count in counts.items() if count > 1]


def find_false_refusals(requests: Iterable[Entry], runs: Iterable[Entry]) -> list[str]:
    """Return the requests that were answered "not run" although they ran."""
    ran = {run["request"] for run in runs}
    refused = {entry["id"] for entry in requests if entry["verdict"] == "not-run"}
    return sorted(refused & ran)


def find_false_answers(requests: Iterable[Entry], runs: Iterable[Entry]) -> list[str]:
    """Return the answered requests that never ran or got another's answer."""
    ran = {run["request"] for run in runs}
    answered = (entry for entry in requests if entry["verdict"] == "answered")
    return [
        entry["id"]
        for entry in answered
        if entry["mismatched"] or entry["id"] not in ran
    ]


def find_unanswered(requests: Iterable[Entry]) -> list[Entry]:
    """Return the requests whose caller got no verdict."""
    known = ("answered", "not-run", "may-have-run")
    return [entry for entry in requests if entry["verdict"] not in known]


def measure_overlap(runs: Iterable[Entry]) -> dict[str, int]:
    """Return the largest number of concurrent runs, by team."""
    steps: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for run in runs:
        steps[run["team"]].append((run["start"], 1))
        if run["end"] is not None:
            steps[run["team"]].append((run["end"], -1))
    return {team: _find_peak(sorted(entries)) for team, entries in steps.items()}


def find_late_starts(
    runs: Iterable[Entry], executor: str, moment: float
) -> list[Entry]:
    """Return the runs that an executor started after the time ``moment``."""
    return [
        run for run in runs if run["executor"] == executor and run["start"] > moment
    ]


def find_interrupted(runs: Iterable[Entry]) -> list[str]:
    """Return the requests that a reboot of their executor interrupted."""
    return [run["request"] for run in runs if run["outcome"] == "interrupted"]


def find_double_starts(events: Iterable[Entry]) -> list[str]:
    """Return the tasks that ran on two workers at once."""
    active: dict[str, set[tuple[str, int]]] = defaultdict(set)
    found = []
    for event in events:
        if event["event"] == "task_start":
            active[event["task"]].add((event["worker"], event["fence"]))
            if len(active[event["task"]]) > 1:
                found.append(event["task"])
        elif event["event"] == "task_end":
            active[event["task"]].discard((event["worker"], event["fence"]))
    return found


def find_budget_violations(
    events: Iterable[Entry], budgets: Mapping[str, int]
) -> list[Entry]:
    """Return the events after which a pool exceeded its budget.

    The budget limits the instances of a pool that are out of service: those
    that are draining, drained, rebooting or unhealthy after a reboot.
    """
    out: dict[str, set[str]] = defaultdict(set)
    found = []
    for event in events:
        pool = event.get("pool", "")
        match event["event"]:
            case "drain" | "reboot":
                out[pool].add(event["instance"])
            case "undrain":
                out[pool].discard(event["instance"])
            case "rebooted" if event["healthy"]:
                out[pool].discard(event["instance"])
            case _:
                continue
        if pool in budgets and len(out[pool]) > budgets[pool]:
            found.append(event)
    return found


def list_starts(events: Iterable[Entry]) -> Iterator[tuple[str, str]]:
    """Yield the task and the worker of each start."""
    for event in events:
        if event["event"] == "task_start":
            yield event["task"], event["worker"]


def _find_peak(steps: Sequence[tuple[float, int]]) -> int:
    level = peak = 0
    for _, change in steps:
        level += change
        peak = max(peak, level)
    return peak
