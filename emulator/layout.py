"""Addresses of the processes of a fleet, and the daemons' settings."""

import configparser
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from attrs import define, field

from emulator.network import (
    BALANCER_CONTROL_PORT,
    BALANCER_PORT,
    CALLER_PORT,
    FIRST_EXECUTOR_PORT,
    FIRST_LINK_PORT,
    OPERATOR_PORT,
    PEER_PORT,
    PLATFORM_PORT,
    Network,
)
from emulator.processes import Child
from emulator.shapes import (
    WORKER_CORES,
    WORKER_MEMORY_MB,
    WORKERS_PER_RACK,
    FleetShape,
)

SECRET = "fleet-shared-secret"
TOKEN = "fleet-operator-token"
SEEDS = 3  # other daemons in the setting ``peers.seeds`` of each daemon
FIRST_UPSTREAM_HOST = 10
# Placeholder for workers, which are only reached through the platform.
NO_ADDRESS = "127.0.0.1:1"

Overrides = Mapping[str, Mapping[str, Any]]


class FleetError(Exception):
    """A process or a call failed.

    For a process, the message contains the end of its log.
    """


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
    def peer(self) -> str:
        """``HOST:PORT`` for other daemons, which the instance list shows."""
        return f"{self.host}:{PEER_PORT}"

    @property
    def running(self) -> Child:
        """The process; raises ``FleetError`` before its start."""
        if self.child is None:
            raise FleetError(f"daemon {self.name} was not started")
        return self.child


@define
class ExecutorEndpoint:
    """The address at which one executor of a desk listens."""

    name: str
    desk: str
    data_centre: str
    address: str


@define
class PeerLink:
    """A link from the daemons of a data centre to a daemon or the platform.

    ``daemon`` is empty for the platform.
    """

    name: str
    source: str
    daemon: str
    port: int
    target: str

    def format_flag(self) -> str:
        """Return the link as an entry of the link proxy's flag ``links``."""
        return f"{self.name}={self.port}={self.target}"


