"""At-most-once execution of orders: claims, issued ids and kept results.

An order is a request to a queue that is not idempotent. It is claimed under
its id before it is sent: in the ledger in the table for an id that the caller
chose, in memory for an id that a daemon issued.
"""

import hashlib
import hmac
from base64 import b64decode, b64encode
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import trio
from attrs import define, field, frozen
from loguru import logger

from hemlockstand.coordination.commits import GroupCommit
from hemlockstand.coordination.ledger import (
    ClaimCleaner,
    ClaimState,
    Finished,
    Granted,
    Ledger,
    Pending,
)
from hemlockstand.coordination.requestids import IdIssuer
from hemlockstand.errors import HemlockstandError, InvalidInput
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.platform.service import PlatformService
from hemlockstand.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

log = logger.bind(module=__name__)

MAX_ISSUED_IDS = 1000  # ids of one call
# Larger bodies are not written to the ledger; only the daemon that received
# the answer keeps them, in memory.
MAX_STORED_BODY_BYTES = 8192
RETRY_SECONDS = 1.0
# A caller waits while its claim is released. If the platform does not answer,
# a commit takes twice the platform timeout, so the wait has its own bound.
RELEASE_TIMEOUT_SECONDS = 0.5
STOP_POLL_SECONDS = 0.02
# Each clean-up reads 200 claims, so that this interval keeps up with 40 orders
# a second.
CLEAN_INTERVAL_SECONDS = 5.0


@frozen
class Claim:
    """Permission to run one order once, until ``OrdersService.finish``.

    ``issued`` says that a daemon issued the id, so that the ledger has no row.
    """

    team: str
    request_id: str
    issued: bool

    @property
    def name(self) -> str:
        """The claim's name in the ledger."""
        return make_claim_name(self.team, self.request_id)


def make_claim_name(team: str, request_id: str) -> str:
    """Return the name of an order in the ledger.

    Both parts are quoted, so that a slash in either cannot give orders of two
    teams the same name.
    """
    return f"{quote(team, safe='')}/{quote(request_id, safe='')}"


