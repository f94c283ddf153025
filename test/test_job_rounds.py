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
class SilentRounds(PoolRounds):
    """Commits a round and is killed or paused before it tells the workers."""

    kept: RoundChanges | None = None

    async def _act(self, draft, committed_at):
        self.kept = draft


@define
class Bench:
    """A pool with in-memory table and workers and a clock of its own."""

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
                site.capacity for site in self.candidate_workers.values() if site.open
            ),
        )

    async def repeat(self, rounds, configuration, count, seconds=1.0):
        """Run rounds one second apart, unless stated otherwise."""
        for _ in range(count):
            await rounds.run_round(configuration)
            self.now += seconds


@pytest.fixture
def bench():
    return Bench()


async def test_due_job_starts_once_and_finishes(bench):
    """Guards against a run that starts again after it finished."""
    configuration = make_configuration(make_job("report"))
    rounds = bench.make_rounds()
    await bench.repeat(rounds, configuration, 3)
    assert len(bench.workers.started) == 1
    bench.workers.finish("report:20261204T060000Z")
    await bench.repeat(rounds, configuration, 3)
    assert len(bench.workers.started) == 1
    bench.now += 3600
    await bench.repeat(rounds, configuration, 2)
    assert len(bench.workers.started) == 2


async def test_unwanted_job_is_refused_and_counted(bench):
    """Guards against retired jobs that hold instances."""
    retired = make_job("old-report", last_day=date(2026, 12, 3))
    rounds = bench.make_rounds()
    await bench.repeat(rounds, make_configuration(retired), 3)
    assert bench.workers.started == []
    assert rounds.unwanted.counts == {"frame": 1}
    assert rounds.unwanted.instance_hours["frame"] == pytest.approx(10 / 60)


async def test_running_job_that_becomes_unwanted_is_checkpointed(bench):
    """Guards against a job that outlives its last wanted day."""
    job = make_job("report")
    rounds = bench.make_rounds()
    await bench.repeat(rounds, make_configuration(job), 2)
    await bench.repeat(rounds, make_configuration(), 3)
    assert bench.workers.count_running("report:20261204T060000Z") == 0
    assert rounds.store.workers["w0"].allocations == {}


async def test_two_daemons_start_a_run_once(bench):
    """Guards against two daemons that both believe they own the pool."""
    configuration = make_configuration(*(make_job(f"job-{n}") for n in range(6)))
    first, second = bench.make_rounds(), bench.make_rounds()
    for _ in range(4):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run_round, configuration)
            nursery.start_soon(second.run_round, configuration)
        bench.now += 1
    names = [task for _, task, _ in bench.workers.started]
    assert sorted(names) == sorted(set(names))
    assert len(names) == 6


async def test_lost_reply_does_not_start_twice(bench):
    """Guards against a commit that took effect although its reply was lost."""
    configuration = make_configuration(make_job("report"))
    rounds = bench.make_rounds()
    await rounds.store.load(["frame"], sorted(bench.candidate_workers))
    bench.table.fail_next(OutcomeUnknown("reply lost"), applied=True)
    assert await rounds.run_round(configuration) is None
    await bench.repeat(rounds, configuration, 4)
    assert len(bench.workers.started) == 1


async def test_next_daemon_sends_the_start_of_a_killed_one(bench):
    """Guards against a run that is lost between commit and start."""
    configuration = make_configuration(make_job("report"))
    killed = bench.make_rounds(SilentRounds)
    await killed.run_round(configuration)
    assert bench.workers.started == []
    await bench.repeat(bench.make_rounds(), configuration, 2)
    assert len(bench.workers.started) == 1


