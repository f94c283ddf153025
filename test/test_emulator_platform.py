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


class Harness:
    """A platform stand-in in this process and a client to control it."""

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
async def harness(nursery):
    state = PlatformState()
    binds = await nursery.start(serve_handler, state.handle, ["127.0.0.1:0"])
    running = Harness(state, binds[0], nursery)
    nursery.start_soon(state.run_clock)
    yield running
    with trio.CancelScope(shield=True):
        await running.platform.close()
        await running.control.aclose()
    nursery.cancel_scope.cancel()


def make_start(task="clean/1", fence=1, lease=5.0, **payload):
    shape = Shape(cores=2, memory_mb=512)
    return TaskStart(task, fence, lease, shape, Priority.BATCH, payload)


async def test_transaction_applies_all_or_nothing(harness):
    """Guards against a conflict that leaves part of a transaction behind."""
    table = harness.platform.table
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


async def test_scan_pages_in_key_order(harness):
    """Guards against rows that a paged scan skips or repeats."""
    table = harness.platform.table
    for number in (3, 1, 2):
        await table.transact([Put(f"s/{number}", {"n": number}, 0)])
    await table.transact([Put("t/1", {}, 0)])
    first = await table.scan("s/", limit=2)
    rest = await table.scan("s/", after=first[-1].key)
    assert [row.key for row in first + rest] == ["s/1", "s/2", "s/3"]


async def test_malformed_transaction_is_refused(harness):
    """Guards against bad input that is taken for a lost reply."""
    with pytest.raises(InvalidInput):
        await harness.platform.table.transact([Put("a", [1], 0)])


async def test_outage_applies_nothing_and_lost_reply_applies(harness):
    """Guards against a stand-in that confuses the two kinds of failure."""
    table = harness.platform.table
    await harness.post("/faults", table={"mode": "down"})
    with pytest.raises(PlatformUnavailable):
        await table.transact([Put("a", {}, 0)])
    await harness.post("/faults", table={"mode": "lose_replies"})
    with pytest.raises(OutcomeUnknown):
        await table.transact([Put("b", {}, 0)])
    await harness.post("/faults", table={"mode": "up"})
    assert [row.version for row in await table.read_many(["a", "b"])] == [0, 1]


async def test_cut_data_centre_gets_no_answer(harness):
    """Guards against writes from a data centre that is cut off."""
    await harness.post("/faults", cut_data_centres=["dc2"])
    body = {"operations": [{"op": "put", "key": "a", "value": {}, "expected": 0}]}
    with trio.move_on_after(0.2) as scope:
        await harness.control.post(
            "/table/transact", json=body, headers={"X-Data-Centre": "dc2"}
        )
    assert scope.cancelled_caught
    assert (await harness.platform.table.read("a")).version == 0


async def test_objects(harness):
    """Guards against snapshots that come back changed."""
    await harness.platform.objects.put("snapshots/1", b"\x00\xff")
    assert await harness.platform.objects.get("snapshots/1") == b"\x00\xff"
    with pytest.raises(NotFound):
        await harness.platform.objects.get("snapshots/2")


async def wait_state(harness, worker, task, state):
    with trio.fail_after(5):
        while True:
            report = await harness.platform.workers.report(worker)
            found = {entry.task: entry for entry in report.tasks}[task]
            if found.state == state:
                return found
            await trio.sleep(0.02)


async def test_task_runs_for_its_actual_duration(harness):
    """Guards against tasks that never end or whose real size is hidden."""
    await harness.add("w1")
    await harness.post("/faults", usage_lag_seconds=0)
    start = make_start(duration_seconds=0.2, memory_mb=900)
    await harness.platform.workers.start("w1", start)
    running = (await harness.platform.workers.report("w1")).tasks[0]
    assert running.state == TaskState.RUNNING
    assert running.usage == Shape(2, 900)
    await wait_state(harness, "w1", "clean/1", TaskState.DONE)


async def test_stale_fence_is_refused(harness):
    """Guards against a second start of a task by a daemon that was paused."""
    await harness.add("w1")
    workers = harness.platform.workers
    await workers.start("w1", make_start(fence=4))
    for fence in (3, 4):
        with pytest.raises(InvalidInput) as caught:
            await workers.start("w1", make_start(fence=fence))
        assert caught.value.code == "stale_fence"
    with pytest.raises(InvalidInput):
        await workers.stop("w1", "clean/1", 3)
    with pytest.raises(NotFound):
        await workers.stop("w1", "clean/2", 1)
    assert harness.state.recorder.counters["task_start"] == 1


async def test_expired_lease_stops_task(harness):
    """Guards against a task that outlives the lease of its holder."""
    await harness.add("w1")
    start = make_start(lease=0.1, duration_seconds=60)
    await harness.platform.workers.start("w1", start)
    stopped = await wait_state(harness, "w1", "clean/1", TaskState.STOPPED)
    assert stopped.detail == "lease_expired"
    with pytest.raises(NotFound):
        await harness.platform.workers.renew("w1", "clean/1", 1, 5)


