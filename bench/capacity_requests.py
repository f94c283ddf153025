"""Cost of requests and of the slot moves that their peaks cause."""

from collections.abc import Iterator
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import thread_time

import pytest
import trio
from attrs import evolve

from bench.capacity_series import REPEATS, TARGET, Series, make_series, time_calls
from bench.capacity_slopes import make_configuration
from bench.limits import (
    CountingTable,
    count_writes,
    run_with_mock_clock,
    send_repeatedly,
)
from bench.requests_path import KEYED, UpstreamThread, _answer, _send
from hemlockstand.coordination.commits import GroupCommit
from hemlockstand.coordination.fairqueue import FairQueue
from hemlockstand.coordination.ledger import Ledger
from hemlockstand.model import Access
from hemlockstand.platform.memory import MemoryTable
from hemlockstand.requests.limits import LimitsService
from test.fakes import (
    FakeUpstream,
    make_configuration as make_small_configuration,
    make_queue,
    run_request_path,
)
from test.limit_fakes import Fleet

REQUESTS = 300
PEAKS = 12
PEAK_SECONDS = 5.0
PEAK_CALLERS = 80
LIMIT = 90


def measure_requests() -> Iterator[Series]:
    """Yield the processor time of a keyed order by number of teams."""
    points = []
    for teams in (71, 142, 285, 570):
        with pytest.MonkeyPatch.context() as patch, TemporaryDirectory() as directory:
            points.append(
                (teams, trio.run(_measure_orders, patch, Path(directory), teams))
            )
    yield make_series(
        "keyed_order",
        "requests/admission.py, dispatch.py, upstreams.py",
        "teams",
        "us",
        TARGET.teams,
        points,
    )


async def _measure_orders(patch, directory: Path, teams: int) -> float:
    """Return the processor microseconds of the daemon's thread per order."""
    small = make_small_configuration(
        make_queue("orders", idempotent=False, access=Access.KEYED)
    )
    large = make_configuration(teams)
    configuration = evolve(
        small,
        teams={**large.teams, **small.teams},
        queues={**large.queues, **small.queues},
        jobs=large.jobs,
        keys={**large.keys, **small.keys},
    )
    upstreams = [FakeUpstream(_answer) for _ in range(4)]
    async with (
        UpstreamThread(upstreams),
        run_request_path(
            patch, directory, configuration, {"main": upstreams}
        ) as request_path,
    ):
        port, path = request_path.admission.port, "/v1/queues/orders"
        await _send(port, path, KEYED, REQUESTS)
        times = []
        for _ in range(REPEATS):
            began = thread_time()
            await _send(port, path, KEYED, REQUESTS)
            times.append((thread_time() - began) / REQUESTS * 1e6)
    return min(times)


def measure_peaks() -> Iterator[Series]:
    """Yield the writes of a team's row for one peak of its demand."""
    points = []
    for daemons in (2, 4, 6, 9):
        tables: list[CountingTable] = []
        with TemporaryDirectory() as directory:
            run_with_mock_clock(_run_peaks, directory, tables, daemons)
        points.append((daemons, count_writes(tables, "limit") / PEAKS))
    yield make_series(
        "writes_per_peak",
        "requests/moves.py, coordination/escrow.py",
        "daemons that serve the team",
        "row writes",
        9,
        points,
    )


async def _run_peaks(directory: str, tables: list, daemons: int) -> None:
    """Run peaks; in each, a random daemon has most of a team's demand."""
    fleet = Fleet(Path(directory))
    fleet.configuration.set_limit("hinge", LIMIT)
    services = []
    for number in range(daemons):
        kernel = fleet.add(f"entry-{number}")
        tables.append(CountingTable(fleet.table))
        kernel.find("platform", object).platform.table = tables[-1]
        services.append(LimitsService(kernel))
    random = Random(5)
    async with trio.open_nursery() as nursery:
        for service in services:
            await service.start()
            nursery.start_soon(service.run)
        for _ in range(PEAKS):
            peak = random.choice(services)
            with trio.move_on_after(PEAK_SECONDS):
                async with trio.open_nursery() as callers:
                    for service in services:
                        count = PEAK_CALLERS if service is peak else 1
                        for _ in range(count):
                            callers.start_soon(send_repeatedly, service, [0], [])
        nursery.cancel_scope.cancel()


def measure_queue() -> Iterator[Series]:
    """Yield the cost of one push and one pop of the fair queue."""
    module = "coordination/fairqueue.py"
    waiting = [(size, _time_queue(size, 50)) for size in (250, 500, 1000, 2000)]
    teams = [(size, _time_queue(1000, size)) for size in (71, 142, 285, 570)]
    yield make_series("queue_waiting", module, "requests waiting", "us", 1000, waiting)
    yield make_series("queue_teams", module, "teams", "us", TARGET.teams, teams)


def _time_queue(waiting: int, teams: int) -> float:
    queue: FairQueue[int] = FairQueue(10_000, 0.1)
    numbers = iter(range(10**9))

    def push() -> None:
        number = next(numbers)
        queue.push(number, f"team-{number % teams}", 1.0 + number % 3, 1e9)

    for _ in range(waiting):
        push()

    def push_and_pop() -> None:
        push()
        queue.pop(0.0)

    return time_calls(push_and_pop, 2000)


def measure_claims() -> Iterator[Series]:
    """Yield the row writes and transactions of orders with callers' ids."""
    yield from trio.run(_collect_claims)


async def _collect_claims() -> list[Series]:
    writes, transactions = [], []
    for size in (1, 4, 16, 64):
        table = MemoryTable()
        commits = GroupCommit(table, 0.004)
        ledger = Ledger(commits, "entry-1-a")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(commits.run)
            await _run_orders(ledger, size)
            nursery.cancel_scope.cancel()
        writes.append((size, table.writes))
        transactions.append((size, commits.transactions))
    module, name = "coordination/ledger.py, commits.py", "orders at once"
    return [
        make_series("order_writes", module, name, "row writes", 1, writes),
        make_series(
            "order_transactions", module, name, "transactions", 1, transactions
        ),
    ]


async def _run_orders(ledger: Ledger, count: int) -> None:
    async def run_order(number: int) -> None:
        name = f"team/order-{number}"
        await ledger.claim(name)
        await ledger.finish(name, {"status": 200, "headers": [], "body": ""})

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(run_order, number)
