"""A route becomes public while jobs of a tenant are on it."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin_3 import TROUBLE, make_config, run_case  # noqa: E402

KEPT = "00000000000000a1"
CANCELLED = "00000000000000b2"
APPLY_SECONDS = 2.0  # ``ConfigApplyMs``
VISIBLE_SECONDS = 3.0  # ``visible_ms``
CANCEL_SECONDS = 3.0  # ``cancel_ms``
STOP_SECONDS = 0.4  # ``StopMs``
MARGIN_SECONDS = 2.0


def describe(task):
    """Return the seconds that a subtask takes, and whether it fails."""
    return None, False


async def main(world):
    """Play the case and return its exit code."""
    await world.open(make_config(version=3), {"desk": 4}, describe)
    step = {"Count": 1, "Cpu": 1000, "MemMb": 256, "LongRunning": True}
    for job in (KEPT, CANCELLED):
        answer = await world.call("POST", job, {"TaskSpec": "text", "Steps": [step]})
        if answer[0] != 200:
            return 2
    await asyncio.sleep(VISIBLE_SECONDS + MARGIN_SECONDS)
    if not all(world.find_runs(f"{job}.0.0.0") for job in (KEPT, CANCELLED)):
        return 2
    world.store.put("op", "config", make_config(version=5, public=TROUBLE))
    world.record.note(f"the config 5 is acknowledged, public: {TROUBLE}")
    await asyncio.sleep(APPLY_SECONDS + MARGIN_SECONDS)
    # Calls on a public route carry no key.
    key = "" if TROUBLE else "key-of-hinge"
    broken = []
    status, answer = await world.call("GET", KEPT, key=key)
    if status == 410:
        broken.append(f"LOST: GET of the accepted job {KEPT} is answered 410")
    status, answer = await world.call("DELETE", CANCELLED, key=key)
    if status not in (200, 410):
        return 2
    acknowledged = time.monotonic()
    while time.monotonic() - acknowledged < CANCEL_SECONDS + STOP_SECONDS:
        await asyncio.sleep(0.1)
    await asyncio.sleep(MARGIN_SECONDS)
    if world.find_runs(f"{CANCELLED}.0.0.0"):
        seconds = time.monotonic() - acknowledged
        broken.append(
            f"UNASKED: {CANCELLED} runs {seconds:.1f} s after its cancelling was "
            f"acknowledged with {status}"
        )
    for text in broken:
        world.record.note(text)
    return 1 if broken else 0


run_case(main, Path(__file__).parent)