async def test_paused_daemon_cannot_start_a_task_that_moved_on(bench):
    """Guards against a late start on the old worker beside the new one."""
    configuration = make_configuration(make_job("report"))
    paused = bench.make_rounds(SilentRounds)
    await paused.run_round(configuration)
    other = bench.make_rounds()
    team, task = paused.kept.starts[0]
    bench.workers.unreachable = {task.worker}
    await bench.repeat(other, configuration, 2)
    bench.workers.unreachable = set()
    # The next start goes elsewhere, so only the stop fences the first off.
    site = bench.candidate_workers[task.worker]
    bench.candidate_workers[task.worker] = evolve(site, open=False)
    await bench.repeat(other, configuration, 3)
    await paused._start(team, task, trio.current_time())
    assert bench.workers.count_running(task.name) == 1


async def test_outage_leaves_running_work_alone(bench):
    """Guards against an outage that stops or repeats running tasks."""
    configuration = make_configuration(make_job("report"))
    rounds = bench.make_rounds()
    await bench.repeat(rounds, configuration, 2)
    bench.table.fail_next(PlatformUnavailable("table is down"))
    rounds.store.forget()
    with pytest.raises(PlatformUnavailable):
        await rounds.run_round(configuration)
    await bench.repeat(rounds, configuration, 2)
    assert bench.workers.count_running("report:20261204T060000Z") == 1
    assert len(bench.workers.started) == 1


async def test_job_that_never_runs_is_parked(bench):
    """Guards against a broken job that takes worker after worker."""
    bench.workers.broken_jobs = {"broken"}
    configuration = make_configuration(make_job("broken"), make_job("good"))
    rounds = bench.make_rounds()
    await bench.repeat(rounds, configuration, 40)
    starts = [task for _, task, _ in bench.workers.started if "broken" in task]
    assert len(starts) <= 5
    assert "broken" in rounds.store.works["frame"].parked
    assert all(worker.quarantine is None for worker in rounds.store.workers.values())


async def test_worker_that_fails_everything_is_quarantined(bench):
    """Guards against a fast failing worker that attracts all starts."""
    bench.workers.broken = {"w1"}
    jobs = [make_job(f"job-{n}", cores=1.0) for n in range(20)]
    rounds = bench.make_rounds()
    await bench.repeat(rounds, make_configuration(*jobs), 60, seconds=20)
    starts = [worker for worker, _, _ in bench.workers.started if worker == "w1"]
    assert 1 <= len(starts) <= 5
    assert rounds.store.workers["w1"].quarantine is not None
    assert rounds.store.works["frame"].parked == {}
    running = sum(
        bench.workers.count_running(f"job-{n}:20261204T060000Z") for n in range(20)
    )
    assert running == 20


async def test_urgent_run_displaces_the_cheapest_batch_task(bench):
    """Guards against urgent work that waits for a full pool."""
    batch = [make_job(f"job-{n}", cores=8.0) for n in range(8)]
    rounds = bench.make_rounds()
    await bench.repeat(rounds, make_configuration(*batch), 2)
    assert len(bench.workers.started) == 8
    urgent = make_job("urgent", "hinge", 8.0, Priority.URGENT)
    outcome = await rounds.run_round(make_configuration(*batch, urgent))
    assert outcome.placed == 1
    assert bench.workers.count_running("urgent:20261204T060000Z") == 1
    for worker in rounds.store.workers.values():
        free = worker.measure_free(CAPACITY)
        assert free.cores >= 0


async def test_team_limit_holds_across_daemons(bench):
    """Guards against two daemons that pass a team's limit together."""
    jobs = [make_job(f"job-{n}", cores=4.0) for n in range(16)]
    configuration = make_configuration(*jobs, limit=0.25)
    first, second = bench.make_rounds(), bench.make_rounds()
    for _ in range(6):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run_round, configuration)
            nursery.start_soon(second.run_round, configuration)
        bench.now += 1
    assert len(bench.workers.started) == 4


