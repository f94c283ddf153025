"""Types that the scheduler, the frontends and the adapter share.

The adapter in ``hemlockstand.platform`` decodes the platform's messages into
these types. Sizes are thousandths of a core, megabytes and whole
accelerators; times are milliseconds unless a name says seconds.
"""

from collections.abc import Mapping
from enum import StrEnum
from functools import cached_property

from attrs import field, frozen

# Owner of a job that was submitted without a key, to a public queue. Every caller
# may follow and cancel it.
NO_TENANT = ""


@frozen
class Resources:
    """Resources of a subtask, an executor or a tenant's maximum."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: "Resources") -> bool:
        """Return whether this fits into the free resources ``room``."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def add(self, other: "Resources", times: int = 1) -> "Resources":
        """Return the sum of this and ``times`` the other."""
        return Resources(
            self.cpu_millis + times * other.cpu_millis,
            self.memory_mb + times * other.memory_mb,
            self.accelerators + times * other.accelerators,
        )

    def scale(self, factor: float) -> "Resources":
        """Return the resources multiplied and rounded down."""
        return Resources(
            int(self.cpu_millis * factor),
            int(self.memory_mb * factor),
            int(self.accelerators * factor),
        )


@frozen
class Advice:
    """Cost and validity of advice on the executors that a queue may use."""

    decision_ms: int
    per_executor_ms: int
    validity_ms: int


@frozen
class Queue:
    """A queue of jobs, selected by host and path prefix.

    ``slack_factor`` times the longest chain of work plus ``objective_ms`` is
    the time in which a job should complete.
    """

    name: str
    host: str
    prefix: str
    pool: str
    public: bool
    priority: int
    attempts: int
    slack_factor: float
    objective_ms: int
    advice: Advice | None = None

    @property
    def terms(self) -> "QueueTerms":
        """What the queue says of how its jobs run."""
        return QueueTerms(
            self.attempts,
            self.priority,
            self.slack_factor,
            self.objective_ms,
            self.advice,
        )


@frozen
class QueueTerms:
    """What a queue says of how its jobs run, beside the pool.

    A job keeps the terms that held when it was accepted, since its queue may
    leave the configuration. ``attempts`` is 0 if it is not known.
    """

    attempts: int = 0
    priority: int = 0
    slack_factor: float = 1.0
    objective_ms: int = 0
    advice: Advice | None = None


@frozen
class Pool:
    """A pool of executors, which run the subtasks of its queues.

    An executor is cold, that is slow, for ``cold_start_seconds`` after its own
    start. Until then it takes ``cold_starts_per_second``, unless that is 0.
    """

    name: str
    admission_check: bool
    standby: bool
    cold_start_seconds: float = 0.0
    cold_starts_per_second: float = 0.0


@frozen
class Tenant:
    """A tenant with its keys, its share and the most resources it may use."""

    name: str
    keys: frozenset[str]
    weight: float
    maximum: Resources


@frozen(slots=False)
class FleetConfig:
    """One version of the operator's configuration.

    ``evacuated`` holds the data centres to which nothing may be sent at
    present; it changes without a new version.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: Mapping[str, Pool]
    tenants: Mapping[str, Tenant]
    max_body_bytes: int
    evacuated: frozenset[str] = frozenset()

    @cached_property
    def queues_by_name(self) -> Mapping[str, Queue]:
        """The queues by name."""
        return {queue.name: queue for queue in self.queues}

    @cached_property
    def terms_by_queue(self) -> Mapping[str, QueueTerms]:
        """The terms of the queues by name."""
        return {queue.name: queue.terms for queue in self.queues}

    @cached_property
    def tenants_by_key(self) -> Mapping[str, Tenant]:
        """The tenants by each of their keys."""
        return {key: tenant for tenant in self.tenants.values() for key in tenant.keys}

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path, if any."""
        matches = (
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        )
        return max(matches, key=lambda queue: len(queue.prefix), default=None)


@frozen
class ExecutorEntry:
    """An executor's own entry in the store.

    ``born_ms`` identifies its lifetime: it differs after a restart under the
    same id, which ends all runs of the earlier lifetime. For
    ``cold_remaining_ms`` after the entry was written the executor is slow.
    """

    id: str
    pool: str
    address: str
    data_centre: str
    draining: bool
    remaining_ms: int | None
    born_ms: int | None
    capacity: Resources
    labels: tuple[str, ...]
    cold_remaining_ms: int = 0

    @property
    def rack(self) -> str:
        """Rack of the executor; the labels hold its kind, then its rack."""
        return self.labels[1] if len(self.labels) > 1 else ""


class InstanceState(StrEnum):
    """State of an instance of the fleet."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@frozen
class InstanceEntry:
    """An instance as the platform's machine service lists it.

    ``executor`` is empty while no executor runs on it, as on standby.
    """

    name: str
    pool: str
    state: InstanceState
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    executor: str

    @property
    def rack(self) -> str:
        """Rack of the instance."""
        return self.labels[1] if len(self.labels) > 1 else ""


@frozen
class Wave:
    """A request to maintain instances within a time.

    ``maximum`` limits how many of them may be down for it at once.
    """

    number: int
    instances: tuple[str, ...]
    duration_s: float
    maximum: int


@frozen
class Step:
    """A step of a job: ``count`` alike subtasks.

    ``after`` holds the positions of the steps that must be done first.
    ``fills`` means that its subtasks only use cpu that others leave unused.
    """

    count: int
    size: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_executor: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


def get_reservation(step: Step) -> Resources:
    """Return the resources to reserve for a subtask of a step.

    Subtasks that only use spare cpu (``fills``) reserve none.
    """
    if step.fills:
        return Resources(0, step.size.memory_mb, step.size.accelerators)
    return step.size


@frozen
class JobSpec:
    """A job as it was accepted.

    ``repeats`` greater than 0 makes occurrence K due at ``start_at_ms`` plus
    K times ``interval_ms``, Unix time. ``terms`` are those of the queue at that
    time; jobs that an earlier version stored have none.
    """

    id: str
    queue: str
    pool: str
    tenant: str
    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0
    terms: QueueTerms = field(factory=QueueTerms)

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repeats)

    @property
    def timed(self) -> bool:
        """Whether the occurrences have due times."""
        return self.repeats > 0

    @property
    def lasting(self) -> bool:
        """Whether a step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)


