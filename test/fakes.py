"""Fake services that the request path depends on, and a fake upstream."""

from collections import Counter
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import httpx
import trio
from attrs import define, field, frozen

from hemlockstand import kernel as kernel_module
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.model import (
    Access,
    Configuration,
    Key,
    Pool,
    PoolKind,
    Priority,
    Queue,
    Team,
)
from hemlockstand.platform.memory import MemoryTable
from hemlockstand.platform.service import PlatformService
from hemlockstand.requests.admission import AdmissionService
from hemlockstand.requests.dispatch import DispatchService
from hemlockstand.requests.keys import hash_key
from hemlockstand.requests.upstreams import UpstreamsService
from hemlockstand.settings import load_settings
from hemlockstand.verdict import NotRun, Reason
from test.helper import (
    FakeConfiguration,
    FakeFreshness,
    ListedInstances,
    make_record,
    write_settings,
)


@frozen(eq=False)
class ReceivedRequest:
    """A request as the upstream received it."""

    path: str
    headers: dict[str, str]
    body: bytes


def make_answer(
    received: ReceivedRequest,
    body: bytes = b"done",
    status: int = 200,
    request_id: str | None = None,
    extra: str = "",
    length: int | None = None,
) -> bytes:
    """Return the bytes of a response.

    ``request_id`` and ``length`` replace the right values in its headers.
    """
    request_id = received.headers["x-request-id"] if request_id is None else request_id
    length = len(body) if length is None else length
    head = (
        f"HTTP/1.1 {status} Status\r\nX-Request-Id: {request_id}\r\n"
        f"Content-Length: {length}\r\n{extra}\r\n"
    )
    return head.encode() + body


