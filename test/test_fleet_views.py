"""Views of the scheduler for operators, and hemlockctl that shows them."""

import json
from types import SimpleNamespace

import attrs
import pytest
import trio
from quart_trio import QuartTrio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.ctl.exits import ExitCode
from hemlockstand.errors import SettingsError
from hemlockstand.fleet.idle_report import IdleStep
from hemlockstand.fleet.job_registry import JobRegistry
from hemlockstand.fleet.model import JobSpec, Resources, Step
from hemlockstand.fleet.scheduler_views import MAX_EXPLAINED_STEPS
from hemlockstand.fleet.settings import FleetOperatorSettings, load_fleet_settings
from hemlockstand.fleet.view_server import add_views
from hemlockstand.fleet.views import VIEWS, ViewQuery, register_view
from test.fleet_world import (
    LASTING,
    SMALL,
    FleetWorld,
    make_config,
    make_settings,
    make_step,
    open_world,
)
from test.operator_fakes import run_hemlockctl
from test.test_fleet_daemon import SETTINGS, open_fleet

TOKEN = "0123456789abcdef"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
LARGE = Resources(9000, 512)  # an executor has room for one of these


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


def make_client(world: FleetWorld, name: str = "a", token: str = TOKEN):
    """Return a client of a daemon's views."""
    daemon = world.daemons[name]
    services = {
        "row_store": SimpleNamespace(rows=daemon.rows),
        "scheduler": SimpleNamespace(leader=daemon.leader),
    }
    kernel = SimpleNamespace(
        settings=attrs.evolve(
            make_settings(name), operators=FleetOperatorSettings(token)
        ),
        find=lambda service, kind: services[service],
    )
    app = QuartTrio(__name__)
    add_views(app, kernel)
    return app.test_client()


async def get_view(world: FleetWorld, path: str, name: str = "a"):
    """Return the status and the body of a view."""
    reply = await make_client(world, name).get(f"/fleet/{path}", headers=HEADERS)
    return reply.status_code, json.loads(await reply.get_data())


async def test_evacuation_and_what_it_waits_for(clock):
    """Guards against an operator who cannot tell why a data centre is in use."""
    async with open_world() as world:
        for _ in range(2):
            world.add_executor(data_centre="dc1")
        world.start_daemon("a")
        world.submit(make_step(2, 30), work=SubtaskBehaviour(30.0, size=SMALL))
        step = make_step(2, size=LARGE, lasting=True, max_unavailable=1)
        world.submit(step, work=SubtaskBehaviour(LASTING, size=LARGE))
        await world.wait_for(lambda: len(world.find_running()) == 4, 5)
        await trio.sleep(2)
        world.evacuate("dc1", "dc9")
        await trio.sleep(3)
        status, body = await get_view(world, "evacuations?limit=3")
        assert status == 200
        found, unknown = body["evacuations"]
        assert found["data_centre"] == "dc1"
        assert 2.5 < found["seconds"] < 3.5
        assert (found["executors"], found["runs"]) == (2, 4)
        assert unknown == {
            "data_centre": "dc9",
            "seconds": found["seconds"],
            "executors": 0,
            "unread_executors": 0,
            "instances": 0,
            "runs": 0,
        }
        assert len(body["runs"]) == 3
        assert body["waits_for"] == {"its own end": 2, "room elsewhere": 2}
        (shortage,) = body["shortages"]
        assert (shortage["pool"], shortage["missing_cores"]) == ("pool", 18.0)


