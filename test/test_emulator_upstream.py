"""The upstream stand-in refuses truthfully and misbehaves on demand."""

import random
from functools import partial

import httpx
import pytest
import trio

from emulator.executors import Executor, ServiceTimes
from emulator.upstream import UpstreamState
from emulator.web import serve_handler


class Bench:
    """One executor in this process and a client for it."""

    def __init__(self, executor, url):
        self.executor = executor
        self.client = httpx.AsyncClient(base_url=url, trust_env=False, timeout=2)

    async def run(self, request_id, deadline_ms=2000, body=b"order"):
        headers = {
            "X-Request-Id": request_id,
            "X-Team": "hinge",
            "X-Deadline-Ms": str(deadline_ms),
        }
        return await self.client.post("/run/quotes", headers=headers, content=body)

    async def behave(self, **body):
        response = await self.client.post("/behaviour", json=body)
        assert response.status_code == 200, response.text

    async def record(self):
        return (await self.client.get("/record")).json()


@pytest.fixture
async def bench(nursery):
    times = ServiceTimes(0.05, 0.0, random.Random(1))
    executor = Executor("hinge-1", slots=2, connections=3, times=times)
    state = UpstreamState({0: executor})
    handler = partial(state.handle, executor)
    binds = await nursery.start(serve_handler, handler, ["127.0.0.1:0"])
    running = Bench(executor, binds[0])
    yield running
    with trio.CancelScope(shield=True):
        await running.client.aclose()
    nursery.cancel_scope.cancel()


async def test_run_echoes_the_request_id_and_is_recorded(bench):
    """Guards against a record that misses a run."""
    response = await bench.run("r1")
    assert response.headers["x-request-id"] == "r1"
    run = (await bench.record())["runs"][0]
    assert (run["request"], run["team"], run["queue"]) == ("r1", "hinge", "quotes")
    assert run["end"] - run["start"] >= 0.04


async def test_slots_bound_what_runs_and_connections_what_waits(bench):
    """Guards against an executor that runs more than its slots."""
    found = []

    async def send(name):
        response = await bench.run(name)
        found.append((response.status_code, response.headers.get("x-not-run")))

    async with trio.open_nursery() as nursery:
        for number in range(5):
            nursery.start_soon(send, f"r{number}")
    assert sorted(found) == [(200, None)] * 3 + [(503, "full")] * 2
    assert (await bench.record())["executors"][0]["most_running"] == 2


async def test_expired_request_does_not_run(bench):
    """Guards against a run after its deadline."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(bench.run, "r1")
        nursery.start_soon(bench.run, "r2")
        await trio.sleep(0.02)
        response = await bench.run("r3", deadline_ms=5)
    assert response.headers["x-not-run"] == "expired"
    assert {run["request"] for run in (await bench.record())["runs"]} == {"r1", "r2"}


async def test_leaving_executor_refuses(bench):
    """Guards against new work on an executor that leaves."""
    await bench.behave(leaving=True)
    assert (await bench.run("r1")).headers["x-not-run"] == "leaving"
    assert (await bench.record())["runs"] == []


@pytest.mark.parametrize("mode", ["lose_answer", "truncate"])
async def test_broken_answers_are_seen_by_the_client(bench, mode):
    """Guards against a truncated answer that looks complete."""
    await bench.behave(mode=mode, count=1)
    with pytest.raises(httpx.RemoteProtocolError):
        await bench.run("r1")
    assert (await bench.run("r2")).status_code == 200
    assert [run["outcome"] for run in (await bench.record())["runs"]] == [mode, "ok"]


async def test_other_modes(bench):
    """Guards against modes that have no effect."""
    await bench.behave(mode="wrong_id")
    assert (await bench.run("r1")).headers["x-request-id"] == "other-r1"
    await bench.behave(mode="fail_fast")
    assert (await bench.run("r2")).status_code == 500
    await bench.behave(mode="hang")
    with pytest.raises(httpx.ReadTimeout):
        await bench.run("r3")
    await bench.behave(mode="slow", factor=4)
    await bench.run("r4")
    last = (await bench.record())["runs"][-1]
    assert last["end"] - last["start"] >= 0.18


async def test_unknown_behaviour_is_refused(bench):
    """Guards against a misspelt switch that is ignored silently."""
    response = await bench.client.post("/behaviour", json={"mood": "bad"})
    assert response.status_code == 400
    assert "mood" in response.json()["detail"]
