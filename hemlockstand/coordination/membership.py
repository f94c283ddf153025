"""Partial-view membership: who takes part and who was heard of lately.

Candidates come from a list that lags. Contacts with peers, and what peers say
about third ones, tell who is alive. Only ages travel, never times of day::

    >>> now = 10.0
    >>> view = MembershipView(suspect_after_seconds=5.0, clock=lambda: now)
    >>> view.add_candidate(Peer("entry-2", data_centre="dc1", address="10.0.0.2:8102"))
    >>> view.is_alive("entry-2")
    False
    >>> view.hear(Peer("entry-2", "entry-2-5f", "dc1", "10.0.0.2:8102"), age=1.0)
    >>> view.is_alive("entry-2")
    True
    >>> now = 15.0
    >>> view.is_alive("entry-2")
    False
"""

from collections.abc import Callable, Iterable, Iterator
from math import inf
from random import Random

import trio
from attrs import define, evolve, field, frozen


@frozen
class Peer:
    """Another process: its identity, whereabouts and version.

    The incarnation differs for each start of a process; it is empty until
    the process was heard of.
    """

    name: str
    incarnation: str = ""
    data_centre: str = ""
    address: str = ""
    leaving: bool = False
    version: int = 0


@frozen
class HeardPeer:
    """A peer with the time since it was last heard of, in seconds."""

    peer: Peer
    age: float


@define
class MembershipView:
    """What one process knows of the others."""

    suspect_after_seconds: float
    clock: Callable[[], float] = trio.current_time
    random: Random = field(factory=Random)
    _peers: dict[str, Peer] = field(factory=dict, init=False)
    _heard_at: dict[str, float] = field(factory=dict, init=False)
    _listed: dict[str, Peer] = field(factory=dict, init=False)

    def add_candidate(self, peer: Peer) -> None:
        """Take a peer that may exist; what was heard from it stays."""
        self._peers.setdefault(peer.name, peer)

    def set_candidates(self, peers: Iterable[Peer]) -> None:
        """Take the whole list of candidates.

        Data centre and address of the list go before those that a peer tells
        of itself, because the list may route around parts of the network.
        Peers that are neither listed nor alive are forgotten. The list lags,
        so one that was heard of lately is kept although it is not listed.
        """
        self._listed = {peer.name: peer for peer in peers}
        for name, peer in self._listed.items():
            self._peers[name] = self._locate(self._peers.get(name, peer))
        for name in tuple(self._peers):
            if name not in self._listed and not self.is_alive(name):
                self.forget(name)

    def hear(self, peer: Peer, age: float = 0.0) -> None:
        """Take news of a peer that was true ``age`` seconds ago."""
        heard_at = self.clock() - age
        if heard_at <= self._heard_at.get(peer.name, -inf):
            return
        known = self._peers.get(peer.name, peer)
        self._heard_at[peer.name] = heard_at
        self._peers[peer.name] = self._locate(
            evolve(
                peer,
                data_centre=peer.data_centre or known.data_centre,
                address=peer.address or known.address,
            )
        )

    def _locate(self, peer: Peer) -> Peer:
        """Return the peer with the whereabouts of the list, if it is there."""
        listed = self._listed.get(peer.name)
        if listed is None:
            return peer
        return evolve(peer, data_centre=listed.data_centre, address=listed.address)

    def forget(self, name: str) -> None:
        """Drop a peer, for example one whose address is another's."""
        self._peers.pop(name, None)
        self._heard_at.pop(name, None)

    def is_alive(self, name: str) -> bool:
        """Tell whether the peer was heard of lately."""
        return self.age(name) < self.suspect_after_seconds

    def age(self, name: str) -> float:
        """Return the seconds since the peer was heard of, ``inf`` if never."""
        return self.clock() - self._heard_at.get(name, -inf)

    def get(self, name: str) -> Peer | None:
        """Return the peer of that name."""
        return self._peers.get(name)

    def find_incarnation(self, incarnation: str) -> Peer | None:
        """Return the peer that last had this incarnation."""
        for peer in self._peers.values():
            if peer.incarnation == incarnation:
                return peer
        return None

    def list_peers(self) -> list[HeardPeer]:
        """Return all known peers."""
        return [HeardPeer(peer, self.age(name)) for name, peer in self._peers.items()]

    def list_alive(self, data_centre: str) -> list[Peer]:
        """Return the live peers of a data centre."""
        return [
            heard.peer
            for heard in self.list_peers()
            if heard.age < self.suspect_after_seconds
            and heard.peer.data_centre == data_centre
        ]

    def sample_alive(self, count: int, exclude: str) -> list[HeardPeer]:
        """Return up to ``count`` random live peers to tell another about."""
        alive = [
            heard
            for heard in self.list_peers()
            if heard.age < self.suspect_after_seconds and heard.peer.name != exclude
        ]
        return self.random.sample(alive, min(count, len(alive)))

    def choose_targets(self, data_centre: str, oldest: str) -> list[Peer]:
        """Choose whom to exchange with in this round, without repeats.

        One random peer of the own data centre, one of the others, and one of
        the data centre that was heard of longest ago.
        """
        chosen: dict[str, Peer] = {}
        for matches in (
            lambda peer: peer.data_centre == data_centre,
            lambda peer: peer.data_centre != data_centre,
            lambda peer: peer.data_centre == oldest,
        ):
            for peer in self._choose_one(matches, chosen):
                chosen[peer.name] = peer
        return list(chosen.values())

    def _choose_one(
        self, matches: Callable[[Peer], bool], chosen: dict[str, Peer]
    ) -> Iterator[Peer]:
        eligible = [
            peer
            for peer in self._peers.values()
            if peer.address and peer.name not in chosen and matches(peer)
        ]
        if eligible:
            yield self.random.choice(eligible)
