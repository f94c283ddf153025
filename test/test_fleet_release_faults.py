"""Faults while a scheduler releases its lease."""

import pytest
import trio
from attrs import define

from emulator import fleet_executors
from emulator.executor_access import ExecutorAccess
from hemlockstand.errors import OutcomeUnknown
from hemlockstand.platform.executors import ORDER_TIMEOUT_SECONDS
from test.fleet_world import FleetWorld, add_wave, open_world, read_status
from test.test_fleet_budget_takeovers import start_lasting_step
from test.test_fleet_order_intervals import begin_wave, check_intervals

# An order is carried out this long after it was sent, within the time in which
# it may be in flight.
ORDER_SECONDS = 1.9


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


@pytest.mark.parametrize("reopen_seconds", [0.0, 0.2, 0.4, 0.6])
async def test_no_order_is_repeated_once_the_release_may_be_stored(
    clock, reopen_seconds
):
    """Guards against orders of two holders for one instance too soon.

    The store applies the release and does not answer. The machines, which did
    not answer before, do so again while the release is being repeated.
    """
    async with open_world() as world:
        await begin_wave(world, order_seconds=ORDER_SECONDS, call_seconds=0.1)
        daemon = world.daemons["a"]
        waves = daemon.leader._instances.waves.waves
        await world.wait_for(lambda: 1 in waves and waves[1].ordered, 10)
        daemon.instances.closed = True
        await trio.sleep(0.5)
        assert not world.instances.orders
        world.start_daemon("b")
        daemon.rows.lost_answers = 2  # of the last changes and of the release
        world.stop(daemon)
        await world.wait_for(lambda: world.lease_holder() != "a", 1)
        daemon.rows.closed = True
        await trio.sleep(reopen_seconds)
        daemon.instances.closed = False
        await trio.sleep(4)
        daemon.rows.closed = False
        await world.wait_for(lambda: "completed" in read_status(world), 20)
        check_intervals(world)


@define(eq=False)
class LossyAccess(ExecutorAccess):
    """A client whose cut connection also loses the answer to a poll."""

    async def hold(self, due_ms, fence, acked, wait_seconds):
        """Extend the lease; an answer that is lost is noticed by a timeout."""
        sent_at = trio.current_time()
        answer = await ExecutorAccess.hold(self, due_ms, fence, acked, wait_seconds)
        if self.cut(self.executor):
            timeout = sent_at + ORDER_TIMEOUT_SECONDS + wait_seconds
            await trio.sleep_until(timeout)
            raise OutcomeUnknown("no answer")
        return answer


class LossyWorld(FleetWorld):
    """A world in which connections to executors may be cut during a poll."""

    def connect_executor(self, executor, address, cut=lambda executor: False):
        """Return a client of an executor."""
        return LossyAccess(self.executors, executor, address, cut, self.call_seconds)


@pytest.mark.parametrize("kill", [False, True])
@pytest.mark.parametrize("cut_seconds", [0.1, 0.3, 0.5])
async def test_end_of_a_stopped_run_that_is_not_listed_counts(
    clock, monkeypatch, cut_seconds, kill
):
    """Guards against a run that is stopped beside one that ended unnoticed.

    The previous scheduler stopped a run just before it released the lease. The
    connection to its executor fails between the takeover and the end of the run.
    """
    monkeypatch.setattr(fleet_executors, "STOP_SECONDS", 0.85)
    async with trio.open_nursery() as nursery:
        world = LossyWorld(nursery)
        job, _ = await start_lasting_step(world)
        daemon = world.daemons["a"]
        leader = daemon.leader
        first, second, _ = leader.state.registry.jobs[job].runs()
        model = world.executors[first.run.executor]
        (name,) = (
            name
            for name, instance in world.instances.instances.items()
            if instance.executor == second.run.executor
        )
        leader._orders.stop_run(first)
        await trio.sleep(0.01)
        successor = world.start_daemon("b")
        if kill:
            world.kill(daemon)
        else:
            world.stop(daemon)
            leader.state.request_commit()
        await world.wait_for(lambda: successor.leader is not None, 3)
        add_wave(world, [name], maximum=1)
        await trio.sleep(cut_seconds)
        successor.cut_off.add(model.id)
        cut_at = trio.current_time()
        while trio.current_time() < cut_at + 4:
            assert len(world.find_running(job)) >= 2
            await trio.sleep(0.02)
        successor.cut_off.clear()
        await world.wait_for(lambda: "completed" in read_status(world), 30)
        world.check_runs()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("outage_seconds", [2.5, 2.6, 2.7, 2.8])
async def test_order_without_an_answer_is_handed_on_after_an_outage(
    clock, outage_seconds
):
    """Guards against orders of two holders for one instance too soon.

    The scheduler is cut off for longer than its lease while an order gets no
    answer. It then reaches the store again, but not the machines, and leaves.
    """
    async with open_world() as world:
        await begin_wave(world, order_seconds=ORDER_SECONDS)
        daemon = world.daemons["a"]
        daemon.instances.lost_answers = 1
        waves = daemon.leader._instances.waves.waves
        await world.wait_for(lambda: 1 in waves and waves[1].ordered, 10)
        await trio.sleep(0.1)
        daemon.rows.closed = daemon.instances.closed = True
        await trio.sleep(outage_seconds)
        daemon.rows.closed = False
        await world.wait_for(lambda: daemon.leader.state.may_order(), 2)
        world.start_daemon("b")
        world.stop(daemon)
        await world.wait_for(lambda: "completed" in read_status(world), 20)
        check_intervals(world)
