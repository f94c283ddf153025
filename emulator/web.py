"""Minimal HTTP server for the stand-ins: one handler on hypercorn and trio.

The handler is a plain ASGI application without a framework. In a trial with
an empty handler, hypercorn served about 2,000 requests per second on one core,
which leaves no processor time for a routing layer.
"""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

import msgspec
import trio
from attrs import define, frozen
from hypercorn.config import Config
from hypercorn.trio import serve

JSON_TYPE = b"application/json"
KEEP_ALIVE_SECONDS = 300
MAX_REQUESTS_PER_CONNECTION = 1 << 40
BACKLOG = 1024


class BadRequest(Exception):
    """The request is malformed; the message goes to the client with a 400."""


@define(eq=False)
class WebRequest:
    """An HTTP request whose body has been read in full."""

    scope: Any
    body: bytes
    receive: Callable[[], Awaitable[Any]]

    @property
    def method(self) -> str:
        """The HTTP method."""
        return self.scope["method"]

    @property
    def path(self) -> str:
        """The decoded path without the query."""
        return self.scope["path"]

    @property
    def port(self) -> int:
        """The local port on which the request arrived."""
        return self.scope["server"][1]

    def query(self) -> dict[str, str]:
        """Return the query parameters."""
        return dict(parse_qsl(self.scope["query_string"].decode()))

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header; ``name`` is in lower case."""
        wanted = name.encode()
        for key, value in self.scope["headers"]:
            if key == wanted:
                return value.decode("latin-1")
        return default

    def json(self, kind: Any = dict) -> Any:
        """Decode the body as JSON of a type; raises ``BadRequest``."""
        try:
            return msgspec.json.decode(self.body or b"{}", type=kind)
        except msgspec.MsgspecError as error:
            raise BadRequest(f"{self.method} {self.path}: {error}") from error

    async def wait_disconnect(self) -> None:
        """Wait until the client has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


@frozen
class WebResponse:
    """A response.

    With ``cut_after``, the connection is closed after that many bytes of the
    body, and the response stays incomplete.
    """

    status: int = 200
    body: bytes = b"{}"
    headers: tuple[tuple[bytes, bytes], ...] = ()
    content_type: bytes = JSON_TYPE
    cut_after: int | None = None


Handler = Callable[[WebRequest], Awaitable[WebResponse | None]]


def reply(value: Any, status: int = 200) -> WebResponse:
    """Return a JSON response."""
    return WebResponse(status, msgspec.json.encode(value))


def refuse(status: int, detail: str, **values: Any) -> WebResponse:
    """Return an error response; ``detail`` is a message for people."""
    return reply({"detail": detail, **values}, status)


def make_application(handler: Handler) -> Callable[..., Awaitable[None]]:
    """Return an ASGI application for a handler.

    If the handler returns ``None``, the request is left without an answer
    until the client disconnects.
    """

    async def application(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await _run_lifespan(receive, send)
        elif scope["type"] == "http":
            body = await _read_body(receive)
            if body is not None:
                await _answer(handler, WebRequest(scope, body, receive), send)

    return application


async def _run_lifespan(receive: Any, send: Any) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_body(receive: Any) -> bytes | None:
    message = await receive()
    if message["type"] == "http.disconnect":
        return None
    body = message.get("body", b"")
    while message.get("more_body"):
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
    return body


async def _answer(handler: Handler, request: WebRequest, send: Any) -> None:
    try:
        response = await handler(request)
    except BadRequest as error:
        response = refuse(400, str(error))
    if response is None:
        await request.wait_disconnect()
        return
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": (
                (b"content-type", response.content_type),
                (b"content-length", b"%d" % len(response.body)),
                *response.headers,
            ),
        }
    )
    if response.cut_after is None:
        await send({"type": "http.response.body", "body": response.body})
        return
    part = response.body[: response.cut_after]
    await send({"type": "http.response.body", "body": part, "more_body": True})


async def serve_handler(
    handler: Handler,
    addresses: list[str],
    shutdown: Callable[[], Awaitable[None]] | None = None,
    graceful_seconds: float = 1.0,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve on ``HOST:PORT`` addresses until ``shutdown`` returns."""
    config = Config()
    config.bind = addresses
    config.accesslog = None
    config.errorlog = None
    config.include_date_header = False
    config.include_server_header = False
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.backlog = BACKLOG
    config.graceful_timeout = graceful_seconds
    await serve(
        make_application(handler),
        config,
        shutdown_trigger=shutdown,
        task_status=task_status,
        mode="asgi",
    )
