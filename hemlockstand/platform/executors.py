"""Client of the executors, which run subtasks under leases."""

from collections.abc import Callable, Mapping
from typing import Any

import trio
from attrs import define, evolve, field
from loguru import logger

from hemlockstand.errors import (
    ConnectionLost,
    HemlockstandError,
    NotSent,
    OutcomeUnknown,
    PlatformUnavailable,
)
from hemlockstand.fleet.model import (
    EndEntry,
    EndKind,
    HoldAnswer,
    Refusal,
    Refused,
    RunEntry,
    Started,
    StartOrder,
    StartOutcome,
    Unanswered,
)
from hemlockstand.platform.connection import Connection, Exchange, Reply
from hemlockstand.platform.decoding import MAX_INTEGER

log = logger.bind(module=__name__)

ORDER_TIMEOUT_SECONDS = 0.6  # executors answer within a few milliseconds
MAX_LISTED_ENDS = 500  # in one answer
# An executor that has not answered for so long may have started again behind a relay
# that keeps connections open, or its end of them may be gone. One that is polled
# answers more often.
SILENT_SECONDS = 2.0
_UNNAMED_LIFETIME = -1  # of an executor that does not tell when it has started
_REFUSALS = {
    "fence": Refusal.FENCE,
    "old": Refusal.OLD,
    "late": Refusal.LATE,
    "room": Refusal.ROOM,
    "ticket": Refusal.TICKET,
}


class ExecutorReplaced(HemlockstandError):
    """The address now belongs to another executor."""

    code = "other_lifetime"


class ExecutorRestarted(PlatformUnavailable):
    """The executor is in another lifetime than the one that a call is meant for."""

    code = "executor_restarted"


class OrderRefused(HemlockstandError):
    """The executor refused an order, for example by its fencing token."""

    code = "order_refused"


