"""The scheduler's jobs, steps, subtasks and runs in memory."""

from collections.abc import Iterator, Mapping, Set as AbstractSet
from enum import Enum, auto
from itertools import accumulate
from types import MappingProxyType

from attrs import define, evolve, field

from hemlockstand.fleet.bit_sets import decode_bits, encode_bits, find_bits
from hemlockstand.fleet.model import JobAttempts, JobSpec, JobState, JobStatus, Step

# Jobs of more subtasks store what is done and announced as sets of positions:
# a key for each step would not fit into a row.
MAX_NAMED_SUBTASKS = 512
# Subtasks whose failures and crashes share a row.
BLOCK_SUBTASKS = 128
_NONE_SUSPECTED: Mapping[str, int] = MappingProxyType({})  # of most subtasks


class RunState(Enum):
    """State of a run as far as the scheduler knows."""

    STARTING = auto()  # the order is in flight
    UNSURE = auto()  # the order got no answer and may still be carried out
    RUNNING = auto()
    STOPPING = auto()


@define(eq=False, slots=True)
class Run:
    """A run of a subtask; times are on the scheduler's clock.

    ``is_copy`` tells that it was started while another run was in progress.
    ``born_ms`` is the lifetime of the executor that it was ordered from, if known.
    """

    number: int
    executor: str
    fence: int
    ordered_at: float
    state: RunState = RunState.STARTING
    born_ms: int | None = None
    answered_at: float | None = None
    confirmed: bool = False  # it is in the executor's lifetime that is known
    connection_lost: bool = False  # while the executor had the start order
    percent: int = 0
    percent_at: float = 0.0
    unchanged_polls: int = 0  # polls since the percent changed
    load: int = 0
    pace: int = 100
    checkpoint: str = ""
    resumed: bool = False  # from a checkpoint of an earlier run
    # Adopted after a takeover, or ordered without an answer.
    start_unknown: bool = False
    slowed: bool = False  # ran below its full speed at some time
    stopped_at: float | None = None  # time of the first stop order
    pool: str = ""  # pool of the executor at the time of the order
    is_copy: bool = False
    check_number: int = 0  # of its valid entry in the index of copies

    @property
    def partial(self) -> bool:
        """Whether its time since the start does not tell how long a run takes."""
        return self.resumed or self.start_unknown

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
    """One of the alike subtasks of a step.

    ``copy`` is a second run on another executor, of a speculative step.
    There is one only beside a first: if that goes, the copy takes its place.
    """

    step_run: "StepRun"
    index: int
    name: str
    runs: int = 0
    run: Run | None = None
    copy: Run | None = None
    copies: int = 0  # how many were started in this scheduler's term
    done: bool = False
    failures: set[int] = field(factory=set)
    crashes: int = 0  # executors that crashed under it, or may have
    # Those of them that may have been cut off, with their lifetimes.
    suspected: Mapping[str, int] = _NONE_SUSPECTED
    checkpoint: str = ""
    checkpoint_percent: int = 0  # of its run, while others began beside it
    not_before: float = 0.0
    avoid: set[str] = field(factory=set)

    @property
    def key(self) -> str:
        """Identifier within the job, as in the status row."""
        return f"{self.step_run.key}.{self.index}"

    @property
    def position(self) -> int:
        """Number within the job, from 0."""
        return self.step_run.first_position + self.index

    @property
    def block(self) -> int:
        """Number of the row that has its failures and crashes; 0 is the status."""
        return self.position // BLOCK_SUBTASKS

    @property
    def proven_crashes(self) -> int:
        """How many executors have certainly crashed under it."""
        return self.crashes - len(self.suspected)

    @property
    def has_attempts(self) -> bool:
        """Whether failures or crashes count for its next run."""
        failures = self.failures and not self.step.lasting
        return not self.done and bool(failures or self.crashes)

    def find_run(self, executor: str) -> Run | None:
        """Return the run on an executor; no two runs are on the same one."""
        for run in (self.run, self.copy):
            if run is not None and run.executor == executor:
                return run
        return None

    def add_run(self, run: Run) -> None:
        """Add a run; beside another one it is the copy."""
        if self.run is None:
            self.run = run
            self.checkpoint_percent = 0
        else:
            assert self.copy is None, f"{self.name} has two runs"
            self.copy = run
        self.runs = max(self.runs, run.number)

    def remove_run(self, run: Run) -> None:
        """Remove a run; the copy takes the place of the first."""
        if self.run is run:
            self.run = self.copy
        self.copy = None

    def find_other_run(self, run: Run) -> Run | None:
        """Return the run beside another one."""
        return self.copy if self.run is run else self.run

    def keep_checkpoint(self, checkpoint: str, percent: int) -> None:
        """Keep the checkpoint of a run; of two runs that of the more advanced."""
        if not checkpoint:
            return
        beside = self.step.speculative and not self.step.gang
        if beside and percent < self.checkpoint_percent:
            return
        self.checkpoint = checkpoint
        self.checkpoint_percent = percent

    def has_run(self, run: Run) -> bool:
        """Return whether a run has not been detached."""
        return self.run is run or self.copy is run

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
    done: int = field(default=0, repr=False)  # bit set of the indexes that are done
    unlocked_at: float = 0.0
    # Times of the last subtasks that are done, if the step may have copies.
    finished_seconds: list[float] = field(factory=list)
    # Predicted time of the longest chain from this step on.
    remaining_seconds: float = 0.0
    announce_requested: bool = False  # is to be stored as possibly started
    announced: bool = False  # is stored as possibly started
    # Since when room is held for it against workspaces above their shares.
    held_since: float | None = None
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
    def number(self) -> int:
        """Number within the job, from 0."""
        return self.occurrence * len(self.job.spec.steps) + self.position

    @property
    def first_position(self) -> int:
        """Position of its first subtask within the job."""
        offsets = self.job.offsets
        return self.occurrence * offsets[-1] + offsets[self.position]

    @property
    def mask(self) -> int:
        """The bit set of all of its subtasks."""
        return (1 << self.step.count) - 1

    @property
    def complete(self) -> bool:
        """Whether all subtasks have ended as done."""
        return self.done == self.mask

    @property
    def has_begun(self) -> bool:
        """Whether a subtask runs or is done."""
        return len(self.waiting) < self.step.count

    @property
    def unlocked(self) -> bool:
        """Whether the subtasks may run."""
        return bool(self.subtasks)

    def may_have_unknown_runs(self, blocked_pools: AbstractSet[str]) -> bool:
        """Return whether a previous scheduler's runs may exist in blocked pools.

        The queue may have been sent to another pool since they were started.
        """
        return self.inherited and not self.job.pools.isdisjoint(blocked_pools)


