"""Heartbeats: what a daemon tells of itself and takes from others."""

from attrs import define

from hemlockstand.coordination.freshness import FreshnessTracker
from hemlockstand.coordination.membership import MembershipView, Peer
from hemlockstand.peers import peer_pb2
from hemlockstand.peers.demands import Demand, DemandBoard

MEMBERS_PER_BEAT = 12
DEMANDS_PER_BEAT = 24


@define
class BeatMaker:
    """Makes the beats of one daemon and takes those of its peers."""

    daemon: str
    incarnation: str
    data_centre: str
    view: MembershipView
    board: DemandBoard
    tracker: FreshnessTracker
    address: str = ""

    def make(self, receiver: str, leaving: bool) -> peer_pb2.Beat:
        """Return a beat without a freshness report."""
        beat = peer_pb2.Beat(
            sender=self.daemon,
            incarnation=self.incarnation,
            data_centre=self.data_centre,
            address=self.address,
            leaving=leaving,
            configuration_version=self.tracker.version,
        )
        for team, demand in self.board.choose(DEMANDS_PER_BEAT):
            beat.demands.add(
                team=team,
                waiting=demand.waiting,
                running=demand.running,
                idle=demand.idle,
                served=demand.served,
            )
        for heard in self.view.sample_alive(MEMBERS_PER_BEAT, exclude=receiver):
            peer = heard.peer
            beat.members.add(
                name=peer.name,
                incarnation=peer.incarnation,
                heard_age_ms=round(heard.age * 1000),
                configuration_version=peer.version,
                leaving=peer.leaving,
                data_centre=peer.data_centre,
                address=peer.address,
            )
        return beat

    def take(self, beat: peer_pb2.Beat) -> Peer:
        """Take what a beat says about its sender and about third daemons."""
        sender = Peer(
            name=beat.sender,
            incarnation=beat.incarnation,
            data_centre=beat.data_centre,
            address=beat.address,
            leaving=beat.leaving,
            version=beat.configuration_version,
        )
        self.view.hear(sender)
        demands = {
            entry.team: Demand(entry.waiting, entry.running, entry.idle, entry.served)
            for entry in beat.demands
        }
        self.board.receive(beat.sender, demands)
        for entry in beat.members:
            self._take_member(entry)
        return sender

    def _take_member(self, entry: peer_pb2.Member) -> None:
        if entry.name == self.daemon:
            return
        peer = Peer(
            name=entry.name,
            incarnation=entry.incarnation,
            data_centre=entry.data_centre,
            address=entry.address,
            leaving=entry.leaving,
            version=entry.configuration_version,
        )
        self.view.hear(peer, entry.heard_age_ms / 1000)
