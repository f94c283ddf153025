"""Finds the ends of heads and bodies in the bytes of a connection.

A head is checked by its size and its number of lines before it is parsed, since
the objects of a parsed head need many times its size. What is malformed is left
to the parser, which refuses it.
"""

import re

from attrs import define, field, frozen

END_OF_HEAD = re.compile(rb"\n\r?\n")
LENGTH = re.compile(rb"\ncontent-length:[ \t]*([0-9]{1,18})[ \t]*\r?\n")
CHUNKED = re.compile(rb"\ntransfer-encoding:")
MAX_CHUNK_LINE = 256  # bytes; a size of 16 digits with a short extension
# Bytes of sizes and ends of lines that chunks may add to a body. A body of the
# largest usual size, 262,144 bytes, can be in chunks of 32 bytes.
MAX_CHUNK_OVERHEAD = 65_536


class Malformed(Exception):
    """The bytes are no chunks; the parser refuses them."""


@frozen
class Head:
    """The framing of a request; ``length`` is None for a body in chunks."""

    content: bytes
    length: int | None


def find_head_end(content: bytes | bytearray) -> int:
    """Return the length of the head at the start, or 0 if it is incomplete."""
    end = content.find(b"\r\n\r\n")
    if end >= 0:
        return end + 4
    match = END_OF_HEAD.search(content)
    return 0 if match is None else match.end()


def read_head(content: bytes) -> Head:
    """Return the framing of a complete head."""
    lower = content.lower()
    if CHUNKED.search(lower):
        return Head(_hide_upgrade(content, lower), None)
    match = LENGTH.search(lower)
    length = 0 if match is None else int(match[1])
    return Head(_hide_upgrade(content, lower), length)


def _hide_upgrade(content: bytes, lower: bytes) -> bytes:
    """Return the head without a wish for another protocol.

    A server may ignore it (RFC 9110, 7.8). Other protocols have buffers and
    timers that these limits do not cover.
    """
    if b"\nupgrade:" not in lower:
        return content
    return re.sub(rb"(?i)\nupgrade:", b"\nx-ignored:", content)


@define
class LengthCounter:
    """Counts the bytes of a body of known length."""

    remaining: int

    @property
    def done(self) -> bool:
        """Whether the body is complete."""
        return self.remaining == 0

    def count(self, content: bytes) -> int:
        """Return how many of the bytes belong to the body."""
        size = min(len(content), self.remaining)
        self.remaining -= size
        return size


@define
class ChunkCounter:
    """Counts the bytes of a body in chunks."""

    overhead: int = 0
    done: bool = False
    _in_chunk: int = 0  # bytes of the present chunk and its end of line
    _last: bool = False  # after the chunk of size 0, in the trailer
    _line: bytearray = field(factory=bytearray)

    remaining = None

    def count(self, content: bytes) -> int:
        """Return how many of the bytes belong to the body."""
        position = 0
        while position < len(content) and not self.done:
            if self._in_chunk:
                size = min(self._in_chunk, len(content) - position)
                self._in_chunk -= size
                position += size
                continue
            position = self._count_line(content, position)
        return position

    def _count_line(self, content: bytes, position: int) -> int:
        end = content.find(b"\n", position)
        stop = len(content) if end < 0 else end + 1
        self._line += content[position:stop]
        self.overhead += stop - position
        if len(self._line) > MAX_CHUNK_LINE or self.overhead > MAX_CHUNK_OVERHEAD:
            raise Malformed
        if end >= 0:
            line = bytes(self._line).strip()
            self._line.clear()
            if self._last:
                self.done = not line
            else:
                self._start_chunk(line)
        return stop

    def _start_chunk(self, line: bytes) -> None:
        try:
            size = int(line.partition(b";")[0], 16)
        except ValueError:
            raise Malformed from None
        if size < 0:
            raise Malformed
        self._last = size == 0
        if size:
            self._in_chunk = size + 2  # with the end of line behind it
            self.overhead += 2
