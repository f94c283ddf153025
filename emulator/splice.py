"""Copying between two TCP connections, shared by balancer and link."""

from collections.abc import Awaitable, Callable

import trio

CHUNK_BYTES = 1 << 16

Gate = Callable[[int], Awaitable[None]]


async def pass_freely(size: int) -> None:
    """Let every chunk pass at once."""


async def splice(
    left: trio.SocketStream, right: trio.SocketStream, gate: Gate = pass_freely
) -> None:
    """Copy in both directions until both are closed or one breaks.

    ``gate`` is awaited with the size of each chunk before it is passed on.
    """
    async with left, right, trio.open_nursery() as nursery:
        nursery.start_soon(_copy, left, right, gate, nursery.cancel_scope)
        nursery.start_soon(_copy, right, left, gate, nursery.cancel_scope)


async def _copy(
    source: trio.SocketStream,
    sink: trio.SocketStream,
    gate: Gate,
    scope: trio.CancelScope,
) -> None:
    try:
        while chunk := await source.receive_some(CHUNK_BYTES):
            await gate(len(chunk))
            await sink.send_all(chunk)
        await gate(0)
        await sink.send_eof()
    except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
        scope.cancel()
