"""Cost of loopback calls to the platform stand-in and between daemons."""

import tempfile
from collections.abc import AsyncIterator, Callable, Iterator
from functools import partial
from math import inf
from pathlib import Path
from random import Random
from time import monotonic, process_time

import httpx
import trio
from attrs import define, evolve

from bench.capacity_series import (
    REPEATS,
    TARGET,
    Series,
    make_series,
    name_daemons,
    name_data_centres,
    time_async,
)
from emulator.network import PLATFORM_PORT, reserve_network
from emulator.processes import ChildGroup
from hemlockstand.coordination.freshness import FreshnessTracker, Report, StampAge
from hemlockstand.coordination.membership import MembershipView, Peer
from hemlockstand.maintenance.records import (
    POOL_PREFIX,
    PoolState,
    decode_pool,
    encode_pool,
)
from hemlockstand.peers.demands import Demand, DemandRegistry, PoolDemand, PoolTeam
from hemlockstand.peers.heartbeats import HeartbeatHandler
from hemlockstand.peers.messages import decode_report
from hemlockstand.peers.names import NameIndex
from hemlockstand.peers.transport import PeerClient, PeerServer, Traffic
from hemlockstand.platform.http import HttpPlatform
from hemlockstand.platform.interface import Put, Shape, TaskStart

CALLS = 40
READY_SECONDS = 20.0
SECRET = b"capacity-shared-secret"
ROW = {
    "counter": 123456,
    "data_centre": "region0-dc00",
    "lease_seconds": 10.0,
    "grant_seconds": 30.05,
    "proof_seconds": 4.0,
    "ended_by_others": [],
}


@define
class Cost:
    """Processor time and bytes of one call."""

    micros: float
    received: float
    sent: float

    @property
    def bytes(self) -> float:
        """Bytes in both directions, without framing below HTTP."""
        return self.received + self.sent


def measure_platform_calls() -> list[Series]:
    """Measure the platform's adapter with the stand-in in its own process."""
    network = reserve_network()
    host = network.host(0, 1)
    with tempfile.TemporaryDirectory(prefix="hemlockstand-capacity-") as directory:
        children = ChildGroup(Path(directory))
        try:
            arguments = [f"--host={host}", f"--port={PLATFORM_PORT}"]
            children.start("platform", "emulator.platform", arguments)
            url = f"http://{host}:{PLATFORM_PORT}"
            _wait_ready(url)
            return trio.run(_measure_platform, url)
        finally:
            children.close()
            network.close()


def _wait_ready(url: str) -> None:
    deadline = monotonic() + READY_SECONDS
    while True:
        try:
            if httpx.get(f"{url}/health", trust_env=False).status_code == 200:
                return
        except httpx.HTTPError:
            if monotonic() > deadline:
                raise
        trio.run(trio.sleep, 0.05)


async def _measure_platform(url: str) -> list[Series]:
    platform = HttpPlatform(url, 10.0)
    try:
        series = [entry async for entry in _measure_table(platform)]
        series += [entry async for entry in _measure_pools(platform)]
        series += [entry async for entry in _measure_list(platform)]
        return series + [entry async for entry in _measure_workers(platform)]
    finally:
        await platform.close()


async def _measure_call(
    platform: HttpPlatform, call: Callable, calls: int = CALLS
) -> Cost:
    """Return the cost of one call, with the smallest processor time seen."""
    await call()
    http = platform.http
    sent, received = http.bytes_sent, http.bytes_received
    times = []
    for _ in range(REPEATS):
        began = process_time()
        for _ in range(calls):
            await call()
        times.append((process_time() - began) / calls * 1e6)
    total = calls * REPEATS
    return Cost(
        min(times),
        (http.bytes_received - received) / total,
        (http.bytes_sent - sent) / total,
    )


def _make_series_pair(
    name: str,
    mechanism: str,
    size_name: str,
    target: float,
    costs: dict[int, Cost],
) -> Iterator[Series]:
    """Yield the series of processor time and of bytes of the same calls."""
    micros = [(size, cost.micros) for size, cost in costs.items()]
    volume = [(size, cost.bytes) for size, cost in costs.items()]
    yield make_series(f"{name}_cpu", mechanism, size_name, "us", target, micros)
    yield make_series(f"{name}_bytes", mechanism, size_name, "B", target, volume)


