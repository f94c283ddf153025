"""Stand-ins for the users' platform, for the cases of the second review.

They need the standard library alone, and answer as the users' pages say: the
store of rows, the service of the machines, and executors that run subtasks
under leases. Everything runs in one process with the case; the daemons are
processes of their own, started with the commands of the deploy file.

Each daemon reaches the store and the machines at addresses of its own, so that
a ``Link`` can cut one of them off. What was sent on a connection that was open
when the cut began is held, and arrives when the cut ends unless the sender has
reset the connection. What is sent on a connection opened meanwhile is lost.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HISTORY_S = 20.0
TRANSACTION_S = 0.004  # TxnMs
HOLD_MAX_MS = 10_000
STOP_S = 0.3  # StopMs is 400
HEARTBEAT_S = 1.5
TICK_S = 0.01
FENCES_PER_EPOCH = 1_000_000  # of the project's schedulers
PHRASES = {200: "OK", 400: "Bad Request", 409: "Conflict", 410: "Gone"}


class CaseError(Exception):
    """The case cannot run."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    @property
    def now(self):
        """Seconds since the start of the case."""
        return time.monotonic() - self.began_at

    def add(self, text):
        """Write a line."""
        self._file.write(f"{self.now:8.3f}  {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Link:
    """The path of one daemon to a service."""

    def __init__(self):
        self.cut = False
        self.cuts = 0
        self._healed = asyncio.Event()

    def begin_cut(self):
        """Let nothing through."""
        self.cut = True
        self.cuts += 1
        self._healed.clear()

    def end_cut(self):
        """Let everything through again."""
        self.cut = False
        self._healed.set()

    async def wait(self):
        """Wait while the link is cut."""
        while self.cut:
            await self._healed.wait()


class HttpServer:
    """A server of HTTP/1.1 whose requests go to ``handle``.

    ``handle`` takes the method, the path, the query, the headers and the body,
    and returns a status and a body. It may return None for no answer.
    """

    def __init__(self, handle, link=None, port=0):
        self.handle = handle
        self.link = link or Link()
        self.port = port
        # Is told of each request before the link lets it through.
        self.see_request = lambda first, body: None
        self._server = None
        self._tasks = set()
        self._writers = set()

    @property
    def address(self):
        """Address at which the server listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self):
        """Listen, at the port of before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """End as a process does that is killed: all connections break."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        self._writers.clear()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        opened = self.link.cuts if self.link.cut else -1
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                self.see_request(request[0], request[2])
                await self.link.wait()
                if opened == self.link.cuts or reader.exception() is not None:
                    break  # lost with the cut, or reset by the sender
                cuts = self.link.cuts
                answer = await self._answer(*request)
                if answer is None:
                    continue
                await self.link.wait()
                if cuts != self.link.cuts and writer.is_closing():
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the sender has gone, or the server ends
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first, headers, body):
        method, target, _ = first.split(" ", 2)
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        answer = await self.handle(method, parts.path, query, headers, body)
        if answer is None:
            return None
        status, content = answer
        content = json.dumps(content).encode()
        head = (
            f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        return head.encode() + content


async def read_message(reader):
    """Return the first line, the headers and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def call(address, method, path, body=None, headers=None, seconds=10.0):
    """Send a request; return the status and the body, or None for no answer."""
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    sent = {"Host": address, "Connection": "close", **(headers or {})}
    sent["Content-Length"] = str(len(content))
    if body is not None:
        sent["Content-Type"] = "application/json"
    lines.extend(f"{name}: {value}" for name, value in sent.items())
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + content)
            await writer.drain()
            answer = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if answer is None:
        return None
    return int(answer[0].split(" ")[1]), answer[2].decode()


