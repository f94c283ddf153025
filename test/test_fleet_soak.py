"""The fault soak of real daemon processes, with a fixed seed and small faults."""

import signal
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest
import trio

from emulator.fleet_executors import ExecutorModel, SubtaskBehaviour
from emulator.link import Link
from emulator.network import reserve_network
from emulator.soak import run_soak
from emulator.soak_checks import Checks
from emulator.soak_faults import draw_rounds
from emulator.soak_jobs import Callers, Job, make_step
from hemlockstand.fleet.model import Resources, StartOrder

CI_SEED = 478
CI_MINUTES = 0.5  # one round
CI_DAEMONS = 3
TIMEOUT_SECONDS = 30
QUIET_SECONDS = 0.3  # nothing may arrive in this time on a stalled link


async def echo(stream: trio.SocketStream) -> None:
    """Send back what arrives."""
    async for chunk in stream:
        await stream.send_all(chunk)


@pytest.fixture
async def link(nursery):
    """Return a link to a server that sends back what arrives."""
    network = reserve_network()
    host = network.host(1, 1)
    server, proxy = (
        await trio.open_tcp_listeners(9000, host=host),
        Link("a>b", 7000, host, 9000),
    )
    proxies = await trio.open_tcp_listeners(proxy.port, host=host)
    nursery.start_soon(trio.serve_listeners, echo, server)
    nursery.start_soon(trio.serve_listeners, proxy.accept, proxies)
    yield proxy
    network.close()


async def ask(stream: trio.SocketStream, text: bytes) -> bytes:
    """Send a text and return what comes back."""
    await stream.send_all(text)
    with trio.fail_after(TIMEOUT_SECONDS):
        return await stream.receive_some()


@pytest.mark.parametrize("mode", ["drop", "drop_requests", "drop_answers"])
async def test_stalled_link_delivers_late(link, mode):
    """Guards against a fault that loses what a real network would deliver."""
    stream = await trio.open_tcp_stream(link.target_host, link.port)
    assert await ask(stream, b"first") == b"first"
    link.change(mode, 0.0)
    await stream.send_all(b"second")
    with trio.move_on_after(QUIET_SECONDS) as scope:
        await stream.receive_some()
    assert scope.cancelled_caught
    link.change("up", 0.0)
    with trio.fail_after(TIMEOUT_SECONDS):
        assert await stream.receive_some() == b"second"


async def test_silenced_connection_stays_silent(link):
    """Guards against a silence that ends, or that stalls new connections."""
    stream = await trio.open_tcp_stream(link.target_host, link.port)
    assert await ask(stream, b"first") == b"first"
    link.change("silence", 0.0)
    await stream.send_all(b"second")
    new = await trio.open_tcp_stream(link.target_host, link.port)
    assert await ask(new, b"third") == b"third"
    with trio.move_on_after(QUIET_SECONDS) as scope:
        await stream.receive_some()
    assert scope.cancelled_caught


def test_schedule_is_drawn_from_the_seed():
    """Guards against a replay with another schedule."""
    assert draw_rounds(Random(7), 3) == draw_rounds(Random(7), 3)
    assert draw_rounds(Random(7), 3) != draw_rounds(Random(8), 3)


@pytest.fixture
async def world(autojump_clock):
    """Return checks with two executors, and a job of two steps."""
    checks = Checks()
    checks.callers = Callers([], None, Random(1), checks.note_answer)
    size = Resources(1000, 256)
    steps = [make_step(size, 2), make_step(size, 1, After=[0])]
    behaviours = [SubtaskBehaviour(1.0, size=size)] * 2
    job = Job("00000000000000a1", "quotes", "hinge", steps, behaviours)
    checks.callers.jobs[job.id] = job
    models = {
        name: ExecutorModel(
            name,
            "quotes",
            checks.callers.describe,
            [],
            admission_check=False,
            report_start=checks.note_start,
        )
        for name in ("i-1", "i-2")
    }
    checks.platform = SimpleNamespace(executors=models)
    return checks, job


def start(checks: Checks, executor: str, position: int = 0, run: int = 1) -> None:
    """Start the first subtask of a step on an executor."""
    job = next(iter(checks.callers.jobs.values()))
    model = checks.platform.executors[executor]
    due_ms = model.clock_ms + 60_000
    subtask = f"{job.id}.0.{position}.0"
    model.begin(StartOrder(subtask, run, f"text of {job.id}", due_ms, 1, ""))


def find_violation(checks: Checks) -> str:
    """Return the text of the only violation, or nothing."""
    return "; ".join(text for text, _ in checks.violations)


async def test_one_run_violates_nothing(autojump_clock, world):
    """Guards against checks that fail without a cause."""
    checks, job = world
    job.accepted_at = trio.current_time()
    start(checks, "i-1")
    await trio.sleep(2)
    checks.note_answer(job, "GET", "d0", 200, "running")
    assert find_violation(checks) == ""


