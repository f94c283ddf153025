"""Simulated daemons on one stepped table, and the requests that they sent."""

from attrs import define, field

from hemlockstand.coordination.escrow import Escrow, split_limit
from hemlockstand.coordination.lease import HolderLease, HolderWatch, LeaseTerms
from hemlockstand.platform.memory import MemoryTable
from hemlockstand.requests.reclaim import Reclaimer
from hemlockstand.requests.slots import TeamSlots
from test.stepped import CoroutineDriver, SteppedTable

TERMS = LeaseTerms(lease_seconds=4, grant_seconds=6, proof_seconds=2)
MARGIN_SECONDS = 1.0
DATA_CENTRES = ["dc1", "dc1", "dc2"]
RESERVED_FRACTION = 0.4


@define
class SentRequest:
    """A sent request, which runs until ``ends_at`` at the latest."""

    ends_at: float


@define
class SlotRequest:
    """A slot and its request, if that was sent."""

    slot: object
    sent: SentRequest | None = None


@define(slots=False, eq=False)
class Daemon:
    """A daemon's lease, slots and reclaimer.

    Each driver runs at most one operation on the table, which a test advances
    call by call.
    """

    world: "World"
    name: str
    data_centre: str
    session_number: int = 0
    paused: bool = False
    requests: list = field(factory=list)
    renewal: CoroutineDriver = field(factory=CoroutineDriver)
    moving: CoroutineDriver = field(factory=CoroutineDriver)
    reclaiming: CoroutineDriver = field(factory=CoroutineDriver)

    def __attrs_post_init__(self):
        self.start_session()

    def start_session(self):
        """Start a new session, as after a restart."""
        self.session_number += 1
        self.requests = []
        self.outage_proofs = {}
        self.paused = False
        table = SteppedTable(self.world.table, self.world.late)
        clock = self.world.clock
        self.lease = HolderLease(
            table, self.name, f"s{self.session_number}", self.data_centre, TERMS, clock
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
            MARGIN_SECONDS,
        )
        watch = HolderWatch(table, MARGIN_SECONDS, clock)
        self.reclaimer = Reclaimer(table, watch, self.data_centre)
        self.table = table

    def may_use(self, part, keyed):
        proved_at = self.outage_proofs.get(part, float("-inf"))
        age = self.world.now - proved_at
        return self.lease.is_valid() or self.lease.is_covered_by_outage(part, age)

    def drivers(self):
        return (self.renewal, self.moving, self.reclaiming)

    def kill(self):
        for driver in self.drivers():
            driver.kill()
        self.start_session()


class World:
    """The table, the time, the configuration, the daemons and sent requests.

    ``late`` holds the operations of table calls that arrive late.
    """

    def __init__(self, limit):
        self.now = 0.0
        self.table = MemoryTable()
        self.late = []
        self.sent_requests = []
        self.down = set()
        self.version = 1
        self.split = split_limit(limit, RESERVED_FRACTION, {"dc1", "dc2"}, 1)
        self.daemons = [
            Daemon(self, f"d{index}", centre)
            for index, centre in enumerate(DATA_CENTRES)
        ]

    def clock(self):
        return self.now

    def set_limit(self, limit):
        self.version += 1
        self.split = split_limit(limit, RESERVED_FRACTION, {"dc1", "dc2"}, self.version)

    def in_use(self):
        return sum(sent.ends_at > self.now for sent in self.sent_requests)

    def allowed(self):
        """Return the largest limit that any daemon has in force."""
        return max(daemon.slots.split.limit for daemon in self.daemons)
