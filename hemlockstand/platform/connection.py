"""HTTP connections to one address of the platform.

They use ``httpcore``, the transport of ``httpx``. The scheduler makes hundreds
of small calls a second, and a call without the other layers of httpx takes
about half the processor time.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import httpcore
import msgspec
import trio
from attrs import define, field, frozen
from loguru import logger

from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable

log = logger.bind(module=__name__)

# Room for one call more than the largest number of orders in flight to an
# executor.
MAX_CONNECTIONS = 12
# Four round trips between the data centres that are farthest apart.
CONNECT_TIMEOUT_SECONDS = 0.5
KEEPALIVE_SECONDS = 30.0

# Errors after which no byte of the request has been sent.
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)

# Trace event of httpcore directly before the first byte of a request is sent.
_BEFORE_WRITE = "http11.send_request_headers.started"

_decoder = msgspec.json.Decoder()
_encoder = msgspec.json.Encoder()


class _SendingNotAllowed(Exception):
    """``may_send`` did not allow the request to be sent."""


@frozen
class Reply:
    """A complete response."""

    status: int
    content: bytes
    headers: Mapping[bytes, bytes]

    def decode(self) -> Mapping[str, Any]:
        """Return the body as a mapping; raises ``OutcomeUnknown``."""
        try:
            body = _decoder.decode(self.content)
        except msgspec.DecodeError as error:
            raise OutcomeUnknown(f"unreadable response: {error}") from error
        if not isinstance(body, dict):
            raise OutcomeUnknown("response is not an object")
        return body


@define(eq=False)
class Connection:
    """Persistent connections to one address, with a timeout for each call."""

    address: str
    calls: int = 0
    bytes_received: int = 0
    _pool: httpcore.AsyncConnectionPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._pool = _open_pool()

    async def call(
        self,
        method: str,
        target: str,
        seconds: float,
        body: object | None = None,
        headers: tuple[tuple[str, str], ...] = (),
        may_send: Callable[[], bool] | None = None,
    ) -> Reply:
        """Send a request and return the response.

        ``may_send`` is called directly before the first byte is sent, because
        the process may be paused for seconds while it waits for a connection.
        Raises ``PlatformUnavailable`` if nothing was sent, and
        ``OutcomeUnknown`` if the request may have been carried out. After a
        failure all connections are replaced, because a connection that has
        stopped responding reports no error itself.
        """
        self.calls += 1
        content = b"" if body is None else _encoder.encode(body)
        sent_headers = [(b"Host", self.address.encode())]
        if body is not None:
            sent_headers.append((b"Content-Type", b"application/json"))
            sent_headers.append((b"Content-Length", str(len(content)).encode()))
        sent_headers.extend((name.encode(), text.encode()) for name, text in headers)
        extensions: dict[str, Any] = {
            "timeout": {
                "connect": CONNECT_TIMEOUT_SECONDS,
                "pool": CONNECT_TIMEOUT_SECONDS,
                "read": seconds,
                "write": seconds,
            }
        }
        if may_send is not None:
            extensions["trace"] = _make_send_check(may_send)
        pool = self._pool
        try:
            with trio.fail_after(seconds + CONNECT_TIMEOUT_SECONDS):
                response = await pool.request(
                    method,
                    f"http://{self.address}{target}",
                    headers=sent_headers,
                    content=content,
                    extensions=extensions,
                )
        except _SendingNotAllowed as error:
            raise PlatformUnavailable(f"{method} {target} was not sent") from error
        except _NOT_SENT as error:
            await self._replace(pool)
            raise PlatformUnavailable(
                f"{method} {target} to {self.address}: {error!r}"
            ) from error
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            trio.TooSlowError,
        ) as error:
            await self._replace(pool)
            raise OutcomeUnknown(
                f"{method} {target} to {self.address}: {error!r}"
            ) from error
        self.bytes_received += len(response.content)
        return Reply(response.status, response.content, dict(response.headers))

    async def _replace(self, pool: httpcore.AsyncConnectionPool) -> None:
        """Use new connections for later calls; calls in flight keep theirs."""
        if self._pool is pool:
            self._pool = _open_pool()

    async def close(self) -> None:
        """Close all connections."""
        with trio.move_on_after(1) as scope:
            scope.shield = True
            await self._pool.aclose()


def _make_send_check(may_send: Callable[[], bool]) -> Callable[..., Awaitable[None]]:
    """Return a trace hook that ends a call that may not be sent."""

    async def check(event: str, info: Mapping[str, Any]) -> None:
        if event == _BEFORE_WRITE and not may_send():
            raise _SendingNotAllowed

    return check


def _open_pool() -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS,
        keepalive_expiry=KEEPALIVE_SECONDS,
    )
