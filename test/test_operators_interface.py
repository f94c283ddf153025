"""hemlockctl against a daemon's operator port."""

import json

from hemlockstand.ctl.exits import ExitCode
from test.operators import run_daemon, write_sheet


async def test_first_session(tmp_path):
    """Guards against a session of sheet, key and status that does not work."""
    sheet = write_sheet(tmp_path)
    async with run_daemon(tmp_path) as daemon:
        planned = await daemon.control("sheet", "plan", sheet)
        assert planned.code == ExitCode.OK, planned
        assert "+ team quotes" in planned.out
        assert f"hemlockctl sheet apply {sheet} --version 0" in planned.out
        applied = await daemon.control("sheet", "apply", sheet, "--version", "0")
        assert (applied.code, applied.err) == (ExitCode.OK, "")
        assert "committed as version 1" in applied.out
        granted = await daemon.control("key", "grant", "k1", "--team", "quotes")
        assert granted.code == ExitCode.OK, granted
        key = granted.out.splitlines()[-1]
        assert key.startswith("hsk_k1_")
        assert daemon.configuration.current.keys["k1"].team == "quotes"
        listed = await daemon.control("key", "list", "--json")
        assert json.loads(listed.out) == {"keys": [{"name": "k1", "team": "quotes"}]}
        withdrawn = await daemon.control("key", "withdraw", "k1")
        assert withdrawn.code == ExitCode.OK, withdrawn
        assert daemon.configuration.current.keys == {}
        status = await daemon.control("status")
        assert "version 3, sheet of 2026-12-04" in status.out
