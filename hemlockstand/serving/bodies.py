"""Reads bodies within a limit."""

from typing import Any

from hemlockstand.serving.application import REQUEST_KEY


class BodyTooLarge(Exception):
    """A body has more bytes than allowed."""


async def read_body(request: Any, max_bytes: int) -> bytes:
    """Return the body of a Quart request.

    Nothing of a body is read from the client before this is called. Raises
    ``BodyTooLarge`` as soon as the body exceeds the limit.
    """
    if (request.content_length or 0) > max_bytes:
        raise BodyTooLarge
    held = request.scope.get(REQUEST_KEY)
    if held is not None:
        held.allow_body()
    parts = []
    size = 0
    async for part in request.body:
        size += len(part)
        if size > max_bytes:
            raise BodyTooLarge
        parts.append(part)
    return b"".join(parts)
