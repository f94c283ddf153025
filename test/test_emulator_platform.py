"""The platform stand-in behaves as the HTTP adapter expects."""

import httpx
import pytest
import trio

from emulator.platform import PlatformState
from emulator.web import serve_handler
from hemlockstand.errors import (
    InvalidInput,
    NotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    TableConflict,
)
from hemlockstand.model import Priority
from hemlockstand.platform.http import HttpPlatform
from hemlockstand.platform.interface import (
    Check,
    Delete,
    Put,
    Row,
    Shape,
    TaskStart,
    TaskState,
)


class Bench:
    """A platform stand-in in this process and a client for its switches."""

    def __init__(self, state, url, nursery):
        self.state = state
        self.platform = HttpPlatform(url, 5.0)
        self.control = httpx.AsyncClient(base_url=url, trust_env=False)
        self.nursery = nursery

    async def post(self, path, **body):
        response = await self.control.post(path, json=body)
        assert response.status_code == 200, response.text

    async def add(self, name, kind="worker"):
        await self.post(
            "/instances",
            id=name,
            kind=kind,
            region="central",
            data_centre="dc1",
            rack="r1",
            address="127.0.0.1:1",
        )


@pytest.fixture
async def bench(nursery):
    state = PlatformState()
    binds = await nursery.start(serve_handler, state.handle, ["127.0.0.1:0"])
    running = Bench(state, binds[0], nursery)
    nursery.start_soon(state.run_clock)
    yield running
    with trio.CancelScope(shield=True):
        await running.platform.close()
        await running.control.aclose()
    nursery.cancel_scope.cancel()


def make_start(task="clean/1", fence=1, lease=5.0, **payload):
    shape = Shape(cores=2, memory_mb=512)
    return TaskStart(task, fence, lease, shape, Priority.BATCH, payload)


async def test_transaction_applies_all_or_nothing(bench):
    """Guards against a conflict that leaves part of a transaction behind."""
    table = bench.platform.table
    versions = await table.transact([Put("a/1", {"n": 1}, 0), Put("a/2", {}, None)])
    assert versions[0] < versions[1]
    with pytest.raises(TableConflict) as caught:
        await table.transact([Put("a/3", {}, 0), Put("a/1", {"n": 2}, 0)])
    assert caught.value.keys == ["a/1"]
    rows = await table.read_many(["a/3", "a/1"])
    assert rows == [Row("a/3", {}, 0), Row("a/1", {"n": 1}, versions[0])]
    checked = [Check("a/1", versions[0]), Delete("a/2", versions[1])]
    assert await table.transact(checked) == (versions[0], 0)
    assert (await table.read("a/2")).version == 0


async def test_scan_pages_in_key_order(bench):
    """Guards against rows that a paged scan skips or repeats."""
    table = bench.platform.table
    for number in (3, 1, 2):
        await table.transact([Put(f"s/{number}", {"n": number}, 0)])
    await table.transact([Put("t/1", {}, 0)])
    first = await table.scan("s/", limit=2)
    rest = await table.scan("s/", after=first[-1].key)
    assert [row.key for row in first + rest] == ["s/1", "s/2", "s/3"]


async def test_malformed_transaction_is_refused(bench):
    """Guards against bad input that is taken for a lost reply."""
    with pytest.raises(InvalidInput):
        await bench.platform.table.transact([Put("a", [1], 0)])


async def test_outage_applies_nothing_and_lost_reply_applies(bench):
    """Guards against a stand-in that confuses the two kinds of failure."""
    table = bench.platform.table
    await bench.post("/faults", table={"mode": "down"})
    with pytest.raises(PlatformUnavailable):
        await table.transact([Put("a", {}, 0)])
    await bench.post("/faults", table={"mode": "lose_replies"})
    with pytest.raises(OutcomeUnknown):
        await table.transact([Put("b", {}, 0)])
    await bench.post("/faults", table={"mode": "up"})
    assert [row.version for row in await table.read_many(["a", "b"])] == [0, 1]


