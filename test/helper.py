"""Helpers that the tests share."""

from pathlib import Path

MINIMAL_SETTINGS = """
[daemon]
name = entry-1
region = central
data_centre = dc1
data_centres = dc1, dc2
[platform]
url = http://127.0.0.1:9000
[peers]
secret = 0123456789abcdef
[operators]
token = 0123456789abcdef
"""


def write_settings(directory: Path, extra: str = "") -> Path:
    """Write a valid settings file, with ``extra`` sections after it."""
    path = directory / "hemlockd.ini"
    path.write_text(MINIMAL_SETTINGS + extra, encoding="utf-8")
    return path