async def test_team_limit_holds_across_pools(bench):
    """Guards against two pools whose daemons each see the limit unused."""
    pools = (POOL, "night-workers")
    jobs = [
        make_job(f"{pool}-{n}", cores=4.0, pool=pool)
        for pool in pools
        for n in range(8)
    ]
    configuration = make_configuration(*jobs, limit=0.25)
    daemons = [bench.make_rounds(pool=pool) for pool in pools]
    for _ in range(6):
        async with trio.open_nursery() as nursery:
            for daemon in daemons:
                nursery.start_soon(daemon.run_round, configuration)
        bench.now += 1
    assert len(bench.workers.started) == 4


async def test_overcommitted_worker_checkpoints_batch_first(bench):
    """Guards against a worker that is left overcommitted."""
    bench.candidate_workers = make_candidates(1)
    bench.workers.usage = {"small": Shape(2, 4000), "greedy": Shape(15, 4000)}
    jobs = [make_job("small", priority=Priority.INTERACTIVE), make_job("greedy")]
    rounds = bench.make_rounds()
    await bench.repeat(rounds, make_configuration(*jobs), 2)
    assert bench.workers.count_running("greedy:20261204T060000Z") == 0
    assert bench.workers.count_running("small:20261204T060000Z") == 1


async def test_placement_costs_at_most_two_writes(bench):
    """Guards against a store that is overloaded by placement."""
    jobs = [make_job(f"job-{n}", cores=1.0) for n in range(12)]
    rounds = bench.make_rounds()
    await rounds.run_round(make_configuration(*jobs))
    assert rounds.store.writes <= 2 * len(bench.workers.started)


async def _ask(bench, job, run="20261204T055500.000000Z"):
    """Ask for a run in the team's row, as the jobs service does."""
    row = await bench.table.read(f"work/{job.team}")
    work = decode_work(job.team, row)
    task = name_task(job.name, run)
    asked = DemandedRun(job.name, run, bench.now)
    changed = work.with_demanded({**work.demanded, task: asked})
    await bench.table.transact([encode_work(changed)])
    return task


async def test_asked_run_is_not_lost_with_its_worker(bench):
    """Guards against a run on demand that nobody starts after a reboot."""
    job = make_job("once", schedule="on demand")
    task = await _ask(bench, job)
    rounds = bench.make_rounds()
    await bench.repeat(rounds, make_configuration(job), 2)
    bench.now += 31  # the lease ends while nobody renews it
    await bench.repeat(rounds, make_configuration(job), 3)
    assert bench.workers.count_running(task) == 1
    bench.workers.finish(task)
    await bench.repeat(rounds, make_configuration(job), 3)
    assert len(bench.workers.started) == 2


async def test_asked_run_that_failed_is_tried_again(bench):
    """Guards against a run on demand that one bad worker swallows."""
    job = make_job("once", schedule="on demand")
    task = await _ask(bench, job)
    bench.workers.broken = {"w0"}
    await bench.repeat(bench.make_rounds(), make_configuration(job), 4)
    assert bench.workers.count_running(task) == 1
    assert [worker for worker, _, _ in bench.workers.started][0] == "w0"


async def test_older_run_that_ends_late_does_not_repeat_a_newer_one(bench):
    """Guards against a finished run that becomes due again."""
    job = make_job("report")
    asked = await _ask(bench, job)
    rounds = bench.make_rounds()
    await bench.repeat(rounds, make_configuration(job), 2)
    bench.workers.finish("report:20261204T060000Z")
    await bench.repeat(rounds, make_configuration(job), 2)
    bench.workers.finish(asked)
    await bench.repeat(rounds, make_configuration(job), 3)
    assert len(bench.workers.started) == 2


async def test_run_on_a_worker_that_left_the_list_is_due_again(bench):
    """Guards against a run that counts as running for ever."""
    configuration = make_configuration(make_job("report"))
    await bench.repeat(bench.make_rounds(), configuration, 2)
    worker, task, _ = bench.workers.started[0]
    del bench.candidate_workers[worker]
    bench.workers.unreachable = {worker}
    await bench.repeat(bench.make_rounds(), configuration, 50)
    assert [name for _, name, _ in bench.workers.started] == [task, task]
    assert bench.workers.started[1][0] != worker


