"""Cost of team slots and of at-most-once orders, in table writes and time.

Nine daemons, as the deployments have today, share an in-memory table and a
clock that skips idle time, so the numbers of writes are exact. Times are CPU
times of one core.
"""

from collections.abc import Iterator
from itertools import count
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import process_time

import trio
from attrs import define, field
from trio.testing import MockClock

from bench.figures import Figure
from hemlockstand.errors import HemlockstandError
from hemlockstand.requests.limits import LimitsService
from hemlockstand.requests.orders import OrdersService
from hemlockstand.verdict import Answered
from test.helper import SwitchedTable
from test.limit_fakes import Fleet

DAEMONS = 9
LIMIT = 90
TEAMS = 570
IDLE_SECONDS = 30.0
OPEN_SLOTS = 60
CYCLES = 20_000
PEAK_SECONDS = 5.0
PEAKS = 40
PEAK_CALLERS = 80
SERVICE_SECONDS = 1.0
ORDER_SECONDS = 0.02
ORDERS = 2000
ORDERS_PER_SECOND = 500
TABLE_SECONDS = 0.005  # a round trip to the platform


def measure_figures() -> Iterator[Figure]:
    """Yield the figures of slots, of their moves, and of orders."""
    yield from measure_slot_cost()
    yield from measure_movement()
    yield from measure_idle_teams()
    yield from measure_orders()


@define
class CountingTable(SwitchedTable):
    """A table with a round-trip delay that counts row writes by key prefix."""

    counts: dict = field(factory=dict)

    async def transact(self, operations):
        await trio.sleep(TABLE_SECONDS)
        try:
            versions = await self.shared.transact(operations)
        except HemlockstandError:
            self.counts["conflict"] = self.counts.get("conflict", 0) + 1
            raise
        for operation in operations:
            prefix = operation.key.split("/")[0]
            self.counts[prefix] = self.counts.get(prefix, 0) + 1
        self.counts["transaction"] = self.counts.get("transaction", 0) + 1
        return versions


def run_with_mock_clock(function, *arguments):
    """Run a function in trio on a clock that skips idle time."""
    return trio.run(function, *arguments, clock=MockClock(autojump_threshold=0))


def make_fleet(directory: str, tables: list[CountingTable], kind: type) -> list:
    """Return services of the given class, one for each daemon."""
    fleet = Fleet(Path(directory))
    fleet.configuration.set_limit("hinge", LIMIT)
    services = []
    for number in range(DAEMONS):
        kernel = fleet.add(f"entry-{number}")
        table = CountingTable(fleet.table)
        tables.append(table)
        kernel.find("platform", object).platform.table = table
        services.append(kind(kernel))
    return services


def count_writes(tables: list[CountingTable], kind: str) -> int:
    """Return the count of ``kind`` over all daemons.

    ``kind`` is a key prefix, "transaction" or "conflict".
    """
    return sum(table.counts.get(kind, 0) for table in tables)


def measure_slot_cost() -> Iterator[Figure]:
    """Measure taking a slot, checking it before the send, and releasing it."""
    with TemporaryDirectory() as directory:
        seconds = run_with_mock_clock(_cycle_slots, directory)
    yield Figure("limits_take_release_microseconds", seconds * 1e6, "us")


async def _cycle_slots(directory: str) -> float:
    service = make_fleet(directory, [], LimitsService)[0]
    async with trio.open_nursery() as nursery:
        await service.start()
        nursery.start_soon(service.run)
        deadline = trio.current_time() + 25
        for _ in range(OPEN_SLOTS):
            slot = await service.wait_slot("hinge", deadline, True)
            assert slot.may_send()
        started = process_time()
        done = 0
        for _ in range(CYCLES):
            slot = service.take("hinge", deadline, True)
            if slot is not None and slot.may_send():
                slot.release(True)
                done += 1
        cpu_seconds = process_time() - started
        assert done == CYCLES, f"only {done} of {CYCLES} cycles had a slot"
        nursery.cancel_scope.cancel()
    return cpu_seconds / CYCLES


