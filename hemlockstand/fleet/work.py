"""The scheduler's jobs, steps, subtasks and runs in memory."""

from collections.abc import Iterator, Set as AbstractSet
from enum import Enum, auto

from attrs import define, field

from hemlockstand.fleet.model import JobSpec, JobState, JobStatus, Step


class RunState(Enum):
    """State of a run as far as the scheduler knows."""

    STARTING = auto()  # the order is in flight
    UNSURE = auto()  # the order got no answer and may still be carried out
    RUNNING = auto()
    STOPPING = auto()


@define(eq=False, slots=True)
class Run:
    """A run of a subtask; times are on the scheduler's clock."""

    number: int
    executor: str
    fence: int
    ordered_at: float
    state: RunState = RunState.STARTING
    answered_at: float | None = None
    connection_lost: bool = False  # while the executor had the start order
    percent: int = 0
    percent_at: float = 0.0
    unchanged_polls: int = 0  # polls since the percent changed
    load: int = 0
    pace: int = 100
    checkpoint: str = ""

    @property
    def may_be_unstarted(self) -> bool:
        """Whether the executor may never have carried out the start order.

        A stop that overtakes the order makes the executor refuse it.
        """
        return self.answered_at is None and self.state in (
            RunState.UNSURE,
            RunState.STOPPING,
        )


@define(eq=False, slots=True)
class Subtask:
    """One of the alike subtasks of a step."""

    step_run: "StepRun"
    index: int
    name: str
    runs: int = 0
    run: Run | None = None
    done: bool = False
    failures: set[int] = field(factory=set)
    crashes: int = 0  # executors that crashed under it
    checkpoint: str = ""
    not_before: float = 0.0
    avoid: set[str] = field(factory=set)

    @property
    def step(self) -> Step:
        """The step that the subtask belongs to."""
        return self.step_run.step

    @property
    def job(self) -> "Job":
        """The job that the subtask belongs to."""
        return self.step_run.job


@define(eq=False, slots=True)
class StepRun:
    """A step in one occurrence of a job."""

    job: "Job"
    occurrence: int
    position: int
    step: Step
    subtasks: list[Subtask] = field(factory=list)
    waiting: dict[int, Subtask] = field(factory=dict)
    done: int = 0  # bit set of the indexes that are done
    unlocked_at: float = 0.0
    # Predicted time of the longest chain from this step on.
    remaining_seconds: float = 0.0
    announce_requested: bool = False  # is to be stored as possibly started
    announced: bool = False  # is stored as possibly started
    inherited: bool = False  # a previous scheduler may have started it

    @property
    def key(self) -> str:
        """Identifier within the job, as in the status row."""
        return f"{self.occurrence}.{self.position}"

    @property
    def name(self) -> str:
        """Identifier across jobs."""
        return f"{self.job.id}.{self.key}"

    @property
    def complete(self) -> bool:
        """Whether all subtasks have ended as done."""
        return self.done == (1 << self.step.count) - 1

    @property
    def has_begun(self) -> bool:
        """Whether a subtask runs or is done."""
        return len(self.waiting) < self.step.count

    @property
    def unlocked(self) -> bool:
        """Whether the subtasks may run."""
        return bool(self.subtasks)

    def may_run_unknown(self, blocked_pools: AbstractSet[str]) -> bool:
        """Return whether a previous scheduler's runs may exist in blocked pools.

        The queue may have been sent to another pool since they were started.
        """
        return self.inherited and not self.job.pools.isdisjoint(blocked_pools)


@define(eq=False, slots=True)
class Job:
    """A job that has not ended, or ended a short time ago.

    ``pools`` holds the pools in which runs may be started, ``stored_pools`` those
    of them that the next scheduler would know.
    """

    spec: JobSpec
    version: int
    state: JobState = JobState.QUEUED
    steps: dict[tuple[int, int], StepRun] = field(factory=dict)
    cancelled: bool = False
    started: bool = False
    ended_ms: int = 0
    accepted_at: float = 0.0
    deadline: float = 0.0
    objective_seconds: float = 0.0
    pools: set[str] = field(factory=set)
    stored_pools: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.pools.add(self.spec.pool)
        self.stored_pools.add(self.spec.pool)

    @property
    def id(self) -> str:
        """Identifier that the caller chose."""
        return self.spec.id

    def subtasks(self) -> Iterator[Subtask]:
        """Yield the subtasks of all unlocked steps."""
        return (
            subtask for step_run in self.steps.values() for subtask in step_run.subtasks
        )

    def runs(self) -> Iterator[Subtask]:
        """Yield the subtasks that have a run."""
        return (subtask for subtask in self.subtasks() if subtask.run is not None)

    def make_status(self) -> JobStatus:
        """Return the status row of the job."""
        if self.state.final:
            return JobStatus(self.state, ended_ms=self.ended_ms)
        done = {run.key: run.done for run in self.steps.values() if run.done}
        failures = {
            f"{subtask.step_run.key}.{subtask.index}": tuple(subtask.failures)
            for subtask in self.subtasks()
            if subtask.failures and not subtask.step.lasting
        }
        crashes = {
            f"{subtask.step_run.key}.{subtask.index}": subtask.crashes
            for subtask in self.subtasks()
            if subtask.crashes and not subtask.done
        }
        announced = tuple(
            run.key
            for run in self.steps.values()
            if (run.announce_requested or run.inherited) and not run.complete
        )
        other_pools = tuple(sorted(self.pools - {self.spec.pool}))
        return JobStatus(
            self.state,
            done,
            failures,
            announced,
            crashes=crashes,
            other_pools=other_pools,
        )
