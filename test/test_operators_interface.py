"""The operator port of a daemon, with one operator or several at once."""

import json
from functools import partial

import httpx
import pytest
import trio

from hemlockstand.ctl.exits import ExitCode
from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.health import HealthService
from test.operator_fakes import (
    SHEET,
    TOKEN,
    FakeMember,
    make_platform,
    run_daemon,
    write_sheet,
)

NIGHT_ROWS = [line for line in SHEET.splitlines(keepends=True) if "night" in line]


def drop_night(text=SHEET):
    """Return the sheet without the pool ``night`` and its job."""
    for row in NIGHT_ROWS:
        text = text.replace(row, "")
    return text


@pytest.fixture
async def daemon(tmp_path):
    """Run a daemon with the sheet of the tests in force as version 1."""
    async with run_daemon(tmp_path) as running:
        applied = await running.run_hemlockctl(
            "sheet", "apply", write_sheet(tmp_path), "--version", "0"
        )
        assert applied.code == ExitCode.OK, applied
        yield running


async def run_concurrently(*commands):
    """Run command lines at the same time and return their outcomes."""
    outcomes = [None] * len(commands)

    async def run(position, command):
        outcomes[position] = await command()

    async with trio.open_nursery() as nursery:
        for position, command in enumerate(commands):
            nursery.start_soon(run, position, command)
    return outcomes


async def test_first_session(tmp_path):
    """Guards against a failing basic session of sheet, key and status."""
    sheet = write_sheet(tmp_path)
    async with run_daemon(tmp_path) as daemon:
        planned = await daemon.run_hemlockctl("sheet", "plan", sheet)
        assert planned.code == ExitCode.OK, planned
        assert "+ team quotes" in planned.out
        assert f"hemlockctl sheet apply {sheet} --version 0" in planned.out
        applied = await daemon.run_hemlockctl("sheet", "apply", sheet, "--version", "0")
        assert (applied.code, applied.err) == (ExitCode.OK, "")
        assert "committed as version 1" in applied.out
        granted = await daemon.run_hemlockctl("key", "grant", "k1", "--team", "quotes")
        assert granted.code == ExitCode.OK, granted
        assert granted.out.splitlines()[-1].startswith("hsk_k1_")
        assert daemon.configuration.current.keys["k1"].team == "quotes"
        listed = await daemon.run_hemlockctl("key", "list", "--json")
        assert json.loads(listed.out) == {"keys": [{"name": "k1", "team": "quotes"}]}
        withdrawn = await daemon.run_hemlockctl("key", "withdraw", "k1")
        assert withdrawn.code == ExitCode.OK, withdrawn
        assert daemon.configuration.current.keys == {}
        status = await daemon.run_hemlockctl("status")
        assert "version 3, sheet of 2026-12-04" in status.out


async def test_racing_applies_commit_once(tmp_path):
    """Guards against two applies on one version that both succeed."""
    platform = make_platform()
    first = write_sheet(tmp_path, SHEET, "first.csv")
    second = write_sheet(tmp_path, SHEET.replace("sakda,3", "sakda,2"), "second.csv")
    async with run_daemon(tmp_path, platform) as one:
        async with run_daemon(tmp_path, platform) as other:
            outcomes = await run_concurrently(
                partial(one.run_hemlockctl, "sheet", "apply", first, "--version", "0"),
                partial(
                    other.run_hemlockctl, "sheet", "apply", second, "--version", "0"
                ),
            )
            codes = sorted(outcome.code for outcome in outcomes)
            assert codes == [ExitCode.OK, ExitCode.CONFLICT]
            loser = outcomes[0] if outcomes[0].code else outcomes[1]
            assert "planned on version 0, current is 1" in loser.err
            assert (await one.configuration.store.read_head()).version == 1


async def test_apply_after_another_change_is_refused(daemon, tmp_path, monkeypatch):
    """Guards against an apply on another version than the planned one."""
    monkeypatch.setattr(
        "hemlockstand.operators.commits.PROPAGATION_TIMEOUT_SECONDS", 0.05
    )
    sheet = write_sheet(tmp_path, SHEET.replace("sakda,3", "sakda,2"))
    await daemon.run_hemlockctl("key", "grant", "k1", "--team", "quotes")
    late = await daemon.run_hemlockctl("sheet", "apply", sheet, "--version", "1")
    assert late.code == ExitCode.CONFLICT
    assert daemon.configuration.current.teams["quotes"].share == 3
    unknown = await daemon.run_hemlockctl("sheet", "apply", sheet, "--version", "99")
    assert unknown.code == ExitCode.REFUSED
    assert "version 99 is not known" in unknown.err


