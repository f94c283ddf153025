"""Placement rounds keep their guarantees through failures and races."""

from datetime import UTC, date, datetime

import pytest
import trio
from attrs import define, evolve, field

from emulator.local_workers import LocalWorkers
from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.jobs.placement import CandidateWorker
from hemlockstand.jobs.records import (
    DemandedRun,
    decode_work,
    encode_work,
    name_task,
)
from hemlockstand.jobs.round_changes import RoundChanges
from hemlockstand.jobs.rounds import PoolRounds
from hemlockstand.jobs.shapes import add_shapes
from hemlockstand.jobs.store import JobStore
from hemlockstand.model import Configuration, Job, Pool, PoolKind, Priority, Team
from hemlockstand.platform.interface import Shape
from test.helper import YieldingTable

NOW = datetime(2026, 12, 4, 6, 0, 1, tzinfo=UTC).timestamp()
POOL = "frame-workers"
CAPACITY = Shape(16, 32_000)


def make_job(name, team="frame", cores=4.0, priority=Priority.BATCH, **changes):
    job = Job(
        name, team, POOL, "every 1h", date(2026, 12, 31), priority, cores, 4000, 10
    )
    return evolve(job, **changes)


def make_configuration(*jobs, limit=1.0):
    teams = {
        name: Team(name, name, share=1, request_limit=10, job_limit=limit)
        for name in ("frame", "hinge")
    }
    pools = {POOL: Pool(POOL, PoolKind.WORKERS, ("dc1",), size=4, budget=1)}
    return Configuration(1, None, teams, pools, {}, {job.name: job for job in jobs})


def make_candidates(count=4, prefix="w"):
    return {
        f"{prefix}{index}": CandidateWorker(
            f"{prefix}{index}", f"dc{index % 2}", f"r{index // 2}", CAPACITY
        )
        for index in range(count)
    }


@define
class InterruptedRounds(PoolRounds):
    """Commits a round and is killed or paused before it calls the workers."""

    committed_changes: RoundChanges | None = None

    async def _act(self, round_changes, committed_at):
        self.committed_changes = round_changes


@define
class Harness:
    """Pools on a table and workers in memory, with a clock of its own."""

    table: YieldingTable = field(factory=YieldingTable)
    candidate_workers: dict = field(factory=make_candidates)
    night_candidates: dict = field(factory=lambda: make_candidates(prefix="n"))
    now: float = NOW
    workers: LocalWorkers = field(init=False)

    def __attrs_post_init__(self):
        self.workers = LocalWorkers(lambda: self.now)

    def make_rounds(self, kind=PoolRounds, pool=POOL):
        """Return the rounds of one more daemon on the same table."""
        return kind(
            pool,
            JobStore(self.table),
            self.workers,
            lease_seconds=30,
            headroom=1.3,
            clock=lambda: self.now,
            list_candidates=lambda: (
                self.candidate_workers if pool == POOL else self.night_candidates
            ),
            sum_fleet=lambda: add_shapes(
                candidate.capacity
                for candidate in self.candidate_workers.values()
                if candidate.open
            ),
        )

    async def repeat(self, rounds, configuration, count, seconds=1.0):
        """Run rounds and advance the clock by ``seconds`` after each."""
        for _ in range(count):
            await rounds.run_round(configuration)
            self.now += seconds


@pytest.fixture
def harness():
    return Harness()


async def test_due_job_starts_once_and_finishes(harness):
    """Guards against a run that starts again after it finished."""
    configuration = make_configuration(make_job("report"))
    rounds = harness.make_rounds()
    await harness.repeat(rounds, configuration, 3)
    assert len(harness.workers.started) == 1
    harness.workers.finish("report:20261204T060000Z")
    await harness.repeat(rounds, configuration, 3)
    assert len(harness.workers.started) == 1
    harness.now += 3600
    await harness.repeat(rounds, configuration, 2)
    assert len(harness.workers.started) == 2


async def test_unwanted_job_is_refused_and_counted(harness):
    """Guards against a retired job that still takes workers."""
    retired = make_job("old-report", last_day=date(2026, 12, 3))
    rounds = harness.make_rounds()
    await harness.repeat(rounds, make_configuration(retired), 3)
    assert harness.workers.started == []
    assert rounds.unwanted.counts == {"frame": 1}
    assert rounds.unwanted.instance_hours["frame"] == pytest.approx(10 / 60)


async def test_running_job_that_becomes_unwanted_is_checkpointed(harness):
    """Guards against a task that runs on after its job left the sheet."""
    job = make_job("report")
    rounds = harness.make_rounds()
    await harness.repeat(rounds, make_configuration(job), 2)
    await harness.repeat(rounds, make_configuration(), 3)
    assert harness.workers.count_running("report:20261204T060000Z") == 0
    assert rounds.store.workers["w0"].allocations == {}


