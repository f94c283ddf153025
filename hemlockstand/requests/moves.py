"""Decides how many slots a daemon acquires from or returns to a team's row."""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import frozen

from hemlockstand.coordination.escrow import ELASTIC, Escrow, Split
from hemlockstand.peers.demands import Demand
from hemlockstand.requests.slots import TeamSlots
from hemlockstand.settings import DaemonSettings


@frozen
class AcquireSlots:
    """Acquire up to these numbers of slots, by part of the limit."""

    parts: Mapping[str, int]


@frozen
class ReturnSlots:
    """Return all slots above these numbers, by part of the limit."""

    keep: Mapping[str, int]


@frozen
class KeepSlots:
    """Leave the slots as they are."""


Move = AcquireSlots | ReturnSlots | KeepSlots


@frozen
class DemandView:
    """A snapshot of the other daemons' demands by team.

    ``daemons`` and ``local_daemons`` count the other living daemons, in the
    fleet and in this data centre.
    """

    daemons: int
    local_daemons: int
    _demands: tuple[Mapping[str, Demand], ...]
    _wanted: frozenset[str]

    def is_wanted(self, team: str) -> bool:
        """Return whether another daemon waits for slots of the team."""
        return team in self._wanted

    def others(self, team: str) -> list[Demand]:
        """Return the demands of all other daemons."""
        return [demands[team] for demands in self._demands if team in demands]


def view_demands(peers: Any, daemon: DaemonSettings) -> DemandView:
    """Collect the demands of the living peers, once for all teams."""
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
    local_daemons = list(centres.values()).count(daemon.data_centre)
    return DemandView(len(centres), local_daemons, others, wanted)


def measure_demand(slots: TeamSlots, daemons: int) -> Demand:
    """Return this daemon's demand for the team.

    ``daemons`` counts the other living daemons. Within its fair share of the
    limit, a daemon counts only slots as idle that it has not used recently.
    Under light load requests arrive with pauses; if the slots were returned
    in a pause, the next request would wait for a transaction.

    A caller may wait for a whole queue without giving its length. The number
    of waiting requests is then assumed to equal the number of running ones,
    so that the slots double in each round.
    """
    running = slots.running()
    kept = min(slots.recently_running(), slots.split.limit // (daemons + 1))
    idle = max(0, slots.held() - max(running, kept))
    waiting = max(slots.waiting, running) if slots.waiting else 0
    return Demand(waiting, running, idle)


def plan_move(slots: TeamSlots, view: DemandView) -> Move:
    """Choose the next transaction for a team."""
    own = measure_demand(slots, view.daemons)
    others = view.others(slots.team)
    missing = own.waiting - own.idle
    slots.cap = None
    if missing > 0:
        target = _fair_target(own, others, slots.split.limit)
        if target is not None and slots.held() > target:
            slots.cap = target
            return _plan_return(slots, slots.held() - target)
        return _plan_acquire(slots, missing, view)
    wanted = sum(demand.waiting for demand in others)
    if own.idle == 0 or wanted == 0:
        return KeepSlots()
    total_idle = own.idle + sum(demand.idle for demand in others)
    returned = -(-wanted * own.idle // total_idle)
    return _plan_return(slots, min(returned, own.idle))


def _fair_target(own: Demand, others: Iterable[Demand], limit: int) -> int | None:
    """Return this daemon's fair share of a limit that cannot serve all demand.

    Returns None while no other daemon waits, or while another daemon has idle
    slots. The result is one slot above the fair share, so that rounding alone
    moves no slots.
    """
    waiting = [demand for demand in others if demand.waiting]
    if not waiting or any(demand.idle for demand in others):
        return None
    need = own.waiting + own.running
    total = need + sum(demand.waiting + demand.running for demand in others)
    return limit * need // total + 1


def _plan_acquire(slots: TeamSlots, missing: int, view: DemandView) -> Move:
    """Acquire the missing slots and a fraction of the free ones.

    Reserved slots come first, as the slots left in the limit may not suffice
    for both parts. The surplus lets the next burst start without a
    transaction.
    """
    split, escrow = slots.split, slots.escrow
    centre = slots.data_centre
    fair_reserve = split.parts.get(centre, 0) // (view.local_daemons + 1)
    reserve = max(missing, fair_reserve - escrow.usable(centre))
    surplus = escrow.free(ELASTIC, split) // (view.daemons + 2)
    return AcquireSlots({centre: reserve, ELASTIC: max(missing, surplus)})


def _plan_return(slots: TeamSlots, count: int) -> Move:
    """Return up to ``count`` idle slots, reserved slots last."""
    keep: dict[str, int] = {}
    taken = slots.taken_parts()
    for part in slots.parts():
        usable = slots.escrow.usable(part)
        returned = min(count, max(0, usable - taken[part]))
        keep[part] = usable - returned
        count -= returned
    if all(keep[part] == slots.escrow.usable(part) for part in keep):
        return KeepSlots()
    return ReturnSlots(keep)


async def apply_move(move: Move, escrow: Escrow, split: Split) -> None:
    """Carry out the move in the table."""
    match move:
        case AcquireSlots(parts=parts):
            await escrow.take(parts, split)
        case ReturnSlots(keep=keep):
            await escrow.shrink(keep, split)
        case KeepSlots():
            pass
