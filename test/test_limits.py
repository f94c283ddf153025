"""Limits service: slots move with demand and never exceed the team's limit."""

from random import Random

import pytest
import trio

from hemlockstand.coordination.escrow import ELASTIC, Escrow, split_limit
from hemlockstand.peers.demands import Demand
from hemlockstand.platform.memory import MemoryTable
from hemlockstand.requests.limits import LimitsService
from hemlockstand.requests.slots import RECENT_USE_SECONDS
from test.limit_fakes import Fleet


async def run_service(kernel, nursery):
    service = LimitsService(kernel)
    await service.start()
    nursery.start_soon(service.run)
    return service


async def test_slots_move_to_demand_within_the_limit(autojump_clock, tmp_path):
    """Guards against two daemons that together exceed a team's limit."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 3)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        second = await run_service(fleet.add("entry-2"), nursery)
        now = trio.current_time()
        slots = [await first.wait_slot("hinge", now + 20, True) for _ in range(3)]
        assert all(slot.may_send() for slot in slots)
        assert await second.wait_slot("hinge", now + 5, True) is None
        slots.pop().release(certain=True)
        moved = await second.wait_slot("hinge", trio.current_time() + 20, True)
        assert moved.may_send()
        nursery.cancel_scope.cancel()


async def hold_slot(service, team, seconds):
    """Hold one slot for some seconds; return whether there was one to use."""
    slot = await service.wait_slot(team, trio.current_time() + 15, False)
    if slot is None or not slot.may_send():
        return False
    await trio.sleep(seconds)
    slot.release(certain=True)
    return True


async def test_slots_of_a_killed_daemon_come_back(autojump_clock, tmp_path):
    """Guards against a killed daemon's slots that are lost or reused early."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 2)
    async with trio.open_nursery() as nursery:
        second = await run_service(fleet.add("entry-2"), nursery)
        async with trio.open_nursery() as killed:
            first = await run_service(fleet.add("entry-1"), killed)
            now = trio.current_time()
            slots = [await first.wait_slot("hinge", now + 30, True) for _ in range(2)]
            assert all(slot.may_send() for slot in slots)
            await trio.sleep(5)
            killed.cancel_scope.cancel()
        fleet.peers["entry-1"].alive = False
        killed_at = trio.current_time()
        slot = None
        while slot is None:
            slot = await second.wait_slot("hinge", trio.current_time() + 20, True)
        limits = second.settings.limits
        longest = second.settings.requests.max_deadline_seconds
        wait = limits.lease_seconds + longest + limits.margin_seconds
        waited = trio.current_time() - killed_at
        assert wait - limits.renew_seconds <= waited <= wait + 10
        nursery.cancel_scope.cancel()


async def test_outage_stops_no_slot_while_the_proof_holds(autojump_clock, tmp_path):
    """Guards against an outage that ends the use of held slots."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 2)
    async with trio.open_nursery() as nursery:
        kernel = fleet.add("entry-1")
        first = await run_service(kernel, nursery)
        assert await hold_slot(first, "hinge", 1)
        freshness = kernel.find("freshness", object)
        kernel.link.down = True
        freshness.outage = {"fleet": True, "data_centre": True}
        for _ in range(100):
            assert await hold_slot(first, "hinge", 5)
        freshness.outage = {"fleet": False, "data_centre": False}
        assert not await hold_slot(first, "hinge", 5)
        nursery.cancel_scope.cancel()


async def test_cut_off_data_centre_serves_reserved_slots(autojump_clock, tmp_path):
    """Guards against a cut-off data centre that uses elastic slots or none."""
    fleet = Fleet(tmp_path, reserved=0.5)
    fleet.configuration.set_limit("hinge", 8)
    async with trio.open_nursery() as nursery:
        kernel = fleet.add("entry-1")
        first = await run_service(kernel, nursery)
        assert await hold_slot(first, "hinge", 1)
        freshness = kernel.find("freshness", object)
        kernel.link.down = True
        freshness.outage["data_centre"] = True
        freshness.fresh["fleet"] = False
        await trio.sleep(300)
        deadline = trio.current_time() + 10
        slots = [first.take("hinge", deadline, keyed=False) for _ in range(8)]
        assert sum(slot is not None for slot in slots) == 2
        assert all(slot.may_send() for slot in slots if slot is not None)
        assert first.take("hinge", deadline, keyed=True) is None
        nursery.cancel_scope.cancel()


async def test_stop_leaves_no_slots_behind(autojump_clock, tmp_path):
    """Guards against slots that stay held after a stop until reclaimed."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 4)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        slot = await first.wait_slot("hinge", trio.current_time() + 10, True)
        assert slot.may_send()
        with trio.move_on_after(3) as waiting:
            await first.stop()
        assert waiting.cancelled_caught
        slot.release(certain=True)
        await first.stop()
        assert list(fleet.table.rows) == ["limit/hinge"]
        assert fleet.table.rows["limit/hinge"].value["holders"] == {}
        nursery.cancel_scope.cancel()


