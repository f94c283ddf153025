"""A daemon's client of the in-process stand-in for executors."""

from collections.abc import Callable

import trio
from attrs import define, evolve, field

from emulator.fleet_executors import ExecutorModel
from hemlockstand.errors import (
    ConnectionLost,
    ConnectionRefused,
    OutcomeUnknown,
    PlatformUnavailable,
)
from hemlockstand.fleet.model import (
    HoldAnswer,
    Refusal,
    Refused,
    StartOrder,
    StartOutcome,
    Unanswered,
)
from hemlockstand.platform.executors import (
    ORDER_TIMEOUT_SECONDS,
    ExecutorReplaced,
)


@define(eq=False)
class ExecutorAccess:
    """One daemon's client of an executor, as ``ExecutorClient``.

    ``cut`` returns whether the daemon is cut off from an executor.
    """

    models: dict[str, ExecutorModel]
    executor: str
    address: str
    cut: Callable[[str], bool] = field(default=lambda executor: False)
    call_seconds: float = 0.002
    _lifetime: int | None = None  # the one that has listed its runs last

    async def _reach(self) -> ExecutorModel:
        await trio.sleep(self.call_seconds)
        model = self.models.get(self.executor)
        if model is None:
            raise ExecutorReplaced(
                f"another executor answers at the address of {self.executor!r}"
            )
        if model.silent:
            await trio.sleep(ORDER_TIMEOUT_SECONDS)
            raise OutcomeUnknown("no answer")
        if model.unresponsive or self.cut(self.executor):
            await trio.sleep(0.5)
            raise OutcomeUnknown("no answer")
        model.advance()
        if model.back_at is not None or model.refuses_connections:
            raise ConnectionRefused("no process listens")
        return model

    async def start(
        self, order: StartOrder, may_send: Callable[[], bool]
    ) -> StartOutcome:
        """Start a run, unless it is withdrawn while the call is prepared."""
        try:
            model = await self._reach()
            if not may_send():
                return Refused(Refusal.NOT_SENT)
        except OutcomeUnknown as error:
            return Unanswered(str(error))
        except ExecutorReplaced:
            return Refused(Refusal.OTHER_LIFETIME)
        except PlatformUnavailable:
            return Refused(Refusal.UNHEALTHY)
        if not model.is_lifetime(order.born_ms):
            return Refused(Refusal.RESTARTED)
        if model.late_orders:
            model.late_orders -= 1
            model.late.append((trio.current_time(), order))
            await trio.sleep(0.5)
            return Unanswered("the order is delayed")
        if model.unhealthy_orders:
            model.unhealthy_orders -= 1
            return Refused(Refusal.UNHEALTHY)
        outcome = model.begin(order)
        model.advance()
        if model.silent:
            await trio.sleep(ORDER_TIMEOUT_SECONDS)
            return Unanswered("no answer")
        if model.back_at is not None:
            return Unanswered("the connection ended", connection_lost=True)
        if model.lost_answers:
            model.lost_answers -= 1
            return Unanswered("the answer was lost")
        return outcome

    async def hold(
        self, due_ms: int | None, fence: int, acked: int, wait_seconds: float
    ) -> HoldAnswer:
        """Extend the lease, and wait for ends to list."""
        model = await self._reach()
        addressed = model.is_lifetime(self._lifetime)
        if not addressed:
            due_ms, acked, wait_seconds = None, 0, 0.0
        silences, answering = model.silences, model.born_ms
        model.handle_hold(due_ms, fence, acked)
        give_up_at = trio.current_time() + wait_seconds
        while not model.ends and trio.current_time() < give_up_at:
            await trio.sleep(0.02)
            model.advance()
            if model.silences != silences:
                timeout_at = give_up_at + ORDER_TIMEOUT_SECONDS
                await trio.sleep(timeout_at - trio.current_time())
                raise OutcomeUnknown("no answer")
            if model.unresponsive or model.back_at is not None:
                raise OutcomeUnknown("no answer")
            if not model.is_lifetime(answering) or model.refuses_connections:
                raise ConnectionLost("the connection ended")
        self._lifetime = model.born_ms
        return evolve(model.make_hold_answer(), addressed=addressed)

    async def stop(self, subtask: str, run: int, fence: int) -> None:
        """Stop a run."""
        model = await self._reach()
        model.accept_fence(fence)
        model.stop(subtask, run)

    async def pace(self, subtask: str, run: int, percent: int, fence: int) -> None:
        """Ignore the pace; the stand-in always runs subtasks at full speed.

        Raises ``PlatformUnavailable`` while the executor drains.
        """
        model = await self._reach()
        if model.draining:
            raise PlatformUnavailable(f"executor {self.executor!r} is leaving")

    async def close(self) -> None:
        """Do nothing, as there is no connection."""
