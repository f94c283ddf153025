"""Stand-ins of the platform for the scripts of the review.

The row store, the executors and the machine list follow ``PROTOCOL.md``. The
daemons are real processes, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 12_000, 28_000  # of the daemons
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
ROW_BYTES = 65_536
PAGE_ROWS = 500
LISTED_ENDS = 500
TXN_SECONDS = 0.004
HEARTBEAT_SECONDS = 1.5
SILENT_SECONDS = 3 * HEARTBEAT_SECONDS
HOLD_MAX_MS = 10_000
STOP_SECONDS = 0.4
STARTUP_SECONDS = 0.5
LAST_WAIT_MS = 2_000
# The rule says 3 s; beyond it, one change of the scheduler is allowed for.
LOST_SECONDS = 7.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

# Values of the settings of a small deployment, for ``deploy/settings.ini``.
BOUNDS = {
    "Bounds.HoldMaxMs": HOLD_MAX_MS,
    "Bounds.ConfigApplyMs": 2_000,
    "Bounds.GraceS": 6,
    "Bounds.status_s": 120,
    "Bounds.StabilityMs": 3_000,
    "Bounds.StopMs": 400,
    "Bounds.LeaseMs": 3_000,
    "Limits.CpuShare": 0.537,
    "Limits.Cores": 2,
}


class NotRun(Exception):
    """The case could not be run, for a reason that is not under test."""


@dataclass
class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    path: Path
    began_at: float = field(default_factory=time.monotonic)
    _lines: list[str] = field(default_factory=list)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def add(self, text: str, show: bool = False) -> None:
        """Add a line with its time."""
        line = f"{self.now():9.3f}  {text}"
        self._lines.append(line)
        if show:
            print(line, flush=True)

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self._lines) + "\n")


# ---- HTTP ----

Answer = tuple[int, bytes]
Handle = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer | None]]


@dataclass
class Server:
    """An HTTP/1.1 server; a handler that returns None leaves a call unanswered."""

    handle: Handle
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set = field(default_factory=set)

    @property
    def address(self) -> str:
        """Address as IP:PORT."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen; the port stays the same over restarts."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections, like a killed process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *rest = head.decode().split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for line in rest:
                    name, _, text = line.partition(":")
                    headers[name.strip().lower()] = text.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 3.0,
) -> Answer | None:
    """Make a call on a new connection; return None without an answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {text}" for name, text in headers.items()]
                lines += [f"Content-Length: {len(body)}", "", ""]
                writer.write("\r\n".join(lines).encode() + body)
                await writer.drain()
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                status = int(head.split(" ")[1])
                length = 0
                for line in head.split("\r\n"):
                    if line.startswith("content-length:"):
                        length = int(line.partition(":")[2])
                return status, await reader.readexactly(length)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


def encode(body: object) -> bytes:
    """Return a body as JSON."""
    return json.dumps(body).encode()


# ---- the platform's store ----


@dataclass
class Door:
    """How the store treats one daemon, which has an address of its own for it."""

    busy: bool = False


@dataclass
class Store:
    """The platform's store of rows; ``busy`` answers every daemon with 503."""

    record: Record
    busy: bool = False
    refused: int = 0
    version: int = 0
    rows: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)
    servers: list = field(default_factory=list)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _parts: dict = field(default_factory=dict)

    async def open(self) -> tuple[Door, str]:
        """Return a door for a daemon, with its address."""
        door = Door()

        async def handle(method, target, headers, body):
            return await self._handle(door, target, body)

        server = Server(handle)
        await server.start()
        self.servers.append(server)
        return door, server.address

    def put(self, table: str, key: str, body: object) -> None:
        """Write a row as the operator or an executor."""
        self.put_bytes(table, key, encode(body))

    def put_bytes(self, table: str, key: str, content: bytes) -> None:
        """Write a row with any content, as another writer."""
        self.version += 1
        self._change(table, "", key, base64.b64encode(content).decode())
        self._wake()

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        if (table, "", key) in self.rows:
            self.version += 1
            self._change(table, "", key, None)
            self._wake()

    def read(self, table: str, key: str, part: str = "") -> object | None:
        """Return the content of a row."""
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def _change(self, table, part, key, value) -> None:
        name = table, part, key
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = value, self.version
        self.changes.append((self.version, name, value))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, door: Door, target: str, body: bytes) -> Answer:
        if self.busy or door.busy:
            return 503, b"{}"
        url = urlsplit(target)
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        match url.path:
            case "/rows-get":
                return self._get(query)
            case "/rows-feed":
                return await self._feed(door, query)
            case "/rows-tx":
                return await self._transact(door, body)
        return 404, b"{}"

    def _answer(self, status: int, **fields) -> Answer:
        now_ms = int(time.monotonic() * 1000)
        return status, encode({"RowVersion": self.version, "NowMs": now_ms, **fields})

    def _get(self, query) -> Answer:
        table, part = query["Table"], query.get("part", "")
        start, end = query.get("StartKey", ""), query.get("To")
        limit = min(int(query.get("Limit", PAGE_ROWS)), PAGE_ROWS)
        names = sorted(
            name
            for name in self.rows
            if name[0] == table
            and name[1] == part
            and name[2] >= start
            and (end is None or name[2] < end)
        )
        rows = [self._row(name) for name in names[:limit]]
        return self._answer(200, rows=rows, HasMore=len(names) > limit)

    def _row(self, name) -> dict:
        value, version = self.rows[name]
        table, part, key = name
        return {
            "Table": table,
            "part": part,
            "Key": key,
            "Value": value,
            "RowVersion": version,
        }

    async def _feed(self, door: Door, query) -> Answer:
        table, after = query["Table"], int(query["After"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            changed = self._changed
            found = {}
            for version, name, value in reversed(self.changes):
                if version <= after:
                    break
                if name[0] == table and name not in found:
                    found[name] = version, value
            left = until - time.monotonic()
            if found or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)
            if self.busy or door.busy:
                return 503, b"{}"
        rows = []
        for name, (version, value) in sorted(found.items(), key=lambda item: item[1]):
            row = {"Table": name[0], "part": name[1], "Key": name[2]}
            row["RowVersion"] = version
            row.update({"Deleted": True} if value is None else {"Value": value})
            rows.append(row)
        return self._answer(200, rows=rows)

    async def _transact(self, door: Door, body: bytes) -> Answer:
        call_ = json.loads(body)
        expected = call_.get("ExpectedRev") or []
        writes, removed = call_.get("Write") or [], call_.get("Remove") or []
        entries = [*expected, *writes, *removed]
        parts = {entry.get("part", "") for entry in entries}
        if len(body) > MAX_CALL_BYTES or len(entries) > MAX_ENTRIES or len(parts) > 1:
            return self._refuse(f"{len(body)} bytes, {len(entries)} entries")
        for entry in writes:
            size = len(base64.b64decode(entry["Value"]))
            if size > ROW_BYTES:
                name = f"{entry['Table']}/{entry['Key']}"
                return self._refuse(f"row {name} has {size} bytes")
        if any(entry["Table"] in ("op", "servers") for entry in [*writes, *removed]):
            return 403, b"{}"
        lock = self._parts.setdefault(next(iter(parts), ""), asyncio.Lock())
        async with lock:
            await asyncio.sleep(TXN_SECONDS)
            if self.busy or door.busy:
                return 503, b"{}"
            names = [
                (row["Table"], row.get("part", ""), row["Key"]) for row in expected
            ]
            for row, name in zip(expected, names, strict=True):
                if self.rows.get(name, ("", 0))[1] != row["RowVersion"]:
                    rows = [self._row(name) for name in names if name in self.rows]
                    return self._answer(412, rows=rows)
            self.version += 1
            for row in writes:
                name = row["Table"], row.get("part", ""), row["Key"]
                self._change(*name, row["Value"])
            for row in removed:
                self._change(row["Table"], row.get("part", ""), row["Key"], None)
            self._wake()
            return self._answer(200)

    def _refuse(self, detail: str) -> Answer:
        """Refuse a call that is larger than the pages allow."""
        self.refused += 1
        if self.refused <= 5 or self.refused % 50 == 0:
            self.record.add(f"store refuses a write, {self.refused} so far: {detail}")
        return 400, encode({"Error": detail})


# ---- executors ----


@dataclass
class Run:
    """A run that an executor has begun; times are on the script's clock."""

    subtask: str
    number: int
    executor: str
    began_at: float
    ends_at: float
    ended_at: float | None = None
    how: str = ""
    noted_at: float | None = None
    lapsed: bool = False  # the lease expired before the end was acknowledged


@dataclass
class Executor:
    """An executor, over its lifetimes.

    ``seconds`` returns how long a subtask of a given ``TaskSpec`` works, None for
    one that lasts. While it is ``cut``, no call reaches it.
    """

    id: str
    pool: str
    store: Store
    record: Record
    runs: list[Run]
    seconds: Callable[[str, str], float | None]
    cpu: int = 16_000
    memory_mb: int = 32_768
    zone: str = "z1"
    rack: str = "r1"
    cut: bool = False
    up: bool = False
    born_ms: int = 0
    began_at: float = 0.0
    fence: int = 0
    due_ms: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    sizes: dict[str, tuple[int, int]] = field(default_factory=dict)
    ends: list = field(default_factory=list)
    ended: int = 0
    refused_up_to: dict[str, int] = field(default_factory=dict)
    sequence: int = 0
    crashed_at: float = 0.0
    server: Server = field(init=False)
    _ended: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: set = field(default_factory=set)

    def __post_init__(self) -> None:
        self.server = Server(self._handle)

    def clock_ms(self) -> int:
        """Return the executor's clock, which starts with its lifetime."""
        return int((time.monotonic() - self.began_at) * 1000)

    async def start(self) -> None:
        """Begin a lifetime."""
        self.born_ms = int(time.time() * 1000)
        self.began_at = time.monotonic()
        self.fence = self.due_ms = self.ended = self.sequence = 0
        self.running.clear()
        self.ends.clear()
        self.refused_up_to.clear()
        await self.server.start()
        self.up = True
        self._spawn(self._beat())
        self._spawn(self._expire())

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def crash(self, down_seconds: float) -> None:
        """Crash now; the same id is back after some seconds."""
        self.record.add(f"executor {self.id} crashes with {len(self.running)} runs")
        await self.stop()
        self.crashed_at = time.monotonic()
        asyncio.get_running_loop().create_task(self._return(down_seconds))

    async def stop(self) -> None:
        """End the process."""
        self.up = False
        for task in list(self._tasks):
            task.cancel()
        await self.server.stop()
        for run in self.running.values():
            run.ended_at, run.how = self.record.now(), "crashed"
        self.running.clear()

    async def _return(self, seconds: float) -> None:
        await asyncio.sleep(min(seconds, SILENT_SECONDS))
        if seconds > SILENT_SECONDS:
            self.store.drop("servers", self.id)
            await asyncio.sleep(seconds - SILENT_SECONDS)
        await self.start()
        self.record.add(f"executor {self.id} is back")

    async def _beat(self) -> None:
        while True:
            self.sequence += 1
            body = {
                "Backend": self.pool,
                "Address": self.server.address,
                "Zone": self.zone,
                "ConfigVersion": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": self.cpu, "MemMb": self.memory_mb, "Gpu": 0},
                "Labels": ["a", self.rack],
                "ClockMs": self.clock_ms(),
                "Sequence": self.sequence,
                "born": self.born_ms,
            }
            if not self.store.busy:
                self.store.put("servers", self.id, body)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _expire(self) -> None:
        while True:
            if self.clock_ms() >= self.due_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
                for _, run in self.ends:
                    run.lapsed = True
            await asyncio.sleep(0.01)

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.subtask) is not run:
            return
        del self.running[run.subtask]
        run.ended_at, run.how = self.record.now(), how
        self.ended += 1
        self.ends.append((self.ended, run))
        known = self.refused_up_to.get(run.subtask, 0)
        self.refused_up_to[run.subtask] = max(known, run.number)
        self.record.add(f"run {run.subtask} #{run.number} ends {how} on {self.id}")
        self._ended.set()
        self._ended = asyncio.Event()

    async def _work(self, run: Run, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self._end(run, "done")

    async def _handle(self, method, target, headers, body) -> Answer | None:
        if self.cut:
            return None
        answer = await self._answer_call(target, headers, body)
        return None if self.cut else answer

    async def _answer_call(self, target, headers, body) -> Answer:
        if target == "/health":
            return 200, b"{}"
        if headers.get("expected-instance", self.id) != self.id:
            return 421, encode({"ClockMs": self.clock_ms()})
        fields = json.loads(body)
        fence = int(fields.get("FencingToken") or 0)
        if fence < self.fence:
            return self._refuse("fence")
        self.fence = fence
        match target:
            case "/run-start":
                return self._start(fields)
            case "/run-stop":
                return self._stop(fields)
            case "/hold":
                return await self._hold(fields)
            case "/pace":
                return self._answer(200)
        return 404, b"{}"

    def _answer(self, status: int, **fields) -> Answer:
        return status, encode({"ClockMs": self.clock_ms(), **fields})

    def _refuse(self, reason: str) -> Answer:
        return self._answer(409, Reason=reason)

    def _extend(self, due_ms: int | None) -> None:
        if due_ms is not None:
            longest = self.clock_ms() + HOLD_MAX_MS
            self.due_ms = max(self.due_ms, min(int(due_ms), longest))

    def _start(self, fields) -> Answer:
        name, number = fields["Task"], int(fields["Run"])
        self._extend(fields["DueMs"])
        known = self.running.get(name)
        if known is not None and known.number == number:
            return self._answer(200)
        if known is not None or number <= self.refused_up_to.get(name, 0):
            return self._refuse("old")
        if int(fields["DueMs"]) <= self.clock_ms():
            return self._refuse("late")
        cpu, memory_mb = json.loads(fields["TaskSpec"]).get("size", (1_000, 1_000))
        used = [self.sizes.get(other, (0, 0)) for other in self.running]
        if sum(size[0] for size in used) + cpu > self.cpu:
            return self._refuse("room")
        if sum(size[1] for size in used) + memory_mb > self.memory_mb:
            return self._refuse("room")
        now = self.record.now()
        seconds = self.seconds(name, fields["TaskSpec"])
        run = Run(name, number, self.id, now, now + (seconds or 1e9))
        self.sizes[name] = cpu, memory_mb
        self.runs.append(run)
        self.running[name] = run
        self.record.add(f"run {name} #{number} starts on {self.id}")
        if seconds is not None:
            self._spawn(self._work(run, seconds))
        return self._answer(200)

    def _stop(self, fields) -> Answer:
        name, number = fields["Task"], int(fields["Run"])
        run = self.running.get(name)
        if run is not None and run.number == number:
            self.record.add(f"run {name} #{number} is told to stop on {self.id}")
            self._spawn(self._stop_later(run))
        else:
            known = self.refused_up_to.get(name, 0)
            self.refused_up_to[name] = max(known, number)
        return self._answer(200)

    async def _stop_later(self, run: Run) -> None:
        await asyncio.sleep(STOP_SECONDS / 2)
        self._end(run, "stopped")

    async def _hold(self, fields) -> Answer:
        self._extend(fields.get("DueMs"))
        acked = int(fields.get("Acked") or 0)
        for number, run in self.ends:
            if number <= acked and not run.lapsed:
                run.noted_at = self.record.now()
        self.ends = [end for end in self.ends if end[0] > acked]
        wait_ms = min(int(fields.get("WaitMs") or 0), LAST_WAIT_MS)
        if wait_ms and not self.ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_ms / 1000)
        return self._answer(
            200,
            born=self.born_ms,
            Running=[self._list(run) for run in self.running.values()],
            Finished=[
                [number, run.subtask, run.number, run.how, ""]
                for number, run in self.ends[:LISTED_ENDS]
            ],
        )

    def _list(self, run: Run) -> list:
        age = self.record.now() - run.began_at
        if run.ends_at > 1e8:
            percent = 100 if age >= STARTUP_SECONDS else 50
        else:
            percent = min(99, int(100 * age / (run.ends_at - run.began_at)))
        return [run.subtask, run.number, "", percent, 0]


