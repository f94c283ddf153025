"""Faults against daemons that run as separate processes.

No check depends on speed: a test waits for what must happen eventually, and
then checks what must never happen.
"""

import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from emulator.checks import find_double_runs, find_false_refusals
from emulator.fleet import Fleet
from emulator.shapes import SMALL

TEAM = "hinge"
ORDERS = "hinge-orders"
QUOTES = "hinge-quotes"
STOCK = "hinge-stock"
FIRST, SECOND = "entry-1", "entry-2"
EVENTUALLY_SECONDS = 20
FRESHNESS_SECONDS = 2
# A proof of freshness from before this wait has certainly expired.
BEYOND_FRESHNESS_SECONDS = FRESHNESS_SECONDS + 1
REPETITIONS = 5

FAST_SETTINGS = {
    "daemon": {"balancer_lag_seconds": 0.2},
    "platform": {"timeout_seconds": 1, "instance_poll_seconds": 0.3},
    "peers": {
        "interval_seconds": 0.3,
        "timeout_seconds": 0.5,
        "suspect_after_seconds": 2,
    },
    "configuration": {"poll_seconds": 0.4},
    "keys": {"freshness_seconds": FRESHNESS_SECONDS},
    "limits": {"lease_seconds": 3, "renew_seconds": 0.5, "margin_seconds": 0.5},
    "requests": {"max_deadline_seconds": 5},
}


class Callers:
    """Callers of team hinge, which record the verdicts that they get."""

    def __init__(self, fleet, key):
        self.fleet = fleet
        self.key = key
        self.verdicts = []

    def send(self, daemon, queue, request_id=None):
        headers = {"X-Team": TEAM}
        if queue != STOCK:
            headers["Authorization"] = f"Bearer {self.key}"
        if request_id is not None:
            headers["X-Request-Id"] = request_id
        url = f"http://{self.fleet.daemons[daemon].caller}/v1/queues/{queue}"
        response = httpx.post(
            url, headers=headers, content=b"2", timeout=15, trust_env=False
        )
        returned_id = response.headers["X-Request-Id"]
        verdict = response.headers["X-Verdict"]
        self.verdicts.append({"id": returned_id, "verdict": verdict})
        code = "" if verdict == "answered" else response.json()["code"]
        return verdict, code

    def look_up(self, daemon, request_id):
        headers = {"X-Team": TEAM, "Authorization": f"Bearer {self.key}"}
        url = f"http://{self.fleet.daemons[daemon].caller}/v1/requests/{request_id}"
        response = httpx.get(url, headers=headers, timeout=15, trust_env=False)
        return response.headers["X-Verdict"]

    def wait_for(self, daemon, queue, expected, prefix=None):
        """Send requests until one ends as expected; return their number."""
        count = 0

        def attempt():
            nonlocal count
            count += 1
            request_id = None if prefix is None else f"{prefix}-{count}"
            return self.send(daemon, queue, request_id) == expected

        self.fleet.wait_until(attempt, EVENTUALLY_SECONDS)
        return count

    def count_runs(self, request_id):
        runs = self.fleet.read_runs()
        return sum(run["request"] == request_id for run in runs)

    def check(self):
        """Check the upstreams' record against the recorded verdicts."""
        runs = self.fleet.read_runs()
        assert find_double_runs(runs, repeatable={QUOTES, STOCK}) == []
        assert find_false_refusals(self.verdicts, runs) == []
        ran = {run["request"] for run in runs}
        answered = {
            entry["id"] for entry in self.verdicts if entry["verdict"] == "answered"
        }
        assert answered <= ran


ANSWERED = ("answered", "")


@pytest.fixture
def callers():
    with Fleet(SMALL, overrides=FAST_SETTINGS, linked=True) as fleet:
        fleet.start_platform()
        fleet.start_links()
        fleet.start_upstreams()
        fleet.start_daemons()
        fleet.apply_sheet()
        fleet_callers = Callers(fleet, fleet.grant_key("dealer", TEAM))
        for daemon in (FIRST, SECOND):
            fleet_callers.wait_for(daemon, ORDERS, ANSWERED, f"warm-{daemon}")
        yield fleet_callers
        fleet_callers.check()


