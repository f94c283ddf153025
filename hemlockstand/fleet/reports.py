"""Reactions to what executors report: ends, losses and progress of runs."""

import time

from attrs import define
from loguru import logger

from hemlockstand.fleet.copies import has_place_for_run, mark_copy, record_done
from hemlockstand.fleet.eviction import find_movable, find_stalled
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.metrics import CRASHES, ENDS
from hemlockstand.fleet.model import EndEntry, EndKind, HoldAnswer, JobState, RunEntry
from hemlockstand.fleet.orders import RESTART_DELAY_SECONDS, Orders
from hemlockstand.fleet.pacing import find_pace_changes
from hemlockstand.fleet.policy.copies import MAX_COPIES
from hemlockstand.fleet.policy.crashes import (
    CrashedRun,
    CrashVerdict,
    is_cleared,
    is_held_back,
    judge_counted_crash,
    judge_crash,
)
from hemlockstand.fleet.queue_terms import find_terms
from hemlockstand.fleet.run_times import measure_run
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.takeover_barrier import TakeoverBarrier
from hemlockstand.fleet.work import Run, RunState, Subtask

log = logger.bind(module=__name__)

QUARANTINE_SECONDS = 3.0
MAX_QUARANTINE_SECONDS = 12.0
QUARANTINE_FAILURES = 2


