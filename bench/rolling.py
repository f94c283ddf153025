"""A rolling graceful replacement of all nine daemons under load.

Callers connect through the balancer, which sees changes of readiness with a
lag. Daemons are stopped with SIGTERM one after another. Each is started again
under its name, as a new instance would be, before the next one is stopped::

    python -m bench.rolling
"""

import time
from collections.abc import Iterator, Mapping
from threading import Event, Thread
from typing import Any

import httpx
from attrs import define, field

from bench.figures import Figure
from bench.fleet_runs import BenchmarkError, find_repeatable, start_load, write_sheet
from emulator.checks import find_double_runs, find_false_answers
from emulator.fleet import Fleet
from emulator.load import LoadPlan, QueuePlan
from emulator.shapes import SAKDA

SEED = 4
RATE = 80.0
DEADLINE_MS = 2000
SERVICE_MS = 50.0
LEAD_SECONDS = 2.0
# Longer than the replacement of all daemons; the load ends after this time.
LOAD_SECONDS = 36.0
STOP_BOUND_SECONDS = 20.0
POLL_SECONDS = 0.02
BALANCER_LAG_SECONDS = 0.5


@define
class ReadinessPoller:
    """Measures how long no daemon, or fewer than ``wanted``, were ready."""

    urls: list[str]
    wanted: int
    stopping: Event = field(factory=Event)
    longest_none_ready: float = 0.0
    longest_below_wanted: float = 0.0

    def poll(self) -> None:
        """Poll the readiness of all daemons until ``stopping`` is set."""
        none_since = short_since = time.monotonic()
        with httpx.Client(trust_env=False, timeout=1) as client:
            while not self.stopping.wait(POLL_SECONDS):
                count = sum(_is_ready(client, url) for url in self.urls)
                now = time.monotonic()
                none_since = now if count else none_since
                short_since = now if count >= self.wanted else short_since
                self.longest_none_ready = max(self.longest_none_ready, now - none_since)
                self.longest_below_wanted = max(
                    self.longest_below_wanted, now - short_since
                )


def _is_ready(client: httpx.Client, url: str) -> bool:
    try:
        return client.get(url).status_code == 200
    except httpx.HTTPError:
        return False


def measure_figures() -> Iterator[Figure]:
    """Replace all daemons once; yield the effect on requests and readiness."""
    print(f"# rolling: seed {SEED}", flush=True)
    with Fleet(
        SAKDA, service_ms=SERVICE_MS, balancer_lag_seconds=BALANCER_LAG_SECONDS
    ) as fleet:
        fleet.start()
        fleet.apply_sheet(write_sheet(fleet, {}))
        keys = {team: fleet.grant_key(f"bench-{team}", team) for team in SAKDA.desks}
        load = start_load(fleet, "rolling", _make_plan(fleet, keys))
        poller = _make_readiness_poller(fleet)
        thread = Thread(target=poller.poll)
        thread.start()
        try:
            time.sleep(LEAD_SECONDS)
            began = time.monotonic()
            gaps = [_replace(fleet, name) for name in fleet.daemons]
            seconds = time.monotonic() - began
        finally:
            poller.stopping.set()
            thread.join()
        if not load.child.alive:
            raise BenchmarkError(
                f"replacing all daemons took {seconds:.0f} s, longer than the load ran"
            )
        report = load.finish()
        runs = fleet.read_runs()
        repeatable = find_repeatable(fleet)
    total = report["total"]
    print(f"# rolling: {total['verdicts']} {total['codes']}")
    print(f"# rolling: seconds without each daemon {[round(gap, 1) for gap in gaps]}")
    lost = [entry for entry in report["requests"] if not _is_answered(entry)]
    for entry in lost[:10]:
        print(f"# rolling: lost {entry}")
    double_runs = find_double_runs(runs, repeatable)
    false_answers = find_false_answers(report["requests"], runs)
    yield Figure("rolling_lost_requests", len(lost), "requests", 0)
    yield Figure("rolling_double_runs", len(double_runs), "requests", 0)
    yield Figure("rolling_false_answers", len(false_answers), "requests", 0)
    yield Figure("rolling_readiness_gap_seconds", poller.longest_none_ready, "s")
    yield Figure("rolling_longest_below_eight_ready", poller.longest_below_wanted, "s")
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


def _make_readiness_poller(fleet: Fleet) -> ReadinessPoller:
    urls = [f"http://{each.operator}/ready" for each in fleet.daemons.values()]
    return ReadinessPoller(urls, len(urls) - 1)


def _replace(fleet: Fleet, name: str) -> float:
    """Restart a daemon gracefully; return how long it was not ready."""
    child = fleet.daemons[name].running
    began = time.monotonic()
    child.terminate()
    code = child.wait(STOP_BOUND_SECONDS)
    if code != 0:
        raise BenchmarkError(
            f"daemon {name} exited with code {code}\n{child.read_log_tail()}"
        )
    fleet.start_daemon(name)
    fleet.wait_ready(name)
    return time.monotonic() - began


def _is_answered(entry: Mapping[str, Any]) -> bool:
    """Return whether a request was answered; without faults all must be."""
    return entry["verdict"] == "answered" and entry["status"] < 400


if __name__ == "__main__":
    for figure in measure_figures():
        print(figure.format_line(), flush=True)
