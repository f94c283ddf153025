"""Case 3: over 500 unacknowledged ends on one executor while the store is down."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import (  # noqa: E402
    Deployment,
    Record,
    find_doubles,
    has_trouble,
    main,
)

EXECUTORS = 8  # of 16 cores and 32 GB, four to a rack
SUBTASKS = 700
CPU, MEMORY_MB = 20, 40
RUN_SECONDS = 3.0
DOWN_BEFORE_END_SECONDS = 0.1
DOWN_SECONDS = 3.0  # the site's largest is 4.5 s
JOB, TENANT = "00000000000000c1", "dealer"
LATEST_SECONDS = 60


async def play(deployment: Deployment, record: Record) -> list[str]:
    """Hand in a job of many small subtasks; stop the store as they end."""
    for number in range(EXECUTORS):
        rack = f"r{number // 4 + 1}"
        deployment.add_executor(f"i-a{number}", "hinge-desk", rack=rack)
    deployment.put_config(3, {"recon": "hinge-desk"}, {TENANT: 0})
    await deployment.start()
    spec = json.dumps({"seconds": RUN_SECONDS, "size": [CPU, MEMORY_MB]})
    step = {"Count": SUBTASKS, "Cpu": CPU, "MemMb": MEMORY_MB, "EstimatedMs": 3000}
    await deployment.submit("recon", JOB, TENANT, {"TaskSpec": spec, "Steps": [step]})

    async def all_run() -> bool:
        running = sum(len(item.running) for item in deployment.executors.values())
        return running == SUBTASKS

    await deployment.wait(all_run, RUN_SECONDS, "the subtasks do not all run")
    first_end = min(run.ends_at for run in deployment.runs)
    for executor in deployment.executors.values():
        if executor.running:
            record.add(f"{executor.id} runs {len(executor.running)}", show=True)
    await asyncio.sleep(first_end - record.now() - DOWN_BEFORE_END_SECONDS)
    if has_trouble():
        record.add("the store answers 503 from now on", show=True)
        deployment.store.busy = True
        await asyncio.sleep(DOWN_SECONDS)
        deployment.store.busy = False
        record.add("the store answers again", show=True)
    state = ""
    while record.now() < LATEST_SECONDS and state != "completed":
        await asyncio.sleep(1.0)
        state = await deployment.get_state("recon", JOB, TENANT)
    record.add(
        f"job {JOB} is shown as {state}; {len(deployment.runs)} runs of "
        f"{SUBTASKS} subtasks",
        show=True,
    )
    await asyncio.sleep(2.0)
    deployment.keep_logs(("scheduler starts", "scheduler ends"))
    return ["TWICE: " + text for text in find_doubles(deployment.runs)]


main(play, FOLDER)
