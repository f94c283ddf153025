"""Stand-in for the platform: table, objects, instances, workers and machines.

It implements the protocol that ``hemlockstand/platform/http.py`` speaks::

    python -m emulator.platform --port 9000 \\
        --data_centre_ports dc1:9001,dc2:9002

A request that arrives on the port of a data centre, or with the header
``X-Data-Centre``, counts as sent from that data centre and gets no answer
while the data centre is cut off.
"""

import gzip
import hashlib
import time

import httpx
import msgspec
import trio
from absl import app, flags
from attrs import define, evolve, field

from emulator.faults import FaultRequest, Faults
from emulator.machines import (
    Instance,
    InstanceMessage,
    InstanceSimulator,
    UnknownInstance,
)
from emulator.recorder import Recorder
from emulator.table import Conflict, RowsRequest, TableState, Transaction
from emulator.tasks import (
    ReportsRequest,
    StaleFence,
    TaskActionMessage,
    TaskProfile,
    TaskStartMessage,
    UnknownTask,
    WorkerSimulator,
)
from emulator.web import (
    BadRequest,
    WebRequest,
    WebResponse,
    refuse,
    reply,
    serve_handler,
)

TICK_SECONDS = 0.05
EXECUTOR_TIMEOUT_SECONDS = 1.0
COMPRESS_FROM_BYTES = 1024
COMPRESS_LEVEL = 1
CONTROL_PATHS = frozenset(("faults", "record", "profiles", "health"))

_transaction_decoder = msgspec.json.Decoder(Transaction)
_rows_decoder = msgspec.json.Decoder(RowsRequest)


