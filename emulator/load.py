"""Open-loop load generator, seeded and bounded in requests and time.

It reads a plan and writes a report, both as JSON::

    python -m emulator.load --plan plan.json --report report.json

See ``LoadPlan`` for the plan and ``emulator/figures.py`` for the report.
"""

import time
from pathlib import Path
from typing import Literal

import attrs
import msgspec
import trio
from absl import app, flags
from attrs import define, field

from emulator.arrivals import Arrival, ArrivalPlan
from emulator.client import Answer, AnswerLost, CallerClient, NotConnected
from emulator.figures import Outcome, Try, make_report

REQUESTS_PER_CONNECTION = 50
EXTRA_WAIT_SECONDS = 2.0  # for an answer after the request's deadline
ISSUED_BATCH = 100  # request ids fetched at once


class QueuePlan(msgspec.Struct, forbid_unknown_fields=True):
    """Load on one queue: ``rate`` is requests per second.

    ``key`` is empty for an open queue.
    """

    queue: str
    team: str
    rate: float
    key: str = ""
    deadline_ms: int = 2000
    body_bytes: int = 64


class LoadPlan(msgspec.Struct, forbid_unknown_fields=True):
    """The load to send; ``targets`` are ``HOST:PORT``, used in turn.

    ``retries`` is how often at most a caller repeats a request that was
    answered "not run", each time after the answer's ``Retry-After``.
    ``failovers`` is how often at most it sends a request whose verdict is not
    ``answered`` to the next target, each time after ``failover_seconds``.
    ``callers`` is the number of HTTP clients, which send in turn; there is at
    least one per target. With ``ids`` ``issued``, the request ids come from
    the system under test. With ``direct``, the targets are executors. Requests
    that are due while ``max_in_flight`` are in flight are skipped.
    """

    targets: list[str]
    queues: list[QueuePlan]
    seconds: float
    seed: int = 1
    peak_seconds: float = 0.0
    max_requests: int = 100_000
    max_in_flight: int = 2000
    callers: int = 4
    ids: Literal["own", "issued"] = "own"
    id_prefix: str = "load"
    retries: int = 0
    failovers: int = 0
    failover_seconds: float = 0.2
    late_seconds: float = 0.0
    direct: bool = False
    requests_per_connection: int = REQUESTS_PER_CONNECTION


@define
class _Exchange:
    """A request that is on its way, with a result of its own."""

    outcome: Outcome
    done: trio.Event = field(factory=trio.Event)
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    given_up: Try | None = None


