"""Decoding of documents that other programs have written."""

from typing import Protocol, TypeVar

import msgspec

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
