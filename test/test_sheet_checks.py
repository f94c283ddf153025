"""Each bad sheet is refused with its file, row, column, value and code."""

from datetime import date

import pytest
from hypothesis import given, settings, strategies as st

from hemlockstand.model import PoolKind, Priority
from hemlockstand.sheet.checks import ENTITY_CLASSES, check_sheet, get_columns
from hemlockstand.sheet.limits import Bounds
from hemlockstand.sheet.problems import SheetError
from test.operator_fakes import SHEET

COLUMNS = tuple(
    dict.fromkeys(name for kind in ENTITY_CLASSES for name in get_columns(kind))
) + ("day", "rows")
DAY = date(2026, 12, 4)


def find_problems(text, day=None, bounds=None):
    with pytest.raises(SheetError) as caught:
        check_sheet(text.encode(), "s.csv", day, bounds)
    return [
        (problem.code, problem.row, problem.column, problem.value)
        for problem in caught.value.problems
    ]


def test_correct_sheet_gives_entities():
    """Guards against values that are lost between the sheet and the model."""
    sheet = check_sheet(SHEET.encode(), "s.csv")
    assert sheet.day == DAY
    assert sheet.teams["quotes"].share == 3
    assert sheet.pools["hinge"].kind is PoolKind.EXECUTORS
    assert sheet.pools["hinge"].data_centres == ("dc1", "dc2")
    assert sheet.queues["order"].idempotent is False
    assert sheet.queues["order"].spare_pool is None
    assert sheet.jobs["reconcile"].priority is Priority.BATCH
    assert sheet.jobs["reconcile"].last_day == date(2027, 1, 31)


# Each entry changes one text of the correct sheet and names the one problem
# that has to be found.
BAD_VALUES = [
    ("team,ledger,", "team,quotes,", "duplicate_name", 4, "name", "quotes"),
    ("team,ledger", "gang,ledger", "unknown_kind", 4, "kind", "gang"),
    ("team,quotes", "team,quo tes", "bad_value", 3, "name", "quo tes"),
    ("team,quotes", "team,../x", "bad_value", 3, "name", "../x"),
    ("sakda,3,40", "sakda,,40", "missing_value", 3, "share", ""),
    ("sakda,3,40", "sakda,0,40", "bad_share", 3, "share", "0"),
    ("sakda,3,40", "sakda,-3,40", "bad_share", 3, "share", "-3"),
    ("sakda,3,40", "sakda,nan,40", "bad_value", 3, "share", "nan"),
    ("sakda,3,40", "sakda,1e9,40", "bad_value", 3, "share", "1e9"),
    ("sakda,3,40", "sakda,0.00001,40", "bad_share", 3, "share", "0.00001"),
    ("sakda,3,40", "sakda,3,0", "impossible_size", 3, "request_limit", "0"),
    ("sakda,3,40", "sakda,3,4.5", "bad_value", 3, "request_limit", "4.5"),
    ("dc1 dc2,8,1", "dc1 dc2,8,8", "bad_budget", 5, "budget", "8"),
    ("dc1 dc2,8,1", "dc1 dc2,8,-1", "bad_budget", 5, "budget", "-1"),
    ("dc1 dc2,8,1", "dc1 dc2,99999,1", "impossible_size", 5, "size", "99999"),
    ("dc1 dc2,8,1", "dc1 dc1,8,1", "bad_value", 5, "data_centres", "dc1 dc1"),
    ("executors", "robots", "bad_value", 5, "pool_kind", "robots"),
    ("yes,interactive,5", "maybe,interactive,5", "bad_value", 7, "idempotent", "maybe"),
    ("yes,interactive,5", "yes,now,5", "bad_value", 7, "priority", "now"),
    (
        "yes,interactive,5",
        "yes,interactive,0",
        "impossible_size",
        7,
        "deadline_seconds",
        "0",
    ),
    ("5,hinge", "5,hunge", "dangling_reference", 7, "pool", "hunge"),
    ("5,hinge", "5,night", "wrong_pool_kind", 7, "pool", "night"),
    (",,ledger,,,batch", ",,nobody,,,batch", "dangling_reference", 9, "team", "nobody"),
    ("daily 02:30", "daily 25:30", "bad_schedule", 9, "schedule", "daily 25:30"),
    ("daily 02:30", "every 0m", "bad_schedule", 9, "schedule", "every 0m"),
    ("2027-01-31", "31.01.2027", "bad_value", 9, "last_day", "31.01.2027"),
    ("2027-01-31", "2027-02-30", "bad_value", 9, "last_day", "2027-02-30"),
    ("2,4096,30", "0,4096,30", "impossible_size", 9, "cores", "0"),
    ("2,4096,30", "2,99999999,30", "impossible_size", 9, "memory_mb", "99999999"),
    ("2,4096,30", "2,4096,0", "impossible_size", 9, "run_minutes", "0"),
    ("2,4096,30", "2,4096,30,7", "column_not_for_kind", 9, "day", "7"),
    ("2026-12-04", "4.12.", "bad_day", 2, "day", "4.12."),
    ("2026-12-04", "20261204", "bad_day", 2, "day", "20261204"),
    ("memory_mb", "memory", "unknown_column", 9, "memory", "4096"),
]


