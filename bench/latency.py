"""Latency, goodput and shares of nine daemons in front of one pool.

The pool has few slots, so that its capacity is well below the throughput of
the daemons and the load generators, all in Python, on one machine::

    python -m bench.latency
"""

import csv
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

from bench.figures import Figure, Side
from bench.fleet_runs import list_callers, start_load
from emulator.figures import find_quantile
from emulator.fleet import SHEETS, Fleet, read_sheet
from emulator.load import LoadPlan, QueuePlan
from emulator.shapes import SAKDA, FleetShape

SEED = 3
SHAPE = FleetShape(
    name="latency",
    region=SAKDA.region,
    data_centres=("bkk-1",),
    desks=("hinge",),
    executors=2,
    slots=4,
    connections=30,
    workers=0,
    daemons=9,
    sheet=SAKDA.sheet,
)
POOL = "hinge"
SHARES = {"hinge": 3.0, "clamp": 2.0}
SERVICE_SECONDS = 0.02
BASE_CAPACITY = SHAPE.executors * SHAPE.slots / SERVICE_SECONDS
SLICES = 3
SLICE_SECONDS = 4.0
WARM_UP_SECONDS = 3.0
# With this factor a full upstream has 1.04 s of work waiting, more than the
# callers' deadline.
SLOW_FACTOR = 8.0
DEADLINE_MS = 1000
# The deadline of quotes in the sheet. With 1 s a daemon can queue only 3
# requests, so the queue of the team with the smaller share is empty at times.
SHARE_DEADLINE_MS = 2000
PEAK_FACTOR = 5.0
PEAK_SECONDS = 10.0
SETTLING_SECONDS = 3.0
SHARE_SECONDS = 14.0
# Number of callers of each team at each daemon.
CALLERS_BY_DAEMON = {
    "hinge": (3, 2, 1, 1, 1, 1, 1, 1, 1),
    "clamp": (1, 1, 1, 1, 1, 1, 1, 2, 5),
}
NAIVE_PORT = 8110


def measure_figures() -> Iterator[Figure]:
    """Start one fleet and yield all figures."""
    print(f"# latency: seed {SEED}", flush=True)
    with Fleet(SHAPE, service_ms=SERVICE_SECONDS * 1000) as fleet:
        fleet.start_processes()
        fleet.apply_sheet(write_pool_sheet(fleet))
        keys = {team: fleet.grant_key(f"bench-{team}", team) for team in SHARES}
        yield from measure_latency(fleet, keys)
        yield from measure_shares(fleet, keys)
        yield from measure_goodput(fleet, keys)


def write_pool_sheet(fleet: Fleet) -> Path:
    """Write a sheet with one pool that two teams share."""
    rows = read_sheet(SHEETS / SAKDA.sheet)
    path = fleet.children.directory / "pool.csv"
    with path.open("w", encoding="utf-8", newline="") as stream:
        writer = csv.DictWriter(stream, rows[0])
        writer.writeheader()
        for row in rows:
            match row:
                case {"kind": "team", "name": name} if name in SHARES:
                    writer.writerow(row | {"share": f"{SHARES[name]:g}"})
                case {"kind": "pool", "name": name} if name == POOL:
                    size = str(SHAPE.executors)
                    cells = {"data_centres": SHAPE.data_centres[0], "size": size}
                    writer.writerow(row | cells)
                case {"kind": "queue", "team": team} if team in SHARES:
                    writer.writerow(row | {"pool": POOL, "spare_pool": ""})
    return path


def measure_latency(fleet: Fleet, keys: Mapping[str, str]) -> Iterator[Figure]:
    """Yield the latency at half load, compared with direct calls of upstreams.

    Both are measured alternately, so that other load on the machine affects
    both.
    """
    executors = [executor.address for executor in fleet.executors.values()]
    queue = QueuePlan(
        "hinge-quotes", "hinge", BASE_CAPACITY / 2, keys["hinge"], DEADLINE_MS * 2
    )
    latencies: dict[str, list[float]] = {"daemons": [], "direct": []}
    for number in range(SLICES + 1):
        for path, targets in (("daemons", list_callers(fleet)), ("direct", executors)):
            plan = LoadPlan(
                targets,
                [queue],
                SLICE_SECONDS if number else WARM_UP_SECONDS,
                SEED + number,
                id_prefix=path,
                direct=path == "direct",
            )
            report = start_load(fleet, f"{path}-{number}", plan).finish()
            if number:
                latencies[path].extend(_list_latencies(report))
    for path, samples in latencies.items():
        samples.sort()
        quantiles = [
            round(find_quantile(samples, fraction) * 1000, 1)
            for fraction in (0.5, 0.99)
        ]
        print(
            f"# latency: {path} p50 and p99 {quantiles} ms of {len(samples)} requests"
        )
    p99 = {path: find_quantile(samples, 0.99) for path, samples in latencies.items()}
    p50 = {path: find_quantile(samples, 0.5) for path, samples in latencies.items()}
    ratio = p99["daemons"] / p99["direct"]
    yield Figure("latency_p99_vs_direct", ratio, "ratio", 1.5)
    yield Figure("latency_p50_vs_direct", p50["daemons"] / p50["direct"], "ratio")
    yield Figure("latency_p99_ms", p99["daemons"] * 1000, "ms")


