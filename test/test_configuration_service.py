"""Daemons agree on the newest configuration and never go back."""

from contextlib import asynccontextmanager

import pytest
import trio

from hemlockstand.configuration.changes import Change, PutEntity, new_change_id
from hemlockstand.configuration.freshness import FreshnessService
from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.coordination.freshness import Scope
from hemlockstand.kernel import Kernel
from hemlockstand.model import Team
from hemlockstand.peers.service import PeersService
from hemlockstand.platform.memory import MemoryTable
from hemlockstand.settings import load_settings
from test.helper import MemoryPlatform, SwitchedTable, write_settings

TIMEOUT_SECONDS = 30
FAST = """
[configuration]
poll_seconds = 0.1
snapshot_every = 10
[keys]
freshness_seconds = 1
[listen]
peer_port = 0
"""


def make_change(number: int) -> Change:
    """Return a change that sets the share of one team."""
    team = Team("quotes", "sakda", float(number), 40)
    return Change(new_change_id(), "planner", "2026-12-04", (PutEntity(team),))


class Daemon:
    """The configuration half of a daemon in this process."""

    def __init__(self, kernel: Kernel, platform: MemoryPlatform) -> None:
        self.platform = platform
        self.kernel = kernel
        self.configuration = kernel.find("configuration", ConfigurationService)
        self.freshness = kernel.find("freshness", FreshnessService)
        self.peers = kernel.find("peers", PeersService)


class Fleet:
    """Daemons that share a table and talk over 127.0.0.1."""

    def __init__(self, nursery, directory, monkeypatch) -> None:
        self.table = MemoryTable()
        self.daemons: dict[str, Daemon] = {}
        self._nursery = nursery
        self._directory = directory
        self._platform = None
        monkeypatch.setattr(
            "hemlockstand.platform.service.HttpPlatform",
            lambda url, timeout: self._platform,
        )

    async def add(self, name: str, data_centre: str, down: bool = False) -> Daemon:
        """Start a daemon that knows all earlier ones as seeds."""
        seeds = ", ".join(entry.peers.address for entry in self.daemons.values())
        path = write_settings(self._directory, FAST)
        text = path.read_text()
        text = text.replace(
            "[peers]", f"[peers]\ninterval_seconds = 0.1\nseeds = {seeds}"
        )
        text = text.replace("name = entry-1", f"name = {name}")
        text = text.replace("data_centre = dc1\n", f"data_centre = {data_centre}\n")
        path.write_text(text)
        self._platform = MemoryPlatform(SwitchedTable(self.table))
        self._platform.table.down = down
        self._platform.instances.down = True
        kernel = Kernel(load_settings(path), ("configuration", "freshness", "peers"))
        await self._nursery.start(kernel.serve)
        self.daemons[name] = Daemon(kernel, self._platform)
        return self.daemons[name]


@pytest.fixture
async def fleet(tmp_path, monkeypatch, nursery):
    """Give the test a fleet without daemons."""
    return Fleet(nursery, tmp_path, monkeypatch)


@asynccontextmanager
async def limit_time():
    """Fail a test that waits for something that does not happen."""
    with trio.fail_after(TIMEOUT_SECONDS):
        yield


async def wait_until(condition) -> None:
    """Return once the condition holds."""
    with trio.fail_after(TIMEOUT_SECONDS):
        while not condition():
            await trio.sleep(0.01)


async def test_commit_reaches_cut_off_peer(fleet):
    """Guards against a data centre that depends on the platform alone."""
    first = await fleet.add("entry-1", "dc1")
    second = await fleet.add("entry-2", "dc2")
    second.platform.table.down = True
    assert await first.configuration.commit(make_change(1), 0) == 1
    async with limit_time():
        await second.configuration.wait_version(1)
    assert second.configuration.current.teams["quotes"].share == 1
    await wait_until(lambda: second.freshness.is_fresh(Scope.FLEET))
