"""The run passes over the tests that KNOWN-RED.txt lists, and no others."""

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

* `test/test_a.py::test_one`: `python -m pytest test/test_b.py::test_two`, no seed.
  Fails beside load, unlike test/test_a.py::test_three. Issue 1.
* some_figure: `python -m bench.runner latency`, seed 3. 1.58 (bound 1.5). Issue 2.
* `test/part/test_c.py::test_four`: `python -m pytest`, no seed. Issue 3.
"""


def test_listed_ids_are_read():
    """Guards against an id that is missed or is taken from a command."""
    expected = {"test/test_a.py::test_one", "test/part/test_c.py::test_four"}
    assert read_known_red(LIST) == expected
    assert read_known_red("No test is red.") == set()


def test_only_listed_tests_are_marked(request):
    """Guards against a marker that covers more tests than the list names."""
    names = ["test_listed", "test_cases[1]", "test_listed_too", "test_unlisted"]
    items = [
        pytest.Function.from_parent(
            request.node.parent, name=name, callobj=lambda: None
        )
        for name in names
    ]
    path = request.node.parent.nodeid
    mark_known_red(items, {f"{path}::test_listed", f"{path}::test_cases"})
    markers = [item.get_closest_marker("xfail") for item in items]
    assert [marker is not None for marker in markers] == [True, True, False, False]
    assert markers[0].kwargs == {"reason": "listed in KNOWN-RED.txt", "strict": False}


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
