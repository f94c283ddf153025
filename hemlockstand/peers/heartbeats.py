"""Heartbeats: what a daemon tells of itself and takes from others."""

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
from hemlockstand.peers.demands import Demand, DemandBoard, PoolDemand, PoolTeam
from hemlockstand.peers.messages import encode_report
from hemlockstand.peers.names import NameIndex
from hemlockstand.peers.suspects import SignBoard

MEMBERS_PER_BEAT = 4
# A small fleet hears of all its teams within seconds; a large one has to keep
# the bytes of its heartbeats for stamps and the digest.
DEMANDS_PER_BEAT = 12
DEMANDS_PER_BEAT_OF_LARGE_FLEET = 6
LARGE_FLEET = 12
POOL_DEMANDS_PER_BEAT = 40
POOL_DEMANDS_PER_BEAT_OF_LARGE_FLEET = 12


@define
class BeatMaker:
    """Makes the beats of one daemon and takes those of its peers."""

    daemon: str
    incarnation: str
    data_centre: str
    view: MembershipView
    board: DemandBoard[str, Demand]
    tracker: FreshnessTracker
    address: str = ""
    pool_board: DemandBoard[PoolTeam, PoolDemand] = field(factory=DemandBoard)
    names: NameIndex = field(factory=NameIndex)
    signs: SignBoard = field(factory=SignBoard)

    def make(self, leaving: bool, data_centre: str = "") -> peer_pb2.Beat:
        """Return a beat for a request to a daemon of a data centre."""
        beat = peer_pb2.Beat(
            sender=self.daemon,
            incarnation=self.incarnation,
            data_centre=self.data_centre,
            address=self.address,
            leaving=leaving,
            configuration_version=self.tracker.version,
        )
        is_large = self.view.count() >= LARGE_FLEET
        most = DEMANDS_PER_BEAT_OF_LARGE_FLEET if is_large else DEMANDS_PER_BEAT
        self.names.encode_teams(beat, self.board.choose(most))
        most = (
            POOL_DEMANDS_PER_BEAT_OF_LARGE_FLEET if is_large else POOL_DEMANDS_PER_BEAT
        )
        self.names.encode_pools(beat, self.pool_board.choose(most))
        if data_centre == self.data_centre:
            self.signs.encode(beat)
        return beat

    def make_reply(
        self, receiver: str, leaving: bool, data_centre: str = ""
    ) -> peer_pb2.Beat:
        """Return a beat with a freshness report and news of third daemons."""
        beat = self.make(leaving, data_centre)
        encode_report(beat, self.tracker.make_report())
        digest = self.view.make_digest(self.daemon, self.tracker.version)
        beat.digest.checksum = digest.checksum
        beat.digest.entries = digest.entries
        for heard in self.view.sample_alive(MEMBERS_PER_BEAT, exclude=receiver):
            self._add_member(beat, heard)
        return beat

    def _add_member(self, beat: peer_pb2.Beat, heard: HeardPeer) -> None:
        peer = heard.peer
        entry = beat.members.add(
            name=peer.name,
            incarnation=peer.incarnation.removeprefix(f"{peer.name}-"),
            heard_age_ms=ceil(heard.age * 1000),
            configuration_version=peer.version,
            leaving=peer.leaving,
        )
        if not self.view.is_listed(peer.name) or len(beat.members) == 1:
            # The first entry is always complete, for a receiver that cannot
            # read the instance list.
            entry.data_centre = peer.data_centre
            entry.address = peer.address

    def take(self, beat: peer_pb2.Beat, age: float = 0.0) -> Peer:
        """Take what a beat says about its sender and about third daemons.

        ``age`` is the longest time since the beat was made, in seconds.
        """
        sender = Peer(
            name=beat.sender,
            incarnation=beat.incarnation,
            data_centre=beat.data_centre,
            address=beat.address,
            leaving=beat.leaving,
            version=beat.configuration_version,
        )
        self.view.hear(sender, age)
        self.tracker.record_news(sender.data_centre)
        self.board.receive(beat.sender, self.names.decode_teams(beat))
        self.signs.decode(beat)
        self.pool_board.receive(beat.sender, self.names.decode_pools(beat))
        for entry in beat.members:
            self._take_member(entry)
        if beat.HasField("digest"):
            digest = Digest(beat.digest.checksum, beat.digest.entries)
            self.view.take_digest(self.daemon, digest, beat.configuration_version)
        return sender

    def _take_member(self, entry: peer_pb2.Member) -> None:
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
        self.view.hear(peer, entry.heard_age_ms / 1000)