async def test_lost_session_is_replaced_by_a_new_one(autojump_clock, tmp_path):
    """Guards against a daemon that gets no slots after a long pause."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 4)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        assert await hold_slot(first, "hinge", 1)
        for key in [key for key in fleet.table.rows if key.startswith("holder/")]:
            del fleet.table.rows[key]
        await trio.sleep(10)
        assert await hold_slot(first, "hinge", 1)
        nursery.cancel_scope.cancel()


async def test_slot_of_another_waiter_is_held_until_the_later_deadline(
    autojump_clock, tmp_path
):
    """Guards against reuse of a slot while its request may still be running:
    one request waited for the slot, another with a later deadline uses it."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 1)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        now = trio.current_time()
        passed_on = await first.wait_slot("hinge", now + 2, False)
        assert passed_on.may_send(deadline=now + 20)
        passed_on.release(certain=False)
        assert await first.wait_slot("hinge", now + 20, False) is None
        margin = first.settings.limits.margin_seconds
        again = await first.wait_slot("hinge", now + 25, False)
        assert trio.current_time() >= now + 20 + margin
        assert again.may_send()
        nursery.cancel_scope.cancel()


async def test_send_counts_against_the_limit_in_force(autojump_clock, tmp_path):
    """Guards against a send above a limit that was lowered after the take."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 4)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        slot = await first.wait_slot("hinge", trio.current_time() + 10, False)
        fleet.configuration.set_limit("hinge", 1)
        assert not slot.may_send()
        slot.release(certain=True)
        slot = await first.wait_slot("hinge", trio.current_time() + 10, False)
        assert slot.may_send()
        dropped = await first.wait_slot("clamp", trio.current_time() + 1, False)
        assert dropped is None
        nursery.cancel_scope.cancel()


async def test_slots_of_a_dropped_team_are_returned(autojump_clock, tmp_path):
    """Guards against slots that a dropped team holds for ever."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 4)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        assert await hold_slot(first, "hinge", 1)
        fleet.configuration.drop_team("hinge")
        assert first.take("hinge", trio.current_time() + 1, False) is None
        await trio.sleep(2)
        assert fleet.table.rows["limit/hinge"].value["holders"] == {}
        nursery.cancel_scope.cancel()


async def test_two_busy_daemons_share_a_full_limit(autojump_clock, tmp_path):
    """Guards against callers of one daemon that starve while those of
    another reuse every slot that becomes free there."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 8)
    served = {}
    async with trio.open_nursery() as nursery:
        for name in ("entry-1", "entry-2"):
            service = await run_service(fleet.add(name), nursery)
            for _ in range(12):
                nursery.start_soon(hold_slots_repeatedly, service, served, name)
            await trio.sleep(10)
        served.clear()
        await trio.sleep(60)
        assert 0.5 <= served["entry-1"] / served["entry-2"] <= 2
        nursery.cancel_scope.cancel()


async def hold_slots_repeatedly(service, served, name):
    while True:
        if await hold_slot(service, "hinge", 0.5):
            served[name] = served.get(name, 0) + 1


async def test_queue_behind_one_waiter_gets_slots_quickly(autojump_clock, tmp_path):
    """Guards against slots that move one at a time because dispatch makes one
    call on behalf of its whole queue."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 64)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        second = await run_service(fleet.add("entry-2"), nursery)
        started_at = trio.current_time()
        slots = [
            await first.wait_slot("hinge", started_at + 20, True) for _ in range(64)
        ]
        for slot in slots:
            slot.release(certain=True)
        started_at = trio.current_time()
        for _ in range(64):
            assert await second.wait_slot("hinge", started_at + 20, True)
        assert trio.current_time() - started_at < 10
        nursery.cancel_scope.cancel()