@define(eq=False)
class FakeUpstream:
    """An HTTP upstream that sends exactly the bytes that a test returns.

    ``respond`` gets the request and returns the bytes to send. If they end
    with ``CLOSE``, the rest is sent and the connection is closed.
    """

    respond: Callable[[ReceivedRequest], Any]
    received: list[ReceivedRequest] = field(factory=list)
    connections: int = 0
    running: int = 0
    most_running: int = 0
    health_checks: int = 0
    is_leaving: bool = False
    is_closed: bool = False
    address: str = ""

    CLOSE = b"<close>"

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen on a free loopback port until cancelled."""
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            task_status.started()
            nursery.start_soon(trio.serve_listeners, self._handle_connection, listeners)

    async def _handle_connection(self, stream: trio.SocketStream) -> None:
        buffer = bytearray()
        self.connections += 1
        try:
            async with stream:
                while await self._handle_request(stream, buffer):
                    pass
        except trio.BrokenResourceError:
            return

    def _make_health_response(self) -> bytes:
        self.health_checks += 1
        body = b'{"leaving": true}' if self.is_leaving else b"{}"
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    async def _handle_request(
        self, stream: trio.SocketStream, buffer: bytearray
    ) -> bool:
        while b"\r\n\r\n" not in buffer:
            data = await stream.receive_some()
            if not data:
                return False
            buffer += data
        head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:])
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", 0))
        while len(rest) < length:
            data = await stream.receive_some()
            if not data:
                return False
            rest += data
        buffer[:] = rest[length:]
        received = ReceivedRequest(lines[0].split()[1], headers, rest[:length])
        if received.path == "/health":
            await stream.send_all(self._make_health_response())
            return True
        self.received.append(received)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            answer = await self.respond(received)
        finally:
            self.running -= 1
        await stream.send_all(answer.removesuffix(self.CLOSE))
        return not answer.endswith(self.CLOSE)


@define(eq=False)
class FakeSlot:
    """A slot that passes its release on to ``FakeLimits``."""

    limits: "FakeLimits"
    team: str

    def may_send(self, deadline: float | None = None) -> bool:
        self.limits.deadlines.append(deadline)
        return self.limits.lease_is_valid

    def release(self, certain: bool) -> None:
        self.limits.release(self, certain)


@define(eq=False)
class FakeLimits:
    """Limits service that counts the slots of each team in memory."""

    limit: int = 1000
    lease_is_valid: bool = True
    running: Counter = field(factory=Counter)
    most_running: Counter = field(factory=Counter)
    uncertain_releases: int = 0
    deadlines: list = field(factory=list)
    _changed: trio.Event = field(factory=trio.Event)

    def take(self, team: str, deadline: float, keyed: bool) -> FakeSlot | None:
        if self.running[team] >= self.limit:
            return None
        self.running[team] += 1
        self.most_running[team] = max(self.most_running[team], self.running[team])
        return FakeSlot(self, team)

    async def wait_slot(self, team: str, deadline: float, keyed: bool):
        with trio.move_on_at(deadline):
            while (slot := self.take(team, deadline, keyed)) is None:
                await self._changed.wait()
            return slot

    def release(self, slot: FakeSlot, certain: bool) -> None:
        self.running[slot.team] -= 1
        self.uncertain_releases += not certain
        self._changed.set()
        self._changed = trio.Event()


@define(eq=False)
class FakeOrders:
    """Orders service that keeps claims and outcomes in memory."""

    outcomes: dict = field(factory=dict)
    released: list = field(factory=list)
    issued: int = 0

    async def claim(self, team: str, request_id: str, deadline: float):
        await trio.lowlevel.checkpoint()
        if (team, request_id) in self.outcomes:
            return self.outcomes[team, request_id]
        self.outcomes[team, request_id] = NotRun(
            Reason.IN_PROGRESS, "the order is in progress", 1.0
        )
        return (team, request_id)

    async def finish(self, claim, verdict) -> None:
        await trio.lowlevel.checkpoint()
        if isinstance(verdict, NotRun):
            self.released.append(claim)
            del self.outcomes[claim]
        else:
            self.outcomes[claim] = verdict

    def owner_of(self, team: str, request_id: str) -> str | None:
        parts = request_id.split(".")
        return parts[0] if len(parts) == 3 else None

    def issue(self, team: str, count: int) -> list[str]:
        self.issued += count
        return [f"inc.{self.issued - number}.mac" for number in range(count)]

    async def look_up(self, team: str, request_id: str):
        await trio.lowlevel.checkpoint()
        missing = NotRun(Reason.UNKNOWN_REQUEST, "the request is not known", None)
        return self.outcomes.get((team, request_id), missing)


@define(eq=False)
class FakePeers:
    """Peers service whose answers a test sets."""

    incarnation: str = "inc"
    forwarded: list = field(factory=list)
    answer: Any = None
    forward_handler: Any = None
    names: tuple = ()
    published: dict = field(factory=dict)
    heard: dict = field(factory=dict)
    known: list = field(factory=list)
    suspect_notices: list = field(factory=list)
    suspect_notice_handler: Any = None

    async def forward(self, daemon_incarnation, message, timeout_seconds=None):
        await trio.lowlevel.checkpoint()
        self.forwarded.append((daemon_incarnation, message))
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    def handle_forward(self, function) -> None:
        self.forward_handler = function

    def members(self):
        return self.known

    def set_names(self, pools, teams) -> None:
        self.names = (tuple(pools), tuple(teams))

    def publish_pool_demand(self, place, demand) -> None:
        self.published[place] = demand

    def pool_demands(self):
        return self.heard

    def announce_suspect(self, notice) -> None:
        self.suspect_notices.append(notice)

    def handle_suspect_notice(self, function) -> None:
        self.suspect_notice_handler = function


def make_queue(name: str, team: str = "hinge", **changes: Any) -> Queue:
    """Return an open, idempotent, interactive queue of pool ``main``."""
    values = {
        "access": Access.OPEN,
        "idempotent": True,
        "priority": Priority.INTERACTIVE,
        "deadline_seconds": 5.0,
        "pool": "main",
    }
    return Queue(name, team, **{**values, **changes})


def make_configuration(*queues: Queue) -> Configuration:
    """Return a configuration with two teams, two pools and one key."""
    pools = (
        Pool(name, PoolKind.EXECUTORS, ("dc1",), 4, 1) for name in ("main", "spare")
    )
    return Configuration(
        version=1,
        teams={
            "hinge": Team("hinge", "sakda", 1.0, 100),
            "clamp": Team("clamp", "sakda", 1.0, 100),
        },
        pools={pool.name: pool for pool in pools},
        queues={queue.name: queue for queue in queues},
        keys={"k1": Key("k1", "hinge", "salt", hash_key("salt", "secret"))},
    )


@define(eq=False)
class RequestPathHarness:
    """A kernel that runs the request path with fake services around it."""

    kernel: Kernel
    configuration: FakeConfiguration
    freshness: FakeFreshness
    limits: FakeLimits
    orders: FakeOrders
    peers: FakePeers
    instances: ListedInstances
    table: MemoryTable

    @property
    def admission(self) -> AdmissionService:
        return self.kernel.find("admission", AdmissionService)

    @property
    def dispatch(self) -> DispatchService:
        return self.kernel.find("dispatch", DispatchService)

    @property
    def upstreams(self) -> UpstreamsService:
        return self.kernel.find("upstreams", UpstreamsService)

    def make_client(self) -> httpx.AsyncClient:
        """Return a client for the caller port."""
        return httpx.AsyncClient(
            base_url=f"http://127.0.0.1:{self.admission.port}", trust_env=False
        )


def _make_service(service_name: str, fake: Any) -> type[Service]:
    """Return a service class with the public attributes of the fake."""

    class Fake(Service):
        name = service_name

    for attribute in dir(type(fake)):
        if not attribute.startswith("_") and not hasattr(Service, attribute):
            setattr(Fake, attribute, _forward(fake, attribute))
    Fake.__qualname__ = f"Fake{service_name}"
    return Fake


def _forward(fake: Any, attribute: str) -> property:
    return property(lambda service: getattr(fake, attribute))


@asynccontextmanager
async def run_request_path(
    monkeypatch,
    tmp_path,
    configuration: Configuration,
    upstreams: dict[str, list[FakeUpstream]],
    **request_settings: Any,
):
    """Run upstreams, given by pool, and the request path of one daemon.

    Yields the daemon's kernel and the fakes. ``request_settings`` replace
    values of the settings section ``requests``.
    """
    monkeypatch.setattr(kernel_module, "_registry", {})
    for service in (UpstreamsService, DispatchService, AdmissionService):
        register(service)
    fakes = {
        "configuration": FakeConfiguration(configuration),
        "freshness": FakeFreshness(),
        "limits": FakeLimits(),
        "orders": FakeOrders(),
        "peers": FakePeers(),
    }
    for name, fake in fakes.items():
        register(_make_service(name, fake))
    instances = ListedInstances()
    table = MemoryTable()

    @register
    class FakePlatform(PlatformService):
        async def start(self):
            self.platform.instances = instances
            self.platform.table = table

    defaults = load_settings(write_settings(tmp_path))
    settings = attrs.evolve(
        defaults,
        daemon=attrs.evolve(defaults.daemon, balancer_lag_seconds=0.0),
        listen=attrs.evolve(defaults.listen, caller_port=0),
        platform=attrs.evolve(defaults.platform, instance_poll_seconds=0.1),
        requests=attrs.evolve(defaults.requests, **request_settings),
    )
    kernel = Kernel(settings, ("admission",))
    async with trio.open_nursery() as nursery:
        for pool, members in upstreams.items():
            for number, upstream in enumerate(members):
                if not upstream.address:
                    await nursery.start(upstream.serve)
                instances.records.append(
                    make_record(f"{pool}-{number}", upstream.address, pool)
                )
        await nursery.start(kernel.serve)
        harness = RequestPathHarness(kernel, **fakes, instances=instances, table=table)
        await harness.admission.listening.wait()
        try:
            yield harness
        finally:
            nursery.cancel_scope.cancel()