@register
class OrdersService(Service):
    """Runs each order at most once."""

    name = "orders"
    needs = ("platform", "configuration", "peers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        requests = self.settings.requests
        self.peers = kernel.find("peers", Service)
        self.table = kernel.find("platform", PlatformService).platform.table
        self.clock = trio.current_time
        self.commits = GroupCommit(self.table, requests.claim_batch_seconds)
        self._ledger = Ledger(self.commits, self.peers.incarnation)
        self._issuer = IdIssuer(self.peers.incarnation, self._derive_secret())
        self._verdict_cache = VerdictCache(
            requests.max_kept_results, requests.result_keep_seconds, self.clock
        )
        self._unwritten: dict[str, Verdict] = {}
        self._writing: set[str] = set()
        self._wake = trio.Event()

    async def start(self) -> None:
        """Register the handler for peers that ask for outcomes."""
        self.peers.handle_ask(self._answer)

    async def run(self) -> None:
        """Commit claims, write outcomes and delete old claims."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.commits.run)
            nursery.start_soon(self._write_forever)
            nursery.start_soon(self._clean_forever)

    async def stop(self) -> None:
        """Write the remaining outcomes, within the platform timeout."""
        with trio.move_on_after(self.settings.platform.timeout_seconds):
            while self._unwritten:
                await self._write_outcomes()
                await trio.sleep(STOP_POLL_SECONDS)

    def issue(self, team: str, count: int) -> list[str]:
        """Return new ids, whose claims need no table access.

        Raises ``InvalidInput`` if ``count`` is out of range.
        """
        if not 1 <= count <= MAX_ISSUED_IDS:
            raise InvalidInput(f"count is {count}: must be from 1 to {MAX_ISSUED_IDS}")
        return self._issuer.issue(team, count)

    def owner_of(self, team: str, request_id: str) -> str | None:
        """Return the daemon incarnation that issued the id, or None.

        Ids that callers chose have no owner. A request with an id that
        another daemon issued has to be forwarded to that daemon.
        """
        return self._issuer.owner_of(team, request_id)

    async def claim(
        self, team: str, request_id: str, deadline: float = float("inf")
    ) -> Claim | Verdict:
        """Claim an order, or return the verdict for the caller.

        A claim that is not committed by the deadline results in ``NotRun``.
        """
        kept = self._verdict_cache.find(make_claim_name(team, request_id))
        if kept is not None:
            return kept
        owner = self.owner_of(team, request_id)
        if owner is None:
            claim = Claim(team, request_id, issued=False)
            return await self._claim_row(claim, deadline)
        if owner != self.peers.incarnation:
            return await self._ask(owner, team, request_id)
        return self._claim_issued(Claim(team, request_id, issued=True))

    async def finish(self, claim: Claim, verdict: Verdict) -> None:
        """Record the verdict of a claimed order.

        The claim of an order that was not run is released before this
        returns, provided that the platform answers within
        ``RELEASE_TIMEOUT_SECONDS``; other outcomes are written later in
        batches.
        """
        if claim.issued:
            self._finish_issued(claim, verdict)
            return
        self._unwritten[claim.name] = verdict
        self._wake.set()
        if not isinstance(verdict, NotRun):
            self._verdict_cache.keep(claim.name, verdict)
            return
        with trio.move_on_after(RELEASE_TIMEOUT_SECONDS):
            await self._write(claim.name)

    async def look_up(self, team: str, request_id: str) -> Verdict:
        """Return the verdict that is known of an order, without running it."""
        kept = self._verdict_cache.find(make_claim_name(team, request_id))
        if kept is not None:
            return kept
        owner = self.owner_of(team, request_id)
        if owner == self.peers.incarnation:
            return self._look_up_issued(request_id)
        if owner is not None:
            return await self._ask(owner, team, request_id)
        try:
            state = await self._ledger.look_up(make_claim_name(team, request_id))
        except HemlockstandError as error:
            return MayHaveRun(request_id, Reason.CLAIM_UNAVAILABLE, str(error))
        if state is None:
            return NotRun(Reason.UNKNOWN_REQUEST, "no claim is kept", None)
        return await self._verdict_for_claim(state, team, request_id)

    def _derive_secret(self) -> bytes:
        secret = self.settings.peers.secret.encode()
        return hmac.new(secret, b"request-ids", hashlib.sha256).digest()

    async def _claim_row(self, claim: Claim, deadline: float) -> Claim | Verdict:
        try:
            with trio.move_on_at(deadline):
                await self._write(claim.name)
            state = await self._ledger.claim(claim.name, deadline)
        except HemlockstandError as error:
            return NotRun(Reason.CLAIM_UNAVAILABLE, str(error), RETRY_SECONDS)
        if isinstance(state, Granted):
            return claim
        return await self._verdict_for_claim(state, claim.team, claim.request_id)

    def _claim_issued(self, claim: Claim) -> Claim | Verdict:
        if self._issuer.use(claim.request_id):
            return claim
        return self._look_up_issued(claim.request_id)

    def _finish_issued(self, claim: Claim, verdict: Verdict) -> None:
        if isinstance(verdict, NotRun):
            self._issuer.restore(claim.request_id)
        else:
            self._verdict_cache.keep(claim.name, verdict)

    def _look_up_issued(self, request_id: str) -> Verdict:
        if self._issuer.is_unused(request_id):
            return NotRun(Reason.UNKNOWN_REQUEST, "the id was not used yet", None)
        return MayHaveRun(
            request_id, Reason.IN_PROGRESS, "the id was used and has no kept answer"
        )

    async def _verdict_for_claim(
        self, state: ClaimState, team: str, request_id: str
    ) -> Verdict:
        """Return the verdict of an order that has been claimed already."""
        match state:
            case Finished(result=result):
                return decode_result(request_id, result)
            case Pending(owner=self.peers.incarnation) | Granted():
                return MayHaveRun(request_id, Reason.IN_PROGRESS, "still running here")
            case Pending(owner=owner):
                return await self._ask(owner, team, request_id)

    async def _ask(self, owner: str, team: str, request_id: str) -> Verdict:
        try:
            verdict = await self.peers.ask(owner, team, request_id)
        except HemlockstandError as error:
            detail = f"daemon {owner} did not answer: {error}"
            return MayHaveRun(request_id, Reason.OWNER_UNREACHABLE, detail)
        if verdict is None:
            detail = f"daemon {owner} is gone or has no answer"
            return MayHaveRun(request_id, Reason.OWNER_GONE, detail)
        return verdict

    async def _answer(self, team: str, request_id: str) -> Verdict | None:
        """Answer a peer that asks for an outcome, from memory only."""
        name = make_claim_name(team, request_id)
        kept = self._verdict_cache.find(name)
        if kept is not None:
            return kept
        if name in self._unwritten:
            return self._unwritten[name]
        if self.owner_of(team, request_id) == self.peers.incarnation:
            return self._look_up_issued(request_id)
        if self._ledger.is_active(name):
            return MayHaveRun(request_id, Reason.IN_PROGRESS, "still running")
        if name in self._ledger.abandoned:
            detail = "the claim had no known outcome and the order was not sent"
            return NotRun(Reason.CLAIM_UNAVAILABLE, detail, RETRY_SECONDS)
        return None

    async def _write_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await self._write_outcomes()
            if self._unwritten:
                await trio.sleep(RETRY_SECONDS)
                self._wake.set()

    async def _clean_forever(self) -> None:
        requests = self.settings.requests
        cleaner = ClaimCleaner(
            self.table,
            requests.result_keep_seconds + requests.max_deadline_seconds,
            self.clock,
        )
        while True:
            await trio.sleep(CLEAN_INTERVAL_SECONDS)
            try:
                await self._ledger.clean_abandoned()
                await cleaner.run_once()
            except HemlockstandError as error:
                log.warning("deleting old claims from the table failed: {}", error)

    async def _write_outcomes(self) -> None:
        async with trio.open_nursery() as nursery:
            for name in tuple(self._unwritten):
                nursery.start_soon(self._write, name)

    async def _write(self, name: str) -> None:
        """Write one outcome, unless it is written or being written already."""
        if name in self._writing or name not in self._unwritten:
            return
        verdict = self._unwritten[name]
        self._writing.add(name)
        try:
            match verdict:
                case NotRun():
                    await self._ledger.release(name)
                case Answered() | MayHaveRun():
                    await self._ledger.finish(name, encode_result(verdict))
            del self._unwritten[name]
        except HemlockstandError as error:
            log.warning(
                "writing the outcome of order {} failed, will retry: {}", name, error
            )
        finally:
            self._writing.discard(name)


@define
class VerdictCache:
    """Verdicts of recent orders, limited in number and age."""

    max_number: int
    keep_seconds: float
    clock: Any
    _verdicts: dict[str, tuple[float, Verdict]] = field(factory=dict)

    def keep(self, name: str, verdict: Verdict) -> None:
        """Keep the verdict, and drop the oldest ones above ``max_number``."""
        self._verdicts.pop(name, None)
        self._verdicts[name] = (self.clock() + self.keep_seconds, verdict)
        while len(self._verdicts) > self.max_number:
            del self._verdicts[next(iter(self._verdicts))]

    def find(self, name: str) -> Verdict | None:
        """Return the kept verdict, or None."""
        until, verdict = self._verdicts.get(name, (0.0, None))
        if verdict is not None and until <= self.clock():
            del self._verdicts[name]
            return None
        return verdict


def encode_result(verdict: Answered | MayHaveRun) -> Mapping[str, Any] | None:
    """Return the verdict as a JSON value; None if no answer is stored."""
    match verdict:
        case Answered(status=status, headers=headers, body=body):
            if len(body) > MAX_STORED_BODY_BYTES:
                return None
            pairs = [list(pair) for pair in headers]
            text = b64encode(body).decode()
            return {"status": status, "headers": pairs, "body": text}
        case MayHaveRun():
            return None


def decode_result(request_id: str, result: Mapping[str, Any] | None) -> Verdict:
    """Return the verdict of a stored result."""
    if result is None:
        return MayHaveRun(request_id, Reason.ANSWER_LOST, "no answer is kept")
    headers = tuple((name, value) for name, value in result["headers"])
    return Answered(result["status"], headers, b64decode(result["body"]))
