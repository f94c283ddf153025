"""A hemlockd process starts without the platform and stops gracefully."""

import os
import signal
import subprocess
import sys

import pytest
import trio

from test.daemons import TIMEOUT_SECONDS, Fleet, make_change, wait_until
from test.helper import write_settings

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
EXTRA_SETTINGS = """
[listen]
caller_port = 0
operator_port = 0
peer_port = 0
[log]
format = text
"""
# No process listens on the discard port, so the platform is unreachable.
UNREACHABLE_PLATFORM = "url = http://127.0.0.1:9"


@pytest.fixture
async def fleet(tmp_path, monkeypatch, nursery):
    """Return a fleet without daemons."""
    return Fleet(nursery, tmp_path, monkeypatch)


def start_process(path):
    command = [sys.executable, "-m", "hemlockstand.daemon", "--settings", str(path)]
    return subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)


async def wait_for_exit(process):
    """Return the exit code and the standard error of the process."""
    output = await trio.to_thread.run_sync(process.communicate, None, TIMEOUT_SECONDS)
    return process.returncode, output[1]


async def test_process_starts_from_peer_and_stops_gracefully(fleet, tmp_path):
    """Guards against a daemon that needs the platform to start or to stop."""
    first = await fleet.add("entry-1", "dc1")
    await first.configuration.commit(make_change(1), 0)
    directory = tmp_path / "process"
    directory.mkdir()
    path = write_settings(directory, EXTRA_SETTINGS)
    text = path.read_text().replace("name = entry-1", "name = entry-2")
    text = text.replace("data_centre = dc1\n", "data_centre = dc2\n")
    text = text.replace("[daemon]", "[daemon]\nbalancer_lag_seconds = 0.2")
    text = text.replace("url = http://127.0.0.1:9000", UNREACHABLE_PLATFORM)
    text = text.replace("[peers]", f"[peers]\nseeds = {first.peers.address}")
    path.write_text(text)
    process = start_process(path)
    try:
        await wait_until(lambda: has_member(first, configuration_version=1))
        process.send_signal(signal.SIGTERM)
        await wait_until(lambda: has_member(first, leaving=True))
        code, output = await wait_for_exit(process)
    finally:
        process.kill()
    assert code == 0, output
    assert "has stopped" in output


def has_member(daemon, **wanted):
    return any(
        all(getattr(member, name) == value for name, value in wanted.items())
        for member in daemon.peers.members()
    )


async def test_bad_settings_end_with_their_own_code(tmp_path):
    """Guards against restarts by a supervisor while settings are invalid."""
    path = write_settings(tmp_path, "[nonsense]\nx = 1\n")
    code, output = await wait_for_exit(start_process(path))
    assert code == 2
    assert "unknown section [nonsense]" in output
