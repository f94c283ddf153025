"""Decisions in deployments that use no evacuation and have no cold executors.

A drawn load of one tenant is placed, without a network or a clock, and all
decisions are compared with those of fcef14d, the version before evacuations.
"""

from hashlib import sha256
from random import Random

import attrs
import pytest

from hemlockstand.fleet.eviction import find_movable, find_stoppable
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import JobRegistry
from hemlockstand.fleet.model import ExecutorEntry, JobSpec, Resources, Step
from hemlockstand.fleet.placement import Placer
from hemlockstand.fleet.work import Run, RunState
from test.fleet_world import make_config

SEED = 11
ROUNDS = 400
ROUND_SECONDS = 0.1
# SHA-256 of the decisions, and their number, by the code of fcef14d.
DECISIONS = (
    1672,
    "8c6d1340650ff35f3ae0bf8e463da4719601ee901a3676f5031960fd408bcc89",
)


def draw_step(random: Random, position: int) -> Step:
    """Return a step of any kind."""
    size = Resources(random.choice((500, 500, 1000, 4000)), random.choice((256, 2048)))
    kind = random.choices(("usual", "gang", "lasting", "fills"), (12, 4, 1, 3))[0]
    return Step(
        count=random.randint(1, 4),
        size=size,
        estimate_ms=random.choice((200, 800, 3000)),
        after=(position - 1,) if position and random.random() < 0.5 else (),
        checkpoints=random.random() < 0.3,
        gang=kind == "gang",
        same_rack=random.random() < 0.3,
        label=random.choice(("", "", "a", "b")),
        data_rack=random.choice(("", "r1", "r2")),
        max_per_executor=random.choice((0, 0, 2)),
        lasting=kind == "lasting",
        fills=kind == "fills",
        max_unavailable=1 if kind == "lasting" else 0,
    )


def make_executors() -> dict[str, Executor]:
    """Return executors of two kinds, racks and data centres."""
    executors = {}
    for index in range(12):
        size = Resources(16_000 if index % 3 else 8000, 32_768)
        labels = ("ab"[index % 2], f"r{index % 4 + 1}")
        name, data_centre = f"i-{index}", f"dc{index % 2 + 1}"
        entry = ExecutorEntry(
            name, "pool", "a:1", data_centre, False, None, 1, size, labels
        )
        executor = Executor(entry, None, 1, lambda: 0.0, None, 0.8, reconciled=True)
        executor.recorded = True
        executors[name] = executor
    return executors


def replay(config, executors: dict[str, Executor]) -> list[str]:
    """Return the decisions on the drawn load."""
    random = Random(SEED)
    registry = JobRegistry()
    placer = Placer(registry, executors)
    ends: list[tuple[float, object, Executor]] = []
    decisions: list[str] = []
    for number in range(ROUNDS):
        now = 100.0 + number * ROUND_SECONDS
        if random.random() < 0.8:
            steps = tuple(draw_step(random, i) for i in range(random.randint(1, 3)))
            spec = JobSpec(f"{number:016x}", "queue", "pool", "team", "", steps)
            job = registry.add(spec, number, None, now, 0)
            job.objective_seconds = random.choice((1.0, 4.0, 20.0))
            job.deadline = now + 3 * job.objective_seconds
        for end in [end for end in ends if end[0] <= now]:
            ends.remove(end)
            finish(registry, *end[1:], random, now)
        for job in list(registry.jobs.values()):
            registry.mark_stored(job.id, job.pools, job.announced)
        for placement in placer.place(config, now):
            subtask, executor = placement.subtask, placement.executor
            run = Run(subtask.runs + 1, executor.id, 1, now, RunState.RUNNING, now)
            run.percent = 100 if subtask.step.lasting else 10
            registry.attach(subtask, run)
            executor.add_run(subtask)
            seconds = 20.0 if subtask.step.lasting else random.choice((0.3, 1.0, 4.0))
            ends.append((now + seconds, subtask, executor))
            decisions.append(f"{number} {subtask.name} {executor.id}")
        if number % 10:
            continue
        executor = executors[f"i-{random.randrange(12)}"]
        for find in (
            find_movable(executor, executors, now, config),
            find_stoppable(executor, executors, now, True, config),
        ):
            decisions += [f"{number} may stop {subtask.name}" for subtask in find]
    return decisions


def finish(registry, subtask, executor, random: Random, now: float) -> None:
    """End a run, mostly as done; a failure may put its executor in quarantine."""
    executor.remove_run(subtask)
    registry.detach(subtask, subtask.run)
    if random.random() < 0.1:
        executor.failed_in_row += 1
        subtask.avoid.add(executor.id)
        if executor.failed_in_row > 2:
            executor.quarantined_until = now + 2
    else:
        executor.failed_in_row = 0
        if not subtask.step.lasting:
            registry.set_done(subtask, now, 0)
            return
    if random.random() < 0.05:
        subtask.crashes += 1
    registry.set_waiting(subtask)


def test_decisions_are_those_of_before():
    """Guards against other decisions where no feature is asked for."""
    decisions = replay(make_config(), make_executors())
    digest = sha256("\n".join(decisions).encode()).hexdigest()
    assert (len(decisions), digest) == DECISIONS


@pytest.mark.parametrize("cold_starts", [0.0, 2.0])
def test_features_without_a_case_change_nothing(cold_starts):
    """Guards against an evacuation elsewhere, or a pool that is never cold."""
    config = make_config()
    pool = attrs.evolve(
        config.pools["pool"],
        cold_start_seconds=20.0,
        cold_starts_per_second=cold_starts,
    )
    config = attrs.evolve(
        config, evacuated=frozenset({"dc9"}), pools=config.pools | {"pool": pool}
    )
    expected = replay(make_config(), make_executors())
    assert replay(config, make_executors()) == expected


def test_cold_times_are_not_read_for_each_placement(monkeypatch):
    """Guards against processor time in deployments without cold executors."""
    calls: list[str] = []

    def grade(executor: Executor, now: float) -> tuple[bool, bool]:
        calls.append(executor.id)
        return False, False

    monkeypatch.setattr("hemlockstand.fleet.placement.grade_executor", grade)
    executors = make_executors()
    registry = JobRegistry(run_base=0)
    spec = JobSpec("0" * 16, "queue", "pool", "team", "", (Step(4, Resources(500)),))
    job = registry.add(spec, 1, None, 0.0, 0)
    placer = Placer(registry, executors)
    list(placer.place(make_config(), 0.0))
    registry.mark_stored(job.id, job.pools, job.announced)
    assert len(list(placer.place(make_config(), 0.0))) == 4
    assert not calls
    executors["i-0"].cold_until = 1.0
    assert len(list(placer.place(make_config(), 0.0))) == 4
    assert calls
