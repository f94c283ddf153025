"""How fast the caller port accepts connections, in rounds of the event loop."""

import socket

import trio
from hypercorn.config import Config

from hemlockstand.requests.accepting import ACCEPTS_PER_ROUND, AcceptingConfig

CONNECTIONS = 64


async def count_rounds(config: Config) -> int:
    """Return in how many rounds all waiting connections are accepted."""
    config.bind = ["127.0.0.1:0"]
    sockets = config.create_sockets().insecure_sockets
    for listening in sockets:
        listening.listen(CONNECTIONS)
    address = sockets[0].getsockname()
    callers = [socket.create_connection(address) for _ in range(CONNECTIONS)]
    listeners = [
        trio.SocketListener(trio.socket.from_stdlib_socket(listening))
        for listening in sockets
    ]
    accepted = 0

    async def accept(stream: trio.SocketStream) -> None:
        nonlocal accepted
        accepted += 1

    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, accept, listeners)
        rounds = 0
        while accepted < CONNECTIONS:
            await trio.lowlevel.checkpoint()
            rounds += 1
        nursery.cancel_scope.cancel()
    for caller in callers:
        caller.close()
    return rounds


async def test_waiting_connections_are_accepted_in_few_rounds():
    """Guards against callers that wait while a busy daemon accepts one a round.

    After a pause of 11 s, 700 connections waited for up to 16 s more, and the
    new ones behind them.
    """
    assert await count_rounds(Config()) >= CONNECTIONS
    rounds = await count_rounds(AcceptingConfig())
    assert rounds <= CONNECTIONS / ACCEPTS_PER_ROUND + 8
