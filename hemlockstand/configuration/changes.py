"""Changes of the configuration: edits, their application and their encoding.

A change is a list of edits that take effect together::

    >>> from hemlockstand.model import Configuration, Team
    >>> team = Team("quotes", house="sakda", share=3.0, request_limit=40)
    >>> change = Change("c-1", "planner", "2026-12-04T06:00:00Z", (PutEntity(team),))
    >>> applied = apply_change(Configuration(), change)
    >>> applied.version, applied.teams["quotes"].request_limit
    (1, 40)
    >>> decode_change(encode_change(change)) == change
    True
"""

from collections.abc import Mapping
from datetime import date
from enum import StrEnum
from secrets import token_hex
from typing import Any

import cattrs
import msgspec
from attrs import evolve, field, frozen

from hemlockstand.documents import decode_document
from hemlockstand.errors import InvalidInput
from hemlockstand.model import Configuration, Job, Key, Pool, Queue, Team

Entity = Team | Pool | Queue | Job | Key


class EntityKind(StrEnum):
    """The kinds of entities; the value is the field of the configuration."""

    TEAM = "teams"
    POOL = "pools"
    QUEUE = "queues"
    JOB = "jobs"
    KEY = "keys"


_CLASS_BY_KIND: dict[EntityKind, type] = {
    EntityKind.TEAM: Team,
    EntityKind.POOL: Pool,
    EntityKind.QUEUE: Queue,
    EntityKind.JOB: Job,
    EntityKind.KEY: Key,
}
_KIND_BY_CLASS = {kind: name for name, kind in _CLASS_BY_KIND.items()}


@frozen
class PutEntity:
    """Add an entity or replace the one of the same kind and name."""

    entity: Entity


@frozen
class DropEntity:
    """Remove an entity; no effect if there is none of that name."""

    kind: EntityKind = field(converter=EntityKind)
    name: str = field()


@frozen
class SetSheetDay:
    """Set the day of the applied sheet."""

    day: date


@frozen
class SetDrain:
    """Take an instance out of service."""

    instance: str
    reason: str


@frozen
class ClearDrain:
    """Put an instance back into service; no effect if it is not drained."""

    instance: str


Edit = PutEntity | DropEntity | SetSheetDay | SetDrain | ClearDrain


@frozen
class Change:
    """Edits that are committed together.

    ``id`` is unique; after a lost reply it shows whether this change or
    another one was committed. ``time`` is a wall-clock time in ISO 8601 and
    is only displayed.
    """

    id: str
    author: str
    time: str
    edits: tuple[Edit, ...]


@frozen
class CommittedChange:
    """A change with the version that it produced."""

    version: int
    change: Change


def new_change_id() -> str:
    """Return a change id that no other change has."""
    return token_hex(12)


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """Return the next version of the configuration."""
    copies = {
        kind: dict(getattr(configuration, kind)) for kind in _list_edited_kinds(change)
    }
    drains = dict(configuration.drains)
    day = configuration.sheet_day
    for edit in change.edits:
        match edit:
            case PutEntity(entity=entity):
                copies[_KIND_BY_CLASS[type(entity)]][entity.name] = entity
            case DropEntity(kind=kind, name=name):
                copies[kind].pop(name, None)
            case SetSheetDay(day=new_day):
                day = new_day
            case SetDrain(instance=instance, reason=reason):
                drains[instance] = reason
            case ClearDrain(instance=instance):
                drains.pop(instance, None)
    return evolve(
        configuration,
        version=configuration.version + 1,
        sheet_day=day,
        drains=drains,
        **{kind.value: entities for kind, entities in copies.items()},
    )


def _list_edited_kinds(change: Change) -> set[EntityKind]:
    """Return the kinds of entities that the change edits.

    Only the maps of these kinds are copied.
    """
    kinds = set()
    for edit in change.edits:
        match edit:
            case PutEntity(entity=entity):
                kinds.add(_KIND_BY_CLASS[type(entity)])
            case DropEntity(kind=kind):
                kinds.add(kind)
    return kinds


def encode_change(change: Change) -> dict[str, Any]:
    """Return the change as JSON-like data."""
    return {
        "id": change.id,
        "author": change.author,
        "time": change.time,
        "edits": [_encode_edit(edit) for edit in change.edits],
    }