@define
class LoadRun:
    """One run of a plan."""

    plan: LoadPlan
    outcomes: list[Outcome] = field(factory=list)
    skipped: int = 0
    _clients: list[CallerClient] = field(factory=list)
    _issued: dict[int, list[str]] = field(factory=dict)
    _in_flight: int = 0

    async def run(self) -> dict:
        """Send all requests and return the report."""
        self._clients = [self._make_client(number) for number in self._client_numbers()]
        plan = self.plan
        arrivals = ArrivalPlan(
            [queue.rate for queue in plan.queues],
            plan.peak_seconds,
            plan.seconds,
            plan.seed,
        )
        begin = time.monotonic()
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for count, arrival in enumerate(arrivals.generate()):
                if count >= plan.max_requests:
                    break
                await trio.sleep_until(start + arrival.at)
                if self._in_flight >= plan.max_in_flight:
                    self.skipped += 1
                    continue
                nursery.start_soon(self._send, count, arrival, nursery)
        for client in self._clients:
            await client.close()
        return make_report(self.outcomes, begin, plan.seconds, self.skipped)

    def _client_numbers(self) -> range:
        return range(max(self.plan.callers, len(self.plan.targets)))

    def _make_client(self, number: int) -> CallerClient:
        target = self.plan.targets[number % len(self.plan.targets)]
        host, _, port = target.rpartition(":")
        return CallerClient(host, int(port), self.plan.requests_per_connection)

    async def _send(self, count: int, arrival: Arrival, nursery: trio.Nursery) -> None:
        self._in_flight += 1
        queue = self.plan.queues[arrival.queue]
        outcome = Outcome("", queue.team, queue.queue, time.monotonic())
        self.outcomes.append(outcome)
        for number in range(self.plan.failovers + 1):
            if number:
                await trio.sleep(self.plan.failover_seconds)
            client = self._clients[(count + number) % len(self._clients)]
            await self._send_to(client, arrival, outcome, nursery)
            if outcome.verdict == "answered":
                break
        self._in_flight -= 1

    async def _send_to(
        self,
        client: CallerClient,
        arrival: Arrival,
        outcome: Outcome,
        nursery: trio.Nursery,
    ) -> None:
        """Send a request through one target and record the result."""
        queue = self.plan.queues[arrival.queue]
        limit = queue.deadline_ms / 1000 + EXTRA_WAIT_SECONDS
        began = time.monotonic()
        exchange = _Exchange(attrs.evolve(outcome, tries=[]))
        nursery.start_soon(self._exchange, exchange, client, arrival)
        with trio.move_on_after(limit):
            await exchange.done.wait()
        known = exchange.outcome
        outcome.id, outcome.attempts = known.id, known.attempts
        target = f"{client.host}:{client.port}"
        if exchange.done.is_set():
            outcome.copy_result(known)
            outcome.tries.append(Try(target, began, outcome.end, outcome.verdict))
            return
        outcome.finish("timeout", detail=f"no answer in {limit:.1f} s")
        result = Try(target, began, outcome.end, outcome.verdict)
        outcome.tries.append(result)
        exchange.given_up = result
        exchange.scope.deadline = trio.current_time() + self.plan.late_seconds

    async def _exchange(
        self, exchange: _Exchange, client: CallerClient, arrival: Arrival
    ) -> None:
        queue = self.plan.queues[arrival.queue]
        outcome = exchange.outcome
        with exchange.scope:
            try:
                if not outcome.id:
                    outcome.id = await self._choose_id(client, arrival)
                if exchange.given_up is None:
                    await self._send_with_retries(client, queue, outcome)
                else:
                    outcome.finish("not_sent")
            except NotConnected as error:
                outcome.finish("not_connected", detail=str(error))
            except AnswerLost as error:
                outcome.finish("lost", detail=str(error))
            if exchange.given_up is not None:
                exchange.given_up.late = outcome.verdict
            exchange.done.set()

    async def _choose_id(self, client: CallerClient, arrival: Arrival) -> str:
        queue = self.plan.queues[arrival.queue]
        if self.plan.ids == "own":
            prefix = self.plan.id_prefix
            return f"{prefix}-{self.plan.seed}-{queue.queue}-{arrival.number}"
        kept = self._issued.setdefault(arrival.queue, [])
        if not kept:
            kept.extend(await self._fetch_ids(client, queue))
        return kept.pop()

    async def _fetch_ids(self, client: CallerClient, queue: QueuePlan) -> list[str]:
        headers = _make_headers(queue) | {"Content-Type": "application/json"}
        body = msgspec.json.encode({"count": ISSUED_BATCH})
        answer = await client.send("POST", "/v1/request-ids", headers, body)
        if answer.status != 200:
            raise NotConnected(
                f"POST /v1/request-ids: status {answer.status} {answer.body!r}"
            )
        return msgspec.json.decode(answer.body)["ids"]

    async def _send_with_retries(
        self, client: CallerClient, queue: QueuePlan, outcome: Outcome
    ) -> None:
        headers = _make_headers(queue) | {"X-Request-Id": outcome.id}
        body = b"x" * queue.body_bytes
        path = f"{'/run' if self.plan.direct else '/v1/queues'}/{queue.queue}"
        for attempt in range(self.plan.retries + 1):
            outcome.attempts += 1
            answer = await client.send("POST", path, headers, body)
            if self.plan.direct:
                answer.headers.setdefault("x-verdict", _infer_direct_verdict(answer))
            outcome.record_answer(answer.status, answer.headers, answer.body)
            wait = _read_retry_after(answer)
            if outcome.verdict != "not-run" or wait is None:
                return
            if attempt < self.plan.retries:
                await trio.sleep(wait)


def _make_headers(queue: QueuePlan) -> dict[str, str]:
    headers = {"X-Team": queue.team, "X-Deadline-Ms": str(queue.deadline_ms)}
    if queue.key:
        headers["Authorization"] = f"Bearer {queue.key}"
    return headers


def _infer_direct_verdict(answer: Answer) -> str:
    return "not-run" if "x-not-run" in answer.headers else "answered"


def _read_retry_after(answer: Answer) -> float | None:
    text = answer.headers.get("retry-after")
    return None if text is None else float(text)


def run_plan(plan: LoadPlan) -> dict:
    """Run a plan in this process and return the report."""
    return trio.run(LoadRun(plan).run)


def main(arguments: list[str]) -> None:
    """Run the tool with the flags from the command line."""
    del arguments
    values = flags.FLAGS
    plan = msgspec.json.decode(Path(values.plan).read_bytes(), type=LoadPlan)
    encoded = msgspec.json.encode(run_plan(plan))
    if values.report:
        Path(values.report).write_bytes(encoded)
    else:
        print(encoded.decode())


if __name__ == "__main__":
    flags.DEFINE_string(
        "plan", None, "File with the plan, a LoadPlan as JSON.", required=True
    )
    flags.DEFINE_string("report", "", "File for the report; if empty, it is printed.")
    app.run(main)
