"""Limits service: slots move with demand and never pass the team's limit."""

import trio

from hemlockstand.requests.limits import LimitsService
from test.fleet_fakes import Fleet


async def run_service(kernel, nursery):
    service = LimitsService(kernel)
    await service.start()
    nursery.start_soon(service.run)
    return service


async def test_slots_move_to_demand_within_the_limit(autojump_clock, tmp_path):
    """Guards against two daemons that use one limit twice."""
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