async def test_second_run_is_found(autojump_clock, world):
    """Guards against a subtask that runs twice unnoticed."""
    checks, _ = world
    start(checks, "i-1")
    start(checks, "i-2", run=2)
    assert "run 1 still runs on i-1" in find_violation(checks)


async def test_start_after_an_acknowledged_end_is_found(autojump_clock, world):
    """Guards against work that is repeated after its end was taken note of."""
    checks, _ = world
    start(checks, "i-1")
    await trio.sleep(2)
    checks.platform.executors["i-1"].handle_hold(None, 1, 1)
    start(checks, "i-2", run=2)
    assert "the end of run 1 was acknowledged" in find_violation(checks)


async def test_wrong_order_of_steps_is_found(autojump_clock, world):
    """Guards against a step that starts before the steps that it waits for."""
    checks, _ = world
    start(checks, "i-1", position=1)
    assert "of an earlier step has not ended" in find_violation(checks)


async def test_start_of_a_refused_job_is_found(autojump_clock, world):
    """Guards against a refusal that is not true."""
    checks, job = world
    job.refusals = 1
    start(checks, "i-1")
    assert "the job was refused" in find_violation(checks)


async def test_start_after_a_cancel_is_found(autojump_clock, world):
    """Guards against a cancelled job that goes on."""
    checks, job = world
    job.cancelled_at = trio.current_time()
    await trio.sleep(60)
    start(checks, "i-1")
    assert "the job's cancel was acknowledged 60." in find_violation(checks)


async def test_start_without_room_is_found(autojump_clock, world):
    """Guards against an executor that gets more than it has room for."""
    checks, _ = world
    checks.platform.executors["i-1"].capacity = Resources(500, 256)
    start(checks, "i-1")
    assert "the executor is over its room" in find_violation(checks)


async def test_excess_of_a_tenant_is_found(autojump_clock, world):
    """Guards against a tenant that has more at work than its maximum."""
    checks, job = world
    job.tenant = "latch"
    job.behaviours[0] = SubtaskBehaviour(1.0, size=Resources(9000, 256))
    start(checks, "i-1")
    assert find_violation(checks) == ""
    job.steps[0]["Count"] = 9
    model = checks.platform.executors["i-2"]
    for run in range(3):
        due_ms = model.clock_ms + 60_000
        subtask = f"{job.id}.0.0.{run + 1}"
        model.begin(StartOrder(subtask, 1, f"text of {job.id}", due_ms, 1, ""))
    assert "latch has 36000m at work" in find_violation(checks)


@pytest.mark.parametrize(
    ("status", "state", "expected"),
    [
        (410, "", "does not know job"),
        (200, "completed", "is shown as completed and is not"),
        (200, "cancelled", "is shown as cancelled, nobody did"),
        (200, "failed", "is shown as failed without a cause"),
    ],
)
async def test_wrong_answers_are_found(autojump_clock, world, status, state, expected):
    """Guards against daemons that tell callers what is not the case."""
    checks, job = world
    job.accepted_at = trio.current_time()
    await trio.sleep(10)
    checks.note_answer(job, "GET", "d0", status, state)
    assert expected in find_violation(checks)


async def test_work_that_stays_away_is_found(autojump_clock, world):
    """Guards against a lasting subtask that does not run although there is room."""
    checks, job = world
    job.accepted_at = trio.current_time()
    await trio.sleep(1)
    await checks.settle()
    assert "is not at work, free: i-1" in find_violation(checks)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_stopped_soak_leaves_no_process(tmp_path, number):
    """Guards against daemons that outlive the soak that started them."""
    soak = subprocess.Popen(
        [sys.executable, "-m", "emulator.soak", "--directory", str(tmp_path)],
        stdout=subprocess.DEVNULL,
    )
    children = Path(f"/proc/{soak.pid}/task/{soak.pid}/children")
    give_up_at = time.monotonic() + TIMEOUT_SECONDS
    while len(daemons := children.read_text().split()) < 4:
        assert time.monotonic() < give_up_at
        time.sleep(0.1)
    soak.send_signal(number)
    assert soak.wait(TIMEOUT_SECONDS) == 128 + number
    assert not any(Path(f"/proc/{daemon}").exists() for daemon in daemons)


async def test_daemons_keep_their_promises_beside_faults(tmp_path):
    """Guards against a break between real processes, under faults from outside."""
    soak = await run_soak(CI_SEED, CI_MINUTES, CI_DAEMONS, tmp_path)
    assert not soak.checks.violations, "\n".join(soak.report())
    assert sum(map(len, soak.checks.runs.values())) > 0
