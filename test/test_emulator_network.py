"""Balancer, link and load tool in front of a fake daemon."""

import random
from functools import partial

import httpx
import pytest
import trio

from emulator.arrivals import ArrivalPlan
from emulator.balancer import Backend, Balancer
from emulator.client import AnswerLost, CallerClient, NotConnected
from emulator.executors import ServiceTimes
from emulator.figures import Outcome, make_report
from emulator.link import Link, LinkState
from emulator.load import LoadPlan, LoadRun, QueuePlan
from emulator.web import WebResponse, serve_handler


class FakeDaemon:
    """Answers caller requests with a scripted verdict."""

    def __init__(self, verdict="answered", status=200):
        self.verdict = verdict
        self.status = status
        self.ready = True
        self.ids = []
        self.issued = 0

    async def handle(self, request):
        if request.path == "/ready":
            return WebResponse(200 if self.ready else 503)
        if request.path == "/v1/request-ids":
            self.issued += 2
            ids = b'{"ids":["i%d","i%d"]}' % (self.issued - 1, self.issued)
            return WebResponse(200, ids)
        request_id = request.header("x-request-id")
        self.ids.append(request_id)
        headers = (
            (b"x-verdict", self.verdict.encode()),
            (b"x-request-id", request_id.encode()),
            (b"retry-after", b"0.01"),
        )
        return WebResponse(self.status, b'{"code":"overloaded"}', headers)


async def start_daemon(nursery, daemon):
    binds = await nursery.start(serve_handler, daemon.handle, ["127.0.0.1:0"])
    return int(binds[0].rpartition(":")[2])


async def start_proxy(nursery, accept):
    serve = partial(trio.serve_tcp, accept, 0, host="127.0.0.1")
    listeners = await nursery.start(serve)
    return listeners[0].socket.getsockname()[1]


@pytest.fixture
async def daemon(nursery):
    running = FakeDaemon()
    running.port = await start_daemon(nursery, running)
    yield running
    nursery.cancel_scope.cancel()


def make_client(port):
    return CallerClient("127.0.0.1", port, 10)


async def test_balancer_uses_ready_backends_with_a_lag(daemon, nursery):
    """Guards against a balancer that follows readiness at once or never."""
    ready_url = f"http://127.0.0.1:{daemon.port}/ready"
    backend = Backend("127.0.0.1", daemon.port, ready_url)
    balancer = Balancer([backend], lag_seconds=0.3)
    nursery.start_soon(balancer.watch, backend)
    port = await start_proxy(nursery, balancer.accept)
    with pytest.raises(AnswerLost):
        await make_client(port).send("GET", "/x", {"X-Request-Id": "r1"})
    with trio.fail_after(5):
        while not backend.ready:
            await trio.sleep(0.05)
    await make_client(port).send("GET", "/x", {"X-Request-Id": "r2"})
    assert daemon.ids == ["r2"]
    daemon.ready = False
    with trio.fail_after(5):
        while backend.ready:
            await trio.sleep(0.05)


async def test_link_cuts_and_stalls(daemon, nursery):
    """Guards against a partition through which bytes still pass."""
    link = Link("dc1>dc2", 0, "127.0.0.1", daemon.port)
    state = LinkState([link])
    control = await nursery.start(serve_handler, state.handle, ["127.0.0.1:0"])
    client = make_client(await start_proxy(nursery, link.accept))

    async def set_mode(mode, names=("dc1>*",)):
        body = {"names": list(names), "mode": mode}
        async with httpx.AsyncClient(trust_env=False) as http:
            return (await http.post(f"{control[0]}/links", json=body)).status_code

    await client.send("GET", "/x", {"X-Request-Id": "r1"})
    assert await set_mode("drop") == 200
    with trio.move_on_after(0.2) as scope:
        await client.send("GET", "/x", {"X-Request-Id": "r2"})
    assert scope.cancelled_caught
    assert await set_mode("cut") == 200
    with pytest.raises((AnswerLost, NotConnected)):
        await client.send("GET", "/x", {"X-Request-Id": "r3"})
    assert await set_mode("up") == 200
    await client.send("GET", "/x", {"X-Request-Id": "r4"})
    assert await set_mode("cut", ["other"]) == 404
    assert daemon.ids == ["r1", "r4"]


