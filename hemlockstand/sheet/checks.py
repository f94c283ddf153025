"""Checks that turn the rows of a sheet into entities of the configuration.

All problems of a sheet are reported together, and a sheet with any problem
yields no entities at all::

    sheet = check_sheet(data, "monday.csv", day=None, bounds=Bounds())
"""

import re
from collections.abc import Iterator, Mapping, Set as AbstractSet
from datetime import date
from enum import StrEnum
from functools import cache
from types import NoneType
from typing import Any, get_args, get_type_hints

import attrs
from attrs import field, frozen

from hemlockstand.model import Job, Pool, Queue, Team
from hemlockstand.sheet.limits import Bounds, check_values
from hemlockstand.sheet.problems import Problem, SheetError
from hemlockstand.sheet.reader import KIND_COLUMN, SheetRow, read_rows
from hemlockstand.sheet.references import check_references

SHEET_KIND = "sheet"
ENTITY_CLASSES: Mapping[str, type] = {
    "team": Team,
    "pool": Pool,
    "queue": Queue,
    "job": Job,
}

# The column ``kind`` names the kind of row, so a pool's own attribute of that
# name has another column.
POOL_KIND_COLUMN = "pool_kind"
SHEET_COLUMNS = ("day", "rows")
SECRET_COLUMNS = frozenset({"key", "keys", "secret", "token", "salt", "digest"})

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]*(_[A-Za-z0-9.-]+)*")
MAX_NAME_LENGTH = 63

_BOOLEANS = {"yes": True, "true": True, "1": True} | {
    "no": False,
    "false": False,
    "0": False,
}


@frozen
class Sheet:
    """A checked sheet with all entities that are in force on its day."""

    file: str
    day: date
    teams: Mapping[str, Team] = field(factory=dict)
    pools: Mapping[str, Pool] = field(factory=dict)
    queues: Mapping[str, Queue] = field(factory=dict)
    jobs: Mapping[str, Job] = field(factory=dict)


@frozen
class ParsedEntity:
    """An entity with the row it came from."""

    row: SheetRow
    entity: Any


def check_sheet(
    data: bytes, file: str, day: date | None = None, bounds: Bounds | None = None
) -> Sheet:
    """Read and check a sheet.

    ``day`` is the day given on the command line, for sheets without a row of
    kind ``sheet``. Raises ``SheetError`` with all problems.
    """
    rows, problems = read_rows(data, file)
    if problems:
        raise SheetError(problems)
    checker = _Checker(file, problems)
    checker.check_columns(rows)
    sheet_day = checker.find_day(rows, day)
    parsed = {kind: checker.read_kind(kind, rows) for kind in ENTITY_CLASSES}
    problems.extend(check_values(parsed, file, bounds or Bounds()))
    problems.extend(check_references(parsed, file, checker.failed_names))
    if problems:
        raise SheetError(sorted(problems, key=lambda problem: problem.row))
    entities = {
        kind: {name: entry.entity for name, entry in entries.items()}
        for kind, entries in parsed.items()
    }
    return Sheet(
        file,
        sheet_day,
        entities["team"],
        entities["pool"],
        entities["queue"],
        entities["job"],
    )


@cache
def get_columns(kind: str) -> dict[str, attrs.Attribute]:
    """Return the columns of an entity kind with their attributes."""
    return {
        POOL_KIND_COLUMN if attribute.name == KIND_COLUMN else attribute.name: attribute
        for attribute in attrs.fields(ENTITY_CLASSES[kind])
    }


