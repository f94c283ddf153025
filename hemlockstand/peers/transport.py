"""Signed gRPC calls between daemons, used from trio.

Each request carries the sender's time and an HMAC-SHA256 over method, time and
body. Each reply carries an HMAC over the request's signature and the reply's
body, so that an old reply is not accepted for a new request.
"""

import hashlib
import hmac
import time
from collections.abc import Awaitable, Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from functools import partial
from threading import Lock, Semaphore
from typing import Any

import grpc
import trio
from attrs import define, field
from google.protobuf.message import DecodeError, Message
from loguru import logger

from hemlockstand.errors import HemlockstandError
from hemlockstand.metrics import PEER_FAILURES
from hemlockstand.peers import peer_pb2
from hemlockstand.traces import inject_context, record_span

log = logger.bind(module=__name__)

SERVICE = peer_pb2.DESCRIPTOR.services_by_name["Peers"]
TIME_KEY = "x-time-ns"
# With this suffix gRPC transmits raw bytes, which are shorter than digits.
SIGNATURE_KEY = "x-signature-bin"

# Clocks of instances differ by a few seconds at most. A minute leaves a margin
# and still bounds the time in which a recorded request can be replayed.
MAX_CLOCK_DIFFERENCE_SECONDS = 60.0
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# A forwarded request occupies a thread until it is answered. Some threads are
# reserved for other calls; without them heartbeats would have to wait, and
# peers would consider the daemon gone.
SERVER_THREADS = 32
FORWARD_THREADS = 24
CONNECT_BACKOFF_MS = 1000
# The bandwidth probe would send pings with every message, which are small
# already.
NO_BANDWIDTH_PROBE = ("grpc.http2.bdp_probe", 0)


class PeerError(HemlockstandError):
    """Raised if a peer cannot be reached or refuses the message."""

    code = "peer_unreachable"


class PeerRefusal(HemlockstandError):
    """Raised if a peer's message is malformed, unsigned, stale or refused."""

    code = "peer_message_refused"


Handler = Callable[[Any], Awaitable[Message]]


@define
class Traffic:
    """Bytes of messages and metadata sent and received, without framing."""

    sent: int = 0
    received: int = 0
    calls: int = 0
    _lock: Lock = field(factory=Lock, init=False, repr=False)

    def add(self, sent: int = 0, received: int = 0, calls: int = 0) -> None:
        """Add to the counters; safe to call from several threads at once."""
        with self._lock:
            self.sent += sent
            self.received += received
            self.calls += calls


def sign(secret: bytes, method: str, time_ns: str, body: bytes) -> bytes:
    """Return the signature of a request."""
    prefix = f"{method}\n{time_ns}\n".encode()
    return hmac.digest(secret, prefix + body, hashlib.sha256)


def sign_reply(secret: bytes, request_signature: bytes, body: bytes) -> bytes:
    """Return the signature of the reply to a signed request."""
    return hmac.digest(secret, b"reply\n" + request_signature + body, hashlib.sha256)


def check_request(
    secret: bytes, method: str, metadata: Mapping[str, Any], body: bytes, now_ns: int
) -> bytes:
    """Return the signature of a request after checking it.

    Raises ``PeerRefusal`` with code ``peer_message_unsigned``,
    ``peer_signature_wrong`` or ``peer_message_stale``.
    """
    signature = metadata.get(SIGNATURE_KEY, b"")
    time_ns = metadata.get(TIME_KEY, "")
    if not signature or not time_ns:
        raise PeerRefusal(f"{method} has no signature", "peer_message_unsigned")
    expected = sign(secret, method, time_ns, body)
    if not hmac.compare_digest(signature, expected):
        raise PeerRefusal(f"{method} is signed wrongly", "peer_signature_wrong")
    if not time_ns.isdecimal():
        raise PeerRefusal(f"{method} has time {time_ns!r}", "peer_message_broken")
    difference = abs(now_ns - int(time_ns)) / 1e9
    if difference > MAX_CLOCK_DIFFERENCE_SECONDS:
        raise PeerRefusal(
            f"{method} was sent {difference:.0f} s from now", "peer_message_stale"
        )
    return signature


