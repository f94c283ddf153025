"""Orders run at most once, whichever daemon the caller asks."""

import trio

from hemlockstand.requests.orders import Claim, OrdersService
from hemlockstand.verdict import Answered, MayHaveRun, NotRun, Reason
from test.fleet_fakes import Fleet


async def run_service(kernel, nursery):
    service = OrdersService(kernel)
    await service.start()
    nursery.start_soon(service.run)
    return service


async def test_retry_through_another_daemon(autojump_clock, tmp_path):
    """Guards against a second run of an order that another daemon has."""
    fleet = Fleet(tmp_path)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        second = await run_service(fleet.add("entry-2"), nursery)
        claim = await first.claim("hinge", "order-1")
        assert claim == Claim("hinge", "order-1", issued=False)
        running = await second.claim("hinge", "order-1")
        assert isinstance(running, MayHaveRun)
        assert running.reason == Reason.IN_PROGRESS
        answer = Answered(200, (), b"done")
        await first.finish(claim, answer)
        assert await second.claim("hinge", "order-1") == answer
        nursery.cancel_scope.cancel()


async def test_issued_id_works_without_the_table(autojump_clock, tmp_path):
    """Guards against an outage that stops orders with issued ids."""
    fleet = Fleet(tmp_path)
    async with trio.open_nursery() as nursery:
        kernel = fleet.add("entry-1")
        first = await run_service(kernel, nursery)
        kernel.link.up = False
        (request_id,) = first.issue("hinge", 1)
        claim = await first.claim("hinge", request_id)
        assert claim.issued
        assert isinstance(await first.claim("hinge", request_id), MayHaveRun)
        own = await first.claim("hinge", "order-2")
        assert isinstance(own, NotRun)
        assert own.reason == Reason.CLAIM_UNAVAILABLE
        nursery.cancel_scope.cancel()
