"""The views of the scheduler: evacuations, waiting work, shares, durations."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

from hemlockstand.fleet.evacuations import MILLIS_PER_CORE
from hemlockstand.fleet.job_registry import find_pool
from hemlockstand.fleet.leader import Leader
from hemlockstand.fleet.policy.waiting import judge_timeliness, rank_step
from hemlockstand.fleet.views import ViewQuery, register_view
from hemlockstand.fleet.work import StepRun
from hemlockstand.platform.decoding import MAX_QUOTED_CHARACTERS

# Steps for which every executor is asked why it takes none of them. A view
# holds up the scheduler: 20 steps and 180 executors take 25 ms.
MAX_EXPLAINED_STEPS = 20


@register_view("evacuations")
def show_evacuations(leader: Leader, query: ViewQuery) -> dict[str, Any]:
    """Return the evacuated data centres, what runs there and what it waits for."""
    manager, state = leader.evacuations, leader.state
    now = state.clock()
    obstacles = manager.find_obstacles()
    runs = [
        {
            "subtask": subtask.name,
            "workspace": subtask.job.spec.tenant,
            "executor": subtask.run.executor,
            "data_centre": state.executors[subtask.run.executor].entry.data_centre,
            "percent": subtask.run.percent,
            "seconds": round(now - subtask.run.ordered_at, 1),
            "waits_for": obstacle.value,
        }
        for subtask, obstacle in list(obstacles.items())[: query.limit]
        if subtask.run is not None
    ]
    return {
        "evacuations": manager.describe()[: query.limit],
        "waits_for": dict(Counter(item.value for item in obstacles.values())),
        "runs": runs,
        "shortages": [
            {
                "pool": pool,
                "missing_cores": shortage.missing,
                "waiting_cores": shortage.waiting,
                "staying_cores": shortage.staying,
                "free_cores": shortage.free,
            }
            for pool, shortage in manager.measure_shortages(obstacles)
        ],
    }


@register_view("waiting")
def show_waiting(leader: Leader, query: ViewQuery) -> dict[str, Any]:
    """Return the waiting steps in the order in which they are placed, and why."""
    state = leader.state
    config, now = state.config, state.clock()
    ready = list(state.registry.ready.values())
    ready.sort(key=lambda step_run: rank_step(step_run, config, now))
    return {
        "subtasks": sum(len(step_run.waiting) for step_run in ready),
        "fresh": state.configuration.fresh,
        "steps": [
            _describe_step(leader, step_run, now, position < MAX_EXPLAINED_STEPS)
            for position, step_run in enumerate(ready[: query.limit])
        ],
    }


def _describe_step(
    leader: Leader, step_run: StepRun, now: float, explained: bool
) -> dict[str, Any]:
    config = leader.state.config
    executors = None
    if explained:
        executors = leader.idle_reporter.describe(step_run).executors
    return {
        "step": step_run.name,
        "workspace": step_run.job.spec.tenant,
        "pool": find_pool(step_run.job, config),
        "waiting": len(step_run.waiting),
        "cores": step_run.step.size.cpu_millis / MILLIS_PER_CORE,
        "seconds": round(now - max(step_run.unlocked_at, 0.0), 1),
        "timeliness": judge_timeliness(step_run, now).name.lower(),
        "why": next(_find_reasons(leader, step_run), "room"),
        "executors": executors,
    }


def _find_reasons(leader: Leader, step_run: StepRun) -> Iterator[str]:
    """Yield what holds a step up, apart from its executors."""
    state = leader.state
    if not state.configuration.fresh:
        yield "configuration is not known to be current"
    if step_run.may_have_unknown_runs(leader.idle_reporter.blocked_pools):
        yield "takeover"
    tenant = state.config.tenants.get(step_run.job.spec.tenant)
    if tenant is not None:
        used = state.registry.in_use.get(tenant.name)
        wanted = step_run.step.size if used is None else used.add(step_run.step.size)
        maximum = tenant.maximum
        if (
            0 < maximum.cpu_millis < wanted.cpu_millis
            or 0 < maximum.memory_mb < wanted.memory_mb
            or 0 < maximum.accelerators < wanted.accelerators
        ):
            yield "maximum of the workspace"


@register_view("shares")
def show_shares(leader: Leader, query: ViewQuery) -> dict[str, Any]:
    """Return what each workspace has running and waiting, by pool."""
    state = leader.state
    running: Counter[tuple[str, str]] = Counter()
    waiting: Counter[tuple[str, str]] = Counter()
    capacity: Counter[str] = Counter()
    for executor in state.executors.values():
        pool = executor.entry.pool
        capacity[pool] += executor.entry.capacity.cpu_millis
        for subtask in executor.runs.values():
            tenant = subtask.job.spec.tenant
            running[pool, tenant] += subtask.step.size.cpu_millis
    for step_run in state.registry.ready.values():
        key = find_pool(step_run.job, state.config), step_run.job.spec.tenant
        waiting[key] += step_run.step.size.cpu_millis * len(step_run.waiting)
    keys = sorted(running.keys() | waiting.keys(), key=lambda key: (-waiting[key], key))
    tenants = state.config.tenants
    return {
        "shares": [
            {
                "workspace": tenant,
                "pool": pool,
                "weight": tenants[tenant].weight if tenant in tenants else None,
                "running_cores": running[pool, tenant] / MILLIS_PER_CORE,
                "waiting_cores": waiting[pool, tenant] / MILLIS_PER_CORE,
                "pool_cores": capacity[pool] / MILLIS_PER_CORE,
            }
            for pool, tenant in keys[: query.limit]
        ]
    }


@register_view("durations")
def show_durations(leader: Leader, query: ViewQuery) -> dict[str, Any]:
    """Return the expected durations of the steps of present jobs."""
    registry = leader.state.registry
    found: dict[tuple[str, str, int], dict[str, Any]] = {}
    for job in registry.jobs.values():
        if len(found) >= query.limit:
            break
        if job.state.final:
            continue
        for position, step in enumerate(job.spec.steps):
            key = (job.spec.queue, step.image, step.estimate_ms)
            if step.lasting or key in found or len(found) >= query.limit:
                continue
            expected = registry.durations.expect(job.spec, position)
            found[key] = {
                "queue": job.spec.queue,
                "image": step.image[:MAX_QUOTED_CHARACTERS],
                "estimate_seconds": step.estimate_ms / 1000,
                "median_seconds": expected.median_seconds,
                "p90_seconds": expected.p90_seconds,
                "p99_seconds": expected.p99_seconds,
                "runs": expected.runs,
            }
    return {"durations": list(found.values())}
