"""The request as passed between services and forwarded between daemons."""

from collections.abc import Mapping

import msgspec
import trio
from attrs import field, frozen

from hemlockstand.documents import decode_document
from hemlockstand.errors import InvalidInput


@frozen
class Request:
    """A caller's request that has passed admission.

    ``deadline`` is a ``trio.current_time()`` value of this process.
    ``trace_headers`` holds the W3C trace headers of the previous hop. ``key``
    is the name of the caller's key, or ``None`` on an open queue.
    """

    id: str
    team: str
    queue: str
    deadline: float
    body: bytes = field(repr=False)
    content_type: str
    trace_headers: Mapping[str, str]
    key: str | None = None


class _Forwarded(msgspec.Struct, frozen=True):
    """A request forwarded to another daemon.

    It has the remaining time in place of the deadline, because the clocks of
    daemons differ.
    """

    id: str
    team: str
    queue: str
    seconds_left: float
    body: bytes
    content_type: str
    trace_headers: dict[str, str]
    key: str | None


_decoder = msgspec.msgpack.Decoder(_Forwarded)


def encode_request(request: Request, trace_headers: Mapping[str, str]) -> bytes:
    """Return the message that forwards the request to another daemon."""
    return msgspec.msgpack.encode(
        _Forwarded(
            id=request.id,
            team=request.team,
            queue=request.queue,
            seconds_left=request.deadline - trio.current_time(),
            body=request.body,
            content_type=request.content_type,
            trace_headers=dict(trace_headers),
            key=request.key,
        )
    )


def decode_request(message: bytes) -> Request:
    """Return the request in a forwarded message; raises ``InvalidInput``."""
    try:
        forwarded = decode_document(_decoder, message)
    except msgspec.DecodeError as error:
        raise InvalidInput(f"forwarded request: {error}") from error
    return Request(
        id=forwarded.id,
        team=forwarded.team,
        queue=forwarded.queue,
        deadline=trio.current_time() + forwarded.seconds_left,
        body=forwarded.body,
        content_type=forwarded.content_type,
        trace_headers=forwarded.trace_headers,
        key=forwarded.key,
    )
