"""A client's connection, as the stream that Hypercorn reads and writes.

It hands over one complete head at a time, then the body only once the
application has asked for it, and reads nothing ahead while an answer is made or
not taken.
"""

import socket
from collections.abc import Callable
from enum import Enum, auto
from math import inf

import trio
from attrs import define, field, frozen

from hemlockstand.serving.budget import PROTOCOL_BYTES, REQUEST_BYTES
from hemlockstand.serving.framing import (
    MAX_CHUNK_OVERHEAD,
    ChunkCounter,
    ChunksTooSmall,
    LengthCounter,
    Malformed,
    UnknownCoding,
    find_head_end,
    read_head,
)
from hemlockstand.serving.limiter import ADMIT_SECONDS, Limiter
from hemlockstand.serving.settings import ClientSettings

# Bytes that are read at once. A client's share is counted after a read, so this
# bounds what all connections together hold beyond the budget.
RECEIVE_BYTES = 16_384
# What a refused client still sends is read and dropped until it sends nothing for
# this time. Closing with unread bytes would reset the connection, and the answer
# could be lost.
LINGER_SECONDS = 0.5
# The largest usual body takes 0.4 s on a link of 5 Mbit/s that nobody shares.
MAX_LINGER_SECONDS = 2.0
LINGER_BYTES = 1 << 20
REFUSAL = (
    b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
    b"%sConnection: close\r\n\r\n%s"
)
BUSY_DETAIL = "the daemon is busy; this was not run"
RETRY_LINE = b"Retry-After: 1\r\n"  # in a second the crowd may have gone
REASON_PHRASES = {
    400: b"Bad Request",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    503: b"Service Unavailable",
}
PROTOCOL_UPGRADE = b"PRI "  # starts HTTP/2 without a negotiation


class Phase(Enum):
    """What a connection waits for."""

    IDLE = auto()  # the first byte of a request
    HEAD = auto()  # the rest of a head
    BODY = auto()  # the rest of a body
    WAITING = auto()  # room for what has arrived
    ANSWER = auto()  # the application


# The first to be closed when others need room.
RANKS = {Phase.BODY: 0, Phase.HEAD: 0, Phase.IDLE: 1}
STALLED_RANK = 2
# An incomplete body that waits for room holds memory. If all wait, one has to be
# closed so that the others proceed. A request without a body holds none yet.
WAITING_BODY_RANK = 3


@frozen
class RefusalFormat:
    """How an endpoint words refusals that its application does not see."""

    encode: Callable[[str], bytes]
    lines: bytes = b""  # of the head, each with its end


def send_refusal(
    client: socket.socket, refusals: RefusalFormat, status: int, detail: str
) -> None:
    """Send an answer without waiting, after which the connection closes."""
    body = refusals.encode(detail)
    lines = refusals.lines + (RETRY_LINE if status == 503 else b"")
    phrase = REASON_PHRASES[status]
    try:
        client.send(REFUSAL % (status, phrase, len(body), lines, body))
        client.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # the client has gone, or does not read


