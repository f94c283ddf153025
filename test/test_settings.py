"""Settings are checked as a whole before anything starts."""

import pytest

from hemlockstand.errors import SettingsError
from hemlockstand.settings import load_settings
from test.helper import write_settings


def test_user_file_overrides_defaults(tmp_path):
    """Guards against a default that hides a user's value, or is missing."""
    path = write_settings(tmp_path, "[keys]\nfreshness_seconds = 3\n")
    settings = load_settings(path)
    assert settings.keys.freshness_seconds == 3
    assert settings.peers.interval_seconds == 1


def test_all_problems_are_reported_together(tmp_path):
    """Guards against an operator who has to restart once per mistake."""
    path = write_settings(
        tmp_path,
        "[keys]\nfreshness_seconds = 600\n[nonsense]\nx = 1\n"
        "[listen]\ncaller_port = many\nport = 3\n",
    )
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    text = str(caught.value)
    for expected in (
        "freshness_seconds = '600': must be from 1 to 60",
        "unknown section [nonsense]",
        "caller_port = 'many': must be a whole number",
        "unknown key 'port' with value '3'",
    ):
        assert expected in text
    assert text.count(str(path)) == 4


def test_secret_is_never_shown(tmp_path):
    """Guards against a secret that reaches a log in an error message."""
    path = write_settings(tmp_path)
    path.write_text(path.read_text().replace("0123456789abcdef", "short-one"))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert "short-one" not in str(caught.value)


def test_unreadable_line_is_reported(tmp_path):
    """Guards against a traceback for a section that appears twice."""
    path = write_settings(tmp_path, "[peers]\ntimeout_seconds = 1\n")
    with pytest.raises(SettingsError, match="section 'peers' already exists"):
        load_settings(path)
