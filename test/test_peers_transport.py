"""Refusal of malformed, unsigned and stale messages between peers."""

import time

import grpc
import pytest
import trio

from hemlockstand.errors import InvalidInput
from hemlockstand.peers import peer_pb2
from hemlockstand.peers.messages import decode_verdict, encode_verdict
from hemlockstand.peers.transport import (
    FORWARD_THREADS,
    MAX_CLOCK_DIFFERENCE_SECONDS,
    SERVER_THREADS,
    SIGNATURE_KEY,
    TIME_KEY,
    PeerClient,
    PeerError,
    PeerRefusal,
    PeerServer,
    Traffic,
    sign,
    sign_reply,
)
from hemlockstand.verdict import Answered, MayHaveRun, NotRun, Reason

SECRET = b"0123456789abcdef"
TIMEOUT_SECONDS = 10
METHOD = "/hemlockstand.peers.Peers/Fetch"


async def answer(request):
    """Reply with the version of the request."""
    return peer_pb2.FetchReply(configuration_version=request.from_version)


@pytest.fixture
async def server():
    """Yield a peer server and its address."""
    peer_server = PeerServer(SECRET, Traffic())
    peer_server.handle("Fetch", answer)
    port = peer_server.listen("127.0.0.1", 0)
    yield peer_server, f"127.0.0.1:{port}"
    await peer_server.close(0)


@pytest.fixture
async def client():
    peer_client = PeerClient(SECRET, Traffic())
    yield peer_client
    peer_client.close()


async def call_raw(address, body, metadata):
    """Send bytes with the given metadata; return the details of the error."""

    def call():
        with grpc.insecure_channel(address) as channel:
            try:
                channel.unary_unary(METHOD)(
                    body, timeout=TIMEOUT_SECONDS, metadata=metadata
                )
            except grpc.RpcError as error:
                return error.details()

    return await trio.to_thread.run_sync(call)


def make_metadata(body, time_ns=None, secret=SECRET, method="Fetch"):
    time_text = str(time.time_ns() if time_ns is None else time_ns)
    signature = sign(secret, method, time_text, body)
    return ((TIME_KEY, time_text), (SIGNATURE_KEY, signature))


def seconds_ago(seconds):
    return time.time_ns() - int(seconds * 1e9)


BODY = peer_pb2.FetchRequest(from_version=7).SerializeToString()
TOO_OLD_SECONDS = MAX_CLOCK_DIFFERENCE_SECONDS + 5
REFUSED = {
    "no metadata": (BODY, lambda: (), "peer_message_unsigned"),
    "no time": (BODY, lambda: make_metadata(BODY)[1:], "peer_message_unsigned"),
    "other body": (b"", lambda: make_metadata(BODY), "peer_signature_wrong"),
    "other method": (
        BODY,
        lambda: make_metadata(BODY, method="Forward"),
        "peer_signature_wrong",
    ),
    "other secret": (
        BODY,
        lambda: make_metadata(BODY, secret=b"another-secret-16"),
        "peer_signature_wrong",
    ),
    "recorded long ago": (
        BODY,
        lambda: make_metadata(BODY, seconds_ago(TOO_OLD_SECONDS)),
        "peer_message_stale",
    ),
    "from the future": (
        BODY,
        lambda: make_metadata(BODY, seconds_ago(-TOO_OLD_SECONDS)),
        "peer_message_stale",
    ),
    "time is no number": (
        BODY,
        lambda: make_metadata(BODY, "now"),
        "peer_message_broken",
    ),
    "body is no message": (
        b"\xff\xff\xff",
        lambda: make_metadata(b"\xff\xff\xff"),
        "peer_message_broken",
    ),
}


@pytest.mark.parametrize("case", REFUSED)
async def test_bad_message_is_refused_with_code(server, client, case):
    """Guards against a bad message that is executed or crashes the daemon."""
    _, address = server
    body, metadata, code = REFUSED[case]
    details = await call_raw(address, body, metadata())
    assert details.startswith(f"{code}: ")
    request = peer_pb2.FetchRequest(from_version=7)
    reply = await client.call(address, "Fetch", request, TIMEOUT_SECONDS)
    assert reply.configuration_version == 7


async def test_unserved_method_is_refused_with_code(server, client):
    """Guards against an unhandled method that is reported as an outage."""
    request = peer_pb2.ForwardRequest()
    with pytest.raises(PeerError) as caught:
        await client.call(server[1], "Forward", request, TIMEOUT_SECONDS)
    assert caught.value.code == "peer_method_unserved"


async def test_handler_error_does_not_end_the_server(server, client):
    """Guards against a daemon that crashes because of one request."""

    async def fail(request):
        raise ValueError("broken handler")

    server[0].handle("Ask", fail)
    with pytest.raises(PeerError):
        await client.call(server[1], "Ask", peer_pb2.AskRequest(), TIMEOUT_SECONDS)
    request = peer_pb2.FetchRequest(from_version=3)
    reply = await client.call(server[1], "Fetch", request, TIMEOUT_SECONDS)
    assert reply.configuration_version == 3


