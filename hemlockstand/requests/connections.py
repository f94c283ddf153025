"""Connections to one upstream, each used for one request at a time."""

import ssl

import httpx
import trio
from attrs import define, field, frozen

# Shorter than the five seconds after which common servers close an idle
# connection: a request sent into a closing connection may or may not have run.
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
    """Idle connections, of which the one used last is taken first.

    Each has a transport of its own. A transport with several checks every
    idle connection with a system call, twice for each request.
    """

    _idle: list[_Idle] = field(factory=list)
    _is_retired: bool = False

    def take(self) -> httpx.AsyncHTTPTransport:
        """Return a transport that nobody else uses."""
        if self._idle:
            return self._idle.pop().transport
        return httpx.AsyncHTTPTransport(
            verify=_NO_TLS, limits=_ONE_CONNECTION, trust_env=False
        )

    async def give_back(self, transport: httpx.AsyncHTTPTransport) -> None:
        """Keep a transport whose last response has been closed."""
        if not self._is_retired:
            self._idle.append(_Idle(transport, trio.current_time()))
            return
        with trio.CancelScope(shield=True):
            await transport.aclose()

    async def retire(self) -> None:
        """Close all connections, those in use when they are given back."""
        self._is_retired = True
        await self.close_idle()

    async def close_idle(self, older_than: float = 0.0) -> None:
        """Close the connections that have been idle for so many seconds."""
        limit = trio.current_time() - older_than
        expired = [part for part in self._idle if part.since <= limit]
        self._idle = [part for part in self._idle if part.since > limit]
        for part in expired:
            await part.transport.aclose()
