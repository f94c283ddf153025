"""Team limits: escrowed slots that requests take without a table access.

The service renews the daemon's holder row, moves idle slots between daemons
by conditional transactions and takes over the slots of silent daemons.
"""

from collections.abc import Iterator
from enum import StrEnum
from functools import partial
from random import random

import trio
from loguru import logger

from hemlockstand.coordination.escrow import ELASTIC, Escrow, Split, split_limit
from hemlockstand.coordination.lease import (
    HolderLease,
    HolderWatch,
    LeaseLost,
    LeaseTerms,
)
from hemlockstand.errors import (
    HemlockstandError,
    InvalidInput,
    OutcomeUnknown,
    PlatformUnavailable,
)
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.platform.service import PlatformService
from hemlockstand.requests.moves import (
    FleetDemands,
    apply_move,
    measure_demand,
    plan_move,
)
from hemlockstand.requests.reclaim import Reclaimer, release_holder
from hemlockstand.requests.slots import Slot, TeamSlots

log = logger.bind(module=__name__)

LIMIT_PREFIX = "limit/"
DEADLINE_TOLERANCE_SECONDS = 0.05  # admission computes deadlines before take
MOVES_AT_ONCE = 8
IDLE_POLL_SECONDS = 0.05


class Scope(StrEnum):
    """Data centres whose stamps a freshness proof needs in an outage."""

    FLEET = "fleet"
    DATA_CENTRE = "data_centre"


