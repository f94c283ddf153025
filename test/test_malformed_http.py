"""Requests that cannot be parsed are refused and affect nothing else."""

import pytest
import trio

from test.fakes import (
    FakeUpstream,
    make_answer,
    make_configuration,
    make_queue,
    run_request_path,
)

START = b"POST /v1/queues/quotes HTTP/1.1\r\nHost: a\r\n"
RECEIVE_BYTES = 1 << 16
TIMEOUT_SECONDS = 10

MALFORMED = {
    "request line": (b"NONSENSE\r\n\r\n", b"400"),
    "binary": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", b"400"),
    "header without name": (START + b": value\r\n\r\n", b"400"),
    "header with a space": (START + b"X Team: hinge\r\n\r\n", b"400"),
    "no host": (b"POST /v1/queues/quotes HTTP/1.1\r\n\r\n", b"400"),
    "length is no number": (START + b"Content-Length: x\r\n\r\n", b"400"),
    "two lengths": (START + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", b"400"),
    "unknown encoding": (START + b"Transfer-Encoding: gzip\r\n\r\n", b"501"),
    "oversized headers": (START + b"X-Long: " + b"a" * 20_000, b"431"),
    "bad chunk": (START + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n", b"400"),
}


async def exchange(port, data):
    """Send bytes on a new connection and return all bytes of the answer."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    answer = b""
    async with stream:
        with trio.fail_after(TIMEOUT_SECONDS):
            await stream.send_all(data)
            while chunk := await stream.receive_some(RECEIVE_BYTES):
                answer += chunk
    return answer


@pytest.fixture
async def port(monkeypatch, tmp_path):
    """Yield a caller port; check that it serves before and after the test."""

    async def answer_at_once(received):
        return make_answer(received, b"done")

    upstream = FakeUpstream(answer_at_once)
    configuration = make_configuration(make_queue("quotes"))
    async with run_request_path(
        monkeypatch, tmp_path, configuration, {"main": [upstream]}
    ) as harness:
        async with harness.make_client() as client:
            assert (await client.post("/v1/queues/quotes")).content == b"done"
            yield harness.admission.port
            # Both the earlier connection and a new one are served.
            assert (await client.post("/v1/queues/quotes")).content == b"done"
        async with harness.make_client() as client:
            assert (await client.post("/v1/queues/quotes")).content == b"done"
    assert len(upstream.received) == 3


@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_request_is_refused_alone(port, name):
    """Guards against a malformed request that is run or stops the daemon."""
    data, status = MALFORMED[name]
    answer = await exchange(port, data)
    assert answer.split(b" ")[1] == status
    assert answer.count(b"HTTP/1.1 ") == 1


async def test_length_and_encoding_together_run_nothing_else(port):
    """Guards against request smuggling: a body that is run as a request."""
    inner = b"POST /v1/queues/quotes HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
    headers = b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    answer = await exchange(port, START + headers + b"zz\r\n" + inner)
    assert answer.split(b" ")[1] == b"400"
    assert answer.count(b"HTTP/1.1 ") == 1