async def _measure_table(platform: HttpPlatform) -> AsyncIterator[Series]:
    # The rows differ from each other as in a real fleet. Identical rows would
    # compress better, and the byte counts would be too small.
    random = Random(4)
    keys = [
        f"holder/{name}/{name}-{random.randbytes(4).hex()}.1"
        for name in name_daemons(100)
    ]
    for key in keys:
        row = {
            **ROW,
            "counter": random.randrange(1_000_000),
            "data_centre": random.choice(name_data_centres(TARGET.data_centres)),
        }
        await platform.table.transact([Put(key, row, None)])
    reads, writes = {}, {}
    for size in (1, 2, 10, 25, 50, 100):
        reads[size] = await _measure_call(
            platform, lambda size=size: platform.table.read_many(keys[:size])
        )
    for size in (1, 2, 4, 8, 16):
        batch = [Put(key, ROW, None) for key in keys[:size]]
        writes[size] = await _measure_call(
            platform, lambda batch=batch: platform.table.transact(batch)
        )
    module = "platform/http.py"
    for entry in _make_series_pair(
        "table_read", module, "rows of a read", TARGET.daemons, reads
    ):
        yield entry
    for entry in _make_series_pair("table_write", module, "rows of a write", 2, writes):
        yield entry


async def _measure_pools(platform: HttpPlatform) -> AsyncIterator[Series]:
    """Yield the cost of reading all pools, as after each change of members."""
    costs, written = {}, 0
    for size in (30, 60, 120, 239):
        for number in range(written, size):
            first = number * TARGET.workers_per_pool
            members = range(first, first + TARGET.workers_per_pool)
            names = tuple(map(make_worker_id, members))
            pool = PoolState(f"pool-{number:03}", 0, 2, names)
            await platform.table.transact([encode_pool(pool)])
        written = size
        costs[size] = await _measure_call(platform, partial(_read_pools, platform), 10)
    module = "maintenance/service.py _refresh"
    for entry in _make_series_pair("pools_read", module, "pools", TARGET.pools, costs):
        yield entry


async def _read_pools(platform: HttpPlatform) -> list[PoolState]:
    rows = await platform.table.scan(POOL_PREFIX, limit=1000)
    return [decode_pool(row.key.removeprefix(POOL_PREFIX), row) for row in rows]


async def _measure_list(platform: HttpPlatform) -> AsyncIterator[Series]:
    unchanged, changed = {}, {}
    registered = 0
    for size in (350, 700, 1400, 2800):
        for number in range(registered, size):
            await _register_worker(platform, number)
        registered = size
        unchanged[size] = await _measure_call(platform, platform.instances.list, 20)

        async def read_changed() -> None:
            platform.instances._tag = ""
            await platform.instances.list()

        changed[size] = await _measure_call(platform, read_changed, 5)
    module, name = "platform/http.py HttpInstances", "instances listed"
    for entry in _make_series_pair(
        "list_unchanged", module, name, TARGET.instances, unchanged
    ):
        yield entry
    for entry in _make_series_pair(
        "list_changed", module, name, TARGET.instances, changed
    ):
        yield entry


def make_worker_id(number: int) -> str:
    """Return an opaque id like those that a platform assigns."""
    return f"i-{Random(number).randbytes(6).hex()}"


async def _register_worker(platform: HttpPlatform, number: int) -> None:
    random = Random(number)
    centre = random.choice(name_data_centres(TARGET.data_centres))
    host = ".".join(str(part) for part in random.randbytes(3))
    record = {
        "id": make_worker_id(number),
        "kind": "worker",
        "region": centre.partition("-")[0],
        "data_centre": centre,
        "rack": f"{centre}-r{random.randrange(64)}",
        "address": f"10.{host}:8102",
        "pool": f"pool{number // 24:03}",
        "cores": 16.0,
        "memory_mb": 32768,
        "accelerators": random.choice((0, 2, 4)),
    }
    await platform.http.call("POST", "/instances", True, json=record)


async def _measure_workers(platform: HttpPlatform) -> AsyncIterator[Series]:
    reports, renewals = {}, {}
    workers = [make_worker_id(number) for number in range(24)]
    for worker in workers:
        await _start_task(platform, worker, 0)
    for size in (3, 6, 12, 24):
        busy = workers[:size]
        reports[size] = await _measure_call(
            platform, lambda busy=busy: platform.workers.reports(busy)
        )
    for size in (1, 2, 4, 8):
        worker = make_worker_id(24 + size)
        for number in range(size):
            await _start_task(platform, worker, number)

        async def renew_all(worker: str = worker, size: int = size) -> None:
            for number in range(size):
                name = _name_task(worker, number)
                fence = 1 + Random(name).randrange(100_000)
                await platform.workers.renew(worker, name, fence, 600)

        renewals[size] = await _measure_call(platform, renew_all, 20)
    module, pool = "platform/http.py HttpWorkers", TARGET.workers_per_pool
    for entry in _make_series_pair(
        "reports", module, "workers of a pool", pool, reports
    ):
        yield entry
    target = TARGET.tasks_per_worker
    for entry in _make_series_pair(
        "renewals", module, "tasks of a worker", target, renewals
    ):
        yield entry