@define(eq=False)
class ExecutorClient:
    """Sends orders to one executor.

    An executor that starts again under its id takes calls that were meant for its
    earlier lifetime, as no call names one. A connection ends with the lifetime that
    has answered on it, so that calls for one lifetime go over a connection of its
    own; on a new one, and after a silence, the executor is first asked in which
    lifetime it is.
    """

    executor: str
    address: str
    _connection: Connection = field(init=False)
    _lifetime: int | None = None  # that has listed its runs to the caller last
    _answered_at: float = float("-inf")  # by the trio clock

    def __attrs_post_init__(self) -> None:
        self._connection = Connection(self.address)

    async def start(
        self, order: StartOrder, may_send: Callable[[], bool]
    ) -> StartOutcome:
        """Start a run; the outcome tells whether it may still begin.

        ``may_send`` is called directly before the order is sent.
        """
        body: dict[str, Any] = {
            "Task": order.subtask,
            "Run": order.run,
            "TaskSpec": order.payload,
            "DueMs": order.due_ms,
            "FencingToken": order.fence,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        try:
            async with self._connection.open_exchange(
                "POST /run-start", order.born_ms
            ) as exchange:
                await self._require_lifetime(exchange, order.born_ms, order.fence)
                reply = await self._call(
                    exchange, "/run-start", body, ORDER_TIMEOUT_SECONDS, may_send
                )
        except NotSent:
            return Refused(Refusal.NOT_SENT)
        except ExecutorReplaced:
            return Refused(Refusal.OTHER_LIFETIME)
        except ExecutorRestarted:
            return Refused(Refusal.RESTARTED)
        except PlatformUnavailable:
            return Refused(Refusal.UNHEALTHY)
        except OutcomeUnknown as error:
            return Unanswered(str(error), isinstance(error, ConnectionLost))
        return _decode_start(reply)

    async def _require_lifetime(
        self, exchange: Exchange, born_ms: int | None, fence: int
    ) -> None:
        """Raise ``PlatformUnavailable`` unless a connection leads to a lifetime.

        ``ExecutorRestarted`` tells that it leads to another one. Any lifetime will
        do if ``born_ms`` is None.
        """
        silence = trio.current_time() - self._answered_at
        known = exchange.lifetime == born_ms and silence < SILENT_SECONDS
        if born_ms is None or known:
            return
        try:
            answer = await self._ask(exchange, _make_question(fence))
        except (OutcomeUnknown, OrderRefused) as error:
            raise PlatformUnavailable(
                f"the lifetime of executor {self.executor!r} is not known: {error}"
            ) from error
        if answer.born_ms != born_ms:
            raise ExecutorRestarted(f"executor {self.executor!r} has started again")

    async def hold(
        self, due_ms: int | None, fence: int, acked: int, wait_seconds: float
    ) -> HoldAnswer:
        """Extend the lease of all runs; return the running and ended runs.

        The lease is extended to ``due_ms`` on the executor's clock, or not at
        all if it is None. The executor drops the ends with numbers up to
        ``acked``, and may delay its answer by up to ``wait_seconds``. Lease and
        acknowledgement are for the lifetime that has listed its runs last: on a
        connection of another one, or on a new one, the call goes without them and
        is answered at once. Raises ``ExecutorReplaced``, ``OrderRefused``,
        ``PlatformUnavailable`` and ``OutcomeUnknown``.
        """
        body: dict[str, Any] = {"FencingToken": fence, "Acked": acked}
        if due_ms is not None:
            body["DueMs"] = due_ms
        if wait_seconds > 0:
            body["WaitMs"] = int(wait_seconds * 1000)
        lifetime = self._lifetime
        async with self._connection.open_exchange("POST /hold", lifetime) as exchange:
            if lifetime is not None and exchange.lifetime == lifetime:
                answer = await self._ask(exchange, body, wait_seconds)
            else:
                answer = await self._ask(exchange, _make_question(fence))
                answer = evolve(answer, addressed=False)
            self._lifetime = exchange.lifetime
        return answer

    async def _ask(
        self, exchange: Exchange, body: Mapping[str, Any], wait_seconds: float = 0.0
    ) -> HoldAnswer:
        """Ask for the lists; note which lifetime the connection leads to."""
        seconds = ORDER_TIMEOUT_SECONDS + wait_seconds
        reply = await self._call(exchange, "/hold", body, seconds)
        _require_accepted(reply)
        answer = _decode_hold(reply)
        born_ms = answer.born_ms
        exchange.lifetime = _UNNAMED_LIFETIME if born_ms is None else born_ms
        return answer

    async def stop(self, subtask: str, run: int, fence: int) -> None:
        """Stop a run; the executor refuses it if it arrives later.

        Raises the same errors as ``hold``.
        """
        body = {"Task": subtask, "Run": run, "FencingToken": fence}
        await self._order("/run-stop", body)

    async def pace(self, subtask: str, run: int, percent: int, fence: int) -> None:
        """Limit a run to a percentage of its speed.

        Raises the same errors as ``hold``.
        """
        body = {
            "Task": subtask,
            "Run": run,
            "Percent": percent,
            "FencingToken": fence,
        }
        await self._order("/pace", body)

    async def _order(self, path: str, body: Mapping[str, Any]) -> None:
        """Send an order about a run, which no other lifetime has."""
        async with self._connection.open_exchange(f"POST {path}") as exchange:
            reply = await self._call(exchange, path, body, ORDER_TIMEOUT_SECONDS)
        _require_accepted(reply)

    async def _call(
        self,
        exchange: Exchange,
        path: str,
        body: object,
        seconds: float,
        may_send: Callable[[], bool] | None = None,
    ) -> Reply:
        headers = (("Expected-Instance", self.executor),)
        reply = await exchange.call("POST", path, seconds, body, headers, may_send)
        self._answered_at = trio.current_time()
        return reply

    async def close(self) -> None:
        """Close all connections."""
        await self._connection.close()


def _make_question(fence: int) -> dict[str, Any]:
    """Return a call for the lists that may reach any lifetime."""
    return {"FencingToken": fence, "Acked": 0}


def _require_accepted(reply: Reply) -> None:
    if reply.status == 421:
        raise ExecutorReplaced("another executor answers at the address")
    if reply.status == 409:
        raise OrderRefused(
            f"the executor refused the order: {reply.decode().get('Reason')}"
        )
    if reply.status in (429, 503):
        raise PlatformUnavailable(f"the executor answered {reply.status}")
    if reply.status != 200:
        raise OrderRefused(f"the executor answered {reply.status}")


def _decode_start(reply: Reply) -> StartOutcome:
    clock = _read_clock(reply)
    match reply.status:
        case 200:
            return Started(clock)
        case 409:
            reason = _REFUSALS.get(_read_reason(reply), Refusal.INVALID)
            return Refused(reason, clock)
        case 421:
            return Refused(Refusal.OTHER_LIFETIME)
        case 429 | 503:
            return Refused(Refusal.UNHEALTHY, clock)
        case 400:
            return Refused(Refusal.INVALID, clock)
        case _:
            return Unanswered(f"the executor answered {reply.status}")


def _read_reason(reply: Reply) -> str:
    try:
        return str(reply.decode().get("Reason"))
    except OutcomeUnknown as error:
        log.warning("an executor refused a start without a readable reason: {}", error)
        return ""


def _read_clock(reply: Reply) -> int | None:
    """Return the executor's clock; None if the response has none."""
    try:
        clock = reply.decode().get("ClockMs")
    except OutcomeUnknown as error:
        # Some refusals have no body; the next answer to a hold has the clock.
        log.debug("an executor answered a start without its clock: {}", error)
        return None
    return clock if _is_number(clock) else None


def _decode_hold(reply: Reply) -> HoldAnswer:
    body = reply.decode()
    try:
        ends = tuple(_decode_end(row) for row in body.get("Finished") or ())
        return HoldAnswer(
            _read_number(body["ClockMs"]),
            _read_born(body),
            tuple(_decode_run(row) for row in body.get("Running") or ()),
            ends,
            may_have_more_ends=len(ends) >= MAX_LISTED_ENDS,
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise OutcomeUnknown(f"unreadable lists of runs: {error!r}") from error


def _read_born(body: Mapping[str, Any]) -> int | None:
    born = body.get("born")
    return born if _is_number(born) else None


def _is_number(value: Any) -> bool:
    return isinstance(value, int) and 0 <= value <= MAX_INTEGER


def _read_number(value: Any) -> int:
    """Return an integer from 0 to ``MAX_INTEGER``; raises ``ValueError``.

    Calculations with larger ones fail.
    """
    number = int(value)
    if not _is_number(number):
        raise ValueError(f"{value!r} is out of range")
    return number


def _decode_run(row: list[Any]) -> RunEntry:
    load = row[4] if len(row) > 4 and row[4] is not None else 0
    return RunEntry(
        str(row[0]),
        _read_number(row[1]),
        str(row[2] or ""),
        _read_number(row[3]),
        _read_number(load),
    )


def _decode_end(row: list[Any]) -> EndEntry:
    return EndEntry(
        _read_number(row[0]),
        str(row[1]),
        _read_number(row[2]),
        EndKind(row[3]),
        str(row[4] or ""),
    )
