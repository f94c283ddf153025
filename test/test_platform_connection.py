"""Connections to the platform, against a listener on the loopback address."""

import pytest
import trio

from hemlockstand.coordination.timeouts import AdaptiveTimeout
from hemlockstand.errors import PlatformUnavailable
from hemlockstand.platform.connection import Connection
from hemlockstand.platform.rows import RowStore

BODY = b'{"rows": [], "RowVersion": 7}'


class Listener:
    """Answers each request with 200 and keeps the bytes that it has read."""

    def __init__(self) -> None:
        self.read = b""
        self.accepted = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.accepted += 1
        async for data in stream:
            self.read += data
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BODY)}\r\n\r\n"
            await stream.send_all(head.encode() + BODY)


async def serve(nursery, listener):
    """Yield a listener that is served on a port of its own."""
    (opened,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = opened.socket.getsockname()[:2]
    listener.address = f"{host}:{port}"
    nursery.start_soon(trio.serve_listeners, listener.serve, [opened])
    yield listener
    nursery.cancel_scope.cancel()


@pytest.fixture
async def listener(nursery):
    """Yield a listener that answers."""
    async for listener in serve(nursery, Listener()):
        yield listener


async def test_order_is_withheld_when_it_may_not_be_sent(listener):
    """Guards against an order that is sent although the lease has run out.

    This may happen when the scheduler's process freezes while it connects.
    """
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


class SilentListener(Listener):
    """Does not answer on its first ``silent`` connections."""

    silent = 1

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        if self.accepted < self.silent:
            self.accepted += 1
            await trio.sleep_forever()
        await super().serve(stream)


@pytest.fixture
async def silent_listener(nursery):
    """Yield a listener that does not answer on its first connection."""
    async for listener in serve(nursery, SilentListener()):
        yield listener


async def test_read_is_repeated_on_a_new_connection(silent_listener):
    """Guards against a call that fails because one connection is silent."""
    store = RowStore(silent_listener.address)
    row = await store.read_one("jobs", "a")
    assert (row.version, silent_listener.accepted) == (0, 2)
    await store.close()


async def test_timeouts_follow_the_service():
    """Guards against timeouts that are too long or too short.

    A long one lets a lost answer block a scheduler for its whole lease; a
    short one cannot be met by a slow store.
    """
    timeout = AdaptiveTimeout(0.4, 1.5)
    for _ in range(20):
        timeout.record_response(0.01)
    assert timeout.seconds == 0.4
    for expected in (0.8, 1.5, 1.5):
        timeout.record_timeout()
        assert timeout.seconds == expected
    for _ in range(20):
        timeout.record_response(0.35)
    assert 0.4 < timeout.seconds < 1.5
