"""Finds the ends of heads and bodies in the bytes of a connection.

A head is checked by its size and its number of lines before it is parsed, since
the objects of a parsed head need many times its size. Framing that the parser
could read in another way is refused: if the two disagree on the end of a body,
each waits for the other and the connection never ends.
"""

import re

from attrs import define, field, frozen

END_OF_HEAD = re.compile(rb"\n\r?\n")
FRAMING = re.compile(rb"\n(?:content-length|transfer-encoding)[ \t]*:")
LENGTH = re.compile(rb"\ncontent-length:[ \t]*([0-9]{1,18})[ \t]*(?=\r?\n)")
CHUNKED = re.compile(rb"\ntransfer-encoding:[ \t]*chunked[ \t]*(?=\r?\n)")
OTHER_CODING = re.compile(rb"\ntransfer-encoding:[ \t]*[a-z-]+[ \t]*(?=\r?\n)")
FOLDED = re.compile(rb"\n[ \t]")
CHUNK_LINE = re.compile(rb"([0-9a-fA-F]{1,16})(?:;.*|[ \t]*)\r\n")
MAX_CHUNK_LINE = 256  # bytes; a size of 16 digits with a short extension
# Bytes of sizes and ends of lines that chunks may add to a body. A body of the
# largest usual size, 262,144 bytes, can be in chunks of 32 bytes.
MAX_CHUNK_OVERHEAD = 65_536


class Malformed(Exception):
    """The framing is wrong, or the parser could read it in another way."""


class UnknownCoding(Exception):
    """The body has a transfer coding other than chunks."""


class ChunksTooSmall(Exception):
    """The sizes of the chunks exceed what they may add to a body."""


@frozen
class Head:
    """The framing of a request; ``length`` is None for a body in chunks."""

    content: bytes
    length: int | None


def find_head_end(content: bytes | bytearray) -> int:
    """Return the length of the head at the start, or 0 if it is incomplete."""
    match = END_OF_HEAD.search(content)
    return 0 if match is None else match.end()


def read_head(content: bytes) -> Head:
    """Return the framing of a complete head.

    Raises ``Malformed`` for a length or coding that is not in its plain form,
    is repeated, or could be continued on a folded line, and ``UnknownCoding``
    for a coding that is not served.
    """
    lower = content.lower()
    lengths = LENGTH.findall(lower)
    codings = CHUNKED.findall(lower)
    lines = len(FRAMING.findall(lower))
    folded = FOLDED.search(lower)
    if lines == 1 and not codings and not folded and OTHER_CODING.search(lower):
        raise UnknownCoding
    strict = len(lengths) + len(codings) == lines
    if not strict or len(lengths) > 1 or len(codings) > 1 or folded:
        raise Malformed
    length = None if codings else sum(map(int, lengths))
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
        if len(self._line) > MAX_CHUNK_LINE:
            raise Malformed
        if self.overhead > MAX_CHUNK_OVERHEAD:
            raise ChunksTooSmall
        if end >= 0:
            line = bytes(self._line)
            self._line.clear()
            if not line.endswith(b"\r\n"):
                raise Malformed
            if self._last:
                self.done = line == b"\r\n"
            else:
                self._start_chunk(line)
        return stop

    def _start_chunk(self, line: bytes) -> None:
        match = CHUNK_LINE.fullmatch(line)
        if match is None:
            raise Malformed
        size = int(match[1], 16)
        self._last = size == 0
        if size:
            self._in_chunk = size + 2  # with the end of line behind it
            self.overhead += 2
