"""Sets of positions as integers, with a bit for each position.

They are stored as text, since a set of thousands of positions has more decimal
digits than Python converts::

    >>> encode_bits(0b101)
    'BQ=='
    >>> list(find_bits(decode_bits('BQ==')))
    [0, 2]
"""

from base64 import b64decode, b64encode
from collections.abc import Iterator

from hemlockstand.errors import InvalidInput


def encode_bits(bits: int) -> str:
    """Return the text of a set; that of the empty one is empty."""
    content = bits.to_bytes(-(-bits.bit_length() // 8), "little")
    return b64encode(content).decode()


def decode_bits(text: str) -> int:
    """Return the set in a text; raises ``InvalidInput``."""
    try:
        return int.from_bytes(b64decode(text, validate=True), "little")
    except ValueError as error:
        raise InvalidInput(f"not a set of positions: {error}") from error


def find_bits(bits: int) -> Iterator[int]:
    """Yield the positions in a set in ascending order."""
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest
