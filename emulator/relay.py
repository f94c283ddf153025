"""Relaying between two TCP connections, for balancer and link proxy."""

from collections.abc import Awaitable, Callable

import trio

CHUNK_BYTES = 1 << 16

ChunkHook = Callable[[int], Awaitable[None]]


async def forward_immediately(size: int) -> None:
    """Do nothing, so that each chunk is sent at once."""


async def relay(
    left: trio.SocketStream,
    right: trio.SocketStream,
    to_right: ChunkHook = forward_immediately,
    to_left: ChunkHook = forward_immediately,
) -> None:
    """Copy in both directions until both are closed or one breaks.

    The hook of a direction is awaited with the size of each chunk before the
    chunk is sent on, and with 0 before the end of the direction is passed on.
    """
    async with left, right, trio.open_nursery() as nursery:
        nursery.start_soon(_copy, left, right, to_right, nursery.cancel_scope)
        nursery.start_soon(_copy, right, left, to_left, nursery.cancel_scope)


async def _copy(
    source: trio.SocketStream,
    sink: trio.SocketStream,
    before_chunk: ChunkHook,
    scope: trio.CancelScope,
) -> None:
    try:
        while chunk := await source.receive_some(CHUNK_BYTES):
            await before_chunk(len(chunk))
            await sink.send_all(chunk)
        await before_chunk(0)
        await sink.send_eof()
    except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
        scope.cancel()
