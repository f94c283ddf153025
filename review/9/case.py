"""Work that is lost with its executor three times, with racks that crash."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin_2 import TENANTS, make_route, run_case  # noqa: E402

POOL = "pool-a"
RACKS = ("r1", "r2")
PER_RACK = 4
WORK_S = 6.0
JOB = "a1a1a1a1a1a1a1a1"
LASTING = "b2b2b2b2b2b2b2b2"
CRASHES = 3
INTO_RUN_S = 1.5
DOWN_S = 1.5
ATTEMPTS = 3
CALM_S = 22


async def play(world, trouble):
    """Crash the rack that runs the job, three times; return what is broken."""
    world.write_config(7, [make_route("quotes", POOL)], [POOL], TENANTS)
    executors = [
        await world.add_executor(f"i-{rack}-{number}", POOL, rack)
        for rack in RACKS
        for number in range(PER_RACK)
    ]
    for name in ("entry-1", "entry-2", "entry-3"):
        await world.add_daemon(name)
    await world.wait_ready()
    daemon = world.daemons["entry-1"]
    world.work[JOB, 0] = 2000, WORK_S, lambda run: "done"
    world.work[LASTING, 0] = 1000, None, lambda run: "failed"
    body = {
        "TaskSpec": "quote",
        "Steps": [{"Count": 1, "Cpu": 2000, "MemMb": 512, "EstimatedMs": 6000}],
    }
    lasting = {
        "TaskSpec": "recon",
        "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 512, "LongRunning": True}],
    }
    status, _ = await world.call(daemon, "POST", f"/quotes/{JOB}", body)
    assert status == 200, status
    status, _ = await world.call(daemon, "POST", f"/quotes/{LASTING}", lasting)
    assert status == 200, status
    for _ in range(CRASHES if trouble else 0):
        run = await world.wait_for(lambda: find_running(world), 20, "the job runs")
        await asyncio.sleep(INTO_RUN_S)
        rack = next(each.labels[1] for each in executors if each.id == run["executor"])
        world.record.add(f"rack {rack} crashes")
        down = [each for each in executors if each.labels[1] == rack]
        for each in down:
            await each.crash()
        await asyncio.sleep(DOWN_S)
        for each in down:
            await each.start()
    # Calm from here on: StabilityMs, the time of the work, and finish_s.
    calm_from = world.record.now
    for _ in range(CALM_S):
        await asyncio.sleep(1.0)
        _, state = await world.call(daemon, "GET", f"/quotes/{JOB}")
    broken = []
    failures = [run for run in world.list_runs(JOB) if run["how"] == "failed"]
    for job in (JOB, LASTING):
        for run in world.list_runs(job):
            world.record.add(f"run: {run}")
    if "failed" in state and len(failures) < ATTEMPTS:
        broken.append(
            f"LOST: {JOB} is shown as failed, {len(failures)} of its runs ended failed"
        )
    elif "completed" not in state:
        broken.append(f"LOST: {JOB} is shown as {state} {CALM_S} s after the trouble")
    last = world.list_runs(LASTING)[-1]
    if last["ended"] is not None and last["ended"] < calm_from:
        broken.append(
            f"LOST: {LASTING} was not started again within {CALM_S} s of calm, "
            f"with {len(executors)} executors that nobody uses"
        )
    return "; ".join(broken)


def find_running(world):
    """Return the present run of the job."""
    return next((run for run in world.list_runs(JOB) if run["ended"] is None), None)


sys.exit(run_case(play, FOLDER))
