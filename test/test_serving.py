"""Limits on single connections, over the network and without a crowd."""

import errno
import socket
from contextlib import asynccontextmanager
from unittest.mock import patch

import pytest
import trio
import trio.testing
from attrs import evolve
from quart import Response, request
from quart_trio import QuartTrio

from hemlockstand.errors import SettingsError
from hemlockstand.fleet.settings import load_fleet_settings
from hemlockstand.platform.callers import encode_error
from hemlockstand.serving.bodies import BodyTooLarge, read_body
from hemlockstand.serving.budget import CONNECTION_BYTES, Budget
from hemlockstand.serving.connection import LINGER_SECONDS, RefusalFormat
from hemlockstand.serving.framing import ChunkCounter, Head, Malformed, find_head_end
from hemlockstand.serving.limiter import Limiter
from hemlockstand.serving.server import Endpoint, bind_address, serve_clients
from test.fleet_world import make_settings
from test.test_fleet_daemon import SETTINGS as PLAIN_SETTINGS

LIMIT = 100_000
USUAL_SETTINGS = make_settings("a").clients
SETTINGS = evolve(USUAL_SETTINGS, head_seconds=0.3, stall_seconds=0.3)
TIMEOUT_SECONDS = 10


def make_app() -> QuartTrio:
    """Return an application that answers with the size of a body."""
    app = QuartTrio(__name__)

    @app.post("/size")
    async def answer_size() -> Response:
        try:
            return Response(str(len(await read_body(request, LIMIT))))
        except BodyTooLarge:
            return Response("", 413)

    @app.route("/refused", methods=["GET", "POST"])
    async def refuse_unread() -> Response:
        return Response("", 401)

    @app.post("/slow")
    async def answer_late() -> Response:
        await trio.sleep(0.2)
        return Response("")

    return app


@asynccontextmanager
async def open_endpoint(settings=SETTINGS, body_factor=3):
    """Yield a function that sends bytes and returns all that is answered."""
    listener = bind_address("127.0.0.1:0")
    port = listener.getsockname()[1]
    refusals = RefusalFormat(encode_error)
    endpoint = Endpoint("callers", 1.0, body_factor, 0.1, refusals)
    closing = trio.Event()

    async def exchange(*pieces: bytes, finish: bool = False) -> bytes:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        answer = b""
        async with stream:
            with trio.fail_after(TIMEOUT_SECONDS):
                for piece in pieces:
                    await stream.send_all(piece)
                    await trio.sleep(0.01)
                while chunk := await stream.receive_some(65_536):
                    answer += chunk
        return answer

    async with trio.open_nursery() as nursery:
        arguments = (make_app(), endpoint, settings, [listener], closing.wait)
        nursery.start_soon(serve_clients, *arguments)
        yield exchange
        closing.set()


def make_request(path: str, body: bytes = b"", *lines: str) -> bytes:
    """Return a request with a body of known length."""
    length = f"Content-Length: {len(body)}"
    head = "\r\n".join((f"POST {path} HTTP/1.1", "Host: a", length, *lines, "", ""))
    return head.encode() + body


LAST = make_request("/size", b"four", "Connection: close")
CHUNKED = b"POST /size HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "first",
    [
        make_request("/size", b" " * 70_000),
        make_request("/refused", b" " * 30_000),
        make_request("/none", b" " * 30_000),
        CHUNKED + b"5;x=y\r\nabcde\r\n3\r\nabc\r\n0\r\nTrailer: a\r\n\r\n",
    ],
)
@pytest.mark.parametrize("size", [1 << 20, 1_000])
async def test_next_request_on_a_connection_is_served(first, size):
    """Guards against a rest of a body that is taken for the next request."""
    whole = first + LAST
    pieces = (whole[at : at + size] for at in range(0, len(whole), size))
    async with open_endpoint() as exchange:
        answer = await exchange(*pieces)
    assert answer.count(b"HTTP/1.1 ") == 2
    assert answer.endswith(b"\r\n\r\n4")


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (make_request("/refused", b" " * 90_000), b"401"),
        (b"POST /size HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n", b"413"),
        (
            CHUNKED + b"10000\r\n" + b" " * 65_536 + b"\r\nffff\r\n" + b" " * 65_535,
            b"413",
        ),
        (CHUNKED + b"1\r\na\r\n" * 20_000, b"400"),
        (make_request("/size", b"", *["a: b"] * 200), b"431"),
        (b"POST /size HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 17_000, b"431"),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"400"),
        (b"POST /size HTTP/1.1\r\nHost:", b"408"),
        (make_request("/size", b"abc")[:-1], b"408"),
    ],
)
async def test_refusal_is_answered_and_closes(sent, status):
    """Guards against a client over a limit that is read on, or gets no answer."""
    # On a busy machine, the other limits are not reached within short times.
    settings = SETTINGS if status == b"408" else USUAL_SETTINGS
    async with open_endpoint(settings) as exchange:
        answer = await exchange(sent)
    assert answer.split(b" ")[1] == status
    assert answer.count(b"HTTP/1.1 ") == 1
    assert b"connection: close" in answer.lower()


