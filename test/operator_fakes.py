"""The operator port of a daemon in the test process, on a table in memory."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from io import StringIO
from pathlib import Path
from typing import Any

import trio
from attrs import define

from hemlockstand.configuration.changes import CommittedChange, apply_change
from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.configuration.store import ConfigurationStore
from hemlockstand.ctl.main import run_command
from hemlockstand.health import HealthService
from hemlockstand.kernel import Kernel, Service
from hemlockstand.model import Configuration
from hemlockstand.operators.interface import OperatorsService
from hemlockstand.peers.service import PeersService
from hemlockstand.platform.polling import PolledRows
from hemlockstand.platform.service import PlatformService
from hemlockstand.settings import load_settings
from test.helper import (
    FakeMember,
    ListedInstances,
    MemoryPlatform,
    make_record,
    write_settings,
)

TOKEN = "0123456789abcdef"
POLL_SECONDS = 0.01

SHEET = """kind,name,house,share,request_limit,pool_kind,data_centres,size,budget,\
team,access,idempotent,priority,deadline_seconds,pool,schedule,last_day,cores,\
memory_mb,run_minutes,day
sheet,,,,,,,,,,,,,,,,,,,,2026-12-04
team,quotes,sakda,3,40,,,,,,,,,,,,,,,,
team,ledger,sakda,1,20,,,,,,,,,,,,,,,,
pool,hinge,,,,executors,dc1 dc2,8,1,,,,,,,,,,,,
pool,night,,,,workers,dc1,8,1,,,,,,,,,,,,
queue,stock,,,,,,,,quotes,keyed,yes,interactive,5,hinge,,,,,,
queue,order,,,,,,,,quotes,keyed,no,interactive,5,hinge,,,,,,
job,reconcile,,,,,,,,ledger,,,batch,,night,daily 02:30,2027-01-31,2,4096,30,
"""


def make_platform(**parts: Any) -> MemoryPlatform:
    """Return a platform that lists one executor."""
    record = make_record("exec-1", "127.0.0.1:2", "hinge")
    return MemoryPlatform(instances=ListedInstances([record]), **parts)


class FakeConfiguration(ConfigurationService):
    """Commits to the table at once and polls it only when asked to wait."""

    loaded = True

    def __init__(self, kernel: Kernel, platform: MemoryPlatform) -> None:
        self.store = ConfigurationStore(platform)
        self._current = Configuration()

    @property
    def current(self) -> Configuration:
        return self._current

    async def catch_up(self) -> None:
        for entry in await self.store.read_changes(self._current.version):
            self._current = apply_change(self._current, entry.change)

    async def wait_version(self, version: int) -> None:
        while self._current.version < version:
            await self.catch_up()
            await trio.sleep(POLL_SECONDS)

    async def commit(self, change: Any, base: int) -> int:
        version = await self.store.commit(change, base)
        await self.catch_up()
        return version

    async def history(self, limit: int) -> list[CommittedChange]:
        newest = (await self.store.read_head()).version
        return await self.store.read_changes(max(0, newest - limit), limit)


class FakePeers(PeersService):
    """Returns the members that a test sets and counts the calls."""

    def __init__(self, kernel: Kernel) -> None:
        self.listed_members: list[FakeMember] = []
        self.call_count = 0

    @property
    def incarnation(self) -> str:
        return "i-0"

    def members(self) -> list[FakeMember]:
        self.call_count += 1
        return self.listed_members


class FakePlatformService(PlatformService):
    """Serves a platform in memory instead of one over HTTP."""

    def __init__(self, kernel: Kernel, platform: MemoryPlatform) -> None:
        self.platform = platform
        self.polled = PolledRows(platform.table)


@define
class Outcome:
    """Exit code and output of one run of hemlockctl."""

    code: int
    out: str
    err: str


@define
class Daemon:
    """A running operator port and the fakes behind it."""

    kernel: Kernel
    service: OperatorsService
    configuration: FakeConfiguration
    peers: FakePeers
    platform: MemoryPlatform

    async def run_hemlockctl(self, *words: str, token: str = TOKEN) -> Outcome:
        """Run hemlockctl against this daemon."""
        flags = ["--server", f"http://{self.service.address}", "--token", token]
        return await run_hemlockctl(*words, *flags)


async def run_hemlockctl(*words: str) -> Outcome:
    """Run hemlockctl in this process."""
    out, err = StringIO(), StringIO()
    code = await run_command(words, out, err)
    return Outcome(code, out.getvalue(), err.getvalue())


@asynccontextmanager
async def run_daemon(
    directory: Path,
    platform: MemoryPlatform | None = None,
    services: Sequence[type[Service]] = (),
) -> AsyncIterator[Daemon]:
    """Serve the operator port of a daemon on a free port.

    ``services`` are created and can be found by name, but are not run.
    """
    path = write_settings(directory, "[listen]\noperator_port = 0\n")
    kernel = Kernel(load_settings(path))
    platform = platform or make_platform()
    configuration = FakeConfiguration(kernel, platform)
    await configuration.catch_up()
    peers = FakePeers(kernel)
    kernel._services["configuration"] = configuration
    kernel._services.update(
        peers=peers,
        platform=FakePlatformService(kernel, platform),
        health=HealthService(kernel),
    )
    for kind in services:
        kernel._services[kind.name] = kind(kernel)
    service = OperatorsService(kernel)
    await service.start()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.run)
        yield Daemon(kernel, service, configuration, peers, platform)
        await service.stop()
        nursery.cancel_scope.cancel()


def write_sheet(directory: Path, text: str = SHEET, name: str = "sheet.csv") -> str:
    """Write a sheet and return its path."""
    path = directory / name
    path.write_text(text, encoding="utf-8", newline="")
    return str(path)
