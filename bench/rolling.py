"""A rolling graceful replacement of all nine daemons under load.

Callers come through the balancer, which sees readiness with a lag. Daemons
are stopped with SIGTERM one after the other; each is started again under its
name, as a new instance would be, before the next one stops::

    python -m bench.rolling
"""

import time
from collections.abc import Iterator, Mapping
from threading import Event, Thread
from typing import Any

import httpx
from attrs import define, field

from bench.figures import Figure
from bench.fleet_runs import BenchFailed, find_repeatable, start_load, write_sheet
from emulator.checks import find_double_runs, find_false_answers
from emulator.fleet import Fleet
from emulator.load import LoadPlan, QueuePlan
from emulator.shapes import SAKDA

SEED = 4
RATE = 80.0
DEADLINE_MS = 2000
SERVICE_MS = 50.0
LEAD_SECONDS = 2.0
# More than the replacement takes; the load ends when its time is over.
LOAD_SECONDS = 60.0
STOP_BOUND_SECONDS = 20.0
POLL_SECONDS = 0.02
BALANCER_LAG_SECONDS = 0.5


@define
class ReadinessWatch:
    """Measures for how long fewer daemons than wanted were ready."""

    urls: list[str]
    wanted: int
    stopping: Event = field(factory=Event)
    longest_none: float = 0.0
    longest_short: float = 0.0

    def follow(self) -> None:
        """Poll the readiness of all daemons until told to stop."""
        none_since = short_since = time.monotonic()
        with httpx.Client(trust_env=False, timeout=1) as client:
            while not self.stopping.wait(POLL_SECONDS):
                count = sum(_is_ready(client, url) for url in self.urls)
                now = time.monotonic()
                none_since = now if count else none_since
                short_since = now if count >= self.wanted else short_since
                self.longest_none = max(self.longest_none, now - none_since)
                self.longest_short = max(self.longest_short, now - short_since)


def _is_ready(client: httpx.Client, url: str) -> bool:
    try:
        return client.get(url).status_code == 200
    except httpx.HTTPError:
        return False


def measure_figures() -> Iterator[Figure]:
    """Replace all daemons once and yield what it cost."""
    print(f"# rolling: seed {SEED}", flush=True)
    with Fleet(
        SAKDA, service_ms=SERVICE_MS, balancer_lag_seconds=BALANCER_LAG_SECONDS
    ) as fleet:
        fleet.start()
        fleet.apply_sheet(write_sheet(fleet, {}))
        keys = {team: fleet.grant_key(f"bench-{team}", team) for team in SAKDA.desks}
        load = start_load(fleet, "rolling", _make_plan(fleet, keys))
        watch = _watch_readiness(fleet)
        thread = Thread(target=watch.follow)
        thread.start()
        try:
            time.sleep(LEAD_SECONDS)
            began = time.monotonic()
            gaps = [_replace(fleet, name) for name in fleet.daemons]
            seconds = time.monotonic() - began
        finally:
            watch.stopping.set()
            thread.join()
        if not load.child.alive:
            raise BenchFailed(f"the replacement took {seconds:.0f} s, beyond the load")
        report = load.finish()
        runs = fleet.read_runs()
        repeatable = find_repeatable(fleet)
    total = report["total"]
    print(f"# rolling: {total['verdicts']} {total['codes']}")
    print(f"# rolling: seconds without each daemon {[round(gap, 1) for gap in gaps]}")
    lost = [entry for entry in report["requests"] if not _is_kept(entry)]
    for entry in lost[:10]:
        print(f"# rolling: lost {entry}")
    double = find_double_runs(runs, repeatable)
    answers = find_false_answers(report["requests"], runs)
    yield Figure("rolling_lost_requests", len(lost), "requests", 0)
    yield Figure("rolling_double_runs", len(double), "requests", 0)
    yield Figure("rolling_false_answers", len(answers), "requests", 0)
    yield Figure("rolling_readiness_gap_seconds", watch.longest_none, "s")
    yield Figure("rolling_longest_below_eight_ready", watch.longest_short, "s")
    yield Figure("rolling_longest_daemon_gap_seconds", max(gaps), "s")
    yield Figure("rolling_seconds", seconds, "s")
    yield Figure("rolling_latency_p99_ms", total["latency_ms"]["p99"], "ms")


def _make_plan(fleet: Fleet, keys: Mapping[str, str]) -> LoadPlan:
    wanted = (
        ("hinge-orders", "hinge"),
        ("clamp-quotes", "clamp"),
        ("ledger-postings", "ledger"),
    )
    queues = [
        QueuePlan(queue, team, RATE / len(wanted), keys[team], DEADLINE_MS)
        for queue, team in wanted
    ]
    return LoadPlan(
        [fleet.layout.balancer],
        queues,
        LOAD_SECONDS,
        SEED,
        callers=9,
        id_prefix="rolling",
        requests_per_connection=10,
    )


def _watch_readiness(fleet: Fleet) -> ReadinessWatch:
    urls = [f"http://{each.operator}/ready" for each in fleet.daemons.values()]
    return ReadinessWatch(urls, len(urls) - 1)


def _replace(fleet: Fleet, name: str) -> float:
    """Stop a daemon gracefully, start it again; return how long it was away."""
    child = fleet.daemons[name].running
    began = time.monotonic()
    child.terminate()
    code = child.wait(STOP_BOUND_SECONDS)
    if code != 0:
        raise BenchFailed(f"{name} ended with {code}\n{child.read_log_tail()}")
    fleet.start_daemon(name)
    fleet.wait_ready(name)
    return time.monotonic() - began


def _is_kept(entry: Mapping[str, Any]) -> bool:
    """Return whether a request was answered; there is no fault to excuse."""
    return entry["verdict"] == "answered" and entry["status"] < 400


if __name__ == "__main__":
    for figure in measure_figures():
        print(figure.format_line(), flush=True)