def drop_received(client: socket.socket) -> bool:
    """Drop what has arrived, up to a bound; False if no more will."""
    try:
        for _ in range(LINGER_BYTES // RECEIVE_BYTES):
            if not client.recv(RECEIVE_BYTES):
                return False
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


@define(eq=False)
class ClientRequest:
    """The state of a request that the application may see."""

    counter: LengthCounter | ChunkCounter
    charged: int = REQUEST_BYTES
    received: int = 0  # bytes of the body
    wanted: bool = False
    discarded: bool = False
    complete: bool = False
    wanted_event: trio.Event = field(factory=trio.Event)
    complete_event: trio.Event = field(factory=trio.Event)
    finished: bool = False
    finished_event: trio.Event = field(factory=trio.Event)

    def allow_body(self) -> None:
        """Let the body be read."""
        self.wanted = True
        self.wanted_event.set()

    def mark_complete(self) -> None:
        """Note that the application has been given the whole body."""
        self.complete = True
        self.complete_event.set()


@define(eq=False)
class Connection:
    """One connection, with its deadline and what it holds."""

    socket: socket.socket
    source: str
    limiter: Limiter
    settings: ClientSettings
    body_factor: int
    refusals: RefusalFormat
    since: float = field(factory=trio.current_time)
    deadline: float = inf
    request: ClientRequest | None = None
    closed: bool = False
    _phase: Phase = Phase.IDLE
    _buffer: bytes = b""
    _ready: bytes = b""
    _in_protocol: bool = False
    _held: int = 0
    _answered: bool = False
    _sending: bool = False
    _linger_seconds: float | None = None

    @property
    def rank(self) -> int | None:
        """Order in which connections are closed for others; None for never."""
        if self.closed:
            return None
        if self._sending:
            return STALLED_RANK
        if self._phase is Phase.WAITING:
            return WAITING_BODY_RANK if self._in_body else None
        return RANKS.get(self._phase)

    @property
    def _in_body(self) -> bool:
        """Whether a request has been handed over and its body is incomplete."""
        return self.request is not None and not self.request.finished

    @property
    def idle(self) -> bool:
        """Whether no complete head has arrived that is not answered."""
        return self._phase in (Phase.IDLE, Phase.HEAD) and not self._sending

    async def wait_request(self) -> bool:
        """Wait for the first head; False if the connection ends without one."""
        try:
            self._ready = await self._receive_head()
        except (trio.ClosedResourceError, trio.BrokenResourceError):
            return False
        return bool(self._ready)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return a complete head or a part of a body; nothing at the end."""
        if self.closed:
            raise trio.ClosedResourceError
        if self._ready:
            data, self._ready = self._ready, b""
            return data
        if self.request is not None and not self.request.counter.done:
            return await self._receive_body(self.request)
        if self.request is not None and not self.request.finished:
            if not await self._wait_finished(self.request):
                return b""
        return await self._receive_head()

    async def _wait_finished(self, request: ClientRequest) -> bool:
        """Wait until a request is answered; False if its client sends no more."""
        ended = False
        if not self._buffer:
            if self.closed:
                # Closing has woken the tasks that waited, and wakes none later.
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(self.socket)
            if request.finished:
                return True
            try:
                # A client may end its side and still read the answer.
                ended = not self.socket.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                pass
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error
        await request.finished_event.wait()
        if self.closed:
            raise trio.ClosedResourceError
        return not ended

    def finish_request(self, request: ClientRequest) -> None:
        """Note that a request has been answered or given up."""
        self.drop(request.charged)
        request.charged = 0
        request.finished = True
        request.finished_event.set()
        now = trio.current_time()
        self._enter(Phase.IDLE, now, now + self.settings.idle_seconds)

    async def _receive_head(self) -> bytes:
        settings = self.settings
        now = trio.current_time()
        self._enter(Phase.IDLE, now, now + settings.idle_seconds)
        while not (end := find_head_end(self._buffer)):
            excess = self._find_excess(self._buffer)
            if excess:
                return self._refuse(431, "head_too_large", excess)
            if self._buffer and self._phase is Phase.IDLE:
                self._answered = False  # that was the request before this one
                now = trio.current_time()
                self._enter(Phase.HEAD, now, now + settings.head_seconds)
            data = await self._receive()
            if not data:
                return b""
            self._buffer += data
        content, self._buffer = self._buffer[:end], self._buffer[end:]
        excess = self._find_excess(content)
        if excess:
            return self._refuse(431, "head_too_large", excess)
        if content.startswith(PROTOCOL_UPGRADE):
            return self._refuse(400, "protocol", "HTTP/2 is not served")
        try:
            head = read_head(content)
        except UnknownCoding:
            detail = "the transfer coding of the body is not known"
            return self._refuse(501, "unknown_coding", detail)
        except Malformed:
            detail = "the length or coding of the body is malformed"
            return self._refuse(400, "malformed_head", detail)
        if head.length != 0 and not self.body_factor:
            return self._refuse(413, "body_not_expected", "no body is accepted here")
        # The head may have been sent ahead, with the request before it.
        self._answered = False
        await self._charge_request()
        counter = ChunkCounter() if head.length is None else LengthCounter(head.length)
        self.request = ClientRequest(counter, complete=counter.done)
        now = trio.current_time()
        # A head without a body is complete as soon as it is parsed.
        deadline = now + settings.stall_seconds if counter.done else inf
        self._enter(Phase.ANSWER, now, deadline)
        return head.content

    def mark_complete(self, request: ClientRequest) -> None:
        """Note that the application has been given the whole body."""
        request.mark_complete()
        if self._phase is Phase.ANSWER:
            self.deadline = inf

    async def _charge_request(self) -> None:
        protocol_bytes = 0 if self._in_protocol else PROTOCOL_BYTES
        await self._hold(protocol_bytes + REQUEST_BYTES)
        self._in_protocol = True

    async def _hold(self, amount: int) -> None:
        """Wait for room; the time does not count as the client's slowness."""
        phase, since = self._phase, self.since
        started = trio.current_time()
        self._enter(Phase.WAITING, started, started + ADMIT_SECONDS)
        await self.limiter.obtain(self, amount)
        waited = trio.current_time() - started
        self._held += amount
        self._enter(phase, since + waited, inf)  # the caller sets the deadline

    def drop(self, amount: int) -> None:
        """Count bytes as free that the connection held."""
        self._held -= amount
        self.limiter.release(self, amount)

    def drop_all(self) -> None:
        """Count all bytes of the connection as free."""
        self.drop(self._held)

    def _find_excess(self, content: bytes) -> str:
        if len(content) > self.settings.head_bytes:
            return f"the head has over {self.settings.head_bytes} bytes"
        if content.count(b"\n") > self.settings.head_lines:
            return f"the head has over {self.settings.head_lines} lines"
        return ""

    async def _receive_body(self, request: ClientRequest) -> bytes:
        if not request.wanted:
            await request.wanted_event.wait()
        if self.closed:
            raise trio.ClosedResourceError
        settings = self.settings
        now = trio.current_time()
        if self._phase is not Phase.BODY:
            self._enter(Phase.BODY, now, now + settings.stall_seconds)
        data, self._buffer = self._buffer, b""
        if not data:
            data = await self._receive()
        if not data:
            return b""
        try:
            size = request.counter.count(data)
        except Malformed:
            return self._refuse(400, "malformed_chunks", "the chunks are malformed")
        except ChunksTooSmall:
            detail = f"the sizes of the chunks have over {MAX_CHUNK_OVERHEAD} bytes"
            return self._refuse(400, "chunks_too_small", detail)
        data, self._buffer = data[:size], data[size:]
        request.received += size
        if not request.discarded:
            await self._hold(size * self.body_factor)
            request.charged += size * self.body_factor
        if request.counter.done:
            # The parser gives the end of the body to the application. If it sees
            # the end elsewhere, it waits for bytes that nobody reads.
            now = trio.current_time()
            self._enter(Phase.ANSWER, now, now + settings.stall_seconds)
            return data
        if self._phase is Phase.BODY:
            now = trio.current_time()
            slowest = self.since + request.received / settings.bytes_per_second
            self.deadline = min(now, slowest) + settings.stall_seconds
        return data

    def _enter(self, phase: Phase, since: float, deadline: float) -> None:
        self._phase = phase
        self.since = since
        self.deadline = deadline

    async def _receive(self) -> bytes:
        waited = False
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            try:
                data = self.socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self.socket)
                waited = True
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error
            if not waited:
                await trio.lowlevel.checkpoint()
            return data

    async def send_all(self, data: bytes) -> None:
        """Send bytes; the client has to take them at the lowest rate."""
        if self.closed:
            raise trio.ClosedResourceError
        self._answered = self._answered or not data.startswith(b"HTTP/1.1 100")
        sent = self._send(data)
        if sent == len(data):
            return
        amount = len(data)
        self.limiter.budget.count_bytes(self.source, amount)
        self._sending = True
        before = (self._phase, self.since, self.deadline)
        started = trio.current_time()
        self.since = started
        try:
            while sent < len(data):
                now = trio.current_time()
                slowest = started + sent / self.settings.bytes_per_second
                self.deadline = min(now, slowest) + self.settings.stall_seconds
                await trio.lowlevel.wait_writable(self.socket)
                if self.closed:
                    raise trio.ClosedResourceError
                sent += self._send(memoryview(data)[sent:])
        finally:
            self._sending = False
            self._enter(*before)
            if self._phase is Phase.ANSWER:
                self.deadline = inf  # the body may have become complete meanwhile
            self.limiter.release(self, amount)

    def _send(self, data: bytes | memoryview) -> int:
        try:
            return self.socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def send_eof(self) -> None:
        """Tell the client that nothing more is sent."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def aclose(self) -> None:
        """End the connection; its task closes the descriptor."""
        request = self.request
        unread = self._buffer or (request is not None and not request.complete)
        # A refusal has closed the connection and has set its own time.
        if unread and not self.closed:
            self._linger_seconds = LINGER_SECONDS
        self.close()

    def close(self) -> None:
        """Wake whatever uses the connection; nothing more is read or sent."""
        if not self.closed:
            self.closed = True
            trio.lowlevel.notify_closing(self.socket)
            self.limiter.wake()
            if self.request is not None:
                self.request.wanted_event.set()
                self.request.complete_event.set()
                self.request.finished_event.set()

    def expire(self) -> None:
        """Close the connection, because its deadline has passed."""
        reason = "write_too_slow" if self._sending else REASONS[self._phase]
        if self._phase is Phase.ANSWER and not self._sending and not self._answered:
            self._refuse(400, reason, "the end of the body was not found")
            return
        if self._phase is Phase.WAITING and not self._sending:
            self._close_with(503, reason, BUSY_DETAIL)
            return
        self._close_with(408, reason, "the request was sent too slowly and was not run")

    def evict(self) -> None:
        """Close the connection, because others need its room."""
        self._close_with(503, "overloaded", BUSY_DETAIL)

    def end_idle(self) -> None:
        """Close the connection if no request is handled, as the endpoint closes."""
        if self.idle and self._phase is Phase.HEAD:
            self._refuse(503, "stopping", "the daemon stops; this was not run")
        elif self.idle:
            self.close()

    def _close_with(self, status: int, reason: str, detail: str) -> None:
        request = self.request
        if self._phase is Phase.BODY and request.discarded and not self._answered:
            # The request has been handled: its answer waits for the body.
            self.limiter.count(reason, self.source)
            self._enter(Phase.ANSWER, trio.current_time(), inf)
            request.complete_event.set()
        elif self._phase in REFUSABLE and not self._answered:
            self._refuse(status, reason, detail)
        else:
            self.limiter.count(reason, self.source)
            self.close()

    def _refuse(self, status: int, reason: str, detail: str) -> bytes:
        """Answer a request that the application does not see, and close."""
        self.limiter.count(reason, self.source)
        send_refusal(self.socket, self.refusals, status, detail)
        # A connection that is closed for others frees its room at once.
        self._linger_seconds = 0 if status in (408, 503) else LINGER_SECONDS
        self.close()
        return b""

    async def linger(self) -> None:
        """Read and drop what a refused client still sends, up to a bound."""
        if self._linger_seconds is None:
            return
        end = trio.current_time() + MAX_LINGER_SECONDS
        with trio.CancelScope(shield=True) as scope:
            while drop_received(self.socket):
                quiet_end = trio.current_time() + self._linger_seconds
                scope.deadline = min(end, quiet_end)
                await trio.lowlevel.wait_readable(self.socket)


# Phases in which the application has not run, or has waited for the body only.
REFUSABLE = (Phase.HEAD, Phase.BODY, Phase.WAITING)
REASONS = {
    Phase.IDLE: "idle",
    Phase.HEAD: "head_too_slow",
    Phase.BODY: "body_too_slow",
    Phase.WAITING: "no_room",
    Phase.ANSWER: "malformed_body",
}