# ---- the deployment ----


@dataclass
class Daemon:
    """A daemon process of the system."""

    name: str
    zone: str
    callers: str
    readiness: str
    command: list[str]
    settings: Path
    log: Path
    door: Door
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process as the deploy file says."""
        keep = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        keep["PYTHONPATH"] = str(ROOT / "target" / "deps")
        keep["HEMLOCKSTAND_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=keep, stdout=log, stderr=log
            )

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process and wait for it."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def find_free_port(taken: set[int]) -> int:
    """Return a port that is free now, and add it to those that are taken.

    It is below the ports that the system gives to connections by itself, which
    could take it before the daemon listens.
    """
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in taken:
            continue
        taken.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


def fill_template(values: dict[str, object]) -> str:
    """Return the settings file of a daemon, from the project's template."""
    text = (ROOT / "deploy" / "settings.ini").read_text()
    for name, value in values.items():
        text = text.replace("{{" + name + "}}", str(value))
    if "{{" in text:
        raise NotRun("the template of the settings has other fields: " + text)
    return text


@dataclass
class Deployment:
    """The daemons, the store and the executors of a case."""

    record: Record
    host: str = "desk.example"
    runs: list[Run] = field(default_factory=list)
    executors: dict[str, Executor] = field(default_factory=dict)
    daemons: list[Daemon] = field(default_factory=list)
    accepted_at: dict[str, float] = field(default_factory=dict)
    _ports: set[int] = field(default_factory=set)
    seconds: Callable[[str, str], float | None] = lambda name, spec: read_seconds(spec)
    store: Store = field(init=False)
    _machines: Server = field(init=False)
    _folder: tempfile.TemporaryDirectory = field(init=False)

    def __post_init__(self) -> None:
        self.store = Store(self.record)
        self._machines = Server(self._list_machines)
        self._folder = tempfile.TemporaryDirectory()

    def put_config(self, version: int, queues: dict[str, str], tenants: dict[str, int]):
        """Write a config; ``queues`` holds pools, ``tenants`` the maximum cpu."""
        pools = sorted({executor.pool for executor in self.executors.values()})
        routes = [
            {
                "Name": queue,
                "Hostname": self.host,
                "Prefix": f"/{queue}/",
                "RouteType": "non_idempotent",
                "TimeoutMs": 3000,
                "SloMs": 600,
                "Priority": 0,
                "Backend": pool,
                "Attempts": 2,
                "SlackFactor": 1.6,
                "Public": False,
            }
            for queue, pool in queues.items()
        ]
        body = {
            "ConfigVersion": version,
            "Routes": routes,
            "Services": [{"Name": pool, "AdmissionCheck": True} for pool in pools],
            "Limits": {"MaxBodyBytes": 262_144},
            "Tenants": [
                {
                    "Name": tenant,
                    "ApiKeys": [f"key-{tenant}"],
                    "Weight": 1,
                    "Maximum": {"Cpu": cpu},
                }
                for tenant, cpu in tenants.items()
            ],
        }
        self.store.put("op", "config", body)
        self.record.add(f"config {version}: {queues}, tenants {tenants}", show=True)

    def add_executor(self, name: str, pool: str, **fields) -> Executor:
        """Add an executor, which is started with the deployment."""
        executor = Executor(
            name, pool, self.store, self.record, self.runs, self.seconds, **fields
        )
        self.executors[name] = executor
        return executor

    async def start(self, daemons: int = 3) -> None:
        """Start everything, and wait until the daemons are ready and one leads."""
        await self._machines.start()
        for executor in self.executors.values():
            await executor.start()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        for number in range(daemons):
            await self._add_daemon(f"edge-{number + 1}", f"z{number + 1}", command)
        for daemon in self.daemons:
            daemon.start()
        await self.wait(self._is_up, 20, "the daemons do not become ready")

    async def _add_daemon(self, name: str, zone: str, command: list[str]) -> None:
        door, store = await self.store.open()
        ports = [find_free_port(self._ports) for _ in range(3)]
        values = {
            **BOUNDS,
            "NodeName": name,
            "Zone": zone,
            "Ip": HOST,
            "InternalPorts.0": ports[2],
            "ListenAddrs.Frontend": f"{HOST}:{ports[0]}",
            "ListenAddrs.Readiness": f"{HOST}:{ports[1]}",
            "platform.Address": store,
            "CloudApi.Address": self._machines.address,
            "Advice": "",
        }
        folder = Path(self._folder.name)
        settings = folder / f"{name}.ini"
        settings.write_text(fill_template(values))
        place = "/etc/hemlockstand/node.yaml"
        words = [str(settings) if word == place else word for word in command]
        self.daemons.append(
            Daemon(
                name,
                zone,
                f"{HOST}:{ports[0]}",
                f"{HOST}:{ports[1]}",
                words,
                settings,
                folder / f"{name}.log",
                door,
            )
        )

    async def _is_up(self) -> bool:
        for daemon in self.daemons:
            answer = await call(daemon.readiness, "GET", "/ready", {"Host": "x"})
            if answer is None or answer[0] != 200:
                return False
        return self.find_leader() is not None

    def find_leader(self) -> Daemon | None:
        """Return the daemon that holds the scheduler's lease, as stored."""
        lease = self.store.read("scheduler", "lease") or {}
        for daemon in self.daemons:
            if daemon.name == lease.get("holder"):
                return daemon
        return None

    async def wait(self, is_met, seconds: float, failure: str) -> None:
        """Wait for a condition that the case needs; raises ``NotRun``."""
        until = time.monotonic() + seconds
        while not await is_met():
            if time.monotonic() > until:
                raise NotRun(failure)
            await asyncio.sleep(0.05)

    async def _list_machines(self, method, target, headers, body) -> Answer:
        machines = [
            {
                "Machine": f"m-{executor.id}",
                "Pool": executor.pool,
                "State": "up" if executor.up else "down",
                "Zone": executor.zone,
                "Labels": ["a", executor.rack],
                "Capacity": {
                    "Cpu": executor.cpu,
                    "MemMb": executor.memory_mb,
                    "Gpu": 0,
                },
                "Id": executor.id if executor.up else "",
            }
            for executor in self.executors.values()
        ]
        return 200, encode({"Machines": machines, "NextToken": None})

    async def ask(
        self, method: str, queue: str, job: str, tenant: str, body: object = None
    ) -> Answer | None:
        """Make a client's call, with retries at other daemons."""
        answer = None
        for daemon in [daemon for daemon in self.daemons if is_running(daemon)] * 2:
            headers = {
                "Host": self.host,
                "Authorization": f"Bearer key-{tenant}",
                "Content-Type": "application/json",
                "Deadline-Ms": "3000",
            }
            content = b"" if body is None else encode(body)
            answer = await call(
                daemon.callers, method, f"/{queue}/{job}", headers, content
            )
            text = (
                "no answer" if answer is None else f"{answer[0]} {answer[1].decode()}"
            )
            self.record.add(f"{method} {queue}/{job} at {daemon.name}: {text}")
            if answer is not None and answer[0] not in (502, 503, 504, 429):
                return answer
            await asyncio.sleep(0.2)
        return answer

    async def submit(self, queue: str, job: str, tenant: str, body: object) -> None:
        """Hand in a job; raises ``NotRun`` if it is not accepted."""
        answer = await self.ask("POST", queue, job, tenant, body)
        if answer is None or answer[0] // 100 != 2:
            raise NotRun(f"job {job} was not accepted: {answer}")
        self.accepted_at[job] = self.record.now()

    async def get_state(self, queue: str, job: str, tenant: str) -> str:
        """Return a job's state as shown to its client."""
        answer = await self.ask("GET", queue, job, tenant)
        if answer is None:
            return "no answer"
        if answer[0] != 200:
            return str(answer[0])
        return json.loads(answer[1])["State"]

    async def stop(self) -> None:
        """End all processes and servers."""
        for daemon in self.daemons:
            daemon.end()
        for executor in self.executors.values():
            if executor.up:
                await executor.stop()
        for server in [*self.store.servers, self._machines]:
            await server.stop()

    def keep_logs(self, words: tuple[str, ...], most: int = 40) -> None:
        """Add the daemons' log lines with one of some words to the record."""
        for daemon in self.daemons:
            if not daemon.log.exists():
                continue
            lines = daemon.log.read_text(errors="replace").splitlines()
            found = [line for line in lines if any(word in line for word in words)]
            for line in found[:most]:
                self.record.add(f"log of {daemon.name}: {line[:400]}")