async def test_two_daemons_start_a_run_once(harness):
    """Guards against two daemons that both believe they own the pool."""
    configuration = make_configuration(*(make_job(f"job-{n}") for n in range(6)))
    first, second = harness.make_rounds(), harness.make_rounds()
    for _ in range(4):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run_round, configuration)
            nursery.start_soon(second.run_round, configuration)
        harness.now += 1
    names = [task for _, task, _ in harness.workers.started]
    assert sorted(names) == sorted(set(names))
    assert len(names) == 6


async def test_lost_reply_does_not_start_twice(harness):
    """Guards against a commit that took effect although its reply was lost."""
    configuration = make_configuration(make_job("report"))
    rounds = harness.make_rounds()
    await rounds.store.load(["frame"], sorted(harness.candidate_workers))
    harness.table.fail_next(OutcomeUnknown("reply lost"), applied=True)
    assert await rounds.run_round(configuration) is None
    await harness.repeat(rounds, configuration, 4)
    assert len(harness.workers.started) == 1


async def test_next_daemon_sends_the_start_of_a_killed_one(harness):
    """Guards against a run whose daemon dies between commit and start."""
    configuration = make_configuration(make_job("report"))
    killed = harness.make_rounds(InterruptedRounds)
    await killed.run_round(configuration)
    assert harness.workers.started == []
    await harness.repeat(harness.make_rounds(), configuration, 2)
    assert len(harness.workers.started) == 1


async def test_paused_daemon_cannot_start_a_task_that_moved_on(harness):
    """Guards against a delayed start on the old worker beside a new one."""
    configuration = make_configuration(make_job("report"))
    paused = harness.make_rounds(InterruptedRounds)
    await paused.run_round(configuration)
    other = harness.make_rounds()
    team, task = paused.committed_changes.starts[0]
    harness.workers.unreachable = {task.worker}
    await harness.repeat(other, configuration, 2)
    harness.workers.unreachable = set()
    # The next start goes to another worker, so only the stop order makes the
    # first one refuse the delayed start.
    candidate = harness.candidate_workers[task.worker]
    harness.candidate_workers[task.worker] = evolve(candidate, open=False)
    await harness.repeat(other, configuration, 3)
    await paused._start(team, task, trio.current_time())
    assert harness.workers.count_running(task.name) == 1


async def test_outage_leaves_running_work_alone(harness):
    """Guards against an outage that stops or repeats running tasks."""
    configuration = make_configuration(make_job("report"))
    rounds = harness.make_rounds()
    await harness.repeat(rounds, configuration, 2)
    harness.table.fail_next(PlatformUnavailable("table is down"))
    rounds.store.forget()
    with pytest.raises(PlatformUnavailable):
        await rounds.run_round(configuration)
    await harness.repeat(rounds, configuration, 2)
    assert harness.workers.count_running("report:20261204T060000Z") == 1
    assert len(harness.workers.started) == 1


async def test_job_that_never_runs_is_parked(harness):
    """Guards against a job that always fails and is started over and over."""
    harness.workers.broken_jobs = {"broken"}
    configuration = make_configuration(make_job("broken"), make_job("good"))
    rounds = harness.make_rounds()
    await harness.repeat(rounds, configuration, 40)
    starts = [task for _, task, _ in harness.workers.started if "broken" in task]
    assert len(starts) <= 5
    assert "broken" in rounds.store.works["frame"].parked
    assert all(worker.quarantine is None for worker in rounds.store.workers.values())


async def test_worker_that_fails_everything_is_quarantined(harness):
    """Guards against a worker that fails fast and so attracts all starts."""
    harness.workers.broken = {"w1"}
    jobs = [make_job(f"job-{n}", cores=1.0) for n in range(20)]
    rounds = harness.make_rounds()
    await harness.repeat(rounds, make_configuration(*jobs), 60, seconds=20)
    starts = [worker for worker, _, _ in harness.workers.started if worker == "w1"]
    assert 1 <= len(starts) <= 5
    assert rounds.store.workers["w1"].quarantine is not None
    assert rounds.store.works["frame"].parked == {}
    running = sum(
        harness.workers.count_running(f"job-{n}:20261204T060000Z") for n in range(20)
    )
    assert running == 20