def _name_task(worker: str, number: int) -> str:
    return f"reconcile-{worker}-{number}:2026-12-04T06:00:00Z"


async def _start_task(platform: HttpPlatform, worker: str, number: int) -> None:
    name = _name_task(worker, number)
    random = Random(name)
    fence = 1 + random.randrange(100_000)
    shape = Shape(round(random.uniform(1, 8), 2), random.randrange(1000, 9000))
    task = TaskStart(
        name, fence, 600, shape, "batch", {"job": "reconcile", "duration_seconds": 600}
    )
    await platform.workers.start(worker, task)


@define
class ExchangeDaemon:
    """A daemon's exchange state, used for both sides of an exchange."""

    handler: HeartbeatHandler
    tracker: FreshnessTracker

    async def answer(self, heartbeat):
        """Answer a heartbeat as the peers service does."""
        self.handler.apply(heartbeat)
        return self.handler.make_reply(heartbeat.sender, False)


def make_exchange_daemon(
    data_centres: int, daemons: int, outage: bool
) -> ExchangeDaemon:
    """Return a daemon that has heard of all others and serves all teams."""
    names = name_data_centres(data_centres)
    tracker = FreshnessTracker(names[0], names, 4.0)
    tracker.set_version(9_000_000)
    failed_age = 0.98 if outage else inf
    stamps = tuple(StampAge(name, 9_000_000, failed_age, 0.98) for name in names)
    now = trio.current_time()
    tracker.record_report(Report(9_000_000, 0.5, stamps), now)
    view = MembershipView(1e9)
    peers = [
        Peer(name, f"{name}-01234567", names[number % data_centres], _address(number))
        for number, name in enumerate(name_daemons(daemons))
    ]
    view.set_candidates(peers)
    for peer in peers:
        view.update_peer(evolve(peer, version=9_000_000))
    registry = DemandRegistry()
    for number in range(TARGET.teams):
        registry.publish(f"team-{number:03}", Demand(3, 17, 2))
    name = "entry-900"
    handler = HeartbeatHandler(
        name, f"{name}-01234567", names[0], view, registry, tracker
    )
    handler.address = "10.9.9.9:8102"
    pools = [f"pool-{number:03}" for number in range(TARGET.pools)]
    teams = [f"team-{number:03}" for number in range(TARGET.teams)]
    handler.names = NameIndex.make(pools, teams)
    for number, team in enumerate(teams):
        pool_team = PoolTeam(pools[number % TARGET.pools], team)
        handler.pool_demand_registry.publish(pool_team, PoolDemand(3, 250))
    return ExchangeDaemon(handler, tracker)


def _address(number: int) -> str:
    return f"10.{number // 256}.{number % 256}.7:8102"


async def _measure_exchange(data_centres: int, daemons: int, outage: bool) -> Cost:
    """Return the cost of one exchange, both sides together."""
    daemon = make_exchange_daemon(data_centres, daemons, outage)
    traffic = Traffic()
    server, client = PeerServer(SECRET, Traffic()), PeerClient(SECRET, traffic)
    server.handle("Exchange", daemon.answer)
    address = f"127.0.0.1:{server.listen('127.0.0.1', 0)}"

    async def exchange() -> None:
        sent_at = trio.current_time()
        reply = await client.call(address, "Exchange", daemon.handler.make(False), 5.0)
        daemon.tracker.record_report(decode_report(reply), sent_at)
        daemon.handler.apply(reply)

    await exchange()
    sent, received = traffic.sent, traffic.received
    micros = await time_async(exchange, CALLS)
    total = CALLS * REPEATS
    client.close()
    await server.close(0.1)
    return Cost(
        micros, (traffic.received - received) / total, (traffic.sent - sent) / total
    )


async def _collect_exchanges() -> list[Series]:
    module = "peers/service.py, heartbeats.py, transport.py"
    steady = {
        size: await _measure_exchange(TARGET.data_centres, size, False)
        for size in (16, 32, 66, 132)
    }
    outage = {
        size: await _measure_exchange(size, TARGET.daemons, True)
        for size in (4, 8, 16, 22)
    }
    return [
        *_make_series_pair("exchange", module, "daemons", TARGET.daemons, steady),
        *_make_series_pair(
            "exchange_outage", module, "data centres", TARGET.data_centres, outage
        ),
    ]


def measure_exchanges() -> list[Series]:
    """Measure exchanges between daemons over gRPC on loopback."""
    return trio.run(_collect_exchanges)
