"""Views of the scheduler for operators: JSON objects, by name.

A view is a function of the leader and of the query, registered by its name.
``GET /fleet/NAME`` and ``hemlockctl fleet NAME`` show it. It must not block and
should return at most ``query.limit`` entries of each kind::

    @register_view("executors")
    def show_executors(leader: Leader, query: ViewQuery) -> dict[str, Any]:
        names = sorted(leader.state.executors)
        return {"executors": names[: query.limit]}
"""

from collections.abc import Callable, Iterable
from typing import Any

from attrs import evolve, frozen

from hemlockstand.errors import InvalidInput
from hemlockstand.fleet.leader import Leader
from hemlockstand.platform.decoding import quote_value

DEFAULT_LIMIT = 20  # entries of each kind
# A view is made between placement rounds, which it holds up.
MAX_LIMIT = 200
MAX_LIMIT_DIGITS = 3


@frozen
class ViewQuery:
    """What an operator asked for."""

    limit: int = DEFAULT_LIMIT


View = Callable[[Leader, ViewQuery], dict[str, Any]]
VIEWS: dict[str, View] = {}


def register_view(name: str) -> Callable[[View], View]:
    """Return a decorator that registers a view; its name must be new."""

    def register(view: View) -> View:
        if name in VIEWS:
            raise ValueError(f"view {name!r} is registered twice")
        VIEWS[name] = view
        return view

    return register


def read_query(arguments: Iterable[tuple[str, str]]) -> ViewQuery:
    """Return the query in a URL's arguments; raises ``InvalidInput``."""
    query = ViewQuery()
    seen: set[str] = set()
    for name, value in arguments:
        if name in seen:
            raise InvalidInput(f"{quote_value(name)[1:-1]}: is given twice")
        seen.add(name)
        match name:
            case "limit":
                query = evolve(query, limit=_read_limit(value))
            case _:
                raise InvalidInput(f"{quote_value(name)[1:-1]}: is not a field")
    return query


def _read_limit(text: str) -> int:
    digits = len(text) <= MAX_LIMIT_DIGITS and text.isascii() and text.isdigit()
    if not digits or not 1 <= int(text) <= MAX_LIMIT:
        raise InvalidInput(
            f"limit: {quote_value(text)} is not a whole number from 1 to {MAX_LIMIT}"
        )
    return int(text)


def find_view(name: str) -> View:
    """Return a view; raises ``InvalidInput`` if there is none of the name."""
    if name not in VIEWS:
        raise InvalidInput(
            f"view: {quote_value(name)} is unknown; known: {', '.join(sorted(VIEWS))}",
            code="not_found",
        )
    return VIEWS[name]
