"""Client of the service that decides which executors a queue may use."""

from attrs import frozen

from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.platform.connection import Connection

# The service handles the calls of one daemon one at a time, and a call can
# take seconds.
ADVICE_TIMEOUT_SECONDS = 10.0
MAX_EXECUTORS = 100  # per call


@frozen
class StepAdvice:
    """Tickets by executor id, valid for ``validity_ms`` after the response."""

    tickets: dict[str, str]
    validity_ms: int


class AdviceClient:
    """Asks which executors may run a step."""

    def __init__(self, address: str) -> None:
        self._connection = Connection(address)

    async def ask(self, step: str, executors: list[str]) -> StepAdvice:
        """Return the advice for a step; raises ``PlatformUnavailable``.

        A malformed answer counts as none. Executors beyond the first
        ``MAX_EXECUTORS`` are left out.
        """
        body = {"Step": step, "Workers": executors[:MAX_EXECUTORS]}
        try:
            reply = await self._connection.call(
                "POST", "/advise", ADVICE_TIMEOUT_SECONDS, body
            )
            if reply.status != 200:
                raise PlatformUnavailable(f"the advice service answered {reply.status}")
            answer = reply.decode()
            rows = answer.get("Allowed") or []
            tickets = {str(row[0]): str(row[1]) for row in rows}
            return StepAdvice(tickets, int(answer.get("ValidityMs") or 0))
        except (OutcomeUnknown, TypeError, ValueError, LookupError) as error:
            raise PlatformUnavailable(f"no usable advice: {error!r}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._connection.close()