async def test_observation_starts_again_after_a_pause(bench):
    """Guards against a task that moves although another daemon renews it."""
    configuration = make_configuration(make_job("report"))
    paused, other = bench.make_rounds(), bench.make_rounds()
    await bench.repeat(paused, configuration, 2)
    worker, task, _ = bench.workers.started[0]
    bench.workers.unreachable = {worker}
    await bench.repeat(paused, configuration, 1)
    bench.workers.unreachable = set()
    await bench.repeat(other, configuration, 50)
    bench.workers.unreachable = {worker}
    # A next start would go to another worker.
    bench.candidate_workers[worker] = evolve(
        bench.candidate_workers[worker], open=False
    )
    await bench.repeat(paused, configuration, 3)
    bench.workers.unreachable = set()
    assert bench.workers.count_running(task) == 1
    assert len(bench.workers.started) == 1


@pytest.mark.parametrize("allowed", [0, 4, 12])
async def test_round_stays_within_its_writes(bench, allowed):
    """Guards against a backlog that is written in one second after an outage."""
    jobs = [make_job(f"job-{number}", cores=1.0) for number in range(12)]
    configuration = make_configuration(*jobs)
    rounds = bench.make_rounds()
    spent = []
    for _ in range(12):
        before = rounds.store.writes
        await rounds.run_round(configuration, allowed)
        spent.append(rounds.store.writes - before)
        bench.now += 6
    assert max(spent) <= allowed
    assert len(bench.workers.started) == (12 if allowed else 0)
    for task in list(bench.workers.list_running()):
        bench.workers.finish(task)
    for _ in range(12):
        before = rounds.store.writes
        await rounds.run_round(configuration, allowed)
        spent.append(rounds.store.writes - before)
        bench.now += 6
    assert max(spent) <= allowed
    assert len(rounds.store.works["frame"].last_run) == (12 if allowed else 0)


async def test_leases_are_renewed_without_any_writes(bench):
    """Guards against tasks that stop while the writes are used up."""
    rounds = bench.make_rounds()
    configuration = make_configuration(make_job("report"))
    await rounds.run_round(configuration)
    for _ in range(20):
        bench.now += 5
        await rounds.run_round(configuration, 0)
    assert bench.workers.count_running("report:20261204T060000Z") == 1


class CountingWorkers(LocalWorkers):
    """Counts calls for reports and can fail them as a whole."""

    calls = 0
    down = False

    async def reports(self, workers):
        self.calls += 1
        if self.down:
            raise PlatformUnavailable("reports are down")
        return await super().reports(workers)


async def test_reports_of_a_pool_are_one_call_and_no_more_often_than_set(bench):
    """Guards against a call for each worker in each round."""
    configuration = make_configuration(*(make_job(f"j{n}") for n in range(6)))
    bench.workers = CountingWorkers(lambda: bench.now)
    rounds = bench.make_rounds()
    rounds.report_seconds = 2.0
    await bench.repeat(rounds, configuration, 1)
    assert len({worker for worker, _, _ in bench.workers.started}) > 1
    bench.workers.calls = 0
    await bench.repeat(rounds, configuration, 12, seconds=0.5)
    assert bench.workers.calls == 3
    bench.workers.finish("j0:20261204T060000Z")
    bench.now += 2
    await bench.repeat(rounds, configuration, 1)
    (work,) = rounds.store.works.values()
    assert list(work.last_run) == ["j0"]


async def test_failure_of_all_reports_ends_no_task(bench):
    """Guards against taking a lost call for the end of every task of a pool."""
    configuration = make_configuration(make_job("report"))
    bench.workers = CountingWorkers(lambda: bench.now)
    rounds = bench.make_rounds()
    await bench.repeat(rounds, configuration, 2)
    bench.workers.down = True
    await bench.repeat(rounds, configuration, 60)
    bench.workers.down = False
    assert len(bench.workers.started) == 1
    (work,) = rounds.store.works.values()
    assert len(work.running) == 1
