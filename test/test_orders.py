"""Orders run at most once, whichever daemon the caller asks."""

import trio

from hemlockstand.errors import OutcomeUnknown
from hemlockstand.requests.orders import Claim, OrdersService
from hemlockstand.verdict import Answered, MayHaveRun, NotRun, Reason
from test.limit_fakes import Fleet


async def run_service(kernel, nursery):
    service = OrdersService(kernel)
    await service.start()
    nursery.start_soon(service.run)
    return service


async def test_retry_through_another_daemon(autojump_clock, tmp_path):
    """Guards against a second run of an order claimed by another daemon."""
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
        kernel.link.down = True
        (request_id,) = first.issue("hinge", 1)
        claim = await first.claim("hinge", request_id)
        assert claim.issued
        assert isinstance(await first.claim("hinge", request_id), MayHaveRun)
        own = await first.claim("hinge", "order-2")
        assert isinstance(own, NotRun)
        assert own.reason == Reason.CLAIM_UNAVAILABLE
        nursery.cancel_scope.cancel()


async def test_claim_of_a_gone_owner_may_have_run(autojump_clock, tmp_path):
    """Guards against "not run" for an order that a killed daemon sent."""
    fleet = Fleet(tmp_path)
    async with trio.open_nursery() as nursery:
        kernel = fleet.add("entry-1")
        first = await run_service(kernel, nursery)
        second = await run_service(fleet.add("entry-2"), nursery)
        await first.claim("hinge", "order-1")
        kernel.find("peers", object).alive = False
        verdict = await second.claim("hinge", "order-1")
        assert isinstance(verdict, MayHaveRun)
        assert verdict.reason == Reason.OWNER_GONE
        nursery.cancel_scope.cancel()


async def test_expired_result_is_not_run_again(autojump_clock, tmp_path):
    """Guards against an owner that runs an order again on its old claim."""
    fleet = Fleet(tmp_path)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        claim = await first.claim("hinge", "order-1")
        answer = Answered(200, (("content-type", "text/plain"),), b"done")
        await first.finish(claim, answer)
        await trio.sleep(first.settings.requests.result_keep_seconds + 1)
        assert await first.claim("hinge", "order-1") == answer
        nursery.cancel_scope.cancel()


async def test_lost_claim_reply_is_resolved_by_reading(autojump_clock, tmp_path):
    """Guards against a second insert, or a refusal, after a lost reply."""
    fleet = Fleet(tmp_path)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        fleet.table.fail_next(OutcomeUnknown("reply lost"), applied=True)
        claim = await first.claim("hinge", "order-1")
        assert isinstance(claim, Claim)
        assert fleet.table.writes == 1
        nursery.cancel_scope.cancel()


async def test_refused_order_can_run_through_another_daemon(autojump_clock, tmp_path):
    """Guards against a claim that is kept although its order did not run."""
    fleet = Fleet(tmp_path)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        second = await run_service(fleet.add("entry-2"), nursery)
        claim = await first.claim("hinge", "order-1")
        await first.finish(claim, NotRun(Reason.UPSTREAM_REFUSED, "full", 1.0))
        assert isinstance(await second.claim("hinge", "order-1"), Claim)
        nursery.cancel_scope.cancel()


async def test_claims_that_arrive_together_share_a_transaction(
    autojump_clock, tmp_path
):
    """Guards against one transaction per order in a burst."""
    fleet = Fleet(tmp_path)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        async with trio.open_nursery() as callers:
            for number in range(50):
                callers.start_soon(first.claim, "hinge", f"order-{number}")
        assert first.commits.transactions == 1
        nursery.cancel_scope.cancel()


async def test_old_claims_are_deleted_in_small_batches(autojump_clock, tmp_path):
    """Guards against claims that are kept for ever or deleted too early."""
    fleet = Fleet(tmp_path)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        for number in range(150):
            claim = await first.claim("hinge", f"order-{number}")
            await first.finish(claim, Answered(200, (), b""))
        keep = first.settings.requests.result_keep_seconds
        await trio.sleep(keep)
        assert len(fleet.table.rows) == 150
        await trio.sleep(first.settings.requests.max_deadline_seconds + 30)
        assert len(fleet.table.rows) == 0
        nursery.cancel_scope.cancel()