async def test_endpoint_without_bodies_reads_none():
    """Guards against bodies at addresses that need none."""
    async with open_endpoint(body_factor=0) as exchange:
        answer = await exchange(make_request("/size", b"four"))
    assert answer.split(b" ")[1] == b"413"


async def test_upgrade_is_ignored():
    """Guards against protocols whose buffers are not bounded."""
    lines = ("Upgrade: h2c", "HTTP2-Settings: AAMAAABk", "Connection: close")
    async with open_endpoint() as exchange:
        answer = await exchange(make_request("/size", b"", *lines))
    assert answer.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("lines", [b"zz\r\n", b"-1\r\n", b"1" * 300])
def test_bad_chunks_are_found(lines):
    """Guards against a size that moves the end of a body."""
    with pytest.raises(Malformed):
        ChunkCounter().count(lines)


def test_settings_leave_room_for_a_body(tmp_path):
    """Guards against limits that refuse a single request of legal size."""
    path = tmp_path / "x.ini"
    text = PLAIN_SETTINGS.format(name="a", host="127.0.0.1", platform="127.0.0.1:1")
    path.write_text(f"{text}[clients]\nmemory_mb = 64\n")
    load_fleet_settings(path)
    shares = "memory_share = 0.05\nsource_share = 0.1\n"
    path.write_text(f"{text}[clients]\nmemory_mb = 64\n{shares}")
    with pytest.raises(SettingsError, match="does not fit"):
        load_fleet_settings(path)


def test_sources_share_a_budget():
    """Guards against one source that takes everything, and against a leak."""
    budget = Budget(10 * CONNECTION_BYTES, 8, 0.5)
    assert [budget.take_connection("one") for _ in range(5)] == [True] * 4 + [False]
    assert budget.take_connection("two")
    assert not budget.take_bytes("one", 2 * CONNECTION_BYTES)
    assert budget.take_bytes("two", 2 * CONNECTION_BYTES)
    budget.give_bytes("two", 2 * CONNECTION_BYTES)
    for source in ("one", "one", "one", "one", "two"):
        budget.give_connection(source)
    assert (budget.used_bytes, budget.connections) == (0, 0)


@asynccontextmanager
async def open_observed_endpoint(share=1.0, **limits):
    """Yield a function that connects, the limiter of the endpoint, and its end."""
    listener = bind_address("127.0.0.1:0")
    port = listener.getsockname()[1]
    endpoint = Endpoint("callers", share, 3, 1.0, RefusalFormat(encode_error))
    limiters = []
    closing = trio.Event()

    def make_limiter(*arguments) -> Limiter:
        limiters.append(Limiter(*arguments))
        return limiters[0]

    async def connect() -> trio.SocketStream:
        return await trio.open_tcp_stream("127.0.0.1", port)

    settings = evolve(SETTINGS, **limits)
    with patch("hemlockstand.serving.server.Limiter", make_limiter):
        async with trio.open_nursery() as nursery:
            arguments = (make_app(), endpoint, settings, [listener], closing.wait)
            nursery.start_soon(serve_clients, *arguments)
            await trio.testing.wait_all_tasks_blocked()
            yield connect, limiters[0], closing
            closing.set()


async def read_answer(stream: trio.SocketStream, until: bytes = b"") -> bytes:
    """Return what is answered up to a text, or up to the end."""
    answer = b""
    with trio.fail_after(TIMEOUT_SECONDS):
        while chunk := await stream.receive_some(65_536):
            answer += chunk
            if until and until in answer:
                break
    return answer


async def wait_released(limiter: Limiter) -> None:
    """Wait until no connection is left."""
    with trio.fail_after(TIMEOUT_SECONDS):
        while limiter.connections:
            await trio.sleep(0.01)


