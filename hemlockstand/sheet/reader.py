"""Reads the CSV files that planners export.

Exports differ by program and by locale: a byte-order mark, commas, semicolons
or tabs, quoted cells with line breaks, trailing empty rows and cells, and
columns in any order. All of these yield the same rows::

    rows, problems = read_rows(path.read_bytes(), "monday.csv")
"""

import csv
from collections import Counter
from collections.abc import Iterator, Mapping
from io import StringIO

from attrs import frozen

from hemlockstand.sheet.problems import Problem

SEPARATORS = (",", ";", "\t")
KIND_COLUMN = "kind"

# The size planned for in two years is 570 teams, 239 pools and some ten
# thousand jobs, which make about 2 MB.
MAX_SHEET_BYTES = 16 << 20


@frozen
class SheetRow:
    """A row that is not empty; ``cells`` holds only cells with content."""

    line: int
    kind: str
    cells: Mapping[str, str]


def read_rows(data: bytes, file: str) -> tuple[list[SheetRow], list[Problem]]:
    """Return the rows of a CSV file and the problems of its format."""
    if len(data) > MAX_SHEET_BYTES:
        detail = f"the file has more than {MAX_SHEET_BYTES} bytes"
        return [], [Problem("file_too_large", file, 0, "", "", detail)]
    try:
        text = _decode(data)
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        value = data[error.start : error.start + 4].hex(" ")
        detail = "the file is not UTF-8 text"
        return [], [Problem("bad_encoding", file, line, "", value, detail)]
    problems = list(_find_truncation(text, file))
    if problems:
        return [], problems
    try:
        records = list(_read_records(text))
    except csv.Error as error:
        return [], [Problem("bad_csv", file, 0, "", "", f"not readable: {error}")]
    if not records:
        return [], [Problem("empty_sheet", file, 0, "", "", "the sheet has no rows")]
    (header_line, header), *body = records
    columns = [_normalise_space(cell).lower() for cell in header]
    problems.extend(_check_header(columns, header_line, file))
    if problems:
        return [], problems
    rows: list[SheetRow] = []
    for line, cells in body:
        row, found = _make_row(columns, line, cells, file)
        problems.extend(found)
        if row is not None:
            rows.append(row)
    if not rows and not problems:
        detail = "the sheet has a header but no rows"
        problems.append(Problem("empty_sheet", file, 0, "", "", detail))
    return rows, problems


def _decode(data: bytes) -> str:
    """Decode UTF-8, or UTF-16 if its byte-order mark is present."""
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        return data.decode("utf-16")
    return data.decode("utf-8-sig")


def _find_truncation(text: str, file: str) -> Iterator[Problem]:
    """Find signs of an export that was cut short.

    A number without its last digits is still a valid number, so a last line
    without a line break is refused.
    """
    last_line = text.count("\n") + 1
    if text.count('"') % 2:
        detail = "a quoted cell is never closed; the export may be cut short"
        yield Problem("unclosed_quote", file, last_line, "", "", detail)
    elif text and text[-1] not in "\r\n":
        value = text[-40:].splitlines()[-1]
        detail = "the last line has no line break; the export may be cut short"
        yield Problem("cut_short", file, last_line, "", value, detail)


def _read_records(text: str) -> Iterator[tuple[int, list[str]]]:
    """Yield the records that are not empty with the line they start on."""
    reader = csv.reader(
        StringIO(text, newline=""), delimiter=_find_separator(text), strict=True
    )
    line = 1
    for cells in reader:
        if any(_normalise_space(cell) for cell in cells):
            yield line, cells
        line = reader.line_num + 1


def _find_separator(text: str) -> str:
    """Return the separator that occurs most often in the header.

    Column names contain none of the separators, so the first line that is not
    empty decides, even if later cells contain commas.
    """
    header = next((line for line in text.splitlines() if line.strip()), "")
    return max(SEPARATORS, key=header.count)


def _normalise_space(cell: str) -> str:
    """Reduce white space to single spaces.

    Spreadsheets add no-break spaces, and wrapped cells contain line breaks.
    """
    return " ".join(cell.split())


def _check_header(columns: list[str], line: int, file: str) -> Iterator[Problem]:
    if KIND_COLUMN not in columns:
        detail = f"the header has no column {KIND_COLUMN!r}"
        yield Problem("missing_column", file, line, KIND_COLUMN, "", detail)
    for column, count in Counter(columns).items():
        if column and count > 1:
            detail = f"the column occurs {count} times"
            yield Problem("duplicate_column", file, line, column, "", detail)


def _make_row(
    columns: list[str], line: int, cells: list[str], file: str
) -> tuple[SheetRow | None, list[Problem]]:
    problems: list[Problem] = []
    content: dict[str, str] = {}
    for position, cell in enumerate(cells):
        value = _normalise_space(cell)
        if not value:
            continue
        column = columns[position] if position < len(columns) else ""
        if not column:
            detail = f"cell {position + 1} stands under no column name"
            problems.append(Problem("extra_cell", file, line, "", value, detail))
            continue
        content[column] = value
    kind = content.pop(KIND_COLUMN, "").lower()
    if not kind:
        detail = "the row has no kind"
        problems.append(Problem("missing_value", file, line, KIND_COLUMN, "", detail))
        return None, problems
    return SheetRow(line, kind, content), problems
