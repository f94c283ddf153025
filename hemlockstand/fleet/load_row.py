"""The row ``load`` in the table ``scheduler``, a compact JSON document.

A document that is missing, damaged or of another format is no reason to refuse
anything; ``decode_load`` returns ``None`` for it.
"""

from math import isfinite

import msgspec
from loguru import logger

from hemlockstand.documents import decode_document
from hemlockstand.fleet.load_view import LOAD_FORMAT, LoadView
from hemlockstand.fleet.storage import SCHEDULER_TABLE, encode_compact
from hemlockstand.platform.rows import RowWrite, StoredRow

log = logger.bind(module=__name__)

LOAD_KEY = "load"
# The smallest capacity that is published. Times of work on less overflow.
MIN_CORES = 0.001

_decoder = msgspec.json.Decoder(LoadView)
_format_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


def load_write(view: LoadView) -> RowWrite:
    """Return the row of a view."""
    return RowWrite(SCHEDULER_TABLE, LOAD_KEY, encode_compact(view))


def decode_load(row: StoredRow) -> LoadView | None:
    """Return the view in a row, or ``None`` if it cannot be used."""
    if row.dropped:
        return None
    try:
        content = row.value or b""
        fields = decode_document(_format_decoder, content)
        if bytes(fields.get("format", b"")) != str(LOAD_FORMAT).encode():
            log.info("load of the scheduler has another format; it is not used")
            return None
        view = decode_document(_decoder, content)
        if not all(isfinite(each) and each >= 0 for each in view.list_numbers()):
            raise msgspec.DecodeError("a number is out of range")
        for pool in view.pools.values():
            if 0 < pool.cores < MIN_CORES:
                raise msgspec.DecodeError("a pool has less than any executor")
            if not all(priority.isdecimal() for priority in pool.waiting):
                raise msgspec.DecodeError("a priority is not a number")
    except (msgspec.DecodeError, OverflowError) as error:
        log.warning("load of the scheduler cannot be decoded", detail=str(error))
        return None
    return view
