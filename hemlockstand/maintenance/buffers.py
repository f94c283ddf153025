"""How many instances each pool keeps, and how much the spare pool holds.

Queues peak in turn for a few seconds, which is shorter than a move takes, so
a peak can only be served by instances that are already in the pool or in the
spare pool. Instances for the peak of each queue in its own pool are paid for
at all times; with only the usual demand there and a common buffer in the spare
pool, the largest sum of overflows is paid for once. The weights balance the
two: overflow costs share error, idle instances cost money, and changes cost
moves.
"""

from collections.abc import Iterator, Mapping
from math import ceil, exp

import numpy as np
from attrs import evolve, field, frozen

SERVED_QUANTILE = 0.999  # fraction of time in which all demand is served
SECONDS_PER_DAY = 86_400


@frozen
class Weights:
    """Weights of share error, idle instances and moves."""

    share: float
    buffer: float
    move: float


@frozen
class PoolHistory:
    """Demand of a pool in instances.

    All pools are sampled at the same times. ``kept`` is the number of
    instances that the pool has now.
    """

    name: str
    demand: np.ndarray = field(eq=False)
    kept: int


@frozen
class FailureRate:
    """How often an instance fails and how long it is missing afterwards."""

    per_instance_day: float
    repair_seconds: float
    quantile: float = 0.999


@frozen
class BufferPlan:
    """Number of instances of each pool; the spare pool has the buffer."""

    kept: Mapping[str, int]
    spare: str
    cost: float = 0.0

    def count_moves(self, before: Mapping[str, int]) -> int:
        """Return how many instances change pools or leave service."""
        changed = sum(abs(count - before[name]) for name, count in self.kept.items())
        balance = sum(self.kept.values()) - sum(before[name] for name in self.kept)
        return (changed + abs(balance)) // 2


def count_failure_reserve(instances: int, rate: FailureRate) -> int:
    """Return how many instances to add to make up for failures.

    They suffice in the ``quantile`` of the rate. The number missing at a time
    has a Poisson distribution, whose mean is the failures in one repair time::

        >>> count_failure_reserve(40, FailureRate(99 / 5600, 600))
        1
    """
    mean = instances * rate.per_instance_day * rate.repair_seconds / SECONDS_PER_DAY
    probability = total = exp(-mean)
    missing = 0
    while total < rate.quantile:
        missing += 1
        probability *= mean / missing
        total += probability
    return missing


def plan_static(
    histories: Mapping[str, PoolHistory], wave: int, rate: FailureRate
) -> BufferPlan:
    """Return the plan where each pool covers its peak, failures and wave."""
    kept = {}
    for name, history in histories.items():
        peak = ceil(np.quantile(history.demand, SERVED_QUANTILE))
        kept[name] = peak + count_failure_reserve(peak, rate) + wave
    return BufferPlan(kept, "")


def plan_buffers(
    histories: Mapping[str, PoolHistory],
    spare: str,
    wave: int,
    rate: FailureRate,
    weights: Weights,
) -> BufferPlan:
    """Return the cheapest plan that serves the observed demand.

    ``wave`` is the number of instances that maintenance may take out of
    service at once over all pools. The present plan is kept if a better one
    saves no more than its moves cost.
    """
    start = {
        name: max(1, ceil(np.quantile(history.demand, 0.5)))
        for name, history in histories.items()
        if name != spare
    }
    best = _complete_plan(start, histories, spare, wave, rate, weights)
    improved = True
    while improved:
        improved = False
        for candidate in _list_neighbours(best, histories, spare, wave, rate, weights):
            if candidate.cost < best.cost:
                best = candidate
                improved = True
    present = {name: history.kept for name, history in histories.items()}
    if _is_sufficient(present, histories, spare, wave, rate):
        present_cost = _compute_cost(present, histories, spare, weights)
        if present_cost <= best.cost + weights.move * best.count_moves(present):
            return BufferPlan(present, spare, present_cost)
    return best


def _list_neighbours(
    plan: BufferPlan,
    histories: Mapping[str, PoolHistory],
    spare: str,
    wave: int,
    rate: FailureRate,
    weights: Weights,
) -> Iterator[BufferPlan]:
    own = {name: count for name, count in plan.kept.items() if name != spare}
    for name, count in own.items():
        for step in (-1, 1, 2):
            if count + step >= 1:
                changed = {**own, name: count + step}
                yield _complete_plan(changed, histories, spare, wave, rate, weights)


def _complete_plan(
    own: Mapping[str, int],
    histories: Mapping[str, PoolHistory],
    spare: str,
    wave: int,
    rate: FailureRate,
    weights: Weights,
) -> BufferPlan:
    needed = _measure_spare_need(own, histories, spare)
    total = sum(own.values()) + needed
    kept = {**own, spare: needed + count_failure_reserve(total, rate) + wave}
    plan = BufferPlan(kept, spare)
    return evolve(plan, cost=_compute_cost(kept, histories, spare, weights))


def _is_sufficient(
    kept: Mapping[str, int],
    histories: Mapping[str, PoolHistory],
    spare: str,
    wave: int,
    rate: FailureRate,
) -> bool:
    own = {name: count for name, count in kept.items() if name != spare}
    needed = _measure_spare_need(own, histories, spare)
    total = sum(own.values()) + needed
    return kept[spare] >= needed + count_failure_reserve(total, rate) + wave


def _measure_spare_need(
    own: Mapping[str, int], histories: Mapping[str, PoolHistory], spare: str
) -> int:
    load = histories[spare].demand + _sum_overflow(own, histories)
    return max(1, ceil(np.quantile(load, SERVED_QUANTILE)))


def _sum_overflow(
    own: Mapping[str, int], histories: Mapping[str, PoolHistory]
) -> np.ndarray:
    overflows = (
        np.maximum(histories[name].demand - count, 0.0) for name, count in own.items()
    )
    return sum(overflows, start=np.zeros(1))


def _compute_cost(
    kept: Mapping[str, int],
    histories: Mapping[str, PoolHistory],
    spare: str,
    weights: Weights,
) -> float:
    """Return the weighted cost of idle instances and of overflow.

    Both are in instances, so that their weights are comparable.
    """
    own = {name: count for name, count in kept.items() if name != spare}
    demand = sum(float(history.demand.mean()) for history in histories.values())
    idle = sum(kept.values()) - demand
    overflow = float(np.mean(_sum_overflow(own, histories)))
    return weights.buffer * idle + weights.share * overflow


def find_lower_bound(histories: Mapping[str, PoolHistory]) -> float:
    """Return the idle instances that no plan can avoid without moves in peaks.

    Whatever the split, the instances kept in all must cover the largest total
    demand (at the served quantile), because a peak is over before a move
    ends; what is above the mean total demand is idle on average.
    """
    total = sum((history.demand for history in histories.values()), start=np.zeros(1))
    return float(np.quantile(total, SERVED_QUANTILE) - total.mean())
