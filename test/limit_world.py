"""Daemons over one stepped table, and the record of what they sent."""

from attrs import define, field

from hemlockstand.coordination.escrow import Escrow, split_limit
from hemlockstand.coordination.lease import HolderLease, HolderWatch, LeaseTerms
from hemlockstand.platform.memory import MemoryTable
from hemlockstand.requests.reclaim import Reclaimer
from hemlockstand.requests.slots import TeamSlots
from test.stepped import SteppedTable, Track

TERMS = LeaseTerms(lease_seconds=4, grant_seconds=6, proof_seconds=2)
MARGIN = 1.0
CENTRES = ["dc1", "dc1", "dc2"]
RESERVED = 0.4


@define
class Sent:
    """A request that was sent; it runs until ``ends_at`` at the latest."""

    ends_at: float


@define
class Requests:
    """A slot and the record of its request, if it was sent."""

    slot: object
    sent: Sent | None = None


@define(slots=False, eq=False)
class Daemon:
    """One process with its own clock view and tracks of table calls."""

    world: "World"
    name: str
    data_centre: str
    number: int = 0
    paused: bool = False
    requests: list = field(factory=list)
    renewal: Track = field(factory=Track)
    moving: Track = field(factory=Track)
    reclaiming: Track = field(factory=Track)

    def __attrs_post_init__(self):
        self.begin()

    def begin(self):
        """Start a new session."""
        self.number += 1
        self.requests = []
        self.stamps = {}
        self.paused = False
        table = SteppedTable(self.world.table, self.world.late)
        clock = self.world.clock
        self.lease = HolderLease(
            table, self.name, f"s{self.number}", self.data_centre, TERMS, clock
        )
        self.split = self.world.split
        escrow = Escrow(table, "limit/team", self.lease.holder)
        self.slots = TeamSlots(
            "team",
            self.data_centre,
            escrow,
            self.split,
            self.may_use,
            clock,
            MARGIN,
        )
        watch = HolderWatch(table, MARGIN, clock)
        self.reclaimer = Reclaimer(table, watch, self.data_centre)
        self.table = table

    def may_use(self, part, keyed):
        proved_at = self.stamps.get(part, float("-inf"))
        age = self.world.now - proved_at
        return self.lease.is_valid() or self.lease.is_covered_by_outage(part, age)

    def tracks(self):
        return (self.renewal, self.moving, self.reclaiming)

    def kill(self):
        for track in self.tracks():
            track.kill()
        self.begin()


class World:
    """The table, the time, the configuration and the record."""

    def __init__(self, limit):
        self.now = 0.0
        self.table = MemoryTable()
        self.late = []
        self.record = []
        self.down = set()
        self.version = 1
        self.split = split_limit(limit, RESERVED, {"dc1", "dc2"}, 1)
        self.daemons = [
            Daemon(self, f"d{index}", centre) for index, centre in enumerate(CENTRES)
        ]

    def clock(self):
        return self.now

    def set_limit(self, limit):
        self.version += 1
        self.split = split_limit(limit, RESERVED, {"dc1", "dc2"}, self.version)

    def in_use(self):
        return sum(sent.ends_at > self.now for sent in self.record)

    def allowed(self):
        """Return the largest limit that is in force anywhere."""
        return max(daemon.slots.split.limit for daemon in self.daemons)
