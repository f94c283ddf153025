"""Executors that are cut off with a reset, in turn, and run on."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin_3 import TROUBLE, make_config, run_case  # noqa: E402

LASTING = "00000000000000a1"
SHORT = "00000000000000b2"
SHORT_SECONDS = 25.0
CUT_SECONDS = 5.0  # the site's cuts last 5.5 s
CUTS = 3
STARTED_SECONDS = 6.0  # a lasting subtask has this time after its last run
CALM_SECONDS = 7.0  # that must pass without trouble


def describe(task):
    """Return the seconds that a subtask takes, and whether it fails."""
    return (None if task.startswith(LASTING) else SHORT_SECONDS), False


async def cut(world, executor):
    """Cut an executor off with resets; it runs on."""
    world.record.note(f"{executor.name} is cut off")
    executor.server.close()
    await asyncio.sleep(CUT_SECONDS)
    await executor.server.open()
    world.record.note(f"{executor.name} is back")


async def main(world):
    """Play the case and return its exit code."""
    await world.open(make_config(), {"desk": 12}, describe)
    steps = [{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimatedMs": 900}]
    lasting = [{**steps[0], "LongRunning": True}]
    for job, body in ((LASTING, lasting), (SHORT, steps)):
        answer = await world.call("POST", job, {"TaskSpec": "text", "Steps": body})
        if answer[0] != 200:
            return 2
    await asyncio.sleep(2.0)
    for _ in range(CUTS if TROUBLE else 0):
        hit = {
            executor
            for job in (LASTING, SHORT)
            for executor in world.find_runs(f"{job}.0.0.0")
        }
        async with asyncio.TaskGroup() as group:
            for executor in hit:
                group.create_task(cut(world, executor))
        await asyncio.sleep(0.5)
    world.record.note("no more trouble")
    broken = []
    since = time.monotonic()
    idle_since = None
    while time.monotonic() - since < SHORT_SECONDS + 15:
        await asyncio.sleep(0.5)
        now = time.monotonic()
        if world.find_runs(f"{LASTING}.0.0.0"):
            idle_since = None
        else:
            idle_since = idle_since or now
            if (
                now - since > CALM_SECONDS
                and now - idle_since > STARTED_SECONDS + CALM_SECONDS
            ):
                broken.append("the lasting subtask is not started any more")
                break
    for job, wanted in ((LASTING, ("running",)), (SHORT, ("running", "completed"))):
        status, answer = await world.call("GET", job)
        if status != 200 or answer.get("State") not in wanted:
            broken.append(f"{job} is shown as {status} {answer}")
    for text in broken:
        world.record.note(f"LOST: {text}")
    return 1 if broken else 0


run_case(main, Path(__file__).parent)
