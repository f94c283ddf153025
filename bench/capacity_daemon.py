"""Control overhead of daemon processes on loopback, idle and under load."""

import json
import time
from collections.abc import Iterator
from typing import Any

from emulator.fleet import Fleet
from emulator.load import LoadPlan, QueuePlan, run_plan
from emulator.shapes import SAKDA, SMALL, FleetShape

SETTLE_SECONDS = 5.0
WINDOW_SECONDS = 12.0
# Requests per second, in total over the daemons of the fleet, spread over one
# open queue of each desk that has one.
LOADS = (0.0, 20.0, 60.0)


class CountedFleet(Fleet):
    """A fleet whose daemons write their counters."""

    def start_daemon(self, name: str) -> None:
        """Start one daemon without waiting for it."""
        daemon = self.daemons[name]
        arguments = ["--settings", str(daemon.settings)]
        daemon.child = self.children.start(name, "bench.counted_daemon", arguments)

    def read_counters(self) -> list[dict[str, float]]:
        """Return the newest counters of all daemons."""
        return [
            json.loads(daemon.settings.with_suffix(".counters").read_text())
            for daemon in self.daemons.values()
        ]


def measure_daemons() -> Iterator[dict[str, Any]]:
    """Yield the costs of each fleet under each load.

    Rates and processor time are means per daemon; memory is the largest one.
    """
    for shape in (SMALL, SAKDA):
        with CountedFleet(shape) as fleet:
            fleet.start()
            fleet.apply_sheet()
            time.sleep(SETTLE_SECONDS)
            for rate in LOADS:
                yield _measure_window(fleet, shape, rate)


def _measure_window(
    fleet: CountedFleet, shape: FleetShape, rate: float
) -> dict[str, Any]:
    before = fleet.read_counters()
    good = _send_load(fleet, rate) if rate else _wait()
    after = fleet.read_counters()
    seconds = sum(map(_elapsed, before, after)) / len(after)

    def mean_rate(name: str) -> float:
        grown = sum(b[name] - a[name] for a, b in zip(before, after, strict=True))
        return grown / len(after) / seconds

    return {
        "fleet": f"{shape.name}, {shape.daemons} daemons",
        "load": "small load" if rate else "idle",
        "requests_per_second": good / seconds / len(after),
        "platform_bytes_per_second": mean_rate("platform_bytes"),
        "peer_bytes_per_second": mean_rate("peer_bytes"),
        "cpu_percent": 100 * mean_rate("cpu_seconds"),
        "rss_mb": max(entry["rss_mb"] for entry in after),
    }


def _elapsed(before: dict[str, float], after: dict[str, float]) -> float:
    return after["time"] - before["time"]


def _wait() -> int:
    time.sleep(WINDOW_SECONDS)
    return 0


def _send_load(fleet: CountedFleet, rate: float) -> int:
    """Send open requests to all daemons and return how many were answered."""
    queues = [
        QueuePlan(f"{desk}-stock", desk, rate / len(fleet.shape.desks))
        for desk in fleet.shape.desks
        if not desk.startswith("ledger")
    ]
    targets = [daemon.caller for daemon in fleet.daemons.values()]
    plan = LoadPlan(targets, queues, WINDOW_SECONDS, id_prefix=f"capacity-{rate:g}")
    return run_plan(plan)["total"]["good"]
