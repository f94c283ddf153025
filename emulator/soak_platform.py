"""Platform of the soak: own links for each daemon, and faults of the store.

Each daemon reaches the store at an address of its own through a link, and each
executor through a link of this daemon to this executor.
"""

import json
from collections.abc import Callable

import trio
from attrs import define, field
from hypercorn.config import Config as HypercornConfig
from hypercorn.trio import serve
from quart import Response, jsonify, request

from emulator.fleet_executors import ExecutorModel, RecordedRun, SubtaskBehaviour
from emulator.fleet_platform import FleetPlatform
from emulator.link import Link
from emulator.network import Network
from hemlockstand.asgi import shield_sends
from hemlockstand.fleet.model import Resources
from hemlockstand.platform.rows import StoredRow

PLATFORM_PORT = 9000
LINK_PORT = 7000
HOST_NAME = "soak.example"
EXECUTOR_SIZE = Resources(8_000, 16_384)
# By queue: whether its executors guard their room, priority and attempts.
QUEUES = {"quotes": (True, 0, 2), "desk": (False, 1, 3)}
# By tenant: its maximum; 0 means that it has none.
TENANTS = {"hinge": 0, "latch": 8_000}
SETTINGS = """
[daemon]
name = {name}
data_centre = dc1
[listen]
callers = {host}:8100
readiness = {host}:8101
metrics = {host}:8102
[platform]
store = {store}
instances = {store}
advice = {store}
[bounds]
longest_hold_ms = 10000
config_apply_ms = 5000
grace_s = 6
status_s = 3600
stability_ms = 3000
stop_ms = 900
order_turn_ms = 3000
"""


def make_config() -> bytes:
    """Return the operator's configuration."""
    body = {
        "ConfigVersion": 3,
        "Routes": [
            {
                "Name": name,
                "Hostname": HOST_NAME,
                "Prefix": f"/{name}/",
                "Backend": name,
                "Priority": priority,
                "SloMs": 2000,
                "Attempts": attempts,
                "SlackFactor": 3.0,
            }
            for name, (_, priority, attempts) in QUEUES.items()
        ],
        "Services": [
            {"Name": name, "AdmissionCheck": guards}
            for name, (guards, _, _) in QUEUES.items()
        ],
        "Limits": {"MaxBodyBytes": 20_000},
        "Tenants": [
            {
                "Name": name,
                "ApiKeys": [f"key-of-{name}"],
                "Weight": 1,
                "Maximum": {"Cpu": cpu},
            }
            for name, cpu in TENANTS.items()
        ],
    }
    return json.dumps(body).encode()


@define(eq=False)
class Door:
    """How the store treats one daemon.

    While ``closed`` it answers each call with 503. Calls take
    ``delay_seconds`` longer. Of the coming writes, ``lost_answers`` are applied
    but not answered. With ``breaks``, the next write is applied, gets no
    answer and closes the door.
    """

    closed: bool = False
    breaks: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0


@define(eq=False)
class SoakPlatform(FleetPlatform):
    """The platform, whose store serves each daemon at an address of its own.

    ``describe`` and ``report_start`` are those of its executors.
    """

    network: Network = field(kw_only=True)
    daemons: int = field(kw_only=True)
    nursery: trio.Nursery = field(kw_only=True)
    describe: Callable[[str], SubtaskBehaviour] = field(kw_only=True)
    report_start: Callable[[ExecutorModel, RecordedRun], None] = field(kw_only=True)
    doors: list[Door] = field(init=False)
    store_links: list[Link] = field(init=False)
    executor_links: dict[str, list[Link]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.doors = [Door() for _ in range(self.daemons)]
        self.store_links = [
            Link(
                f"d{daemon}>store",
                LINK_PORT,
                self.network.host(3, daemon + 1),
                PLATFORM_PORT,
            )
            for daemon in range(self.daemons)
        ]
        self.store.put("op", "config", make_config())

    def store_address(self, daemon: int) -> str:
        """Return the address of a daemon's link to the store."""
        return f"{self.network.host(2, daemon + 1)}:{LINK_PORT}"

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve the executors and each daemon's store until cancelled."""
        for daemon, link in enumerate(self.store_links):
            await self._listen(link, self.network.host(2, daemon + 1))
        config = HypercornConfig()
        config.bind = [
            self.address,
            *(f"{link.target_host}:{PLATFORM_PORT}" for link in self.store_links),
        ]
        config.accesslog = None
        config.errorlog = None
        await serve(shield_sends(self.make_app()), config, task_status=task_status)

    async def _listen(self, link: Link, host: str) -> None:
        listeners = await trio.open_tcp_listeners(link.port, host=host)
        self.nursery.start_soon(trio.serve_listeners, link.accept, listeners)

    async def open_executor(self, pool: str) -> ExecutorModel:
        """Add an executor with a link from each daemon, and its entry."""
        number = next(self._ids)
        name = f"i-{number}"
        model = ExecutorModel(
            name,
            pool,
            self.describe,
            self.records,
            EXECUTOR_SIZE,
            admission_check=QUEUES[pool][0],
            report_start=self.report_start,
        )
        host, port = self.address.split(":")
        links = [
            Link(f"d{daemon}>{name}", LINK_PORT, host, int(port))
            for daemon in range(self.daemons)
        ]
        for daemon, link in enumerate(links):
            await self._listen(link, self.network.host(10 + daemon, number))
        self.executors[name] = model
        self.executor_links[name] = links
        self.register(model)
        return model

    def register(self, model: ExecutorModel) -> None:
        """Write an executor's entry."""
        self.store.put("servers", model.id, model.entry())

    def set_executor_links(self, executor: str, mode: str) -> None:
        """Change the links of all daemons to an executor."""
        for link in self.executor_links[executor]:
            link.change(mode, 0.0)

    def restore_link(self, link: Link) -> None:
        """End the fault of a link, unless its executor is away."""
        model = self.executors.get(link.name.partition(">")[2])
        if model is None or not model.unresponsive:
            link.change("up", 0.0)

    def _find_daemon(self) -> int:
        """Return the daemon that the present request comes from."""
        return int(request.scope["server"][0].rpartition(".")[2]) - 1

    def _show(self, rows: tuple[StoredRow, ...]) -> Response:
        daemon = self._find_daemon()
        return super()._show(tuple(self._localize(row, daemon) for row in rows))

    def _localize(self, row: StoredRow, daemon: int) -> StoredRow:
        """Replace an executor's address by that of the daemon's link to it."""
        if row.table != "servers" or row.value is None:
            return row
        host = self.network.host(10 + daemon, int(row.key.removeprefix("i-")))
        value = row.value.replace(
            f"{row.key}:1".encode(), f"{host}:{LINK_PORT}".encode()
        )
        return StoredRow(row.table, row.part, row.key, value, row.version)

    async def _enter(self) -> Door:
        door = self.doors[self._find_daemon()]
        await trio.sleep(door.delay_seconds)
        return door

    async def _transact(self) -> Response | tuple[Response, int]:
        door = await self._enter()
        if door.closed:
            return jsonify({}), 503
        answer = await super()._transact()
        if door.breaks:
            door.closed = True
            await trio.sleep_forever()
        if door.lost_answers:
            door.lost_answers -= 1
            await trio.sleep_forever()
        return answer

    async def _get(self) -> Response | tuple[Response, int]:
        door = await self._enter()
        return (jsonify({}), 503) if door.closed else await super()._get()

    async def _feed(self) -> Response | tuple[Response, int]:
        door = await self._enter()
        if door.closed:
            return jsonify({}), 503
        answer = await super()._feed()
        return (jsonify({}), 503) if door.closed else answer