async def test_waiting_work_and_why(clock):
    """Guards against an operator who cannot tell why a job does not start."""
    async with open_world() as world:
        world.configuration.current = make_config(maximum=Resources(10_000))
        for rack in ("r1", "r2"):
            world.add_executor(rack=rack)
        world.start_daemon("a")
        first = world.submit(
            make_step(1, 30, size=LARGE), work=SubtaskBehaviour(30.0, size=LARGE)
        )
        await world.wait_for(lambda: world.find_running(first), 5)
        limited = world.submit(make_step(3, size=Resources(2000, 512)))
        labelled = world.submit(make_step(1, size=SMALL, label="none"))
        await trio.sleep(1)
        status, body = await get_view(world, "waiting")
        assert (status, body["subtasks"]) == (200, 4)
        by_step = {entry["step"].split(".")[0]: entry for entry in body["steps"]}
        assert by_step[limited]["why"] == "maximum of the workspace"
        assert by_step[limited]["waiting"] == 3
        assert by_step[labelled]["executors"] == {"label": 2}
        assert by_step[labelled]["seconds"] > 0.5


async def test_shares_and_durations(clock):
    """Guards against views that fail on work of every kind."""
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        world.submit(make_step(20, 3.0), work=SubtaskBehaviour(3.0, size=SMALL))
        await trio.sleep(2)
        _, body = await get_view(world, "shares")
        (share,) = body["shares"]
        assert (share["workspace"], share["weight"]) == ("team", 1.0)
        assert (share["running_cores"], share["waiting_cores"]) == (16.0, 4.0)
        _, body = await get_view(world, "durations")
        (duration,) = body["durations"]
        assert (duration["queue"], duration["estimate_seconds"]) == ("queue", 3.0)
        assert duration["median_seconds"] == pytest.approx(3.0)


async def test_only_the_scheduler_has_views(clock):
    """Guards against a view of a daemon that knows nothing."""
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        await world.wait_for(lambda: world.lease_holder() == "a", 5)
        world.start_daemon("b")
        await trio.sleep(1)
        status, body = await get_view(world, "evacuations", "b")
        assert (status, body["code"], body["leader"]) == (409, "not_leader", "a")
        world.daemons["b"].rows.closed = True
        status, body = await get_view(world, "evacuations", "b")
        assert (status, body["leader"]) == (409, "")


@pytest.mark.parametrize(
    ("path", "status", "named"),
    [
        ("other", 404, "view: 'other'"),
        ("waiting?limit=x", 400, "limit: 'x'"),
        ("waiting?limit=0", 400, "limit: '0'"),
        ("waiting?limit=201", 400, "limit: '201'"),
        ("waiting?limit=" + "9" * 5000, 400, "limit: '999"),
        ("waiting?colour=red", 400, "colour"),
        ("waiting?limit=1&limit=2", 400, "limit: is given twice"),
    ],
)
async def test_bad_input_is_named(clock, path, status, named):
    """Guards against input that is ignored, or an error without its field."""
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        found, body = await get_view(world, path)
        assert found == status
        assert named in body["detail"]
        assert len(body["detail"]) < 300


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"Authorization": TOKEN},
        {"Authorization": "Bearer wrong"},
        {"Authorization": f"Basic {TOKEN}"},
        {"Authorization": "Bearer ü"},
        {"Authorization": "Bearer "},
    ],
)
async def test_token_is_needed(clock, headers):
    """Guards against views that anyone on the network can read."""
    async with open_world() as world:
        world.start_daemon("a")
        await trio.sleep(1)
        for path in ("evacuations", "other"):
            reply = await make_client(world).get(f"/fleet/{path}", headers=headers)
            assert reply.status_code == 401


async def test_views_are_switched_off_without_a_token(clock):
    """Guards against an empty token that an empty header matches."""
    async with open_world() as world:
        world.start_daemon("a")
        await trio.sleep(1)
        client = make_client(world, token="")
        for headers in ({}, {"Authorization": "Bearer "}):
            reply = await client.get("/fleet/evacuations", headers=headers)
            assert reply.status_code == 404


