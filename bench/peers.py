"""Cost of one daemon's exchange, sparse against full mesh, by fleet size.

The measured daemon runs in a separate process, with only the peers service.
The other daemons are stubs in this process, which answer at their own ports
and call the measured daemon as often as real ones would. Message bytes are
those of the daemon's own counter, to which the bound applies. Wire bytes
additionally include HTTP/2 frames, connections and packet headers::

    python -m bench.peers
"""

import json
import os
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random

import trio
from attrs import define, field, frozen
from loguru import logger

from bench.figures import Figure
from bench.spread import SIZES
from hemlockstand.configuration.freshness import FreshnessService
from hemlockstand.coordination.freshness import FreshnessTracker
from hemlockstand.coordination.membership import MembershipView, Peer
from hemlockstand.errors import HemlockstandError
from hemlockstand.kernel import Kernel
from hemlockstand.peers.demands import Demand, DemandRegistry, PoolDemand, PoolTeam
from hemlockstand.peers.heartbeats import HeartbeatHandler
from hemlockstand.peers.names import NameIndex
from hemlockstand.peers.service import PeersService
from hemlockstand.peers.transport import PeerClient, PeerServer, Traffic
from hemlockstand.platform import service as platform_service
from hemlockstand.platform.interface import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
)
from hemlockstand.platform.memory import MemoryTable
from hemlockstand.settings import load_settings

SECRET = "0123456789abcdef"
MEASURED_DAEMON = "entry-000"
TEAMS = 30
POOLS = 5
# The names of the configuration at the two-year size.
POOL_NAMES = tuple(f"pool-{number:03d}" for number in range(239))
TEAM_NAMES = tuple(f"team-{number:03d}" for number in range(570))
CONTACTS_PER_SECOND = 3
WARM_UP_SECONDS = 4.0
WINDOW_SECONDS = 6.0
CALL_TIMEOUT_SECONDS = 2.0
# Offsets in the kernel's struct tcp_info.
TCP_INFO_BYTES = 160
TCP_BYTES_OFFSET = 120
TCP_SEGMENTS_OFFSET = 136
# IPv4 header and TCP header with timestamps.
SEGMENT_HEADER_BYTES = 52
BYTES_BOUND = 7000
CPU_BOUND = 2.7


@frozen
class Cost:
    """Resources that the measured daemon used, per second of the window."""

    message_bytes: float
    wire_bytes: float
    cpu_percent: float


@define
class BenchPlatform:
    """A platform with an instance list and an empty table.

    The services of the group poll no row.
    """

    records: list[InstanceRecord] = field(factory=list)
    table: MemoryTable = field(factory=MemoryTable)

    @property
    def instances(self) -> "BenchPlatform":
        """The instance list."""
        return self

    @instances.setter
    def instances(self, shared: object) -> None:
        """Ignore the wrapper that shares the list between readers.

        There is only one reader here.
        """

    async def list(self) -> list[InstanceRecord]:
        """Return the list."""
        return self.records

    async def close(self) -> None:
        """Close nothing."""


def measure_figures() -> Iterator[Figure]:
    """Yield the figures: sparse, sparse in an outage, and full mesh."""
    for mode in ("sparse", "outage", "mesh"):
        for daemons, data_centres in SIZES:
            cost = trio.run(measure_cost, mode, daemons, data_centres)
            prefix = f"peers_{mode}_{daemons}"
            is_sparse = mode != "mesh"
            yield Figure(
                f"{prefix}_message_bytes",
                cost.message_bytes,
                "bytes/s",
                BYTES_BOUND if is_sparse else None,
            )
            yield Figure(f"{prefix}_wire_bytes", cost.wire_bytes, "bytes/s")
            yield Figure(
                f"{prefix}_cpu",
                cost.cpu_percent,
                "percent",
                CPU_BOUND if is_sparse else None,
            )


async def measure_cost(mode: str, daemons: int, data_centres: int) -> Cost:
    """Run the measured daemon with stubs as its peers and return its cost."""
    names = tuple(f"dc{number:02d}" for number in range(data_centres))
    async with trio.open_nursery() as nursery:
        with tempfile.TemporaryDirectory() as directory:
            fleet = StubPeers(daemons, names, outage=mode == "outage")
            fleet.listen()
            port = reserve_port()
            path = Path(directory)
            write_child_files(path, fleet, names, port)
            command = [sys.executable, "-m", "bench.peers", mode, directory]
            process = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE)
            is_mesh = mode == "mesh"
            calls_per_second = daemons - 1 if is_mesh else CONTACTS_PER_SECOND
            nursery.start_soon(
                fleet.call_forever, f"127.0.0.1:{port}", calls_per_second
            )
            output = bytearray()
            async for chunk in process.stdout:
                output += chunk
            await process.wait()
            nursery.cancel_scope.cancel()
    await fleet.close()
    return Cost(**json.loads(output))