async def test_urgent_run_displaces_the_cheapest_batch_task(harness):
    """Guards against urgent work that waits for a full pool."""
    batch = [make_job(f"job-{n}", cores=8.0) for n in range(8)]
    rounds = harness.make_rounds()
    await harness.repeat(rounds, make_configuration(*batch), 2)
    assert len(harness.workers.started) == 8
    urgent = make_job("urgent", "hinge", 8.0, Priority.URGENT)
    outcome = await rounds.run_round(make_configuration(*batch, urgent))
    assert outcome.placed == 1
    assert harness.workers.count_running("urgent:20261204T060000Z") == 1
    for worker in rounds.store.workers.values():
        free = worker.measure_free(CAPACITY)
        assert free.cores >= 0


async def test_team_limit_holds_across_daemons(harness):
    """Guards against two daemons that exceed a team's limit together."""
    jobs = [make_job(f"job-{n}", cores=4.0) for n in range(16)]
    configuration = make_configuration(*jobs, limit=0.25)
    first, second = harness.make_rounds(), harness.make_rounds()
    for _ in range(6):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run_round, configuration)
            nursery.start_soon(second.run_round, configuration)
        harness.now += 1
    assert len(harness.workers.started) == 4


async def test_team_limit_holds_across_pools(harness):
    """Guards against two pools whose daemons each see the limit unused."""
    pools = (POOL, "night-workers")
    jobs = [
        make_job(f"{pool}-{n}", cores=4.0, pool=pool)
        for pool in pools
        for n in range(8)
    ]
    configuration = make_configuration(*jobs, limit=0.25)
    daemons = [harness.make_rounds(pool=pool) for pool in pools]
    for _ in range(6):
        async with trio.open_nursery() as nursery:
            for daemon in daemons:
                nursery.start_soon(daemon.run_round, configuration)
        harness.now += 1
    assert len(harness.workers.started) == 4


async def test_overcommitted_worker_checkpoints_batch_first(harness):
    """Guards against a worker that is left overcommitted."""
    harness.candidate_workers = make_candidates(1)
    harness.workers.usage = {"small": Shape(2, 4000), "greedy": Shape(15, 4000)}
    jobs = [make_job("small", priority=Priority.INTERACTIVE), make_job("greedy")]
    rounds = harness.make_rounds()
    await harness.repeat(rounds, make_configuration(*jobs), 2)
    assert harness.workers.count_running("greedy:20261204T060000Z") == 0
    assert harness.workers.count_running("small:20261204T060000Z") == 1


async def test_placement_costs_at_most_two_writes(harness):
    """Guards against placement that overloads the store with writes."""
    jobs = [make_job(f"job-{n}", cores=1.0) for n in range(12)]
    rounds = harness.make_rounds()
    await rounds.run_round(make_configuration(*jobs))
    assert rounds.store.writes <= 2 * len(harness.workers.started)


async def _demand_run(harness, job, run="20261204T055500.000000Z"):
    """Add a demanded run to the team's row, as the jobs service does."""
    row = await harness.table.read(f"work/{job.team}")
    work = decode_work(job.team, row)
    task = name_task(job.name, run)
    demanded_run = DemandedRun(job.name, run, harness.now)
    changed = work.with_demanded({**work.demanded, task: demanded_run})
    await harness.table.transact([encode_work(changed)])
    return task


async def test_demanded_run_is_not_lost_with_its_worker(harness):
    """Guards against a run on demand that is lost when its lease ends."""
    job = make_job("once", schedule="on demand")
    task = await _demand_run(harness, job)
    rounds = harness.make_rounds()
    await harness.repeat(rounds, make_configuration(job), 2)
    harness.now += 31  # the lease ends while nobody renews it
    await harness.repeat(rounds, make_configuration(job), 3)
    assert harness.workers.count_running(task) == 1
    harness.workers.finish(task)
    await harness.repeat(rounds, make_configuration(job), 3)
    assert len(harness.workers.started) == 2


async def test_demanded_run_that_failed_is_retried(harness):
    """Guards against a run on demand that is lost after one failed start."""
    job = make_job("once", schedule="on demand")
    task = await _demand_run(harness, job)
    harness.workers.broken = {"w0"}
    await harness.repeat(harness.make_rounds(), make_configuration(job), 4)
    assert harness.workers.count_running(task) == 1
    assert [worker for worker, _, _ in harness.workers.started][0] == "w0"


async def test_older_run_that_ends_late_does_not_repeat_a_newer_one(harness):
    """Guards against a finished run that becomes due again."""
    job = make_job("report")
    demanded_task = await _demand_run(harness, job)
    rounds = harness.make_rounds()
    await harness.repeat(rounds, make_configuration(job), 2)
    harness.workers.finish("report:20261204T060000Z")
    await harness.repeat(rounds, make_configuration(job), 2)
    harness.workers.finish(demanded_task)
    await harness.repeat(rounds, make_configuration(job), 3)
    assert len(harness.workers.started) == 2


