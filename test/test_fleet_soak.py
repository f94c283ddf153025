"""The fault soak of real daemon processes, with a fixed seed and small faults."""

import pytest
import trio

from emulator.link import Link
from emulator.network import reserve_network

TIMEOUT_SECONDS = 30
QUIET_SECONDS = 0.3  # nothing may arrive in this time on a stalled link


async def echo(stream: trio.SocketStream) -> None:
    """Send back what arrives."""
    async for chunk in stream:
        await stream.send_all(chunk)


@pytest.fixture
async def link(nursery):
    """Return a link to a server that sends back what arrives."""
    network = reserve_network()
    host = network.host(1, 1)
    server, proxy = (
        await trio.open_tcp_listeners(9000, host=host),
        Link("a>b", 7000, host, 9000),
    )
    proxies = await trio.open_tcp_listeners(proxy.port, host=host)
    nursery.start_soon(trio.serve_listeners, echo, server)
    nursery.start_soon(trio.serve_listeners, proxy.accept, proxies)
    yield proxy
    network.close()


async def ask(stream: trio.SocketStream, text: bytes) -> bytes:
    """Send a text and return what comes back."""
    await stream.send_all(text)
    with trio.fail_after(TIMEOUT_SECONDS):
        return await stream.receive_some()


@pytest.mark.parametrize("mode", ["drop", "drop_requests", "drop_answers"])
async def test_stalled_link_delivers_late(link, mode):
    """Guards against a fault that loses what a real network would deliver."""
    stream = await trio.open_tcp_stream(link.target_host, link.port)
    assert await ask(stream, b"first") == b"first"
    link.change(mode, 0.0)
    await stream.send_all(b"second")
    with trio.move_on_after(QUIET_SECONDS) as scope:
        await stream.receive_some()
    assert scope.cancelled_caught
    link.change("up", 0.0)
    with trio.fail_after(TIMEOUT_SECONDS):
        assert await stream.receive_some() == b"second"


async def test_silenced_connection_stays_silent(link):
    """Guards against a silence that ends, or that stalls new connections."""
    stream = await trio.open_tcp_stream(link.target_host, link.port)
    assert await ask(stream, b"first") == b"first"
    link.change("silence", 0.0)
    await stream.send_all(b"second")
    new = await trio.open_tcp_stream(link.target_host, link.port)
    assert await ask(new, b"third") == b"third"
    with trio.move_on_after(QUIET_SECONDS) as scope:
        await stream.receive_some()
    assert scope.cancelled_caught
