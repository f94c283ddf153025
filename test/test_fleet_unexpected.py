"""Unexpected errors of a scheduler end its term, not its daemon."""

import pytest
import trio
from loguru import logger

from emulator.fleet_instances import InstanceAccess
from emulator.row_store import RowStoreAccess
from hemlockstand.fleet import scheduler
from hemlockstand.fleet.clients import FleetClients
from hemlockstand.fleet.failed_terms import MAX_FAILED_DELAY_SECONDS, SOUND_TERM_SECONDS
from hemlockstand.fleet.leader import Leader
from hemlockstand.fleet.scheduler import SchedulerService
from test.fleet_world import make_settings, make_step, open_world
from test.test_fleet_frontend import StubKernel


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also for the lease."""
    monkeypatch.setattr(scheduler, "make_lease_clock", lambda clock: trio.current_time)
    return autojump_clock


@pytest.fixture
def errors():
    """Yield the log lines of errors, with their tracebacks."""
    lines = []
    sink = logger.add(lines.append, level="ERROR", format="{message}")
    yield lines
    logger.remove(sink)


def make_service(world, name: str) -> SchedulerService:
    """Return the scheduler service of a daemon in a world."""
    rows = RowStoreAccess(world.store)
    kernel = StubKernel(rows, make_settings(name), world.configuration)
    service = SchedulerService(kernel)
    instances = InstanceAccess(world.instances)
    service._clients = FleetClients(world.connect_executor, instances, None)
    return service


def break_leaders(monkeypatch, broken: set[str]) -> list[tuple[str, float]]:
    """Make the leaders of some daemons raise; return a list of their terms."""
    terms = []

    async def fail(leader: Leader) -> None:
        await trio.sleep(0.5)
        raise ZeroDivisionError("unexpected")

    run = Leader.run

    async def run_or_fail(leader: Leader, fresh: bool) -> None:
        holder = leader.state.lease.record.holder
        terms.append((holder, trio.current_time()))
        if holder in broken:
            leader.state.nursery.start_soon(fail, leader)
        await run(leader, fresh)

    monkeypatch.setattr(Leader, "run", run_or_fail)
    return terms


async def test_unexpected_error_ends_the_term_alone(clock, errors, monkeypatch):
    """Guards against an error that ends the daemon and its callers' connections.

    The next scheduler starts jobs although the daemon with the error is up.
    """
    async with open_world() as world:
        world.add_executor()
        terms = break_leaders(monkeypatch, {"a"})
        world.nursery.start_soon(make_service(world, "a").run)
        await trio.sleep(1.2)
        world.nursery.start_soon(make_service(world, "b").run)
        job = world.submit(make_step(2))
        await world.wait_for(lambda: world.state(job) == "completed", 8)
        assert [holder for holder, _ in terms] == ["a", "b"]
        assert "ZeroDivisionError: unexpected" in "".join(errors)
        assert "in fail" in "".join(errors)
        world.check_runs()


async def test_daemon_whose_terms_end_gives_way_for_longer_each_time(
    clock, errors, monkeypatch
):
    """Guards against terms that end at once in a row, without a pause.

    A lone daemon leads again, after a delay that grows and has a bound.
    """
    async with open_world() as world:
        terms = break_leaders(monkeypatch, {"a"})
        world.nursery.start_soon(make_service(world, "a").run)
        await trio.sleep(400)
        starts = [at for _, at in terms]
        pauses = [later - at for at, later in zip(starts, starts[1:], strict=False)]
        assert pauses[1] > 1.5 * pauses[0]
        assert pauses[2] > 1.5 * pauses[1]
        assert max(pauses) < MAX_FAILED_DELAY_SECONDS + 3
        assert max(pauses) == pytest.approx(pauses[-1], abs=1)


async def test_long_term_ends_the_delay(clock, errors, monkeypatch):
    """Guards against a delay that counts errors of days ago."""
    async with open_world() as world:
        broken = {"a"}
        terms = break_leaders(monkeypatch, broken)
        service = make_service(world, "a")
        world.nursery.start_soon(service.run)
        await trio.sleep(30)
        broken.clear()
        failed = len(terms)
        await world.wait_for(lambda: len(terms) > failed, 60)
        await trio.sleep(SOUND_TERM_SECONDS + 1)
        service._leader.state.nursery.start_soon(fail_at_once)
        ended_at = trio.current_time()
        await world.wait_for(lambda: len(terms) > failed + 1, 60)
        assert terms[-1][1] - ended_at < 5


@pytest.mark.parametrize("value", [b"\xff", b"[]", b'{"cores": "two"}'])
async def test_malformed_row_of_a_daemon_is_left_out(clock, value):
    """Guards against a row that keeps every daemon from the lease.

    Daemons read it before each attempt to acquire the lease.
    """
    async with open_world() as world:
        world.add_executor()
        world.store.put("daemons", "faulty", value)
        world.nursery.start_soon(make_service(world, "a").run)
        job = world.submit(make_step(2))
        await world.wait_for(lambda: world.state(job) == "completed", 6)


async def fail_at_once() -> None:
    """Raise an unexpected error."""
    raise ZeroDivisionError("unexpected")
