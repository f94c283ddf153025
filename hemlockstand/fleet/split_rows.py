"""Rows of the scheduler whose content may outgrow a row of the store.

What does not fit into the first row goes into further ones. All of them are
written together. If one cannot be read, the content is unknown::

    scheduler  roster/pool          executors of a pool
    scheduler  more-roster/1/pool   further executors of the pool
    scheduler  wave/7               progress of a wave
    scheduler  wave/7/1             progress of further instances of the wave
"""

from collections.abc import Iterable, Iterator, Mapping

import msgspec

from hemlockstand.fleet.model import Wave
from hemlockstand.fleet.storage import (
    SCHEDULER_TABLE,
    STATUS_TABLE,
    WAVE_PREFIX,
    WaveRecord,
    decode_rows,
    encode_compact,
)
from hemlockstand.platform.decoding import encode_wave_status
from hemlockstand.platform.rows import MAX_ROW_BYTES, RowWrite, StoredRow

# Of the names of instances in a row, each of which may be there three times.
MAX_WAVE_NAMES_BYTES = MAX_ROW_BYTES // 3 - 1000
KNOWN_EXECUTORS_PREFIX = "roster/"
MORE_KNOWN_EXECUTORS_PREFIX = "more-roster/"

_addresses_decoder = msgspec.json.Decoder(dict[str, str])
_wave_decoder = msgspec.json.Decoder(WaveRecord)


def known_executors_writes(
    pool: str, addresses: Mapping[str, str], rows: int = 1
) -> list[RowWrite]:
    """Return the rows of a pool's executors that may have runs.

    Each pool has a row, because a large fleet does not fit into one. A large
    pool has more rows, and writes at least ``rows``, as it may have had them.
    """
    parts = list(_split_addresses(addresses))
    parts += [{} for _ in range(rows - len(parts))]
    return [
        RowWrite(
            SCHEDULER_TABLE,
            _known_executors_key(pool, number),
            msgspec.json.encode(part),
        )
        for number, part in enumerate(parts)
    ]


def _known_executors_key(pool: str, number: int) -> str:
    if not number:
        return KNOWN_EXECUTORS_PREFIX + pool
    return f"{MORE_KNOWN_EXECUTORS_PREFIX}{number}/{pool}"


def count_known_executors_rows(addresses: Mapping[str, str]) -> int:
    """Return how many rows the executors of a pool may take, in any order."""
    count = sum(1 for _ in _split_addresses(addresses))
    return count if count == 1 else count + 1


def _split_addresses(addresses: Mapping[str, str]) -> Iterator[dict[str, str]]:
    """Yield the addresses in parts, each of which fits into a row."""
    part: dict[str, str] = {}
    size = 0
    for executor, address in addresses.items():
        added = len(msgspec.json.encode({executor: address}))
        if part and size + added > MAX_ROW_BYTES:
            yield part
            part, size = {}, 0
        part[executor] = address
        size += added
    yield part


def decode_known_executors(
    rows: Iterable[StoredRow],
) -> dict[str, dict[str, str] | None]:
    """Return the addresses of executors by pool and id.

    A pool of which a row cannot be decoded has None.
    """
    rows = list(rows)
    found = dict(decode_rows(rows, KNOWN_EXECUTORS_PREFIX, _addresses_decoder))
    more = decode_rows(rows, MORE_KNOWN_EXECUTORS_PREFIX, _addresses_decoder)
    for key, addresses in more:
        pool = key.partition("/")[2]
        known = found.get(pool, {})
        unreadable = known is None or addresses is None
        found[pool] = None if unreadable else known | addresses
    return found


def wave_writes(wave: Wave, record: WaveRecord, completed: bool) -> list[RowWrite]:
    """Return the rows of a wave: the scheduler's, and the operator's.

    A large wave has more rows, each with the progress of some of its instances.
    """
    key = f"{WAVE_PREFIX}{wave.number}"
    writes = [RowWrite(STATUS_TABLE, key, encode_wave_status(completed))]
    for number, names in enumerate(_split_names(wave.instances)):
        part = WaveRecord(
            record.seen_ms,
            tuple(name for name in record.ordered if name in names),
            tuple(name for name in record.begun if name in names),
            tuple(name for name in record.returned if name in names),
        )
        row = f"{key}/{number}" if number else key
        writes.append(RowWrite(SCHEDULER_TABLE, row, encode_compact(part)))
    return writes


def _split_names(names: Iterable[str]) -> Iterator[set[str]]:
    """Yield the names in parts, each of which fits into a row three times."""
    part: set[str] = set()
    size = 0
    for name in names:
        added = len(msgspec.json.encode(name)) + 1
        if part and size + added > MAX_WAVE_NAMES_BYTES:
            yield part
            part, size = set(), 0
        part.add(name)
        size += added
    yield part


def decode_waves(rows: Iterable[StoredRow]) -> dict[int, WaveRecord | None]:
    """Return the waves in the scheduler's rows by their numbers.

    A wave of which a row cannot be decoded has None.
    """
    waves: dict[int, WaveRecord | None] = {}
    for key, record in decode_rows(rows, WAVE_PREFIX, _wave_decoder):
        text, _, part = key.partition("/")
        if not text.isdecimal() or (part and not part.isdecimal()):
            continue
        number = int(text)
        known = waves.get(number, WaveRecord(0))
        if known is None or record is None:
            waves[number] = None
        else:
            waves[number] = WaveRecord(
                record.seen_ms,
                known.ordered + record.ordered,
                known.begun + record.begun,
                known.returned + record.returned,
            )
    return waves
