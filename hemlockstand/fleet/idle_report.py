"""Reports on lasting subtasks that are not at work, and why.

A subtask that lasts should run again within seconds. One that does not either
waits, and no executor of its pool can take it, or has a run that makes no
headway. Each report names the executors by what keeps them from taking it, so
that a full pool, executors that do not answer and executors in quarantine can
be told apart::

    {"message": "lasting subtasks are not at work", "step": "5c0e7a21d94b36f8.0.0",
     "waiting": 2, "runs": {}, "seconds": 4.1, "blocked": false,
     "executors": {"does not answer": 1, "no room": 1}}
"""

from collections import Counter
from collections.abc import Callable, Iterator

from attrs import define, field, frozen
from loguru import logger

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import find_pool
from hemlockstand.fleet.placement import is_below_cap
from hemlockstand.fleet.policy.crashes import is_given_up
from hemlockstand.fleet.policy.evacuation import find_cold_limit, is_evacuated
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.work import RunState, StepRun

log = logger.bind(module=__name__)

CHECK_SECONDS = 0.5
# Subtasks that wait for less than this are not reported; a takeover and the
# lease of a lost executor take about as long.
REPORT_SECONDS = 2.5
REPEAT_SECONDS = 2.5


@frozen
class IdleStep:
    """A lasting step with idle subtasks.

    ``runs`` counts the subtasks with a run that is not at work by its state,
    ``executors`` the executors of the pool by what keeps them from taking one
    of the subtasks.
    """

    name: str
    waiting: int
    runs: dict[str, int]
    executors: dict[str, int]


@define(eq=False)
class IdleReporter:
    """Logs the lasting steps that have been idle for some time."""

    state: SchedulerState
    blocked_pools: set[str]
    may_run: Callable[[StepRun, Executor], bool]
    _idle_since: dict[str, float] = field(factory=dict)
    _reported_at: dict[str, float] = field(factory=dict)
    _checked_at: float = float("-inf")

    def check(self) -> None:
        """Log the steps that are idle for too long, at most twice a second."""
        now = self.state.clock()
        if now - self._checked_at < CHECK_SECONDS:
            return
        self._checked_at = now
        idle = {step_run.name: step_run for step_run in self._find_idle_steps()}
        for name in self._idle_since.keys() - idle.keys():
            del self._idle_since[name]
            self._reported_at.pop(name, None)
        for name, step_run in idle.items():
            since = self._idle_since.setdefault(name, now)
            last = self._reported_at.get(name, since + REPORT_SECONDS - REPEAT_SECONDS)
            if now - last >= REPEAT_SECONDS:
                self._reported_at[name] = now
                self._report(step_run, now - since)

    def report_all(self) -> None:
        """Log all idle steps, at the end of a term.

        The next scheduler does not know since when they are idle.
        """
        now = self.state.clock()
        for step_run in self._find_idle_steps():
            since = self._idle_since.get(step_run.name, now)
            self._report(step_run, now - since, "at the end of the term")

    def _find_idle_steps(self) -> Iterator[StepRun]:
        return (
            step_run
            for job in self.state.registry.jobs.values()
            if job.spec.lasting and not job.state.final
            for step_run in job.steps.values()
            if step_run.step.lasting and step_run.unlocked_at
            if any(
                subtask.run is None or subtask.run.state is not RunState.RUNNING
                for subtask in step_run.subtasks
            )
        )

    def _report(self, step_run: StepRun, seconds: float, occasion: str = "") -> None:
        pool = find_pool(step_run.job, self.state.config)
        found = self.describe(step_run)
        log.warning(
            "lasting subtasks are not at work",
            step=found.name,
            pool=pool,
            waiting=found.waiting,
            runs=found.runs,
            seconds=round(seconds, 1),
            announced=step_run.announced,
            given_up=sum(is_given_up(subtask) for subtask in step_run.subtasks),
            blocked=step_run.may_have_unknown_runs(self.blocked_pools),
            executors=found.executors,
            occasion=occasion,
        )

    def describe(self, step_run: StepRun) -> IdleStep:
        """Return why subtasks of a step are idle."""
        runs = Counter(
            self._describe_run(subtask.run.state, subtask.run.executor)
            for subtask in step_run.subtasks
            if subtask.run is not None and subtask.run.state is not RunState.RUNNING
        )
        pool = find_pool(step_run.job, self.state.config)
        executors = Counter(
            self._find_obstacle(step_run, executor)
            for executor in self.state.executors.values()
            if executor.entry.pool == pool
        )
        return IdleStep(
            step_run.name, len(step_run.waiting), dict(runs), dict(executors)
        )

    def _describe_run(self, state: RunState, executor: str) -> str:
        name = state.name.lower()
        return name if executor in self.state.executors else f"{name}, untracked"

    def _find_obstacle(self, step_run: StepRun, executor: Executor) -> str:
        """Return the first reason why an executor takes no subtask of a step."""
        reasons = self._find_obstacles(step_run, executor)
        return next((name for name, applies in reasons if applies), "usable")

    def _find_obstacles(
        self, step_run: StepRun, executor: Executor
    ) -> Iterator[tuple[str, bool]]:
        """Yield each obstacle and whether it applies, the cheap ones first."""
        config, now = self.state.config, self.state.clock()
        step, pausing = step_run.step, executor.backoff_until > now
        yield "not in the store", not executor.is_in_store
        yield "does not answer", not executor.reachable
        yield "lists not read", not executor.reconciled
        yield "entry of an earlier lifetime", not executor.is_entry_current
        yield "unknown runs", bool(executor.unknown_runs)
        yield "end of its lease is stored", executor.lapse_stored
        yield "draining", executor.entry.draining
        yield "evacuated", is_evacuated(executor, config)
        yield "reserved", executor.reserved
        yield "quarantined", executor.quarantined_until > now
        yield "not recorded", not executor.recorded
        yield "cold", pausing and find_cold_limit(executor, config, now) > 0
        yield "refused a start", pausing
        yield "no room", not executor.has_room(step.size, step.fills)
        yield "label", bool(step.label) and step.label not in executor.entry.labels
        yield "limit per executor", not is_below_cap(step_run, executor)
        yield "no ticket", not self.may_run(step_run, executor)