def decode_change(data: Mapping[str, Any]) -> Change:
    """Return the change that the data describe.

    Raises ``InvalidInput`` with code ``change_malformed`` if the data are not
    an encoded change.
    """
    try:
        edits = tuple(_decode_edit(edit) for edit in data["edits"])
        return Change(str(data["id"]), str(data["author"]), str(data["time"]), edits)
    except (KeyError, TypeError, ValueError, cattrs.BaseValidationError) as error:
        message = f"change {data!r:.80}: {_describe_error(error)}"
        raise InvalidInput(message, code="change_malformed") from error


def pack_change(change: Change) -> bytes:
    """Return the change as MessagePack bytes for a peer."""
    return msgspec.msgpack.encode(encode_change(change))


def unpack_change(data: bytes) -> Change:
    """Return the change in the bytes; raises ``InvalidInput``."""
    return decode_change(_unpack(data, "change_malformed"))


def pack_configuration(configuration: Configuration) -> bytes:
    """Return a snapshot of the configuration as MessagePack bytes."""
    return msgspec.msgpack.encode(_CONVERTER.unstructure(configuration))


def unpack_configuration(data: bytes) -> Configuration:
    """Return the configuration in a snapshot; raises ``InvalidInput``."""
    content = _unpack(data, "snapshot_malformed")
    try:
        return _CONVERTER.structure(content, Configuration)
    except (KeyError, TypeError, ValueError, cattrs.BaseValidationError) as error:
        message = f"snapshot: {_describe_error(error)}"
        raise InvalidInput(message, code="snapshot_malformed") from error


def _unpack(data: bytes, code: str) -> Mapping[str, Any]:
    try:
        content = decode_document(_DECODER, data)
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidInput(
            f"MessagePack data of {len(data)} bytes: {error}", code=code
        ) from error
    if not isinstance(content, Mapping):
        raise InvalidInput(
            f"MessagePack data of {len(data)} bytes: not a map", code=code
        )
    return content


def _encode_edit(edit: Edit) -> dict[str, Any]:
    match edit:
        case PutEntity(entity=entity):
            value = _CONVERTER.unstructure(entity)
            return {
                "edit": "put",
                "kind": _KIND_BY_CLASS[type(entity)].value,
                "value": value,
            }
        case DropEntity(kind=kind, name=name):
            return {"edit": "drop", "kind": kind.value, "name": name}
        case SetSheetDay(day=day):
            return {"edit": "sheet_day", "day": day.isoformat()}
        case SetDrain(instance=instance, reason=reason):
            return {"edit": "drain", "instance": instance, "reason": reason}
        case ClearDrain(instance=instance):
            return {"edit": "clear_drain", "instance": instance}


def _decode_edit(data: Mapping[str, Any]) -> Edit:
    match data:
        case {"edit": "put", "kind": kind, "value": value}:
            entity_class = _CLASS_BY_KIND[EntityKind(kind)]
            return PutEntity(_CONVERTER.structure(value, entity_class))
        case {"edit": "drop", "kind": kind, "name": str(name)}:
            return DropEntity(EntityKind(kind), name)
        case {"edit": "sheet_day", "day": str(day)}:
            return SetSheetDay(date.fromisoformat(day))
        case {"edit": "drain", "instance": str(instance), "reason": str(reason)}:
            return SetDrain(instance, reason)
        case {"edit": "clear_drain", "instance": str(instance)}:
            return ClearDrain(instance)
    raise ValueError(f"unknown edit {data!r:.80}")


def _describe_error(error: Exception) -> str:
    if isinstance(error, cattrs.BaseValidationError):
        return "; ".join(cattrs.transform_error(error))
    return repr(error)


def _make_converter() -> cattrs.Converter:
    """Return a converter that omits default values, which most jobs have."""
    converter = cattrs.Converter(omit_if_default=True)
    converter.register_unstructure_hook(date, lambda day: day.isoformat())
    converter.register_structure_hook(date, lambda text, _: date.fromisoformat(text))
    return converter


_CONVERTER = _make_converter()
_DECODER = msgspec.msgpack.Decoder()
