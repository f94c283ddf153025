"""Daemons in one process that share a table and connect over 127.0.0.1."""

import trio

from hemlockstand.configuration.changes import Change, PutEntity, new_change_id
from hemlockstand.configuration.freshness import FreshnessService
from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.configuration.store import HEAD_KEY, change_key
from hemlockstand.kernel import Kernel
from hemlockstand.model import Team
from hemlockstand.peers.service import PeersService
from hemlockstand.platform.interface import Row
from hemlockstand.platform.memory import MemoryObjects, MemoryTable
from hemlockstand.settings import load_settings
from test.helper import MemoryPlatform, SwitchedTable, write_settings

TIMEOUT_SECONDS = 30
# A daemon with this secret and its peers reject the messages of each other.
CUT_OFF_SECRET = b"cut off from peers"
FAST_SETTINGS = """
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
    """Access to the services of a daemon that runs in this process."""

    def __init__(self, kernel: Kernel, platform: MemoryPlatform) -> None:
        self.platform = platform
        self.kernel = kernel
        self.configuration = kernel.find("configuration", ConfigurationService)
        self.freshness = kernel.find("freshness", FreshnessService)
        self.peers = kernel.find("peers", PeersService)


class Fleet:
    """Daemons that share a table and connect over 127.0.0.1."""

    def __init__(self, nursery, directory, monkeypatch, services=()) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.daemons: dict[str, Daemon] = {}
        self._nursery = nursery
        self._directory = directory
        self._services = ("configuration", "freshness", "peers", *services)
        self._platform = None
        monkeypatch.setattr(
            "hemlockstand.platform.service.HttpPlatform",
            lambda url, timeout: self._platform,
        )

    def cut_peers(self, daemon: Daemon) -> None:
        """Cut a daemon off from its peers, in both directions."""
        daemon.peers._client.secret = CUT_OFF_SECRET
        daemon.peers._server.secret = CUT_OFF_SECRET

    def rewind_table(self, version: int) -> None:
        """Delete all changes after ``version`` from the table."""
        newest = self.table.rows[HEAD_KEY].value["version"]
        for later in range(version + 1, newest + 1):
            del self.table.rows[change_key(later)]
        self.table.rows[HEAD_KEY] = Row(HEAD_KEY, {"version": version}, 1)

    async def add(self, name: str, data_centre: str, down: bool = False) -> Daemon:
        """Start a daemon whose seeds are all daemons started before."""
        seeds = ", ".join(entry.peers.address for entry in self.daemons.values())
        path = write_settings(self._directory, FAST_SETTINGS, name, data_centre)
        text = path.read_text()
        text = text.replace(
            "[peers]", f"[peers]\ninterval_seconds = 0.1\nseeds = {seeds}"
        )
        text = text.replace("[platform]", "[platform]\ninstance_poll_seconds = 0.1")
        path.write_text(text)
        self._platform = MemoryPlatform(SwitchedTable(self.table), self.objects)
        self._platform.table.down = down
        self._platform.instances.down = True
        kernel = Kernel(load_settings(path), self._services)
        await self._nursery.start(kernel.serve)
        self.daemons[name] = Daemon(kernel, self._platform)
        return self.daemons[name]


async def wait_until(condition) -> None:
    """Return once the condition holds."""
    with trio.fail_after(TIMEOUT_SECONDS):
        while not condition():
            await trio.sleep(0.01)