class Store:
    """The platform's store of rows."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.rows = {}  # (table, part, key): (value in base64, version)
        self.changes = []  # (time, version, table, part, key, value or None)
        self.failures = {}  # daemon: status of all answers, such as 503
        self._changed = asyncio.Event()
        self._lock = asyncio.Lock()

    def read(self, table, key, part=""):
        """Return the document in a row, or None."""
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def write(self, table, key, document, part=""):
        """Write a row as the platform, the operator or an executor."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.version += 1
        self._set(table, part, key, value)
        self._notify()

    def remove(self, table, key):
        """Remove a row as the platform."""
        if (table, "", key) in self.rows:
            self.version += 1
            self._set(table, "", key, None)
            self._notify()

    def _set(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = value, self.version
        now = time.monotonic()
        self.changes.append((now, self.version, table, part, key, value))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def make_handler(self, daemon):
        """Return the handler of the requests of one daemon."""

        async def handle(method, path, query, headers, body):
            if daemon in self.failures:
                return self.failures[daemon], {}
            match method, path:
                case "POST", "/rows-tx":
                    return await self._transact(daemon, json.loads(body))
                case "GET", "/rows-get":
                    return self._get(query)
                case "GET", "/rows-feed":
                    return await self._feed(query)
                case "GET", "/rows-parts":
                    return self._list_parts(query)
            return 400, {}

        return handle

    async def _transact(self, daemon, call):
        async with self._lock:
            await asyncio.sleep(TRANSACTION_S)
            expected = call.get("ExpectedRev") or []
            failed = False
            current = []
            for row in expected:
                name = row["Table"], row.get("part", ""), row["Key"]
                value, version = self.rows.get(name, (None, 0))
                failed = failed or version != row["RowVersion"]
                if value is not None:
                    current.append(make_row(*name, value, version))
            if failed:
                return 412, {"rows": current, "RowVersion": self.version}
            for row in [*(call.get("Write") or []), *(call.get("Remove") or [])]:
                if row["Table"] in ("op", "servers"):
                    return 403, {}
            self.version += 1
            for row in call.get("Write") or []:
                name = row["Table"], row.get("part", ""), row["Key"]
                self._set(*name, row["Value"])
                if row["Table"] == "jobs":
                    self.record.add(f"store: {daemon} wrote jobs/{row['Key']}")
            for row in call.get("Remove") or []:
                self._set(row["Table"], row.get("part", ""), row["Key"], None)
            self._notify()
            return 200, {"RowVersion": self.version, "NowMs": now_ms()}

    def _get(self, query):
        table, part = query["Table"], query.get("part", "")
        start, end = query.get("StartKey", ""), query.get("To")
        limit = min(500, int(query.get("Limit", 500)))
        keys = sorted(
            key
            for where, inside, key in self.rows
            if (where, inside) == (table, part)
            and key >= start
            and (not end or key < end)
        )
        rows = [
            make_row(table, part, key, *self.rows[table, part, key])
            for key in keys[:limit]
        ]
        return 200, {
            "rows": rows,
            "HasMore": len(keys) > limit,
            "RowVersion": self.version,
            "NowMs": now_ms(),
        }

    def _list_parts(self, query):
        parts = sorted(
            {part for table, part, _ in self.rows if table == query["Table"]}
        )
        parts = [part for part in parts if part > query.get("After", "")]
        return 200, {"parts": parts[:1000], "HasMore": len(parts) > 1000}

    async def _feed(self, query):
        table, after = query["Table"], int(query["After"])
        end = time.monotonic() + min(30_000, int(query.get("WaitMs", 0))) / 1000
        while True:
            oldest = time.monotonic() - HISTORY_S
            self.changes = [each for each in self.changes if each[0] >= oldest]
            first = self.changes[0][1] if self.changes else self.version + 1
            if after < first - 1 and after < self.version:
                return 410, {}
            found = {}
            for _, version, where, part, key, value in self.changes:
                if where == table and version > after:
                    found.pop((part, key), None)
                    found[part, key] = version, value
            left = end - time.monotonic()
            if found or left <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        rows = []
        for (part, key), (version, value) in found.items():
            row = {"Table": table, "part": part, "Key": key, "RowVersion": version}
            rows.append({**row, "Deleted": True} if value is None else row)
            if value is not None:
                row["Value"] = value
        return 200, {"rows": rows, "RowVersion": self.version, "NowMs": now_ms()}


def make_row(table, part, key, value, version):
    """Return a row as the store shows it."""
    return {
        "Table": table,
        "part": part,
        "Key": key,
        "Value": value,
        "RowVersion": version,
    }


def now_ms():
    """Return the steady time in milliseconds."""
    return int(time.monotonic() * 1000)


class Machines:
    """The platform's service of the machines; it does not check fences.

    ``orders`` holds each order as it arrived: time, machine, kind, holder, fence
    and status.
    """

    def __init__(self, record):
        self.record = record
        self.entries = {}
        self.orders = []
        self.done = set()  # (machine, wave)
        self.upkeep_s = 2.0

    def add(self, name, pool, executor):
        """Add a machine with its executor."""
        self.entries[name] = {
            "Machine": name,
            "Pool": pool,
            "State": "up",
            "Zone": executor.zone,
            "Labels": executor.labels,
            "Capacity": executor.capacity,
            "Id": executor.id,
        }
        executor.machine = name

    def make_handler(self, daemon):
        """Return the handler of the requests of one daemon."""

        async def handle(method, path, query, headers, body):
            if path == "/machines":
                return 200, {"Machines": list(self.entries.values())}
            order = json.loads(body)
            holder = headers.get("lease-holder", "")
            fence = int(headers.get("fencing-token", 0))
            status, reason = self._carry_out(path, order)
            self.orders.append(
                (self.record.now, order["Machine"], path, holder, fence, status)
            )
            self.record.add(
                f"machines: {path} {order} holder={holder} fence={fence}"
                f" -> {status} {reason}"
            )
            return status, {"Reason": reason} if reason else {}

        return handle

    def _carry_out(self, path, order):
        entry = self.entries.get(order["Machine"])
        if entry is None:
            return 400, ""
        if path == "/machine-upkeep":
            done = entry["Machine"], order["Wave"]
            if done in self.done:
                return 200, ""
        elif entry["Pool"] == order["Pool"]:
            return 200, ""
        if entry["State"] != "up":
            return 409, "busy"
        if path == "/machine-upkeep":
            self.done.add(done)
            entry["State"] = "upkeep"
        else:
            entry["State"], entry["Pool"] = "moving", order["Pool"]
        asyncio.get_running_loop().create_task(self._change(entry))
        return 200, ""

    async def _change(self, entry):
        executor = self.executors[entry.pop("Id")]
        await executor.leave()
        await asyncio.sleep(self.upkeep_s)
        joined = await self.join(executor, entry["Pool"])
        entry.update(State="up", Id=joined.id)


class Executor:
    """An executor, across its lives under one id.

    ``find_work`` returns for the name of a subtask and its run the size, the
    seconds of work and how it ends; None for the seconds means that it lasts.
    """

    def __init__(self, store, record, executor, pool, rack, find_work):
        self.store = store
        self.record = record
        self.id = executor
        self.pool = pool
        self.zone = "zone-a"
        self.labels = ["kind-a", rack]
        self.capacity = {"Cpu": 16_000, "MemMb": 32_768}
        self.find_work = find_work
        self.machine = ""
        self.up = False
        self.runs = []  # every run of all lives, as dictionaries
        self.link = Link()
        # Epochs of the schedulers whose calls get lost.
        self.cut_epochs = set()
        self._server = None
        self._ticker = None

    async def start(self):
        """Begin a life."""
        self.born = int(time.time() * 1000)
        self._clock_at = time.monotonic()
        self.fence = 0
        self.due = 0
        self.running = {}
        self.finished = []
        self.last_end = 0
        self.highest = {}
        self._ended = asyncio.Event()
        port = 0 if self._server is None else self._server.port
        self._server = HttpServer(self._handle, self.link, port)
        await self._server.start()
        self.up = True
        self._ticker = asyncio.get_running_loop().create_task(self._tick_forever())
        self.report("ready")
        self.record.add(f"executor {self.id} is up, born {self.born}")

    def report(self, state):
        """Write the entry in the store."""
        entry = {
            "Backend": self.pool,
            "Address": self._server.address,
            "Zone": self.zone,
            "ConfigVersion": 1,
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self.born,
            "Machine": self.machine,
            "Capacity": self.capacity,
            "Labels": self.labels,
        }
        self.store.write("servers", self.id, entry)

    async def crash(self):
        """End the process; its entry lapses after three missed reports."""
        self.record.add(f"executor {self.id} crashes, running {sorted(self.running)}")
        await self._end("crashed")
        born = self.born

        async def lapse():
            await asyncio.sleep(3 * HEARTBEAT_S)
            if not self.up and self.born == born:
                self.store.remove("servers", self.id)

        self._lapse = asyncio.get_running_loop().create_task(lapse())

    async def leave(self):
        """End for good, and remove the entry."""
        await self._end("left")
        self.store.remove("servers", self.id)

    async def _end(self, how):
        self.up = False
        self._ticker.cancel()
        for run in self.running.values():
            run["ended"], run["how"] = self.record.now, how
        self.running.clear()
        await self._server.stop()

    @property
    def clock_ms(self):
        """The time on the executor's clock."""
        return int((time.monotonic() - self._clock_at) * 1000)

    async def _tick_forever(self):
        while True:
            await asyncio.sleep(TICK_S)
            self._tick()

    def _tick(self):
        now = self.record.now
        for name, run in list(self.running.items()):
            if self.due <= self.clock_ms:
                self._finish(name, "lapsed")
            elif run["stops"] is not None and run["stops"] <= now:
                self._finish(name, "stopped")
            elif run["seconds"] is not None and run["began"] + run["seconds"] <= now:
                self._finish(name, run["end"])

    def _finish(self, name, how):
        run = self.running.pop(name)
        run["ended"], run["how"] = self.record.now, how
        self.last_end += 1
        self.finished.append([self.last_end, name, run["run"], how, ""])
        self.highest[name] = max(self.highest.get(name, 0), run["run"])
        self.record.add(f"executor {self.id}: {name} run {run['run']} ends {how}")
        self._ended.set()
        self._ended = asyncio.Event()

    async def _handle(self, method, path, query, headers, body):
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        fence = order.get("FencingToken", 0)
        if fence // FENCES_PER_EPOCH in self.cut_epochs:
            return None
        if fence < self.fence:
            return 409, {"ClockMs": self.clock_ms, "Reason": "fence"}
        self.fence = fence
        match path:
            case "/run-start":
                return self._start_run(order)
            case "/run-stop":
                self._stop_run(order)
                return 200, {"ClockMs": self.clock_ms}
            case "/hold":
                return await self._hold(order)
        return 200, {"ClockMs": self.clock_ms}

    def _extend(self, due):
        self.due = max(self.due, min(due, self.clock_ms + HOLD_MAX_MS))

    def _start_run(self, order):
        name, number = order["Task"], order["Run"]
        self._extend(order["DueMs"])
        known = self.running.get(name)
        if known is not None and known["run"] == number:
            return 200, {"ClockMs": self.clock_ms}
        if known is not None or number <= self.highest.get(name, 0):
            return 409, {"ClockMs": self.clock_ms, "Reason": "old"}
        if order["DueMs"] <= self.clock_ms:
            return 409, {"ClockMs": self.clock_ms, "Reason": "late"}
        size, seconds, end = self.find_work(name, number)
        used = sum(run["cpu"] for run in self.running.values())
        if used + size > self.capacity["Cpu"]:
            return 409, {"ClockMs": self.clock_ms, "Reason": "room"}
        run = {
            "task": name,
            "run": number,
            "executor": self.id,
            "cpu": size,
            "seconds": seconds,
            "end": end,
            "began": self.record.now,
            "ended": None,
            "how": None,
            "stops": None,
        }
        self.runs.append(run)
        self.running[name] = run
        self.record.add(f"executor {self.id}: starts {name} run {number}")
        return 200, {"ClockMs": self.clock_ms}

    def _stop_run(self, order):
        name, number = order["Task"], order["Run"]
        run = self.running.get(name)
        self.highest[name] = max(self.highest.get(name, 0), number)
        if run is not None and run["run"] == number and run["stops"] is None:
            run["stops"] = self.record.now + STOP_S

    async def _hold(self, order):
        if "DueMs" in order:
            self._extend(order["DueMs"])
        acked = order.get("Acked", 0)
        self.finished = [end for end in self.finished if end[0] > acked]
        wait = order.get("WaitMs", 0) / 1000
        if wait and not self.finished:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait)
        return 200, {
            "ClockMs": self.clock_ms,
            "born": self.born,
            "Running": [
                [name, run["run"], "", self._measure(run), 0]
                for name, run in self.running.items()
            ],
            "Finished": self.finished[:500],
        }

    def _measure(self, run):
        age = self.record.now - run["began"]
        if run["seconds"] is None:
            return 100 if age > 0.3 else 50
        return min(99, int(100 * age / run["seconds"]))


