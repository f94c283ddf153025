"""Documents that are nested too deeply to decode, as any program may send them."""

import msgspec
import pytest

from hemlockstand.configuration.changes import unpack_configuration
from hemlockstand.documents import decode_document
from hemlockstand.errors import InvalidInput
from hemlockstand.requests.messages import decode_request
from hemlockstand.requests.suspects import reports_leaving

DEPTH = 4_000
JSON_LISTS = b"[" * DEPTH
MSGPACK_LISTS = b"\x91" * DEPTH


@pytest.mark.parametrize(
    ("decoder", "content"),
    [
        (msgspec.json.Decoder(), JSON_LISTS),
        (msgspec.json.Decoder(), JSON_LISTS + b"]" * DEPTH),
        (msgspec.json.Decoder(), b'"\xff"'),
        (msgspec.msgpack.Decoder(), MSGPACK_LISTS),
        (msgspec.msgpack.Decoder(), b"\xa1\xff"),
    ],
)
def test_undecodable_document_raises_one_error(decoder, content):
    """Guards against an error that callers of a decoder do not expect."""
    with pytest.raises(msgspec.DecodeError):
        decode_document(decoder, content)


def test_nested_health_answer_is_no_leave():
    """Guards against an upstream's answer to a probe that ends the daemon."""
    assert reports_leaving(b'{"leaving": true}')
    assert not reports_leaving(b'{"extra": ' + JSON_LISTS)


def test_nested_snapshot_is_rejected():
    """Guards against a snapshot in the store that ends the daemons reading it."""
    with pytest.raises(InvalidInput):
        unpack_configuration(MSGPACK_LISTS)


def test_nested_forwarded_request_is_rejected():
    """Guards against a message of a peer that ends the daemon."""
    with pytest.raises(InvalidInput):
        decode_request(b"\x81\xa5extra" + MSGPACK_LISTS)
