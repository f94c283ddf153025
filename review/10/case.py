"""A cancel that is answered "no such job", and the job that runs after it.

A daemon is cut off from the store while it stores a job that is to start later.
Its caller gets no success and cancels the job at another daemon.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin_2 import TENANTS, CaseError, make_route, run_case  # noqa: E402

POOL = "pool-a"
FIRST, JOB = "c0c0c0c0c0c0c0c0", "c3c3c3c3c3c3c3c3"
CUT_S = 4.0  # the silent core_cut of the site, for_s
CLIENT_S = 1.0  # the client's time limit
CANCEL_MS = 3000
STABILITY_MS = 3000  # after the cut, whoever starts the run is in touch
START_S = 10.0  # the job starts so long after it was submitted
WATCH_S = 5.0


async def play(world, trouble):
    """Submit at a daemon that is cut off, and cancel at another."""
    world.write_config(7, [make_route("quotes", POOL)], [POOL], TENANTS)
    for number in range(2):
        await world.add_executor(f"i-{number}", POOL, f"r{number}")
    for name in ("entry-1", "entry-2", "entry-3"):
        await world.add_daemon(name)
    leader = await world.wait_ready()
    cut_off, other = (each for each in world.daemons.values() if each is not leader)
    for job in (FIRST, JOB):
        world.work[job, 0] = 2000, 2.0, lambda run: "done"
    body = {
        "TaskSpec": "quote",
        "Steps": [{"Count": 1, "Cpu": 2000, "MemMb": 512, "EstimatedMs": 2000}],
    }
    # An earlier job, so that the daemon has a connection to the store.
    status, _ = await world.call(cut_off, "POST", f"/quotes/{FIRST}", body)
    assert status == 200, status
    if trouble:
        cut_off.store_link.begin_cut()
        cut_at = world.record.now
        world.record.add(f"{cut_off.name} is cut off from the store for {CUT_S} s")
    due_at = world.record.now + START_S
    start_ms = int((time.time() + START_S) * 1000)
    body |= {"RepeatCount": 1, "StartAtMs": start_ms, "IntervalMs": 60_000}
    status, _ = await world.call(
        cut_off, "POST", f"/quotes/{JOB}", body, seconds=CLIENT_S
    )
    if trouble and status in (200, 429, 503):
        raise CaseError(f"the first attempt was answered {status}")
    cancel, _ = await world.call(other, "DELETE", f"/quotes/{JOB}")
    bound = world.record.now + CANCEL_MS / 1000
    if trouble:
        await asyncio.sleep(max(0.0, cut_at + CUT_S - world.record.now))
        cut_off.store_link.end_cut()
        world.record.add(f"the cut of {cut_off.name} ends")
        bound = max(bound, world.record.now + STABILITY_MS / 1000)
    await asyncio.sleep(due_at + WATCH_S - world.record.now)
    await world.call(other, "GET", f"/quotes/{JOB}")
    late = [run for run in world.list_runs(JOB) if run["began"] > bound]
    for run in world.list_runs(JOB):
        world.record.add(f"run: {run}")
    if cancel in (200, 410) and late:
        return (
            f"UNASKED: the cancel of {JOB} was answered {cancel}, and a run began "
            f"{late[0]['began'] - bound:.1f} s after the bound, {late[0]['how']}"
        )
    return ""


# With TROUBLE=0 the case does the same without what breaks the rule.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

sys.exit(run_case(play, FOLDER, TROUBLE))
