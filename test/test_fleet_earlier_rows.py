"""A daemon goes on from the rows that an earlier version has left.

The rows are those that a daemon and an executor of 6d91e6d wrote; a scheduler of
that version stores neither its load nor expected durations.
"""

import json
import time

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from emulator.fleet_platform import FleetPlatform
from emulator.row_store import Transaction
from hemlockstand.fleet.model import Resources, StartOrder
from hemlockstand.platform.rows import RowWrite
from test.test_fleet_daemon import make_job, open_fleet

DONE, LASTING, STEPS, CANCELLED = (f"00000000000000d{n}" for n in range(1, 5))
LASTING_STEPS = '[{"count":3,"size":{"cpu_millis":1000,"memory_mb":1},"lasting":true}]'
TWO_STEPS = (
    '[{"count":2,"size":{"cpu_millis":1000,"memory_mb":256},"estimate_ms":500},'
    '{"count":2,"size":{"cpu_millis":1000,"memory_mb":256},"estimate_ms":500,'
    '"after":[0]}]'
)
STATES = {
    DONE: '{"state":"completed","ended_ms":NOW}',
    LASTING: '{"state":"running","announced":["0.0"]}',
    CANCELLED: '{"state":"cancelled","ended_ms":NOW}',
    STEPS: '{"state":"running","announced":["0.0"]}',
}
SCHEDULER = {
    "lease": '{"holder":"gone","session":"cd6a73","epoch":1,"sequence":17}',
    "roster/quotes": '{"i-1":"ADDRESS"}',
    "pending": "{}",
}
EXECUTOR = (
    '{"Backend":"quotes","Address":"ADDRESS","Zone":"dc1","State":"ready",'
    '"Capacity":{"Cpu":16000,"MemMb":32768},"Labels":["a","r1"],"born":1}'
)
LEASE_MS = 9_000  # of the executor; the next scheduler extends it before
LATER_VALUES = {
    "load": b'{"format":999,"pools":7}',
    "durations": b'{"version":999,"made_ms":1,"queues":[],"groups":7}',
}


def write_rows(platform: FleetPlatform) -> None:
    """Write the rows, and start the runs that they tell of."""
    now_ms = int(time.time() * 1000)

    def put(table: str, key: str, text: str, part: str = "") -> None:
        text = text.replace("ADDRESS", platform.address).replace("NOW", str(now_ms))
        write = RowWrite(table, key, text.encode(), part)
        platform.store.apply(Transaction((write,), (), ()))

    put("servers", "i-1", EXECUTOR)
    put("daemons", "gone", '{"cores":1.0}')
    for key, text in SCHEDULER.items():
        put("scheduler", key, text)
    for job, state in STATES.items():
        steps = TWO_STEPS if job in (DONE, STEPS) else LASTING_STEPS
        spec = (
            f'{{"id":"{job}","queue":"r-quotes","pool":"quotes","tenant":"hinge",'
            f'"payload":"text","steps":{steps},"accepted_ms":NOW}}'
        )
        put("jobs", job, spec, job[-1])
        put("states", job, state)
    put("jobs", f"{CANCELLED}/cancel", "NOW", CANCELLED[-1])
    executor = platform.executors["i-1"]
    executor.describe = lambda subtask: SubtaskBehaviour(
        float("inf") if subtask.startswith(LASTING) else 3.0,
        size=Resources(1000, 256),
    )
    names = [f"{LASTING}.0.0.{index}" for index in range(3)]
    names += [f"{STEPS}.0.0.{index}" for index in range(2)]
    for name in names:
        due_ms = executor.clock_ms + LEASE_MS
        executor.begin(StartOrder(name, 1, "text", due_ms, 1))


def count_runs(platform: FleetPlatform, job: str) -> int:
    """Return how many runs of a job have begun."""
    return sum(run.subtask.startswith(job) for run in platform.records)


@pytest.mark.parametrize("later", [{}, LATER_VALUES], ids=["earlier", "later"])
async def test_rows_of_another_version_are_taken_over(tmp_path, later):
    """Guards against an upgrade that loses, repeats or cannot read stored work.

    After a step back, a daemon also finds the scheduler's load and expected
    durations in the format of a later version.
    """
    async with open_fleet(tmp_path, daemons=0) as (fleet, _):
        platform = fleet.platform
        write_rows(platform)
        for key, value in later.items():
            platform.store.put("scheduler", key, value)
        host = platform.address.partition(":")[0]
        fleet.start(host)
        await fleet.wait_ready(host)
        await fleet.wait_state(host, STEPS, "completed")
        for job, state in ((DONE, "completed"), (CANCELLED, "cancelled")):
            await fleet.wait_state(host, job, state)
            assert count_runs(platform, job) == 0
        await fleet.wait_state(host, LASTING, "running")
        assert count_runs(platform, STEPS) == 4
        # The executor's lease would have ended without the new scheduler.
        await trio.sleep(LEASE_MS / 1000 - 3)
        platform.executors["i-1"].advance()
        runs = [run for run in platform.records if run.subtask.startswith(LASTING)]
        assert [run.ended_at for run in runs] == [None] * 3
        job = "00000000000000d5"
        reply = await fleet.call(host, "POST", f"/quotes/{job}", json=make_job())
        assert reply.status_code == 200
        await fleet.wait_state(host, job, "completed")
        assert count_runs(platform, job) == 4
        lease = json.loads(platform.store.find("scheduler", "lease").value)
        assert (lease["holder"], lease["epoch"]) == (host, 2)