@define(eq=False)
class ExecutorReportHandler:
    """Handles the events of the executors' tasks; see ``ExecutorEvents``."""

    state: SchedulerState
    orders: Orders
    barrier: TakeoverBarrier

    def may_order(self) -> bool:
        """Return whether orders may be given."""
        return self.state.may_order()

    def grant_end(self) -> float:
        """Return the end of a lease granted now."""
        return self.state.grant_end()

    def longest_lease_seconds(self) -> float:
        """Return the longest time for which an executor keeps any lease."""
        return self.state.longest_lease_seconds

    def previous_longest_end(self) -> float:
        """Return the latest end of any leases given by a previous scheduler."""
        return self.state.previous_longest_end

    def handle_restart(self, executor: Executor, leases_end: float) -> None:
        """Store until when a new lifetime may have leases of earlier ones."""
        self.state.lease.restarted[executor.id] = leases_end
        self.state.request_commit()

    def last_grant_end(self) -> float:
        """Return the latest end that a lease may have."""
        return self.state.last_grant_end()

    def previous_stops_end(self) -> float:
        """Return the latest end of the runs that a previous scheduler stopped."""
        return self.state.previous_stops_end

    def handle_end(
        self, executor: Executor, subtask: Subtask | None, end: EndEntry
    ) -> None:
        """Handle the end of a run that an executor lists."""
        ENDS.labels(end.kind.value).inc()
        log.info(
            "run ended",
            subtask=end.subtask,
            run=end.run,
            executor=executor.id,
            number=end.number,
            outcome=end.kind.value,
        )
        self.state.request_commit()
        self.state.request_placement()
        if subtask is None:
            subtask = self.state.registry.find(end.subtask)
        if subtask is None:
            return
        run = subtask.find_run(executor.id)
        if run is not None and run.number != end.run:
            run = None
        subtask.runs = max(subtask.runs, end.run)
        now = self.state.clock()
        now_ms = int(time.time() * 1000)
        if run is not None:
            self._record_time(executor, subtask, run, end.kind, now)
        if end.kind is EndKind.DONE and not subtask.step.lasting:
            executor.failed_in_row = 0
            if run is not None:
                self.state.registry.detach(subtask, run)
                record_done(self.state.registry, subtask, run, now)
            self.state.registry.set_started(subtask.job)
            self.state.registry.set_done(subtask, now, now_ms)
            # A copy, or a run that was started when this one seemed lost.
            self.orders.stop_run(subtask)
            return
        percent = subtask.checkpoint_percent if run is None else run.percent
        subtask.keep_checkpoint(end.checkpoint, percent)
        if end.kind is EndKind.FAILED:
            self.state.registry.clear_crashes(subtask)
            self._handle_failed_run(executor, subtask, end.run, now_ms)
        if run is not None:
            self.orders.requeue(subtask, run, RESTART_DELAY_SECONDS)

    def _record_time(
        self,
        executor: Executor,
        subtask: Subtask,
        run: Run,
        kind: EndKind,
        now: float,
    ) -> None:
        """Learn from the end of a run of a subtask."""
        step = subtask.step
        time_of_run = measure_run(run, step, kind, now)
        durations = self.state.registry.durations
        if time_of_run is None or not durations.may_record(now):
            return
        spec = subtask.job.spec
        far = bool(step.data_rack) and step.data_rack != executor.entry.rack
        durations.record(spec, subtask.step_run.position, time_of_run, far)

    def _handle_failed_run(
        self, executor: Executor, subtask: Subtask, run: int, now_ms: int
    ) -> None:
        subtask.avoid.add(executor.id)
        self._count_failure(executor)
        job = subtask.job
        attempts = find_terms(job.spec, self.state.config).attempts
        self.state.registry.add_failure(subtask, run, attempts, now_ms)
        if job.state.final:
            self.orders.stop_runs(job)

    def _count_failure(self, executor: Executor) -> None:
        """Count a failure; quarantine the executor after several in a row."""
        executor.failed_in_row += 1
        excess = executor.failed_in_row - QUARANTINE_FAILURES
        if excess < 0:
            return
        seconds = min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2 ** (excess // 2))
        executor.quarantined_until = self.state.clock() + seconds
        log.warning(
            "executor {} is quarantined",
            executor.id,
            failures=executor.failed_in_row,
            seconds=seconds,
        )

    def handle_lost_run(
        self, executor: Executor, subtask: Subtask, reason: str
    ) -> None:
        """Handle a run that is over without an end in the executor's list."""
        run = subtask.find_run(executor.id)
        if run is None:
            return
        log.info(
            "run lost",
            subtask=subtask.name,
            run=run.number,
            executor=executor.id,
            detail=reason,
        )
        if run.state is RunState.STARTING:
            # The start order is still in flight; its outcome decides.
            run.state = RunState.UNSURE
        self.orders.requeue(subtask, run, RESTART_DELAY_SECONDS)

    def handle_crash(
        self, executor: Executor, lost_runs: list[tuple[Subtask, float]], proven: bool
    ) -> None:
        """Count a crash under each subtask that may be its cause.

        Unless it is ``proven``, none is given up for it yet.
        """
        registry = self.state.registry
        verdicts = judge_crash(
            [
                CrashedRun(subtask, age, subtask.proven_crashes)
                for subtask, age in lost_runs
            ]
        )
        if proven:
            self._log_crash(executor, len(lost_runs))
            for subtask, _ in lost_runs:
                subtask.avoid.add(executor.id)
            for verdict in verdicts:
                registry.add_crash(verdict.subtask)
                self._act_on_crash(executor, verdict)
        else:
            log.warning(
                "executor {} refuses connections and may have crashed",
                executor.id,
                runs=len(lost_runs),
            )
            now = self.state.clock()
            for verdict in verdicts:
                lifetime = executor.born_ms or 0
                registry.suspect_crash(verdict.subtask, executor.id, lifetime, now)
                if is_held_back(verdict.subtask):
                    log.warning(
                        "subtask {} waits until its crashes are proven or withdrawn",
                        verdict.subtask.name,
                        crashes=verdict.subtask.crashes,
                    )
        self.state.request_commit()

    def settle_crash(self, executor: Executor, born_ms: int | None) -> None:
        """Keep or withdraw a crash that was not proven."""
        if not self.may_have_crashed(executor):
            return

        def proves_crash(lifetime: int) -> bool:
            if executor.entry.draining:
                return False
            return born_ms is None or lifetime not in (0, born_ms)

        subtasks = self.state.registry.settle_crash(executor.id, proves_crash)
        if subtasks:
            self._log_crash(executor, len(subtasks))
        else:
            log.info("executor {} has not crashed", executor.id)
        for subtask in subtasks:
            subtask.avoid.add(executor.id)
            self._act_on_crash(executor, judge_counted_crash(subtask))
        self.state.request_commit()
        self.state.request_placement()

    def may_have_crashed(self, executor: Executor) -> bool:
        """Return whether a crash of an executor is neither proven nor withdrawn."""
        return executor.id in self.state.registry.suspected_crashes

    def _log_crash(self, executor: Executor, runs: int) -> None:
        log.warning("executor {} crashed", executor.id, runs=runs)
        CRASHES.inc()

    def _act_on_crash(self, executor: Executor, verdict: CrashVerdict) -> None:
        """Give up a subtask that has crashed too many executors."""
        subtask = verdict.subtask
        away = {executor.id, *subtask.suspected}
        runs_elsewhere = any(
            run is not None and run.executor not in away
            for run in (subtask.run, subtask.copy)
        )
        if runs_elsewhere:
            # The other run soon clears the subtask, and the next copy could
            # take the next executor.
            subtask.copies = MAX_COPIES
        elif verdict.gives_up:
            self._give_up(subtask)

    def _give_up(self, subtask: Subtask) -> None:
        """Fail the job of a subtask; one that lasts is not started any more.

        The other subtasks that last serve users, and a stop of them would count
        against the budget of their step.
        """
        job = subtask.job
        if subtask.done or job.state.final:
            return
        if subtask.step.lasting:
            log.warning("subtask {} is not started any more", subtask.name)
            return
        crashes = subtask.proven_crashes
        detail = f"{crashes} executors have crashed under {subtask.name}"
        now_ms = int(time.time() * 1000)
        self.state.registry.finish(job, JobState.FAILED, now_ms, detail)
        self.orders.stop_runs(job)

    def handle_running(self, executor: Executor, answer: HoldAnswer) -> None:
        """Adopt or stop runs that this scheduler has not started."""
        for entry in answer.running:
            if entry.subtask in executor.runs:
                continue
            subtask = self.state.registry.find(entry.subtask)
            if subtask is None or not has_place_for_run(subtask, executor):
                log.info(
                    "run is not needed and gets stopped",
                    subtask=entry.subtask,
                    executor=executor.id,
                )
                self.state.nursery.start_soon(
                    self.orders.order_stop, executor, entry.subtask, entry.run
                )
                continue
            self._adopt(executor, subtask, entry)
        if executor.lapse_stored or not executor.recorded:
            self.state.request_commit()
        self._act_on_lists(executor)
        self.barrier.unblock_pools()

    def _adopt(self, executor: Executor, subtask: Subtask, entry: RunEntry) -> None:
        """Adopt a run; an unneeded one uses capacity until it has stopped."""
        now = self.state.clock()
        run = Run(entry.run, executor.id, executor.fence, now)
        run.state = RunState.RUNNING
        run.answered_at = now
        run.confirmed = True
        run.start_unknown = True
        run.percent = entry.percent
        run.percent_at = now
        run.checkpoint = entry.checkpoint
        run.pool = executor.entry.pool
        run.born_ms = executor.born_ms
        self.state.registry.attach(subtask, run)
        executor.add_run(subtask)
        mark_copy(subtask)
        log.info(
            "run adopted", subtask=subtask.name, run=run.number, executor=executor.id
        )
        if subtask.done or subtask.job.state.final:
            self.orders.stop_run(subtask, executor)
        else:
            self.state.registry.set_started(subtask.job)

    def _act_on_lists(self, executor: Executor) -> None:
        """Stop runs without progress or to be moved, and adjust paces."""
        now = self.state.clock()
        for subtask in executor.runs.values():
            if is_cleared(subtask, now):
                self.state.registry.clear_crashes(subtask)
                self.state.request_commit()
        for subtask in find_stalled(executor, now):
            log.info(
                "run makes no progress and gets stopped",
                subtask=subtask.name,
                executor=executor.id,
            )
            subtask.avoid.add(executor.id)
            self._count_failure(executor)
            run = executor.find_run(subtask.name)
            if run is not None:
                run.slowed = True
            self.orders.stop_run(subtask, executor)
        if executor.entry.draining:
            for subtask in find_movable(
                executor, self.state.executors, now, self.state.config
            ):
                self.orders.stop_run(subtask, executor)
        for change in list(find_pace_changes(executor)):
            self.state.nursery.start_soon(self.orders.order_pace, executor, change)
