"""Availability budgets of pools: unavailable members and allowed disruptions.

Planned disruptions, unplanned failures and members whose state is unknown
count together. The instance list lags, so the worse of the listed state and
the health that the platform reports at the moment counts.
"""

from collections.abc import Iterable, Mapping

from hemlockstand.maintenance.records import PoolState
from hemlockstand.platform.interface import (
    InstanceRecord,
    InstanceState,
    MachineHealth,
)


def find_unavailable(
    pool: PoolState,
    records: Mapping[str, InstanceRecord],
    health: Mapping[str, MachineHealth],
) -> set[str]:
    """Return the members that are or may be unavailable.

    A member that is missing from the list or whose health is unknown counts
    as unavailable.
    """
    return {
        name
        for name in pool.members
        if name in pool.disruptions or not _is_serving(name, records, health)
    }


def _is_serving(
    name: str,
    records: Mapping[str, InstanceRecord],
    health: Mapping[str, MachineHealth],
) -> bool:
    record = records.get(name)
    state = health.get(name)
    if record is None or state is None:
        return False
    return (
        record.state is InstanceState.LIVE
        and state.healthy
        and state.phase == "serving"
    )


def may_disrupt(pool: PoolState, unavailable: Iterable[str], instance: str) -> bool:
    """Return whether the budget allows a planned disruption of the member.

    Disrupting a member that is already unavailable uses no more of the budget.
    """
    if instance not in pool.members or instance in pool.disruptions:
        return False
    return len({*unavailable, instance}) <= pool.budget


def count_excess_drains(pool: PoolState, unavailable: set[str]) -> int:
    """Return how many planned disruptions should be undone.

    Unplanned failures can take a pool over its budget while planned drains
    are under way; undoing drains brings it back within the budget.
    """
    return max(0, len(unavailable) - pool.budget)