def is_running(daemon: Daemon) -> bool:
    """Return whether a daemon's process runs."""
    return daemon.process is not None and daemon.process.poll() is None


def read_seconds(spec: str) -> float | None:
    """Return how long a subtask works, None if it lasts."""
    return json.loads(spec).get("seconds")


def find_doubles(runs: list[Run]) -> list[str]:
    """Return the breaches of TWICE: overlapping runs, or a start after ``done``.

    An end counts if its acknowledgement reached the executor before the lease
    expired. A run ends at the latest with its executor.
    """
    by_subtask: dict[str, list[Run]] = {}
    for run in runs:
        by_subtask.setdefault(run.subtask, []).append(run)
    found = []
    for name, several in by_subtask.items():
        several.sort(key=lambda run: run.began_at)
        for position, first in enumerate(several):
            for second in several[position + 1 :]:
                end = first.ended_at
                if end is None or end > second.began_at:
                    found.append(
                        f"{name}: run {first.number} on {first.executor} and run "
                        f"{second.number} on {second.executor} at the same time, "
                        f"from {second.began_at:.3f} s"
                    )
                elif first.how == "done" and first.noted_at is not None:
                    found.append(
                        f"{name}: run {first.number} on {first.executor} ended done "
                        f"at {end:.3f} s, which was acknowledged; run "
                        f"{second.number} started on {second.executor} at "
                        f"{second.began_at:.3f} s"
                    )
    return found


