"""The command line: usage, exit codes and lost replies."""

import json

import pytest
import trio

from hemlockstand.ctl.exits import EXIT_BY_ERROR, ExitCode
from hemlockstand.ctl.main import COMMANDS
from hemlockstand.operators.interface import STATUS_BY_CODE
from test.operator_fakes import TOKEN, run_daemon, run_hemlockctl, write_sheet

UNUSED_SERVER = "http://127.0.0.1:9"


@pytest.mark.parametrize(
    ("words", "text"),
    [
        ((), "usage: hemlockctl"),
        (("fly",), "unknown verb 'fly'; known: sheet, key,"),
        (("key", "steal", "k1"), "unknown verb 'key steal'; known: key grant,"),
        (("sheet", "plan"), "expected 'hemlockctl sheet plan FILE'"),
        (("key", "list", "extra"), "expected 'hemlockctl key list'"),
        (("key", "list", "--colour", "red"), "Unknown command line flag 'colour'"),
        (("sheet", "apply", "x", "--version", "one"), "--version"),
        (("config", "wait", "--wait", "-1"), "--wait"),
        (("key", "list"), "no token"),
        (("key", "list", "--token", "ü"), "printable ASCII"),
        (("key", "list", "--token", "t", "--server", "here"), "must be like http"),
        (("key", "list", "--token", "t", "--server", "http://[::"), "--server"),
        (("sheet", "check", "/missing.csv"), "cannot be read"),
        (("sheet", "check", "x", "--day", "now"), "must be a day"),
    ],
)
async def test_wrong_usage(words, text, monkeypatch, tmp_path):
    """Guards against sending a wrong command line or guessing its meaning."""
    monkeypatch.delenv("HEMLOCKCTL_TOKEN", raising=False)
    (tmp_path / "x").write_text("kind\n")
    monkeypatch.chdir(tmp_path)
    outcome = await run_hemlockctl(*words)
    assert outcome.code == ExitCode.USAGE, outcome
    assert text in outcome.err


async def test_help_lists_every_verb():
    """Guards against a verb that the help text leaves out."""
    outcome = await run_hemlockctl("--help")
    assert outcome.code == ExitCode.OK
    for command in COMMANDS:
        assert f"  {command.usage}  " in outcome.out


async def test_token_of_the_environment(tmp_path, monkeypatch):
    """Guards against a token that has to appear in the process list."""
    monkeypatch.setenv("HEMLOCKCTL_TOKEN", TOKEN)
    async with run_daemon(tmp_path) as daemon:
        monkeypatch.setenv("HEMLOCKCTL_SERVER", f"http://{daemon.service.address}")
        assert (await run_hemlockctl("config", "version")).code == ExitCode.OK
        wrong = await daemon.run_hemlockctl("config", "version", token="wrong")
        assert wrong.code == ExitCode.UNAUTHORIZED
        assert "unauthorized" in wrong.err


async def test_unreachable_daemon():
    """Guards against a refused connection reported as an unknown outcome."""
    outcome = await run_hemlockctl(
        *("key", "withdraw", "k1", "--token", "t", "--server", UNUSED_SERVER)
    )
    assert outcome.code == ExitCode.UNREACHABLE
    as_json = await run_hemlockctl(
        *("key", "list", "--token", "t", "--server", UNUSED_SERVER, "--json")
    )
    assert json.loads(as_json.out)["code"] == "daemon_unreachable"


async def test_local_check_needs_no_daemon(tmp_path, monkeypatch):
    """Guards against a check that planners without a token cannot run."""
    monkeypatch.delenv("HEMLOCKCTL_TOKEN", raising=False)
    sheet = write_sheet(tmp_path)
    outcome = await run_hemlockctl("sheet", "check", sheet, "--json")
    assert json.loads(outcome.out) == {
        "day": "2026-12-04",
        "teams": 2,
        "pools": 2,
        "queues": 2,
        "jobs": 1,
    }
    bad = await run_hemlockctl("sheet", "check", sheet, "--day", "2026-12-05")
    assert bad.code == ExitCode.INVALID_SHEET
    assert f"{sheet}:2: column day value '2026-12-04'" in bad.err