async def test_error_in_a_view_is_its_own(clock):
    """Guards against a view that ends the scheduler's term or the process."""
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)

        def fail(leader, query):
            raise ZeroDivisionError("in a view")

        register_view("failing")(fail)
        try:
            assert (await get_view(world, "failing"))[0] == 500
        finally:
            del VIEWS["failing"]
        assert (await get_view(world, "shares"))[0] == 200
        with pytest.raises(ValueError, match="shares"):
            register_view("shares")(fail)


@pytest.mark.parametrize("token", ["", "short", TOKEN])
def test_token_in_the_settings(tmp_path, token):
    """Guards against a token that is easily guessed."""
    path = tmp_path / "a.ini"
    text = SETTINGS.format(name="a", host="127.0.0.1", platform="127.0.0.1:1")
    path.write_text(f"{text}\n[operators]\ntoken = {token}\n")
    if token == "short":
        with pytest.raises(SettingsError, match="token"):
            load_fleet_settings(path)
    else:
        assert load_fleet_settings(path).operators.token == token


async def test_hemlockctl_shows_a_view(tmp_path):
    """Guards against a break on the path from hemlockctl to the scheduler."""
    settings = f"{SETTINGS}\n[operators]\ntoken = {TOKEN}\n"
    async with open_fleet(tmp_path, settings=settings) as (fleet, (host,)):
        fleet.platform.store.put("op", "evacuate/dc7", b"{}")
        flags = ["--server", f"http://{host}:8102", "--token", TOKEN]
        with trio.fail_after(20):
            while True:
                outcome = await run_hemlockctl("fleet", "evacuations", *flags)
                if "dc7" in outcome.out:
                    break
                await trio.sleep(0.2)
        assert outcome.code == ExitCode.OK
        assert "data_centre" in outcome.out
        outcome = await run_hemlockctl("fleet", "evacuations", "--json", *flags)
        assert json.loads(outcome.out)["evacuations"][0]["data_centre"] == "dc7"
        outcome = await run_hemlockctl("fleet", "shares", "--limit", "3", *flags)
        assert outcome.code == ExitCode.OK
        outcome = await run_hemlockctl("fleet", "colours", *flags)
        assert outcome.code == ExitCode.REFUSED
        assert "'colours'" in outcome.err
        flags[-1] = "another token of 16"
        outcome = await run_hemlockctl("fleet", "evacuations", *flags)
        assert outcome.code == ExitCode.UNAUTHORIZED


def test_view_of_many_steps_asks_executors_for_a_few(clock):
    """Guards against a view that holds up the scheduler."""
    registry = JobRegistry(run_base=0)
    for number in range(100):
        spec = JobSpec(f"{number:016x}", "queue", "pool", "team", "", (Step(4, SMALL),))
        registry.add(spec, number, None, 0.0, 0)
    described: list[str] = []

    def describe(step_run):
        described.append(step_run.name)
        return IdleStep(step_run.name, 4, {}, {"no room": 1})

    state = SimpleNamespace(
        registry=registry,
        config=make_config(),
        clock=lambda: 1.0,
        configuration=SimpleNamespace(fresh=True),
    )
    reporter = SimpleNamespace(describe=describe, blocked_pools=set())
    leader = SimpleNamespace(state=state, idle_reporter=reporter)
    steps = VIEWS["waiting"](leader, ViewQuery(80))["steps"]
    assert len(steps) == 80
    assert len(described) == MAX_EXPLAINED_STEPS
    assert [step["step"] for step in steps if step["executors"]] == described


async def test_texts_and_lists_of_views_are_bounded(clock):
    """Guards against views of any size, from names that clients choose."""
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        world.submit(make_step(1, image="x" * 4000))
        await world.wait_for(lambda: world.count_runs() == 1, 3)
        _, body = await get_view(world, "durations")
        assert [len(item["image"]) for item in body["durations"]] == [80]
        world.evacuate(*(f"dc{number}" for number in range(9)))
        await trio.sleep(1)
        _, body = await get_view(world, "evacuations?limit=3")
        assert len(body["evacuations"]) == 3