async def test_checkpointed_task_resumes(harness):
    """Guards against a checkpoint that loses the work done before it."""
    await harness.add("w1")
    workers = harness.platform.workers
    await workers.start("w1", make_start(duration_seconds=600))
    harness.state.workers.workers["w1"].tasks["clean/1"].remaining_seconds = 0.3
    await workers.checkpoint("w1", "clean/1", 1)
    await workers.checkpoint("w1", "clean/1", 1)
    await workers.start("w1", make_start(fence=2, duration_seconds=600))
    await wait_state(harness, "w1", "clean/1", TaskState.DONE)


async def test_throttle_changes_usage_after_the_lag(harness):
    """Guards against usage that is reported without a lag."""
    await harness.add("w1")
    await harness.post("/faults", usage_lag_seconds=60)
    workers = harness.platform.workers
    await workers.start("w1", make_start(duration_seconds=60))
    await workers.throttle("w1", "clean/1", 1, 0.5)
    task = (await workers.report("w1")).tasks[0]
    assert (task.state, task.usage) == (TaskState.THROTTLED, Shape(0, 0))
    await harness.post("/faults", usage_lag_seconds=0)
    assert (await workers.report("w1")).tasks[0].usage == Shape(1, 512)


async def test_failing_worker_and_failing_job(harness):
    """Guards against quarantine tests that never see a failure."""
    await harness.add("w1")
    await harness.add("w2")
    await harness.post("/faults", failing_workers=["w1"])
    await harness.post("/profiles", bad={"fails": True})
    await harness.platform.workers.start("w1", make_start("good/1"))
    await harness.platform.workers.start("w2", make_start("bad/1"))
    await wait_state(harness, "w1", "good/1", TaskState.FAILED)
    await wait_state(harness, "w2", "bad/1", TaskState.FAILED)


async def test_drain_waits_for_tasks_and_reboot_counts(harness):
    """Guards against a drained worker that still runs a task."""
    await harness.add("w1")
    await harness.post("/faults", reboot_seconds=0.1, instance_list_lag_seconds=0)
    machines = harness.platform.machines
    await harness.platform.workers.start("w1", make_start(duration_seconds=60))
    await machines.drain("w1")
    assert (await machines.health("w1")).phase == "draining"
    with pytest.raises(PlatformUnavailable):
        await harness.platform.workers.start("w1", make_start("other/1"))
    await harness.platform.workers.stop("w1", "clean/1", 1)
    with trio.fail_after(5):
        while (await machines.health("w1")).phase != "drained":
            await trio.sleep(0.02)
        assert (await harness.platform.instances.list())[0].state == "leaving"
        await machines.reboot("w1")
        while (await machines.health("w1")).boots == 0:
            await trio.sleep(0.02)
    health = await machines.health("w1")
    assert (health.phase, health.healthy) == ("serving", True)
    with pytest.raises(NotFound):
        await machines.drain("w2")


async def test_instance_list_lags(harness):
    """Guards against an instance list that shows a drain without its lag."""
    await harness.post("/faults", instance_list_lag_seconds=60)
    await harness.add("e1", kind="entry")
    await harness.platform.machines.drain("e1")
    assert [entry.state for entry in await harness.platform.instances.list()] == [
        "live"
    ]
    await harness.post("/faults", instance_list_lag_seconds=0)
    found = await harness.platform.instances.list()
    assert [entry.state for entry in found] == ["leaving"]


async def test_record_counts_writes_and_reads(harness):
    """Guards against figures per placement that count the wrong calls."""
    table = harness.platform.table
    await table.transact([Put("task/1", {}, 0), Put("worker/1", {}, 0)])
    await table.read("task/1")
    record = (await harness.control.get("/record")).json()
    counters = record["counters"]
    assert (counters["transactions"], counters["writes"]) == (1, 2)
    assert (counters["writes:task"], counters["reads"]) == (1, 1)


async def test_reports_omit_unknown_workers(harness):
    """Guards against an unknown worker that hides the reports of others."""
    for name in ("w1", "w2"):
        await harness.add(name)
    await harness.platform.workers.start("w2", make_start(duration_seconds=5))
    reports = await harness.platform.workers.reports(["w2", "gone", "w1"])
    assert [report.worker for report in reports] == ["w2", "w1"]
    assert [len(report.tasks) for report in reports] == [1, 0]


async def test_long_replies_are_compressed(harness):
    """Guards against an instance list that is sent uncompressed."""
    for number in range(50):
        await harness.add(f"worker-{number}")
    http = harness.platform.http
    before = http.bytes_received
    records = await harness.platform.instances.list()
    received = http.bytes_received - before
    response = await http.call("GET", "/instances", False)
    assert len(records) == 50
    assert received < len(response.content) / 4
    plain = await http.call(
        "GET", "/instances", False, headers={"Accept-Encoding": "identity"}
    )
    assert plain.content == response.content
    assert "Content-Encoding" not in plain.headers
