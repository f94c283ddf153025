"""Decides how many slots a daemon takes from or returns to a team's row."""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from hemlockstand.coordination.escrow import ELASTIC, Escrow, Split
from hemlockstand.requests.slots import TeamSlots


@frozen
class Demand:
    """What a daemon needs of a team's slots.

    ``waiting`` requests have no slot, ``running`` ones have one, ``idle``
    slots have no request; ``served`` counts requests since the start.
    """

    waiting: int
    running: int
    idle: int
    served: int


@define
class FleetDemands:
    """Demands of the other live daemons by team.

    ``neighbours`` are those of the daemons in the same data centre.
    """

    others: dict[str, list[Demand]] = field(factory=dict)
    neighbours: dict[str, list[Demand]] = field(factory=dict)

    def add(self, demands: Mapping[str, Demand], is_near: bool) -> None:
        """Add one daemon's demands."""
        for team, demand in demands.items():
            self.others.setdefault(team, []).append(demand)
            if is_near:
                self.neighbours.setdefault(team, []).append(demand)


@frozen
class Take:
    """Take up to so many slots by part."""

    parts: Mapping[str, int]


@frozen
class Give:
    """Return all slots above these numbers by part."""

    keep: Mapping[str, int]


@frozen
class Stay:
    """Leave the slots where they are."""


Move = Take | Give | Stay


def measure_demand(slots: TeamSlots) -> Demand:
    """Return this daemon's demand for the team."""
    running = slots.running()
    idle = max(0, slots.held() - running)
    return Demand(slots.waiting, running, idle, slots.served)


def plan_move(
    slots: TeamSlots, others: Iterable[Demand], neighbours: Iterable[Demand]
) -> Move:
    """Choose the next transaction for a team.

    ``others`` are the demands of all other daemons, ``neighbours`` those of
    the daemons in the same data centre.
    """
    mine = measure_demand(slots)
    others = tuple(others)
    missing = mine.waiting - mine.idle
    slots.cap = None
    if missing > 0:
        target = _fair_target(mine, others, slots.split.limit)
        if target is not None and slots.held() > target:
            slots.cap = target
            return _plan_give(slots, slots.held() - target)
        return _plan_take(slots, missing, len(others), len(tuple(neighbours)))
    wanted = sum(demand.waiting for demand in others)
    if mine.idle == 0 or wanted == 0:
        return Stay()
    total_idle = mine.idle + sum(demand.idle for demand in others)
    return _plan_give(slots, -(-wanted * mine.idle // total_idle))


def _fair_target(mine: Demand, others: Iterable[Demand], limit: int) -> int | None:
    """Return this daemon's part of a limit that cannot serve all demand.

    Returns None while no other daemon waits or slots are idle elsewhere. One
    slot above the fair part is tolerated, so that rounding moves nothing.
    """
    waiting = [demand for demand in others if demand.waiting]
    if not waiting or any(demand.idle for demand in others):
        return None
    need = mine.waiting + mine.running
    total = need + sum(demand.waiting + demand.running for demand in others)
    return limit * need // total + 1


def _plan_take(slots: TeamSlots, missing: int, others: int, neighbours: int) -> Move:
    """Take what is missing and a part of what is free, reserved slots first.

    The surplus makes the next burst start without a transaction.
    """
    split, escrow = slots.split, slots.escrow
    centre = slots.data_centre
    fair_reserve = split.parts.get(centre, 0) // (neighbours + 1)
    reserve = max(missing, fair_reserve - escrow.usable(centre))
    surplus = escrow.free(ELASTIC, split) // (others + 2)
    return Take({centre: reserve, ELASTIC: max(missing, surplus)})


def _plan_give(slots: TeamSlots, count: int) -> Move:
    """Return idle slots; a giver keeps its reserved slots the longest."""
    keep: dict[str, int] = {}
    taken = slots.taken_parts()
    for part in slots.parts():
        usable = slots.escrow.usable(part)
        given = min(count, max(0, usable - taken[part]))
        keep[part] = usable - given
        count -= given
    if all(keep[part] == slots.escrow.usable(part) for part in keep):
        return Stay()
    return Give(keep)


async def apply_move(move: Move, escrow: Escrow, split: Split) -> None:
    """Carry out the move in the table."""
    match move:
        case Take(parts=parts):
            await escrow.take(parts, split)
        case Give(keep=keep):
            await escrow.shrink(keep, split)
        case Stay():
            pass
