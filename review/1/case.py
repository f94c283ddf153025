"""Case 1: another writer's entry among the executors ends every scheduler."""

import asyncio
import json
import sys
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

EXECUTORS = 8  # of 16 cores and 32 GB, four to a rack
UNREADABLE = b"[" * 4_000  # no JSON; a row may have 65,536 bytes
TENANT, RECON = "workshop", "00000000000000b6"
SPACING_SECONDS, QUOTES_BEFORE, QUOTES_AFTER = 2.0, 2, 5


async def submit_quote(deployment: Deployment, number: int) -> str:
    """Hand in a quote."""
    job = f"{number:016x}"
    spec = json.dumps({"seconds": 0.8, "size": [880, 910]})
    step = {"Count": 6, "Cpu": 880, "MemMb": 910, "EstimatedMs": 800}
    await deployment.submit("quote", job, TENANT, {"TaskSpec": spec, "Steps": [step]})
    return job


async def play(deployment: Deployment, record: Record) -> list[str]:
    """Hand in a lasting job and quotes; another writer adds an entry meanwhile."""
    for number in range(EXECUTORS):
        rack = f"r{number // 4 + 1}"
        deployment.add_executor(f"i-a{number}", "hinge-desk", rack=rack)
    queues = {"quote": "hinge-desk", "recon": "hinge-desk"}
    deployment.put_config(3, queues, {TENANT: 0})
    await deployment.start()
    spec = json.dumps({"size": [1300, 3400]})
    step = {"Count": 5, "Cpu": 1300, "MemMb": 3400, "LongRunning": True}
    await deployment.submit("recon", RECON, TENANT, {"TaskSpec": spec, "Steps": [step]})
    quotes = []
    for number in range(QUOTES_BEFORE + QUOTES_AFTER):
        if number == QUOTES_BEFORE and has_trouble():
            record.add(f"another writer adds {len(UNREADABLE)} bytes to servers", True)
            deployment.store.put_bytes("servers", "i-other", UNREADABLE)
        quotes.append(await submit_quote(deployment, number))
        await asyncio.sleep(SPACING_SECONDS)
    await asyncio.sleep(8.0)
    breaches = await find_unserved(deployment, "quote", TENANT, quotes)
    breaches += await find_unserved(deployment, "recon", TENANT, [RECON])
    deployment.keep_logs(("scheduler starts", "error in the scheduler"))
    return breaches


main(play, FOLDER)
