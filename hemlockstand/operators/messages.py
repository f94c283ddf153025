"""Requests, errors and JSON encoding of the operator interface."""

from collections.abc import Mapping
from datetime import date
from enum import Enum
from typing import Any

import attrs
from attrs import field, frozen

from hemlockstand.errors import HemlockstandError, InvalidInput
from hemlockstand.sheet.checks import parse_day

AUTHOR_HEADER = "X-Operator"
CHANGE_ID_HEADER = "X-Change-Id"
MAX_TEXT_LENGTH = 200


class NotAvailable(HemlockstandError):
    """The daemon does not run the service that answers the call."""

    code = "not_available"


class Unauthorized(HemlockstandError):
    """The bearer token is missing or wrong."""

    code = "unauthorized"


class UnknownPath(HemlockstandError):
    """There is no operation for the method and path."""

    code = "unknown_path"


@frozen
class OperatorRequest:
    """One call of an operator.

    ``arguments`` come from the query string and, for a JSON body, from its
    fields. ``change_id`` is chosen by the client, so that it can find its
    change in the history after a lost reply.
    """

    author: str
    change_id: str
    arguments: Mapping[str, Any] = field(factory=dict)
    body: bytes = b""

    def get_text(self, name: str) -> str:
        """Return a required text argument.

        Raises ``InvalidInput`` if it is missing, longer than
        ``MAX_TEXT_LENGTH`` or not printable.
        """
        value = self.arguments.get(name)
        if not isinstance(value, str) or not value:
            raise InvalidInput(f"argument {name!r} is missing")
        if len(value) > MAX_TEXT_LENGTH or not value.isprintable():
            raise InvalidInput(
                f"argument {name!r} must have at most {MAX_TEXT_LENGTH} printable "
                "characters"
            )
        return value

    def get_number(self, name: str) -> int | None:
        """Return a whole number of 0 or more, or ``None`` if it is absent.

        Raises ``InvalidInput`` for anything else.
        """
        value = self.arguments.get(name)
        if value is None or value == "":
            return None
        text = str(value)
        if not (text.isascii() and text.isdigit() and len(text) <= 15):
            raise InvalidInput(f"argument {name!r} with value {value!r}: not a number")
        return int(text)

    def get_day(self, name: str) -> date | None:
        """Return a date, or ``None`` if it is absent.

        Raises ``InvalidInput`` for anything else.
        """
        value = self.arguments.get(name)
        if value is None or value == "":
            return None
        try:
            return parse_day(str(value))
        except ValueError as error:
            raise InvalidInput(
                f"argument {name!r} with value {value!r}: {error}"
            ) from None


def to_json(value: Any) -> Any:
    """Return attrs objects, dates, enums and tuples as plain JSON values."""
    if attrs.has(type(value)):
        return {
            attribute.name: to_json(getattr(value, attribute.name))
            for attribute in attrs.fields(type(value))
        }
    match value:
        case Enum():
            return value.value
        case date():
            return value.isoformat()
        case Mapping():
            return {name: to_json(item) for name, item in value.items()}
        case list() | tuple():
            return [to_json(item) for item in value]
        case _:
            return value
