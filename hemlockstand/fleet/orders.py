"""Orders to executors to start, stop or slow down runs, and their outcomes."""

from enum import Enum, auto
from functools import partial

import trio
from attrs import define
from loguru import logger

from hemlockstand.errors import HemlockstandError, PlatformUnavailable
from hemlockstand.fleet.copies import count_loss
from hemlockstand.fleet.eviction import may_stop
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.metrics import FIRST_START_SECONDS, STARTS
from hemlockstand.fleet.model import Refusal, Refused, Started, StartOrder, Unanswered
from hemlockstand.fleet.pacing import FULL_PERCENT, PaceChange
from hemlockstand.fleet.policy.crashes import ISOLATION_SECONDS, is_isolated
from hemlockstand.fleet.policy.evacuation import (
    find_cold_limit,
    is_evacuated,
    space_cold_starts,
)
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.tickets import TicketCache
from hemlockstand.fleet.work import Job, Run, RunState, Subtask
from hemlockstand.platform.executors import ORDER_TIMEOUT_SECONDS

log = logger.bind(module=__name__)

RUNS_PER_EPOCH = 1_000  # run numbers of a subtask for each scheduler
# Pause before the next start on an executor that was full or unhealthy.
BACKOFF_SECONDS = 0.25
RESTART_DELAY_SECONDS = 0.05
STOP_RETRY_SECONDS = 0.3
# Pause before another copy of a subtask after one was refused. Executors that
# refuse for want of room or health often do so for some tenths of a second.
COPY_RETRY_SECONDS = 0.5
# Delay after a start was refused as invalid, which every executor would do.
INVALID_RETRY_SECONDS = 1.0


class StopAttempt(Enum):
    """What became of a stop order."""

    ACCEPTED = auto()
    NOT_APPLIED = auto()  # it was not sent, or certainly not carried out
    UNKNOWN = auto()


