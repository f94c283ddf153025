"""Idle connections to an upstream, each used for one request at a time."""

import ssl

import httpx
import trio
from attrs import define, field, frozen

# Common servers close idle connections after five seconds. Reuse ends earlier,
# because a request sent on a closing connection may or may not have run.
KEEP_ALIVE_SECONDS = 3.0

# All upstreams are reached over plain HTTP; loading certificates for each
# transport would take 20 ms.
_NO_TLS = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
_ONE_CONNECTION = httpx.Limits(max_connections=1, keepalive_expiry=KEEP_ALIVE_SECONDS)


@frozen
class _Idle:
    transport: httpx.AsyncHTTPTransport
    since: float


@define(eq=False)
class ConnectionStack:
    """Idle connections, reused in last-in, first-out order.

    Each connection has its own transport. A transport with several
    connections checks each idle one with a system call, twice per request.
    """

    _idle: list[_Idle] = field(factory=list)
    _is_retired: bool = False

    def take(self) -> httpx.AsyncHTTPTransport:
        """Return an idle transport, or a new one if there is none."""
        if self._idle:
            return self._idle.pop().transport
        return httpx.AsyncHTTPTransport(
            verify=_NO_TLS, limits=_ONE_CONNECTION, trust_env=False
        )

    async def put_back(self, transport: httpx.AsyncHTTPTransport) -> None:
        """Make a transport available again after its response was closed."""
        if not self._is_retired:
            self._idle.append(_Idle(transport, trio.current_time()))
            return
        with trio.CancelScope(shield=True):
            await transport.aclose()

    async def retire(self) -> None:
        """Close all connections; those in use are closed by ``put_back``."""
        self._is_retired = True
        await self.close_idle()

    async def close_idle(self, older_than: float = 0.0) -> None:
        """Close the connections that were idle for ``older_than`` seconds."""
        limit = trio.current_time() - older_than
        expired = [idle for idle in self._idle if idle.since <= limit]
        self._idle = [idle for idle in self._idle if idle.since > limit]
        for idle in expired:
            await idle.transport.aclose()
