"""Adapter between Quart and Hypercorn on trio."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import trio

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[MutableMapping[str, Any], Receive, Send], Awaitable[None]]


def shield_sends(application: Application) -> Application:
    """Return an application whose sends are shielded from cancellation.

    Quart cancels its own request as soon as Hypercorn reports the end of the
    response. The last send is then still starting Hypercorn's idle timer.
    Without the shield the timer was cancelled too, so idle connections were
    never closed and a graceful stop waited for its whole timeout.
    """

    async def run(scope: MutableMapping[str, Any], receive: Receive, send: Send):
        async def send_shielded(message: Message) -> None:
            with trio.CancelScope(shield=True):
                await send(message)

        await application(scope, receive, send_shielded)

    return run
