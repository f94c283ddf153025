"""Stand-ins for the platform, the executors and the clients of a script case.

Only the standard library is used. All of them run in the process of the script
and listen on loopback addresses; the daemons are separate processes. What is
sent, answered and run is written to the case's ``record.txt``.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "desk.example"
ZONE = "zone-a"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_SECONDS = 115  # of a case, which then ends with 2


class Unanswered(Exception):
    """The stand-in leaves a call without an answer."""


class Record:
    """The record of a case, with seconds from its start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def seconds(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def note(self, text):
        """Write a line."""
        self.file.write(f"{self.seconds():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length") or 0)
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


class Server:
    """An HTTP server whose connections can be reset, and its port closed.

    ``handle`` is called with method, target, headers and body, and returns a
    status and a document. ``Unanswered`` leaves the call open.
    """

    def __init__(self, handle):
        self.handle = handle
        self.port = 0
        self.server = None
        self.writers = set()

    async def open(self):
        """Listen, at the same port as before if there was one."""
        for _ in range(100):
            try:
                self.server = await asyncio.start_server(
                    self._serve, "127.0.0.1", self.port
                )
                break
            except OSError:
                await asyncio.sleep(0.05)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Close the port and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self):
        """The address as the settings and entries name it."""
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                document = json.loads(body) if body else {}
                try:
                    status, answer = await self.handle(
                        method, target, headers, document
                    )
                except Unanswered:
                    await asyncio.sleep(3600)
                content = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's row store."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        """Write or remove a row as the operator or an executor does."""
        self.version += 1
        self._apply(table, part, key, value)
        self._notify()

    def _apply(self, table, part, key, value):
        name = (table, part, key)
        row = {"Table": table, "part": part, "Key": key, "RowVersion": self.version}
        if value is None:
            self.rows.pop(name, None)
            row["Deleted"] = True
        else:
            row["Value"] = base64.b64encode(value).decode()
            self.rows[name] = row
        self.history.append(row)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def read(self, table, key, part=""):
        """Return the document in a row, or None."""
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row["Value"]))

    async def handle(self, method, target, headers, body):
        """Answer a call to the store."""
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        match method, url.path:
            case "POST", "/rows-tx":
                await asyncio.sleep(0.004)
                return self._transact(body)
            case "GET", "/rows-get":
                await asyncio.sleep(0.004)
                return 200, self._get(query)
            case "GET", "/rows-feed":
                return await self._feed(query)
        return 404, {}

    def _transact(self, body):
        expected = body.get("ExpectedRev") or []
        found = []
        conflict = False
        for item in expected:
            name = (item["Table"], item.get("part", ""), item["Key"])
            row = self.rows.get(name)
            if row is not None:
                found.append(row)
            if (row["RowVersion"] if row else 0) != item["RowVersion"]:
                conflict = True
        if conflict:
            return 412, {"rows": found, "RowVersion": self.version, "NowMs": now_ms()}
        self.version += 1
        for item in body.get("Write") or []:
            value = base64.b64decode(item["Value"])
            self._apply(item["Table"], item.get("part", ""), item["Key"], value)
        for item in body.get("Remove") or []:
            self._apply(item["Table"], item.get("part", ""), item["Key"], None)
        self._notify()
        return 200, {"RowVersion": self.version, "NowMs": now_ms()}

    def _get(self, query):
        table, part = query["Table"], query.get("part", "")
        start, end = query.get("StartKey", ""), query.get("To", "")
        limit = min(500, int(query.get("Limit", 500)))
        rows = sorted(
            (
                row
                for (row_table, row_part, key), row in self.rows.items()
                if row_table == table
                and row_part == part
                and key >= start
                and (not end or key < end)
            ),
            key=lambda row: row["Key"].encode(),
        )
        return {
            "rows": rows[:limit],
            "HasMore": len(rows) > limit,
            "RowVersion": self.version,
            "NowMs": now_ms(),
        }

    async def _feed(self, query):
        table, after = query["Table"], int(query["After"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["RowVersion"] > after and row["Table"] == table
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {
                    "rows": rows,
                    "RowVersion": self.version,
                    "NowMs": now_ms(),
                }
            changed = asyncio.ensure_future(self.changed.wait())
            try:
                await asyncio.wait({changed}, timeout=left)
            finally:
                changed.cancel()


def now_ms():
    """Return a steady clock in milliseconds."""
    return int(time.monotonic() * 1000)


class Run:
    """A run on an executor."""

    def __init__(self, task, number, seconds, fails):
        self.task = task
        self.number = number
        self.seconds = seconds
        self.fails = fails
        self.began = time.monotonic()
        self.stops_at = None


class Executor:
    """An executor: runs under a lease on its own clock, fences, and ends.

    ``describe`` returns the seconds that a subtask takes, None for one that
    lasts, and whether it fails. ``hook`` may leave calls unanswered.
    """

    HOLD_MAX_MS = 10_000
    STOP_S = 0.2
    STARTUP_S = 0.3

    def __init__(self, name, pool, store, record, describe, capacity=None):
        self.name = name
        self.pool = pool
        self.store = store
        self.record = record
        self.describe = describe
        self.capacity = capacity or {"Cpu": 16000, "MemMb": 32768, "Gpu": 0}
        self.rack = "r1"
        self.state = "ready"
        self.hook = None
        self.server = Server(self.handle)
        self.sequence = 0
        self.start_life()

    def start_life(self):
        """Begin a lifetime."""
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.fence = 0
        self.due = 0.0
        self.runs = {}
        self.ends = []
        self.end_number = 0
        self.refused = {}

    async def open(self):
        """Listen and register."""
        await self.server.open()
        self.register()

    def register(self):
        """Write the entry in the store."""
        self.sequence += 1
        entry = {
            "Backend": self.pool,
            "Address": self.server.address,
            "Zone": ZONE,
            "ConfigVersion": 1,
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "Capacity": self.capacity,
            "Labels": ["a", self.rack],
            "born": self.born,
        }
        self.store.put("servers", self.name, json.dumps(entry).encode())

    def crash(self):
        """Crash: nothing listens, and what ran is lost."""
        self.advance()
        for run in self.runs.values():
            self.record.note(f"{self.name} run {run.task} {run.number} lost in a crash")
        self.record.note(f"{self.name} crashes")
        self.server.close()
        self.start_life()

    async def restart(self):
        """Be back under the same id, with a new lifetime."""
        self.start_life()
        await self.server.open()
        self.register()
        self.record.note(f"{self.name} is back, born {self.born}")

    def clock_ms(self):
        """Return the executor's clock."""
        return int((time.monotonic() - self.clock_zero) * 1000)

    def advance(self):
        """End what has ended by now."""
        now = time.monotonic()
        for run in list(self.runs.values()):
            if self.clock_ms() >= self.due:
                self._end(run, "lapsed")
            elif run.stops_at is not None and now >= run.stops_at:
                self._end(run, "stopped")
            elif run.seconds is not None and now >= run.began + run.seconds:
                self._end(run, "failed" if run.fails else "done")

    def _end(self, run, how):
        del self.runs[run.task]
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.number, how, ""])
        self.refused[run.task] = run.number
        self.record.note(f"{self.name} run {run.task} {run.number} ended {how}")

    def at_work(self, task):
        """Return whether a subtask is at work."""
        self.advance()
        return task in self.runs

    async def handle(self, method, target, headers, body):
        """Answer a call."""
        if headers.get("expected-instance") != self.name:
            return 421, {}
        if self.hook is not None:
            answer = await self.hook(self, target, body)
            if answer is not None:
                return answer
        return await self.carry_out(target, body)

    async def carry_out(self, target, body):
        """Carry out a call and return the answer."""
        self.advance()
        answer = {"ClockMs": self.clock_ms(), "born": self.born}
        if body.get("FencingToken", 0) < self.fence:
            return 409, {**answer, "Reason": "fence"}
        self.fence = body.get("FencingToken", 0)
        match target:
            case "/run-start":
                return self._start(body, answer)
            case "/run-stop":
                return self._stop(body, answer)
            case "/pace":
                return 200, answer
            case "/hold":
                return await self._hold(body)
        return 404, {}

    def _extend(self, due):
        self.due = max(self.due, min(due, self.clock_ms() + self.HOLD_MAX_MS))

    def _start(self, body, answer):
        task, number = body["Task"], body["Run"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, answer
        if known is not None or number <= self.refused.get(task, 0):
            self._extend(body["DueMs"])
            return 409, {**answer, "Reason": "old"}
        if body["DueMs"] <= self.clock_ms():
            return 409, {**answer, "Reason": "late"}
        self._extend(body["DueMs"])
        seconds, fails = self.describe(task)
        self.runs[task] = Run(task, number, seconds, fails)
        self.record.note(f"{self.name} run {task} {number} starts")
        return 200, answer

    def _stop(self, body, answer):
        run = self.runs.get(body["Task"])
        if run is not None and run.number == body["Run"]:
            run.stops_at = run.stops_at or time.monotonic() + self.STOP_S
        else:
            earlier = self.refused.get(body["Task"], 0)
            self.refused[body["Task"]] = max(earlier, body["Run"])
        return 200, answer

    async def _hold(self, body):
        if "DueMs" in body:
            self._extend(body["DueMs"])
        acked = body.get("Acked", 0)
        self.ends = [end for end in self.ends if end[0] > acked]
        until = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            await asyncio.sleep(0.02)
            self.advance()
        now = time.monotonic()
        running = []
        for run in self.runs.values():
            age = now - run.began
            if run.seconds is None:
                percent = 100 if age >= self.STARTUP_S else 50
            else:
                percent = min(99, int(100 * age / run.seconds))
            running.append([run.task, run.number, "", percent, 0])
        return 200, {
            "ClockMs": self.clock_ms(),
            "born": self.born,
            "Running": running,
            "Finished": self.ends[:500],
        }


class Machines:
    """The platform's machine service, which lists no machines of its own."""

    def __init__(self, executors):
        self.executors = executors

    async def handle(self, method, target, headers, body):
        """Answer a call."""
        if method == "GET" and target.startswith("/machines"):
            return 200, {
                "Machines": [
                    {
                        "Machine": f"m-{executor.name}",
                        "Pool": executor.pool,
                        "State": "up",
                        "Zone": ZONE,
                        "Labels": ["a", executor.rack],
                        "Capacity": executor.capacity,
                        "Id": executor.name,
                    }
                    for executor in self.executors
                ],
                "NextToken": "",
            }
        return 409, {"Reason": "busy"}


def make_config(version=3, attempts=3, public=False, tenants=None):
    """Return a configuration with one queue and one service."""
    return json.dumps(
        {
            "ConfigVersion": version,
            "Routes": [
                {
                    "Name": "quotes",
                    "Hostname": HOST,
                    "Prefix": "/quotes/",
                    "Backend": "desk",
                    "Public": public,
                    "Priority": 0,
                    "Attempts": attempts,
                    "SlackFactor": 3.0,
                    "SloMs": 2000,
                }
            ],
            "Services": [{"Name": "desk", "AdmissionCheck": True}],
            "Limits": {"MaxBodyBytes": 262144},
            "Tenants": tenants
            or [{"Name": "hinge", "ApiKeys": ["key-of-hinge"], "Weight": 1}],
        }
    ).encode()


SETTINGS = """[daemon]
name = {name}
data_centre = {zone}
processor_share = 1
processor_speed = 1

[listen]
callers = {callers}
readiness = {readiness}
metrics = {metrics}

[platform]
store = {store}
instances = {machines}
advice =

[bounds]
longest_hold_ms = 10000
config_apply_ms = 2000
grace_s = 6
status_s = 120
stability_ms = 3000
stop_ms = 400
order_turn_ms = 3000
"""


def find_port():
    """Return a free port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Daemon:
    """A daemon, started with the command of the deploy file."""

    def __init__(self, name, folder, store, machines):
        self.name = name
        self.port = find_port()
        self.ready_port = find_port()
        self.settings = Path(folder) / f"{name}.ini"
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                zone=ZONE,
                callers=f"127.0.0.1:{self.port}",
                readiness=f"127.0.0.1:{self.ready_port}",
                metrics=f"127.0.0.1:{find_port()}",
                store=store,
                machines=machines,
            )
        )
        self.log = Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        """Start the process."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        environment["HEMLOCKD_BOUNDS_EVACUATE_MS"] = ""
        environment["HEMLOCKD_CLIENTS_MEMORY_MB"] = "300"
        environment["HEMLOCKD_CLIENTS_MAX_DESCRIPTORS"] = "1000"
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [
                    "python3",
                    "-m",
                    "hemlockstand.daemon",
                    "--fleet",
                    "--settings",
                    str(self.settings),
                ],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, seconds=15.0):
        """Wait until the daemon is ready; False if it is not in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, _ = await call("GET", self.ready_port, "/ready", seconds=1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False


async def call(method, port, path, body=None, key="key-of-hinge", seconds=3.0):
    """Make a client's call on a new connection; status 0 means no answer."""
    content = b"" if body is None else json.dumps(body).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Deadline-Ms: {int(seconds * 1000)}",
        "Connection: close",
    ]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if body is not None:
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(content)}")
    message = "\r\n".join([*lines, "", ""]).encode() + content
    task = asyncio.create_task(exchange(port, message))
    done, _ = await asyncio.wait({task}, timeout=seconds)
    if done:
        return task.result()
    task.cancel()
    return 0, {}


