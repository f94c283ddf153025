"""Small HTTP client of the load tool: h11 over persistent connections.

It uses less processor time per request than a general-purpose client, so that
the latencies in the load tool's report are those of the system under test.
"""

from collections import deque
from collections.abc import Mapping

import h11
import trio
from attrs import define, field

CHUNK_BYTES = 1 << 16


class AnswerLost(Exception):
    """The connection broke after the request was, or may have been, sent."""


class NotConnected(Exception):
    """No connection could be made; the request was not sent."""


@define
class Answer:
    """A response whose body has been read in full."""

    status: int
    headers: dict[str, str]
    body: bytes


@define
class _Connection:
    stream: trio.SocketStream
    protocol: h11.Connection
    requests_left: int


@define
class CallerClient:
    """Sends requests to one address over persistent connections.

    A connection is closed after ``requests_per_connection`` requests, so that
    a balancer, which chooses a daemon per connection, spreads the load again.
    """

    host: str
    port: int
    requests_per_connection: int
    _idle: deque[_Connection] = field(factory=deque)

    async def send(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes = b""
    ) -> Answer:
        """Send a request; raises ``NotConnected`` or ``AnswerLost``."""
        connection = await self._acquire()
        done = False
        try:
            answer = await self._exchange(connection, method, path, headers, body)
            done = True
        except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
            raise AnswerLost(repr(error)) from error
        finally:
            if not done:
                await trio.aclose_forcefully(connection.stream)
        await self._release(connection)
        return answer

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await trio.aclose_forcefully(self._idle.pop().stream)

    async def _acquire(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.stream.socket.is_readable():
                return connection
            # An idle connection is readable only if the server has closed it.
            await trio.aclose_forcefully(connection.stream)
        try:
            stream = await trio.open_tcp_stream(self.host, self.port)
        except OSError as error:
            raise NotConnected(repr(error)) from error
        protocol = h11.Connection(h11.CLIENT)
        return _Connection(stream, protocol, self.requests_per_connection)

    async def _exchange(
        self,
        connection: _Connection,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> Answer:
        protocol = connection.protocol
        fields = [("Host", self.host), ("Content-Length", str(len(body)))]
        request = h11.Request(
            method=method, target=path, headers=[*fields, *headers.items()]
        )
        data = protocol.send(request)
        if body:
            data += protocol.send(h11.Data(data=body))
        data += protocol.send(h11.EndOfMessage())
        await connection.stream.send_all(data)
        return await self._read_answer(connection)

    async def _read_answer(self, connection: _Connection) -> Answer:
        protocol = connection.protocol
        answer = Answer(0, {}, b"")
        while True:
            match protocol.next_event():
                case h11.NEED_DATA:
                    chunk = await connection.stream.receive_some(CHUNK_BYTES)
                    protocol.receive_data(chunk)
                case h11.Response(status_code=status, headers=headers):
                    answer.status = status
                    answer.headers = {
                        name.decode(): value.decode("latin-1")
                        for name, value in headers
                    }
                case h11.Data(data=data):
                    answer.body += bytes(data)
                case h11.EndOfMessage():
                    return answer
                case h11.ConnectionClosed() | h11.PAUSED:
                    raise h11.RemoteProtocolError("connection closed")

    async def _release(self, connection: _Connection) -> None:
        connection.requests_left -= 1
        protocol = connection.protocol
        if connection.requests_left > 0 and protocol.our_state is h11.DONE:
            try:
                protocol.start_next_cycle()
                self._idle.append(connection)
                return
            except h11.ProtocolError:
                pass
        await trio.aclose_forcefully(connection.stream)
