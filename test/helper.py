"""Helpers that the tests share."""

from pathlib import Path

import trio
from attrs import define, field

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.platform.interface import InstanceRecord, Table
from hemlockstand.platform.memory import MemoryObjects, MemoryTable

MINIMAL_SETTINGS = """
[daemon]
name = entry-1
region = central
data_centre = dc1
data_centres = dc1, dc2
[platform]
url = http://127.0.0.1:9000
[peers]
secret = 0123456789abcdef
[operators]
token = 0123456789abcdef
"""


def write_settings(directory: Path, extra: str = "") -> Path:
    """Write a valid settings file, with ``extra`` sections after it."""
    path = directory / "hemlockd.ini"
    path.write_text(MINIMAL_SETTINGS + extra, encoding="utf-8")
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


class SwitchedTable(MemoryTable):
    """A table that one daemon reaches over a path that can be cut."""

    def __init__(self, shared: MemoryTable) -> None:
        super().__init__(rows=shared.rows)
        self.shared = shared
        self.down = False
        self.delay_seconds = 0.0

    async def read_many(self, keys):
        """Read from the shared table if the path is up."""
        await self._pass()
        return await self.shared.read_many(keys)

    async def read(self, key):
        """Read from the shared table if the path is up."""
        await self._pass()
        return await self.shared.read(key)

    async def scan(self, prefix, after="", limit=500):
        """Scan the shared table if the path is up."""
        await self._pass()
        return await self.shared.scan(prefix, after, limit)

    async def transact(self, operations):
        """Write to the shared table if the path is up."""
        await self._pass()
        return await self.shared.transact(operations)

    async def _pass(self) -> None:
        await trio.sleep(self.delay_seconds)
        if self.down:
            raise PlatformUnavailable("table is down")


@define
class MemoryPlatform:
    """Platform of one daemon in a test; the parts may be shared."""

    table: Table = field(factory=MemoryTable)
    objects: MemoryObjects = field(factory=MemoryObjects)
    instances: ListedInstances = field(factory=ListedInstances)

    async def close(self) -> None:
        """Close nothing."""


class YieldingTable(MemoryTable):
    """A table whose calls let other tasks run first, as real calls do."""

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
