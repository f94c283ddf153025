"""Team limits: escrowed slots, taken by requests without a table access.

The service renews the daemon's holder row, moves idle slots between daemons
in conditional transactions and reclaims the slots of silent daemons.
"""

from functools import partial
from random import random

import trio
from loguru import logger

from hemlockstand.coordination.escrow import ELASTIC, Escrow, Split, split_limit
from hemlockstand.coordination.freshness import Scope
from hemlockstand.coordination.lease import (
    HolderLease,
    HolderWatch,
    LeaseLost,
    LeaseTerms,
    make_lease_clock,
)
from hemlockstand.errors import (
    HemlockstandError,
    InvalidInput,
    OutcomeUnknown,
    PlatformUnavailable,
)
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.model import Team
from hemlockstand.platform.service import PlatformService
from hemlockstand.requests.moves import (
    DemandView,
    apply_move,
    measure_demand,
    plan_move,
    view_demands,
)
from hemlockstand.requests.reclaim import LIMIT_PREFIX, Reclaimer, release_holder
from hemlockstand.requests.slots import Slot, TeamSlots

log = logger.bind(module=__name__)

# Admission computes the deadline a little before the slot is taken.
DEADLINE_TOLERANCE_SECONDS = 0.05
MAX_CONCURRENT_MOVES = 8
IDLE_POLL_SECONDS = 0.05


