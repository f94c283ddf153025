"""The stand-ins under ``review/`` can run the program.

The faults of the cases are covered on virtual time: case 1 by
``test_malformed_row_of_an_executor_is_left_out``, 3 by
``test_ends_beyond_the_listed_ones_are_no_lost_runs``, 4 by
``test_step_of_a_moved_queue_waits_for_lost_executors`` and 5 by
``test_long_schedule_stops_no_other_job``.
"""

import asyncio
import importlib.util
import json
import os
import random
import sys
from pathlib import Path
from types import ModuleType

import pytest

STAND_IN = Path(__file__).parent.parent / "review" / "standin.py"
SEED = 7
TENANT = "workshop"
UNREADABLE = b"[" * 4_000
LATEST_SECONDS = 20
SECONDS = 0.3


@pytest.fixture
def standin(monkeypatch) -> ModuleType:
    """Load the stand-ins, whose daemons use the interpreter of the tests."""
    spec = importlib.util.spec_from_file_location("review_standin", STAND_IN)
    module = importlib.util.module_from_spec(spec)
    monkeypatch.setitem(sys.modules, spec.name, module)
    spec.loader.exec_module(module)
    folder = Path(sys.executable).parent
    monkeypatch.setenv("PATH", f"{folder}{os.pathsep}{os.environ['PATH']}")
    return module


async def play(deployment) -> list[str]:
    """Let a quote complete before and after an unreadable row of an executor."""
    for number in range(2):
        deployment.add_executor(f"i-a{number}", "hinge-desk")
    deployment.put_config(3, {"quote": "hinge-desk"}, {TENANT: 0})
    spec = json.dumps({"seconds": SECONDS, "size": [880, 910]})
    step = {"Count": 6, "Cpu": 880, "MemMb": 910, "EstimatedMs": 300}
    states = []
    try:
        await deployment.start(daemons=2)
        for job in ("00000000000000a1", "00000000000000a2"):
            body = {"TaskSpec": spec, "Steps": [step]}
            await deployment.submit("quote", job, TENANT, body)
            await asyncio.sleep(2.0)
            states.append(await deployment.get_state("quote", job, TENANT))
            deployment.store.put_bytes("servers", "i-other", UNREADABLE)
    finally:
        await deployment.stop()
    return states


def test_case_with_an_unreadable_row_can_be_played(standin, tmp_path):
    """Guards against a template or a start that the stand-ins do not fit.

    They fill in the fields that the first deployments give, and no others.
    """
    random.seed(SEED)

    async def run() -> list[str]:
        deployment = standin.Deployment(standin.Record(tmp_path / "record.txt"))
        async with asyncio.timeout(LATEST_SECONDS):
            return await play(deployment)

    assert asyncio.run(run()) == ["completed"] * 2