def reserve_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def write_child_files(
    directory: Path, fleet: "StubPeers", data_centres: tuple[str, ...], port: int
) -> None:
    """Write the settings and the instance list of the measured daemon."""
    (directory / "hemlockd.ini").write_text(
        f"[daemon]\nname = {MEASURED_DAEMON}\nregion = central\n"
        f"data_centre = {data_centres[0]}\ndata_centres = {', '.join(data_centres)}\n"
        f"[listen]\npeer_port = {port}\n[platform]\nurl = http://127.0.0.1:9\n"
        f"[peers]\nsecret = {SECRET}\n[operators]\ntoken = {SECRET}\n"
    )
    peers = [[peer.name, peer.data_centre, peer.address] for peer in fleet.peers]
    (directory / "peers.json").write_text(json.dumps(peers))


@define(eq=False)
class StubPeers:
    """Stubs of daemons, each at its own port, which share a list of peers."""

    daemons: int
    data_centres: tuple[str, ...]
    outage: bool
    peers: list[Peer] = field(factory=list)
    _handlers: list[HeartbeatHandler] = field(factory=list)
    _clients: list[PeerClient] = field(factory=list)
    _servers: list[PeerServer] = field(factory=list)
    _random: Random = field(factory=lambda: Random(3))

    def listen(self) -> None:
        """Open all ports."""
        for number in range(1, self.daemons):
            self._add(number)
        for handler in self._handlers:
            measured = Peer(MEASURED_DAEMON, "", self.data_centres[0], "127.0.0.1:1")
            others = (peer for peer in self.peers if peer.name != handler.daemon)
            handler.view.set_candidates([measured, *others])

    def _add(self, number: int) -> None:
        name = f"entry-{number:03d}"
        data_centre = self.data_centres[number % len(self.data_centres)]
        tracker = FreshnessTracker(data_centre, self.data_centres, 4.0)
        tracker.set_version(25_000)
        demand_registry = DemandRegistry()
        publish_team_demands(demand_registry.publish)
        pool_demand_registry = DemandRegistry()
        publish_pool_demands(pool_demand_registry.publish)
        view = MembershipView(5.0, random=self._random)
        handler = HeartbeatHandler(
            name, f"{name}-5f5f5f5f", data_centre, view, demand_registry, tracker
        )
        handler.pool_demand_registry = pool_demand_registry
        handler.names = NameIndex.make(POOL_NAMES, TEAM_NAMES)
        server = PeerServer(SECRET.encode(), Traffic())

        async def answer(heartbeat):
            self._refresh(handler)
            handler.apply(heartbeat)
            return handler.make_reply(heartbeat.sender, False)

        server.handle("Exchange", answer)
        handler.address = f"127.0.0.1:{server.listen('127.0.0.1', 0)}"
        self.peers.append(
            Peer(
                name, handler.incarnation, data_centre, handler.address, version=25_000
            )
        )
        self._handlers.append(handler)
        self._servers.append(server)
        self._clients.append(PeerClient(SECRET.encode(), Traffic()))

    def _refresh(self, handler: HeartbeatHandler) -> None:
        """Update a stub as if it had exchanged heartbeats with others."""
        for peer in self._random.sample(self.peers, min(6, len(self.peers))):
            if peer.name != handler.daemon:
                handler.view.update_peer(peer, self._random.random())
        now = trio.current_time()
        handler.tracker.record_read(now - self._random.random(), 25_000)
        if self.outage:
            for name in self.data_centres:
                handler.tracker._update_contact(name, failed_at=now - 1)

    async def call_forever(self, address: str, calls_per_second: int) -> None:
        """Call the measured daemon from random stubs."""
        async with trio.open_nursery() as nursery:
            while True:
                index = self._random.randrange(len(self._handlers))
                nursery.start_soon(self._call, index, address)
                await trio.sleep(1 / calls_per_second)

    async def _call(self, index: int, address: str) -> None:
        handler, client = self._handlers[index], self._clients[index]
        heartbeat = handler.make(False)
        try:
            await client.call(address, "Exchange", heartbeat, CALL_TIMEOUT_SECONDS)
        except HemlockstandError:
            # The measured daemon starts later and ends earlier than the stubs.
            return

    async def close(self) -> None:
        """Close all ports and channels."""
        for client in self._clients:
            client.close()
        async with trio.open_nursery() as nursery:
            for server in self._servers:
                nursery.start_soon(server.close, 0)


