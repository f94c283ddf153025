"""Starts and stops the processes of a fleet for demo, tests and benchmarks.

A fleet has a temporary directory and a loopback network of its own. The
processes end and the directory is removed with the ``with`` statement::

    with Fleet(SMALL) as fleet:
        fleet.start()
        fleet.apply_sheet()
        key = fleet.grant_key("demo", "hinge")
"""

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
import msgspec
from attrs import define, field

from emulator.layout import (
    TOKEN,
    Daemon,
    ExecutorEndpoint,
    FleetError,
    Layout,
    Overrides,
)
from emulator.load import LoadPlan
from emulator.network import (
    BALANCER_CONTROL_PORT,
    BALANCER_PORT,
    LINK_CONTROL_PORT,
    PLATFORM_PORT,
    Network,
    reserve_network,
)
from emulator.processes import Child, ChildGroup
from emulator.shapes import FleetShape

SHEETS = Path(__file__).with_name("sheets")
START_SECONDS = 30.0
POLL_SECONDS = 0.05
CTL_SECONDS = 40.0
LOAD_END_SECONDS = 60.0
WAIT_IN_FORCE = "--wait=10"


@define
class Fleet:
    """All processes of one deployment.

    ``overrides`` are settings, by section, for all daemons. ``service_ms`` is
    the mean service time of the executors and ``spread`` its relative half
    width. With ``linked``, the daemons of different data centres reach each
    other through a link proxy, so that ``cut`` can separate them. With
    ``metered``, all traffic between daemons and to the platform passes
    through it, so that ``count_links`` measures the control traffic.
    """

    shape: FleetShape
    overrides: Overrides = field(factory=dict)
    service_ms: float = 20.0
    spread: float = 0.3
    balancer_lag_seconds: float = 0.5
    linked: bool = False
    metered: bool = False
    layout: Layout = field(init=False)
    children: ChildGroup = field(init=False)
    http: httpx.Client = field(init=False)
    _network: Network = field(init=False)
    _temporary: tempfile.TemporaryDirectory = field(init=False)

    def __enter__(self) -> "Fleet":
        self._temporary = tempfile.TemporaryDirectory(prefix="hemlockstand-")
        directory = Path(self._temporary.name)
        self._network = reserve_network()
        self.layout = Layout(
            self.shape,
            self._network,
            directory,
            self.overrides,
            self.linked,
            self.metered,
        )
        self.children = ChildGroup(directory)
        self.http = httpx.Client(trust_env=False, timeout=10)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.children.close()
        self.http.close()
        self._network.close()
        self._temporary.cleanup()

    @property
    def daemons(self) -> dict[str, Daemon]:
        """The daemons by name."""
        return self.layout.daemons

    @property
    def executors(self) -> dict[str, ExecutorEndpoint]:
        """The executors by name."""
        return self.layout.executors

    def start(self) -> None:
        """Start all processes and wait until they are ready."""
        self.start_processes()
        self.start_balancer()

    def start_processes(self) -> None:
        """Start all processes but the balancer; wait until they are ready."""
        self.start_platform()
        if self.layout.links:
            self.start_links()
        self.start_upstreams()
        self.start_daemons()

    def start_platform(self) -> None:
        """Start the platform stand-in and register all instances."""
        ports = [
            f"{data_centre}:{self.layout.platform_port(data_centre)}"
            for data_centre in self.shape.data_centres
        ]
        arguments = [
            f"--host={self.layout.platform_host}",
            f"--port={PLATFORM_PORT}",
            f"--data_centre_ports={','.join(ports)}",
        ]
        self.children.start("platform", "emulator.platform", arguments)
        self.wait_http(f"{self.layout.platform}/health", "platform")
        for instance in self.layout.list_instances():
            self._post(f"{self.layout.platform}/instances", instance)

    def start_links(self) -> None:
        """Start the link proxy with all links of the layout."""
        links = [link.format_flag() for link in self.layout.links]
        arguments = [
            f"--host={self.layout.link_host}",
            f"--control_port={LINK_CONTROL_PORT}",
            f"--links={','.join(links)}",
        ]
        self.children.start("link", "emulator.link", arguments)
        self.wait_http(self._link_url, "link")

    def cut(self, data_centre: str, mode: str = "drop") -> None:
        """Cut a data centre off from the platform and from all others.

        The platform cuts off one data centre at a time: the last one cut.
        """
        self.set_faults(cut_data_centres=[data_centre])
        self.set_links(data_centre, mode)

    def heal(self, data_centre: str) -> None:
        """Undo ``cut``: reset a data centre's links and the platform's cut."""
        self.set_faults(cut_data_centres=[])
        self.set_links(data_centre, "up")

    def set_links(self, data_centre: str, mode: str) -> None:
        """Set the mode of all links from and to a data centre."""
        names = [f"{data_centre}>*", f"*>{data_centre}>*"]
        self._post(self._link_url, {"names": names, "mode": mode})

    def count_links(self) -> dict[str, tuple[int, int]]:
        """Return the bytes and chunks that have passed each link."""
        links = self.http.get(self._link_url).json()["links"]
        return {link["name"]: (link["bytes"], link["chunks"]) for link in links}

    def call_operator_interface(
        self, daemon: str, path: str, **body: Any
    ) -> dict[str, Any]:
        """Make a change through the operator interface of a daemon.

        Raises ``FleetError`` on a status other than 200.
        """
        url = f"http://{self.daemons[daemon].operator}/o/{path}"
        headers = {"Authorization": f"Bearer {TOKEN}", "X-Operator": "bench"}
        response = self.http.post(url, json=body, headers=headers)
        if response.status_code != 200:
            raise FleetError(f"{url}: {response.status_code} {response.text}")
        return response.json()

    def start_upstreams(self) -> None:
        """Start one process per desk, which hosts all of its executors."""
        for desk in self.shape.desks:
            endpoints = self.layout.list_desk(desk)
            host = endpoints[0].address.partition(":")[0]
            ports = [endpoint.address.rpartition(":")[2] for endpoint in endpoints]
            arguments = [
                f"--host={host}",
                f"--ports={','.join(ports)}",
                f"--names={','.join(endpoint.name for endpoint in endpoints)}",
                f"--slots={self.shape.slots}",
                f"--connections={self.shape.connections}",
                f"--service_ms={self.service_ms}",
                f"--spread={self.spread}",
            ]
            self.children.start(f"upstream-{desk}", "emulator.upstream", arguments)
        for endpoint in self.executors.values():
            self.wait_http(
                f"http://{endpoint.address}/health", f"upstream-{endpoint.desk}"
            )

    def start_daemons(self) -> None:
        """Start all daemons and wait until they are ready."""
        for name in self.daemons:
            self.start_daemon(name)
        for name in self.daemons:
            self.wait_ready(name)

    def start_daemon(self, name: str) -> None:
        """Start one daemon without waiting for it."""
        daemon = self.daemons[name]
        arguments = ["--settings", str(daemon.settings)]
        daemon.child = self.children.start(name, "hemlockstand.daemon", arguments)

    def wait_ready(self, name: str, seconds: float = START_SECONDS) -> None:
        """Wait until a daemon reports that it is ready."""
        url = f"http://{self.daemons[name].operator}/ready"
        self.wait_http(url, name, seconds)

    def start_balancer(self) -> None:
        """Start the balancer and wait until it finds all daemons ready."""
        backends = [
            f"{daemon.caller}/{daemon.operator}" for daemon in self.daemons.values()
        ]
        arguments = [
            f"--host={self.layout.balancer_host}",
            f"--port={BALANCER_PORT}",
            f"--control_port={BALANCER_CONTROL_PORT}",
            f"--lag_seconds={self.balancer_lag_seconds}",
            f"--backends={','.join(backends)}",
        ]
        self.children.start("balancer", "emulator.balancer", arguments)
        self.wait_until(self._all_backends_ready, START_SECONDS, "balancer")

    def wait_http(self, url: str, child: str, seconds: float = START_SECONDS) -> None:
        """Wait until a URL answers 200, as ``wait_until`` does."""
        self.wait_until(lambda: self.http.get(url).status_code == 200, seconds, child)

    def wait_until(
        self, check: Callable[[], bool], seconds: float, child: str = ""
    ) -> float:
        """Wait for a condition and return how long it took, in seconds.

        Raises ``FleetError``, with the end of the child's log, after the time
        or when the named child ends. HTTP errors of the check count as false.
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

        ``exit_code`` and ``error``, the text on standard error, are added to
        it. With ``check``, an exit code other than 0 raises ``FleetError``.
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
        """Apply a sheet, by default the shape's, and wait for all daemons."""
        path = file or SHEETS / self.shape.sheet
        base = self.ctl("config", "version")["version"]
        today = datetime.now(UTC).date().isoformat()
        return self.ctl(
            *("sheet", "apply", str(path), f"--version={base}", f"--day={today}"),
            WAIT_IN_FORCE,
        )

    def grant_key(self, name: str, team: str) -> str:
        """Grant a key, wait for all daemons and return the key's text."""
        granted = self.ctl("key", "grant", name, f"--team={team}", WAIT_IN_FORCE)
        return granted["key"]

    def start_load(self, name: str, plan: LoadPlan) -> Child:
        """Start a process of the load tool with a plan."""
        path = self.children.directory / f"{name}.plan"
        path.write_bytes(msgspec.json.encode(plan))
        report = path.with_suffix(".report")
        arguments = [f"--plan={path}", f"--report={report}"]
        return self.children.start(name, "emulator.load", arguments)

    def finish_load(self, load: Child, seconds: float = LOAD_END_SECONDS) -> dict:
        """Wait for a process of the load tool and return its report."""
        if load.wait(seconds) != 0:
            raise FleetError(f"load tool {load.name} failed:\n{load.read_log_tail()}")
        path = self.children.directory / f"{load.name}.report"
        return msgspec.json.decode(path.read_bytes())

    def set_faults(self, **values: Any) -> None:
        """Set the fields of ``FaultRequest`` at the platform stand-in."""
        self._post(f"{self.layout.platform}/faults", values)

    def set_profiles(self, profiles: Mapping[str, Mapping[str, Any]]) -> None:
        """Set the actual behaviour of the tasks of jobs, by job."""
        self._post(f"{self.layout.platform}/profiles", profiles)

    def set_behaviour(self, executor: str, **values: Any) -> None:
        """Set the fields of ``Behaviour`` at one executor."""
        address = self.executors[executor].address
        self._post(f"http://{address}/behaviour", values)

    def read_record(self, since: int = 0) -> dict[str, Any]:
        """Return the platform's counters, and its events from a number on."""
        url = f"{self.layout.platform}/record"
        return self.http.get(url, params={"since": str(since)}).json()

    def read_rows(self, prefix: str) -> dict[str, dict[str, Any]]:
        """Return the values of the table's rows with a prefix, by key.

        One scan returns at most 5,000 rows.
        """
        url = f"{self.layout.platform}/table/scan"
        params = {"prefix": prefix, "limit": "5000"}
        rows = self.http.get(url, params=params).json()["rows"]
        return {row["key"]: row["value"] for row in rows}

    def read_runs(self) -> list[dict[str, Any]]:
        """Return the runs of all executors, ordered by their start."""
        runs: list[dict[str, Any]] = []
        for desk in self.shape.desks:
            address = self.layout.list_desk(desk)[0].address
            runs.extend(self.http.get(f"http://{address}/record").json()["runs"])
        return sorted(runs, key=lambda run: run["start"])

    @property
    def _link_url(self) -> str:
        return f"http://{self.layout.link_host}:{LINK_CONTROL_PORT}/links"

    def _all_backends_ready(self) -> bool:
        backends = self.http.get(self.layout.balancer_control).json()["backends"]
        return all(backend["ready"] for backend in backends)

    def _post(self, url: str, body: Mapping[str, Any]) -> None:
        response = self.http.post(url, json=dict(body))
        if response.status_code != 200:
            raise FleetError(f"{url}: {response.status_code} {response.text}")


def read_sheet(file: Path) -> list[dict[str, str]]:
    """Return the rows of a sheet, for programs that derive other sheets."""
    with file.open(encoding="utf-8", newline="") as stream:
        return list(csv.DictReader(stream))
