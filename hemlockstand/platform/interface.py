"""The interface through which the system reaches the platform.

Its adapters are ``platform.http`` for the platform's service and
``platform.memory`` for tests and embedding.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any, Protocol

from attrs import frozen

from hemlockstand.model import Priority

ANY_VERSION = None
ABSENT = 0


@frozen
class Row:
    """A row of the table; version 0 means that the row does not exist."""

    key: str
    value: Mapping[str, Any]
    version: int


@frozen
class Put:
    """Write a row if it has the expected version (``None`` for any)."""

    key: str
    value: Mapping[str, Any]
    expected: int | None


@frozen
class Delete:
    """Delete a row if it has the expected version (``None`` for any)."""

    key: str
    expected: int | None


@frozen
class Check:
    """Require a row to have the expected version without writing it."""

    key: str
    expected: int


Operation = Put | Delete | Check


class Table(Protocol):
    """Transactional table service.

    Every method raises ``PlatformUnavailable`` when the call was certainly
    not applied.
    """

    async def read(self, key: str) -> Row:
        """Return the row; an absent one has version 0 and an empty value."""
        ...

    async def read_many(self, keys: Sequence[str]) -> list[Row]:
        """Return the rows in the order of the keys, from one snapshot."""
        ...

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        """Return rows with the prefix whose key sorts after ``after``."""
        ...

    async def transact(self, operations: Sequence[Operation]) -> tuple[int, ...]:
        """Apply all operations or none; return the rows' new versions.

        Raises ``TableConflict`` when a row had another version, and
        ``OutcomeUnknown`` when the reply was lost.
        """
        ...


class ObjectStore(Protocol):
    """Store of immutable byte strings by name."""

    async def put(self, name: str, data: bytes) -> None:
        """Store the object; raises ``OutcomeUnknown`` on a lost reply."""
        ...

    async def get(self, name: str) -> bytes:
        """Return the object; raises ``NotFound``."""
        ...


class InstanceKind(StrEnum):
    """Kind of the program that runs on an instance."""

    ENTRY = "entry"
    EXECUTOR = "executor"
    WORKER = "worker"


class InstanceState(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class InstanceRecord:
    """An entry of the platform's instance list, which lags by seconds.

    ``cores``, ``memory_mb`` and ``accelerators`` are set for workers;
    ``pool`` is the pool that the platform created the instance for.
    """

    id: str
    kind: InstanceKind
    region: str
    data_centre: str
    rack: str
    address: str
    state: InstanceState
    pool: str = ""
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class Instances(Protocol):
    """The lagging list of live and leaving instances."""

    async def list(self) -> list[InstanceRecord]:
        """Return all instances, as of some seconds ago."""
        ...


@frozen
class Shape:
    """Resources of a task or a worker."""

    cores: float
    memory_mb: int
    accelerators: int = 0


class TaskState(StrEnum):
    """State of a task on a worker."""

    RUNNING = "running"
    THROTTLED = "throttled"
    CHECKPOINTED = "checkpointed"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@frozen
class TaskStart:
    """A request to run a task under a lease.

    ``fence`` grows with each start of the same task; a worker refuses a start
    whose fence is not larger than the largest it has seen for the task.
    """

    task: str
    fence: int
    lease_seconds: float
    shape: Shape
    priority: Priority
    payload: Mapping[str, Any]


@frozen
class TaskReport:
    """A worker's report on a task; ``usage`` lags by seconds."""

    task: str
    fence: int
    state: TaskState
    usage: Shape
    detail: str = ""


@frozen
class WorkerReport:
    """A worker's report on its tasks."""

    worker: str
    tasks: tuple[TaskReport, ...]


class Workers(Protocol):
    """Task control on workers.

    All methods raise ``PlatformUnavailable``, ``OutcomeUnknown``, ``NotFound``
    for an unknown worker or task, and ``InvalidInput`` with code
    ``stale_fence``.
    """

    async def start(self, worker: str, task: TaskStart) -> None: ...

    async def renew(
        self, worker: str, task: str, fence: int, lease_seconds: float
    ) -> None: ...

    async def checkpoint(self, worker: str, task: str, fence: int) -> None: ...

    async def throttle(
        self, worker: str, task: str, fence: int, fraction: float
    ) -> None: ...

    async def stop(self, worker: str, task: str, fence: int) -> None: ...

    async def report(self, worker: str) -> WorkerReport: ...

    async def reports(self, workers: Sequence[str]) -> list[WorkerReport]:
        """Return the reports of the workers that have one."""
        ...


@frozen
class MachineHealth:
    """Current state of an instance, as known to the platform.

    ``phase`` is ``serving``, ``draining``, ``drained`` or ``rebooting``;
    ``boots`` counts completed reboots.
    """

    id: str
    phase: str
    healthy: bool
    boots: int


class Machines(Protocol):
    """Drain, reboot and health of single instances."""

    async def drain(self, instance: str) -> None: ...

    async def undrain(self, instance: str) -> None: ...

    async def reboot(self, instance: str) -> None: ...

    async def health(self, instance: str) -> MachineHealth: ...


class Platform(Protocol):
    """All services of the platform."""

    table: Table
    objects: ObjectStore
    instances: Instances
    workers: Workers
    machines: Machines