def test_order_of_a_killed_daemon_runs_once(callers):
    """Guards against an order that runs again after its daemon was killed."""
    fleet = callers.fleet
    for executor in ("hinge-1", "hinge-2"):
        fleet.set_behaviour(executor, mode="slow", factor=50, count=1)
    with ThreadPoolExecutor(1) as threads:
        sent = threads.submit(callers.send, FIRST, ORDERS, "order-1")
        fleet.wait_until(lambda: callers.count_runs("order-1") == 1, EVENTUALLY_SECONDS)
        fleet.daemons[FIRST].running.kill()
        assert isinstance(sent.exception(), httpx.HTTPError)
    assert callers.look_up(SECOND, "order-1") == "may-have-run"
    verdict, _ = callers.send(SECOND, ORDERS, "order-1")
    assert verdict == "may-have-run"
    assert callers.count_runs("order-1") == 1
    callers.wait_for(SECOND, ORDERS, ANSWERED, "after-kill")


def test_paused_daemon_does_not_accept_a_withdrawn_key(callers):
    """Guards against accepting a key that was withdrawn during a pause."""
    fleet = callers.fleet
    child = fleet.daemons[FIRST].running
    child.pause()
    with ThreadPoolExecutor(1) as threads:
        sent = threads.submit(callers.send, FIRST, QUOTES, "paused-1")
        fleet.ctl("key", "withdraw", "dealer", daemon=SECOND)
        callers.wait_for(SECOND, QUOTES, ("not-run", "key_refused"))
        time.sleep(BEYOND_FRESHNESS_SECONDS)
        child.resume()
        assert sent.result()[0] == "not-run"
    callers.wait_for(FIRST, QUOTES, ("not-run", "key_refused"))
    assert callers.count_runs("paused-1") == 0


def test_platform_outage_stops_only_new_claims(callers):
    """Guards against an outage that stops keyed requests without a claim."""
    fleet = callers.fleet
    fleet.set_faults(table={"mode": "down", "scope": "all"})
    for daemon in (FIRST, SECOND):
        refused = ("not-run", "claim_unavailable")
        callers.wait_for(daemon, ORDERS, refused, f"outage-{daemon}")
    time.sleep(BEYOND_FRESHNESS_SECONDS)
    for daemon in (FIRST, SECOND):
        callers.wait_for(daemon, QUOTES, ANSWERED)
        callers.wait_for(daemon, ORDERS, ANSWERED)
    fleet.set_faults(table={"mode": "up"})
    for daemon in (FIRST, SECOND):
        callers.wait_for(daemon, ORDERS, ANSWERED, f"after-{daemon}")


def test_cut_data_centre_refuses_keys_and_serves_open_queues(callers):
    """Guards against a cut-off daemon that accepts keys without a proof."""
    fleet = callers.fleet
    fleet.cut("dc2")
    not_fresh = ("not-run", "configuration_not_fresh")
    callers.wait_for(SECOND, QUOTES, not_fresh)
    for _ in range(REPETITIONS):
        assert callers.send(SECOND, QUOTES) == not_fresh
    callers.wait_for(SECOND, STOCK, ANSWERED)
    callers.wait_for(FIRST, QUOTES, ANSWERED)
    fleet.heal("dc2")
    callers.wait_for(SECOND, QUOTES, ANSWERED)
    callers.wait_for(SECOND, ORDERS, ANSWERED, "healed")


def test_peers_prove_freshness_while_only_the_platform_is_cut(callers):
    """Guards against a data centre that stops while its peers answer."""
    fleet = callers.fleet
    fleet.set_faults(cut_data_centres=["dc2"])
    refused = ("not-run", "claim_unavailable")
    callers.wait_for(SECOND, ORDERS, refused, "cut")
    time.sleep(BEYOND_FRESHNESS_SECONDS)
    for _ in range(REPETITIONS):
        callers.wait_for(SECOND, QUOTES, ANSWERED)
    fleet.set_faults(cut_data_centres=[])
    callers.wait_for(SECOND, ORDERS, ANSWERED, "healed")
