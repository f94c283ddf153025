"""Starts and stops the processes of a fleet for demo, tests and benches.

Everything lives in a temporary directory and on a loopback network of its
own, and ends with the ``with`` statement::

    with Fleet(SMALL) as fleet:
        fleet.start()
        fleet.apply_sheet()
        key = fleet.grant_key("demo", "hinge")
"""

import configparser
import csv
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from pathlib import Path
from types import TracebackType
from typing import Any

import httpx
from attrs import define, field

from emulator.network import (
    BALANCER_CONTROL_PORT,
    BALANCER_PORT,
    CALLER_PORT,
    FIRST_EXECUTOR_PORT,
    OPERATOR_PORT,
    PEER_PORT,
    PLATFORM_PORT,
    Network,
    reserve_network,
)
from emulator.processes import Child, ChildGroup
from emulator.shapes import (
    WORKER_CORES,
    WORKER_MEMORY_MB,
    WORKERS_PER_RACK,
    FleetShape,
)

SHEETS = Path(__file__).with_name("sheets")
SECRET = "fleet-shared-secret"
TOKEN = "fleet-operator-token"
START_SECONDS = 30.0
POLL_SECONDS = 0.05
CTL_SECONDS = 40.0

Overrides = Mapping[str, Mapping[str, Any]]


class FleetError(Exception):
    """A process did not do what was asked; with the end of its log."""


@define
class Daemon:
    """One daemon of the fleet; ``child`` is ``None`` before its start."""

    name: str
    data_centre: str
    host: str
    settings: Path
    child: Child | None = None

    @property
    def caller(self) -> str:
        """``HOST:PORT`` for callers."""
        return f"{self.host}:{CALLER_PORT}"

    @property
    def operator(self) -> str:
        """``HOST:PORT`` for operators."""
        return f"{self.host}:{OPERATOR_PORT}"

    @property
    def running(self) -> Child:
        """The process; raises ``FleetError`` before its start."""
        if self.child is None:
            raise FleetError(f"daemon {self.name} was not started")
        return self.child


@define
class ExecutorPlace:
    """Where one executor of a desk listens."""

    name: str
    desk: str
    data_centre: str
    address: str


