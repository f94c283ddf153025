"""Instances of the platform stand-in: delayed list, drains and reboots."""

from collections.abc import Callable, Iterator
from typing import Any, Literal

import msgspec
from attrs import define, field

from emulator.faults import Faults
from emulator.recorder import Recorder


class InstanceMessage(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /instances``.

    ``addresses`` holds, by data centre, the address that its instance list
    shows in place of ``address``, so that a link proxy can stand between data
    centres. A new instance is listed at once, without the list's lag, unless
    ``listed_at_once`` is false.
    """

    id: str
    kind: Literal["entry", "executor", "worker"]
    region: str
    data_centre: str
    rack: str
    address: str
    state: Literal["live", "leaving"] = "live"
    pool: str = ""
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    addresses: dict[str, str] = {}
    listed_at_once: bool = True


class UnknownInstance(Exception):
    """The instance is not registered."""


@define
class Instance:
    """A registered instance.

    ``states`` holds the states that the list shows, each with the time from
    which it holds; ``None`` means not listed.
    """

    message: InstanceMessage
    phase: str = "serving"
    healthy: bool = True
    boots: int = 0
    reboot_end: float = 0.0
    states: list[tuple[float, str | None]] = field(factory=list)

    def state_at(self, moment: float) -> str | None:
        """Return the listed state at a time, or ``None`` if not listed."""
        known = [state for since, state in self.states if since <= moment]
        return known[-1] if known else None


@define
class InstanceSimulator:
    """All instances of the platform; simulates their drains and reboots."""

    recorder: Recorder
    faults: Faults
    clock: Callable[[], float]
    instances: dict[str, Instance] = field(factory=dict)

    def register(self, message: InstanceMessage) -> Instance:
        """Add an instance, or replace the message of one still listed."""
        now = self.clock()
        known = self.instances.get(message.id)
        if known is not None and known.states[-1][1] is not None:
            known.message = message
            return known
        since = 0.0 if message.listed_at_once and known is None else now
        instance = Instance(message, states=[(since, message.state)])
        self.instances[message.id] = instance
        self.recorder.record_event("register", instance=message.id, kind=message.kind)
        return instance

    def remove(self, name: str) -> None:
        """Remove an instance; the list shows this after its lag."""
        instance = self.find(name)
        instance.states.append((self.clock(), None))
        self.recorder.record_event("remove", instance=name)

    def find(self, name: str) -> Instance:
        """Return a registered instance; raises ``UnknownInstance``."""
        if name not in self.instances:
            raise UnknownInstance(f"instance {name!r} does not exist")
        return self.instances[name]

    def list_instances(self, data_centre: str) -> list[dict[str, Any]]:
        """Return the list that a data centre sees, late by the list's lag."""
        moment = self.clock() - self.faults.instance_list_lag_seconds
        return [
            _show_instance(instance, state, data_centre)
            for instance in self.instances.values()
            if (state := instance.state_at(moment)) is not None
        ]

    def drain(self, name: str) -> Instance:
        """Begin a drain; has no effect unless the instance is serving."""
        instance = self.find(name)
        if instance.phase == "serving":
            self._enter_phase(instance, "draining", "drain", "leaving")
        return instance

    def finish_drain(self, name: str) -> None:
        """Mark a draining instance as drained."""
        instance = self.find(name)
        if instance.phase == "draining":
            self._enter_phase(instance, "drained", "drained", "leaving")

    def undrain(self, name: str) -> Instance:
        """Put an instance back into service, unless it is rebooting."""
        instance = self.find(name)
        if instance.phase in ("draining", "drained"):
            self._enter_phase(instance, "serving", "undrain", "live")
        return instance

    def reboot(self, name: str) -> Instance:
        """Begin a reboot; has no effect on an instance that is rebooting.

        ``finish_reboots`` returns the instance to service.
        """
        instance = self.find(name)
        if instance.phase != "rebooting":
            before = instance.phase
            instance.reboot_end = self.clock() + self.faults.reboot_seconds
            instance.healthy = False
            self._enter_phase(instance, "rebooting", "reboot", "leaving", before=before)
        return instance

    def finish_reboots(self) -> Iterator[Instance]:
        """End the reboots whose time is over and yield their instances."""
        now = self.clock()
        for instance in self.instances.values():
            if instance.phase == "rebooting" and instance.reboot_end <= now:
                instance.boots += 1
                bad = instance.message.id in self.faults.unhealthy_after_reboot
                instance.healthy = not bad
                self._enter_phase(instance, "serving", "rebooted", "live")
                yield instance

    def show_health(self, name: str) -> dict[str, Any]:
        """Return an instance's state with the fields of ``MachineHealth``."""
        instance = self.find(name)
        return {
            "id": name,
            "phase": instance.phase,
            "healthy": instance.healthy,
            "boots": instance.boots,
        }

    def _enter_phase(
        self, instance: Instance, phase: str, event: str, state: str, **values: Any
    ) -> None:
        instance.phase = phase
        instance.states.append((self.clock(), state))
        self.recorder.record_event(
            event,
            instance=instance.message.id,
            pool=instance.message.pool,
            healthy=instance.healthy,
            **values,
        )


def _show_instance(instance: Instance, state: str, data_centre: str) -> dict[str, Any]:
    message = instance.message
    return {
        "id": message.id,
        "kind": message.kind,
        "region": message.region,
        "data_centre": message.data_centre,
        "rack": message.rack,
        "address": message.addresses.get(data_centre, message.address),
        "state": state,
        "pool": message.pool,
        "cores": message.cores,
        "memory_mb": message.memory_mb,
        "accelerators": message.accelerators,
    }
