"""The reader gives the same rows for every form of the same export."""

import csv
from io import StringIO

import pytest
from hypothesis import given, settings, strategies as st

from hemlockstand.sheet.reader import MAX_SHEET_BYTES, read_rows

COLUMNS = ("kind", "name", "house", "data_centres", "size")
# Cells as the reader returns them: trimmed, single spaces. The alphabet has
# all separators, quotes and letters outside of ASCII.
CELL = st.text(alphabet='ab1,;\t"éก .-', max_size=8).map(
    lambda text: " ".join(text.split())
)
KIND = st.sampled_from(("team", "pool", "queue", "job"))


def write_csv(columns, rows, separator, line_break, quoting):
    """Return the text of an export of rows that are mappings."""
    stream = StringIO(newline="")
    writer = csv.writer(
        stream, delimiter=separator, lineterminator=line_break, quoting=quoting
    )
    writer.writerow(columns)
    writer.writerows([row.get(column, "") for column in columns] for row in rows)
    return stream.getvalue()


@st.composite
def make_export(draw):
    """Return rows and one of the forms in which they may be exported."""
    rows = draw(
        st.lists(
            st.fixed_dictionaries(
                {"kind": KIND}, optional=dict.fromkeys(COLUMNS[1:], CELL)
            ),
            min_size=1,
            max_size=6,
        )
    )
    columns = draw(st.permutations(COLUMNS))
    separator = draw(st.sampled_from((",", ";", "\t")))
    line_break = draw(st.sampled_from(("\n", "\r\n")))
    quoting = draw(st.sampled_from((csv.QUOTE_MINIMAL, csv.QUOTE_ALL)))
    text = write_csv(columns, rows, separator, line_break, quoting)
    text += draw(st.integers(0, 3)) * (separator * (len(columns) - 1) + line_break)
    encoding = draw(st.sampled_from(("utf-8", "utf-8-sig", "utf-16")))
    return rows, text.encode(encoding)


@settings(derandomize=True, deadline=None)
@given(make_export())
def test_every_form_gives_the_same_rows(export):
    """Guards against a sheet whose meaning depends on the program used."""
    rows, data = export
    read, problems = read_rows(data, "sheet.csv")
    assert problems == []
    found = [{"kind": row.kind, **row.cells} for row in read]
    assert found == [{name: cell for name, cell in row.items() if cell} for row in rows]


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_give_rows_or_problems(data):
    """Guards against a damaged file that makes the reader raise an error."""
    rows, problems = read_rows(data, "sheet.csv")
    assert rows or problems
    assert all(problem.file == "sheet.csv" and problem.code for problem in problems)


def test_line_numbers_count_quoted_line_breaks():
    """Guards against an error that names another row than an editor shows."""
    data = b'kind,name,house\r\nteam,a,"Sakda\r\nFold"\r\n\r\nteam,b,x,y\r\n'
    rows, problems = read_rows(data, "s.csv")
    assert [(row.line, row.cells["name"]) for row in rows] == [(2, "a"), (5, "b")]
    assert rows[0].cells["house"] == "Sakda Fold"
    assert [(one.code, one.row, one.value) for one in problems] == [
        ("extra_cell", 5, "y")
    ]


@pytest.mark.parametrize(
    ("data", "code", "row"),
    [
        (b"", "empty_sheet", 0),
        (b"\n\n;;\n", "empty_sheet", 0),
        (b"kind,name\n", "empty_sheet", 0),
        (b"name,house\na,b\n", "missing_column", 1),
        (b"kind,name,Name\nteam,a,b\n", "duplicate_column", 1),
        (b"kind,name\n,a\n", "missing_value", 2),
        (b"kind,name\nteam,a\nteam,\xff\n", "bad_encoding", 3),
        (b'kind,name\nteam,a\nteam,"b\n', "unclosed_quote", 4),
        (b"kind,size\npool,12\npool,1", "cut_short", 3),
        (b'kind,name\nteam,"a"b"c"\n', "bad_csv", 0),
        (b"kind\n" + b"x" * MAX_SHEET_BYTES, "file_too_large", 0),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_malformed_file_is_refused(data, code, row):
    """Guards against reading rows from a damaged or truncated export."""
    rows, problems = read_rows(data, "s.csv")
    assert [(problem.code, problem.row) for problem in problems] == [(code, row)]
    assert rows == []


def test_truncated_number_is_refused():
    """Guards against a truncated export whose last number is still valid."""
    whole = b"kind,name,size\npool,a,12\n"
    for end in range(len(whole) - 1, len(b"kind,name,size\n"), -1):
        assert read_rows(whole[:end], "s.csv")[1] != [], whole[:end]