async def test_return_under_an_older_configuration_keeps_the_newer_limit():
    """Guards against a row that combines the old limit with the newer version,
    because no daemon may write such a row or take slots from it."""
    table = MemoryTable()
    old = split_limit(20, 0.0, ["dc1"], 1)
    new = split_limit(1, 0.0, ["dc1"], 2)
    first = Escrow(table, "limit/hinge", "entry-1/a")
    second = Escrow(table, "limit/hinge", "entry-2/a")
    await first.take({ELASTIC: 5}, old)
    await second.apply_limit({}, new)
    await first.shrink({}, old)
    row = await table.read("limit/hinge")
    assert (row.value["limit"], row.value["version"]) == (1, 2)
    assert await second.take({ELASTIC: 1}, new) == {ELASTIC: 1}


@pytest.mark.parametrize("seed", range(8))
async def test_fleet_serves_as_much_as_one_limit(autojump_clock, tmp_path, seed):
    """Differential test against a single counter of all requests.

    Guards against slots that stay idle at one daemon while another waits.
    Three daemons get random demands; once slots have had time to move, exactly
    as many requests run as the counter admits.
    """
    random = Random(seed)
    fleet = Fleet(tmp_path)
    async with trio.open_nursery() as nursery:
        services = [
            await run_service(fleet.add(f"entry-{number}"), nursery)
            for number in range(3)
        ]
        for _ in range(12):
            limit = random.choice([1, 3, 8, 20])
            fleet.configuration.set_limit("hinge", limit)
            demands = [random.choice([0, 1, 4, 12]) for _ in services]
            running = []
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as callers:
                    for service, demand in zip(services, demands, strict=True):
                        for _ in range(demand):
                            callers.start_soon(run_until_cancelled, service, running)
                    await trio.sleep(6)
                    assert len(running) == min(limit, sum(demands))
                    scope.cancel()
        nursery.cancel_scope.cancel()


async def run_until_cancelled(service, running):
    slot = await service.wait_slot("hinge", trio.current_time() + 25, False)
    try:
        if slot is not None and slot.may_send():
            running.append(slot)
        await trio.sleep_forever()
    finally:
        if slot is not None:
            slot.release(certain=True)


async def test_first_request_does_not_wait_for_a_round(autojump_clock, tmp_path):
    """Guards against a first request that waits for the next rebalancing.

    It comes after a pause of more than ten rebalancing intervals.
    """
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 8)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        await trio.sleep(10.1 * first.settings.limits.rebalance_seconds)
        started_at = trio.current_time()
        slot = await first.wait_slot("hinge", started_at + 5, True)
        assert slot.may_send()
        assert (
            trio.current_time() - started_at
            < first.settings.limits.rebalance_seconds / 4
        )
        nursery.cancel_scope.cancel()


async def test_moves_on_demand_are_rate_limited(autojump_clock, tmp_path):
    """Guards against a table write for each request of a team at its limit.

    Slots are moved by writes to the table, so the test counts the moves.
    """
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 1)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        second = await run_service(fleet.add("entry-2"), nursery)
        held = await first.wait_slot("hinge", trio.current_time() + 5, True)
        assert held.may_send()
        moves = 0
        move = second._move

        async def count(team, view):
            nonlocal moves
            moves += 1
            await move(team, view)

        second._move = count
        for _ in range(200):
            now = trio.current_time()
            assert await second.wait_slot("hinge", now + 0.01, True) is None
        assert moves <= 2 / second.settings.limits.rebalance_seconds + 2
        nursery.cancel_scope.cancel()


async def test_daemon_under_light_load_keeps_what_it_uses(autojump_clock, tmp_path):
    """Guards against a daemon that returns its slots in each pause between
    requests, and against one that keeps slots without using them."""
    fleet = Fleet(tmp_path)
    fleet.configuration.set_limit("hinge", 8)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        fleet.add("entry-2")
        deadline = trio.current_time() + 20
        slots = [await first.wait_slot("hinge", deadline, True) for _ in range(3)]
        await trio.sleep(1.0)
        for slot in slots:
            slot.release(certain=True)
        demand = Demand(waiting=100, running=0, idle=0)
        fleet.peers["entry-2"].publish_demand("hinge", demand)
        held = first._teams["hinge"].held
        await trio.sleep(2.1 * first.settings.limits.rebalance_seconds)
        assert held() == 3
        await trio.sleep(2 * RECENT_USE_SECONDS)
        assert held() == 0
        nursery.cancel_scope.cancel()
