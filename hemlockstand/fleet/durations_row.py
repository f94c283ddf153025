"""The row in which a scheduler leaves what it has learned to the next one.

It holds the queues' trust in estimates and the most used groups, as many as
fit, with the distribution of each histogram in parts of 200::

    {"version": 1, "made_ms": 1796461200000,
     "queues": {"quotes": [64, 71.2, 68.9]},
     "groups": [[["near", "quotes"], [640, 0, 125, 75], [640, 13, 188, -22, 12]]]}

A group has its key and its histograms of ratios and of times: the weight in
tenths of a run, the first bin, and the parts of the bins from there on; a negative
number skips so many bins. Ratios to estimates that mean nothing are left out.
A reader drops nothing silently: a document that it cannot trust is left as a
whole, and the scheduler learns anew.
"""

from collections.abc import Iterable

import msgspec
from attrs import field, frozen
from loguru import logger

from hemlockstand.documents import decode_document
from hemlockstand.errors import InvalidInput
from hemlockstand.fleet.durations import Durations
from hemlockstand.fleet.policy.estimates import MAX_WEIGHT, Deviations
from hemlockstand.fleet.policy.expectation import MAX_GROUPS, DurationModel, Group
from hemlockstand.fleet.policy.histogram import MAX_BIN, MIN_BIN, FadingHistogram
from hemlockstand.fleet.policy.observations import GroupKey
from hemlockstand.fleet.storage import SCHEDULER_TABLE
from hemlockstand.platform.rows import RowWrite, StoredRow

log = logger.bind(module=__name__)

DURATIONS_KEY = "durations"
VERSION = 1
MAX_DOCUMENT_BYTES = 32_768
MAX_QUEUES_BYTES = 8_192  # of the part with the queues
WRAPPER_BYTES = 128  # of the names and brackets around the parts
MAX_KEY_PARTS = 5
TENTHS = 10  # steps of a histogram's weight, by run
# Steps of its distribution: a run in the fullest histogram, of 256, is one.
PARTS = 200
DISTANCES = ("near", "far")
# Largest sum of squares of logarithms: runs that all differ by 48 octaves.
MAX_SUM = MAX_WEIGHT * 48**2
# Weight that is left of each group of a document of over ten minutes: its queue
# may behave differently by now.
OLD_SECONDS = 600.0
OLD_KEPT_RUNS = 16.0
# Uses of the first group of a document, in runs: few, so that new groups that
# are used more soon come before it.
INHERITED_USES = 16.0


@frozen
class DurationsDocument:
    """The content of the row; see the module's text."""

    version: int
    made_ms: int = 0
    queues: dict[str, tuple[float, float, float]] = field(factory=dict)
    groups: tuple[tuple[GroupKey, tuple[int, ...], tuple[int, ...]], ...] = ()


_decoder = msgspec.json.Decoder(DurationsDocument)


def durations_write(value: bytes) -> RowWrite:
    """Return the row with an encoded document."""
    return RowWrite(SCHEDULER_TABLE, DURATIONS_KEY, value)


def encode_durations(model: DurationModel, now_ms: int) -> bytes:
    """Return the document with as many groups as fit, the most used first."""
    used = model.list_used()
    queues: dict[str, tuple[float, float, float]] = {}
    room = MAX_QUEUES_BYTES
    for name in dict.fromkeys(key[1] for key, _ in used):
        pooled = model.find_queue(name).trust.pooled
        sums = (pooled.weight, pooled.sum_xx, pooled.sum_xy)
        entry = tuple(round(value, 2) for value in sums)
        room -= len(msgspec.json.encode({name: entry}))
        if room < 0:
            break
        queues[name] = entry
    groups = []
    room += MAX_DOCUMENT_BYTES - MAX_QUEUES_BYTES - WRAPPER_BYTES
    for key, group in used:
        times = _list_bins(group.times)
        if not times:
            continue
        trusted = model.find_queue(key[1]).trust.measure_slope("") > 0
        ratios = _list_bins(group.ratios) if trusted else []
        body = msgspec.json.encode((key, ratios, times))
        room -= len(body) + 1
        if room < 0:
            break
        groups.append(msgspec.Raw(body))
    document = {
        "version": VERSION,
        "made_ms": now_ms,
        "queues": queues,
        "groups": groups,
    }
    return msgspec.json.encode(document)


