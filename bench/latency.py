"""Latency, goodput and shares of nine daemons in front of one pool.

The pool has few slots, so that its capacity is well below what the daemons
and the tools, all in Python, can carry on one machine::

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
LIGHT_CAPACITY = SHAPE.executors * SHAPE.slots / SERVICE_SECONDS
SLICES = 3
SLICE_SECONDS = 4.0
WARM_UP_SECONDS = 3.0
# The upstreams' waiting room holds 1.04 s of work at this factor, more than
# the callers' deadline, and 0.26 s at the smaller one.
SLOW_FACTOR = 8.0
SHORT_FACTOR = 2.0
DEADLINE_MS = 1000
# That of the sheet's quotes. With 1 s a daemon has room for 3 waiting
# requests, so the queue of the smaller team is empty at times.
SHARE_DEADLINE_MS = 2000
PEAK = 5.0
PEAK_SECONDS = 10.0
SETTLING_SECONDS = 3.0
SHARE_SECONDS = 14.0
# How many callers of each team are at each daemon.
SPREAD = {"hinge": (3, 2, 1, 1, 1, 1, 1, 1, 1), "clamp": (1, 1, 1, 1, 1, 1, 1, 2, 5)}
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
    """Yield the latency at half load, of daemons against the upstreams alone.

    Both are measured in turns, so that other load on the machine meets both.
    """
    executors = [place.address for place in fleet.executors.values()]
    queue = QueuePlan(
        "hinge-quotes", "hinge", LIGHT_CAPACITY / 2, keys["hinge"], DEADLINE_MS * 2
    )
    latencies: dict[str, list[float]] = {"daemons": [], "direct": []}
    for number in range(SLICES + 1):
        for way, targets in (("daemons", list_callers(fleet)), ("direct", executors)):
            plan = LoadPlan(
                targets,
                [queue],
                SLICE_SECONDS if number else WARM_UP_SECONDS,
                SEED + number,
                id_prefix=way,
                direct=way == "direct",
            )
            report = start_load(fleet, f"{way}-{number}", plan).finish()
            if number:
                latencies[way].extend(_list_latencies(report))
    for way, known in latencies.items():
        known.sort()
        shown = [round(find_quantile(known, part) * 1000, 1) for part in (0.5, 0.99)]
        print(f"# latency: {way} p50 and p99 {shown} ms of {len(known)} requests")
    p99 = {way: find_quantile(known, 0.99) for way, known in latencies.items()}
    p50 = {way: find_quantile(known, 0.5) for way, known in latencies.items()}
    ratio = p99["daemons"] / p99["direct"]
    yield Figure("latency_p99_vs_direct", ratio, "ratio", 1.5)
    yield Figure("latency_p50_vs_direct", p50["daemons"] / p50["direct"], "ratio")
    yield Figure("latency_p99_ms", p99["daemons"] * 1000, "ms")


def _list_latencies(report: Mapping[str, Any]) -> Iterator[float]:
    for entry in report["requests"]:
        if entry["verdict"] == "answered" and entry["status"] < 400:
            yield entry["end"] - entry["start"]


def measure_shares(fleet: Fleet, keys: Mapping[str, str]) -> Iterator[Figure]:
    """Yield how far two teams are from their shares in a peak.

    Each team alone asks for more than the pool can do, and the callers of
    both are spread differently over the daemons.
    """
    capacity = _slow_down(fleet, SLOW_FACTOR)
    plans = {
        team: LoadPlan(
            [
                target
                for target, count in zip(list_callers(fleet), SPREAD[team], strict=True)
                for _ in range(count)
            ],
            [
                QueuePlan(
                    f"{team}-quotes",
                    team,
                    PEAK / 2 * capacity,
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
    wanted = {team: share / sum(SHARES.values()) for team, share in SHARES.items()}
    error = max(
        abs(served[team] / max(1, served.total()) - part)
        for team, part in wanted.items()
    )
    print(f"# latency: served {dict(served)}, wanted parts {wanted}")
    yield Figure("share_error", error, "ratio", 0.05)


def measure_goodput(fleet: Fleet, keys: Mapping[str, str]) -> Iterator[Figure]:
    """Yield the goodput at five times the capacity against the naive path."""
    naive = _start_naive(fleet)
    capacity = _slow_down(fleet, SLOW_FACTOR)
    own = _run_peak(fleet, keys, "peak", list_callers(fleet), capacity)
    other = _run_peak(fleet, keys, "naive", naive, capacity)
    yield Figure(
        "goodput_at_5x_vs_naive", own / max(other, 1e-3), "ratio", 1.2, Side.AT_LEAST
    )
    yield Figure("goodput_at_5x_of_capacity", own, "ratio", 0.9, Side.AT_LEAST)
    yield Figure("goodput_at_5x_naive_of_capacity", other, "ratio")
    capacity = _slow_down(fleet, SHORT_FACTOR)
    own = _run_peak(fleet, keys, "short", list_callers(fleet), capacity)
    other = _run_peak(fleet, keys, "short-naive", naive, capacity)
    yield Figure("goodput_short_room_of_capacity", own, "ratio")
    yield Figure("goodput_short_room_naive_of_capacity", other, "ratio")


def _slow_down(fleet: Fleet, factor: float) -> float:
    """Multiply the service times; return the capacity in requests a second."""
    for executor in fleet.executors:
        fleet.set_behaviour(executor, mode="slow", factor=factor)
    return LIGHT_CAPACITY / factor


def _start_naive(fleet: Fleet) -> list[str]:
    """Start as many naive processes as there are daemons."""
    upstreams = ",".join(place.address for place in fleet.executors.values())
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


def _run_peak(
    fleet: Fleet,
    keys: Mapping[str, str],
    name: str,
    targets: Sequence[str],
    capacity: float,
) -> float:
    """Return the goodput from some seconds into the peak on, over capacity."""
    queue = QueuePlan(
        "hinge-quotes", "hinge", PEAK * capacity, keys["hinge"], DEADLINE_MS
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
