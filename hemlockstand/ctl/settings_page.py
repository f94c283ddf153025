"""Writes ``docs/settings.md`` from the settings classes and the defaults.

``make docs`` runs it; a test compares the committed page with its output.
"""

import sys
from collections.abc import Iterator
from configparser import ConfigParser
from pathlib import Path
from typing import Any, get_type_hints

import attrs

from hemlockstand.fleet import settings as fleet
from hemlockstand.settings import (
    DEFAULTS_FILE,
    Settings,
    list_sections,
    name_variable,
)

TYPE_NAMES = {
    bool: "yes or no",
    int: "whole number",
    float: "number",
    float | None: "empty or number",
    str: "text",
}

INTRODUCTION = """# Settings

`make docs` generates this page from `hemlockstand/settings.py` and
`hemlockstand/defaults.ini`; edit those instead.

`hemlockd --settings FILE.ini` reads an INI file that overrides the shipped defaults.
Keys without a default must be in the file. All problems are reported together, with
file, section, key and value, before anything starts; the exit code is then 2.

A key with "optional" in the last column need not be given. If it is empty, it counts as
not given, since a template is filled in with nothing where a deployment lacks a field.
Then the environment variable in that column is read, and if that is absent or empty
too, what the column describes stands in. At the start the daemon logs each of these
values and where it came from. A value that is given but wrong is refused.
"""

FLEET_INTRODUCTION = """# Settings with --fleet

`hemlockd --fleet --settings FILE.ini` schedules jobs on the fleet platform. Its
sections are in `hemlockstand/fleet/settings.py`, the defaults in
`hemlockstand/fleet/defaults.ini`. The platform fills in `deploy/settings.ini` at each
start. That template asks only for fields that every deployment gives; the variables of
optional keys are in `deploy/system.toml`.
"""


def write_page() -> str:
    """Return the text of the page."""
    parts = [
        INTRODUCTION,
        *_write_sections(Settings, DEFAULTS_FILE),
        FLEET_INTRODUCTION,
        *_write_sections(fleet.FleetSettings, fleet.DEFAULTS_FILE),
    ]
    return "\n".join(parts)


def _write_sections(settings: type, defaults_file: Path) -> Iterator[str]:
    defaults = ConfigParser(interpolation=None)
    defaults.read_string(defaults_file.read_text(encoding="utf-8"))
    for section, kind in list_sections(settings).items():
        yield "\n".join(_write_section(section, kind, defaults))


def _write_section(section: str, kind: type, defaults: ConfigParser) -> Iterator[str]:
    yield f"## [{section}]"
    yield ""
    yield (kind.__doc__ or "").strip()
    yield ""
    yield "| key | meaning | values | default |"
    yield "|---|---|---|---|"
    hints = get_type_hints(kind)
    for attribute in attrs.fields(kind):
        default = defaults.get(section, attribute.name, fallback=None)
        cells = (
            f"`{attribute.name}`",
            attribute.metadata["doc"],
            _describe_values(attribute, hints[attribute.name]),
            _describe_default(default, section, attribute),
        )
        yield f"| {' | '.join(cell.replace('|', '/') for cell in cells)} |"
    yield ""


def _describe_values(attribute: attrs.Attribute, hint: Any) -> str:
    choices = attribute.metadata["choices"]
    if choices:
        return ", ".join(f"`{choice}`" for choice in choices)
    name = TYPE_NAMES.get(hint, "names separated by commas")
    minimum = attribute.metadata["minimum"]
    if minimum is not None:
        name += f", {minimum} to {attribute.metadata['maximum']}"
    if attribute.metadata["secret"]:
        name += ", 16 characters or more, never shown"
        name += "; may be empty" if attribute.metadata["may_be_empty"] else ""
    return name


def _describe_default(
    default: str | None, section: str, attribute: attrs.Attribute
) -> str:
    if default is None:
        return "none, required"
    stand_in = attribute.metadata["stand_in"]
    if stand_in is not None:
        variable = name_variable(section, attribute.name)
        shipped = f"`{default}`; if empty, " if default else ""
        return f"{shipped}optional: `{variable}`, else {stand_in.doc}"
    return f"`{default}`" if default else "empty"


def main() -> None:
    """Write the page to the path in the first argument."""
    Path(sys.argv[1]).write_text(write_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