@define(eq=False, slots=True)
class Job:
    """A job that has not ended, or ended a short time ago.

    ``pools`` holds the pools in which runs may be started, ``stored_pools`` those
    of them that the next scheduler would know. ``done`` is the set of subtasks
    that have ended as done, ``announced`` that of the steps that may have started
    and are not complete, ``stored_announced`` what the next scheduler would know
    of it. ``attempted`` holds the subtasks with failures or crashes by block and
    position, and ``stored_blocks`` the blocks that have a row. ``open_steps`` is
    the number of steps that are not complete. ``offsets`` are the positions of the
    steps' first subtasks within an occurrence, and its size.
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
    done: int = field(default=0, repr=False)
    announced: int = field(default=0, repr=False)
    stored_announced: int = field(default=0, repr=False)
    open_steps: int = 0
    attempted: dict[int, dict[int, Subtask]] = field(factory=dict)
    stored_blocks: set[int] = field(factory=set)
    pools: set[str] = field(factory=set)
    stored_pools: set[str] = field(factory=set)
    offsets: tuple[int, ...] = field(init=False)

    def __attrs_post_init__(self) -> None:
        counts = (step.count for step in self.spec.steps)
        self.offsets = tuple(accumulate(counts, initial=0))
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

    def find_step(self, number: int) -> StepRun:
        """Return the step with a number within the job."""
        return self.steps[divmod(number, len(self.spec.steps))]

    @property
    def names_steps(self) -> bool:
        """Whether the status row has a key for each step."""
        return self.offsets[-1] * self.spec.occurrences <= MAX_NAMED_SUBTASKS

    def make_status(self) -> JobStatus:
        """Return the status row of the job."""
        if self.state.final:
            return JobStatus(self.state, ended_ms=self.ended_ms)
        attempts = self.make_attempts(0)
        status = JobStatus(
            self.state,
            failures=attempts.failures,
            crashes=attempts.crashes,
            suspected=attempts.suspected,
            other_pools=tuple(sorted(self.pools - {self.spec.pool})),
        )
        if not self.names_steps:
            return evolve(
                status,
                done_bits=encode_bits(self.done),
                announced_bits=encode_bits(self.announced),
            )
        done = {run.key: run.done for run in self.steps.values() if run.done}
        announced = tuple(
            self.find_step(number).key for number in find_bits(self.announced)
        )
        return evolve(status, done=done, announced=announced)

    def make_attempts(self, block: int) -> JobAttempts:
        """Return the failures and crashes of a block of subtasks."""
        subtasks = self.attempted.get(block, {}).values()
        return JobAttempts(
            {
                subtask.key: tuple(subtask.failures)
                for subtask in subtasks
                if subtask.failures and not subtask.step.lasting
            },
            {subtask.key: subtask.crashes for subtask in subtasks if subtask.crashes},
            {
                subtask.key: dict(subtask.suspected)
                for subtask in subtasks
                if subtask.suspected
            },
        )

    def read_done(self, status: JobStatus) -> int:
        """Return the set of subtasks that are done according to a status row."""
        if status.done_bits:
            return decode_bits(status.done_bits)
        done = 0
        for step_run in self.steps.values():
            bits = status.done.get(step_run.key, 0)
            done |= (bits & step_run.mask) << step_run.first_position
        return done

    def read_announced(self, status: JobStatus) -> int:
        """Return the set of steps that may have started by a status row."""
        if status.announced_bits:
            return decode_bits(status.announced_bits)
        keys = frozenset(status.announced)
        return sum(
            1 << step_run.number
            for step_run in self.steps.values()
            if step_run.key in keys
        )
