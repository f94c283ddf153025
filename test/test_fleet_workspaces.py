"""Shares of workspaces in a pool that lacks room, on virtual time."""

import random
from statistics import mean, median

import attrs
import pytest
import trio
import trio.testing
from loguru import logger
from prometheus_client import REGISTRY

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet import placement
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.model import JobSpec, Resources, Tenant
from hemlockstand.fleet.policy.placing import PoolRoom, order_by_shares
from hemlockstand.fleet.policy.shares import PoolShares, find_level, measure_shares
from hemlockstand.fleet.policy.usage import Usage
from hemlockstand.fleet.policy.waiting import Standing, StepRank, Timeliness
from hemlockstand.fleet.share_report import ShareReporter
from hemlockstand.fleet.work import Job, StepRun, Subtask
from test.fleet_world import SMALL, make_config, make_step, open_world

SECONDS = 0.5
SUBTASKS = 8
# Objective of such a job by the queue of ``make_config``.
OBJECTIVE_SECONDS = 1.6 * SECONDS + 0.6
EXECUTORS = 4  # each runs 16 subtasks at a time
CORES = EXECUTORS * 16
JOBS_PER_SECOND = CORES / SUBTASKS / SECONDS


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


def weigh(world, weights: dict[str, float]) -> None:
    """Configure workspaces with weights."""
    tenants = {
        name: Tenant(name, frozenset(), weight, Resources())
        for name, weight in weights.items()
    }
    world.configuration.current = attrs.evolve(make_config(), tenants=tenants)


async def start(world, weights: dict[str, float]) -> None:
    """Start executors and a scheduler with workspaces."""
    weigh(world, weights)
    for _ in range(EXECUTORS):
        world.add_executor()
    world.start_daemon("a")
    await trio.sleep(3)


def submit(world, tenant: str, seconds: float = SECONDS, count: int = SUBTASKS) -> str:
    """Submit a job that is accepted now."""
    return world.submit(
        make_step(count, seconds),
        work=SubtaskBehaviour(seconds, size=SMALL),
        tenant=tenant,
        accepted_ms=int(trio.current_time() * 1000),
    )


async def send(world, jobs, tenant: str, per_second: float, seconds: float) -> None:
    """Submit jobs at random times; add their times of submission to ``jobs``."""
    times = random.Random(tenant)
    ends_at = trio.current_time() + seconds
    await trio.sleep(times.expovariate(per_second))
    while trio.current_time() < ends_at:
        jobs[submit(world, tenant)] = (tenant, trio.current_time())
        await trio.sleep(times.expovariate(per_second))


async def replay(weights, rates, seconds: float = 10.0) -> dict[str, list[float]]:
    """Return how long the jobs of each workspace took, still open ones infinite."""
    jobs: dict[str, tuple[str, float]] = {}
    async with open_world() as world:
        await start(world, weights)
        async with trio.open_nursery() as nursery:
            for tenant, per_second in rates.items():
                nursery.start_soon(send, world, jobs, tenant, per_second, seconds)
        await trio.sleep(10)
        ended: dict[str, list[float]] = {job: [] for job in jobs}
        for model in world.executors.values():
            model.advance()
        for run in world.records:
            ended[run.subtask.split(".")[0]].append(run.ended_at or float("inf"))
        world.check_runs()
    times: dict[str, list[float]] = {tenant: [] for tenant in rates}
    for job, (tenant, submitted_at) in jobs.items():
        complete = len(ended[job]) == SUBTASKS
        end = max(ended[job]) if complete else float("inf")
        times[tenant].append(end - submitted_at)
    return times


def find_median(times: dict[str, list[float]], tenants: str) -> float:
    """Return the median of the times of some workspaces."""
    return median(time for tenant in tenants for time in times[tenant])


def count_in_time(times: dict[str, list[float]]) -> int:
    """Return how many jobs were complete within their objective."""
    return sum(time <= OBJECTIVE_SECONDS for each in times.values() for time in each)


async def test_workspace_beside_a_busy_one_is_not_starved(clock):
    """Guards against 30 jobs a second that make the 2 a second of another late."""
    alone = await replay({"small": 1, "busy": 1}, {"small": 2})
    beside = await replay({"small": 1, "busy": 1}, {"small": 2, "busy": 30})
    assert median(beside["small"]) <= 1.2 * median(alone["small"])
    assert max(beside["small"]) <= OBJECTIVE_SECONDS


