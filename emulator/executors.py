"""An executor of the upstream stand-in, with slots, a queue and faults."""

import random
import time
from collections import Counter
from typing import Any, Literal

import msgspec
import trio
from attrs import define, field

from emulator.web import WebRequest, WebResponse, refuse, reply

MAX_RUNS = 200_000
FAIL_SECONDS = 0.001


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /behaviour``; absent fields stay as they are.

    ``mode`` applies to the fraction ``probability`` of the requests, and to
    at most ``count`` of them. ``lose_answer`` runs the request and closes the
    connection without a body, ``hang`` runs it and never answers, ``slow``
    multiplies the service time by ``factor``, and ``fail_fast`` answers 500
    at once. ``wrong_id`` answers with the id of another request, and
    ``truncate`` sends half of the body. While ``leaving`` or ``full``, the
    executor refuses requests with ``X-Not-Run``. ``reboot_seconds`` closes
    its port for that time.
    """

    mode: (
        Literal[
            "ok",
            "fail_fast",
            "slow",
            "lose_answer",
            "hang",
            "wrong_id",
            "truncate",
        ]
        | None
    ) = None
    probability: float | None = None
    count: int | None = None
    factor: float | None = None
    seed: int | None = None
    leaving: bool | None = None
    full: bool | None = None
    healthy: bool | None = None
    reboot_seconds: float | None = None


@define
class Run:
    """A request that an executor ran; times are ``time.monotonic``.

    ``deadline`` is the deadline that the request was sent with.
    """

    request: str
    team: str
    queue: str
    executor: str
    start: float
    deadline: float
    end: float | None = None
    outcome: str = "running"


@define
class ServiceTimes:
    """Seeded random service times around a mean.

    They are uniform between 1 - ``spread`` and 1 + ``spread`` times the mean.
    """

    mean_seconds: float
    spread: float
    source: random.Random

    def draw(self) -> float:
        """Return the service time of the next request."""
        return self.mean_seconds * self.source.uniform(1 - self.spread, 1 + self.spread)


@define
class Executor:
    """An executor that runs ``slots`` requests at once.

    It holds at most ``connections`` requests, running and waiting;
    ``present`` is their current number. ``runs`` keeps the first ``MAX_RUNS``
    runs.
    """

    name: str
    slots: int
    connections: int
    times: ServiceTimes
    leaving: bool = False
    full: bool = False
    healthy: bool = True
    runs: list[Run] = field(factory=list)
    refused: Counter[str] = field(factory=Counter)
    running: int = 0
    most_running: int = 0
    present: int = 0
    rebooting: trio.Event = field(factory=trio.Event)
    reboot_seconds: float = 0.0
    _mode: str = "ok"
    _probability: float = 1.0
    _factor: float = 10.0
    _remaining_count: int | None = None
    _random: random.Random = field(factory=lambda: random.Random(1))
    _limiter: trio.CapacityLimiter = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._limiter = trio.CapacityLimiter(self.slots)

    def update_behaviour(self, request: Behaviour) -> None:
        """Put the fields that are set in the request in force."""
        if request.mode is not None:
            self._mode = request.mode
            self._remaining_count = request.count
            self._random = random.Random(request.seed or 1)
            self._probability = 1.0
        if request.probability is not None:
            self._probability = request.probability
        if request.factor is not None:
            self._factor = request.factor
        for name in ("leaving", "full", "healthy"):
            value = getattr(request, name)
            if value is not None:
                setattr(self, name, value)
        if request.reboot_seconds is not None:
            self.reboot_seconds = request.reboot_seconds
            self.rebooting.set()

    async def run(self, queue: str, request: WebRequest) -> WebResponse | None:
        """Run a request, or refuse it with ``X-Not-Run`` without running it.

        ``None`` leaves the request without an answer.
        """
        received = trio.current_time()
        request_id = request.header("x-request-id")
        if not request_id:
            return refuse(400, "X-Request-Id is missing")
        text = request.header("x-deadline-ms", "60000")
        try:
            deadline = received + float(text) / 1000
        except ValueError:
            return refuse(400, f"X-Deadline-Ms = {text!r} must be a number")
        if self.leaving:
            return self._refuse("leaving", request_id)
        if self.full or self.present >= self.connections:
            return self._refuse("full", request_id)
        self.present += 1
        try:
            return await self._run_in_slot(queue, request, request_id, deadline)
        finally:
            self.present -= 1

    async def _run_in_slot(
        self, queue: str, request: WebRequest, request_id: str, deadline: float
    ) -> WebResponse | None:
        with trio.move_on_at(deadline) as waiting:
            await self._limiter.acquire_on_behalf_of(request)
        if waiting.cancelled_caught:
            return self._refuse("expired", request_id)
        try:
            if trio.current_time() >= deadline:
                return self._refuse("expired", request_id)
            return await self._serve(queue, request, request_id, deadline)
        finally:
            self._limiter.release_on_behalf_of(request)

    async def _serve(
        self, queue: str, request: WebRequest, request_id: str, deadline: float
    ) -> WebResponse | None:
        mode = self._choose_mode()
        now = time.monotonic()
        run = Run(
            request_id,
            request.header("x-team"),
            queue,
            self.name,
            now,
            now + deadline - trio.current_time(),
        )
        if len(self.runs) < MAX_RUNS:
            self.runs.append(run)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await trio.sleep(self._service_seconds(mode))
            run.outcome = mode
        except trio.Cancelled:
            run.outcome = "interrupted"
            raise
        finally:
            run.end = time.monotonic()
            self.running -= 1
        return self._answer(mode, queue, request, request_id)

    def _choose_mode(self) -> str:
        if self._mode == "ok" or self._remaining_count == 0:
            return "ok"
        if self._random.random() >= self._probability:
            return "ok"
        if self._remaining_count is not None:
            self._remaining_count -= 1
        return self._mode

    def _service_seconds(self, mode: str) -> float:
        match mode:
            case "fail_fast":
                return FAIL_SECONDS
            case "slow":
                return self.times.draw() * self._factor
            case _:
                return self.times.draw()

    def _answer(
        self, mode: str, queue: str, request: WebRequest, request_id: str
    ) -> WebResponse | None:
        echo = ((b"x-request-id", request_id.encode()),)
        body = msgspec.json.encode(
            {
                "request": request_id,
                "queue": queue,
                "executor": self.name,
                "received": len(request.body),
            }
        )
        match mode:
            case "fail_fast":
                return WebResponse(500, b'{"detail":"failed"}', echo)
            case "hang":
                return None
            case "lose_answer":
                return WebResponse(200, body, echo, cut_after=0)
            case "truncate":
                return WebResponse(200, body, echo, cut_after=len(body) // 2)
            case "wrong_id":
                other = ((b"x-request-id", f"other-{request_id}".encode()),)
                return WebResponse(200, body, other)
            case _:
                return WebResponse(200, body, echo)

    def _refuse(self, reason: str, request_id: str) -> WebResponse:
        self.refused[reason] += 1
        headers = (
            (b"x-not-run", reason.encode()),
            (b"x-request-id", request_id.encode()),
        )
        return WebResponse(503, b'{"detail":"not run"}', headers)

    def show_health(self) -> WebResponse:
        """Return the health, with status 503 while it is unhealthy."""
        return reply(
            {
                "executor": self.name,
                "healthy": self.healthy,
                "leaving": self.leaving,
                "running": self.running,
                "present": self.present,
                "slots": self.slots,
            },
            200 if self.healthy else 503,
        )

    def show_record(self) -> dict[str, Any]:
        """Return the numbers of running and refused requests.

        ``most_running`` is the largest number that ran at once, ``refused``
        counts by reason.
        """
        return {
            "executor": self.name,
            "most_running": self.most_running,
            "running": self.running,
            "refused": dict(self.refused),
        }
