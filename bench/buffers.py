"""Buffer cost and moves at the present sizes of both deployments.

The demand follows the users' description: each queue in turn asks for five
times its mean for a few seconds, and for about a twentieth of it in between.
The plan is made from the first half of a trace and evaluated on the second
half. It may serve at most ``SERVED_TOLERANCE`` of the demand less than the
static plan.
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

FAILURE_RATE = FailureRate(99 / 5600, 600)
SAMPLES = 7200  # one a second, two hours
PEAK_FACTOR = 5.0
TROUGH_FACTOR = 0.05
SERVED_TOLERANCE = 0.0005
REPLANS = 12


@frozen
class Deployment:
    """Pools and sizes of a deployment; ``executors`` is per pool."""

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

    The mean is set so that a peak asks for 25% more than the pool has.
    """
    random = Random(deployment.seed)
    noise = np.random.default_rng(deployment.seed)
    mean = deployment.executors * 1.25 / PEAK_FACTOR
    trace = {name: np.full(samples, mean * TROUGH_FACTOR) for name in deployment.pools}
    second = 0
    while second < samples:
        for name in random.sample(deployment.pools, len(deployment.pools)):
            length = random.randint(3, 8)
            trace[name][second : second + length] = mean * PEAK_FACTOR
            second += length
    return {
        name: demand * noise.uniform(0.85, 1.15, samples)
        for name, demand in trace.items()
    }


def measure_served(kept: Mapping[str, int], trace: dict, spare: str) -> float:
    """Return the fraction of the demand that is served without waiting."""
    pools = [name for name in trace if name != spare]
    if spare not in kept:
        raise ValueError(f"no spare pool {spare!r}")
    overflow = sum(np.maximum(trace[name] - kept[name], 0) for name in pools)
    spare_capacity = np.maximum(kept[spare] - trace[spare], 0)
    lost = np.maximum(overflow - spare_capacity, 0)
    lost += np.maximum(trace[spare] - kept[spare], 0)
    return 1 - float(lost.sum() / sum(demand.sum() for demand in trace.values()))


def measure_idle(kept: Mapping[str, int], trace: dict) -> float:
    """Return the mean number of idle instances (instance-hours per hour)."""
    return sum(kept.values()) - float(sum(d.mean() for d in trace.values()))


def _make_histories(
    deployment: Deployment, trace: dict, kept: Mapping[str, int]
) -> dict[str, PoolHistory]:
    return {
        name: PoolHistory(name, trace[name], kept[name]) for name in deployment.pools
    }


def _make_plan(
    deployment: Deployment, trace: dict, kept: Mapping[str, int]
) -> BufferPlan:
    return plan_buffers(
        _make_histories(deployment, trace, kept),
        deployment.spare,
        wave=2,
        rate=FAILURE_RATE,
        weights=deployment.weights,
    )


def count_plan_moves(deployment: Deployment, trace: dict) -> int:
    """Return the number of moves if the plan is remade at regular intervals.

    Each plan uses the history up to its time.
    """
    kept: Mapping[str, int] = dict.fromkeys(deployment.pools, deployment.executors)
    moves = 0
    for index in range(1, REPLANS + 1):
        end = SAMPLES * index // REPLANS
        history = {name: demand[:end] for name, demand in trace.items()}
        plan = _make_plan(deployment, history, kept)
        moves += plan.count_moves(kept)
        kept = plan.kept
    return moves


def count_naive_moves(deployment: Deployment, trace: dict, seconds: int = 30) -> int:
    """Return the number of moves if one instance is moved at a time.

    Every ``seconds``, the time that a move takes, the pool with the largest
    shortage gets an instance from the pool with the most idle ones. By the
    time the instance arrives, the peak is usually over.
    """
    kept = dict.fromkeys(deployment.pools, deployment.executors)
    moves = 0
    for second in range(0, SAMPLES, seconds):
        idle = {name: kept[name] - trace[name][second] for name in deployment.pools}
        short, idlest = min(idle, key=idle.get), max(idle, key=idle.get)
        if idle[short] < 0 and idle[idlest] >= 1:
            kept[short] += 1
            kept[idlest] -= 1
            moves += 1
    return moves


def measure_deployment(deployment: Deployment) -> Iterator[Figure]:
    """Yield the figures of one deployment."""
    trace = make_trace(deployment, SAMPLES)
    planning_half = {name: demand[: SAMPLES // 2] for name, demand in trace.items()}
    evaluation_half = {name: demand[SAMPLES // 2 :] for name, demand in trace.items()}
    current_sizes = dict.fromkeys(deployment.pools, deployment.executors)
    histories = _make_histories(deployment, planning_half, current_sizes)
    static = plan_static(histories, wave=2, rate=FAILURE_RATE)
    plan = _make_plan(deployment, planning_half, current_sizes)
    name = deployment.name
    served = measure_served(plan.kept, evaluation_half, deployment.spare)
    served_static = measure_served(static.kept, evaluation_half, deployment.spare)
    cost = measure_idle(plan.kept, evaluation_half)
    cost_static = measure_idle(static.kept, evaluation_half)
    lower_bound = find_lower_bound(
        {
            key: evolve(history, demand=evaluation_half[key])
            for key, history in histories.items()
        }
    )
    yield Figure(f"buffer_cost_{name}", cost / cost_static, "of static", 0.7)
    yield Figure(
        f"buffer_served_lost_{name}",
        max(0.0, served_static - served),
        "of demand",
        SERVED_TOLERANCE,
    )
    yield Figure(f"buffer_cost_vs_lower_bound_{name}", cost / lower_bound, "ratio")
    moves = count_plan_moves(deployment, trace)
    naive = count_naive_moves(deployment, trace)
    yield Figure(f"moves_{name}", moves / max(1, naive), "of naive", 1.0)


def measure_figures() -> Iterator[Figure]:
    """Yield the figures of both deployments."""
    for deployment in (SAKDA, BRIGHTFOLD):
        yield from measure_deployment(deployment)