async def test_cut_data_centre_gets_no_answer(bench):
    """Guards against writes from a data centre that is cut off."""
    await bench.post("/faults", cut_data_centres=["dc2"])
    body = {"operations": [{"op": "put", "key": "a", "value": {}, "expected": 0}]}
    with trio.move_on_after(0.2) as scope:
        await bench.control.post(
            "/table/transact", json=body, headers={"X-Data-Centre": "dc2"}
        )
    assert scope.cancelled_caught
    assert (await bench.platform.table.read("a")).version == 0


async def test_objects(bench):
    """Guards against snapshots that come back changed."""
    await bench.platform.objects.put("snapshots/1", b"\x00\xff")
    assert await bench.platform.objects.get("snapshots/1") == b"\x00\xff"
    with pytest.raises(NotFound):
        await bench.platform.objects.get("snapshots/2")


async def wait_state(bench, worker, task, state):
    with trio.fail_after(5):
        while True:
            report = await bench.platform.workers.report(worker)
            found = {entry.task: entry for entry in report.tasks}[task]
            if found.state == state:
                return found
            await trio.sleep(0.02)


async def test_task_runs_for_its_actual_duration(bench):
    """Guards against tasks that never end or whose real size is hidden."""
    await bench.add("w1")
    await bench.post("/faults", usage_lag_seconds=0)
    start = make_start(duration_seconds=0.2, memory_mb=900)
    await bench.platform.workers.start("w1", start)
    running = (await bench.platform.workers.report("w1")).tasks[0]
    assert running.state == TaskState.RUNNING
    assert running.usage == Shape(2, 900)
    await wait_state(bench, "w1", "clean/1", TaskState.DONE)


async def test_stale_fence_is_refused(bench):
    """Guards against a second start of a task by a paused holder."""
    await bench.add("w1")
    workers = bench.platform.workers
    await workers.start("w1", make_start(fence=4))
    for fence in (3, 4):
        with pytest.raises(InvalidInput) as caught:
            await workers.start("w1", make_start(fence=fence))
        assert caught.value.code == "stale_fence"
    with pytest.raises(InvalidInput):
        await workers.stop("w1", "clean/1", 3)
    with pytest.raises(NotFound):
        await workers.stop("w1", "clean/2", 1)
    assert bench.state.recorder.counters["task_start"] == 1


async def test_expired_lease_stops_task(bench):
    """Guards against a task that outlives the lease of its holder."""
    await bench.add("w1")
    start = make_start(lease=0.1, duration_seconds=60)
    await bench.platform.workers.start("w1", start)
    stopped = await wait_state(bench, "w1", "clean/1", TaskState.STOPPED)
    assert stopped.detail == "lease_expired"
    with pytest.raises(NotFound):
        await bench.platform.workers.renew("w1", "clean/1", 1, 5)


async def test_checkpointed_task_resumes(bench):
    """Guards against a checkpoint that loses the work done before it."""
    await bench.add("w1")
    workers = bench.platform.workers
    await workers.start("w1", make_start(duration_seconds=600))
    bench.state.workers.workers["w1"].tasks["clean/1"].left = 0.3
    await workers.checkpoint("w1", "clean/1", 1)
    await workers.checkpoint("w1", "clean/1", 1)
    await workers.start("w1", make_start(fence=2, duration_seconds=600))
    await wait_state(bench, "w1", "clean/1", TaskState.DONE)


async def test_throttle_changes_usage_after_the_lag(bench):
    """Guards against usage that is reported without a lag."""
    await bench.add("w1")
    await bench.post("/faults", usage_lag_seconds=60)
    workers = bench.platform.workers
    await workers.start("w1", make_start(duration_seconds=60))
    await workers.throttle("w1", "clean/1", 1, 0.5)
    task = (await workers.report("w1")).tasks[0]
    assert (task.state, task.usage) == (TaskState.THROTTLED, Shape(0, 0))
    await bench.post("/faults", usage_lag_seconds=0)
    assert (await workers.report("w1")).tasks[0].usage == Shape(1, 512)