def publish_team_demands(publish) -> None:
    """Publish the demand figures of a busy daemon by team."""
    for number in range(TEAMS):
        publish(f"team-{number:03d}", Demand(3, 12, 0))


def publish_pool_demands(publish) -> None:
    """Publish the demand figures of a busy daemon by pool and team."""
    for number in range(TEAMS):
        pool = POOL_NAMES[number % POOLS * 40]
        team = TEAM_NAMES[number * 19]
        publish(PoolTeam(pool, team), PoolDemand(3, 250))


def run_child(mode: str, directory: Path) -> None:
    """Run the measured daemon and print its cost as JSON."""
    logger.remove()
    records = [
        InstanceRecord(
            name,
            InstanceKind.ENTRY,
            "central",
            data_centre,
            "rack",
            address,
            InstanceState.LIVE,
        )
        for name, data_centre, address in json.loads(
            (directory / "peers.json").read_text()
        )
    ]
    platform_service.HttpPlatform = lambda url, timeout: BenchPlatform(records)
    trio.run(run_measured, mode, directory / "hemlockd.ini")


async def run_measured(mode: str, path: Path) -> None:
    """Run the peers service, warm up, and print the cost of one window."""
    kernel = Kernel(load_settings(path), ("peers",))
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_kernel, kernel, stopped)
        peers = kernel.find("peers", PeersService)
        tracker = kernel.find("freshness", FreshnessService).tracker
        tracker.set_version(25_000)
        publish_team_demands(peers.publish_demand)
        peers.set_names(POOL_NAMES, TEAM_NAMES)
        publish_pool_demands(peers.publish_pool_demand)
        if mode == "mesh":
            peers._choose_targets = lambda: [
                heard.peer for heard in peers.view.list_peers()
            ]
        nursery.start_soon(poll_forever, tracker, mode == "outage")
        await trio.sleep(WARM_UP_SECONDS)
        print(json.dumps(await measure_window(peers.traffic)), flush=True)
        kernel.stopping.set()
        await stopped.wait()
        nursery.cancel_scope.cancel()


async def serve_kernel(
    kernel: Kernel, stopped: trio.Event, task_status: trio.TaskStatus[None]
) -> None:
    """Run a kernel and tell when all its services have stopped.

    The thread of a server that was not shut down would keep the process alive.
    """
    await kernel.serve(task_status)
    stopped.set()


async def poll_forever(tracker: FreshnessTracker, outage: bool) -> None:
    """Record a read or a failure each second, as the configuration would."""
    while True:
        if outage:
            tracker.record_failure()
        else:
            tracker.record_read(trio.current_time(), 25_000)
        await trio.sleep(1)


async def measure_window(traffic: Traffic) -> dict[str, float]:
    """Return the bytes and processor time per second of one window."""
    started = time.monotonic()
    cpu = time.process_time()
    messages = traffic.sent + traffic.received
    wire = count_wire_bytes()
    await trio.sleep(WINDOW_SECONDS)
    seconds = time.monotonic() - started
    after = traffic.sent + traffic.received
    return {
        "message_bytes": (after - messages) / seconds,
        "wire_bytes": (count_wire_bytes() - wire) / seconds,
        "cpu_percent": (time.process_time() - cpu) / seconds * 100,
    }


def count_wire_bytes() -> int:
    """Return the bytes of all open TCP connections, with packet headers."""
    return sum(count_socket_bytes(int(name)) for name in os.listdir("/proc/self/fd"))


def count_socket_bytes(descriptor: int) -> int:
    """Return the bytes that a TCP connection carried; 0 for other files."""
    try:
        copy = socket.socket(fileno=os.dup(descriptor))
    except OSError:
        return 0
    with copy:
        try:
            info = copy.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            return 0
    acked, received = struct.unpack_from("QQ", info, TCP_BYTES_OFFSET)
    segments = sum(struct.unpack_from("II", info, TCP_SEGMENTS_OFFSET))
    return acked + received + segments * SEGMENT_HEADER_BYTES


def main() -> None:
    """Print the figures, or run the measured daemon in a child process."""
    if len(sys.argv) == 3:
        run_child(sys.argv[1], Path(sys.argv[2]))
        return
    for figure in measure_figures():
        print(figure.format_line(), flush=True)


if __name__ == "__main__":
    main()