@define(eq=False)
class Orders:
    """Sends orders.

    ``open_starts`` and ``open_stops`` count orders without an outcome yet.
    """

    state: SchedulerState
    ticket_cache: TicketCache
    open_starts: int = 0
    open_stops: int = 0
    _stops_closed: bool = False
    _unsure_until: float = float("-inf")  # a stop without an answer may arrive

    def start(self, subtask: Subtask, executor: Executor) -> None:
        """Start a subtask on an executor, as a copy if it has a run elsewhere."""
        run = Run(subtask.runs + 1, executor.id, executor.fence, self.state.clock())
        run.checkpoint = subtask.checkpoint
        run.pool = executor.entry.pool
        run.born_ms = executor.born_ms
        if subtask.run is not None:
            run.checkpoint = subtask.run.checkpoint or subtask.checkpoint
            run.is_copy = True
        run.resumed = bool(run.checkpoint)
        self.state.registry.attach(subtask, run)
        executor.add_run(subtask)
        now = self.state.clock()
        if is_isolated(subtask):
            executor.backoff_until = now + ISOLATION_SECONDS
        executor.backoff_until = space_cold_starts(
            now,
            executor.backoff_until,
            executor.cold_until,
            find_cold_limit(executor, self.state.config, now),
        )
        self.state.nursery.start_soon(self._order_start, subtask, run, executor)

    async def _order_start(
        self, subtask: Subtask, run: Run, executor: Executor
    ) -> None:
        # The evacuation may have begun since the executor was chosen.
        may_start = self._may_start(executor) and not subtask.done
        due_ms = executor.extend_lease() if may_start else None
        if due_ms is None:
            self._requeue_unstarted(subtask, run, executor, 0.0)
            return
        job = subtask.job
        order = StartOrder(
            subtask.name,
            run.number,
            job.spec.payload,
            due_ms,
            run.fence,
            run.checkpoint,
            self.ticket_cache.find_ticket(subtask.step_run, executor) or "",
            run.born_ms,
        )
        self.open_starts += 1
        sent_at = self.state.clock()
        try:
            outcome = await executor.client.start(
                order, partial(self._may_start, executor)
            )
        finally:
            self.open_starts -= 1
        STARTS.labels(type(outcome).__name__).inc()
        log.info(
            "executor ordered to start a run",
            job=job.id,
            subtask=subtask.name,
            run=run.number,
            executor=executor.id,
            fence=run.fence,
            outcome=repr(outcome),
        )
        match outcome:
            case Started(clock_ms):
                if executor.check_lifetime(clock_ms, sent_at):
                    run.confirmed = True
                self._handle_started(subtask, run, executor)
            case Refused(reason, clock_ms):
                executor.check_lifetime(clock_ms, sent_at)
                self._handle_refused(subtask, run, executor, reason)
            case Unanswered(_, connection_lost):
                run.connection_lost = connection_lost
                if subtask.has_run(run) and run.state is RunState.STARTING:
                    run.state = RunState.UNSURE
                if subtask.has_run(run):
                    executor.raise_fence()

    def _may_start(self, executor: Executor) -> bool:
        """Return whether a start may be sent now.

        It is asked again when the connection is free, which may take a second.
        """
        return (
            self.state.may_order()
            and self.state.configuration.fresh
            and not is_evacuated(executor, self.state.config)
        )

    def _handle_started(self, subtask: Subtask, run: Run, executor: Executor) -> None:
        if not subtask.has_run(run):
            return
        run.answered_at = self.state.clock()
        run.percent_at = run.answered_at
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        job = subtask.job
        if not job.started:
            FIRST_START_SECONDS.observe(run.answered_at - job.accepted_at)
        self.state.registry.set_started(job)
        if job.state.final:
            self.stop_run(subtask, executor)

    def _handle_refused(
        self, subtask: Subtask, run: Run, executor: Executor, reason: Refusal
    ) -> None:
        now = self.state.clock()
        match reason:
            case Refusal.ROOM:
                executor.backoff_until = now + BACKOFF_SECONDS
            case Refusal.UNHEALTHY | Refusal.OTHER_LIFETIME:
                executor.backoff_until = now + BACKOFF_SECONDS
                subtask.avoid.add(executor.id)
            case Refusal.RESTARTED if run.born_ms == executor.born_ms:
                executor.expect_restart()
            case Refusal.OLD:
                # A previous scheduler has used a higher run number there.
                subtask.runs += RUNS_PER_EPOCH // 10
            case Refusal.TICKET:
                self.ticket_cache.drop_ticket(subtask.step_run, executor)
            case Refusal.INVALID:
                log.error(
                    "executor {} refuses subtask {} as invalid",
                    executor.id,
                    subtask.name,
                )
                subtask.not_before = now + INVALID_RETRY_SECONDS
        self._requeue_unstarted(subtask, run, executor, RESTART_DELAY_SECONDS)

    def _requeue_unstarted(
        self, subtask: Subtask, run: Run, executor: Executor, delay: float
    ) -> None:
        """Queue a subtask again whose run has certainly not begun."""
        if not subtask.has_run(run):
            return
        executor.remove_run(subtask)
        self.requeue(subtask, run, delay)
        if run.is_copy and not subtask.crashes:
            subtask.copies -= 1
            retry_at = self.state.clock() + COPY_RETRY_SECONDS
            self.state.registry.copies.watch(subtask, retry_at)

    def requeue(self, subtask: Subtask, run: Run, delay: float) -> None:
        """Detach a run; queue its subtask again if it has no other and needs one."""
        subtask.keep_checkpoint(run.checkpoint, run.percent)
        if subtask.step.gang:
            self._stop_members(subtask, run.number)
        self.state.registry.detach(subtask, run)
        count_loss(subtask, run, self.state.clock())
        if subtask.done or subtask.job.state.final or subtask.run is not None:
            return
        subtask.not_before = max(subtask.not_before, self.state.clock() + delay)
        self.state.registry.set_waiting(subtask)
        self.state.request_placement()

    def _stop_members(self, lost: Subtask, number: int) -> None:
        """Stop the other members of a gang, which cannot go on without it."""
        for member in lost.step_run.subtasks:
            if member is lost or member.run is None:
                continue
            if member.run.number == number:
                self.stop_run(member)

    def stop_runs(self, job: Job) -> None:
        """Stop all runs of a job."""
        for subtask in list(job.runs()):
            self.stop_run(subtask)

    def stop_run(self, subtask: Subtask, on: Executor | None = None) -> None:
        """Stop the runs of a subtask, or the one on an executor.

        The executors then list their ends.
        """
        for run in (subtask.run, subtask.copy):
            if run is None or run.state is RunState.STOPPING:
                continue
            executor = self.state.executors.get(run.executor)
            if executor is not None and (on is None or executor is on):
                self._stop(subtask, run, executor)

    def _stop(self, subtask: Subtask, run: Run, executor: Executor) -> None:
        if run.state is not RunState.UNSURE:
            run.state = RunState.STOPPING
        run.stopped_at = self.state.clock()
        self.state.nursery.start_soon(
            self.order_stop, executor, subtask.name, run.number
        )

    def close_stops(self) -> float | None:
        """Send no more stops; return when all stopped runs have ended.

        Returns None if a stop has no outcome yet. An executor may have accepted
        one just now, and list its run as at work until the run has ended.
        """
        self._stops_closed = True
        if self.open_stops:
            return None
        last_arrival = max(self.state.clock(), self._unsure_until)
        stops_end = last_arrival + self.state.stop_seconds
        return max(stops_end, self.state.previous_stops_end)

    async def order_stop(self, executor: Executor, name: str, number: int) -> None:
        """Repeat a stop order until it is accepted or the run is over.

        While no orders may be given it waits: the lease may be renewed yet, and
        nothing else would repeat the stop.
        """
        delayed = sent = False
        while True:
            if self.state.may_order() and not self._stops_closed:
                # Once sent, the executor may have the order.
                if delayed and not sent and self._revoke_stop(executor, name, number):
                    return
                match await self._try_stop(executor, name, number):
                    case StopAttempt.ACCEPTED:
                        return
                    case StopAttempt.UNKNOWN:
                        sent = True
            delayed = True
            await trio.sleep(STOP_RETRY_SECONDS)
            run = executor.find_run(name)
            if run is None or run.number != number:
                return

    def _revoke_stop(self, executor: Executor, name: str, number: int) -> bool:
        """Let a run go on if the budget of its step no longer permits its stop.

        Returns whether the stop was revoked. The budget may have been used
        while the order waited.
        """
        subtask, run = executor.runs.get(name), executor.find_run(name)
        if subtask is None or run is None or run.number != number:
            return False
        if subtask.job.state.final or subtask.done or subtask.step.gang:
            return False
        if may_stop(subtask, self.state.executors):
            return False
        if run.state is RunState.STOPPING:
            run.state = RunState.RUNNING
        run.stopped_at = None
        return True

    async def _try_stop(
        self, executor: Executor, name: str, number: int
    ) -> StopAttempt:
        """Send a stop order once; return what became of it."""
        self.open_stops += 1
        try:
            await executor.client.stop(name, number, executor.fence)
        except HemlockstandError as error:
            log.info("run not stopped", subtask=name, run=number, detail=str(error))
            if isinstance(error, PlatformUnavailable):
                return StopAttempt.NOT_APPLIED
            self._unsure_until = self.state.clock() + ORDER_TIMEOUT_SECONDS
            return StopAttempt.UNKNOWN
        finally:
            self.open_stops -= 1
        log.info(
            "executor accepted the stop of a run",
            subtask=name,
            run=number,
            executor=executor.id,
        )
        executor.wake()
        return StopAttempt.ACCEPTED

    async def order_pace(self, executor: Executor, change: PaceChange) -> None:
        """Set the pace of a run; after a failure the next poll tries again."""
        run = change.subtask.run
        if run is None or not self.state.may_order():
            return
        before = run.pace
        run.pace = change.percent
        run.slowed = run.slowed or change.percent < FULL_PERCENT
        name = change.subtask.name
        try:
            await executor.client.pace(name, run.number, change.percent, executor.fence)
        except HemlockstandError as error:
            run.pace = before
            log.info("pace of run not set", subtask=name, detail=str(error))
            return
        log.info(
            "pace of run set",
            subtask=name,
            percent=change.percent,
            executor=executor.id,
        )
