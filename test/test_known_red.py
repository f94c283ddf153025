"""The run passes over the failures that KNOWN-RED.txt lists, and no others."""

import httpx
import pytest

from test.conftest import (
    KNOWN_RED,
    KNOWN_RED_PATH,
    find_stale,
    mark_known_red,
    read_known_red,
    strip_parameters,
)

LIST = """One test is red:

* `test/test_a.py::test_one` fails with `httpx.ReadError`: `python -m pytest
  test/test_b.py::test_two`, no seed. Fails beside load, unlike
  test/test_a.py::test_three. Issue 1.
* some_figure: `python -m bench.runner latency`, seed 3. 1.58 (bound 1.5). Issue 2.
* `test/part/test_c.py::test_four` fails with
  `builtins.OSError`: `python -m pytest`, no seed. Issue 3.
"""
LISTED = httpx.ReadError("listed")
OTHER = AssertionError("other")


def test_listed_ids_are_read():
    """Guards against an id that is missed or is taken from a command."""
    expected = {
        "test/test_a.py::test_one": httpx.ReadError,
        "test/part/test_c.py::test_four": OSError,
    }
    assert read_known_red(LIST) == expected
    assert read_known_red("No test is red.") == {}


@pytest.mark.parametrize(
    "rest",
    [
        ": `python -m pytest`, no seed.",
        " fails: `httpx.ReadError`.",
        " fails with ``.",
        " fails with `ReadError`.",
        " fails with `httpx.NoSuchError`.",
        " fails with `no_such_module.Error`.",
        " fails with `httpx.get`.",
        " fails with `httpx.Client`.",
        " fails with `python -m pytest`.",
    ],
)
def test_entries_without_an_error_end_the_run(rest):
    """Guards against an entry that covers any failure of its test."""
    with pytest.raises(pytest.UsageError, match="must list test/test_a.py::test_one"):
        read_known_red(f"* `test/test_a.py::test_one`{rest}")


def make_items(parent, names):
    """Return test items with these names that stand in no file."""
    return [
        pytest.Function.from_parent(parent, name=name, callobj=lambda: None)
        for name in names
    ]


def test_only_listed_tests_are_marked(request):
    """Guards against a marker that covers more tests than the list names."""
    names = ["test_listed", "test_cases[1]", "test_listed_too", "test_unlisted"]
    items = make_items(request.node.parent, names)
    path = request.node.parent.nodeid
    known_red = {f"{path}::test_listed": OSError, f"{path}::test_cases": KeyError}
    mark_known_red(items, known_red)
    markers = [item.get_closest_marker("xfail") for item in items]
    assert [marker is not None for marker in markers] == [True, True, False, False]
    for marker, error in zip(markers[:2], [OSError, KeyError], strict=True):
        kwargs = dict(marker.kwargs)
        raises = kwargs.pop("raises")
        assert kwargs == {"reason": "listed in KNOWN-RED.txt", "strict": False}
        assert raises.matches(error())
        assert not raises.matches(AssertionError())


@pytest.mark.parametrize(
    ("error", "expected"),
    [
        (LISTED, True),
        (ExceptionGroup("", [LISTED]), True),
        (ExceptionGroup("", [ExceptionGroup("", [LISTED])]), True),
        (OTHER, False),
        (httpx.WriteError("other"), False),
        (ExceptionGroup("", [OTHER]), False),
        (ExceptionGroup("", [LISTED, OTHER]), False),
        (ExceptionGroup("", [OTHER, ExceptionGroup("", [LISTED])]), False),
        (ExceptionGroup("", [ExceptionGroup("", [LISTED, OTHER])]), False),
    ],
)
def test_only_the_listed_error_is_passed_over(request, error, expected):
    """Guards against a marker that hides another failure of a listed test."""
    (item,) = make_items(request.node.parent, ["test_listed"])
    mark_known_red([item], {item.nodeid: httpx.ReadError})
    raises = item.get_closest_marker("xfail").kwargs["raises"]
    assert raises.matches(error) is expected


def test_this_run_marks_only_listed_tests(request):
    """Guards against an expected failure that does not stand in the list."""
    for item in request.session.items:
        marked = item.get_closest_marker("xfail") is not None
        assert marked == (strip_parameters(item.nodeid) in KNOWN_RED), item.nodeid


def test_stale_ids_are_found():
    """Guards against an id that stays listed after its test is gone."""
    known_red = {"test/test_a.py::test_one", "test/test_a.py::test_two"}
    known_red.add("test/test_ab.py::test_three")
    collected = {"test/test_a.py::test_one"}
    stale = find_stale(known_red, "test/test_a.py", collected)
    assert stale == ["test/test_a.py::test_two"]


def test_listed_files_exist():
    """Guards against an id that stays listed after its file is gone."""
    for test_id in KNOWN_RED:
        assert (KNOWN_RED_PATH.parent / test_id.partition("::")[0]).is_file(), test_id
