"""Builds the heartbeats of a daemon and processes those of its peers."""

from math import ceil

from attrs import define, field

from hemlockstand.coordination.freshness import FreshnessTracker
from hemlockstand.coordination.membership import (
    Digest,
    HeardPeer,
    MembershipView,
    Peer,
)
from hemlockstand.peers import peer_pb2
from hemlockstand.peers.demands import Demand, DemandRegistry, PoolDemand, PoolTeam
from hemlockstand.peers.messages import encode_report
from hemlockstand.peers.names import NameIndex
from hemlockstand.peers.suspects import SuspectNoticeBuffer

MEMBERS_PER_HEARTBEAT = 4
# In a small fleet the demands of all teams spread within seconds. In a large
# one the bytes of a heartbeat are needed for the stamps and the digest.
DEMANDS_PER_HEARTBEAT = 12
DEMANDS_PER_HEARTBEAT_OF_LARGE_FLEET = 6
LARGE_FLEET = 12
POOL_DEMANDS_PER_HEARTBEAT = 40
POOL_DEMANDS_PER_HEARTBEAT_OF_LARGE_FLEET = 12


@define
class HeartbeatHandler:
    """Builds the heartbeats of one daemon and processes those of its peers."""

    daemon: str
    incarnation: str
    data_centre: str
    view: MembershipView
    demand_registry: DemandRegistry[str, Demand]
    tracker: FreshnessTracker
    address: str = ""
    pool_demand_registry: DemandRegistry[PoolTeam, PoolDemand] = field(
        factory=DemandRegistry
    )
    names: NameIndex = field(factory=NameIndex)
    suspect_notices: SuspectNoticeBuffer = field(factory=SuspectNoticeBuffer)

    def make(self, leaving: bool, data_centre: str = "") -> peer_pb2.Beat:
        """Return a heartbeat to be sent to a daemon of a data centre."""
        heartbeat = peer_pb2.Beat(
            sender=self.daemon,
            incarnation=self.incarnation,
            data_centre=self.data_centre,
            address=self.address,
            leaving=leaving,
            configuration_version=self.tracker.version,
        )
        is_large = self.view.count() >= LARGE_FLEET
        max_figures = (
            DEMANDS_PER_HEARTBEAT_OF_LARGE_FLEET if is_large else DEMANDS_PER_HEARTBEAT
        )
        self.names.encode_teams(heartbeat, self.demand_registry.choose(max_figures))
        max_figures = (
            POOL_DEMANDS_PER_HEARTBEAT_OF_LARGE_FLEET
            if is_large
            else POOL_DEMANDS_PER_HEARTBEAT
        )
        self.names.encode_pools(
            heartbeat, self.pool_demand_registry.choose(max_figures)
        )
        if data_centre == self.data_centre:
            self.suspect_notices.encode(heartbeat)
        return heartbeat

    def make_reply(
        self, receiver: str, leaving: bool, data_centre: str = ""
    ) -> peer_pb2.Beat:
        """Return a heartbeat with a freshness report, digest and members."""
        heartbeat = self.make(leaving, data_centre)
        encode_report(heartbeat, self.tracker.make_report())
        digest = self.view.make_digest(self.daemon, self.tracker.version)
        heartbeat.digest.checksum = digest.checksum
        heartbeat.digest.entries = digest.entries
        for heard in self.view.sample_alive(MEMBERS_PER_HEARTBEAT, exclude=receiver):
            self._add_member(heartbeat, heard)
        return heartbeat

    def _add_member(self, heartbeat: peer_pb2.Beat, heard: HeardPeer) -> None:
        peer = heard.peer
        entry = heartbeat.members.add(
            name=peer.name,
            incarnation=peer.incarnation.removeprefix(f"{peer.name}-"),
            heard_age_ms=ceil(heard.age * 1000),
            configuration_version=peer.version,
            leaving=peer.leaving,
        )
        if not self.view.is_listed(peer.name) or len(heartbeat.members) == 1:
            # Listed daemons are sent without data centre and address. The
            # first entry is always complete, for a receiver that cannot read
            # the instance list.
            entry.data_centre = peer.data_centre
            entry.address = peer.address

    def apply(self, heartbeat: peer_pb2.Beat, age: float = 0.0) -> Peer:
        """Apply a heartbeat; return the peer that sent it.

        ``age`` is the longest possible age of the heartbeat in seconds.
        """
        sender = Peer(
            name=heartbeat.sender,
            incarnation=heartbeat.incarnation,
            data_centre=heartbeat.data_centre,
            address=heartbeat.address,
            leaving=heartbeat.leaving,
            version=heartbeat.configuration_version,
        )
        self.view.update_peer(sender, age)
        self.tracker.record_heartbeat(sender.data_centre)
        self.demand_registry.receive(
            heartbeat.sender, self.names.decode_teams(heartbeat)
        )
        self.suspect_notices.decode(heartbeat)
        self.pool_demand_registry.receive(
            heartbeat.sender, self.names.decode_pools(heartbeat)
        )
        for entry in heartbeat.members:
            self._process_member(entry)
        if heartbeat.HasField("digest"):
            digest = Digest(heartbeat.digest.checksum, heartbeat.digest.entries)
            self.view.apply_digest(self.daemon, digest, heartbeat.configuration_version)
        return sender

    def _process_member(self, entry: peer_pb2.Member) -> None:
        if entry.name == self.daemon:
            return
        peer = Peer(
            name=entry.name,
            incarnation=f"{entry.name}-{entry.incarnation}",
            data_centre=entry.data_centre,
            address=entry.address,
            leaving=entry.leaving,
            version=entry.configuration_version,
        )
        self.view.update_peer(peer, entry.heard_age_ms / 1000)