START = b"POST /size HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize(
    "sent",
    [
        START + b"Content-Length: 5, 5\r\n\r\nabcde",
        START + b"Content-Length: 0000000000000000005\r\n\r\nabcde",
        START + b"Content-Length:\r\n 5\r\n\r\nabcde",
        START + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde",
        START + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        CHUNKED + b"2\r\nab\r\n0\n\n",
        CHUNKED + b"2\r\nab\r\n0\r\n\n",
        CHUNKED + b"2\nab\r\n0\r\n\r\n",
    ],
)
async def test_unclear_end_of_body_is_refused(sent):
    """Guards against a body whose end the parser sees elsewhere.

    Such a connection was held for ever, also after its client had gone.
    """
    async with open_observed_endpoint() as (connect, limiter, _closing):
        stream = await connect()
        await stream.send_all(sent)
        answer = await read_answer(stream)
        await stream.aclose()
        assert answer.startswith(b"HTTP/1.1 400")
        await wait_released(limiter)
        assert (limiter.budget.connections, limiter.budget.used_bytes) == (0, 0)


async def test_line_of_spaces_does_not_end_chunks():
    """Guards against a trailer that ends here but not for the parser."""
    async with open_endpoint() as exchange:
        answer = await exchange(CHUNKED + b"2\r\nab\r\n0\r\n \r\n")
    assert answer.startswith(b"HTTP/1.1 408")


async def test_body_that_the_parser_does_not_end_is_refused(monkeypatch):
    """Guards against a connection without a deadline while the parser waits."""
    name = "hemlockstand.serving.connection.read_head"
    monkeypatch.setattr(name, lambda content: Head(content, 3))
    async with open_endpoint() as exchange:
        answer = await exchange(make_request("/size", b"abcde"))
    assert answer.startswith(b"HTTP/1.1 400")
    monkeypatch.setattr(name, lambda content: Head(content, 0))
    async with open_endpoint() as exchange:
        answer = await exchange(make_request("/size", b"abcde"))
    assert answer.startswith(b"HTTP/1.1 400")


def test_head_ends_at_the_first_blank_line():
    """Guards against a second head that is given to the parser unchecked."""
    first = b"GET / HTTP/1.1\nHost: a\n\n"
    assert find_head_end(first + b"GET / HTTP/1.1\r\n\r\n") == len(first)


@pytest.mark.parametrize("closed_by", ["evict", "expire"])
async def test_request_that_has_run_gets_its_answer(closed_by):
    """Guards against "not run" for a request whose unread body is awaited."""
    head = make_request("/refused", b"a" * 5)[:-5]
    async with open_observed_endpoint(stall_seconds=5) as (connect, limiter, _closing):
        stream = await connect()
        await stream.send_all(head)
        await trio.sleep(0.2)
        for connection in tuple(limiter.connections):
            getattr(connection, closed_by)()
        answer = await read_answer(stream)
        await wait_released(limiter)
    assert answer.startswith(b"HTTP/1.1 401")
    assert b"connection: close" in answer.lower()


async def test_reader_of_a_closed_connection_is_woken():
    """Guards against a reader that waits after the close that would wake it."""
    async with open_observed_endpoint() as (connect, limiter, _closing):
        stream = await connect()
        await stream.send_all(make_request("/refused"))
        await read_answer(stream, b"\r\n\r\n")
        (connection,) = limiter.connections
        request = connection.request
        request.finished = False
        connection.close()
        with trio.fail_after(1), pytest.raises(trio.ClosedResourceError):
            await connection.receive_some()
        request.finished = True
        await stream.aclose()


@pytest.mark.parametrize("start", [b"", b"POST /refu"])
async def test_slow_head_on_a_kept_connection_is_answered(start):
    """Guards against a later head that is closed without an answer."""
    async with open_observed_endpoint() as (connect, _limiter, _closing):
        stream = await connect()
        await stream.send_all(make_request("/refused") + start)
        answer = await read_answer(stream, b"\r\n\r\n")
        await stream.send_all(b"" if start else b"POST /refu")
        answer += await read_answer(stream)
    assert answer.count(b"HTTP/1.1 ") == 2
    assert b"HTTP/1.1 408" in answer


async def test_evicted_connection_frees_its_room_at_once():
    """Guards against a crowd that is closed at two connections a second."""
    async with open_observed_endpoint(stall_seconds=20) as (connect, limiter, _closing):
        stream = await connect()
        await stream.send_all(make_request("/size", b"a" * 50)[:-1])
        await trio.sleep(0.1)
        (connection,) = limiter.connections
        connection.evict()
        with trio.fail_after(LINGER_SECONDS / 2):
            while limiter.connections:
                await trio.sleep(0.01)
        assert (await read_answer(stream)).startswith(b"HTTP/1.1 503")


