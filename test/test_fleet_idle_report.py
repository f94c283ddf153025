"""Reports on lasting subtasks that are not at work, on virtual time."""

import re

import pytest
import trio
from loguru import logger

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources
from test.fleet_world import LASTING, make_step, open_world


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


@pytest.fixture
def reports():
    """The reports that were logged, as their values."""
    found = []

    def collect(message):
        record = message.record
        if record["message"] == "lasting subtasks are not at work":
            found.append(record["extra"])

    handler = logger.add(collect, level="WARNING")
    yield found
    logger.remove(handler)


async def test_idle_subtask_is_reported_with_its_executors(clock, reports):
    """Guards against an idle subtask that leaves nothing to explain it."""
    async with open_world() as world:
        world.add_executor()
        drained = world.add_executor()
        drained.draining = True
        world.register_executor(drained)
        world.start_daemon("a")
        large = Resources(17_000, 512)
        job = world.submit(
            make_step(lasting=True, size=large),
            work=SubtaskBehaviour(LASTING, size=large),
        )
        await trio.sleep(6)
        assert reports[0]["step"] == f"{job}.0.0"
        assert reports[0]["waiting"] == 1
        assert reports[0]["executors"] == {"no room": 1, "draining": 1}
        assert len(reports) <= 3


async def test_subtask_at_work_is_not_reported(clock, reports):
    """Guards against reports on subtasks that start within the usual time."""
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        world.submit(make_step(2, lasting=True), work=SubtaskBehaviour(LASTING))
        await trio.sleep(8)
        assert not reports


async def test_idle_subtask_is_reported_at_the_end_of_a_short_term(clock, reports):
    """Guards against terms too short for a report that leave no trace of the wait."""
    async with open_world() as world:
        world.add_executor()
        large = Resources(17_000, 512)
        job = world.submit(
            make_step(lasting=True, size=large),
            work=SubtaskBehaviour(LASTING, size=large),
        )
        daemon = world.start_daemon("a")
        await trio.sleep(1.5)
        assert not reports
        world.stop(daemon)
        await trio.sleep(0.5)
        assert [report["step"] for report in reports] == [f"{job}.0.0"]
        assert reports[0]["occasion"] == "at the end of the term"


async def test_takeover_reports_the_executors_that_block_a_pool(clock):
    """Guards against a wait after a takeover that leaves nothing to explain it."""
    found = []
    handler = logger.add(lambda message: found.append(message.record), level="INFO")
    async with open_world() as world:
        world.add_executor()
        lost = world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        lost.unresponsive = True
        world.stop(first)
        world.start_daemon("b")
        await trio.sleep(2.5)
    logger.remove(handler)
    message = "pools are blocked after the takeover"
    blocked = [item["extra"] for item in found if item["message"] == message]
    assert [item["pools"] for item in blocked] == [["pool"]]
    assert blocked[0]["executors"].keys() == {"pool"}
    assert blocked[0]["executors"]["pool"].keys() == {lost.id}
    assert re.fullmatch(
        r"(does not answer|lists not read), [345]\.\d s left",
        blocked[0]["executors"]["pool"][lost.id],
    )
