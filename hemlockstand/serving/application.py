"""Runs an ASGI application for the requests of one connection."""

from collections.abc import Callable
from typing import Any

import trio
from attrs import frozen

from hemlockstand.asgi import Application, Message, Receive, Send
from hemlockstand.serving.connection import ClientRequest, Connection
from hemlockstand.serving.framing import LengthCounter

REQUEST_KEY = "hemlockstand.request"
# A body that is refused is read and dropped up to this many bytes, and the
# connection serves further requests. Beyond, it costs less to open another one.
MAX_DISCARDED_BYTES = 65_536
DISCARD_SECONDS = 2.0  # a client on a link of 5 Mbit/s sends 65,536 bytes in 0.1 s


@frozen
class ConnectionApplication:
    """An application that knows the connection of its requests.

    Hypercorn calls it once for each request of the connection.
    """

    application: Application
    connection: Connection

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
        _sync_spawn: Callable,
        _call_soon: Callable,
    ) -> None:
        connection = self.connection
        request = connection.request
        scope[REQUEST_KEY] = request

        async def receive_counted() -> Message:
            message = await receive()
            if message["type"] == "http.request" and not message["more_body"]:
                connection.mark_complete(request)
            return message

        async def send_shielded(message: Message) -> None:
            if message["type"] == "http.response.start":
                if not request.complete and not await finish_body(request):
                    message = add_close(message)
                elif connection.limiter.crowded:
                    # Others wait for a connection.
                    message = add_close(message)
            # Quart cancels its own request as soon as Hypercorn reports the end
            # of the response, which Hypercorn is then still recording.
            with trio.CancelScope(shield=True):
                await send(message)

        try:
            await self.application(scope, receive_counted, send_shielded)
        finally:
            connection.finish_request(request)


async def finish_body(request: ClientRequest) -> bool:
    """Discard a small body that nobody reads; False if it cannot be.

    The rest of the body would otherwise be taken for the next request.
    """
    counter = request.counter
    if isinstance(counter, LengthCounter) and counter.remaining <= MAX_DISCARDED_BYTES:
        request.discarded = True
        request.allow_body()
        with trio.move_on_after(DISCARD_SECONDS):
            await request.complete_event.wait()
    return request.complete


def add_close(message: Message) -> Message:
    """Return the start of a response after which the connection closes."""
    closing = (b"connection", b"close")
    return {**message, "headers": [*message.get("headers", []), closing]}