async def test_wait_for_room_is_not_the_fault_of_the_client(monkeypatch):
    """Guards against 408 for a whole request that waits for memory."""
    monkeypatch.setattr("hemlockstand.serving.connection.ADMIT_SECONDS", 0.5)
    async with open_observed_endpoint(source_share=1) as (connect, limiter, _closing):
        limiter.budget.count_bytes("other", limiter.budget.max_bytes - 20_000)
        stream = await connect()
        await stream.send_all(make_request("/refused"))
        answer = await read_answer(stream)
        await wait_released(limiter)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 1" in answer.lower()


async def test_body_that_waits_for_room_is_not_too_slow(monkeypatch):
    """Guards against 408 for a body that is not read for lack of memory."""
    monkeypatch.setattr("hemlockstand.serving.connection.ADMIT_SECONDS", 0.5)
    async with open_observed_endpoint(source_share=1) as (connect, limiter, _closing):
        limiter.budget.count_bytes("other", limiter.budget.max_bytes - 150_000)
        stream = await connect()
        await stream.send_all(make_request("/size", b" " * 90_000))
        answer = await read_answer(stream)
        await wait_released(limiter)
    assert answer.startswith(b"HTTP/1.1 503")


async def test_waiting_requests_are_not_closed_for_each_other():
    """Guards against whole requests that evict each other until none is left."""
    async with open_observed_endpoint(head_seconds=20) as (connect, limiter, _closing):
        taken = limiter.budget.max_bytes - 100_000
        limiter.budget.count_bytes("other", taken)
        streams = [await connect() for _ in range(3)]
        for stream in streams:
            await stream.send_all(make_request("/refused", b"", "Connection: close"))
        await trio.sleep(1.2)
        limiter.budget.give_bytes("other", taken)
        limiter.wake()
        answers = [await read_answer(stream) for stream in streams]
    assert [answer.split(b" ")[1] for answer in answers] == [b"401"] * 3


async def test_client_that_ends_its_side_gets_its_answer():
    """Guards against a request that is dropped when its client sends no more."""
    async with open_observed_endpoint() as (connect, limiter, _closing):
        stream = await connect()
        await stream.send_all(make_request("/slow"))
        await stream.send_eof()
        assert (await read_answer(stream)).startswith(b"HTTP/1.1 200")
        await wait_released(limiter)


async def test_incomplete_head_is_answered_when_the_endpoint_closes():
    """Guards against a client that cannot tell whether its request has run."""
    async with open_observed_endpoint(head_seconds=20) as (connect, _limiter, closing):
        stream = await connect()
        await stream.send_all(b"POST /size HTTP/1.1\r\nHost:")
        await trio.sleep(0.05)
        closing.set()
        assert (await read_answer(stream)).startswith(b"HTTP/1.1 503")


async def test_deadlines_hold_while_the_endpoint_closes():
    """Guards against a slow body that gets no answer when the daemon stops."""
    async with open_observed_endpoint(stall_seconds=0.2) as (
        connect,
        _limiter,
        closing,
    ):
        stream = await connect()
        await stream.send_all(make_request("/size", b"a" * 50)[:-1])
        await trio.sleep(0.05)
        closing.set()
        assert (await read_answer(stream)).startswith(b"HTTP/1.1 408")


async def test_refusal_reaches_a_client_on_a_slow_link():
    """Guards against a reset that destroys the answer to a large body."""
    async with open_observed_endpoint() as (connect, _limiter, _closing):
        stream = await connect()
        await stream.send_all(make_request("/refused", b" " * 200_000)[:-200_000])
        for _ in range(10):
            await trio.sleep(0.1)
            await stream.send_all(b" " * 20_000)
        assert (await read_answer(stream)).startswith(b"HTTP/1.1 401")


async def test_small_chunks_are_not_called_malformed():
    """Guards against a refusal that hides which limit was exceeded."""
    chunks = (b"2\r\n" + b" " * 2 + b"\r\n") * 15_000
    async with open_endpoint() as exchange:
        answer = await exchange(CHUNKED + chunks)
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"the sizes of the chunks have over 65536 bytes" in answer


async def test_failed_option_of_a_socket_ends_one_connection(monkeypatch):
    """Guards against a client that ends the accepting of others."""
    set_option = socket.socket.setsockopt

    def fail(accepted, level, option, *value) -> None:
        if option == socket.TCP_NODELAY:
            raise OSError(errno.EINVAL, "the client has gone")
        set_option(accepted, level, option, *value)

    async with open_endpoint() as exchange:
        with monkeypatch.context() as patched:
            patched.setattr(socket.socket, "setsockopt", fail)
            assert await exchange() == b""
        assert (await exchange(LAST)).startswith(b"HTTP/1.1 200")
