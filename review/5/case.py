"""Case 5: the status row of a job that repeats outgrows a row of the store."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import (  # noqa: E402
    Deployment,
    Record,
    find_unserved,
    has_trouble,
    main,
)

EXECUTORS = 8  # of each pool, of 16 cores and 32 GB, four to a rack
LONG_REPEATS, SHORT_REPEATS = 8_000, 1_000
INTERVAL_MS = 6  # a schedule of days, in a minute
RUN_SECONDS = 0.05
SCHEDULE, TENANT, OTHER = "00000000000000d2", "dealer", "workshop"
SPACING_SECONDS, QUOTES_AFTER = 4.0, 3
LATEST_SECONDS = 75


async def submit_quote(deployment: Deployment, number: int) -> str:
    """Hand in a quote of another tenant, for another pool."""
    job = f"{number:016x}"
    spec = json.dumps({"seconds": 0.8, "size": [880, 910]})
    step = {"Count": 6, "Cpu": 880, "MemMb": 910, "EstimatedMs": 800}
    await deployment.submit("quote", job, OTHER, {"TaskSpec": spec, "Steps": [step]})
    return job


async def play(deployment: Deployment, record: Record) -> list[str]:
    """Hand in a job that repeats, and quotes until the store refuses its row."""
    for number in range(EXECUTORS):
        rack = f"r{number // 4 + 1}"
        deployment.add_executor(f"i-a{number}", "hinge-desk", rack=rack)
        deployment.add_executor(f"i-b{number}", "clamp-desk", rack=rack)
    queues = {"recon": "hinge-desk", "quote": "clamp-desk"}
    deployment.put_config(3, queues, {TENANT: 0, OTHER: 0})
    await deployment.start()
    spec = json.dumps({"seconds": RUN_SECONDS, "size": [100, 100]})
    step = {"Count": 1, "Cpu": 100, "MemMb": 100, "EstimatedMs": 50}
    body = {
        "TaskSpec": spec,
        "Steps": [step],
        "RepeatCount": LONG_REPEATS if has_trouble() else SHORT_REPEATS,
        "IntervalMs": INTERVAL_MS,
        "StartAtMs": int(time.time() * 1000),
    }
    await deployment.submit("recon", SCHEDULE, TENANT, body)
    quotes = []
    left = QUOTES_AFTER
    while left and record.now() < LATEST_SECONDS:
        quotes.append(await submit_quote(deployment, len(quotes)))
        await asyncio.sleep(SPACING_SECONDS)
        state = await deployment.get_state("recon", SCHEDULE, TENANT)
        done = sum(1 for run in deployment.runs if run.how == "done")
        record.add(
            f"{SCHEDULE} is {state}, {done} runs done, "
            f"the store has refused {deployment.store.refused} writes",
            show=True,
        )
        if deployment.store.refused or state == "completed":
            left -= 1
    await asyncio.sleep(8.0)
    breaches = await find_unserved(deployment, "quote", OTHER, quotes)
    deployment.keep_logs(("scheduler starts", "scheduler ends", "commit of the sch"))
    return breaches


main(play, FOLDER)