@register
class LimitsService(Service):
    """Gives out slots of the teams' limits."""

    name = "limits"
    needs = ("platform", "configuration", "freshness", "peers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.table = kernel.find("platform", PlatformService).platform.table
        self.configuration = kernel.find("configuration", Service)
        self.freshness = kernel.find("freshness", Service)
        self.peers = kernel.find("peers", Service)
        self.clock = trio.current_time
        self._session_number = 0
        self._lease = self._make_lease()
        self._teams: dict[str, TeamSlots] = {}

    async def start(self) -> None:
        """Register the holder; in an outage the run task tries again."""
        await self._try("registration", self._lease.renew)

    async def run(self) -> None:
        """Renew the lease and move slots until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_forever)
            nursery.start_soon(self._move_forever)
            nursery.start_soon(self._reclaim_forever)

    async def stop(self) -> None:
        """Wait for the running requests, then release all slots."""
        while any(slots.has_running() for slots in self._teams.values()):
            await trio.sleep(IDLE_POLL_SECONDS)
        await self._try("release", self._release_all)

    def take(self, team: str, deadline: float, keyed: bool) -> Slot | None:
        """Take a slot for a request that ends by ``deadline``, if one is free.

        ``keyed`` requests also need a fresh configuration. Raises
        ``InvalidInput`` for a deadline beyond the longest that is granted.
        """
        longest = self.settings.requests.max_deadline_seconds
        if deadline - self.clock() > longest + DEADLINE_TOLERANCE_SECONDS:
            raise InvalidInput(f"deadline is more than {longest} seconds away")
        slots = self._find_team(team)
        return None if slots is None else slots.take(deadline, keyed)

    async def wait_slot(self, team: str, deadline: float, keyed: bool) -> Slot | None:
        """Wait for a slot until the deadline; return None if there is none."""
        slots = self._find_team(team)
        if slots is None:
            return None
        slots.waiting += 1
        try:
            while self.clock() < deadline:
                slot = self.take(team, deadline, keyed)
                if slot is not None:
                    return slot
                with trio.move_on_at(min(deadline, slots.next_free_at())):
                    await slots.changed.wait()
            return None
        finally:
            slots.waiting -= 1

    def _find_team(self, team: str) -> TeamSlots | None:
        known = self._teams.get(team)
        if known and known.split.version == self.configuration.current.version:
            return known
        split = self._find_split(team)
        if split is None:
            return None
        if known is None:
            self._teams[team] = TeamSlots(
                team,
                self.settings.daemon.data_centre,
                self._make_escrow(team),
                split,
                self._may_use,
                self.clock,
                self.settings.limits.margin_seconds,
            )
        self._teams[team].split = split
        return self._teams[team]

    def _make_escrow(self, team: str) -> Escrow:
        return Escrow(self.table, LIMIT_PREFIX + team, self._lease.holder)

    def _find_split(self, team: str) -> Split | None:
        current = self.configuration.current
        if team not in current.teams:
            return None
        return split_limit(
            current.teams[team].request_limit,
            self.settings.limits.reserved_fraction,
            self.settings.daemon.data_centres,
            current.version,
        )

    def _may_use(self, part: str, keyed: bool) -> bool:
        if keyed and not self.freshness.is_fresh(Scope.FLEET):
            return False
        if self._lease.lost:
            return False
        return self._lease.is_valid() or self._has_proof(part)

    def _has_proof(self, part: str) -> bool:
        """Return whether nobody who may end this holder reached the platform.

        Reads by peers are no such proof: another daemon that reaches the
        platform may take over the slots of this one.
        """
        scope = Scope.FLEET if part == ELASTIC else Scope.DATA_CENTRE
        return self._lease.is_covered(part, self.freshness.outage_age(scope))

    def _make_lease(self) -> HolderLease:
        self._session_number += 1
        limits = self.settings.limits
        terms = LeaseTerms(
            limits.lease_seconds,
            self.settings.requests.max_deadline_seconds + DEADLINE_TOLERANCE_SECONDS,
            self.settings.keys.freshness_seconds,
        )
        return HolderLease(
            self.table,
            self.settings.daemon.name,
            f"{self.peers.incarnation}.{self._session_number}",
            self.settings.daemon.data_centre,
            terms,
            self.clock,
        )

    async def _renew_forever(self) -> None:
        while True:
            await trio.sleep(self.settings.limits.renew_seconds)
            await self._try("renewal", self._renew)
            for part in (ELASTIC, self.settings.daemon.data_centre):
                self._may_use(part, keyed=False)

    async def _renew(self) -> None:
        sent_at = self.clock()
        try:
            await self._lease.renew()
        except LeaseLost:
            log.warning("holder {} was ended by another daemon", self._lease.holder)
            await self._begin_session()
        self.freshness.record_platform_read(sent_at)

    async def _reclaim_forever(self) -> None:
        reclaimer = Reclaimer(
            self.table,
            HolderWatch(
                self.table,
                self.settings.limits.margin_seconds,
                self.clock,
                max_gap_seconds=self.settings.limits.renew_seconds * 3,
            ),
            self.settings.daemon.data_centre,
        )
        while True:
            jitter = 1 + random() / 2
            await trio.sleep(self.settings.limits.renew_seconds * jitter)
            await self._try("takeover", reclaimer.run_once)

    async def _begin_session(self) -> None:
        """Register again once nothing runs on the slots that were lost."""
        while any(sum(slots.used_parts().values()) for slots in self._teams.values()):
            await trio.sleep(IDLE_POLL_SECONDS)
        await self._release_all()
        self._lease = self._make_lease()
        for slots in self._teams.values():
            slots.escrow = self._make_escrow(slots.team)
        await self._lease.renew()

    async def _release_all(self) -> None:
        """Release all slots but those whose request may still be running.

        Those stay with the holder row, and other daemons take them over as
        the slots of a silent holder.
        """
        self._lease.end()
        keep = {team: slots.used_parts() for team, slots in self._teams.items()}
        await release_holder(self.table, self._lease, keep)

    async def _move_forever(self) -> None:
        while True:
            await self.move_all()
            await trio.sleep(self.settings.limits.rebalance_seconds)

    async def move_all(self) -> None:
        """Make one move for each team that this daemon serves."""
        fleet = self._read_demands()
        teams = iter(tuple(self._teams))
        async with trio.open_nursery() as nursery:
            for _ in range(MOVES_AT_ONCE):
                nursery.start_soon(self._move_teams, teams, fleet)

    async def _move_teams(self, teams: Iterator[str], fleet: FleetDemands) -> None:
        for team in teams:
            await self._try("move", partial(self._move, team, fleet))
            self._teams[team].notify()
            # Most teams need no move; requests are served between them.
            await trio.lowlevel.checkpoint()

    async def _move(self, team: str, fleet: FleetDemands) -> None:
        slots = self._find_team(team)
        if slots is None or not self._lease.is_valid():
            return
        self.peers.publish_demand(team, measure_demand(slots))
        if not slots.escrow.within(slots.split) or slots.is_changed():
            await slots.escrow.settle(slots.used_parts(), slots.split)
        others = fleet.others.get(team, [])
        neighbours = fleet.neighbours.get(team, [])
        move = plan_move(slots, others, neighbours)
        await apply_move(move, slots.escrow, slots.split)

    def _read_demands(self) -> FleetDemands:
        """Read the peers' figures once for a round over all teams.

        Reading them for each team took 0.75 s of processor time per round at
        570 teams and 66 daemons.
        """
        fleet = FleetDemands()
        alive = {
            member.name: member.data_centre
            for member in self.peers.members()
            if member.alive and member.name != self.settings.daemon.name
        }
        for daemon, teams in self.peers.demands().items():
            if daemon in alive:
                is_near = alive[daemon] == self.settings.daemon.data_centre
                fleet.add(teams, is_near)
        return fleet

    async def _try(self, action: str, function) -> None:
        """Run a step that a later round repeats when the platform is down."""
        try:
            await function()
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self.freshness.record_platform_failure()
            log.warning("{} of slots failed: {}", action, error)
        except HemlockstandError as error:
            log.warning("{} of slots refused: {}", action, error)