async def test_racing_grants_all_succeed(tmp_path):
    """Guards against a grant that fails because of an unrelated change."""
    platform = make_platform()
    sheet = write_sheet(tmp_path)
    async with run_daemon(tmp_path, platform) as one:
        await one.run_hemlockctl("sheet", "apply", sheet, "--version", "0")
        async with run_daemon(tmp_path, platform) as other:
            grants = [
                partial(daemon.run_hemlockctl, "key", "grant", name, "--team", "quotes")
                for daemon, name in ((one, "k1"), (other, "k2"), (one, "k3"))
            ]
            outcomes = await run_concurrently(*grants)
            assert [outcome.code for outcome in outcomes] == [ExitCode.OK] * 3
            await one.configuration.catch_up()
            assert set(one.configuration.current.keys) == {"k1", "k2", "k3"}
            again = await other.run_hemlockctl("key", "grant", "k1", "--team", "ledger")
            assert again.code == ExitCode.REFUSED
            assert "already_exists" in again.err


async def test_many_drops_need_confirmation(daemon, tmp_path):
    """Guards against a truncated sheet that drops half the pools unnoticed."""
    sheet = write_sheet(tmp_path, drop_night(), "less.csv")
    planned = await daemon.run_hemlockctl("sheet", "plan", sheet)
    assert "--version 1 --confirm-drops 2" in planned.out
    assert "drops 1 of 2 pools" in planned.out
    apply = partial(daemon.run_hemlockctl, "sheet", "apply", sheet, "--version", "1")
    assert (await apply()).code == ExitCode.CONFIRMATION_NEEDED
    wrong = await apply("--confirm-drops", "1")
    assert wrong.code == ExitCode.CONFIRMATION_NEEDED
    assert daemon.configuration.current.version == 1
    assert (await apply("--confirm-drops=2")).code == ExitCode.OK
    assert set(daemon.configuration.current.pools) == {"hinge"}


async def test_bad_sheet_changes_nothing(daemon, tmp_path):
    """Guards against a sheet that is applied in part."""
    text = SHEET.replace("5,hinge", "5,hunge").replace("sakda,1,20", "sakda,x,20")
    sheet = write_sheet(tmp_path, text, "bad.csv")
    before = daemon.configuration.current
    refused = await daemon.run_hemlockctl("sheet", "apply", sheet, "--version", "1")
    assert refused.code == ExitCode.INVALID_SHEET
    place = f"{sheet}:4: column share value 'x': must be a number"
    assert place in refused.err and "[bad_value]" in refused.err
    assert f"{sheet}:8: column pool value 'hunge'" in refused.err
    as_json = await daemon.run_hemlockctl("sheet", "plan", sheet, "--json")
    codes = [problem["code"] for problem in json.loads(as_json.out)["problems"]]
    assert codes == ["bad_value", "dangling_reference", "dangling_reference"]
    assert daemon.configuration.current is before


async def test_sheet_is_checked_against_settings(daemon, tmp_path):
    """Guards against a pool in a data centre that the deployment lacks."""
    sheet = write_sheet(tmp_path, SHEET.replace("dc1 dc2", "dc1 dc9"), "dc.csv")
    assert (await daemon.run_hemlockctl("sheet", "check", sheet)).code == ExitCode.OK
    planned = await daemon.run_hemlockctl("sheet", "plan", sheet)
    assert planned.code == ExitCode.INVALID_SHEET
    assert "no data centre 'dc9'" in planned.err


async def test_same_sheet_again_commits_nothing(daemon, tmp_path):
    """Guards against a new version for a sheet that is already in force."""
    sheet = write_sheet(tmp_path)
    again = await daemon.run_hemlockctl("sheet", "apply", sheet, "--version", "1")
    assert again.code == ExitCode.OK
    assert "nothing to change; version 1 stays" in again.out
    assert daemon.configuration.current.version == 1


async def test_lost_platform_reply_is_resolved(daemon, monkeypatch):
    """Guards against a commit that is repeated because its reply was lost."""
    table = daemon.platform.table
    transact = table.transact

    async def lose_reply(operations):
        await transact(operations)
        raise OutcomeUnknown("reply lost")

    monkeypatch.setattr(type(table), "transact", staticmethod(lose_reply))
    granted = await daemon.run_hemlockctl("key", "grant", "k1", "--team", "quotes")
    assert granted.code == ExitCode.OK
    assert daemon.configuration.current.version == 2