async def exchange(port, message):
    """Send a request and return the status and the document of the answer."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(message)
        first, _, answer = await read_message(reader)
        return int(first.split(" ")[1]), json.loads(answer) if answer else {}
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


class World:
    """A small deployment: stand-ins, daemons and the record of a case."""

    def __init__(self, case, daemons=1):
        self.record = Record(Path(case) / "record.txt")
        self.folder = tempfile.TemporaryDirectory(prefix="hemlock-review-")
        self.store = Store(self.record)
        self.store_server = Server(self.store.handle)
        self.executors = []
        self.machines = Server(Machines(self.executors).handle)
        self.daemon_count = daemons
        self.daemons = []

    async def open(self, config, pools, describe):
        """Start everything; ``pools`` holds the number of executors by pool."""
        await self.store_server.open()
        await self.machines.open()
        self.store.put("op", "config", config)
        for pool, count in pools.items():
            for number in range(count):
                executor = Executor(
                    f"i-{pool}-{number}", pool, self.store, self.record, describe
                )
                await executor.open()
                self.executors.append(executor)
        for number in range(self.daemon_count):
            daemon = Daemon(
                f"d{number}",
                self.folder.name,
                self.store_server.address,
                self.machines.address,
            )
            daemon.start()
            self.daemons.append(daemon)
        for daemon in self.daemons:
            if not await daemon.wait_ready():
                raise RuntimeError(f"{daemon.name} does not become ready")

    def close(self):
        """End all processes that were started."""
        for daemon in self.daemons:
            daemon.kill()
        self.record.file.close()
        self.folder.cleanup()

    def find_leader(self):
        """Return the daemon that holds the scheduler's lease, if one does."""
        lease = self.store.read("scheduler", "lease") or {}
        return next(
            (item for item in self.daemons if item.name == lease.get("holder")), None
        )

    def find_runs(self, task):
        """Return the executors on which a subtask runs."""
        return [executor for executor in self.executors if executor.at_work(task)]

    async def call(self, method, job, body=None, daemon=0, **values):
        """Make a client's call about a job, and record it."""
        port = self.daemons[daemon].port
        status, answer = await call(method, port, f"/quotes/{job}", body, **values)
        self.record.note(f"client {method} {job} at d{daemon}: {status} {answer}")
        return status, answer


def run_case(main, case, daemons=1):
    """Run a case and end with its exit code."""
    world = World(case, daemons)

    async def run():
        try:
            return await main(world)
        finally:
            # Their connections would keep the event loop from closing.
            for daemon in world.daemons:
                daemon.kill()

    def end(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGALRM, end)
    signal.alarm(LONGEST_SECONDS)
    code = 2
    try:
        code = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        world.record.note(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
    finally:
        if os.environ.get("KEEP_LOGS"):
            for daemon in world.daemons:
                print(daemon.log.read_text(), file=sys.stderr)
        world.close()
    sys.exit(code)
