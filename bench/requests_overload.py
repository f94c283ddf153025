"""Goodput, shares and lateness of the request path at five times the capacity.

Requests enter at the dispatch service, so that the processor time of the
caller port does not limit the load. Two upstreams with slots and a waiting
room run in the same process. The services around the path are the stand-ins
of the tests. One daemon sends; contention between daemons is not covered.
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
    Surroundings,
    make_answer,
    make_configuration,
    make_queue,
    run_request_path,
)

EXECUTORS = 2
SLOTS = 8
CONNECTIONS = 60
SERVICE_SECONDS = 0.05
SPREAD = 0.3
CAPACITY = EXECUTORS * SLOTS / SERVICE_SECONDS  # requests per second
CALM_LOAD = 0.25
PEAK_LOAD = 5.0
CALM_SECONDS = 2.0
PEAK_SECONDS = 6.0
SETTLING_SECONDS = 3.0  # the targets state shares from 3 s into a peak on
DEADLINES = {"quotes": 1.0, "clamps": 1.0, "batch": 3.0}
QUEUES = ("quotes", "quotes", "clamps", "clamps", "batch")
SHARES = {"quotes": 1.0, "clamps": 3.0}
SEED = 1


@frozen
class Ended:
    """A request that has ended, with the time of its end."""

    queue: str
    at: float
    verdict: Verdict


@define(eq=False)
class SlottedUpstream:
    """Runs ``SLOTS`` requests at once and lets others wait."""

    source: random.Random
    present: int = 0
    slots: trio.CapacityLimiter = field(factory=lambda: trio.CapacityLimiter(SLOTS))

    async def respond(self, received) -> bytes:
        """Run the request or refuse it truthfully."""
        if self.present >= CONNECTIONS:
            return _refuse(received, "full")
        self.present += 1
        try:
            return await self._run(received)
        finally:
            self.present -= 1

    async def _run(self, received) -> bytes:
        seconds = int(received.headers["x-deadline-ms"]) / 1000
        with trio.move_on_after(seconds) as waiting:
            await self.slots.acquire_on_behalf_of(received)
        if waiting.cancelled_caught:
            return _refuse(received, "expired")
        try:
            spread = self.source.uniform(1 - SPREAD, 1 + SPREAD)
            await trio.sleep(SERVICE_SECONDS * spread)
        finally:
            self.slots.release_on_behalf_of(received)
        return make_answer(received)


def _refuse(received, reason: str) -> bytes:
    return make_answer(received, b"", 503, extra=f"X-Not-Run: {reason}\r\n")


def measure_figures() -> Iterator[Figure]:
    """Yield the figures from three seconds into the peak to its end."""
    ended, retries = run_peak()
    begin = CALM_SECONDS + SETTLING_SECONDS
    end = CALM_SECONDS + PEAK_SECONDS
    late = [part for part in ended if begin <= part.at < end]
    served = Counter(part.queue for part in late if isinstance(part.verdict, Answered))
    goodput = sum(served.values()) / (end - begin) / CAPACITY
    lost = sum(isinstance(part.verdict, MayHaveRun) for part in late)
    yield Figure(
        "requests_goodput_at_5x_of_capacity", goodput, "ratio", 0.9, Side.AT_LEAST
    )
    yield Figure("requests_share_error_at_5x", _share_error(served), "ratio", 0.05)
    part = served["batch"] / max(1, sum(served.values()))
    yield Figure("requests_batch_part_at_5x", part, "ratio", 0.09, Side.AT_LEAST)
    yield Figure("requests_late_after_send_at_5x", lost / max(1, len(late)), "ratio")
    yield Figure("requests_retry_amplification_at_5x", retries, "ratio", 1.10)


def run_peak() -> tuple[list[Ended], float]:
    """Run the load once; return what ended and runs per first try."""
    with pytest.MonkeyPatch.context() as patch, TemporaryDirectory() as directory:
        return trio.run(_run_peak, patch, Path(directory))


def _share_error(served: Counter[str]) -> float:
    total = sum(served[queue] for queue in SHARES)
    wanted = sum(SHARES.values())
    return max(
        abs(served[queue] / max(1, total) - share / wanted)
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


async def _run_peak(patch, directory: Path) -> tuple[list[Ended], float]:
    source = random.Random(SEED)
    upstreams = [
        FakeUpstream(SlottedUpstream(source).respond) for _ in range(EXECUTORS)
    ]
    ended: list[Ended] = []
    async with run_request_path(
        patch, directory, _make_configuration(), {"main": upstreams}
    ) as around:
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number, due in enumerate(_draw_arrivals(source)):
                await trio.sleep_until(began + due)
                queue = source.choice(QUEUES)
                nursery.start_soon(_submit, around, queue, number, began, ended)
        budget = around.dispatch.pools["main"].budget
    return ended, 1 + budget.retries / budget.first_tries


def _draw_arrivals(source: random.Random) -> Iterator[float]:
    """Yield the times of a calm time and of the peak that follows."""
    due = 0.0
    while due < CALM_SECONDS + PEAK_SECONDS:
        load = CALM_LOAD if due < CALM_SECONDS else PEAK_LOAD
        due += source.expovariate(load * CAPACITY)
        yield due


async def _submit(
    around: Surroundings, queue: str, number: int, began: float, ended: list[Ended]
) -> None:
    deadline = trio.current_time() + DEADLINES[queue]
    request = Request(f"{queue}{number}", "hinge", queue, deadline, b"", "", {})
    verdict = await around.dispatch.execute(request)
    ended.append(Ended(queue, trio.current_time() - began, verdict))


if __name__ == "__main__":
    for figure in measure_figures():
        print(figure.format_line())
