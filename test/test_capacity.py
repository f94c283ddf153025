"""The capacity page agrees with the record of its run."""

import json

import pytest

from bench.capacity_lines import Line, Quantity, Role
from bench.capacity_page import PAGE, RECORD, fill_page, make_tables, read_tables
from bench.capacity_series import TARGET, make_series


def load_record():
    """Return the record that the page quotes."""
    return json.loads(RECORD.read_text(encoding="utf-8"))


def test_tables_of_the_page_agree_with_the_record():
    """Guards against a page whose figures come from another run."""
    tables = make_tables(load_record())
    assert read_tables(PAGE.read_text(encoding="utf-8")) == tables


def test_changed_figure_is_noticed():
    """Guards against a comparison that passes whatever the page says."""
    record = load_record()
    record["lines"][0]["value"] += 1
    assert read_tables(PAGE.read_text(encoding="utf-8")) != make_tables(record)


def test_record_is_consistent():
    """Guards against verdicts or extrapolations that contradict the points."""
    record = load_record()
    assert len(record["series"]) > 20
    for entry in record["series"]:
        assert len(entry["sizes"]) >= 4, entry["name"]
        points = list(zip(entry["sizes"], entry["costs"], strict=True))
        recomputed = make_series(
            entry["name"], "", "", entry["unit"], entry["target"], points
        )
        assert recomputed.value == pytest.approx(entry["value"], rel=1e-6, abs=1e-6)
    for line in record["lines"]:
        if line["limit"] is None:
            assert line["verdict"] == ""
        else:
            within = line["value"] <= line["limit"]
            assert line["verdict"] == ("ok" if within else "FAIL")
    assert record["target"]["workers"] == TARGET.workers


def test_failed_line_names_a_design():
    """Guards against a failed line without a design to meet its limit."""
    failed = [line for line in load_record()["lines"] if line["verdict"] == "FAIL"]
    assert [line["what"] for line in failed if not line["design"]] == []


def test_every_role_is_on_the_page():
    """Guards against a role that the tables leave out."""
    roles = {line["role"] for line in load_record()["lines"]}
    assert roles == {role.value for role in Role}


def test_line_at_its_limit_holds():
    """Guards against a line that fails although its value equals the limit."""
    line = Line(Role.PEER, Quantity.CPU, "w", 2.7, 0.0, "% core", "m", 2.7)
    assert line.verdict == "ok"


def test_filled_page_keeps_its_text():
    """Guards against prose that is lost when the tables are replaced."""
    text = "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n"
    assert fill_page(text, {"x": "new"}) == text.replace("old", "new")