@define
class Fleet:
    """All processes of one deployment.

    ``overrides`` are settings by section for all daemons. ``service_ms`` is
    the mean service time of the executors.
    """

    shape: FleetShape
    overrides: Overrides = field(factory=dict)
    service_ms: float = 20.0
    spread: float = 0.3
    balancer_lag_seconds: float = 0.5
    directory: Path = field(init=False)
    network: Network = field(init=False)
    children: ChildGroup = field(init=False)
    daemons: dict[str, Daemon] = field(factory=dict)
    executors: dict[str, ExecutorPlace] = field(factory=dict)
    workers: dict[str, str] = field(factory=dict)
    http: httpx.Client = field(init=False)
    _temporary: tempfile.TemporaryDirectory = field(init=False)

    def __enter__(self) -> "Fleet":
        self._temporary = tempfile.TemporaryDirectory(prefix="hemlockstand-")
        self.directory = Path(self._temporary.name)
        self.network = reserve_network()
        self.children = ChildGroup(self.directory)
        self.http = httpx.Client(trust_env=False, timeout=10)
        self._place_executors()
        self._place_daemons()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.children.close()
        self.http.close()
        self.network.close()
        self._temporary.cleanup()

    @property
    def platform(self) -> str:
        """Base URL of the platform stand-in, for its switches and record."""
        return f"http://{self.network.host(0, 1)}:{PLATFORM_PORT}"

    @property
    def balancer(self) -> str:
        """``HOST:PORT`` of the balancer."""
        return f"{self.network.host(0, 2)}:{BALANCER_PORT}"

    def start(self) -> None:
        """Start everything and wait until it is ready."""
        self.start_platform()
        self.start_upstreams()
        self.start_daemons()
        self.start_balancer()

    def start_platform(self) -> None:
        """Start the platform stand-in and register all instances."""
        ports = [
            f"{data_centre}:{self._platform_port(data_centre)}"
            for data_centre in self.shape.data_centres
        ]
        arguments = [
            f"--host={self.network.host(0, 1)}",
            f"--port={PLATFORM_PORT}",
            f"--data_centre_ports={','.join(ports)}",
        ]
        self.children.start("platform", "emulator.platform", arguments)
        self.wait_http(f"{self.platform}/health", "platform")
        self._register_instances()

    def start_upstreams(self) -> None:
        """Start one process of executors per desk."""
        for desk in self.shape.desks:
            places = [place for place in self.executors.values() if place.desk == desk]
            host = places[0].address.partition(":")[0]
            ports = [place.address.rpartition(":")[2] for place in places]
            arguments = [
                f"--host={host}",
                f"--ports={','.join(ports)}",
                f"--names={','.join(place.name for place in places)}",
                f"--slots={self.shape.slots}",
                f"--connections={self.shape.connections}",
                f"--service_ms={self.service_ms}",
                f"--spread={self.spread}",
            ]
            self.children.start(f"upstream-{desk}", "emulator.upstream", arguments)
        for place in self.executors.values():
            self.wait_http(f"http://{place.address}/health", f"upstream-{place.desk}")

    def start_daemons(self) -> None:
        """Start all daemons and wait until they are ready."""
        for daemon in self.daemons.values():
            self.start_daemon(daemon.name)
        for daemon in self.daemons.values():
            self.wait_ready(daemon.name)

    def start_daemon(self, name: str) -> None:
        """Start one daemon without waiting for it."""
        daemon = self.daemons[name]
        arguments = ["--settings", str(daemon.settings)]
        daemon.child = self.children.start(name, "hemlockstand.daemon", arguments)

    def wait_ready(self, name: str, seconds: float = START_SECONDS) -> None:
        """Wait until a daemon reports ready."""
        url = f"http://{self.daemons[name].operator}/ready"
        self.wait_http(url, name, seconds)

    def start_balancer(self) -> None:
        """Start the balancer in front of all daemons."""
        backends = [
            f"{daemon.caller}/{daemon.operator}" for daemon in self.daemons.values()
        ]
        host = self.network.host(0, 2)
        arguments = [
            f"--host={host}",
            f"--port={BALANCER_PORT}",
            f"--control_port={BALANCER_CONTROL_PORT}",
            f"--lag_seconds={self.balancer_lag_seconds}",
            f"--backends={','.join(backends)}",
        ]
        self.children.start("balancer", "emulator.balancer", arguments)
        url = f"http://{host}:{BALANCER_CONTROL_PORT}/backends"
        self.wait_until(
            lambda: all(
                backend["ready"] for backend in self.http.get(url).json()["backends"]
            ),
            START_SECONDS,
            "balancer",
        )

    def wait_http(self, url: str, child: str, seconds: float = START_SECONDS) -> None:
        """Wait until a URL answers 200; raises ``FleetError``."""
        self.wait_until(lambda: self.http.get(url).status_code == 200, seconds, child)

    def wait_until(
        self, check: Callable[[], bool], seconds: float, child: str = ""
    ) -> float:
        """Wait for a condition and return how long it took, in seconds.

        Raises ``FleetError`` after the time, or when the named child ends.
        """
        began = time.monotonic()
        while True:
            try:
                if check():
                    return time.monotonic() - began
            except httpx.HTTPError:
                pass
            known = self.children.children.get(child)
            ended = known is not None and not known.alive
            if ended or time.monotonic() - began > seconds:
                tail = "" if known is None else known.read_log_tail()
                state = "ended" if ended else f"not ready after {seconds:.0f} s"
                raise FleetError(f"{child or 'condition'}: {state}\n{tail}")
            time.sleep(POLL_SECONDS)

    def ctl(self, *words: str, daemon: str = "", check: bool = True) -> dict[str, Any]:
        """Run hemlockctl with ``--json`` and return its output.

        ``check`` raises ``FleetError`` on an exit code other than 0;
        otherwise the result has ``exit_code`` and ``error``.
        """
        server = self.daemons[daemon or next(iter(self.daemons))].operator
        done = subprocess.run(
            [
                *(sys.executable, "-m", "hemlockstand.ctl.main", *words),
                *(f"--server=http://{server}", f"--token={TOKEN}", "--json"),
            ],
            capture_output=True,
            text=True,
            timeout=CTL_SECONDS,
            check=False,
        )
        if done.returncode != 0 and check:
            raise FleetError(
                f"hemlockctl {' '.join(words)}: exit code {done.returncode}\n"
                f"{done.stdout}{done.stderr}"
            )
        try:
            result = json.loads(done.stdout or "{}")
        except json.JSONDecodeError:
            result = {"output": done.stdout}
        return result | {"exit_code": done.returncode, "error": done.stderr}

    def apply_sheet(self, file: Path | None = None) -> dict[str, Any]:
        """Apply a sheet, by default that of the shape, and wait for all daemons."""
        path = file or SHEETS / self.shape.sheet
        base = self.ctl("config", "version")["version"]
        today = datetime.now(UTC).date().isoformat()
        return self.ctl(
            *("sheet", "apply", str(path), f"--version={base}", f"--day={today}"),
            "--wait=10",
        )

    def grant_key(self, name: str, team: str) -> str:
        """Grant a key, wait for all daemons and return its secret."""
        granted = self.ctl("key", "grant", name, f"--team={team}", "--wait=10")
        return granted["key"]

    def set_faults(self, **values: Any) -> None:
        """Set switches of the platform stand-in."""
        self._post(f"{self.platform}/faults", values)

    def set_profiles(self, **profiles: Mapping[str, Any]) -> None:
        """Set what the tasks of jobs really do."""
        self._post(f"{self.platform}/profiles", profiles)

    def set_behaviour(self, executor: str, **values: Any) -> None:
        """Set the behaviour of one executor."""
        address = self.executors[executor].address
        self._post(f"http://{address}/behaviour", values)

    def read_record(self, since: int = 0) -> dict[str, Any]:
        """Return the record of the platform stand-in."""
        url = f"{self.platform}/record?since={since}"
        return self.http.get(url).json()

    def read_rows(self, prefix: str) -> dict[str, dict[str, Any]]:
        """Return the values of the table's rows with a prefix, by key."""
        url = f"{self.platform}/table/scan"
        params = {"prefix": prefix, "limit": "5000"}
        rows = self.http.get(url, params=params).json()["rows"]
        return {row["key"]: row["value"] for row in rows}

    def read_runs(self) -> list[dict[str, Any]]:
        """Return the runs of all executors in order of their start."""
        runs = []
        for desk in self.shape.desks:
            place = next(p for p in self.executors.values() if p.desk == desk)
            record = self.http.get(f"http://{place.address}/record").json()
            runs.extend(record["runs"])
        return sorted(runs, key=lambda run: run["start"])

    def _post(self, url: str, body: Mapping[str, Any]) -> None:
        response = self.http.post(url, json=dict(body))
        if response.status_code != 200:
            raise FleetError(f"{url}: {response.status_code} {response.text}")

    def _platform_port(self, data_centre: str) -> int:
        return PLATFORM_PORT + 1 + self.shape.data_centres.index(data_centre)

    def _place_executors(self) -> None:
        for position, desk in enumerate(self.shape.desks):
            host = self.network.host(0, 10 + position)
            for number in range(self.shape.executors):
                name = f"{desk}-{number + 1}"
                self.executors[name] = ExecutorPlace(
                    name,
                    desk,
                    self.shape.choose_data_centre(number),
                    f"{host}:{FIRST_EXECUTOR_PORT + number}",
                )

    def _place_daemons(self) -> None:
        for number in range(self.shape.daemons):
            name = f"entry-{number + 1}"
            data_centre = self.shape.choose_data_centre(number)
            third = 1 + self.shape.data_centres.index(data_centre)
            host = self.network.host(third, 1 + number)
            settings = self.directory / f"{name}.ini"
            self.daemons[name] = Daemon(name, data_centre, host, settings)
        for daemon in self.daemons.values():
            self._write_settings(daemon)

    def _write_settings(self, daemon: Daemon) -> None:
        host = self.network.host(0, 1)
        port = self._platform_port(daemon.data_centre)
        sections: dict[str, dict[str, Any]] = {
            "daemon": {
                "name": daemon.name,
                "region": self.shape.region,
                "data_centre": daemon.data_centre,
                "data_centres": ", ".join(self.shape.data_centres),
                "balancer_lag_seconds": 1,
            },
            "listen": {
                "host": daemon.host,
                "caller_port": CALLER_PORT,
                "operator_port": OPERATOR_PORT,
                "peer_port": PEER_PORT,
            },
            "platform": {"url": f"http://{host}:{port}"},
            "peers": {"secret": SECRET, "seeds": ", ".join(self._list_seeds(daemon))},
            "operators": {"token": TOKEN},
            "log": {"format": "text"},
        }
        for section, values in self.overrides.items():
            sections.setdefault(section, {}).update(values)
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        with daemon.settings.open("w", encoding="utf-8") as stream:
            parser.write(stream)

    def _list_seeds(self, daemon: Daemon) -> list[str]:
        others = [other for other in self.daemons.values() if other is not daemon]
        return [f"{other.host}:{PEER_PORT}" for other in others[:3]]

    def _register_instances(self) -> None:
        for daemon in self.daemons.values():
            self._register(
                daemon.name, "entry", daemon.data_centre, daemon.caller, "r1"
            )
        for place in self.executors.values():
            self._register(
                place.name,
                "executor",
                place.data_centre,
                place.address,
                "r1",
                pool=place.desk,
            )
        for desk in self.shape.desks:
            for number in range(self.shape.workers):
                self._register_worker(desk, number)

    def _register_worker(self, desk: str, number: int) -> None:
        name = f"{desk}-worker-{number + 1}"
        pool = f"{desk}-workers"
        self.workers[name] = pool
        self._register(
            name,
            "worker",
            self.shape.choose_data_centre(number),
            "127.0.0.1:1",
            f"r{number // WORKERS_PER_RACK + 1}",
            pool=pool,
            cores=WORKER_CORES,
            memory_mb=WORKER_MEMORY_MB,
        )

    def _register(
        self,
        name: str,
        kind: str,
        data_centre: str,
        address: str,
        rack: str,
        **values: Any,
    ) -> None:
        body = {
            "id": name,
            "kind": kind,
            "region": self.shape.region,
            "data_centre": data_centre,
            "rack": f"{data_centre}-{rack}",
            "address": address,
            **values,
        }
        self._post(f"{self.platform}/instances", body)


def read_sheet(file: Path) -> list[dict[str, str]]:
    """Return the rows of a sheet for programs that vary it."""
    with file.open(encoding="utf-8", newline="") as stream:
        return list(csv.DictReader(stream))
