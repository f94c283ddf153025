"""Decoding of documents that other programs have written."""

from typing import Protocol, TypeVar

import msgspec

# Counts in a submitted document. The largest job that fits into a row of the
# store (65,536 bytes) has some 2,600 objects and lists; a text may add 4,000
# brackets, and 4,000 commas to the 32,768 that fit into a row.
MAX_CONTAINERS = 8_192
MAX_VALUES = 50_000
# Shorter documents cannot reach the counts.
UNCOUNTED_BYTES = MAX_CONTAINERS

T = TypeVar("T", covariant=True)


class DocumentDecoder(Protocol[T]):
    """A decoder of one format, such as ``msgspec.json.Decoder``."""

    def decode(self, content: bytes, /) -> T:
        """Return the decoded document."""


def decode_document(decoder: DocumentDecoder[T], content: bytes) -> T:
    """Return a decoded document; raises only ``msgspec.DecodeError``.

    ``msgspec`` raises ``RecursionError`` for a document that is nested too
    deeply, and ``UnicodeDecodeError`` for some texts. A caller that expects
    unreadable documents must not end by them either::

        decode_document(msgspec.json.Decoder(), b"[" * 4000)  # DecodeError
    """
    try:
        return decoder.decode(content)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error


def check_counts(content: bytes) -> None:
    """Raise ``msgspec.DecodeError`` for a document of very many short parts.

    A legal size of 262,144 bytes can hold 87,000 empty objects, which need twenty
    times their size in memory. Bytes are counted, also within texts, before any
    object is built.
    """
    if len(content) <= UNCOUNTED_BYTES:
        return
    if content.count(b"{") + content.count(b"[") > MAX_CONTAINERS:
        raise msgspec.DecodeError(f"over {MAX_CONTAINERS} objects and lists")
    if content.count(b",") > MAX_VALUES:
        raise msgspec.DecodeError(f"over {MAX_VALUES} values")