@define
class Layout:
    """Names and addresses of all processes and instances of a fleet.

    With ``linked``, daemons reach those of other data centres through the
    link proxy, by links named ``SOURCE>TARGET>DAEMON``. With ``metered``,
    daemons reach all peers, and the platform by links named
    ``SOURCE>platform``, through the link proxy, which counts the bytes.
    """

    shape: FleetShape
    network: Network
    directory: Path
    overrides: Overrides
    linked: bool = False
    metered: bool = False
    links: list[PeerLink] = field(factory=list)
    daemons: dict[str, Daemon] = field(factory=dict)
    executors: dict[str, ExecutorEndpoint] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._add_executors()
        self._add_daemons()
        if self.linked or self.metered:
            self._add_links()
        for daemon in self.daemons.values():
            self.write_settings(daemon)

    @property
    def platform_host(self) -> str:
        """IP address of the platform stand-in."""
        return self.network.host(0, 1)

    @property
    def platform(self) -> str:
        """Base URL of the platform stand-in, for its faults and its record."""
        return f"http://{self.platform_host}:{PLATFORM_PORT}"

    @property
    def balancer_host(self) -> str:
        """IP address of the balancer."""
        return self.network.host(0, 2)

    @property
    def balancer(self) -> str:
        """``HOST:PORT`` of the balancer."""
        return f"{self.balancer_host}:{BALANCER_PORT}"

    @property
    def balancer_control(self) -> str:
        """URL at which the balancer lists its backends."""
        return f"http://{self.balancer_host}:{BALANCER_CONTROL_PORT}/backends"

    @property
    def link_host(self) -> str:
        """IP address of the link proxy."""
        return self.network.host(0, 3)

    def platform_port(self, data_centre: str) -> int:
        """Return the platform's port for the daemons of a data centre."""
        return PLATFORM_PORT + 1 + self.shape.data_centres.index(data_centre)

    def list_desk(self, desk: str) -> list[ExecutorEndpoint]:
        """Return the executors of a desk."""
        return [
            endpoint for endpoint in self.executors.values() if endpoint.desk == desk
        ]

    def list_instances(self) -> Iterator[dict[str, Any]]:
        """Yield the bodies that register all instances at the platform."""
        for daemon in self.daemons.values():
            yield self._describe(
                daemon.name, "entry", daemon.data_centre, daemon.peer, 1
            ) | {"addresses": self._list_linked_addresses(daemon)}
        for endpoint in self.executors.values():
            yield self._describe(
                endpoint.name, "executor", endpoint.data_centre, endpoint.address, 1
            ) | {"pool": endpoint.desk}
        for desk in self.shape.desks:
            for number in range(self.shape.workers):
                yield self._describe_worker(desk, number)

    def write_settings(self, daemon: Daemon) -> None:
        """Write the settings file of a daemon."""
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
            "platform": {"url": self._find_platform_url(daemon)},
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

    def _find_platform_url(self, daemon: Daemon) -> str:
        for link in self.links:
            if not link.daemon and link.source == daemon.data_centre:
                return f"http://{self.link_host}:{link.port}"
        port = self.platform_port(daemon.data_centre)
        return f"http://{self.platform_host}:{port}"

    def _list_seeds(self, daemon: Daemon) -> list[str]:
        others = [other for other in self.daemons.values() if other is not daemon]
        return [] if self.links else [other.peer for other in others[:SEEDS]]

    def _list_linked_addresses(self, daemon: Daemon) -> dict[str, str]:
        """Return a daemon's addresses at the link proxy, by data centre."""
        return {
            link.source: f"{self.link_host}:{link.port}"
            for link in self.links
            if link.daemon == daemon.name
        }

    def _add_links(self) -> None:
        pairs = (
            (source, daemon)
            for source in self.shape.data_centres
            for daemon in self.daemons.values()
            if daemon.data_centre != source or self.metered
        )
        for number, (source, daemon) in enumerate(pairs):
            name = f"{source}>{daemon.data_centre}>{daemon.name}"
            port = FIRST_LINK_PORT + number
            self.links.append(PeerLink(name, source, daemon.name, port, daemon.peer))
        if self.metered:
            for source in self.shape.data_centres:
                target = f"{self.platform_host}:{self.platform_port(source)}"
                port = FIRST_LINK_PORT + len(self.links)
                name = f"{source}>platform"
                self.links.append(PeerLink(name, source, "", port, target))

    def _add_executors(self) -> None:
        for position, desk in enumerate(self.shape.desks):
            host = self.network.host(0, FIRST_UPSTREAM_HOST + position)
            for number in range(self.shape.executors):
                name = f"{desk}-{number + 1}"
                data_centre = self.shape.choose_data_centre(number)
                address = f"{host}:{FIRST_EXECUTOR_PORT + number}"
                endpoint = ExecutorEndpoint(name, desk, data_centre, address)
                self.executors[name] = endpoint

    def _add_daemons(self) -> None:
        for number in range(self.shape.daemons):
            name = f"entry-{number + 1}"
            data_centre = self.shape.choose_data_centre(number)
            third = 1 + self.shape.data_centres.index(data_centre)
            host = self.network.host(third, 1 + number)
            settings = self.directory / f"{name}.ini"
            self.daemons[name] = Daemon(name, data_centre, host, settings)

    def _describe_worker(self, desk: str, number: int) -> dict[str, Any]:
        described = self._describe(
            f"{desk}-worker-{number + 1}",
            "worker",
            self.shape.choose_data_centre(number),
            NO_ADDRESS,
            number // WORKERS_PER_RACK + 1,
        )
        return described | {
            "pool": f"{desk}-workers",
            "cores": WORKER_CORES,
            "memory_mb": WORKER_MEMORY_MB,
        }

    def _describe(
        self, name: str, kind: str, data_centre: str, address: str, rack: int
    ) -> dict[str, Any]:
        return {
            "id": name,
            "kind": kind,
            "region": self.shape.region,
            "data_centre": data_centre,
            "rack": f"{data_centre}-r{rack}",
            "address": address,
        }
