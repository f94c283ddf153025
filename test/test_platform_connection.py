"""Connections to the platform, against a listener on the loopback address."""

import pytest
import trio

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.platform.connection import Connection


class Listener:
    """Answers each request with 200, and keeps what it has read."""

    def __init__(self) -> None:
        self.read = b""
        self.accepted = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.accepted += 1
        async for data in stream:
            self.read += data
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")


@pytest.fixture
async def listener(nursery):
    """A listener with the address it serves."""
    listener = Listener()
    (opened,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = opened.socket.getsockname()[:2]
    listener.address = f"{host}:{port}"
    nursery.start_soon(trio.serve_listeners, listener.serve, [opened])
    yield listener
    nursery.cancel_scope.cancel()


async def test_order_is_withheld_when_it_may_not_be_sent(listener):
    """Guards against an order of a scheduler that stood still while it connected."""
    connection = Connection(listener.address)
    for _ in range(2):
        with pytest.raises(PlatformUnavailable):
            await connection.call("POST", "/a", 1.0, {}, may_send=lambda: False)
    assert listener.accepted
    assert listener.read == b""
    reply = await connection.call("POST", "/a", 1.0, {}, may_send=lambda: True)
    assert reply.status == 200
    assert b"POST /a" in listener.read
    await connection.close()