def parse_message(kind: type[Message], method: str, body: bytes) -> Message:
    """Decode a message; raises ``PeerRefusal`` if it is malformed."""
    try:
        return kind.FromString(body)
    except DecodeError as error:
        raise PeerRefusal(f"{method}: {error}", "peer_message_broken") from error


@define
class PeerServer:
    """Serves signed calls on threads, and runs their handlers in trio."""

    secret: bytes
    traffic: Traffic
    _handlers: dict[str, Handler] = field(factory=dict, init=False)
    _server: grpc.Server | None = field(default=None, init=False)
    _token: trio.lowlevel.TrioToken | None = field(default=None, init=False)
    _forwards: Semaphore = field(
        factory=partial(Semaphore, FORWARD_THREADS), init=False, repr=False
    )

    def handle(self, method: str, handler: Handler) -> None:
        """Register the coroutine function that answers a method."""
        self._handlers[method] = handler

    def listen(self, host: str, port: int) -> int:
        """Start the server and return its port; must be called from trio.

        Raises ``PeerError`` if the address cannot be bound.
        """
        self._token = trio.lowlevel.current_trio_token()
        server = grpc.server(
            ThreadPoolExecutor(SERVER_THREADS, thread_name_prefix="peer"),
            options=[
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                NO_BANDWIDTH_PROBE,
            ],
        )
        methods = {
            method.name: grpc.unary_unary_rpc_method_handler(self._bind(method))
            for method in SERVICE.methods
        }
        handler = grpc.method_handlers_generic_handler(SERVICE.full_name, methods)
        server.add_generic_rpc_handlers((handler,))
        try:
            bound = server.add_insecure_port(f"{host}:{port}")
        except RuntimeError as error:
            raise PeerError(
                f"cannot listen on {host}:{port}: {error}", "peer_port_taken"
            ) from error
        server.start()
        self._server = server
        return bound

    async def close(self, grace_seconds: float) -> None:
        """Refuse new calls; let running ones finish within the grace time."""
        if self._server is not None:
            stopped = self._server.stop(grace_seconds)
            await trio.to_thread.run_sync(stopped.wait, abandon_on_cancel=True)

    def _bind(self, method: Any) -> Callable[[bytes, grpc.ServicerContext], bytes]:
        kind = _message_class(method.input_type)

        def serve(body: bytes, context: grpc.ServicerContext) -> bytes:
            return self._serve(method.name, kind, body, context)

        return serve

    def _serve(
        self,
        method: str,
        kind: type[Message],
        body: bytes,
        context: grpc.ServicerContext,
    ) -> bytes:
        metadata = dict(context.invocation_metadata())
        self.traffic.add(received=len(body) + _measure_metadata(metadata))
        try:
            signature = check_request(
                self.secret, method, metadata, body, time.time_ns()
            )
            message = parse_message(kind, method, body)
            with self._limit_forwards(method), record_span(f"peer.{method}", metadata):
                reply = trio.from_thread.run(
                    self._answer, method, message, trio_token=self._token
                )
        except HemlockstandError as error:
            PEER_FAILURES.labels(error.code).inc()
            log.warning("refused a call from peer {}: {}", context.peer(), error)
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(error))
        except (trio.RunFinishedError, trio.Cancelled):
            context.abort(grpc.StatusCode.UNAVAILABLE, "peer_stopping: stopping")
        data = reply.SerializeToString()
        reply_signature = sign_reply(self.secret, signature, data)
        context.set_trailing_metadata(((SIGNATURE_KEY, reply_signature),))
        self.traffic.add(sent=len(data) + len(reply_signature))
        return data

    @contextmanager
    def _limit_forwards(self, method: str) -> Iterator[None]:
        if method != "Forward":
            yield
            return
        if not self._forwards.acquire(blocking=False):
            raise PeerRefusal("too many forwarded requests", "peer_busy")
        try:
            yield
        finally:
            self._forwards.release()

    async def _answer(self, method: str, message: Message) -> Message:
        handler = self._handlers.get(method)
        if handler is None:
            raise PeerRefusal(f"{method} is not served here", "peer_method_unserved")
        return await handler(message)