def _list_latencies(report: Mapping[str, Any]) -> Iterator[float]:
    for entry in report["requests"]:
        if entry["verdict"] == "answered" and entry["status"] < 400:
            yield entry["end"] - entry["start"]


def measure_shares(fleet: Fleet, keys: Mapping[str, str]) -> Iterator[Figure]:
    """Yield the deviation of two teams from their shares in a peak.

    Each team alone asks for more than the capacity of the pool. Their callers
    are distributed differently over the daemons.
    """
    capacity = _slow_down(fleet, SLOW_FACTOR)
    plans = {
        team: LoadPlan(
            [
                target
                for target, count in zip(
                    list_callers(fleet), CALLERS_BY_DAEMON[team], strict=True
                )
                for _ in range(count)
            ],
            [
                QueuePlan(
                    f"{team}-quotes",
                    team,
                    PEAK_FACTOR / 2 * capacity,
                    keys[team],
                    SHARE_DEADLINE_MS,
                )
            ],
            SHARE_SECONDS,
            SEED,
            id_prefix=f"share-{team}",
        )
        for team in SHARES
    }
    loads = [start_load(fleet, f"share-{team}", plans[team]) for team in plans]
    reports = [load.finish() for load in loads]
    began = max(report["begin"] for report in reports)
    starts = [
        run
        for run in fleet.read_runs()
        if began + SETTLING_SECONDS <= run["start"] < began + SHARE_SECONDS
    ]
    served = Counter(run["team"] for run in starts)
    expected = {team: share / sum(SHARES.values()) for team, share in SHARES.items()}
    error = max(
        abs(served[team] / max(1, served.total()) - fraction)
        for team, fraction in expected.items()
    )
    print(f"# latency: served {dict(served)}, expected fractions {expected}")
    yield Figure("share_error", error, "ratio", 0.05)


def measure_goodput(fleet: Fleet, keys: Mapping[str, str]) -> Iterator[Figure]:
    """Yield the goodput of daemons and naive path at 5 times the capacity."""
    naive_targets = _start_naive(fleet)
    capacity = _slow_down(fleet, SLOW_FACTOR)
    goodput = _measure_peak(fleet, keys, "peak", list_callers(fleet), capacity)
    naive_goodput = _measure_peak(fleet, keys, "naive", naive_targets, capacity)
    yield Figure(
        "goodput_at_5x_vs_naive",
        goodput / max(naive_goodput, 1e-3),
        "ratio",
        1.2,
        Side.AT_LEAST,
    )
    yield Figure("goodput_at_5x_of_capacity", goodput, "ratio", 0.9, Side.AT_LEAST)
    yield Figure("goodput_at_5x_naive_of_capacity", naive_goodput, "ratio")


def _slow_down(fleet: Fleet, factor: float) -> float:
    """Multiply the service times; return the capacity in requests a second."""
    for executor in fleet.executors:
        fleet.set_behaviour(executor, mode="slow", factor=factor)
    return BASE_CAPACITY / factor


def _start_naive(fleet: Fleet) -> list[str]:
    """Start as many naive processes as there are daemons."""
    upstreams = ",".join(executor.address for executor in fleet.executors.values())
    addresses = []
    for daemon in fleet.daemons.values():
        name = f"naive-{daemon.name}"
        arguments = [
            f"--host={daemon.host}",
            f"--port={NAIVE_PORT}",
            f"--upstreams={upstreams}",
        ]
        fleet.children.start(name, "bench.naive", arguments)
        addresses.append(f"{daemon.host}:{NAIVE_PORT}")
    for daemon, address in zip(fleet.daemons.values(), addresses, strict=True):
        fleet.wait_http(f"http://{address}/ready", f"naive-{daemon.name}")
    return addresses


def _measure_peak(
    fleet: Fleet,
    keys: Mapping[str, str],
    name: str,
    targets: Sequence[str],
    capacity: float,
) -> float:
    """Return goodput over capacity in the peak, without its settling time."""
    queue = QueuePlan(
        "hinge-quotes", "hinge", PEAK_FACTOR * capacity, keys["hinge"], DEADLINE_MS
    )
    plan = LoadPlan(list(targets), [queue], PEAK_SECONDS, SEED, id_prefix=name)
    report = start_load(fleet, name, plan).finish()
    begin = report["begin"] + SETTLING_SECONDS
    end = report["begin"] + PEAK_SECONDS
    good = sum(
        begin <= entry["end"] < end
        for entry in report["requests"]
        if entry["verdict"] == "answered"
        and entry["status"] < 400
        and entry["end"] - entry["start"] <= DEADLINE_MS / 1000
    )
    total = report["total"]
    print(f"# latency: {name} {total['verdicts']} {total['codes']}")
    return good / (end - begin) / capacity


if __name__ == "__main__":
    for figure in measure_figures():
        print(figure.format_line(), flush=True)