async def test_flood_of_one_workspace_delays_itself_alone(clock):
    """Guards against a workspace at ten times its load that delays others."""
    usual = dict.fromkeys("abcd", 2.0)
    weights = dict.fromkeys(usual, 1.0)
    before = await replay(weights, usual)
    after = await replay(weights, {**usual, "d": 20.0})
    assert find_median(after, "abc") <= 1.2 * find_median(before, "abc")
    for name in "abc":
        assert max(after[name]) <= OBJECTIVE_SECONDS
    # The others leave room for half of the flood. It must be late with much of the
    # rest, and in time with so much that no room was lost to the shares.
    late = sum(time > OBJECTIVE_SECONDS for time in after["d"])
    assert 0.4 * len(after["d"]) <= late <= 0.5 * len(after["d"])


@pytest.mark.parametrize("weight", [1.0, 10.0])
async def test_turn_of_several_workspaces_serves_almost_as_many(
    clock, monkeypatch, weight
):
    """Guards against shares that make a pool complete fewer jobs in time.

    Both workspaces send more than the pool can run.
    """
    weights, rates = {"a": 1.0, "b": weight}, {"a": 20.0, "b": 20.0}
    by_share = await replay(weights, rates, 5.0)
    with monkeypatch.context() as patches:
        patches.setattr(placement, "measure_shares", lambda *args: None)
        by_deadline = await replay(weights, rates, 5.0)
    assert count_in_time(by_share) >= 0.95 * count_in_time(by_deadline)


@pytest.mark.parametrize("weight", [1.0, 3.0])
@pytest.mark.parametrize("backlog", ["at once", "steady"])
async def test_workspaces_with_work_get_their_weights(clock, weight, backlog):
    """Guards against shares that follow what is sent rather than the weights."""
    async with open_world() as world:
        await start(world, {"light": 1.0, "heavy": weight})
        async with trio.open_nursery() as nursery:
            jobs: dict[str, tuple[str, float]] = {}
            if backlog == "at once":
                for _ in range(200):
                    submit(world, "light")
                    submit(world, "light")
                    submit(world, "heavy")
            else:
                nursery.start_soon(send, world, jobs, "light", 50.0, 14)
                nursery.start_soon(send, world, jobs, "heavy", 25.0, 14)
            await trio.sleep(4)
            used = {"light": 0, "heavy": 0}
            tenants = world.daemons["a"].leader.state.registry.jobs
            for _ in range(100):
                await trio.sleep(0.1)
                for run in world.find_running():
                    job = tenants[run.subtask.split(".")[0]]
                    used[job.spec.tenant] += 1
        share = used["heavy"] / sum(used.values())
        assert share == pytest.approx(weight / (1 + weight), abs=0.05)
        assert sum(used.values()) >= 0.9 * 100 * CORES


async def test_unused_share_is_used_and_returned_at_once(clock):
    """Guards against room that stays empty, or is not given back."""
    async with open_world() as world:
        await start(world, {"usual": 1.0, "burst": 1.0})
        submitted, running = {}, []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, world, {}, "burst", 40.0, 6)
            await trio.sleep(2)
            for _ in range(6):
                submitted[submit(world, "usual")] = trio.current_time()
                for _ in range(20):
                    await trio.sleep(0.03)
                    running.append(len(world.find_running()))
        waits = [
            max(run.began_at for run in world.records if run.subtask.startswith(job))
            - at
            for job, at in submitted.items()
        ]
        assert mean(running) >= 0.9 * CORES
        # An eighth of the pool is free after an eighth of a run, on average.
        assert median(waits) <= SECONDS / 4


async def test_room_of_one_round_is_shared(clock):
    """Guards against a round in which one workspace takes all the free room."""
    async with open_world() as world:
        await start(world, {"first": 1.0, "second": 1.0})
        for tenant in ("first", "second"):
            submit(world, tenant, 5.0, 60)
        await world.wait_for(lambda: len(world.find_running()) >= 0.9 * CORES, 1.0)
        found = world.daemons["a"].leader.state.registry.ledger.by_pool["pool"]
        used = [found[name].running[0] / 1000 for name in ("first", "second")]
        assert max(used) <= 0.6 * CORES


async def count_starts(
    world, tenant: str, after: float, seconds: float
) -> tuple[int, int]:
    """Return the starts of a workspace and those of all within some time."""
    await trio.sleep(seconds)
    jobs = world.daemons["a"].leader.state.registry.jobs
    tenants = [
        jobs[run.subtask.split(".")[0]].spec.tenant
        for run in world.records
        if run.began_at >= after
    ]
    return tenants.count(tenant), len(tenants)


def allow_time(world) -> None:
    """Configure an objective in which all jobs of a test are in time."""
    config = world.configuration.current
    queue = attrs.evolve(config.queues[0], objective_ms=30_000)
    world.configuration.current = attrs.evolve(config, queues=(queue,))