class JobState(StrEnum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state cannot change any more."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


def may_refer_to(spec: JobSpec, tenant: str, queue: str) -> bool:
    """Return whether a call of a tenant in a queue may refer to a job.

    Only a public queue admits calls without a key (``NO_TENANT``). They may refer to
    all of its jobs, also to those that were submitted with a key before it was
    public, but to no jobs of other queues. A job that was submitted without a key
    has no tenant that others could be told from, also once its queue requires one.
    """
    if spec.tenant in (NO_TENANT, tenant):
        return True
    return tenant == NO_TENANT and spec.queue == queue


@frozen
class JobStatus:
    """Status row of a job, as the scheduler stores it.

    ``done`` holds, by ``K.STEP``, the subtasks that have ended as done, as a
    bit set. A job of many subtasks has ``done_bits`` and ``announced_bits`` in place
    of ``done`` and ``announced``: sets of positions in the job, as text.
    ``failures`` holds the numbers of the failed runs by
    ``K.STEP.INDEX``: an end is listed until it is acknowledged, so a new
    scheduler may see one that is counted already. ``announced`` holds the
    steps by ``K.STEP`` that may have been started; it is stored before the
    first start. ``crashes`` holds, by ``K.STEP.INDEX``, how many executors have
    crashed under a subtask. Of these, ``suspected`` holds the ones that may have been
    cut off in place, with the start of their lifetimes in Unix milliseconds (0 if
    unknown). ``other_pools`` holds the pools in which runs may have
    been started since the queue was sent there, beside the pool of the
    submission; it is stored before the first start in one. Failures and crashes
    beyond the first subtasks are in rows of their own, ``JobAttempts``.
    """

    state: JobState
    done: Mapping[str, int] = field(factory=dict)
    failures: Mapping[str, tuple[int, ...]] = field(factory=dict)
    announced: tuple[str, ...] = ()
    ended_ms: int = 0
    crashes: Mapping[str, int] = field(factory=dict)
    other_pools: tuple[str, ...] = ()
    done_bits: str = ""
    announced_bits: str = ""
    suspected: Mapping[str, Mapping[str, int]] = field(factory=dict)


@frozen
class JobAttempts:
    """Failed runs and crashes of a block of a job's subtasks, as in ``JobStatus``."""

    failures: Mapping[str, tuple[int, ...]] = field(factory=dict)
    crashes: Mapping[str, int] = field(factory=dict)
    suspected: Mapping[str, Mapping[str, int]] = field(factory=dict)


@frozen
class RunEntry:
    """A run in progress as an executor lists it.

    ``load`` is the tail of the response times in milliseconds for a subtask
    that serves users, and the cpu in use for any other subtask.
    """

    subtask: str
    run: int
    checkpoint: str
    percent: int
    load: int


class EndKind(StrEnum):
    """How a run ended; ``BROKEN`` means that its gang lost another member."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@frozen
class EndEntry:
    """The end of a run, listed until its number is acknowledged."""

    number: int
    subtask: str
    run: int
    kind: EndKind
    checkpoint: str


@frozen
class HoldAnswer:
    """All runs in progress of an executor, and its unacknowledged ends.

    ``may_have_more_ends`` means that there may be further ends, which the
    executor lists once these have been acknowledged. ``addressed`` tells whether
    the call was meant for the lifetime that has answered: otherwise it has neither
    extended the lease nor acknowledged any ends.
    """

    clock_ms: int
    born_ms: int | None
    running: tuple[RunEntry, ...]
    ended: tuple[EndEntry, ...]
    may_have_more_ends: bool = False
    addressed: bool = True


class Refusal(StrEnum):
    """Why an executor did not start a run."""

    FENCE = "fence"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_LIFETIME = "other lifetime"
    RESTARTED = "restarted"  # the executor is in another lifetime, and has no order
    NOT_SENT = "not sent"  # the scheduler itself withdrew the order


@frozen
class Started:
    """The executor has the run."""

    clock_ms: int | None


@frozen
class Refused:
    """The order was refused; it cannot start the run any more."""

    reason: Refusal
    clock_ms: int | None = None


@frozen
class Unanswered:
    """The order got no answer; it may be carried out, even seconds later.

    ``connection_lost`` means that the executor ended the connection, rather
    than leave the order unanswered.
    """

    detail: str
    connection_lost: bool = False


StartOutcome = Started | Refused | Unanswered


@frozen
class StartOrder:
    """An order to run a subtask until ``due_ms`` on the executor's clock.

    Only the lifetime of the executor that began at ``born_ms`` may get it, or any
    if that is None.
    """

    subtask: str
    run: int
    payload: str
    due_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""
    born_ms: int | None = None
