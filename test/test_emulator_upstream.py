"""The upstream stand-in runs nothing that it refuses, and fails on demand."""

import random
from functools import partial

import httpx
import pytest
import trio

from emulator.executors import Executor, ServiceTimes
from emulator.upstream import UpstreamState
from emulator.web import serve_handler


class Harness:
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

    async def update_behaviour(self, **body):
        response = await self.client.post("/behaviour", json=body)
        assert response.status_code == 200, response.text

    async def record(self):
        return (await self.client.get("/record")).json()


@pytest.fixture
async def harness(nursery):
    times = ServiceTimes(0.05, 0.0, random.Random(1))
    executor = Executor("hinge-1", slots=2, connections=3, times=times)
    state = UpstreamState({0: executor})
    handler = partial(state.handle, executor)
    binds = await nursery.start(serve_handler, handler, ["127.0.0.1:0"])
    running = Harness(executor, binds[0])
    yield running
    with trio.CancelScope(shield=True):
        await running.client.aclose()
    nursery.cancel_scope.cancel()


async def test_run_echoes_the_request_id_and_is_recorded(harness):
    """Guards against a record that misses a run."""
    response = await harness.run("r1")
    assert response.headers["x-request-id"] == "r1"
    run = (await harness.record())["runs"][0]
    assert (run["request"], run["team"], run["queue"]) == ("r1", "hinge", "quotes")
    assert run["end"] - run["start"] >= 0.04


async def test_slots_bound_what_runs_and_connections_what_waits(harness):
    """Guards against an executor that runs more requests than it has slots."""
    found = []

    async def send(name):
        response = await harness.run(name)
        found.append((response.status_code, response.headers.get("x-not-run")))

    async with trio.open_nursery() as nursery:
        for number in range(5):
            nursery.start_soon(send, f"r{number}")
    assert sorted(found) == [(200, None)] * 3 + [(503, "full")] * 2
    assert (await harness.record())["executors"][0]["most_running"] == 2


async def test_expired_request_does_not_run(harness):
    """Guards against a run after its deadline."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.run, "r1")
        nursery.start_soon(harness.run, "r2")
        await trio.sleep(0.02)
        response = await harness.run("r3", deadline_ms=5)
    assert response.headers["x-not-run"] == "expired"
    assert {run["request"] for run in (await harness.record())["runs"]} == {"r1", "r2"}


async def test_leaving_executor_refuses(harness):
    """Guards against new work on an executor that leaves."""
    await harness.update_behaviour(leaving=True)
    assert (await harness.run("r1")).headers["x-not-run"] == "leaving"
    assert (await harness.record())["runs"] == []


@pytest.mark.parametrize("mode", ["lose_answer", "truncate"])
async def test_broken_answers_are_seen_by_the_client(harness, mode):
    """Guards against a truncated answer that looks complete."""
    await harness.update_behaviour(mode=mode, count=1)
    with pytest.raises(httpx.RemoteProtocolError):
        await harness.run("r1")
    assert (await harness.run("r2")).status_code == 200
    assert [run["outcome"] for run in (await harness.record())["runs"]] == [mode, "ok"]


async def test_other_modes(harness):
    """Guards against modes that have no effect."""
    await harness.update_behaviour(mode="wrong_id")
    assert (await harness.run("r1")).headers["x-request-id"] == "other-r1"
    await harness.update_behaviour(mode="fail_fast")
    assert (await harness.run("r2")).status_code == 500
    await harness.update_behaviour(mode="hang")
    with pytest.raises(httpx.ReadTimeout):
        await harness.run("r3")
    await harness.update_behaviour(mode="slow", factor=4)
    await harness.run("r4")
    last = (await harness.record())["runs"][-1]
    assert last["end"] - last["start"] >= 0.18


async def test_unknown_behaviour_is_refused(harness):
    """Guards against a misspelt switch that is ignored silently."""
    response = await harness.client.post("/behaviour", json={"mood": "bad"})
    assert response.status_code == 400
    assert "mood" in response.json()["detail"]
