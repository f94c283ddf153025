"""Tickets for queues whose policy allows only some executors."""

from collections.abc import Iterator

import trio
from attrs import define, field, frozen
from loguru import logger

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import find_pool
from hemlockstand.fleet.model import FleetConfig
from hemlockstand.fleet.placement import (
    fill_group,
    is_below_cap,
    is_recorded,
    is_restricted,
    is_sound,
)
from hemlockstand.fleet.policy.evacuation import is_evacuated
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.work import StepRun
from hemlockstand.platform.advice import AdviceClient

log = logger.bind(module=__name__)

# A call takes time for each executor in it, and most policies allow some of
# any eight executors.
EXECUTORS_PER_CALL = 8
ROUND_SECONDS = 0.02
RETRY_SECONDS = 0.5
# Time for which tickets are requested for a step whose runs are to move. The
# choice of runs to move is made twice a second and extends it.
WANTED_SECONDS = 1.0
# Part of a ticket's validity in which it is used: the order that carries it
# takes time to arrive.
USABLE_FRACTION = 0.8


@frozen
class Ticket:
    """Permission to run a step on an executor in its present lifetime.

    An empty text means that the policy does not allow the executor.
    """

    text: str
    born_ms: int | None
    valid_until: float


@define(eq=False)
class TicketCache:
    """Requests tickets ahead of placement, one call at a time.

    ``_wanted`` holds the steps whose runs are to move, with the time until
    which their tickets are requested although no subtask of them waits.
    """

    state: SchedulerState
    client: AdviceClient
    _tickets: dict[tuple[str, str], Ticket | None] = field(factory=dict)
    _wanted: dict[StepRun, float] = field(factory=dict)

    def find_ticket(self, step_run: StepRun, executor: Executor) -> str | None:
        """Return the valid ticket, empty if refused; None if there is none."""
        ticket = self._tickets.get((step_run.name, executor.id))
        if ticket is None or ticket.born_ms != executor.born_ms:
            return None
        return ticket.text if ticket.valid_until > self.state.clock() else None

    def drop_ticket(self, step_run: StepRun, executor: Executor) -> None:
        """Drop a ticket that the executor has refused."""
        self._tickets.pop((step_run.name, executor.id), None)

    def request_ahead(self, step_run: StepRun) -> None:
        """Request tickets for a short time for a step none of which waits."""
        self._wanted[step_run] = self.state.clock() + WANTED_SECONDS

    def needs_ticket(self, step_run: StepRun, config: FleetConfig) -> bool:
        """Return whether starts of the step must carry a ticket."""
        return is_restricted(step_run, config)

    async def run(self) -> None:
        """Request tickets until the scheduler ends."""
        while True:
            await trio.sleep(ROUND_SECONDS)
            for step_run in list(self._find_steps_without_ticket()):
                await self._request_tickets(step_run)
            self._drop_tickets_of_ended_jobs()

    def _find_steps_without_ticket(self) -> Iterator[StepRun]:
        now = self.state.clock()
        self._wanted = {
            step_run: until for step_run, until in self._wanted.items() if until > now
        }
        for step_run in [*self.state.registry.ready.values(), *self._wanted]:
            if not self.needs_ticket(step_run, self.state.config):
                continue
            with_ticket = [
                executor
                for executor in self._find_executors(step_run)
                if self.find_ticket(step_run, executor)
            ]
            if not can_start(step_run, with_ticket):
                yield step_run

    def _find_executors(self, step_run: StepRun) -> list[Executor]:
        pool = find_pool(step_run.job, self.state.config)
        label = step_run.step.label
        return [
            executor
            for executor in self.state.executors.values()
            if executor.entry.pool == pool
            and is_sound(executor)
            and is_recorded(executor)
            and not is_evacuated(executor, self.state.config)
            and (not label or label in executor.entry.labels)
        ]

    async def _request_tickets(self, step_run: StepRun) -> None:
        executors = self._find_executors(step_run)
        unknown = [
            executor for executor in executors if not self._is_known(step_run, executor)
        ]
        if any(self.find_ticket(step_run, executor) for executor in executors):
            # Its executors are full; tickets for other full ones do not help.
            unknown = [item for item in unknown if has_room(step_run, item)]
        unknown.sort(key=Executor.free_cpu, reverse=True)
        asked = unknown[:EXECUTORS_PER_CALL]
        if not asked:
            return
        # The advice is on the lifetimes at the time of the call.
        lifetimes = {executor.id: executor.born_ms for executor in asked}
        try:
            advice = await self.client.ask(step_run.name, list(lifetimes))
        except PlatformUnavailable as error:
            log.info(
                "request for tickets failed",
                step=step_run.name,
                detail=str(error),
            )
            await trio.sleep(RETRY_SECONDS)
            return
        valid_until = self.state.clock() + advice.validity_ms / 1000 * USABLE_FRACTION
        for executor_id, born_ms in lifetimes.items():
            text = advice.tickets.get(executor_id, "")
            ticket = Ticket(text, born_ms, valid_until)
            self._tickets[step_run.name, executor_id] = ticket
        log.info("tickets received", step=step_run.name, allowed=len(advice.tickets))
        self.state.request_placement()

    def _is_known(self, step_run: StepRun, executor: Executor) -> bool:
        ticket = self._tickets.get((step_run.name, executor.id))
        if ticket is None or ticket.born_ms != executor.born_ms:
            return False
        # A policy does not change which executors it allows for a step, so a
        # refusal stays valid.
        return not ticket.text or ticket.valid_until > self.state.clock()

    def _drop_tickets_of_ended_jobs(self) -> None:
        """Drop the tickets of jobs that have ended."""
        for name, executor in list(self._tickets):
            job = self.state.registry.jobs.get(name.partition(".")[0])
            if job is None or job.state.final:
                del self._tickets[name, executor]


def can_start(step_run: StepRun, executors: list[Executor]) -> bool:
    """Return whether a subtask, or all members of a gang, fit on executors."""
    if step_run.step.gang:
        return bool(fill_group(step_run, executors))
    return any(has_room(step_run, executor) for executor in executors)


def has_room(step_run: StepRun, executor: Executor) -> bool:
    """Return whether a subtask of the step fits on the executor now."""
    step = step_run.step
    return executor.has_room(step.size, step.fills) and is_below_cap(step_run, executor)
