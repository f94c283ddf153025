"""Seeded faults of the machines' interface, and changes of the scheduler."""

from collections.abc import Callable
from random import Random

import trio
from attrs import define, field

from emulator.fleet_instances import InstanceAccess
from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.model import InstanceEntry
from hemlockstand.platform.machines import LeaseHolder, OrderOutcome
from test.fleet_world import Daemon, FleetWorld

TIMEOUT_SECONDS = 2.0
ORDER_FAULTS = (
    "none",
    "slow",
    "slow",
    "slow",
    "refused",
    "request lost",
    "answer lost",
    "late",
)
LATE_SECONDS = (0.1, 6.0)
KILL_PROBABILITY = 0.02
DOWN_SECONDS = (0.3, 3.0)


@define(eq=False)
class FaultyInstanceAccess(InstanceAccess):
    """One daemon's client of machines that are slow and lose calls.

    ``pass_await`` is called wherever a call waits. ``nursery`` runs the orders
    that are carried out after their timeout. ``handle_order`` is called when
    an order is carried out, and ``accepted`` holds the fences and instances
    of the answers that reached the daemon.
    """

    nursery: trio.Nursery = field(kw_only=True)
    random: Random = field(kw_only=True)
    pass_await: Callable[[], None] = field(kw_only=True)
    handle_order: Callable[[str], None] = field(kw_only=True)
    accepted: set[tuple[int, str]] = field(kw_only=True)
    faulty: bool = True

    async def _wait(self, longest: float) -> None:
        if self.faulty:
            self.pass_await()
            await trio.sleep(self.random.uniform(0, longest))

    async def list_instances(self) -> list[InstanceEntry]:
        """Return the instances, read in two pages at different times."""
        if self.faulty and self.random.random() < 0.15:
            await self._wait(TIMEOUT_SECONDS)
            raise PlatformUnavailable("no answer to the list")
        slow = self.random.choice((0.05, 0.3, 0.6))
        await self._wait(slow)
        listed = await super().list_instances()
        split = len(listed) // 2
        await self._wait(slow)
        later = await super().list_instances()
        await self._wait(slow)
        return listed[:split] + later[split:]

    async def move(self, instance: str, pool: str, holder: LeaseHolder) -> OrderOutcome:
        """Move an instance, or lose the order."""
        carry_out = super().move
        return await self._send(instance, lambda: carry_out(instance, pool, holder))

    async def maintain(
        self, instance: str, wave: int, holder: LeaseHolder
    ) -> OrderOutcome:
        """Start the upkeep of an instance, or lose the order."""
        assert (holder.fence, instance) not in self.accepted, "ordered again"
        carry_out = super().maintain
        outcome = await self._send(instance, lambda: carry_out(instance, wave, holder))
        if outcome is OrderOutcome.ACCEPTED:
            self.accepted.add((holder.fence, instance))
        return outcome

    async def _send(self, instance: str, carry_out: Callable) -> OrderOutcome:
        fault = "none"
        if self.faulty:
            fault = self.random.choice(ORDER_FAULTS)
        match fault:
            case "refused":
                raise PlatformUnavailable("too many orders")
            case "request lost":
                await self._wait(TIMEOUT_SECONDS)
                raise OutcomeUnknown("the order was lost")
            case "late":
                self.nursery.start_soon(self._carry_out_late, instance, carry_out)
                await self._wait(TIMEOUT_SECONDS)
                raise OutcomeUnknown("the order is delayed")
            case "slow":
                await self._wait(TIMEOUT_SECONDS)
        outcome = await carry_out()
        self.handle_order(instance)
        if fault == "answer lost":
            await self._wait(TIMEOUT_SECONDS)
            raise OutcomeUnknown("the answer was lost")
        return outcome

    async def _carry_out_late(self, instance: str, carry_out: Callable) -> None:
        await trio.sleep(TIMEOUT_SECONDS + self.random.uniform(*LATE_SECONDS))
        await carry_out()
        self.handle_order(instance)


@define(eq=False)
class WaveFaults:
    """Faulty clients of all daemons, and changes of the scheduler."""

    world: FleetWorld
    random: Random
    handle_order: Callable[[str], None]
    faulty: bool = True
    accepted: set[tuple[int, str]] = field(factory=set)

    def start_daemon(self, name: str) -> None:
        """Start a daemon whose client of the machines is faulty."""
        daemon = self.world.start_daemon(name)
        daemon.instances = FaultyInstanceAccess(
            self.world.instances,
            nursery=self.world.nursery,
            random=self.random,
            pass_await=lambda: self._may_kill(daemon),
            handle_order=self.handle_order,
            accepted=self.accepted,
            faulty=self.faulty,
        )

    def _may_kill(self, daemon: Daemon) -> None:
        if self.random.random() < KILL_PROBABILITY:
            self.world.nursery.start_soon(self._replace, daemon)

    async def _replace(self, daemon: Daemon) -> None:
        if self.world.daemons[daemon.name] is not daemon:
            return
        self.world.kill(daemon)
        await trio.sleep(self.random.uniform(*DOWN_SECONDS))
        if self.world.daemons[daemon.name] is daemon:
            self.start_daemon(daemon.name)

    async def replace_leaders(self, seconds: float) -> None:
        """Kill the leading daemon at random times, at any of its awaits."""
        end_at = trio.current_time() + seconds
        while trio.current_time() < end_at:
            await trio.sleep(self.random.uniform(0.5, 8.0))
            holder = self.world.daemons.get(self.world.lease_holder())
            if holder is not None:
                self.world.nursery.start_soon(self._replace, holder)

    async def fail_instances(self, seconds: float) -> None:
        """Take instances out of service for some seconds each."""
        end_at = trio.current_time() + seconds
        while trio.current_time() < end_at:
            await trio.sleep(self.random.uniform(1.0, 6.0))
            name = self.random.choice(list(self.world.instances.instances))
            self.world.instances.fail(name, self.random.uniform(0.5, 4.0))

    def end(self) -> None:
        """Let all calls be answered from now on."""
        self.faulty = False
        for daemon in self.world.daemons.values():
            daemon.instances.faulty = False
