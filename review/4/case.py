"""Case 4: a queue has moved to another pool when the scheduler changes."""

import asyncio
import json
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import (  # noqa: E402
    Deployment,
    NotRun,
    Record,
    find_doubles,
    has_trouble,
    main,
)

EXECUTORS = 8  # of each pool, of 16 cores and 32 GB, four to a rack
CUT_SECONDS = 5.5  # of one executor of eight; the site's largest share is 0.17
STOP_AFTER_SECONDS = 0.2
SETTLE_SECONDS = 4.0
JOB, TENANT = "00000000000000a5", "dealer"


async def play(deployment: Deployment, record: Record) -> list[str]:
    """Move a queue with lasting work, cut an executor, stop the scheduler."""
    for number in range(EXECUTORS):
        rack = f"r{number // 4 + 1}"
        deployment.add_executor(f"i-a{number}", "hinge-desk", rack=rack)
        deployment.add_executor(f"i-b{number}", "clamp-desk", rack=rack)
    deployment.put_config(3, {"recon": "hinge-desk"}, {TENANT: 0})
    await deployment.start()
    spec = json.dumps({"size": [1300, 3400]})
    step = {"Count": 5, "Cpu": 1300, "MemMb": 3400, "LongRunning": True}
    await deployment.submit("recon", JOB, TENANT, {"TaskSpec": spec, "Steps": [step]})
    await asyncio.sleep(SETTLE_SECONDS)
    deployment.put_config(5, {"recon": "clamp-desk"}, {TENANT: 0})
    await asyncio.sleep(SETTLE_SECONDS)
    leader = deployment.find_leader()
    if leader is None or len(deployment.runs) != step["Count"]:
        raise NotRun("no daemon leads, or the job is not at work")
    busy = next(item for item in deployment.executors.values() if item.running)
    if has_trouble():
        record.add(
            f"executor {busy.id} is cut off, with {len(busy.running)} runs", True
        )
        busy.cut = True
    await asyncio.sleep(STOP_AFTER_SECONDS)
    record.add(f"the leading daemon {leader.name} gets SIGTERM", show=True)
    leader.kill(signal.SIGTERM)
    await asyncio.sleep(CUT_SECONDS - STOP_AFTER_SECONDS)
    if busy.cut:
        busy.cut = False
        record.add(f"executor {busy.id} is reached again", show=True)
    await asyncio.sleep(SETTLE_SECONDS)
    deployment.keep_logs(("scheduler starts", "no longer blocked", "not needed"))
    return ["TWICE: " + text for text in find_doubles(deployment.runs)]


main(play, FOLDER)