class _Checker:
    """Collects the problems of one file."""

    def __init__(self, file: str, problems: list[Problem]) -> None:
        self.file = file
        self.problems = problems
        self.failed_names: set[tuple[str, str]] = set()

    def report(self, code: str, row: int, column: str, value: str, detail: str) -> None:
        self.problems.append(Problem(code, self.file, row, column, value, detail))

    def check_columns(self, rows: list[SheetRow]) -> None:
        """Check the kinds, and that each cell's column belongs to the kind."""
        all_columns = set(SHEET_COLUMNS)
        for kind in ENTITY_CLASSES:
            all_columns.update(get_columns(kind))
        for row in rows:
            if row.kind == SHEET_KIND:
                own: AbstractSet[str] = frozenset(SHEET_COLUMNS)
            elif row.kind in ENTITY_CLASSES:
                own = get_columns(row.kind).keys()
            else:
                detail = f"must be one of {', '.join((SHEET_KIND, *ENTITY_CLASSES))}"
                self.report("unknown_kind", row.line, KIND_COLUMN, row.kind, detail)
                continue
            for column, value in row.cells.items():
                if column not in own:
                    self._report_column(row, column, value, column in all_columns)

    def _report_column(
        self, row: SheetRow, column: str, value: str, known: bool
    ) -> None:
        if column in SECRET_COLUMNS:
            detail = "keys never stand in a sheet; use hemlockctl key grant"
            self.report("key_in_sheet", row.line, column, "", detail)
        elif known:
            detail = f"a row of kind {row.kind!r} has no such column"
            self.report("column_not_for_kind", row.line, column, value, detail)
        else:
            detail = "the column is unknown"
            self.report("unknown_column", row.line, column, value, detail)

    def find_day(self, rows: list[SheetRow], flag: date | None) -> date:
        """Return the sheet's day from its row or from the flag."""
        found = [row for row in rows if row.kind == SHEET_KIND]
        for row in found[1:]:
            detail = f"line {found[0].line} is of kind {SHEET_KIND!r} already"
            self.report("duplicate_sheet_row", row.line, KIND_COLUMN, "", detail)
        if not found and flag is None:
            detail = f"no row of kind {SHEET_KIND!r} and no --day"
            self.report("day_missing", 0, "day", "", detail)
        if not found:
            return flag or date.min
        row = found[0]
        self._check_row_count(row, rows)
        if "day" not in row.cells and flag is None:
            self.report("day_missing", row.line, "day", "", "a value is needed")
        text = row.cells.get("day")
        if text is None:
            return flag or date.min
        try:
            day = parse_day(text)
        except ValueError as error:
            self.report("bad_day", row.line, "day", text, str(error))
            return date.min
        if flag is not None and flag != day:
            detail = f"differs from --day {flag.isoformat()}"
            self.report("day_conflict", row.line, "day", text, detail)
        return day

    def _check_row_count(self, row: SheetRow, rows: list[SheetRow]) -> None:
        """Check the optional row count, which reveals a truncated export."""
        text = row.cells.get("rows")
        count = len(rows) - 1
        if text is not None and text != str(count):
            detail = f"the sheet has {count} rows besides this one"
            self.report("row_count", row.line, "rows", text, detail)

    def read_kind(self, kind: str, rows: list[SheetRow]) -> dict[str, ParsedEntity]:
        """Return the entities of a kind by name."""
        parsed: dict[str, ParsedEntity] = {}
        lines: dict[str, int] = {}
        for row in rows:
            if row.kind != kind:
                continue
            name = row.cells.get("name", "")
            if name in lines and name:
                detail = f"line {lines[name]} has the same {kind}"
                self.report("duplicate_name", row.line, "name", name, detail)
                continue
            lines[name] = row.line
            entity = self._read_entity(kind, row)
            if entity is None:
                self.failed_names.add((kind, name))
            else:
                parsed[name] = ParsedEntity(row, entity)
        return parsed

    def _read_entity(self, kind: str, row: SheetRow) -> Any | None:
        hints = _get_hints(kind)
        values: dict[str, Any] = {}
        complete = True
        for column, attribute in get_columns(kind).items():
            text = row.cells.get(column)
            if text is None:
                if attribute.default is attrs.NOTHING:
                    self.report("missing_value", row.line, column, "", "is needed")
                    complete = False
                continue
            try:
                values[attribute.name] = _convert(text, hints[attribute.name])
                if column == "name":
                    _check_name(text)
            except ValueError as error:
                self.report("bad_value", row.line, column, text, str(error))
                complete = False
        return ENTITY_CLASSES[kind](**values) if complete else None


@cache
def _get_hints(kind: str) -> dict[str, Any]:
    return get_type_hints(ENTITY_CLASSES[kind])


def _check_name(text: str) -> None:
    if len(text) > MAX_NAME_LENGTH or not NAME_PATTERN.fullmatch(text):
        raise ValueError(
            f"must have at most {MAX_NAME_LENGTH} letters, digits, '.', '-' or "
            "'_', and begin with a letter or digit"
        )


def _convert(text: str, hint: Any) -> Any:
    """Convert a cell to the type of an attribute; raises ``ValueError``."""
    optional = [kind for kind in get_args(hint) if kind is not NoneType]
    if NoneType in get_args(hint):
        return _convert(text, optional[0])
    if hint == tuple[str, ...]:
        return tuple(_split_list(text))
    if hint is bool:
        if text.lower() not in _BOOLEANS:
            raise ValueError("must be yes or no")
        return _BOOLEANS[text.lower()]
    if hint is date:
        return parse_day(text)
    if hint is int or hint is float:
        return _convert_number(text, hint)
    if issubclass(hint, StrEnum):
        if text.lower() not in list(hint):
            raise ValueError(f"must be one of {', '.join(hint)}")
        return hint(text.lower())
    return text


def parse_day(text: str) -> date:
    """Return the day; raises ``ValueError``.

    Python also parses ``20261204`` and ``2026-W49-5``, which a spreadsheet
    exports only by mistake.
    """
    if not re.fullmatch(r"\d{4}-\d\d-\d\d", text, re.ASCII):
        raise ValueError("must be a day such as 2026-12-04")
    try:
        return date.fromisoformat(text)
    except ValueError:
        raise ValueError("must be a day such as 2026-12-04") from None


def _convert_number(text: str, kind: type) -> float:
    wanted = "a whole number" if kind is int else "a number with a decimal point"
    pattern = r"[+-]?\d+" if kind is int else r"[+-]?\d+(\.\d+)?"
    if not re.fullmatch(pattern, text, re.ASCII) or len(text) > 30:
        raise ValueError(f"must be {wanted}")
    return kind(text)


def _split_list(text: str) -> Iterator[str]:
    seen: set[str] = set()
    for part in text.split():
        if part in seen:
            raise ValueError(f"names {part!r} twice")
        seen.add(part)
        yield part