def make_plan(port, **values):
    queue = QueuePlan("quotes", "hinge", rate=200)
    return LoadPlan([f"127.0.0.1:{port}"], [queue], seconds=0.3, **values)


async def test_load_reports_each_request_once(daemon):
    """Guards against requests that the report leaves out."""
    report = await LoadRun(make_plan(daemon.port)).run()
    assert sorted(daemon.ids) == sorted(entry["id"] for entry in report["requests"])
    assert len(set(daemon.ids)) == len(daemon.ids) > 20
    assert report["teams"]["hinge"]["verdicts"] == {"answered": len(daemon.ids)}


async def test_load_is_bounded_in_count(daemon):
    """Guards against a load that sends more than ``max_requests``."""
    await LoadRun(make_plan(daemon.port, max_requests=5)).run()
    assert len(daemon.ids) == 5


async def test_load_retries_only_what_did_not_run(daemon):
    """Guards against a caller that repeats a request that may have run."""
    daemon.verdict, daemon.status = "not-run", 503
    report = await LoadRun(make_plan(daemon.port, max_requests=1, retries=2)).run()
    assert report["total"]["attempts"] == 3
    assert report["total"]["codes"] == {"overloaded": 1}
    daemon.verdict, daemon.status = "may-have-run", 504
    report = await LoadRun(make_plan(daemon.port, max_requests=1, retries=2)).run()
    assert report["total"]["attempts"] == 1


async def test_load_uses_issued_ids(daemon):
    """Guards against ids of the load tool where issued ones are measured."""
    await LoadRun(make_plan(daemon.port, max_requests=2, ids="issued")).run()
    assert len(set(daemon.ids)) == 2
    assert set(daemon.ids) <= {f"i{number}" for number in range(daemon.issued + 1)}


async def test_load_reports_unreachable_targets(nursery):
    """Guards against counting requests to unreachable targets as answered."""
    report = await LoadRun(make_plan(1, max_requests=2)).run()
    assert report["total"]["verdicts"] == {"not_connected": 2}


def test_arrivals_are_seeded_and_peak_in_turn():
    """Guards against a load that differs between runs or has no peaks."""
    plan = ArrivalPlan([100, 100], peak_seconds=2, seconds=8, seed=3)
    arrivals = list(plan.generate())
    assert arrivals == list(plan.generate())
    assert [entry.at for entry in arrivals] == sorted(entry.at for entry in arrivals)
    peak = sum(1 for entry in arrivals if entry.queue == int(entry.at / 2) % 2)
    assert 3800 < peak < 4200
    assert 20 < len(arrivals) - peak < 65


def test_report_counts_mismatched_answers():
    """Guards against an answer to another request that counts as good."""
    outcome = Outcome("r1", "hinge", "quotes", start=0.0)
    outcome.record_answer(200, {"x-request-id": "r2", "x-verdict": "answered"}, b"")
    report = make_report([outcome], begin=0.0, seconds=1.0, skipped=0)
    assert (report["total"]["mismatched"], report["total"]["good"]) == (1, 0)


def test_service_times_are_seeded():
    """Guards against benchmarks whose service times differ between runs."""
    first = ServiceTimes(0.02, 0.3, random.Random("1 a"))
    second = ServiceTimes(0.02, 0.3, random.Random("1 a"))
    draws = [first.draw() for _ in range(100)]
    assert draws == [second.draw() for _ in range(100)]
    assert 0.014 <= min(draws) and max(draws) <= 0.026
