"""Log lines are structured and never show values of the settings."""

import json

import pytest
from attrs import evolve
from loguru import logger

from hemlockstand.logs import configure_logs
from hemlockstand.settings import load_settings
from test.helper import write_settings


@pytest.fixture
def restore_logger():
    """Remove the handler that the test adds."""
    yield
    logger.remove()


@pytest.mark.parametrize("form", ["json", "text"])
def test_traceback_shows_no_secret(tmp_path, capsys, restore_logger, form):
    """Guards against secrets that reach the log as values of variables."""
    settings = load_settings(write_settings(tmp_path))
    configure_logs(evolve(settings.log, format=form), "entry-1")
    try:
        secret = settings.peers.secret
        fail_with(secret)
    except AttributeError:
        logger.bind(module="test").exception("call failed")
    written = capsys.readouterr().err
    assert "AttributeError" in written and "fail_with" in written
    assert settings.peers.secret not in written


def fail_with(secret):
    return secret.missing


def test_json_line_has_time_level_module_and_daemon(tmp_path, capsys, restore_logger):
    """Guards against lines that a log collector cannot parse."""
    settings = load_settings(write_settings(tmp_path))
    configure_logs(settings.log, "entry-1")
    logger.bind(module="test").warning("watch {}", "out")
    line = json.loads(capsys.readouterr().err)
    assert (line["level"], line["module"], line["daemon"]) == (
        "WARNING",
        "test",
        "entry-1",
    )
    assert line["message"] == "watch out" and line["time"]
