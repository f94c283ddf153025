"""Executors that refused work, here or at a peer, and their way back.

A sign stops new work at once. It expires when the executor is listed as live
and answers its health check, so that a false sign does no lasting harm.
"""

from collections.abc import Iterable

import httpx
import msgspec
import trio
from attrs import define
from loguru import logger

from hemlockstand.peers.suspects import SuspectNotice
from hemlockstand.requests.connections import ConnectionStack
from hemlockstand.requests.executors import Executor, ExecutorRegistry
from hemlockstand.requests.interfaces import PeersSource

log = logger.bind(module=__name__)

CHECK_SECONDS = 0.25
CHECK_TIMEOUT_SECONDS = 1.0
MAX_HEALTH_BYTES = 1 << 16
# The lagging list calls an executor live for a while after it began to leave,
# and its health check may not tell that it leaves.
LEAVING_SECONDS = 15.0
UNREACHABLE_SECONDS = 2.0


class _Health(msgspec.Struct):
    """What a health check may tell besides its status."""

    leaving: bool = False


@define(eq=False)
class SignWatch:
    """Takes signs of leaving, tells them to the peers and ends them."""

    _registry: ExecutorRegistry
    _peers: PeersSource

    def record(self, executor: Executor, is_refused: bool) -> None:
        """Take a sign that this daemon saw; tell the peers if it is the first."""
        if not executor.is_suspect:
            sign = SuspectNotice(executor.id, executor.address, is_refused)
            self._peers.announce_suspect(sign)
        self._suspect(executor, UNREACHABLE_SECONDS if is_refused else LEAVING_SECONDS)

    def update_peer(self, sign: SuspectNotice) -> None:
        """Take a sign that a peer saw.

        A connection that a peer was refused is checked from here at once: a
        daemon with a broken network must not stop its whole data centre.
        """
        for executor in self._registry.all():
            if (executor.id, executor.address) == (sign.executor, sign.address):
                self._suspect(executor, 0.0 if sign.is_refused else LEAVING_SECONDS)

    async def run(self) -> None:
        """Check the executors with a sign until cancelled."""
        while True:
            await trio.sleep(CHECK_SECONDS)
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
            # No sign came during the check.
            executor.is_suspect = False
            log.info("executor {} is live again", executor.id)


async def is_healthy(address: str) -> bool:
    """Return whether the upstream answers its health check and stays."""
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
    return response.status_code == 200 and not _tells_leaving(bytes(body))


def _tells_leaving(body: bytes) -> bool:
    """Return whether the body is a document with ``"leaving": true``."""
    try:
        return msgspec.json.decode(body, type=_Health).leaving
    except msgspec.DecodeError:
        return False