def _measure_metadata(metadata: Mapping[str, Any]) -> int:
    return sum(len(metadata.get(key, "")) for key in (TIME_KEY, SIGNATURE_KEY))


def _message_class(descriptor: Any) -> type[Message]:
    return getattr(peer_pb2, descriptor.name)


@define
class PeerClient:
    """Calls other daemons, over one channel for each address."""

    secret: bytes
    traffic: Traffic
    _channels: dict[str, grpc.Channel] = field(factory=dict, init=False)

    async def call(
        self, address: str, method: str, message: Message, timeout_seconds: float
    ) -> Any:
        """Send a message and return the reply.

        Raises ``PeerError`` with the peer's code if it refuses the message,
        ``PeerError`` with ``peer_unreachable`` if there is no reply, and
        ``PeerRefusal`` if the reply is malformed or its signature is wrong.
        """
        body = message.SerializeToString()
        time_ns = str(time.time_ns())
        signature = sign(self.secret, method, time_ns, body)
        headers: dict[str, str] = {}
        inject_context(headers)
        signed = ((TIME_KEY, time_ns), (SIGNATURE_KEY, signature))
        metadata = (*headers.items(), *signed)
        self.traffic.add(len(body) + len(signature) + len(time_ns), calls=1)
        invoke = self._open(address).unary_unary(f"/{SERVICE.full_name}/{method}")
        future = invoke.future(body, timeout=timeout_seconds, metadata=metadata)
        await _wait_future(future)
        return self._check_reply(future, method, signature)

    def _check_reply(self, future: Any, method: str, signature: bytes) -> Message:
        error = future.exception()
        if error is not None:
            raise _make_call_error(error, method)
        body = future.result()
        metadata = dict(future.trailing_metadata())
        received = metadata.get(SIGNATURE_KEY, b"")
        self.traffic.add(received=len(body) + len(received))
        expected = sign_reply(self.secret, signature, body)
        if not hmac.compare_digest(received, expected):
            raise PeerRefusal(f"reply to {method}", "peer_signature_wrong")
        kind = _message_class(SERVICE.methods_by_name[method].output_type)
        return parse_message(kind, method, body)

    def forget(self, addresses: set[str]) -> None:
        """Close the channels to these addresses."""
        for address in addresses & self._channels.keys():
            self._channels.pop(address).close()

    def close(self) -> None:
        """Close all channels."""
        self.forget(set(self._channels))

    def _open(self, address: str) -> grpc.Channel:
        if address not in self._channels:
            self._channels[address] = grpc.insecure_channel(
                address,
                options=[
                    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                    ("grpc.max_reconnect_backoff_ms", CONNECT_BACKOFF_MS),
                    ("grpc.enable_http_proxy", 0),
                    NO_BANDWIDTH_PROBE,
                ],
            )
        return self._channels[address]


async def _wait_future(future: Any) -> None:
    """Wait until the future is done; cancel it if the task is cancelled."""
    token = trio.lowlevel.current_trio_token()
    done = trio.Event()

    def wake(_: Any) -> None:
        try:
            token.run_sync_soon(done.set)
        except trio.RunFinishedError:
            return

    future.add_done_callback(wake)
    try:
        await done.wait()
    finally:
        if not future.done():
            future.cancel()


def _make_call_error(error: Exception, method: str) -> HemlockstandError:
    if not isinstance(error, grpc.RpcError):
        return PeerError(f"{method}: {error!r}")
    if error.code() is grpc.StatusCode.FAILED_PRECONDITION:
        code, _, detail = error.details().partition(": ")
        return PeerError(f"{method}: {detail}", code)
    return PeerError(f"{method}: {error.code().name} {error.details()}")