@define
class PlatformState:
    """All state of the stand-in, and the handler of its requests."""

    data_centre_by_port: dict[int, str] = field(factory=dict)
    recorder: Recorder = field(factory=Recorder)
    faults: Faults = field(factory=Faults)
    table: TableState = field(init=False)
    workers: WorkerSimulator = field(init=False)
    machines: InstanceSimulator = field(init=False)
    _client: httpx.AsyncClient | None = None

    def __attrs_post_init__(self) -> None:
        self.table = TableState(self.recorder)
        self.workers = WorkerSimulator(self.recorder, self.faults, time.monotonic)
        self.machines = InstanceSimulator(self.recorder, self.faults, time.monotonic)

    async def handle(self, request: WebRequest) -> WebResponse | None:
        """Answer one request; ``None`` means that it gets no answer."""
        response = await self._handle(request)
        return None if response is None else _compress(request, response)

    async def _handle(self, request: WebRequest) -> WebResponse | None:
        parts = request.path.split("/")[1:]
        if parts[0] in CONTROL_PATHS:
            return self._handle_control(parts, request)
        if self.faults.cut_data_centres and self._is_cut(request):
            self.recorder.count("cut_requests")
            return None
        try:
            if parts[0] in ("table", "objects"):
                return await self._handle_storage(parts, request)
            return await self._handle_instances(parts, request)
        except msgspec.MsgspecError as error:
            return refuse(400, f"{request.method} {request.path}: {error}")
        except Conflict as conflict:
            return refuse(409, "rows changed", conflicts=conflict.keys)
        except StaleFence as error:
            return refuse(412, str(error))
        except (UnknownTask, UnknownInstance) as error:
            return refuse(404, str(error))

    async def run_clock(self) -> None:
        """End tasks, drains and reboots when they are due, until cancelled."""
        async with httpx.AsyncClient(
            timeout=EXECUTOR_TIMEOUT_SECONDS, trust_env=False
        ) as client:
            self._client = client
            while True:
                await trio.sleep(TICK_SECONDS)
                self.workers.advance()
                for instance in list(self.machines.finish_reboots()):
                    await self._set_executor_behaviour(instance, {"leaving": False})
                await self._finish_drains()

    def _find_data_centre(self, request: WebRequest) -> str:
        named = request.header("x-data-centre")
        return named or self.data_centre_by_port.get(request.port, "")

    def _is_cut(self, request: WebRequest) -> bool:
        return self._find_data_centre(request) in self.faults.cut_data_centres

    def _handle_control(self, parts: list[str], request: WebRequest) -> WebResponse:
        match request.method, parts:
            case "POST", ["faults"]:
                self.faults.update(request.json(FaultRequest))
                self.recorder.record_event("fault", request=request.json())
                return reply({})
            case "POST", ["profiles"]:
                self.workers.profiles.update(request.json(dict[str, TaskProfile]))
                return reply({})
            case "GET", ["record"]:
                return reply(self.recorder.show(_read_number(request, "since", 0)))
            case "GET", ["health"]:
                return reply({"healthy": True})
        return _refuse_unknown(request)

    async def _handle_storage(
        self, parts: list[str], request: WebRequest
    ) -> WebResponse:
        if self.faults.table.mode == "up" or not self.faults.draw_table_fault():
            return self._access_store(parts, request)
        fault = self.faults.table
        self.recorder.count(f"fault:{fault.mode}")
        if fault.mode == "down":
            await trio.sleep(fault.delay_seconds)
            return refuse(503, "table is down")
        if fault.mode == "slow":
            await trio.sleep(fault.delay_seconds)
            return self._access_store(parts, request)
        response = self._access_store(parts, request)
        if parts[-1] != "transact" and request.method != "PUT":
            return response
        await trio.sleep(fault.delay_seconds)
        return refuse(504, "reply lost")

    def _access_store(self, parts: list[str], request: WebRequest) -> WebResponse:
        match request.method, parts:
            case "POST", ["table", "rows"]:
                keys = _rows_decoder.decode(request.body).keys
                return WebResponse(body=self.table.read_rows(keys))
            case "POST", ["table", "transact"]:
                operations = _transaction_decoder.decode(request.body).operations
                return reply({"versions": self.table.transact(operations)})
            case "GET", ["table", "scan"]:
                query = request.query()
                limit = _read_number(request, "limit", 500)
                rows = self.table.scan(
                    query.get("prefix", ""), query.get("after", ""), limit
                )
                return WebResponse(body=rows)
            case "GET", ["table", "history"]:
                prefix = request.query().get("prefix", "")
                return reply({"history": self.table.show_history(prefix)})
            case "PUT", ["objects", *name]:
                self.recorder.count("object_writes")
                self.table.objects["/".join(name)] = request.body
                return reply({})
            case "GET", ["objects", *name]:
                return self._get_object("/".join(name))
        return _refuse_unknown(request)

    def _get_object(self, name: str) -> WebResponse:
        self.recorder.count("object_reads")
        data = self.table.objects.get(name)
        if data is None:
            return refuse(404, f"object {name!r} does not exist")
        return WebResponse(body=data, content_type=b"application/octet-stream")

    async def _handle_instances(
        self, parts: list[str], request: WebRequest
    ) -> WebResponse:
        if self.faults.table.scope == "all" and self.faults.draw_table_fault():
            await trio.sleep(self.faults.table.delay_seconds)
            if self.faults.table.mode == "down":
                return refuse(503, "platform is down")
        self.recorder.count(f"calls:{parts[0]}")
        match request.method, parts:
            case "GET", ["instances"]:
                data_centre = self._find_data_centre(request)
                found = self.machines.list_instances(data_centre)
                return _reply_unless_unchanged(request, reply({"instances": found}))
            case "POST", ["instances"]:
                return self._register(request.json(InstanceMessage))
            case "GET", ["instances", name]:
                return reply(self.machines.show_health(name))
            case "DELETE", ["instances", name]:
                self.machines.remove(name)
                return reply({})
            case "POST", ["instances", name, verb]:
                return await self._change_machine(name, verb, request)
            case _, ["workers", *rest]:
                return self._handle_workers(rest, request)
        return _refuse_unknown(request)

    def _register(self, message: InstanceMessage) -> WebResponse:
        self.machines.register(message)
        if message.kind == "worker":
            self.workers.add(message.id)
        return reply({})

    def _handle_workers(self, parts: list[str], request: WebRequest) -> WebResponse:
        self.workers.advance()
        match request.method, parts:
            case "GET", []:
                reports = [self.workers.report(name) for name in self.workers.workers]
                return reply({"workers": reports})
            case "GET", [name]:
                return reply(self.workers.report(name))
            case "POST", ["reports"]:
                wanted = request.json(ReportsRequest).workers
                known = [name for name in wanted if name in self.workers.workers]
                reports = [self.workers.report(name) for name in known]
                return reply({"workers": reports})
            case "POST", [name, "start"]:
                instance = self.machines.find(name)
                if instance.phase != "serving":
                    return refuse(503, f"worker {name!r} is {instance.phase}")
                self.workers.start(name, request.json(TaskStartMessage))
                return reply({})
            case "POST", [name, "renew" | "checkpoint" | "throttle" | "stop" as verb]:
                self.workers.apply_action(name, verb, request.json(TaskActionMessage))
                return reply({})
        return _refuse_unknown(request)

    async def _change_machine(
        self, name: str, verb: str, request: WebRequest
    ) -> WebResponse:
        match verb:
            case "drain":
                instance = self.machines.drain(name)
                await self._set_executor_behaviour(instance, {"leaving": True})
            case "undrain":
                instance = self.machines.undrain(name)
                if instance.phase == "serving":
                    await self._set_executor_behaviour(instance, {"leaving": False})
            case "reboot":
                instance = self.machines.reboot(name)
                self.workers.kill_tasks(name, "rebooted")
                seconds = self.faults.reboot_seconds
                await self._set_executor_behaviour(
                    instance, {"reboot_seconds": seconds}
                )
            case _:
                return _refuse_unknown(request)
        return reply({})

    async def _set_executor_behaviour(
        self, instance: Instance, behaviour: dict
    ) -> None:
        """Set the behaviour of an executor stand-in, which may have ended."""
        message = instance.message
        if message.kind != "executor" or self._client is None:
            return
        try:
            url = f"http://{message.address}/behaviour"
            await self._client.post(url, json=behaviour)
        except httpx.HTTPError as error:
            self.recorder.record_event(
                "executor_unreachable", instance=message.id, error=repr(error)
            )

    async def _finish_drains(self) -> None:
        draining = [
            instance
            for instance in self.machines.instances.values()
            if instance.phase == "draining"
        ]
        for instance in draining:
            if await self._count_work(instance) == 0:
                self.machines.finish_drain(instance.message.id)

    async def _count_work(self, instance: Instance) -> int:
        message = instance.message
        if message.kind == "worker":
            return self.workers.count_active(message.id)
        if message.kind != "executor" or self._client is None:
            return 0
        try:
            health = await self._client.get(f"http://{message.address}/health")
            return health.json()["running"]
        except (httpx.HTTPError, ValueError):
            return 0