class Daemon:
    """A daemon of the project, started with the command of the deploy file."""

    def __init__(self, world, name, cpu_share=0.537):
        self.world = world
        self.name = name
        self.cpu_share = cpu_share
        self.store_link = Link()
        self.machine_link = Link()
        self.process = None
        self.memory_limit_mb = 300
        self.kills = 0

    async def open_links(self):
        """Open the addresses at which the daemon reaches the platform."""
        self.store = HttpServer(
            self.world.store.make_handler(self.name), self.store_link
        )
        self.machines = HttpServer(
            self.world.machines.make_handler(self.name), self.machine_link
        )
        await self.store.start()
        await self.machines.start()
        self.callers, self.readiness, self.metrics = (
            f"127.0.0.1:{port}" for port in find_free_ports(3)
        )

    def make_fields(self):
        """Return the platform's fields for the template of the settings."""
        host, _, port = self.metrics.rpartition(":")
        return {
            "NodeName": self.name,
            "Zone": "zone-a",
            "Ip": host,
            "ListenAddrs": {"Frontend": self.callers, "Readiness": self.readiness},
            "InternalPorts": [port, port],
            "Limits": {
                "CpuShare": self.cpu_share,
                "Cores": 2,
                "MemoryMb": self.memory_limit_mb,
                "MaxFds": 4100,
            },
            "Bounds": {
                "StabilityMs": 3000,
                "GraceS": 6,
                "ConfigApplyMs": 2000,
                "HoldMaxMs": HOLD_MAX_MS,
                "StopMs": 400,
                "LeaseMs": 3000,
                "status_s": 120,
            },
            "Advice": "",
            "platform": {"Address": self.store.address},
            "CloudApi": {"Address": self.machines.address},
        }

    def start(self):
        """Start the process with its settings file and environment."""
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        fields = self.make_fields()
        settings = self.world.folder / f"{self.name}.ini"
        settings.write_text(fill_in((ROOT / role["template"]).read_text(), fields))
        words = role["run"].replace("/etc/hemlockstand/node.yaml", str(settings))
        environment = {
            name: fill_in(text, fields) for name, text in role.get("env", {}).items()
        }
        environment |= {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HEMLOCKSTAND_CONFIG": str(settings),
        }
        return self._spawn(words.split(), environment)

    async def _spawn(self, words, environment):
        if self.world.closing:
            return
        log = open(self.world.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        if self.world.closing:
            await self.kill()
            return
        self.world.record.add(f"daemon {self.name} starts")

    @property
    def running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        """Kill the process."""
        if self.running:
            self.process.kill()
            await self.process.wait()

    def measure_memory_mb(self):
        """Return the resident memory of the process."""
        with suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            found = re.search(r"VmRSS:\s+(\d+) kB", status)
            return int(found[1]) // 1024 if found else 0
        return 0


def find_free_ports(count):
    """Return ports that nobody listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def fill_in(text, fields):
    """Fill in the placeholders ``{{a.b}}`` and ``{{a.0}}`` of a template."""

    def replace(match):
        value = fields
        for name in match[1].split("."):
            if isinstance(value, list):
                value = value[int(name)]
            else:
                value = value.get(name, "") if isinstance(value, dict) else ""
        return str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", replace, text)


class World:
    """A small deployment: the platform's stand-ins and some daemons."""

    def __init__(self, folder, record_path):
        self.folder = Path(folder)
        self.record = Record(record_path)
        self.store = Store(self.record)
        self.machines = Machines(self.record)
        self.machines.executors = {}
        self.machines.join = self._join
        self.daemons = {}
        self.closing = False
        self.work = {}  # (job, step): (cpu, seconds, function of the run to the end)
        self._joined = 0

    async def add_daemon(self, name, cpu_share=0.537):
        """Start a daemon."""
        daemon = Daemon(self, name, cpu_share)
        self.daemons[name] = daemon
        await daemon.open_links()
        await daemon.start()
        return daemon

    async def add_executor(self, name, pool, rack, machine=""):
        """Start an executor, on a machine of its own if one is named."""
        executor = Executor(self.store, self.record, name, pool, rack, self._find_work)
        executor.machine = machine
        await executor.start()
        self.machines.executors[name] = executor
        if machine:
            self.machines.add(machine, pool, executor)
        return executor

    async def _join(self, former, pool):
        self._joined += 1
        name = f"{former.id}-{self._joined}"
        executor = Executor(
            self.store, self.record, name, pool, former.labels[1], self._find_work
        )
        executor.machine = former.machine
        await executor.start()
        self.machines.executors[name] = executor
        return executor

    def _find_work(self, task, run):
        job, _, step, _ = task.split(".")
        cpu, seconds, find_end = self.work[job, int(step)]
        return cpu, seconds, find_end(run)

    def list_runs(self, job):
        """Return all runs of a job, in the order of their starts."""
        runs = [
            run
            for executor in self.machines.executors.values()
            for run in executor.runs
            if run["task"].startswith(job + ".")
        ]
        return sorted(runs, key=lambda run: run["began"])

    def write_config(self, version, routes, pools, tenants):
        """Write a configuration as the operator."""
        config = {
            "ConfigVersion": version,
            "Routes": routes,
            "Services": [{"Name": pool, "AdmissionCheck": True} for pool in pools],
            "Tenants": tenants,
            "Limits": {"MaxBodyBytes": 262_144},
        }
        self.store.write("op", "config", config)
        names = [route["Name"] for route in routes]
        self.record.add(f"operator: config {version} is acknowledged, routes {names}")

    async def call(self, daemon, method, path, body=None, seconds=3.0):
        """Send a client's request to a daemon; return the status and the body."""
        self.record.add(f"client: {method} {path} to {daemon.name}")
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": str(int(seconds * 1000)),
        }
        answer = await call(daemon.callers, method, path, body, headers, seconds + 0.3)
        self.record.add(f"client: {method} {path} from {daemon.name} -> {answer}")
        return answer or (0, "")

    async def wait_ready(self, seconds=30.0):
        """Wait until all daemons are ready and one of them leads."""
        await self.wait_for(self._are_ready, seconds, "the daemons are ready")
        leader = await self.wait_for(self.find_leader, seconds, "a daemon leads")
        self.record.add(f"the scheduler is {leader.name}")
        await asyncio.sleep(1.0)
        return leader

    async def _are_ready(self):
        for daemon in self.daemons.values():
            if not daemon.running:
                raise CaseError(f"daemon {daemon.name} has ended")
            answer = await call(daemon.readiness, "GET", "/ready", seconds=1.0)
            if answer is None or answer[0] != 200:
                return False
        return True

    def find_leader(self):
        """Return the daemon that holds the lease by its row, if there is one."""
        lease = self.store.read("scheduler", "lease")
        return self.daemons.get(lease["holder"]) if lease else None

    async def wait_for(self, condition, seconds, what):
        """Wait until a condition holds; raises ``CaseError`` if it does not."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.02)
        raise CaseError(f"not within {seconds} s: {what}")

    async def close(self):
        """End all processes and close the record."""
        self.closing = True
        for daemon in self.daemons.values():
            await daemon.kill()
        self.record.close()


HOST = "jobs.example"
KEY = "key-one"
TENANTS = [{"Name": "tenant-one", "ApiKeys": [KEY], "Weight": 1.0}]


def make_route(name, pool, attempts=3):
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Hostname": HOST,
        "Prefix": f"/{name}/",
        "Backend": pool,
        "Priority": 1,
        "Attempts": attempts,
        "SlackFactor": 2.0,
        "SloMs": 600,
    }


def run_case(play, folder, trouble=True):
    """Play a case and return its exit code.

    ``play`` takes a world and whether there is trouble, and returns what broke
    the rule, or an empty text.
    """
    import tempfile

    # A case that is ended from outside ends its processes, and shows no breach.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(2))

    async def main(temporary):
        world = World(temporary, Path(folder) / "record.txt")
        world.record.add("with the disruption" if trouble else "TROUBLE=0")
        try:
            async with asyncio.timeout(110):
                broken = await play(world, trouble)
        except Exception as error:
            # Whatever went wrong in the case itself is no breach of a rule.
            world.record.add(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await world.close()
        print(f"broken: {broken}" if broken else "held")
        return 1 if broken else 0

    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(main(temporary))
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in Path(temporary).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
    except Exception as error:
        print(f"could not run: {error!r}")
        return 2
    return code