async def test_outage_and_lost_reply_have_own_exit_codes(daemon, monkeypatch):
    """Guards against confusing a refused change with one of unknown outcome.

    A change that the platform refused was not applied; a change whose reply
    was lost may have been.
    """

    async def refuse(self, operations):
        raise PlatformUnavailable("table is down")

    monkeypatch.setattr(type(daemon.platform.table), "transact", refuse)
    granted = await daemon.run_hemlockctl("key", "grant", "k1", "--team", "quotes")
    assert granted.code == ExitCode.UNREACHABLE
    assert "table is down" in granted.err
    assert "hsk_" not in granted.out

    async def lose(self, operations):
        raise OutcomeUnknown("no reply")

    monkeypatch.setattr(type(daemon.platform.table), "transact", lose)
    granted = await daemon.run_hemlockctl("key", "grant", "k1", "--team", "quotes")
    assert granted.code == ExitCode.OUTCOME_UNKNOWN
    assert "may still be committed" in granted.err


async def test_secret_is_shown_once_and_never_stored(daemon):
    """Guards against a key that can be read from the table or the history."""
    granted = await daemon.run_hemlockctl(
        "key", "grant", "k1", "--team", "quotes", "--json"
    )
    key = json.loads(granted.out)["key"]
    secret = key.rpartition("_")[2]
    assert len(secret) == 64
    assert secret not in repr(daemon.platform.table.rows)
    history = await daemon.run_hemlockctl("config", "history", "--json")
    stored = daemon.configuration.current.keys["k1"]
    for hidden in (secret, stored.salt, stored.digest):
        assert hidden not in history.out


@pytest.mark.parametrize(
    ("words", "code", "text"),
    [
        (("key", "grant", "k1", "--team", "nobody"), "REFUSED", "team 'nobody'"),
        (("key", "grant", "k_1", "--team", "quotes"), "REFUSED", "argument 'name'"),
        (("key", "grant", "k1"), "USAGE", "--team is needed"),
        (("key", "withdraw", "k9"), "REFUSED", "key 'k9' does not exist"),
        (("team", "show", "nobody"), "REFUSED", "team 'nobody'"),
        (("job", "show", "nothing"), "REFUSED", "job 'nothing'"),
        (("instance", "drain", "exec-1"), "USAGE", "--reason is needed"),
        (
            ("instance", "drain", "exec-9", "--reason", "disk"),
            "REFUSED",
            "instance 'exec-9' is not in the platform's list",
        ),
        (("instance", "undrain", "exec-1"), "REFUSED", "is not drained"),
        (("instance", "move", "exec-1", "--to", "night"), "NOT_AVAILABLE", "maint"),
        (("job", "cancel", "reconcile"), "NOT_AVAILABLE", "'jobs'"),
        (("wave", "plan"), "NOT_AVAILABLE", "'maintenance'"),
        (("wave", "status"), "NOT_AVAILABLE", "'maintenance'"),
        (("sheet", "apply", "SHEET"), "USAGE", "--version is needed"),
        (("sheet", "plan", "missing.csv"), "USAGE", "cannot be read: No such file"),
    ],
)
async def test_refusals(daemon, tmp_path, words, code, text):
    """Guards against a refusal without its reason or exit code."""
    sheet = write_sheet(tmp_path)
    words = [sheet if word == "SHEET" else word for word in words]
    refused = await daemon.run_hemlockctl(*words)
    assert refused.code == ExitCode[code], refused
    assert text in refused.err
    assert daemon.configuration.current.version == 1


async def test_drain_and_undrain(daemon):
    """Guards against a drain that is lost, doubled or cannot be ended."""
    drain = partial(
        daemon.run_hemlockctl, "instance", "drain", "exec-1", "--reason", "disk"
    )
    assert (await drain()).code == ExitCode.OK
    assert daemon.configuration.current.drains == {"exec-1": "disk"}
    assert (await drain()).code == ExitCode.OK
    assert daemon.configuration.current.version == 2
    shown = await daemon.run_hemlockctl("instance", "status")
    assert "drained: exec-1: disk" in shown.out.splitlines()
    assert (
        await daemon.run_hemlockctl("instance", "undrain", "exec-1")
    ).code == ExitCode.OK
    assert daemon.configuration.current.drains == {}