@pytest.mark.parametrize(("old", "new", "code", "row", "column", "value"), BAD_VALUES)
def test_bad_value_is_located(old, new, code, row, column, value):
    """Guards against a bad cell that is applied or reported elsewhere."""
    assert SHEET.count(old) >= 1
    problems = find_problems(SHEET.replace(old, new, 1))
    assert (code, row, column, value) in problems
    # A renamed column is also reported as missing, and references to a renamed
    # team as dangling.
    related = {"missing_value", "dangling_reference"}
    assert all(one[0] in related for one in problems if one[0] != code)


def test_all_problems_are_listed_together():
    """Guards against a planner who has to upload once per mistake."""
    text = SHEET
    for old, new in (
        ("sakda,3,40", "sakda,x,40"),
        ("dc1 dc2,8,1", "dc1 dc2,8,9"),
        ("daily 02:30", "sometimes"),
    ):
        text = text.replace(old, new)
    assert [one[:3] for one in find_problems(text)] == [
        ("bad_value", 3, "share"),
        ("bad_budget", 5, "budget"),
        ("bad_schedule", 9, "schedule"),
    ]


def test_fractions_must_add_up_to_one():
    """Guards against shares that were meant as fractions but sum to 1.2."""
    text = SHEET.replace("sakda,3,40", "sakda,0.6,40")
    text = text.replace("sakda,1,20", "sakda,{},20")
    check_sheet(text.format("0.4").encode(), "s.csv")
    check_sheet(text.format("0.395").encode(), "s.csv")
    assert find_problems(text.format("0.6")) == [("bad_share_sum", 0, "share", "1.2")]


CELLS = st.sampled_from(
    ("", "0", "1", "-1", "0.5", "9" * 30, "a", "b", "x y", "yes", "open", "batch")
    + ("workers", "executors", "2026-12-04", "9999-12-31", "every 1s", "on demand")
    + ("every 99999999999999999d", "daily 24:00", "²", "١", "\u200b", "=1+1", "NaN")
)
ROWS = st.lists(
    st.tuples(
        st.sampled_from(("sheet", "team", "pool", "queue", "job", "key")),
        st.dictionaries(st.sampled_from(COLUMNS), CELLS, max_size=len(COLUMNS)),
    ),
    max_size=8,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(ROWS)
def test_any_cells_give_a_sheet_or_problems(rows):
    """Guards against a value that makes the check raise another error."""
    lines = [";".join(("kind", *COLUMNS))]
    for kind, cells in rows:
        lines.append(";".join((kind, *(cells.get(name, "") for name in COLUMNS))))
    data = ("\n".join(lines) + "\n").encode()
    try:
        sheet = check_sheet(data, "s.csv", bounds=Bounds(data_centres=frozenset("a")))
    except SheetError as error:
        assert error.problems
        assert all(problem.file == "s.csv" for problem in error.problems)
    else:
        assert all(queue.pool in sheet.pools for queue in sheet.queues.values())
        assert all(job.team in sheet.teams for job in sheet.jobs.values())


def test_huge_period_is_a_problem():
    """Guards against an overflow in the schedule that hides other problems."""
    text = SHEET.replace("daily 02:30", "every 99999999999999999d")
    assert [one[0] for one in find_problems(text)] == ["bad_schedule"]


def test_data_centre_outside_of_settings():
    """Guards against a pool or a deadline that no daemon can serve."""
    bounds = Bounds(data_centres=frozenset({"dc1"}), max_deadline_seconds=4)
    assert find_problems(SHEET, bounds=bounds) == [
        ("dangling_reference", 5, "data_centres", "dc1 dc2"),
        ("impossible_size", 7, "deadline_seconds", "5"),
        ("impossible_size", 8, "deadline_seconds", "5"),
    ]


def test_secret_in_sheet_is_refused_and_not_shown():
    """Guards against a key that reaches a log through a sheet."""
    text = "kind,name,secret,day\nsheet,,,2026-12-04\nteam,a,hsk_a_1234,\n"
    with pytest.raises(SheetError) as caught:
        check_sheet(text.encode(), "s.csv")
    assert "key_in_sheet" in str(caught.value)
    assert "hsk_a_1234" not in str(caught.value)


def test_day_of_row_and_flag():
    """Guards against yesterday's sheet that is applied as today's."""
    without = SHEET.replace("sheet,,,,,,,,,,,,,,,,,,,,2026-12-04\n", "")
    assert check_sheet(without.encode(), "s.csv", DAY).day == DAY
    assert find_problems(without) == [("day_missing", 0, "day", "")]
    other = date(2026, 12, 5)
    assert find_problems(SHEET, other) == [("day_conflict", 2, "day", "2026-12-04")]
    row = "sheet,,,,,,,,,,,,,,,,,,,,2026-12-04\n"
    assert ("duplicate_sheet_row", 3, "kind", "") in find_problems(
        SHEET.replace(row, row + row)
    )


def test_export_cut_between_rows_shows_in_row_count():
    """Guards against a cut at a line break, which leaves a valid file."""
    text = SHEET.replace(",day\n", ",day,rows\n", 1)
    text = text.replace(",2026-12-04\n", ",2026-12-04,7\n", 1)
    assert check_sheet(text.encode(), "s.csv").day == DAY
    lines = text.splitlines(keepends=True)
    assert ("row_count", 2, "rows", "7") in find_problems("".join(lines[:-1]))