def _list_bins(histogram: FadingHistogram) -> list[int]:
    bins: list[int] = []
    next_number = 0
    for number, weight in sorted(histogram.counts.items()):
        part = round(weight / histogram.total * PARTS)
        if not part:
            continue
        if not bins:
            bins += [round(histogram.total * TENTHS), number]
        elif number > next_number:
            bins.append(next_number - number)
        bins.append(part)
        next_number = number + 1
    return bins


def load_durations(
    rows: Iterable[StoredRow], durations: Durations, now_ms: int
) -> None:
    """Start from the document in some rows; one that is unusable is logged."""
    row = next((row for row in rows if row.key == DURATIONS_KEY), None)
    if row is None or row.dropped:
        log.info("no expected durations are stored")
        return
    try:
        model, made_ms = decode_durations(row.value or b"", now_ms)
    except (msgspec.DecodeError, InvalidInput) as error:
        log.warning("expected durations cannot be used", detail=str(error))
        return
    durations.replace_model(model)
    log.info(
        "expected durations loaded",
        queues=len(model.queues),
        groups=len(model.groups),
        age_seconds=round((now_ms - made_ms) / 1000, 1),
    )


def decode_durations(value: bytes, now_ms: int) -> tuple[DurationModel, int]:
    """Return the model in a document, and when it was made.

    Raises ``msgspec.DecodeError`` or ``InvalidInput`` for one that is damaged
    or of another version.
    """
    document = decode_document(_decoder, value)
    if document.version != VERSION:
        raise InvalidInput(f"version {document.version} is not {VERSION}")
    if len(document.groups) > MAX_GROUPS:
        raise InvalidInput(f"{len(document.groups)} groups are too many")
    model = DurationModel()
    is_old = now_ms - document.made_ms > OLD_SECONDS * 1000
    for name, (weight, sum_xx, sum_xy) in document.queues.items():
        in_range = 0 <= weight <= MAX_WEIGHT and 0 <= sum_xx <= MAX_SUM
        if not in_range or abs(sum_xy) > MAX_SUM:
            raise InvalidInput(f"sums of queue {name!r} are out of range")
        pooled = Deviations(weight, sum_xx=sum_xx, sum_xy=sum_xy)
        model.find_queue(name).trust.pooled = pooled
    for position, (key, ratios, times) in enumerate(document.groups):
        if not 2 <= len(key) <= MAX_KEY_PARTS or key[0] not in DISTANCES:
            raise InvalidInput(f"group {position} has the key {key}")
        group = Group(_read_bins(ratios), _read_bins(times))
        # The order of the document is that of use.
        group.uses = INHERITED_USES * (1 - position / len(document.groups))
        if is_old:
            group.fade(OLD_KEPT_RUNS)
        model.groups[key] = group
    return model, document.made_ms


def _read_bins(values: tuple[int, ...]) -> FadingHistogram:
    histogram = FadingHistogram()
    if not values:
        return histogram
    if len(values) < 3:
        raise InvalidInput("a histogram has no parts")
    weight, number, *parts = values
    whole = sum(part for part in parts if part > 0)
    if not 0 < weight <= MAX_WEIGHT * TENTHS or not 0 < whole <= 2 * PARTS:
        raise InvalidInput(f"weight {weight} or its {whole} parts are out of range")
    for part in parts:
        if part <= 0:
            number -= part
            continue
        if not MIN_BIN <= number <= MAX_BIN:
            raise InvalidInput(f"bin {number} is out of range")
        histogram.add(number, part / whole * weight / TENTHS)
        number += 1
    return histogram