@pytest.mark.parametrize(("wanted", "expected"), [(20, 20), (200, 190)])
async def test_large_step_that_has_begun_leaves_others_their_share(
    clock, wanted, expected
):
    """Guards against a begun step that takes the pool, and a last subtask left."""
    async with open_world() as world:
        await start(world, {"large": 1.0, "other": 1.0})
        allow_time(world)
        submit(world, "large", count=1500)
        await trio.sleep(1)
        started_at = trio.current_time()
        submit(world, "other", count=wanted)
        starts, _ = await count_starts(world, "other", started_at, 6)
        assert starts >= expected


async def test_second_steps_do_not_exceed_the_share(clock):
    """Guards against steps that count as begun because others came before."""
    async with open_world() as world:
        await start(world, {"chain": 1.0, "single": 1.0})
        allow_time(world)
        started_at = trio.current_time()
        work = SubtaskBehaviour(SECONDS, size=SMALL)
        chain = make_step(1, SECONDS), make_step(15, SECONDS, after=(0,))
        for _ in range(100):
            accepted_ms = int(trio.current_time() * 1000)
            world.submit(*chain, work=work, tenant="chain", accepted_ms=accepted_ms)
            submit(world, "single", count=16)
            await trio.sleep(0.1)
        starts, total = await count_starts(world, "single", started_at, 0)
        assert starts / total == pytest.approx(0.5, abs=0.1)


async def test_round_on_a_full_pool_costs_little_for_shares(clock, monkeypatch):
    """Guards against shares that are measured, or judged, many times in a round."""
    async with open_world() as world:
        await start(world, {"a": 1.0, "b": 2.0, "c": 4.0})
        for _ in range(34):
            for tenant in "abc":
                submit(world, tenant, 5.0)
        await world.wait_for(lambda: len(world.find_running()) == CORES, 4)
        await trio.sleep(1)
        leader = world.daemons["a"].leader
        waiting = len(leader.state.registry.ready)
        assert waiting > 80
        calls = []
        find_standing = PoolShares.find_standing
        monkeypatch.setattr(
            PoolShares,
            "find_standing",
            lambda *args: calls.append(args) or find_standing(*args),
        )
        has_room = []
        monkeypatch.setattr(Executor, "has_room", lambda *args: has_room.append(args))
        assert not list(leader._placer.place(leader.state.config, leader.state.clock()))
        assert leader._placer.shares
        # Once when a step is first met, and again in the queue of its standing.
        assert len(calls) <= 2 * waiting
        assert len(has_room) <= EXECUTORS


async def test_usage_is_counted_again_after_a_takeover(clock):
    """Guards against a next scheduler that starts from empty shares."""
    async with open_world() as world:
        await start(world, {"small": 1.0, "busy": 1.0})
        jobs: dict[str, tuple[str, float]] = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, world, jobs, "busy", 30.0, 9)
            nursery.start_soon(send, world, jobs, "small", 2.0, 9)
            await trio.sleep(3)
            world.kill(world.daemons["a"])
            world.start_daemon("b")
        await trio.sleep(1)
        leader = world.daemons["b"].leader
        usage = leader.state.registry.ledger.by_pool["pool"]
        counted = sum(used.running[0] for used in usage.values()) / 1000
        assert counted == pytest.approx(len(world.find_running()), abs=8)
        late = [job for job, (tenant, at) in jobs.items() if tenant == "small"]
        assert all(world.state(job) == "completed" for job in late[-4:])
        world.check_runs()


async def test_executor_that_returns_counts_once(clock):
    """Guards against usage that grows with each lost and repeated run."""
    async with open_world() as world:
        await start(world, {"small": 1.0, "busy": 1.0})
        for tenant in ("small", "busy"):
            for _ in range(6):
                submit(world, tenant, 4.0)
        await trio.sleep(1)
        model = next(iter(world.executors.values()))
        model.unresponsive = True
        await trio.sleep(7)
        model.unresponsive = False
        await trio.sleep(12)
        ledger = world.daemons["a"].leader.state.registry.ledger
        assert not ledger.needs
        for usage in ledger.by_pool.get("pool", {}).values():
            assert usage.running == [0, 0, 0]
        world.check_runs()


async def record_starts(tenants: str, load: float) -> str:
    """Return the starts of a turn of random jobs, as text."""
    draws = random.Random(5)
    async with open_world() as world:
        await start(world, dict.fromkeys(tenants, 1.0))
        lines = []
        for _ in range(int(load * 100)):
            tenant = draws.choice(tenants)
            submit(world, tenant, draws.uniform(0.1, 1.5), draws.choice((1, 2, 4, 12)))
            await trio.sleep(draws.expovariate(load * CORES / 0.8 / 4.75))
        await trio.sleep(5)
        for run in world.records:
            at = round(run.began_at, 3)
            lines.append(f"{at} {run.subtask} {run.executor} {run.number}")
    return "\n".join(lines)


