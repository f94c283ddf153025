"""Helpers shared by the tests."""

from pathlib import Path

import trio
from attrs import define, evolve, field, frozen

from emulator.local_machines import LocalMachines
from emulator.local_workers import LocalWorkers
from hemlockstand.errors import PlatformUnavailable
from hemlockstand.model import Configuration, Team
from hemlockstand.platform.interface import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
    Table,
)
from hemlockstand.platform.memory import MemoryObjects, MemoryTable

MINIMAL_SETTINGS = """
[daemon]
name = {name}
region = central
data_centre = {data_centre}
data_centres = dc1, dc2
[platform]
url = http://127.0.0.1:9000
[peers]
secret = 0123456789abcdef
[operators]
token = 0123456789abcdef
"""


def write_settings(
    directory: Path, extra: str = "", name: str = "entry-1", data_centre: str = "dc1"
) -> Path:
    """Write a valid settings file, with ``extra`` sections after it."""
    path = directory / "hemlockd.ini"
    text = MINIMAL_SETTINGS.format(name=name, data_centre=data_centre)
    path.write_text(text + extra, encoding="utf-8")
    return path


@define
class ListedInstances:
    """An instance list whose entries the test sets."""

    records: list[InstanceRecord] = field(factory=list)
    down: bool = False

    async def list(self) -> list[InstanceRecord]:
        """Return the records, or fail during an outage."""
        if self.down:
            raise PlatformUnavailable("instance list is down")
        return list(self.records)


@define
class SwitchedTable:
    """One daemon's link to a shared table, which a test can cut or delay."""

    shared: MemoryTable
    down: bool = False
    delay_seconds: float = 0.0

    async def read_many(self, keys):
        """Read from the shared table if the link is up."""
        await self._cross_link()
        return await self.shared.read_many(keys)

    async def read(self, key):
        """Read from the shared table if the link is up."""
        await self._cross_link()
        return await self.shared.read(key)

    async def scan(self, prefix, after="", limit=500):
        """Scan the shared table if the link is up."""
        await self._cross_link()
        return await self.shared.scan(prefix, after, limit)

    async def transact(self, operations):
        """Write to the shared table if the link is up."""
        await self._cross_link()
        return await self.shared.transact(operations)

    async def _cross_link(self) -> None:
        await trio.sleep(self.delay_seconds)
        if self.down:
            raise PlatformUnavailable("table is down")


@define
class MemoryPlatform:
    """In-memory platform of one daemon; daemons may share its parts."""

    table: Table = field(factory=MemoryTable)
    objects: MemoryObjects = field(factory=MemoryObjects)
    instances: ListedInstances = field(factory=ListedInstances)
    machines: LocalMachines | None = None
    workers: LocalWorkers = field(factory=lambda: LocalWorkers(lambda: 0.0))

    async def close(self) -> None:
        """Do nothing, because no connections are open."""


class YieldingTable(MemoryTable):
    """A table whose calls yield to other tasks first, as network calls do."""

    async def read(self, key):
        await trio.lowlevel.checkpoint()
        return await super().read(key)

    async def read_many(self, keys):
        await trio.lowlevel.checkpoint()
        return await super().read_many(keys)

    async def scan(self, prefix, after="", limit=500):
        await trio.lowlevel.checkpoint()
        return await super().scan(prefix, after, limit)

    async def transact(self, operations):
        await trio.lowlevel.checkpoint()
        return await super().transact(operations)


def make_record(upstream_id: str, address: str, pool: str) -> InstanceRecord:
    """Return the list entry of an executor in the daemon's data centre."""
    return InstanceRecord(
        upstream_id,
        InstanceKind.EXECUTOR,
        "central",
        "dc1",
        "rack1",
        address,
        InstanceState.LIVE,
        pool,
    )


@frozen
class FakeMember:
    """A daemon as the peers service lists it."""

    name: str
    alive: bool = True
    leaving: bool = False
    configuration_version: int = 0
    data_centre: str = "dc1"
    incarnation: str = "i-1"
    address: str = "127.0.0.1:1"


@define
class FakeFreshness:
    """Freshness service whose answers a test sets by the scope's value."""

    fresh: dict = field(factory=lambda: {"fleet": True, "data_centre": True})
    outage: dict = field(factory=lambda: {"fleet": False, "data_centre": False})

    def is_fresh(self, scope):
        return self.fresh[scope.value]

    def outage_age(self, scope):
        return 0.0 if self.outage[scope.value] else float("inf")

    def record_platform_failure(self):
        pass

    def record_platform_read(self, sent_at):
        pass


@define
class FakeConfiguration:
    """Configuration service whose changes all daemons see at once."""

    current: Configuration = field(factory=lambda: Configuration(version=1))

    def set_limit(self, team, limit):
        teams = {**self.current.teams, team: Team(team, "house", 1.0, limit)}
        version = self.current.version + 1
        self.current = evolve(self.current, version=version, teams=teams)

    def drop_team(self, team):
        teams = {
            name: kept for name, kept in self.current.teams.items() if name != team
        }
        version = self.current.version + 1
        self.current = evolve(self.current, version=version, teams=teams)
