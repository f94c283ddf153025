"""Tables of docs/CAPACITY.md from the record of a run."""

import re
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
RECORD = Path(__file__).parent / "records" / "capacity.json"


def format_number(value: float) -> str:
    """Return the value with three significant digits, without an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}" if abs(value) >= 0.001 else f"{value:.1g}"


def _format_error(value: float, error: float) -> str:
    text = format_number(value)
    return f"{text} ± {format_number(error)}" if error > abs(value) / 1000 else text


def _make_table(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [f"| {' | '.join(columns)} |", f"|{'---|' * len(columns)}"]
    lines += [f"| {' | '.join(row)} |" for row in rows]
    return "\n".join(lines)


def make_lines_table(record: Mapping[str, Any], role: str) -> str:
    """Return the table of one role."""
    rows = []
    for line in record["lines"]:
        if line["role"] != role:
            continue
        bold = "**" if line["verdict"] == "FAIL" else ""
        limit = "" if line["limit"] is None else format_number(line["limit"])
        figure = _format_error(line["value"], line["error"])
        verdict = f"{bold}{line['verdict']}{bold}"
        design = f" **Design: {line['design']}.**" if line["design"] else ""
        rows.append(
            (
                line["quantity"],
                line["what"] + design,
                f"{bold}{figure} {line['unit']}{bold}",
                limit,
                verdict,
                f"`{line['mechanism']}`",
            )
        )
    columns = ("quantity", "what", "at the target", "limit", "verdict", "mechanism")
    return _make_table(columns, rows)


def make_series_table(record: Mapping[str, Any]) -> str:
    """Return the table of all measured series."""
    rows = [
        (
            f"`{entry['name']}`",
            entry["size_name"],
            ", ".join(format_number(size) for size in entry["sizes"]),
            ", ".join(format_number(cost) for cost in entry["costs"]),
            entry["unit"],
            _format_error(entry["per_unit"], entry["error"]),
            f"{format_number(entry['value'])} ± {format_number(entry['value_error'])}"
            f" at {format_number(entry['target'])}",
        )
        for entry in record["series"]
    ]
    columns = ("series", "size", "sizes", "costs", "unit", "slope", "extrapolated")
    return _make_table(columns, rows)


def make_daemon_table(record: Mapping[str, Any]) -> str:
    """Return the table of the daemon processes that were measured."""
    rows = [
        (
            entry["fleet"],
            entry["load"],
            format_number(entry["requests_per_second"]),
            format_number(entry["platform_bytes_per_second"]),
            format_number(entry["peer_bytes_per_second"]),
            format_number(entry["cpu_percent"]),
            format_number(entry["rss_mb"]),
            f"**FAIL: {', '.join(entry['failed'])}**" if entry["failed"] else "ok",
        )
        for entry in record["daemons"]
    ]
    columns = (
        "fleet",
        "load",
        "requests/s",
        "platform B/s",
        "peers B/s",
        "% core",
        "resident MB",
        "verdict",
    )
    return _make_table(columns, rows)


def make_failures_table(record: Mapping[str, Any]) -> str:
    """Return the table of all lines that fail their limits."""
    rows = [
        (
            line["role"],
            f"{line['quantity']}: {line['what']}",
            f"**{format_number(line['value'])} {line['unit']}**",
            format_number(line["limit"]),
            line["design"],
        )
        for line in record["lines"]
        if line["verdict"] == "FAIL"
    ]
    columns = ("role", "line", "at the target", "limit", "design that will carry it")
    return _make_table(columns, rows)


def make_target_table(record: Mapping[str, Any]) -> str:
    """Return the table of the sizes that the figures are for."""
    rows = [(name, format_number(value)) for name, value in record["target"].items()]
    return _make_table(("size", "value"), rows)


def make_tables(record: Mapping[str, Any]) -> dict[str, str]:
    """Return every generated table by the name of its markers."""
    tables = {
        "target": make_target_table(record),
        "series": make_series_table(record),
        "daemons": make_daemon_table(record),
        "failures": make_failures_table(record),
    }
    for role in dict.fromkeys(line["role"] for line in record["lines"]):
        tables[role] = make_lines_table(record, role)
    return tables


def read_tables(text: str) -> dict[str, str]:
    """Return the text between the markers of a page, by name."""
    pattern = r"<!-- begin (.+?) -->\n(.*?)\n<!-- end \1 -->"
    return dict(re.findall(pattern, text, re.DOTALL))


def fill_page(text: str, tables: Mapping[str, str]) -> str:
    """Return the page with its tables replaced.

    Raises ``KeyError`` for a marker whose table is missing.
    """

    def replace(match: re.Match) -> str:
        name = match[1]
        return f"<!-- begin {name} -->\n{tables[name]}\n<!-- end {name} -->"

    pattern = r"<!-- begin (.+?) -->\n.*?<!-- end \1 -->"
    return re.sub(pattern, replace, text, flags=re.DOTALL)