async def relay(server, lose_reads, stream):
    """Forward a call to the daemon and drop the reply to a POST.

    With ``lose_reads`` the replies to all other calls are dropped too.
    """
    host, _, port = server.rpartition(":")
    async with stream, await trio.open_tcp_stream(host, int(port)) as daemon:
        request = await stream.receive_some()
        await daemon.send_all(request)
        if request.startswith(b"POST"):
            while b"\r\n\r\n" not in request or request.endswith(b"\r\n\r\n"):
                request += (more := await stream.receive_some())
                await daemon.send_all(more)
        reply = await daemon.receive_some()
        if not request.startswith(b"POST") and not lose_reads:
            while reply:
                await stream.send_all(reply)
                reply = await daemon.receive_some()


async def start_relay(nursery, daemon, lose_reads):
    """Start a relay and return its URL."""

    async def serve(stream):
        await relay(daemon.service.address, lose_reads, stream)

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    port = listeners[0].socket.getsockname()[1]
    return f"http://127.0.0.1:{port}"


@pytest.mark.parametrize("lose_reads", [False, True])
async def test_lost_reply_is_looked_up(tmp_path, lose_reads):
    """Guards against repeating or denying a commit whose reply was lost."""
    sheet = write_sheet(tmp_path)
    async with run_daemon(tmp_path) as daemon, trio.open_nursery() as nursery:
        server = await start_relay(nursery, daemon, lose_reads)
        outcome = await run_hemlockctl(
            *("sheet", "apply", sheet, "--version", "0"),
            *("--server", server, "--token", TOKEN),
        )
        assert daemon.configuration.current.version == 1
        if lose_reads:
            assert outcome.code == ExitCode.OUTCOME_UNKNOWN, outcome
            assert "history cannot be read" in outcome.err
        else:
            assert (outcome.code, outcome.err) == (ExitCode.OK, "")
            assert "committed as version 1" in outcome.out
        nursery.cancel_scope.cancel()


async def test_lost_reply_to_an_action(tmp_path):
    """Guards against looking up an action in the configuration history.

    The history holds only changes of the configuration.
    """
    async with run_daemon(tmp_path) as daemon, trio.open_nursery() as nursery:
        server = await start_relay(nursery, daemon, lose_reads=False)
        outcome = await run_hemlockctl(
            *("wave", "pause", "w1", "--server", server, "--token", TOKEN)
        )
        assert outcome.code == ExitCode.OUTCOME_UNKNOWN
        assert "look at the status before repeating" in outcome.err
        planned = await run_hemlockctl(
            *("sheet", "plan", write_sheet(tmp_path)),
            *("--server", server, "--token", TOKEN),
        )
        assert planned.code == ExitCode.UNREACHABLE
        nursery.cancel_scope.cancel()


async def test_key_is_shown_although_the_wait_fails(tmp_path, monkeypatch):
    """Guards against a granted key whose secret is never shown."""
    sheet = write_sheet(tmp_path)
    async with run_daemon(tmp_path) as daemon:
        await daemon.run_hemlockctl("sheet", "apply", sheet, "--version", "0")

        def fail(self, version):
            raise OSError("broken")

        monkeypatch.setattr(
            "hemlockstand.operators.reports.ReportOperations._compare_members", fail
        )
        granted = await daemon.run_hemlockctl(
            "key", "grant", "k1", "--team", "quotes", "--wait", "1"
        )
        assert granted.code == ExitCode.FAILED
        assert "hsk_k1_" in granted.out


def test_every_code_of_the_interface_has_an_exit_code():
    """Guards against a refusal that the shell sees as an unknown failure."""
    assert set(STATUS_BY_CODE) <= set(EXIT_BY_ERROR)
