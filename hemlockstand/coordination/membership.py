"""Partial-view membership: who takes part and who was heard of lately.

Candidates come from a list that lags. Contacts with peers, and what peers say
about third ones, tell who is alive. Only ages travel, never times of day::

    >>> now = 10.0
    >>> view = MembershipView(suspect_after_seconds=5.0, clock=lambda: now)
    >>> view.add_candidate(Peer("entry-2", data_centre="dc1", address="10.0.0.2:8102"))
    >>> view.is_alive("entry-2")
    False
    >>> view.update_peer(Peer("entry-2", "entry-2-5f", "dc1", "10.0.0.2:8102"), age=1.0)
    >>> view.is_alive("entry-2")
    True
    >>> now = 15.0
    >>> view.is_alive("entry-2")
    False
"""

from collections.abc import Callable, Iterable, Iterator
from math import ceil, inf
from random import Random
from zlib import crc32

import trio
from attrs import define, evolve, field, frozen

# A digest has one byte for each listed process: the high half is the age in
# these units, the low half the number of versions behind the sender.
DIGEST_UNIT_SECONDS = 0.5
DIGEST_LIMIT = 15
# A changed identity goes before others in what a process tells for this long.
RECENT_SECONDS = 30.0


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


@frozen
class Digest:
    """Age and version of every listed process, in the order of the names.

    ``checksum`` is that of the names; a receiver with another list cannot
    read the entries.
    """

    checksum: int
    entries: bytes


@define
class MembershipView:
    """What one process knows of the others."""

    suspect_after_seconds: float
    clock: Callable[[], float] = trio.current_time
    random: Random = field(factory=Random)
    _peers: dict[str, Peer] = field(factory=dict, init=False)
    _heard_at: dict[str, float] = field(factory=dict, init=False)
    _changed_at: dict[str, float] = field(factory=dict, init=False)
    _told_at: dict[str, float] = field(factory=dict, init=False)
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

    def update_peer(self, peer: Peer, age: float = 0.0) -> None:
        """Take news of a peer that was true ``age`` seconds ago."""
        told_at = self.clock() - age
        self._note_heard(peer.name, told_at)
        if told_at <= self._told_at.get(peer.name, -inf):
            return
        known = self._peers.get(peer.name, peer)
        if known.incarnation == peer.incarnation:
            # An incarnation that leaves never comes back, so news that
            # overtook each other on the way do not matter.
            peer = evolve(peer, leaving=peer.leaving or known.leaving)
        if (known.incarnation, known.leaving) != (peer.incarnation, peer.leaving):
            self._changed_at[peer.name] = self.clock()
        self._told_at[peer.name] = told_at
        self._peers[peer.name] = self._locate(
            evolve(
                peer,
                data_centre=peer.data_centre or known.data_centre,
                address=peer.address or known.address,
                version=max(peer.version, known.version),
            )
        )

    def make_digest(self, own_name: str, version: int) -> Digest:
        """Return the digest of the list for a peer."""
        names = self._order_names(own_name)
        entries = (self._encode_entry(name, own_name, version) for name in names)
        return Digest(_checksum(names), bytes(entries))

    def apply_digest(self, own_name: str, digest: Digest, version: int) -> bool:
        """Take a peer's digest and its version.

        Returns False, without effect, if the peer has another list.
        """
        names = self._order_names(own_name)
        if digest.checksum != _checksum(names) or len(digest.entries) != len(names):
            return False
        for name, entry in zip(names, digest.entries, strict=True):
            if name != own_name:
                self._take_entry(name, *divmod(entry, DIGEST_LIMIT + 1), version)
        return True

    def _order_names(self, own_name: str) -> list[str]:
        return sorted({own_name, *self._listed})

    def _encode_entry(self, name: str, own_name: str, version: int) -> int:
        if name == own_name:
            return 0
        if name not in self._peers:
            return DIGEST_LIMIT * (DIGEST_LIMIT + 1)
        # Rounded up, as rounding down at each hop would keep a dead peer alive.
        units = min(self.age(name) / DIGEST_UNIT_SECONDS, DIGEST_LIMIT)
        behind = max(0, version - self._peers[name].version)
        high, low = ceil(units), min(behind, DIGEST_LIMIT)
        return high * (DIGEST_LIMIT + 1) + low

    def _take_entry(self, name: str, units: int, behind: int, version: int) -> None:
        if units == DIGEST_LIMIT or name not in self._peers:
            return
        self._note_heard(name, self.clock() - units * DIGEST_UNIT_SECONDS)
        if behind < DIGEST_LIMIT:
            known = self._peers[name]
            newest = max(known.version, version - behind)
            self._peers[name] = evolve(known, version=newest)

    def _note_heard(self, name: str, heard_at: float) -> None:
        self._heard_at[name] = max(heard_at, self._heard_at.get(name, -inf))

    def _locate(self, peer: Peer) -> Peer:
        """Return the peer with the whereabouts of the list, if it is there."""
        listed = self._listed.get(peer.name)
        if listed is None:
            return peer
        return evolve(
            peer,
            data_centre=listed.data_centre,
            address=listed.address,
            leaving=peer.leaving or listed.leaving,
        )

    def forget(self, name: str) -> None:
        """Drop a peer, for example one whose address is another's."""
        self._peers.pop(name, None)
        for times in (self._heard_at, self._told_at, self._changed_at):
            times.pop(name, None)

    def is_alive(self, name: str) -> bool:
        """Tell whether the peer was heard of lately."""
        return self.age(name) < self.suspect_after_seconds

    def age(self, name: str) -> float:
        """Return the seconds since the peer was heard of, ``inf`` if never."""
        return self.clock() - self._heard_at.get(name, -inf)

    def count(self) -> int:
        """Return the number of known peers."""
        return len(self._peers)

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
        """Return some live peers to tell another about, with the age of news.

        Half of them are such whose incarnation changed or who leave, if there
        are any, and the others are random.
        """
        alive = [
            name
            for name in self._told_at
            if name != exclude and name in self._peers and self.is_alive(name)
        ]
        recent = [name for name in alive if self._is_recent(name)]
        chosen = self.random.sample(recent, min(count // 2, len(recent)))
        others = [name for name in alive if name not in chosen]
        room = count - len(chosen)
        chosen += self.random.sample(others, min(room, len(others)))
        now = self.clock()
        return [
            HeardPeer(self._peers[name], now - self._told_at[name]) for name in chosen
        ]

    def _is_recent(self, name: str) -> bool:
        return self.clock() - self._changed_at.get(name, -inf) < RECENT_SECONDS

    def is_listed(self, name: str) -> bool:
        """Tell whether the peer is in the list of candidates."""
        return name in self._listed

    def choose_targets(self, data_centre: str, oldest: str | None) -> list[Peer]:
        """Choose whom to exchange with in this round, without repeats.

        One random peer of the own data centre, one of the others, and one of
        the data centre that was heard of longest ago, if any is asked for.
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


def _checksum(names: list[str]) -> int:
    return crc32("\n".join(names).encode())
