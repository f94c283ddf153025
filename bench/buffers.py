"""Buffer cost and moves at both deployments' sizes of today.

The demand is the one that the users describe: each queue in its turn asks
five times its mean for a few seconds, and about a twentieth in between. The
first half of a trace makes the plan, the second half judges it. Both the
plan and the static one must serve the same part of the demand.
"""

from collections.abc import Iterator, Mapping
from random import Random

import numpy as np
from attrs import evolve, frozen

from bench.figures import Figure
from hemlockstand.maintenance.buffers import (
    BufferPlan,
    FailureRate,
    PoolHistory,
    Weights,
    find_lower_bound,
    plan_buffers,
    plan_static,
)

FAILURES = FailureRate(99 / 5600, 600)
SAMPLES = 7200  # one a second, two hours
PEAK_FACTOR = 5.0
TROUGH_FACTOR = 0.05
SERVED_TOLERANCE = 0.0005
REPLANS = 12


@frozen
class Deployment:
    """Sizes of a deployment; ``executors`` is per pool."""

    name: str
    pools: tuple[str, ...]
    spare: str
    executors: int
    weights: Weights
    seed: int


SAKDA = Deployment(
    "sakda",
    ("hinge", "clamp", "small-wheel", "frame", "ledger"),
    "ledger",
    8,
    Weights(share=2.0, buffer=1.0, move=0.1),
    seed=11,
)
BRIGHTFOLD = Deployment(
    "brightfold",
    ("pickups", "pricing", "planning", "tracking", "back-office"),
    "back-office",
    6,
    Weights(share=0.5, buffer=2.0, move=0.1),
    seed=12,
)


def make_trace(deployment: Deployment, samples: int) -> dict[str, np.ndarray]:
    """Return the demand of each pool in instances, one sample a second.

    The mean is set so that a peak asks for a quarter more than the pool has.
    """
    random = Random(deployment.seed)
    noise = np.random.default_rng(deployment.seed)
    mean = deployment.executors * 1.25 / PEAK_FACTOR
    trace = {name: np.full(samples, mean * TROUGH_FACTOR) for name in deployment.pools}
    at = 0
    while at < samples:
        for name in random.sample(deployment.pools, len(deployment.pools)):
            length = random.randint(3, 8)
            trace[name][at : at + length] = mean * PEAK_FACTOR
            at += length
    return {
        name: demand * noise.uniform(0.85, 1.15, samples)
        for name, demand in trace.items()
    }


def measure_served(kept: Mapping[str, int], trace: dict, spare: str) -> float:
    """Return the part of the demand that finds room at once."""
    own = [name for name in trace if name != spare]
    if spare not in kept:
        raise ValueError(f"no spare pool {spare!r}")
    overflow = sum(np.maximum(trace[name] - kept[name], 0) for name in own)
    room = np.maximum(kept[spare] - trace[spare], 0)
    lost = np.maximum(overflow - room, 0)
    lost += np.maximum(trace[spare] - kept[spare], 0)
    return 1 - float(lost.sum() / sum(demand.sum() for demand in trace.values()))


def measure_idle(kept: Mapping[str, int], trace: dict) -> float:
    """Return the mean number of idle instances, which is instance-hours an hour."""
    return sum(kept.values()) - float(sum(d.mean() for d in trace.values()))


def _make_histories(
    deployment: Deployment, trace: dict, kept: Mapping[str, int]
) -> dict[str, PoolHistory]:
    return {
        name: PoolHistory(name, trace[name], kept[name]) for name in deployment.pools
    }


def _plan(deployment: Deployment, trace: dict, kept: Mapping[str, int]) -> BufferPlan:
    return plan_buffers(
        _make_histories(deployment, trace, kept),
        deployment.spare,
        wave=2,
        rate=FAILURES,
        weights=deployment.weights,
    )


def count_plan_moves(deployment: Deployment, trace: dict) -> int:
    """Return the moves of replanning at intervals, each on the history so far."""
    kept: Mapping[str, int] = dict.fromkeys(deployment.pools, deployment.executors)
    moves = 0
    for index in range(1, REPLANS + 1):
        end = SAMPLES * index // REPLANS
        seen = {name: demand[:end] for name, demand in trace.items()}
        plan = _plan(deployment, seen, kept)
        moves += plan.count_moves(kept)
        kept = plan.kept
    return moves


def count_naive_moves(deployment: Deployment, trace: dict, seconds: int = 30) -> int:
    """Return the moves of taking one instance at a time from the idlest pool.

    A pool that is short when no move is under way gets an instance ``seconds``
    later, by which time the peak is usually over.
    """
    kept = dict.fromkeys(deployment.pools, deployment.executors)
    moves = 0
    for at in range(0, SAMPLES, seconds):
        idle = {name: kept[name] - trace[name][at] for name in deployment.pools}
        short, idlest = min(idle, key=idle.get), max(idle, key=idle.get)
        if idle[short] < 0 and idle[idlest] >= 1:
            kept[short] += 1
            kept[idlest] -= 1
            moves += 1
    return moves


def measure_deployment(deployment: Deployment) -> Iterator[Figure]:
    """Yield the figures of one deployment."""
    trace = make_trace(deployment, SAMPLES)
    first = {name: demand[: SAMPLES // 2] for name, demand in trace.items()}
    second = {name: demand[SAMPLES // 2 :] for name, demand in trace.items()}
    now = dict.fromkeys(deployment.pools, deployment.executors)
    histories = _make_histories(deployment, first, now)
    static = plan_static(histories, wave=2, rate=FAILURES)
    plan = _plan(deployment, first, now)
    name = deployment.name
    served = measure_served(plan.kept, second, deployment.spare)
    served_static = measure_served(static.kept, second, deployment.spare)
    cost = measure_idle(plan.kept, second)
    cost_static = measure_idle(static.kept, second)
    bound = find_lower_bound(
        {key: evolve(entry, demand=second[key]) for key, entry in histories.items()}
    )
    yield Figure(f"buffer_cost_{name}", cost / cost_static, "of static", 0.7)
    yield Figure(
        f"buffer_served_lost_{name}",
        max(0.0, served_static - served),
        "of demand",
        SERVED_TOLERANCE,
    )
    yield Figure(f"buffer_cost_vs_lower_bound_{name}", cost / bound, "ratio")
    moves = count_plan_moves(deployment, trace)
    naive = count_naive_moves(deployment, trace)
    yield Figure(f"moves_{name}", moves / max(1, naive), "of naive", 1.0)


def measure_figures() -> Iterator[Figure]:
    """Yield the figures of both deployments."""
    for deployment in (SAKDA, BRIGHTFOLD):
        yield from measure_deployment(deployment)
