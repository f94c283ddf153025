"""In-memory instances for tests and benchmarks of maintenance."""

from collections.abc import Callable

from attrs import define, evolve, field

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.platform.interface import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
    MachineHealth,
)


@define
class LocalMachines:
    """Instances that drain and reboot as soon as they are ordered to.

    Those in ``bad`` are unhealthy after a reboot. ``pools`` maps each instance
    to its pool. ``observe`` is called with the instance after each change.
    While ``unreachable``, calls fail with ``PlatformUnavailable``.
    """

    pools: dict[str, str]
    observe: Callable[[str], None] = lambda instance: None
    bad: set[str] = field(factory=set)
    unreachable: bool = False
    states: dict[str, MachineHealth] = field(factory=dict)
    reboots: list[str] = field(factory=list)
    _records: dict[str, InstanceRecord] = field(init=False)

    def __attrs_post_init__(self) -> None:
        for name in self.pools:
            self.states[name] = MachineHealth(name, "serving", True, 0)
        self._records = {
            name: InstanceRecord(
                name,
                InstanceKind.WORKER,
                "central",
                f"dc{index // 4}",
                f"r{index // 2 % 2}",
                "127.0.0.1:1",
                InstanceState.LIVE,
                pool,
            )
            for index, (name, pool) in enumerate(self.pools.items())
        }

    async def drain(self, instance: str) -> None:
        self._set(instance, phase="drained")

    async def undrain(self, instance: str) -> None:
        self._set(instance, phase="serving")

    async def reboot(self, instance: str) -> None:
        self.reboots.append(instance)
        boots = self.states[instance].boots + 1
        healthy = instance not in self.bad
        self._set(instance, phase="drained", healthy=healthy, boots=boots)

    async def health(self, instance: str) -> MachineHealth:
        if self.unreachable:
            raise PlatformUnavailable("platform does not answer")
        return self.states[instance]

    def fail(self, instance: str) -> None:
        """Make an instance unhealthy without an order."""
        self._set(instance, healthy=False)

    def list_records(self) -> dict[str, InstanceRecord]:
        """Return the instance list; it shows every instance as live."""
        return self._records

    def _set(self, instance: str, **changes) -> None:
        if self.unreachable:
            raise PlatformUnavailable("platform does not answer")
        self.states[instance] = evolve(self.states[instance], **changes)
        self.observe(instance)

    def is_serving(self, instance: str) -> bool:
        """Return whether the instance serves and is healthy."""
        state = self.states[instance]
        return state.healthy and state.phase == "serving"