async def test_wait_reports_daemons_with_the_version(daemon):
    """Guards against a wait that counts silent or stale daemons as current."""
    daemon.peers.listed_members = [
        FakeMember("entry-2", configuration_version=1),
        FakeMember("entry-3", configuration_version=0),
        FakeMember("entry-4", alive=False, configuration_version=1),
        FakeMember("entry-5", leaving=True),
    ]
    waited = await daemon.run_hemlockctl("config", "wait", "--wait", "0", "--json")
    assert waited.code == ExitCode.NOT_IN_FORCE
    report = json.loads(waited.out)
    assert report["in_force"] == ["entry-1", "entry-2"]
    assert report["behind"] == {"entry-3": 0}
    assert report["not_answered"] == ["entry-4"]
    daemon.peers.listed_members = [FakeMember("entry-2", configuration_version=2)]
    granted = await daemon.run_hemlockctl(
        "key", "grant", "k1", "--team", "quotes", "--wait", "5"
    )
    assert granted.code == ExitCode.OK
    assert "version 2 is in force at 2 daemons" in granted.out
    assert any(line.startswith("hsk_") for line in granted.out.splitlines())


async def test_history_names_author_and_edits(daemon):
    """Guards against a change that cannot be traced to its operator."""
    await daemon.run_hemlockctl(
        "key", "grant", "k1", "--team", "quotes", "--author", "Anä"
    )
    shown = await daemon.run_hemlockctl("config", "history", "--limit", "1")
    assert "Anä" in shown.out and "PutEntity key k1" in shown.out
    assert len(shown.out.splitlines()) == 2


async def test_open_paths_need_no_token(daemon):
    """Guards against probes that need a token, and calls that need none."""
    base = f"http://{daemon.service.address}"
    async with httpx.AsyncClient(base_url=base) as http:
        assert (await http.get("/health")).status_code == 200
        assert (await http.get("/ready")).status_code == 200
        metrics = await http.get("/metrics")
        assert "hemlockstand_operator_calls_total" in metrics.text
        for headers in (
            {},
            {"Authorization": "Bearer wrong"},
            {"Authorization": f"Basic {TOKEN}"},
            {"Authorization": f"Bearer {TOKEN}x"},
            {"Authorization": "Bearer ÿ".encode("latin-1")},
        ):
            refused = await http.get("/o/config/version", headers=headers)
            assert (refused.status_code, refused.json()["code"]) == (
                401,
                "unauthorized",
            )
        daemon.kernel.find("health", HealthService).leave()
        assert (await http.get("/ready")).status_code == 503


async def test_malformed_calls_get_a_code(daemon):
    """Guards against a malformed call that ends in status 500."""
    headers = {"Authorization": f"Bearer {TOKEN}"}
    base = f"http://{daemon.service.address}/o"
    json_type = headers | {"Content-Type": "application/json"}
    async with httpx.AsyncClient(headers=headers) as http:
        answers = [
            (await http.get(f"{base}/nothing/here"), 404, "unknown_path"),
            (await http.post(f"{base}/config/version"), 404, "unknown_path"),
            (await http.delete(f"{base}/key/list"), 405, "unknown_path"),
            (await http.get(f"{base}/config/wait"), 200, None),
            (
                await http.get(f"{base}/config/wait?version=-1"),
                400,
                "invalid_input",
            ),
            (
                await http.post(f"{base}/key/grant", content="{", headers=json_type),
                400,
                "invalid_input",
            ),
            (
                await http.post(f"{base}/key/grant", content="[]", headers=json_type),
                400,
                "invalid_input",
            ),
            (
                await http.post(f"{base}/key/withdraw", json={"name": ["k1"]}),
                400,
                "invalid_input",
            ),
            (
                await http.post(f"{base}/sheet/plan?day=tomorrow", content=b"x"),
                400,
                "invalid_input",
            ),
            (
                await http.post(f"{base}/sheet/plan", content=b"\xff\xfe\x00"),
                422,
                "invalid_sheet",
            ),
        ]
    for answer, status, code in answers:
        assert (answer.status_code, answer.json().get("code")) == (status, code)


async def test_stop_does_not_wait_for_idle_connections(tmp_path, monkeypatch):
    """Guards against a stop that waits its grace time for idle connections.

    The bound is far above the milliseconds of a correct stop, and far below
    the grace time.
    """
    monkeypatch.setattr("hemlockstand.operators.interface.GRACE_SECONDS", 600)
    async with run_daemon(tmp_path) as daemon, httpx.AsyncClient() as http:
        await http.get(f"http://{daemon.service.address}/health")
        with trio.fail_after(60):
            await daemon.service.stop()


async def test_stop_answers_open_calls(daemon):
    """Guards against a planned stop that cuts off an operator's open call."""
    answers = []
    daemon.peers.listed_members = [FakeMember("entry-2", configuration_version=0)]

    async def wait_version():
        answers.append(await daemon.run_hemlockctl("config", "wait", "--wait", "1"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_version)
        while not daemon.peers.call_count:
            await trio.sleep(0.01)
        await daemon.service.stop()
    assert answers[0].code == ExitCode.NOT_IN_FORCE
