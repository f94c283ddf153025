"""Sends requests to executors and decides their verdicts.

A request to a queue that is not idempotent is called an order. It is sent at
most once, unless the verdict of the send was ``NotRun``. This module makes
all retries of a daemon, within the retry budget of the pool.
"""

from itertools import count

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.coordination.fairqueue import FairQueue, QueueFull
from hemlockstand.coordination.freshness import Scope
from hemlockstand.coordination.retries import Backoff, RetryBudget
from hemlockstand.errors import HemlockstandError, InvalidInput
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.model import Queue
from hemlockstand.requests.interfaces import (
    ConfigurationSource,
    FreshnessSource,
    LimitsSource,
    OrdersSource,
    PeersSource,
    Slot,
)
from hemlockstand.requests.messages import Request, decode_request, encode_request
from hemlockstand.requests.pools import PoolDispatcher, Waiter
from hemlockstand.requests.shares import (
    IDLE_UPDATE_SECONDS,
    UPDATE_SECONDS,
    FleetShares,
)
from hemlockstand.requests.upstreams import UpstreamsService
from hemlockstand.traces import inject_context, record_span
from hemlockstand.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

log = logger.bind(module=__name__)

OVERLOAD_RETRY_SECONDS = 1.0
NO_UPSTREAM_RETRY_SECONDS = 2.0
# A request is refused if its estimated queueing time exceeds this fraction of
# the time left until it has to start. With a fraction of 1, requests started
# so late at a load of five times the capacity that half of them missed their
# deadline.
WAIT_FRACTION = 0.5
STOP_MARGIN_SECONDS = 2.0
STOP_CHECK_SECONDS = 0.02

# Codes of peer errors which prove that the peer did not accept the message.
_REFUSED_FORWARD_CODES = frozenset(
    {"peer_unknown", "peer_incarnation_gone", "peer_method_unserved"}
)


@define(eq=False)
class _PendingVerdict:
    """The verdict of an order that runs in its own task, once it is known."""

    done: trio.Event = field(factory=trio.Event)
    verdict: Verdict | None = None

    def set(self, verdict: Verdict) -> None:
        """Set the verdict; later calls have no effect."""
        if self.verdict is None:
            self.verdict = verdict
            self.done.set()