def _read_number(request: WebRequest, name: str, default: int) -> int:
    text = request.query().get(name, str(default))
    if not text.isdecimal():
        raise BadRequest(f"{request.path}: {name}={text!r} must be a whole number")
    return int(text)


def _reply_unless_unchanged(request: WebRequest, response: WebResponse) -> WebResponse:
    """Add an entity tag, and answer 304 if the client sent the same one."""
    tag = f'"{hashlib.blake2b(response.body, digest_size=8).hexdigest()}"'
    headers = ((b"etag", tag.encode()),)
    if request.header("if-none-match") == tag:
        return WebResponse(304, b"", headers)
    return evolve(response, headers=headers)


def _compress(request: WebRequest, response: WebResponse) -> WebResponse:
    """Compress a long body with gzip if the client accepts it."""
    if len(response.body) < COMPRESS_FROM_BYTES:
        return response
    if "gzip" not in request.header("accept-encoding"):
        return response
    headers = (*response.headers, (b"content-encoding", b"gzip"))
    body = gzip.compress(response.body, COMPRESS_LEVEL, mtime=0)
    return evolve(response, body=body, headers=headers)


def _refuse_unknown(request: WebRequest) -> WebResponse:
    return refuse(400, f"unknown call {request.method} {request.path}")


def parse_ports(entries: list[str]) -> dict[int, str]:
    """Return the data centre of each port from ``DATA_CENTRE:PORT`` entries.

    Raises ``ValueError``.
    """
    pairs = (entry.rpartition(":") for entry in entries)
    return {int(port): data_centre for data_centre, _, port in pairs}


async def run_platform(host: str, port: int, ports: dict[int, str]) -> None:
    """Serve until the process ends; ``ports`` maps ports to data centres."""
    state = PlatformState(ports)
    addresses = [f"{host}:{number}" for number in (port, *ports)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(state.run_clock)
        nursery.start_soon(serve_handler, state.handle, addresses)


def main(arguments: list[str]) -> None:
    """Run the stand-in with the flags from the command line."""
    del arguments
    values = flags.FLAGS
    ports = parse_ports(values.data_centre_ports)
    trio.run(run_platform, values.host, values.port, ports)


if __name__ == "__main__":
    flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
    flags.DEFINE_integer("port", 9000, "Port for all data centres.")
    flags.DEFINE_list("data_centre_ports", [], "DATA_CENTRE:PORT, separated by commas.")
    app.run(main)