async def test_failing_worker_and_failing_job(bench):
    """Guards against quarantine tests that never see a failure."""
    await bench.add("w1")
    await bench.add("w2")
    await bench.post("/faults", failing_workers=["w1"])
    await bench.post("/profiles", bad={"fails": True})
    await bench.platform.workers.start("w1", make_start("good/1"))
    await bench.platform.workers.start("w2", make_start("bad/1"))
    await wait_state(bench, "w1", "good/1", TaskState.FAILED)
    await wait_state(bench, "w2", "bad/1", TaskState.FAILED)


async def test_drain_waits_for_tasks_and_reboot_counts(bench):
    """Guards against a drained worker that still runs a task."""
    await bench.add("w1")
    await bench.post("/faults", reboot_seconds=0.1, instance_list_lag_seconds=0)
    machines = bench.platform.machines
    await bench.platform.workers.start("w1", make_start(duration_seconds=60))
    await machines.drain("w1")
    assert (await machines.health("w1")).phase == "draining"
    with pytest.raises(PlatformUnavailable):
        await bench.platform.workers.start("w1", make_start("other/1"))
    await bench.platform.workers.stop("w1", "clean/1", 1)
    with trio.fail_after(5):
        while (await machines.health("w1")).phase != "drained":
            await trio.sleep(0.02)
        assert (await bench.platform.instances.list())[0].state == "leaving"
        await machines.reboot("w1")
        while (await machines.health("w1")).boots == 0:
            await trio.sleep(0.02)
    health = await machines.health("w1")
    assert (health.phase, health.healthy) == ("serving", True)
    with pytest.raises(NotFound):
        await machines.drain("w2")


async def test_instance_list_lags(bench):
    """Guards against a list that shows a drain at once."""
    await bench.post("/faults", instance_list_lag_seconds=60)
    await bench.add("e1", kind="entry")
    await bench.platform.machines.drain("e1")
    assert [entry.state for entry in await bench.platform.instances.list()] == ["live"]
    await bench.post("/faults", instance_list_lag_seconds=0)
    found = await bench.platform.instances.list()
    assert [entry.state for entry in found] == ["leaving"]


async def test_record_counts_writes_and_reads(bench):
    """Guards against figures per placement that count the wrong calls."""
    table = bench.platform.table
    await table.transact([Put("task/1", {}, 0), Put("worker/1", {}, 0)])
    await table.read("task/1")
    record = (await bench.control.get("/record")).json()
    counters = record["counters"]
    assert (counters["transactions"], counters["writes"]) == (1, 2)
    assert (counters["writes:task"], counters["reads"]) == (1, 1)


async def test_reports_name_only_workers_that_give_one(bench):
    """Guards against one unknown worker that hides the reports of the others."""
    for name in ("w1", "w2"):
        await bench.add(name)
    await bench.platform.workers.start("w2", make_start(duration_seconds=5))
    reports = await bench.platform.workers.reports(["w2", "gone", "w1"])
    assert [report.worker for report in reports] == ["w2", "w1"]
    assert [len(report.tasks) for report in reports] == [1, 0]


async def test_long_replies_are_compressed(bench):
    """Guards against an instance list that costs its whole length each time."""
    for number in range(50):
        await bench.add(f"worker-{number}")
    http = bench.platform.http
    before = http.bytes_received
    records = await bench.platform.instances.list()
    received = http.bytes_received - before
    response = await http.call("GET", "/instances", False)
    assert len(records) == 50
    assert received < len(response.content) / 4
    plain = await http.call(
        "GET", "/instances", False, headers={"Accept-Encoding": "identity"}
    )
    assert plain.content == response.content
    assert "Content-Encoding" not in plain.headers