def measure_movement() -> Iterator[Figure]:
    """Measure writes while a peak of demand moves between daemons."""
    tables: list[CountingTable] = []
    with TemporaryDirectory() as directory:
        requests, delays = run_with_mock_clock(_move_peaks, directory, tables)
    writes = count_writes(tables, "limit")
    seconds = PEAKS * PEAK_SECONDS
    yield Figure("limits_writes_per_peak", writes / PEAKS, "writes")
    yield Figure("limits_writes_per_request", writes / requests, "writes")
    yield Figure("limits_conflicts_per_peak", _per_peak(tables, "conflict"), "writes")
    renewals = count_writes(tables, "holder") / DAEMONS / seconds
    yield Figure("limits_renewals_per_second", renewals, "1/s")
    yield Figure("limits_peak_served_p50", sorted(delays)[len(delays) // 2], "s")
    yield Figure("limits_peak_served_max", max(delays), "s")
    yield Figure("limits_requests_per_peak", requests / PEAKS, "requests")


def _per_peak(tables: list[CountingTable], kind: str) -> float:
    return count_writes(tables, kind) / PEAKS


async def _move_peaks(directory: str, tables: list) -> tuple[int, list[float]]:
    """Direct most of the demand to one random daemon after another.

    Returns the number of requests, and for each peak the time until each of
    its callers has had a slot. Demand figures reach the other daemons at once
    here; in a fleet they travel with the next heartbeat.
    """
    services = make_fleet(directory, tables, LimitsService)
    random, requests, delays = Random(5), [0], []
    async with trio.open_nursery() as nursery:
        for service in services:
            await service.start()
            nursery.start_soon(service.run)
        for _ in range(PEAKS):
            began, peak = trio.current_time(), random.choice(services)
            first_slot_times: list[float] = []
            with trio.move_on_after(PEAK_SECONDS):
                async with trio.open_nursery() as callers:
                    for service in services:
                        slot_times = first_slot_times if service is peak else []
                        for _ in range(PEAK_CALLERS if service is peak else 1):
                            callers.start_soon(
                                send_repeatedly, service, requests, slot_times
                            )
            assert len(first_slot_times) == PEAK_CALLERS, "a caller never had a slot"
            delays.append(max(first_slot_times) - began)
        nursery.cancel_scope.cancel()
    return requests[0], delays


async def send_repeatedly(
    service: LimitsService, requests: list, slot_times: list
) -> None:
    """Send requests one after another; each holds a slot while served."""
    for number in count():
        slot = await service.wait_slot("hinge", trio.current_time() + 20, True)
        if slot is None:
            continue
        if number == 0:
            slot_times.append(trio.current_time())
        requests[0] += 1
        try:
            await trio.sleep(SERVICE_SECONDS if slot.may_send() else 0.1)
        finally:
            slot.release(True)


def measure_idle_teams() -> Iterator[Figure]:
    """Measure the background work with the two-year number of teams."""
    with TemporaryDirectory() as directory:
        seconds = run_with_mock_clock(_measure_idle, directory)
    yield Figure("limits_idle_cpu_percent", 100 * seconds / IDLE_SECONDS, "%")


async def _measure_idle(directory: str) -> float:
    """Return the CPU seconds of one of nine daemons that hold idle slots."""
    fleet = Fleet(Path(directory))
    teams = [f"team-{number}" for number in range(TEAMS)]
    for team in teams:
        fleet.configuration.set_limit(team, LIMIT)
    services = [LimitsService(fleet.add(f"entry-{n}")) for n in range(DAEMONS)]
    async with trio.open_nursery() as nursery:
        for service in services:
            await service.start()
            nursery.start_soon(service.run)
        async with trio.open_nursery() as callers:
            for service in services:
                for team in teams:
                    callers.start_soon(_use_slot_once, service, team)
        await trio.sleep(5)
        started = process_time()
        await trio.sleep(IDLE_SECONDS)
        cpu_seconds = process_time() - started
        nursery.cancel_scope.cancel()
    return cpu_seconds / DAEMONS


async def _use_slot_once(service: LimitsService, team: str) -> None:
    slot = await service.wait_slot(team, trio.current_time() + 25, True)
    slot.release(True)


def measure_orders() -> Iterator[Figure]:
    """Measure the writes and the time of claims at a steady rate."""
    tables: list[CountingTable] = []
    with TemporaryDirectory() as directory:
        cpu, waits = run_with_mock_clock(_place_orders, directory, tables)
    waits.sort()
    rows = count_writes(tables, "claim") / ORDERS
    yield Figure("orders_rows_written_per_order", rows, "writes")
    transactions = count_writes(tables, "transaction") / ORDERS
    yield Figure("orders_transactions_per_order", transactions, "transactions")
    yield Figure("orders_claim_wait_p50", waits[len(waits) // 2], "s")
    yield Figure("orders_claim_wait_p99", waits[len(waits) * 99 // 100], "s")
    yield Figure("orders_cpu_microseconds", cpu * 1e6, "us")


async def _place_orders(directory: str, tables: list) -> tuple[float, list[float]]:
    service = make_fleet(directory, tables, OrdersService)[0]
    waits: list[float] = []
    started = process_time()
    async with trio.open_nursery() as nursery:
        await service.start()
        nursery.start_soon(service.run)
        async with trio.open_nursery() as callers:
            for number in range(ORDERS):
                callers.start_soon(_place_order, service, number, waits)
                await trio.sleep(1 / ORDERS_PER_SECOND)
        await service.stop()
        nursery.cancel_scope.cancel()
    return (process_time() - started) / ORDERS, waits


async def _place_order(service: OrdersService, number: int, waits: list) -> None:
    began = trio.current_time()
    claim = await service.claim("hinge", f"order-{number}")
    waits.append(trio.current_time() - began)
    await trio.sleep(ORDER_SECONDS)
    await service.finish(claim, Answered(200, (), b"done"))
