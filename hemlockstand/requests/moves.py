"""Decides how many slots a daemon takes from or returns to a team's row."""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import frozen

from hemlockstand.coordination.escrow import ELASTIC, Escrow, Split
from hemlockstand.peers.demands import Demand
from hemlockstand.requests.slots import TeamSlots
from hemlockstand.settings import DaemonSettings


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


@frozen
class DemandView:
    """Demands of the other daemons by team, as of one moment.

    ``daemons`` and ``neighbours`` are the numbers of other living daemons, in
    the fleet and in this data centre.
    """

    daemons: int
    neighbours: int
    _demands: tuple[Mapping[str, Demand], ...]
    _wanted: frozenset[str]

    def is_wanted(self, team: str) -> bool:
        """Return whether another daemon waits for slots of the team."""
        return team in self._wanted

    def others(self, team: str) -> list[Demand]:
        """Return the demands of all other daemons."""
        return [demands[team] for demands in self._demands if team in demands]


def view_demands(peers: Any, daemon: DaemonSettings) -> DemandView:
    """Collect what the living peers need, once for all teams."""
    centres = {
        member.name: member.data_centre for member in peers.members() if member.alive
    }
    centres.pop(daemon.name, None)
    others = tuple(
        demands for name, demands in peers.demands().items() if name in centres
    )
    wanted = frozenset(
        team for demands in others for team, demand in demands.items() if demand.waiting
    )
    neighbours = list(centres.values()).count(daemon.data_centre)
    return DemandView(len(centres), neighbours, others, wanted)


def measure_demand(slots: TeamSlots, daemons: int) -> Demand:
    """Return this daemon's demand for the team among so many other daemons.

    Of its fair part, it counts as idle only what it has not used lately:
    under light load its requests come with pauses, and after giving its
    slots away the next one would wait for a transaction.
    A caller may wait on behalf of a whole queue without saying so. As much
    as is running is assumed to wait then, so that slots double each round.
    """
    running = slots.running()
    kept = min(slots.recently_running(), slots.split.limit // (daemons + 1))
    idle = max(0, slots.held() - max(running, kept))
    waiting = max(slots.waiting, running) if slots.waiting else 0
    return Demand(waiting, running, idle)


def plan_move(slots: TeamSlots, view: DemandView) -> Move:
    """Choose the next transaction for a team."""
    mine = measure_demand(slots, view.daemons)
    others = view.others(slots.team)
    missing = mine.waiting - mine.idle
    slots.cap = None
    if missing > 0:
        target = _fair_target(mine, others, slots.split.limit)
        if target is not None and slots.held() > target:
            slots.cap = target
            return _plan_give(slots, slots.held() - target)
        return _plan_take(slots, missing, view)
    wanted = sum(demand.waiting for demand in others)
    if mine.idle == 0 or wanted == 0:
        return Stay()
    total_idle = mine.idle + sum(demand.idle for demand in others)
    given = -(-wanted * mine.idle // total_idle)
    return _plan_give(slots, min(given, mine.idle))


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


def _plan_take(slots: TeamSlots, missing: int, view: DemandView) -> Move:
    """Take what is missing and a part of what is free, reserved slots first.

    The surplus makes the next burst start without a transaction.
    """
    split, escrow = slots.split, slots.escrow
    centre = slots.data_centre
    fair_reserve = split.parts.get(centre, 0) // (view.neighbours + 1)
    reserve = max(missing, fair_reserve - escrow.usable(centre))
    surplus = escrow.free(ELASTIC, split) // (view.daemons + 2)
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
