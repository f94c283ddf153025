"""Monitors executors that are suspected to be leaving or unreachable.

An executor becomes suspect when it refuses work of this daemon or of a peer,
and then gets no new work. The suspicion ends when the executor is listed as
live and passes a health check, so a false suspicion has no lasting effect.
"""

from collections.abc import Iterable

import httpx
import msgspec
import trio
from attrs import define
from loguru import logger

from hemlockstand.documents import decode_document
from hemlockstand.peers.suspects import SuspectNotice
from hemlockstand.requests.connections import ConnectionStack
from hemlockstand.requests.executors import Executor, ExecutorRegistry
from hemlockstand.requests.interfaces import PeersSource

log = logger.bind(module=__name__)

CHECK_INTERVAL_SECONDS = 0.25
CHECK_TIMEOUT_SECONDS = 1.0
MAX_HEALTH_BYTES = 1 << 16
# An executor that has begun to leave is still listed as live for a while,
# because the instance list lags, and its health check may not say that it is
# leaving.
LEAVING_SECONDS = 15.0
UNREACHABLE_SECONDS = 2.0


class _Health(msgspec.Struct):
    """The optional body of a health check's response."""

    leaving: bool = False


_health_decoder = msgspec.json.Decoder(_Health)


@define(eq=False)
class SuspectMonitor:
    """Marks executors as suspect, notifies peers and checks their health."""

    _registry: ExecutorRegistry
    _peers: PeersSource

    def record(self, executor: Executor, is_refused: bool) -> None:
        """Mark an executor that refused work as suspect.

        Peers are notified unless the executor was suspect already.
        """
        if not executor.is_suspect:
            notice = SuspectNotice(executor.id, executor.address, is_refused)
            self._peers.announce_suspect(notice)
        self._suspect(executor, UNREACHABLE_SECONDS if is_refused else LEAVING_SECONDS)

    def handle_notice(self, notice: SuspectNotice) -> None:
        """Mark the executor of a peer's notice as suspect.

        If the peer's connection was refused, this daemon checks the executor
        at once, because a daemon with a network fault must not stop the work
        of its whole data centre.
        """
        for executor in self._registry.all():
            if (executor.id, executor.address) == (notice.executor, notice.address):
                self._suspect(executor, 0.0 if notice.is_refused else LEAVING_SECONDS)

    async def run(self) -> None:
        """Check the health of suspect executors until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            now = trio.current_time()
            async with trio.open_nursery() as nursery:
                for executor in self._list_due(now):
                    nursery.start_soon(self._check, executor)

    def _suspect(self, executor: Executor, seconds: float) -> None:
        executor.is_suspect = True
        executor.avoid_until = max(executor.avoid_until, trio.current_time() + seconds)

    def _list_due(self, now: float) -> Iterable[Executor]:
        for executor in self._registry.all():
            is_listed = not executor.listed_leaving
            if executor.is_suspect and is_listed and now >= executor.avoid_until:
                yield executor

    async def _check(self, executor: Executor) -> None:
        avoid_until = executor.avoid_until
        if not await is_healthy(executor.address):
            return
        if executor.avoid_until == avoid_until:
            # The executor was not reported again during the check.
            executor.is_suspect = False
            log.info(
                "executor {} passed its health check and gets work again", executor.id
            )


async def is_healthy(address: str) -> bool:
    """Return whether the upstream is healthy and not leaving."""
    connections = ConnectionStack()
    transport = connections.take()
    request = httpx.Request("GET", f"http://{address}/health")
    try:
        with trio.fail_after(CHECK_TIMEOUT_SECONDS):
            response = await transport.handle_async_request(request)
            body = bytearray()
            async for chunk in response.stream:
                body += chunk
                if len(body) > MAX_HEALTH_BYTES:
                    return False
    except (httpx.HTTPError, httpx.InvalidURL, trio.TooSlowError):
        return False
    finally:
        with trio.CancelScope(shield=True):
            await transport.aclose()
    return response.status_code == 200 and not reports_leaving(bytes(body))


def reports_leaving(body: bytes) -> bool:
    """Return whether the body is a document with ``"leaving": true``."""
    try:
        return decode_document(_health_decoder, body).leaving
    except msgspec.DecodeError:
        return False