async def test_run_on_a_worker_that_left_the_list_is_due_again(harness):
    """Guards against a run that counts as running for ever."""
    configuration = make_configuration(make_job("report"))
    await harness.repeat(harness.make_rounds(), configuration, 2)
    worker, task, _ = harness.workers.started[0]
    del harness.candidate_workers[worker]
    harness.workers.unreachable = {worker}
    await harness.repeat(harness.make_rounds(), configuration, 50)
    assert [name for _, name, _ in harness.workers.started] == [task, task]
    assert harness.workers.started[1][0] != worker


async def test_observation_starts_again_after_a_pause(harness):
    """Guards against a task that moves although another daemon renews it.

    The first daemon cannot reach the worker before and after a pause that is
    longer than the lease; the second one renews the lease meanwhile.
    """
    configuration = make_configuration(make_job("report"))
    paused, other = harness.make_rounds(), harness.make_rounds()
    await harness.repeat(paused, configuration, 2)
    worker, task, _ = harness.workers.started[0]
    harness.workers.unreachable = {worker}
    await harness.repeat(paused, configuration, 1)
    harness.workers.unreachable = set()
    await harness.repeat(other, configuration, 50)
    harness.workers.unreachable = {worker}
    # A second start, if there were one, would go to another worker.
    harness.candidate_workers[worker] = evolve(
        harness.candidate_workers[worker], open=False
    )
    await harness.repeat(paused, configuration, 3)
    harness.workers.unreachable = set()
    assert harness.workers.count_running(task) == 1
    assert len(harness.workers.started) == 1


@pytest.mark.parametrize("allowed", [0, 4, 12])
async def test_round_stays_within_its_writes(harness, allowed):
    """Guards against a backlog that is written at once after an outage."""
    jobs = [make_job(f"job-{number}", cores=1.0) for number in range(12)]
    configuration = make_configuration(*jobs)
    rounds = harness.make_rounds()
    write_counts = []
    for _ in range(12):
        before = rounds.store.writes
        await rounds.run_round(configuration, allowed)
        write_counts.append(rounds.store.writes - before)
        harness.now += 6
    assert max(write_counts) <= allowed
    assert len(harness.workers.started) == (12 if allowed else 0)
    for task in list(harness.workers.list_running()):
        harness.workers.finish(task)
    for _ in range(12):
        before = rounds.store.writes
        await rounds.run_round(configuration, allowed)
        write_counts.append(rounds.store.writes - before)
        harness.now += 6
    assert max(write_counts) <= allowed
    assert len(rounds.store.works["frame"].last_run) == (12 if allowed else 0)


async def test_leases_are_renewed_without_any_writes(harness):
    """Guards against leases that end because no writes are left."""
    rounds = harness.make_rounds()
    configuration = make_configuration(make_job("report"))
    await rounds.run_round(configuration)
    for _ in range(20):
        harness.now += 5
        await rounds.run_round(configuration, 0)
    assert harness.workers.count_running("report:20261204T060000Z") == 1


class CountingWorkers(LocalWorkers):
    """Counts calls for reports and can fail them as a whole."""

    calls = 0
    down = False

    async def reports(self, workers):
        self.calls += 1
        if self.down:
            raise PlatformUnavailable("reports are down")
        return await super().reports(workers)


async def test_reports_of_a_pool_are_one_call_and_no_more_often_than_set(harness):
    """Guards against a call for each worker in each round."""
    configuration = make_configuration(*(make_job(f"j{n}") for n in range(6)))
    harness.workers = CountingWorkers(lambda: harness.now)
    rounds = harness.make_rounds()
    rounds.report_seconds = 2.0
    await harness.repeat(rounds, configuration, 1)
    assert len({worker for worker, _, _ in harness.workers.started}) > 1
    harness.workers.calls = 0
    await harness.repeat(rounds, configuration, 12, seconds=0.5)
    assert harness.workers.calls == 3
    harness.workers.finish("j0:20261204T060000Z")
    harness.now += 2
    await harness.repeat(rounds, configuration, 1)
    (work,) = rounds.store.works.values()
    assert list(work.last_run) == ["j0"]


async def test_failure_of_all_reports_ends_no_task(harness):
    """Guards against a failed call that is taken for the end of all tasks."""
    configuration = make_configuration(make_job("report"))
    harness.workers = CountingWorkers(lambda: harness.now)
    rounds = harness.make_rounds()
    await harness.repeat(rounds, configuration, 2)
    harness.workers.down = True
    await harness.repeat(rounds, configuration, 60)
    harness.workers.down = False
    assert len(harness.workers.started) == 1
    (work,) = rounds.store.works.values()
    assert len(work.running) == 1
