"""Goodput, shares and lateness of the request path at five times the capacity.

Requests enter at the dispatch service, so that the processor time of the
caller port does not limit the load. Two upstreams run in the same process;
each has a number of slots and lets further requests wait. The other services
of the daemon are the fakes of the tests. There is one daemon; contention
between daemons is not covered.
"""

import random
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from tempfile import TemporaryDirectory

import attrs
import pytest
import trio
from attrs import define, field, frozen

from bench.figures import Figure, Side
from hemlockstand.model import Configuration, Priority
from hemlockstand.requests.messages import Request
from hemlockstand.verdict import Answered, MayHaveRun, Verdict
from test.fakes import (
    FakeUpstream,
    RequestPathHarness,
    make_answer,
    make_configuration,
    make_queue,
    run_request_path,
)

EXECUTORS = 2
SLOTS = 8
CONNECTIONS = 60
SERVICE_SECONDS = 0.05
SERVICE_TIME_SPREAD = 0.3
CAPACITY = EXECUTORS * SLOTS / SERVICE_SECONDS  # requests per second
CALM_LOAD = 0.25
PEAK_LOAD = 5.0
CALM_SECONDS = 2.0
PEAK_SECONDS = 6.0
# The targets for shares apply from 3 s after the start of a peak.
SETTLING_SECONDS = 3.0
DEADLINES = {"quotes": 1.0, "clamps": 1.0, "batch": 3.0}
QUEUES = ("quotes", "quotes", "clamps", "clamps", "batch")
SHARES = {"quotes": 1.0, "clamps": 3.0}
SEED = 1


@frozen
class EndedRequest:
    """A request that ended ``at`` seconds after the start of the load."""

    queue: str
    at: float
    verdict: Verdict


@define(eq=False)
class SlottedUpstream:
    """Runs ``SLOTS`` requests concurrently; further ones wait."""

    rng: random.Random
    open_requests: int = 0
    slots: trio.CapacityLimiter = field(factory=lambda: trio.CapacityLimiter(SLOTS))

    async def respond(self, received) -> bytes:
        """Run the request, or refuse it as not run."""
        if self.open_requests >= CONNECTIONS:
            return _refuse(received, "full")
        self.open_requests += 1
        try:
            return await self._run(received)
        finally:
            self.open_requests -= 1

    async def _run(self, received) -> bytes:
        seconds = int(received.headers["x-deadline-ms"]) / 1000
        with trio.move_on_after(seconds) as wait_scope:
            await self.slots.acquire_on_behalf_of(received)
        if wait_scope.cancelled_caught:
            return _refuse(received, "expired")
        try:
            factor = self.rng.uniform(1 - SERVICE_TIME_SPREAD, 1 + SERVICE_TIME_SPREAD)
            await trio.sleep(SERVICE_SECONDS * factor)
        finally:
            self.slots.release_on_behalf_of(received)
        return make_answer(received)


def _refuse(received, reason: str) -> bytes:
    return make_answer(received, b"", 503, extra=f"X-Not-Run: {reason}\r\n")


def measure_figures() -> Iterator[Figure]:
    """Yield the figures of the peak, without its first three seconds."""
    ended, amplification = run_peak()
    begin = CALM_SECONDS + SETTLING_SECONDS
    end = CALM_SECONDS + PEAK_SECONDS
    measured = [request for request in ended if begin <= request.at < end]
    served = Counter(
        request.queue for request in measured if isinstance(request.verdict, Answered)
    )
    goodput = sum(served.values()) / (end - begin) / CAPACITY
    uncertain = sum(isinstance(request.verdict, MayHaveRun) for request in measured)
    yield Figure(
        "requests_goodput_at_5x_of_capacity", goodput, "ratio", 0.9, Side.AT_LEAST
    )
    yield Figure("requests_share_error_at_5x", _share_error(served), "ratio", 0.05)
    batch_part = served["batch"] / max(1, sum(served.values()))
    yield Figure("requests_batch_part_at_5x", batch_part, "ratio", 0.09, Side.AT_LEAST)
    yield Figure(
        "requests_late_after_send_at_5x", uncertain / max(1, len(measured)), "ratio"
    )
    yield Figure("requests_retry_amplification_at_5x", amplification, "ratio", 1.10)


def run_peak() -> tuple[list[EndedRequest], float]:
    """Run the load once; return the ended requests and runs per first try."""
    with pytest.MonkeyPatch.context() as patch, TemporaryDirectory() as directory:
        return trio.run(_run_peak, patch, Path(directory))


def _share_error(served: Counter[str]) -> float:
    total = sum(served[queue] for queue in SHARES)
    total_share = sum(SHARES.values())
    return max(
        abs(served[queue] / max(1, total) - share / total_share)
        for queue, share in SHARES.items()
    )


def _make_configuration() -> Configuration:
    configuration = make_configuration(
        make_queue("quotes", idempotent=False),
        make_queue("clamps", team="clamp"),
        make_queue("batch", team="clamp", priority=Priority.BATCH),
    )
    clamp = attrs.evolve(configuration.teams["clamp"], share=SHARES["clamps"])
    teams = {**configuration.teams, "clamp": clamp}
    return attrs.evolve(configuration, teams=teams)


async def _run_peak(patch, directory: Path) -> tuple[list[EndedRequest], float]:
    rng = random.Random(SEED)
    upstreams = [FakeUpstream(SlottedUpstream(rng).respond) for _ in range(EXECUTORS)]
    ended: list[EndedRequest] = []
    async with run_request_path(
        patch, directory, _make_configuration(), {"main": upstreams}
    ) as harness:
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number, due in enumerate(_draw_arrivals(rng)):
                await trio.sleep_until(began + due)
                queue = rng.choice(QUEUES)
                nursery.start_soon(_submit, harness, queue, number, began, ended)
        budget = harness.dispatch.pools["main"].budget
    return ended, 1 + budget.retries / budget.first_tries


def _draw_arrivals(rng: random.Random) -> Iterator[float]:
    """Yield the arrival times in a calm period and the following peak."""
    due = 0.0
    while due < CALM_SECONDS + PEAK_SECONDS:
        load = CALM_LOAD if due < CALM_SECONDS else PEAK_LOAD
        due += rng.expovariate(load * CAPACITY)
        yield due


async def _submit(
    harness: RequestPathHarness,
    queue: str,
    number: int,
    began: float,
    ended: list[EndedRequest],
) -> None:
    deadline = trio.current_time() + DEADLINES[queue]
    request = Request(f"{queue}{number}", "hinge", queue, deadline, b"", "", {})
    verdict = await harness.dispatch.execute(request)
    ended.append(EndedRequest(queue, trio.current_time() - began, verdict))


if __name__ == "__main__":
    for figure in measure_figures():
        print(figure.format_line())