@register
class LimitsService(Service):
    """Hands out the slots of the teams' limits."""

    name = "limits"
    needs = ("platform", "configuration", "freshness", "peers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.table = kernel.find("platform", PlatformService).platform.table
        self.configuration = kernel.find("configuration", Service)
        self.freshness = kernel.find("freshness", Service)
        self.peers = kernel.find("peers", Service)
        self.clock = trio.current_time
        self._lease_clock = make_lease_clock(trio.current_time)
        self._session_number = 0
        self._lease = self._make_lease()
        self._teams: dict[str, TeamSlots] = {}
        self._known_teams: dict[str, tuple[Team, int]] = {}
        self._move_limiter = trio.CapacityLimiter(MAX_CONCURRENT_MOVES)
        self._moving: set[str] = set()
        self._moved_at: dict[str, float] = {}
        self._teams_in_need: set[str] = set()
        self._move_requested = trio.Event()
        self._stopped = False
        self._longest_deadline = self.settings.requests.max_deadline_seconds

    async def start(self) -> None:
        """Register the holder; in an outage ``run`` registers it later."""
        await self._run_step("registration of the limit holder", self._lease.renew)

    async def run(self) -> None:
        """Renew the lease, and move and reclaim slots, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_forever)
            nursery.start_soon(self._move_forever)
            nursery.start_soon(self._move_on_demand)
            nursery.start_soon(self._reclaim_forever)

    async def stop(self) -> None:
        """Wait for the running requests, then release all slots."""
        while any(slots.has_running() for slots in self._teams.values()):
            await trio.sleep(IDLE_POLL_SECONDS)
        self._stopped = True
        await self._run_step("release of the limit slots", self._release_all)

    def take(self, team: str, deadline: float, keyed: bool) -> Slot | None:
        """Take a slot for a request that ends by ``deadline``, if one is free.

        ``keyed`` requests also need a fresh configuration. Raises
        ``InvalidInput`` for a deadline beyond the longest one allowed.
        """
        longest = self._longest_deadline + DEADLINE_TOLERANCE_SECONDS
        if deadline - self.clock() > longest:
            raise InvalidInput(f"deadline is more than {longest} seconds away")
        slots = self._find_team(team)
        return None if slots is None else slots.take(deadline, keyed)

    async def wait_slot(
        self, team: str, deadline: float, keyed: bool, waiting: int = 1
    ) -> Slot | None:
        """Wait for a slot until the deadline; return None if there is none.

        ``waiting`` is the number of requests for which the caller waits; it
        decides how many slots are moved to this daemon. The caller may use
        the slot for any of them, so the slot gets the longest deadline that
        is allowed until ``Slot.may_send`` receives that of the request.
        """
        slots = self._find_team(team)
        if slots is None:
            return None
        slots.waiting += waiting
        try:
            while self.clock() < deadline:
                slot = self.take(team, deadline, keyed)
                if slot is not None:
                    slot.deadline = self.clock() + self._longest_deadline
                    return slot
                self._request_move(team)
                with trio.move_on_at(min(deadline, slots.next_free_at())):
                    await slots.changed.wait()
            return None
        finally:
            slots.waiting -= waiting

    def _find_team(self, team: str) -> TeamSlots | None:
        """Return the team's slots with the limit in force, or None."""
        slots = self._teams.get(team)
        version = self.configuration.current.version
        if slots is not None and slots.split.version == version:
            return slots
        split = self._find_split(team)
        if split is None:
            return None
        if slots is None:
            slots = self._teams[team] = TeamSlots(
                team,
                self.settings.daemon.data_centre,
                self._make_escrow(team),
                split,
                partial(self._may_use, team),
                self.clock,
                self.settings.limits.margin_seconds,
            )
        slots.split = split
        return slots

    def _make_escrow(self, team: str) -> Escrow:
        return Escrow(self.table, LIMIT_PREFIX + team, self._lease.holder)

    def _find_split(self, team: str) -> Split | None:
        current = self.configuration.current
        entity = current.teams.get(team)
        if entity is None:
            self._known_teams.pop(team, None)
            return None
        # Versions share unchanged entities. A different object is therefore a
        # change, even if the limit was changed and changed back in between.
        known, since = self._known_teams.get(team, (None, 0))
        if known is not entity:
            since = current.version
            self._known_teams[team] = (entity, since)
        return split_limit(
            entity.request_limit,
            self.settings.limits.reserved_fraction,
            self.settings.daemon.data_centres,
            current.version,
            since,
        )

    def _may_use(self, team: str, part: str, keyed: bool) -> bool:
        """Check that slots of the part may be used at this moment.

        This also updates the team's limit, so that a check at the send is
        made against the configuration in force.
        """
        if self._find_team(team) is None:
            return False
        return self._is_usable(part, keyed)

    def _is_usable(self, part: str, keyed: bool) -> bool:
        if keyed and not self.freshness.is_fresh(Scope.FLEET):
            return False
        if self._lease.lost:
            return False
        return self._lease.is_valid() or self._has_outage_proof(part)

    def _has_outage_proof(self, part: str) -> bool:
        """Return whether the part's slots stay usable after the lease expired.

        They do while no daemon that may end this holder can have reached the
        platform. Reads of the platform by peers are no proof of that: a
        daemon that reaches it may reclaim the slots of this one.
        """
        scope = Scope.FLEET if part == ELASTIC else Scope.DATA_CENTRE
        return self._lease.is_covered_by_outage(part, self.freshness.outage_age(scope))

    def _make_lease(self) -> HolderLease:
        self._session_number += 1
        limits, requests = self.settings.limits, self.settings.requests
        terms = LeaseTerms(
            limits.lease_seconds,
            requests.max_deadline_seconds + DEADLINE_TOLERANCE_SECONDS,
            self.settings.keys.freshness_seconds,
        )
        return HolderLease(
            self.table,
            self.settings.daemon.name,
            f"{self.peers.incarnation}.{self._session_number}",
            self.settings.daemon.data_centre,
            terms,
            self._lease_clock,
        )

    async def _renew_forever(self) -> None:
        while True:
            await trio.sleep(self.settings.limits.renew_seconds)
            await self._run_step("renewal of the lease on limit slots", self._renew)
            # The check records a proof of an outage. The proofs must not be
            # far apart, so the check is also made when there are no requests.
            for part in (ELASTIC, self.settings.daemon.data_centre):
                self._is_usable(part, keyed=False)

    async def _renew(self) -> None:
        sent_at = self.clock()
        try:
            await self._lease.renew()
        except LeaseLost:
            log.warning(
                "another daemon ended the limit holder {} of this daemon, "
                "registering again",
                self._lease.holder,
            )
            await self._begin_session()
            sent_at = self.clock()
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
            await self._run_step(
                "reclaim of the slots of silent limit holders", reclaimer.run_once
            )

    async def _begin_session(self) -> None:
        """Register a new holder once no request runs on the lost slots."""
        if self._stopped:
            return
        while any(sum(slots.used_parts().values()) for slots in self._teams.values()):
            await trio.sleep(IDLE_POLL_SECONDS)
        await self._release_all()
        self._lease = self._make_lease()
        for slots in self._teams.values():
            slots.escrow = self._make_escrow(slots.team)
        await self._lease.renew()

    async def _release_all(self) -> None:
        """Release all slots except those whose request may still be running.

        The exceptions stay with the holder row; other daemons reclaim them
        like those of any silent holder.
        """
        self._lease.end()
        keep = {team: slots.used_parts() for team, slots in self._teams.items()}
        await release_holder(self.table, self._lease, keep)

    async def _move_forever(self) -> None:
        while True:
            await self.move_all()
            await trio.sleep(self.settings.limits.rebalance_seconds)

    async def move_all(self) -> None:
        """Publish the demand of all teams and move slots where needed."""
        view = view_demands(self.peers, self.settings.daemon)
        async with trio.open_nursery() as nursery:
            for team, slots in tuple(self._teams.items()):
                demand = measure_demand(slots, view.daemons)
                self.peers.publish_demand(team, demand)
                if self._needs_move(team, slots, view):
                    nursery.start_soon(self._move_team, team, view)

    def _needs_move(self, team: str, slots: TeamSlots, view: DemandView) -> bool:
        """Return whether a daemon waits for slots or the limit has changed."""
        if self._find_team(team) is None:
            return slots.held() > 0
        is_wanted = slots.waiting > 0 or view.is_wanted(team)
        is_capped = slots.cap is not None
        return is_wanted or is_capped or slots.is_changed() or not slots.is_within()

    def _request_move(self, team: str) -> None:
        """Move slots before the next round, unless they were moved recently.

        Otherwise the first request at a daemon without slots would wait for
        the next round.
        """
        last = self._moved_at.get(team, float("-inf"))
        if self.clock() - last < self.settings.limits.rebalance_seconds:
            return
        self._teams_in_need.add(team)
        self._move_requested.set()

    async def _move_on_demand(self) -> None:
        while True:
            await self._move_requested.wait()
            self._move_requested = trio.Event()
            teams, self._teams_in_need = self._teams_in_need, set()
            view = view_demands(self.peers, self.settings.daemon)
            async with trio.open_nursery() as nursery:
                for team in teams:
                    nursery.start_soon(self._move_team, team, view)

    async def _move_team(self, team: str, view: DemandView) -> None:
        if team in self._moving:
            return
        self._moving.add(team)
        self._moved_at[team] = self.clock()
        try:
            async with self._move_limiter:
                if self._lease.is_valid():
                    await self._run_step(
                        f"move of limit slots of team {team}",
                        partial(self._move, team, view),
                    )
                self._teams[team].notify()
        finally:
            self._moving.discard(team)

    async def _move(self, team: str, view: DemandView) -> None:
        slots = self._teams[team]
        if self._find_team(team) is None:
            # The team has been deleted; its running requests keep their slots.
            await slots.escrow.shrink(slots.used_parts(), slots.split)
            return
        if slots.is_changed() or not slots.is_within():
            await slots.escrow.apply_limit(slots.used_parts(), slots.split)
        move = plan_move(slots, view)
        await apply_move(move, slots.escrow, slots.split)

    async def _run_step(self, action: str, function) -> None:
        """Run a step; if it fails, a later round repeats it."""
        try:
            await function()
        except PlatformUnavailable as error:
            self.freshness.record_platform_failure()
            log.warning("{} failed, platform unavailable: {}", action, error)
        except OutcomeUnknown as error:
            # The write may have reached the platform, so this is no evidence
            # of an outage.
            self.freshness.record_platform_read(self.clock())
            log.warning("{} has an unknown outcome: {}", action, error)
        except HemlockstandError as error:
            log.warning("{} was refused: {}", action, error)
