"""Processor time that the daemon's request path uses per request.

The daemon runs in the main thread. Its callers and upstreams run in other
threads, so that the processor time of the main thread is the daemon's alone.
Requests go over loopback sockets to the caller port, ``CONNECTIONS`` at a
time. The other services of the daemon are the fakes of the tests.
"""

from collections.abc import Iterator
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Thread
from time import thread_time

import pytest
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response
from quart_trio import QuartTrio

from bench.figures import Figure
from hemlockstand.coordination.fairqueue import FairQueue
from hemlockstand.model import Access
from test.fakes import (
    FakeUpstream,
    make_answer,
    make_configuration,
    make_queue,
    run_request_path,
)

ROUNDS = 8
REQUESTS_PER_ROUND = 400
WARM_UP_REQUESTS = 300
CONNECTIONS = 16
BODY = b"x" * 200
FLOWS = 50
QUEUE_OPERATIONS = 20_000

OPEN = ""
KEYED = "Authorization: Bearer secret\r\nX-Team: hinge\r\n"


def measure_figures() -> Iterator[Figure]:
    """Yield the processor time of one request and of its parts."""
    for name, queue, headers in (
        ("open_quote", "quotes", OPEN),
        ("keyed_order", "orders", KEYED),
        ("refused", "missing", OPEN),
    ):
        microseconds = _run_path(queue, headers)
        yield Figure(f"request_path_cpu_{name}", microseconds, "us")
    yield Figure("request_path_cpu_web_server_only", _run_web_server(), "us")
    yield Figure("fair_queue_cpu_push_and_pop", _measure_queue(), "us")


def _run_path(queue: str, headers: str) -> float:
    with pytest.MonkeyPatch.context() as patch, TemporaryDirectory() as directory:
        return trio.run(_measure_path, patch, Path(directory), queue, headers)


async def _measure_path(patch, directory: Path, queue: str, headers: str) -> float:
    configuration = make_configuration(
        make_queue("quotes"),
        make_queue("orders", idempotent=False, access=Access.KEYED),
    )
    upstreams = [FakeUpstream(_answer) for _ in range(4)]
    async with (
        UpstreamThread(upstreams),
        run_request_path(
            patch, directory, configuration, {"main": upstreams}
        ) as harness,
    ):
        return await _measure_load(
            harness.admission.port, f"/v1/queues/{queue}", headers
        )


async def _answer(received) -> bytes:
    return make_answer(received, BODY)


class UpstreamThread:
    """Runs the upstreams in a thread with an event loop of its own."""

    def __init__(self, upstreams: list[FakeUpstream]) -> None:
        self.upstreams = upstreams
        self.token: trio.lowlevel.TrioToken | None = None
        self.scope = trio.CancelScope()
        self.ready = trio.Event()

    async def __aenter__(self) -> None:
        main_token = trio.lowlevel.current_trio_token()
        self.thread = Thread(
            target=trio.run, args=(self._serve, main_token), daemon=True
        )
        self.thread.start()
        await self.ready.wait()

    async def _serve(self, main_token: trio.lowlevel.TrioToken) -> None:
        self.token = trio.lowlevel.current_trio_token()
        with self.scope:
            async with trio.open_nursery() as nursery:
                for upstream in self.upstreams:
                    await nursery.start(upstream.serve)
                main_token.run_sync_soon(self.ready.set)

    async def __aexit__(self, *_: object) -> None:
        self.token.run_sync_soon(self.scope.cancel)
        await trio.to_thread.run_sync(self.thread.join)


async def _measure_load(port: int, path: str, headers: str) -> float:
    """Send all requests from another thread.

    Returns the processor time of this thread per request, in microseconds. It
    is that of the fastest round, because other load on the machine can only
    add processor time.
    """
    await _send(port, path, headers, WARM_UP_REQUESTS)
    rounds = [await _measure_round(port, path, headers) for _ in range(ROUNDS)]
    return min(rounds)


async def _measure_round(port: int, path: str, headers: str) -> float:
    began = thread_time()
    await _send(port, path, headers, REQUESTS_PER_ROUND)
    return (thread_time() - began) / REQUESTS_PER_ROUND * 1e6


async def _send(port: int, path: str, headers: str, requests: int) -> None:
    run = partial(trio.run, _send_all, port, path, headers, requests)
    await trio.to_thread.run_sync(run)


async def _send_all(port: int, path: str, headers: str, requests: int) -> None:
    async with trio.open_nursery() as nursery:
        for connection in range(CONNECTIONS):
            count = requests // CONNECTIONS + (connection < requests % CONNECTIONS)
            nursery.start_soon(_send_some, port, path, headers, connection, count)


async def _send_some(
    port: int, path: str, headers: str, connection: int, requests: int
) -> None:
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        for number in range(requests):
            head = (
                f"POST {path} HTTP/1.1\r\nHost: bench\r\n{headers}"
                f"X-Request-Id: c{connection}-{number}-{id(stream)}\r\n"
                f"X-Deadline-Ms: 4000\r\nContent-Length: {len(BODY)}\r\n\r\n"
            )
            await stream.send_all(head.encode() + BODY)
            await _receive_answer(stream)


async def _receive_answer(stream: trio.SocketStream) -> None:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await _receive(stream)
    head, _, rest = data.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
    while len(rest) < length:
        rest += await _receive(stream)


async def _receive(stream: trio.SocketStream) -> bytes:
    data = await stream.receive_some()
    if not data:
        raise EOFError("server closed the connection before the answer was complete")
    return data


def _run_web_server() -> float:
    """Return the cost of a web server that does nothing but answer."""
    return trio.run(_measure_web_server)


async def _measure_web_server() -> float:
    app = QuartTrio(__name__)

    @app.post("/v1/queues/<queue>")
    async def answer(queue: str) -> Response:
        return Response(BODY)

    config = Config()
    config.bind = ["127.0.0.1:0"]
    config.errorlog = None
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(partial(serve, app, config))
        port = int(binds[0].rpartition(":")[2])
        microseconds = await _measure_load(port, "/v1/queues/quotes", OPEN)
        nursery.cancel_scope.cancel()
    return microseconds


def _measure_queue() -> float:
    queue: FairQueue[int] = FairQueue(10_000, 0.1)
    for number in range(1000):
        queue.push(number, f"flow{number % FLOWS}", 1.0 + number % 3, 1e9)
    began = thread_time()
    for number in range(QUEUE_OPERATIONS):
        queue.push(number, f"flow{number % FLOWS}", 1.0 + number % 3, 1e9)
        queue.pop(0.0)
    return (thread_time() - began) / QUEUE_OPERATIONS * 1e6


if __name__ == "__main__":
    for figure in measure_figures():
        print(figure.format_line())