@register
class DispatchService(Service):
    """Queues requests, sends them to executors and retries them."""

    name = "dispatch"
    needs = ("configuration", "freshness", "limits", "orders", "peers", "upstreams")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.pools: dict[str, PoolDispatcher] = {}
        self._backoff = Backoff()
        self._nursery: trio.Nursery | None = None
        self._running = trio.Event()
        self._orders_running = 0

    async def start(self) -> None:
        """Find the services that dispatch depends on."""
        find = self.kernel.find
        self._configuration = find("configuration", ConfigurationSource)
        self._freshness = find("freshness", FreshnessSource)
        self._limits = find("limits", LimitsSource)
        self._orders = find("orders", OrdersSource)
        self._peers = find("peers", PeersSource)
        self._upstreams = find("upstreams", UpstreamsService)
        self._shares = FleetShares(self.settings.daemon.data_centre, self._peers)
        self._peers.handle_forward(self._run_forwarded)

    async def run(self) -> None:
        """Run the tasks of pools and orders, and update team weights."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._running.set()
            await self._update_weights()

    async def _update_weights(self) -> None:
        waiting: dict[str, dict[str, int]] = {}
        while True:
            is_idle = not any(waiting.values())
            await trio.sleep(IDLE_UPDATE_SECONDS if is_idle else UPDATE_SECONDS)
            waiting = {
                name: pool.waiting.count_waiting() for name, pool in self.pools.items()
            }
            limited = {name: pool.limited_teams() for name, pool in self.pools.items()}
            self._shares.update(self._configuration.current, waiting, limited)
            for name, teams in waiting.items():
                for team in teams:
                    self.pools[name].reweigh(team, self._find_share(team))

    def _find_share(self, team: str) -> float:
        known = self._configuration.current.teams.get(team)
        return known.share if known is not None else 1.0

    async def stop(self) -> None:
        """Wait for running orders, including those whose callers are gone."""
        longest = self.settings.requests.max_deadline_seconds
        with trio.move_on_after(longest + STOP_MARGIN_SECONDS):
            while self._orders_running:
                await trio.sleep(STOP_CHECK_SECONDS)

    async def execute(self, request: Request) -> Verdict:
        """Run the request and return its verdict.

        An order runs in its own task. If the caller disconnects, the order
        goes on and its outcome is kept, so that the caller can look it up.
        """
        await self._running.wait()
        queue = self._configuration.current.queues.get(request.queue)
        if queue is None:
            return NotRun(
                Reason.UNKNOWN_QUEUE, f"queue {request.queue!r} does not exist", None
            )
        if queue.idempotent:
            return await self._run_with_retries(request, queue)
        owner = self._orders.owner_of(queue.team, request.id)
        if owner is not None and owner != self._peers.incarnation:
            return await self._forward(owner, request)
        outcome = _PendingVerdict()
        self._nursery.start_soon(self._run_order, request, queue, outcome)
        await outcome.done.wait()
        return outcome.verdict

    async def _forward(self, owner: str, request: Request) -> Verdict:
        """Forward the order to the daemon that issued its id."""
        headers: dict[str, str] = {}
        inject_context(headers)
        left = request.deadline - trio.current_time()
        try:
            return await self._peers.forward(
                owner, encode_request(request, headers), left
            )
        except HemlockstandError as error:
            # An earlier attempt with this id may have run on that daemon.
            gone = error.code in _REFUSED_FORWARD_CODES
            reason = Reason.OWNER_GONE if gone else Reason.OWNER_UNREACHABLE
            return MayHaveRun(
                request.id, reason, f"daemon {owner} issued the id: {error}"
            )

    async def _run_forwarded(self, message: bytes) -> Verdict:
        """Run an order that a peer forwarded, as this daemon issued its id."""
        try:
            request = decode_request(message)
        except InvalidInput as error:
            return NotRun(Reason.INVALID_REQUEST, error.message, None)
        if self._orders.owner_of(request.team, request.id) != self._peers.incarnation:
            return NotRun(
                Reason.INVALID_REQUEST,
                f"id {request.id!r} was not issued here",
                None,
            )
        with record_span("forwarded", request.trace_headers, queue=request.queue):
            return await self.execute(request)

    async def _run_order(
        self, request: Request, queue: Queue, outcome: _PendingVerdict
    ) -> None:
        """Claim the order, run it, and record its outcome."""
        verdict: Verdict = MayHaveRun(
            request.id, Reason.ANSWER_LOST, "the daemon failed while it ran the order"
        )
        self._orders_running += 1
        try:
            claim = await self._orders.claim(queue.team, request.id, request.deadline)
            if isinstance(claim, Answered | NotRun | MayHaveRun):
                outcome.set(claim)
                return
            try:
                verdict = await self._run_with_retries(request, queue)
            finally:
                # A caller that is answered "not run" may send the order again
                # at once, so the claim is released before the answer is given.
                if not isinstance(verdict, NotRun):
                    outcome.set(verdict)
                with trio.CancelScope(shield=True):
                    await self._orders.finish(claim, verdict)
        except Exception:
            log.exception(
                "executing order {} of team {} failed", request.id, queue.team
            )
        finally:
            self._orders_running -= 1
            outcome.set(verdict)

    async def _run_with_retries(self, request: Request, queue: Queue) -> Verdict:
        """Retry until the verdict is final or the retry budget is spent."""
        pool = self._find_pool(queue.pool)
        pool.budget.record_first_try()
        earlier: Answered | MayHaveRun | None = None
        avoid: str | None = None
        for number in count(1):
            waiter = self._make_waiter(request, queue, avoid)
            verdict = await self._attempt(pool, waiter, is_retry=number > 1)
            if isinstance(verdict, Answered | MayHaveRun):
                earlier = verdict
            if not _may_retry(verdict, queue) or not pool.budget.try_spend():
                break
            avoid = waiter.executor.id if waiter.executor is not None else None
            await trio.sleep(self._backoff.delay(number))
        # "Not run" is only correct if no earlier attempt ran or may have run.
        if isinstance(verdict, NotRun) and earlier is not None:
            return earlier
        return verdict

    async def _attempt(
        self, pool: PoolDispatcher, waiter: Waiter, is_retry: bool
    ) -> Verdict:
        refusal = await self._wait_for_executor(pool, waiter, is_retry)
        if refusal is not None:
            return refusal
        slot = waiter.slot
        certain = False
        try:
            verdict = await self._upstreams.call(
                waiter.executor, waiter.request, lambda: self._may_send(waiter, slot)
            )
            certain = not isinstance(verdict, MayHaveRun)
            return verdict
        finally:
            slot.release(certain)
            pool.assign()

    async def _wait_for_executor(
        self, pool: PoolDispatcher, waiter: Waiter, is_retry: bool
    ) -> NotRun | None:
        """Wait for an executor and slot; return a refusal if none is free."""
        share = self._find_share(waiter.queue.team)
        refusal = self._check_wait(pool, waiter, share, is_retry)
        if refusal is not None:
            return refusal
        try:
            entry = pool.add(waiter, share, front=is_retry)
        except QueueFull as error:
            return NotRun(Reason.OVERLOADED, error.message, OVERLOAD_RETRY_SECONDS)
        try:
            with trio.move_on_at(waiter.latest_start):
                await waiter.granted.wait()
        except trio.Cancelled:
            pool.return_grant(waiter)
            raise
        finally:
            pool.waiting.remove(entry)
        if waiter.executor is not None:
            return None
        return NotRun(
            Reason.DEADLINE_EXPIRED,
            f"the request waited too long for the pool {pool.pool!r}",
            OVERLOAD_RETRY_SECONDS,
        )

    def _check_wait(
        self, pool: PoolDispatcher, waiter: Waiter, share: float, is_retry: bool
    ) -> NotRun | None:
        """Return a refusal if the request could not be started in time."""
        now = trio.current_time()
        if waiter.latest_start <= now:
            return NotRun(
                Reason.DEADLINE_TOO_SHORT,
                f"{waiter.request.deadline - now:.3f} s remain, the pool "
                f"{pool.pool!r} answers more slowly",
                OVERLOAD_RETRY_SECONDS,
            )
        if not pool.has_upstream(waiter.queue, now):
            return NotRun(
                Reason.NO_UPSTREAM,
                f"no upstream of pool {pool.pool!r} takes work",
                NO_UPSTREAM_RETRY_SECONDS,
            )
        wait = pool.estimate_wait(waiter.queue, share)
        if is_retry or wait <= WAIT_FRACTION * (waiter.latest_start - now):
            return None
        return NotRun(
            Reason.OVERLOADED,
            f"the pool {pool.pool!r} could start it in {wait:.3f} s",
            max(wait, OVERLOAD_RETRY_SECONDS),
        )

    def _may_send(self, waiter: Waiter, slot: Slot) -> bool:
        """Check the limit and the key again, immediately before the send.

        If the process was paused while the request waited, its lease may have
        expired or the key may have been withdrawn in the meantime.
        """
        if not slot.may_send(waiter.request.deadline):
            return False
        if not waiter.is_keyed:
            return True
        if not self._freshness.is_fresh(Scope.FLEET):
            return False
        return waiter.request.key in self._configuration.current.keys

    def _make_waiter(self, request: Request, queue: Queue, avoid: str | None) -> Waiter:
        now = trio.current_time()
        latency = self._upstreams.registry.measure_latency(queue.pool, now)
        latest_start = request.deadline - latency.upper
        if latest_start <= now:
            latest_start = request.deadline - latency.shortest
        return Waiter(request, queue, latest_start, avoid)

    def _find_pool(self, name: str) -> PoolDispatcher:
        pool = self.pools.get(name)
        if pool is None:
            settings = self.settings.requests
            pool = self.pools[name] = PoolDispatcher(
                name,
                FairQueue(settings.queue_length, settings.batch_fraction),
                RetryBudget(settings.retry_fraction),
                self._upstreams.registry,
                self._limits,
                self._shares,
                self._nursery,
                self._find_pool,
            )
            self._nursery.start_soon(pool.run)
        return pool


def _may_retry(verdict: Verdict, queue: Queue) -> bool:
    match verdict:
        case NotRun(reason=Reason.UPSTREAM_REFUSED):
            return True
        case MayHaveRun(reason=Reason.DEADLINE_EXPIRED):
            return False
        case MayHaveRun():
            return queue.idempotent
        case Answered(status=status):
            return queue.idempotent and status >= 500
        case _:
            return False