async def test_ids_of_two_teams_never_share_a_claim(autojump_clock, tmp_path):
    """Guards against teams that share a claim because of a slash in a name."""
    fleet = Fleet(tmp_path)
    async with trio.open_nursery() as nursery:
        first = await run_service(fleet.add("entry-1"), nursery)
        assert isinstance(await first.claim("hinge/a", "b"), Claim)
        assert isinstance(await first.claim("hinge", "a/b"), Claim)
        (request_id,) = first.issue("hinge", 1)
        assert first.owner_of("hinge", request_id) == "inc-entry-1"
        assert first.owner_of("clamp", request_id) is None
        nursery.cancel_scope.cancel()


async def test_stop_while_outcomes_are_written(autojump_clock, tmp_path):
    """Guards against two tasks that write one outcome, and against a stop
    that does not wait for the other task."""
    fleet = Fleet(tmp_path)
    kernel = fleet.add("entry-1")
    kernel.link.delay_seconds = 0.005
    async with trio.open_nursery() as nursery:
        first = await run_service(kernel, nursery)
        # Trio runs ready tasks in a random order, so the sequence is repeated.
        for number in range(20):
            claim = await first.claim("hinge", f"order-{number}")
            await first.finish(claim, Answered(200, (), b""))
            await trio.sleep(first.settings.requests.claim_batch_seconds)
            await trio.sleep(kernel.link.delay_seconds)
            await first.stop()
            row = fleet.table.rows[f"claim/hinge/order-{number}"]
            assert row.value["state"] == "finished"
        nursery.cancel_scope.cancel()


async def test_claim_ends_at_the_deadline_of_the_order(autojump_clock, tmp_path):
    """Guards against callers that get no verdict while the platform does not
    answer, and against an order that cannot run elsewhere after "not run"."""
    fleet = Fleet(tmp_path)
    kernel = fleet.add("entry-1")
    kernel.link.delay_seconds = 10.0
    async with trio.open_nursery() as nursery:
        first = await run_service(kernel, nursery)
        second = await run_service(fleet.add("entry-2"), nursery)
        verdicts = {}

        async def claim(order, seconds):
            deadline = trio.current_time() + seconds
            verdicts[order] = await first.claim("hinge", order, deadline)
            assert trio.current_time() == deadline

        async with trio.open_nursery() as callers:
            callers.start_soon(claim, "sent", 3.0)
            await trio.sleep(1.0)
            callers.start_soon(claim, "waiting", 1.5)
        for order in ("sent", "waiting"):
            assert isinstance(verdicts[order], NotRun), order
        # The insert in flight arrives late, and the daemon deletes its row.
        kernel.link.delay_seconds = 0.0
        await trio.sleep(20.0)
        assert fleet.table.rows == {}
        for order in ("sent", "waiting"):
            assert isinstance(await second.claim("hinge", order), Claim)
        nursery.cancel_scope.cancel()


async def test_refusal_does_not_wait_for_a_silent_platform(autojump_clock, tmp_path):
    """Guards against a "not run" that its caller gets long after the deadline.

    This happens if the refusal waits for a platform that does not answer.
    """
    fleet = Fleet(tmp_path)
    kernel = fleet.add("entry-1")
    async with trio.open_nursery() as nursery:
        first = await run_service(kernel, nursery)
        second = await run_service(fleet.add("entry-2"), nursery)
        claim = await first.claim("hinge", "order-1")
        kernel.link.delay_seconds = 10.0
        started_at = trio.current_time()
        await first.finish(claim, NotRun(Reason.UPSTREAM_REFUSED, "full", 1.0))
        assert trio.current_time() - started_at <= 1.0
        kernel.link.delay_seconds = 0.0
        await trio.sleep(15.0)
        assert isinstance(await second.claim("hinge", "order-1"), Claim)
        nursery.cancel_scope.cancel()