async def find_unserved(
    deployment: Deployment, queue: str, tenant: str, jobs: list[str]
) -> list[str]:
    """Return the breaches of LOST by jobs whose executors are idle.

    A job is lost if it has had nothing running for ``LOST_SECONDS`` although it
    has not ended, its tenant has no maximum and the pool is empty.
    """
    breaches = []
    now = deployment.record.now()
    for job in jobs:
        state = await deployment.get_state(queue, job, tenant)
        runs = [run for run in deployment.runs if run.subtask.startswith(job)]
        at_work = any(run.ended_at is None for run in runs)
        since = max((run.ended_at or now for run in runs), default=0.0)
        since = max(since, deployment.accepted_at[job])
        deployment.record.add(f"job {job} is {state}, with {len(runs)} runs", True)
        if state in ("completed", "failed", "cancelled") or at_work:
            continue
        if now - since > LOST_SECONDS:
            breaches.append(
                f"LOST: job {job} is {state} and has had nothing running for "
                f"{now - since:.1f} s, with empty executors"
            )
    return breaches


def has_trouble() -> bool:
    """Return whether the disruption is wanted; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(play: Callable[[Deployment, Record], Awaitable[list[str]]], folder: Path):
    """Play a case and exit; ``play`` returns the breaches of its rule.

    Whatever goes wrong in the case itself means that it could not run. The
    processes are ended then as well, also after a SIGTERM.
    """
    record = Record(folder / "record.txt")
    status = EXIT_NOT_RUN

    async def run() -> list[str]:
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(110):
                return await play(deployment, record)
        finally:
            await deployment.stop()

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        record.add("with the disruption" if has_trouble() else "without the disruption")
        breaches = asyncio.run(run())
        for breach in breaches[:20]:
            record.add("RULE BROKEN: " + breach, show=True)
        record.add(f"{len(breaches)} breaches of the rule", show=True)
        status = EXIT_BROKEN if breaches else EXIT_HELD
    except (Exception, KeyboardInterrupt) as error:
        record.add(f"the case could not be run: {error!r}", show=True)
        if not isinstance(error, NotRun | TimeoutError):
            record.add(traceback.format_exc(), show=True)
    record.write()
    sys.exit(status)
