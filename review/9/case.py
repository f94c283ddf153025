"""A job that is given up while its route is out of the configuration.

Its route is dropped by one version and is back in the next. A run that ends as
failed between the two is the job's last.
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin_2 import TENANTS, make_route, run_case  # noqa: E402

POOL = "pool-a"
JOB = "a1a1a1a1a1a1a1a1"
ATTEMPTS = 3
WORK_S = 4.0
DROPPED_AFTER_S = 1.0
DROPPED_S = 6.0
FINISH_S = 14.0


async def play(world, trouble):
    """Drop the route of a job whose first run fails, and add it again."""
    quotes, others = (make_route(name, POOL, ATTEMPTS) for name in ("quotes", "others"))
    world.write_config(7, [quotes, others], [POOL], TENANTS)
    for number in range(3):
        await world.add_executor(f"i-{number}", POOL, f"r{number}")
    for name in ("entry-1", "entry-2", "entry-3"):
        await world.add_daemon(name)
    await world.wait_ready()
    daemon = world.daemons["entry-1"]
    world.work[JOB, 0] = 2000, WORK_S, lambda run: "failed" if run == 1 else "done"
    step = {"Count": 1, "Cpu": 2000, "MemMb": 512, "EstimatedMs": int(WORK_S * 1000)}
    body = {"TaskSpec": "quote", "Steps": [step]}
    status, _ = await world.call(daemon, "POST", f"/quotes/{JOB}", body)
    assert status == 200, status
    await asyncio.sleep(DROPPED_AFTER_S)
    if trouble:
        world.write_config(9, [others], [POOL], TENANTS)
    await asyncio.sleep(DROPPED_S)
    world.write_config(12, [quotes, others], [POOL], TENANTS)
    await asyncio.sleep(FINISH_S)
    _, state = await world.call(daemon, "GET", f"/quotes/{JOB}")
    runs = world.list_runs(JOB)
    for run in runs:
        world.record.add(f"run: {run}")
    failures = sum(run["how"] == "failed" for run in runs)
    if "failed" in state and failures < ATTEMPTS:
        return (
            f"LOST: {JOB} is shown as failed; {failures} of its runs ended failed, "
            f"and its queue allows {ATTEMPTS} attempts"
        )
    if "completed" not in state:
        return f"LOST: {JOB} is shown as {state} {FINISH_S} s after the last change"
    return ""


# With TROUBLE=0 the case does the same without what breaks the rule.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

sys.exit(run_case(play, FOLDER, TROUBLE))
