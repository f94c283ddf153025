"""Fakes of the services that limits and orders depend on."""

from types import SimpleNamespace

from attrs import define, field

from hemlockstand.platform.memory import MemoryTable
from hemlockstand.settings import load_settings
from test.helper import (
    FakeConfiguration,
    FakeFreshness,
    FakeMember,
    MemoryPlatform,
    SwitchedTable,
    write_settings,
)


@define
class FakePeers:
    """Fake peers service of one daemon.

    ``fleet`` maps daemon names to the fake peers services of all daemons.
    """

    name: str
    incarnation: str
    data_centre: str
    fleet: dict
    alive: bool = True
    published: dict = field(factory=dict)
    answer: object = None

    def members(self):
        return [
            FakeMember(
                name=peers.name,
                incarnation=peers.incarnation,
                data_centre=peers.data_centre,
                alive=peers.alive,
                configuration_version=1 << 30,
            )
            for peers in self.fleet.values()
        ]

    def publish_demand(self, team, demand):
        self.published[team] = demand

    def demands(self):
        return {name: peers.published for name, peers in self.fleet.items()}

    def handle_ask(self, function):
        self.answer = function

    async def ask(self, incarnation, team, request_id):
        for peers in self.fleet.values():
            if peers.incarnation == incarnation and peers.alive:
                return await peers.answer(team, request_id)
        return None


class FakeKernel:
    """A kernel that finds the fake services of one daemon."""

    def __init__(self, settings, table, configuration, fleet):
        self.settings = settings
        daemon = settings.daemon
        peers = FakePeers(daemon.name, f"inc-{daemon.name}", daemon.data_centre, fleet)
        fleet[daemon.name] = peers
        self.link = SwitchedTable(table)
        self.services = {
            "platform": SimpleNamespace(platform=MemoryPlatform(self.link)),
            "configuration": configuration,
            "freshness": FakeFreshness(),
            "peers": peers,
        }

    def find(self, name, kind):
        return self.services[name]


class Fleet:
    """Fake kernels that share one table and one configuration."""

    def __init__(self, directory, reserved=0.0):
        self.directory = directory
        self.reserved = reserved
        self.table = MemoryTable()
        self.configuration = FakeConfiguration()
        self.peers = {}

    def add(self, name, data_centre="dc1"):
        limits = f"[limits]\nreserved_fraction = {self.reserved}\n"
        path = write_settings(self.directory, limits, name, data_centre)
        settings = load_settings(path)
        return FakeKernel(settings, self.table, self.configuration, self.peers)
