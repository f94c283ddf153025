"""Stand-ins of the services that limits and orders depend on."""

from types import SimpleNamespace

import trio
from attrs import define, evolve, field

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.model import Configuration, Team
from hemlockstand.platform.memory import MemoryTable
from hemlockstand.settings import load_settings


@define
class TableLink:
    """One daemon's connection to the common table; ``up`` cuts it."""

    table: MemoryTable
    up: bool = True
    seconds: float = 0.0

    def _check(self):
        if not self.up:
            raise PlatformUnavailable("cut by the test")

    async def read(self, key):
        self._check()
        return await self.table.read(key)

    async def read_many(self, keys):
        self._check()
        return await self.table.read_many(keys)

    async def scan(self, prefix, after="", limit=500):
        self._check()
        return await self.table.scan(prefix, after, limit)

    async def transact(self, operations):
        if self.seconds:
            await trio.sleep(self.seconds)
        self._check()
        return await self.table.transact(operations)


@define
class FakeFreshness:
    """Freshness that the test sets by scope value."""

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
    """A configuration that all daemons see at once."""

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


@define
class FakePeers:
    """Peers of one daemon; ``fleet`` maps names to the other kernels."""

    name: str
    incarnation: str
    data_centre: str
    fleet: dict
    alive: bool = True
    published: dict = field(factory=dict)
    answer: object = None

    def members(self):
        return [
            SimpleNamespace(
                name=peers.name,
                incarnation=peers.incarnation,
                data_centre=peers.data_centre,
                alive=peers.alive,
                leaving=False,
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
    """A kernel with the stand-ins of one daemon."""

    def __init__(self, settings, table, configuration, fleet):
        self.settings = settings
        daemon = settings.daemon
        peers = FakePeers(daemon.name, f"inc-{daemon.name}", daemon.data_centre, fleet)
        fleet[daemon.name] = peers
        self.link = TableLink(table)
        self.services = {
            "platform": SimpleNamespace(platform=SimpleNamespace(table=self.link)),
            "configuration": configuration,
            "freshness": FakeFreshness(),
            "peers": peers,
        }

    def find(self, name, kind):
        return self.services[name]


SETTINGS = """
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
[limits]
reserved_fraction = {reserved}
"""


class Fleet:
    """Kernels over one table and one configuration."""

    def __init__(self, directory, reserved=0.0):
        self.directory = directory
        self.reserved = reserved
        self.table = MemoryTable()
        self.configuration = FakeConfiguration()
        self.peers = {}

    def add(self, name, data_centre="dc1"):
        path = self.directory / f"{name}.ini"
        path.write_text(
            SETTINGS.format(name=name, data_centre=data_centre, reserved=self.reserved)
        )
        settings = load_settings(path)
        return FakeKernel(settings, self.table, self.configuration, self.peers)