def run_recording(tenants: str, load: float) -> str:
    """Record starts with a clock and an order of tasks that begin anew."""
    trio._core._run._r.seed(0)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(record_starts, tenants, load, clock=clock)


def compare_starts(monkeypatch, tenants: str, load: float) -> bool:
    """Return whether a turn has the same starts with shares and without."""
    monkeypatch.setattr("time.time", trio.current_time)
    with_shares = run_recording(tenants, load)
    monkeypatch.setattr(placement, "measure_shares", lambda *view: None)
    without_shares = run_recording(tenants, load)
    assert with_shares.count("\n") >= 50
    return with_shares == without_shares


@pytest.mark.parametrize(("tenants", "load"), [("a", 2.0), ("abc", 0.2)])
def test_starts_without_contention_are_unchanged(monkeypatch, tenants, load):
    """Guards against another order where one workspace waits or all have room."""
    assert compare_starts(monkeypatch, tenants, load)


def test_starts_under_contention_are_changed(monkeypatch):
    """Guards against a comparison that could not find a difference."""
    assert not compare_starts(monkeypatch, "abc", 2.0)


def test_shares_without_contention_are_not_measured():
    """Guards against another order while all that waits has room."""
    wants = {"a": (4000, 100, 0), "b": (4000, 100, 0)}
    assert measure_shares(wants, {}, {}, (8000, 1000, 0)) is None
    assert measure_shares(wants, {}, {}, (7999, 1000, 0)) is not None


def test_order_holds_while_no_workspace_exceeds_its_share():
    """Guards against steps that change places in a pool that lacks room."""
    wants = {"a": (6000, 0, 0), "b": (6000, 0, 0)}
    usages = {"a": Usage([3000, 0, 0]), "b": Usage([3500, 0, 0], recent=[3500.0, 0, 0])}
    room = PoolRoom([], shares=measure_shares(wants, usages, {}, (6000, 0, 0)))
    order = []
    for timeliness in Timeliness:
        for tenant in "abab":
            spec = JobSpec(str(len(order)), "q", "p", tenant, "", (make_step(),))
            step_run = StepRun(Job(spec, 1), 0, 0, spec.steps[0])
            if order:
                # Only the first step has begun.
                step_run.waiting[0] = Subtask(step_run, 0, f"{spec.id}.0.0.0")
            late = timeliness is Timeliness.WORTHLESS
            rank = StepRank(
                True, late, 0, Standing.BELOW, timeliness, bool(order), len(order), 0
            )
            order.append((rank, step_run, room))
    assert list(order_by_shares(order)) == order
    # Above its share, but not by so much that steps that have begun wait as well.
    room.shares.add_placed("a", Resources(4500))
    changed = list(order_by_shares(order))
    # The step that has begun, those in time and the late ones, each of b before a.
    tenants = [item[1].job.spec.tenant for item in changed[:12]]
    assert tenants == list("abbbbaaabbaa")


def test_share_is_that_of_the_dominant_resource():
    """Guards against a workspace that takes all memory with little cpu."""
    wants = {"cpu": (64_000, 1000, 0), "memory": (1000, 64_000, 0)}
    shares = measure_shares(
        wants, {"memory": Usage([500, 32_000, 0])}, {}, (64_000, 32_000, 0)
    )
    assert not shares.workspaces["cpu"].above
    assert shares.workspaces["memory"].share < 1.0


def test_what_one_does_not_need_is_part_of_the_others_shares():
    """Guards against unused shares that nobody may use."""
    demands = [(1.0, (0.1, 0.0, 0.0)), (1.0, (2.0, 0.0, 0.0)), (2.0, (2.0, 0.0, 0.0))]
    assert find_level(demands) == pytest.approx(0.3)
    assert find_level(demands[:1]) == float("inf")


def test_report_names_a_flood_once_and_forgets_it():
    """Guards against a log line for each round, and metrics that stay."""
    wants = {"a": (64_000, 0, 0), "b": (1000, 0, 0)}
    usages = {"a": Usage([60_000, 0, 0])}
    shares = {"pool": measure_shares(wants, usages, {}, (500, 0, 0))}
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(line), level="INFO")
    try:
        reporter = ShareReporter(shares)
        for now in (0.0, 0.1, 0.6, 1.2):
            reporter.report(now)
        labels = {"pool": "pool", "workspace": "a"}
        shown = REGISTRY.get_sample_value("hemlockstand_use_of_pool", labels)
        assert shown == pytest.approx(60 / 60.5, abs=0.15)
        shares.clear()
        reporter.report(1.8)
        assert REGISTRY.get_sample_value("hemlockstand_use_of_pool", labels) is None
    finally:
        logger.remove(sink)
    assert sum("above its share" in line for line in lines) == 1