async def test_heartbeats_pass_while_forwards_wait(server, client):
    """Guards against a busy daemon that is suspected to have failed.

    Forwards that wait must leave threads of the server for heartbeats.
    """
    peer_server, address = server
    may_answer = trio.Event()
    codes = []

    async def wait(request):
        await may_answer.wait()
        return peer_pb2.Verdict()

    async def forward():
        request = peer_pb2.ForwardRequest()
        try:
            await client.call(address, "Forward", request, TIMEOUT_SECONDS)
        except PeerError as error:
            codes.append(error.code)

    peer_server.handle("Forward", wait)
    async with trio.open_nursery() as nursery:
        for _ in range(SERVER_THREADS + 8):
            nursery.start_soon(forward)
        request = peer_pb2.FetchRequest(from_version=3)
        reply = await client.call(address, "Fetch", request, TIMEOUT_SECONDS)
        assert reply.configuration_version == 3
        with trio.fail_after(TIMEOUT_SECONDS):
            while len(codes) < SERVER_THREADS + 8 - FORWARD_THREADS:
                await trio.sleep(0.01)
        may_answer.set()
    assert codes == ["peer_busy"] * (SERVER_THREADS + 8 - FORWARD_THREADS)


async def test_reply_with_wrong_signature_is_refused(server):
    """Guards against a proof from a process that lacks the secret."""
    server[0].secret = b"another-secret-16"
    same_secret_client = PeerClient(b"another-secret-16", Traffic())
    other_secret_client = PeerClient(SECRET, Traffic())
    request = peer_pb2.FetchRequest()
    await same_secret_client.call(server[1], "Fetch", request, TIMEOUT_SECONDS)
    with pytest.raises(PeerError):
        await other_secret_client.call(server[1], "Fetch", request, TIMEOUT_SECONDS)
    same_secret_client.close()
    other_secret_client.close()


async def test_recorded_reply_is_refused(client, monkeypatch):
    """Guards against an old proof that is replayed for a new request."""
    recorded = []

    def serve(body, context):
        reply, signature = recorded[0]
        context.set_trailing_metadata(((SIGNATURE_KEY, signature),))
        return reply

    def record(secret, request_signature, body):
        signature = sign_reply(secret, request_signature, body)
        recorded.append((body, signature))
        return signature

    server = PeerServer(SECRET, Traffic())
    server.handle("Fetch", answer)
    address = f"127.0.0.1:{server.listen('127.0.0.1', 0)}"
    request = peer_pb2.FetchRequest(from_version=9)
    monkeypatch.setattr("hemlockstand.peers.transport.sign_reply", record)
    await client.call(address, "Fetch", request, TIMEOUT_SECONDS)
    await server.close(0)

    monkeypatch.setattr(PeerServer, "_serve", lambda *args: serve(*args[-2:]))
    replayer = PeerServer(SECRET, Traffic())
    address = f"127.0.0.1:{replayer.listen('127.0.0.1', 0)}"
    with pytest.raises(PeerRefusal) as caught:
        await client.call(address, "Fetch", request, TIMEOUT_SECONDS)
    assert caught.value.code == "peer_signature_wrong"
    await replayer.close(0)


async def test_silent_address_is_unreachable(client):
    """Guards against a call to a stopped daemon that waits for ever."""
    with pytest.raises(PeerError) as caught:
        await client.call("127.0.0.1:9", "Fetch", peer_pb2.FetchRequest(), 0.5)
    assert caught.value.code == "peer_unreachable"


async def test_traffic_is_counted_on_both_sides(server, client):
    """Guards against control traffic that is not counted."""
    request = peer_pb2.FetchRequest(from_version=300)
    await client.call(server[1], "Fetch", request, TIMEOUT_SECONDS)
    assert client.traffic.calls == 1
    assert client.traffic.sent == server[0].traffic.received > 0
    assert client.traffic.received == server[0].traffic.sent > 0


@pytest.mark.parametrize(
    "verdict",
    [
        Answered(200, (("Content-Type", "text/plain"),), b"\x00done"),
        NotRun(Reason.LIMIT_REACHED, "full", 0.25),
        NotRun(Reason.KEY_REFUSED, "withdrawn", None),
        NotRun(Reason.OVERLOADED, "full", 0.0),
        MayHaveRun("r-1", Reason.ANSWER_LOST, "closed"),
    ],
)
def test_verdict_survives_encoding(verdict):
    """Guards against a verdict that changes on its way to the caller."""
    assert decode_verdict(encode_verdict(verdict)) == verdict


@pytest.mark.parametrize(
    "message",
    [
        peer_pb2.Verdict(),
        peer_pb2.Verdict(not_run=peer_pb2.NotRun(reason="because")),
    ],
)
def test_unclear_verdict_is_never_read_as_not_run(message):
    """Guards against a second run after a verdict that cannot be read."""
    with pytest.raises(InvalidInput):
        decode_verdict(message)
