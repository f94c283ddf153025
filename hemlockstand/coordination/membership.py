"""Partial-view membership: the known peers and when each was last heard of.

Candidates come from a list that lags. Which of them are alive is known from
contacts with peers and from what peers report about others. Processes
exchange only ages, never times of day::

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

# A digest has one byte for each listed process. Its high half is the age in
# these units, its low half the number of versions that the process is behind
# the sender.
DIGEST_UNIT_SECONDS = 0.5
DIGEST_LIMIT = 15
# For this long, a peer whose incarnation changed or that is leaving is
# reported to others first.
RECENT_SECONDS = 30.0


@frozen
class Peer:
    """Another process: its identity, location and version.

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

    ``checksum`` is that of the names. A receiver whose list has other names
    cannot read the entries.
    """

    checksum: int
    entries: bytes


@define
class MembershipView:
    """One process's knowledge of its peers."""

    suspect_after_seconds: float
    clock: Callable[[], float] = trio.current_time
    random: Random = field(factory=Random)
    _peers: dict[str, Peer] = field(factory=dict, init=False)
    _heard_at: dict[str, float] = field(factory=dict, init=False)
    _changed_at: dict[str, float] = field(factory=dict, init=False)
    _reported_at: dict[str, float] = field(factory=dict, init=False)
    _listed: dict[str, Peer] = field(factory=dict, init=False)

    def add_candidate(self, peer: Peer) -> None:
        """Add a peer that may exist; a known peer is left unchanged."""
        self._peers.setdefault(peer.name, peer)

    def set_candidates(self, peers: Iterable[Peer]) -> None:
        """Replace the list of candidates.

        The data centre and address in the list take precedence over those
        that a peer reports of itself, because the list may route around parts
        of the network. Peers that are neither listed nor alive are removed.
        The list lags, so a peer that was heard of lately is kept even if it
        is not listed.
        """
        self._listed = {peer.name: peer for peer in peers}
        for name, peer in self._listed.items():
            self._peers[name] = self._with_listed_location(self._peers.get(name, peer))
        for name in tuple(self._peers):
            if name not in self._listed and not self.is_alive(name):
                self.forget(name)

    def update_peer(self, peer: Peer, age: float = 0.0) -> None:
        """Record the state that a peer had ``age`` seconds ago."""
        reported_at = self.clock() - age
        self._record_heard(peer.name, reported_at)
        if reported_at <= self._reported_at.get(peer.name, -inf):
            return
        known = self._peers.get(peer.name, peer)
        if known.incarnation == peer.incarnation:
            # An incarnation that leaves never comes back, so reports that
            # arrive out of order do no harm.
            peer = evolve(peer, leaving=peer.leaving or known.leaving)
        if (known.incarnation, known.leaving) != (peer.incarnation, peer.leaving):
            self._changed_at[peer.name] = self.clock()
        self._reported_at[peer.name] = reported_at
        self._peers[peer.name] = self._with_listed_location(
            evolve(
                peer,
                data_centre=peer.data_centre or known.data_centre,
                address=peer.address or known.address,
                version=max(peer.version, known.version),
            )
        )

    def make_digest(self, own_name: str, version: int) -> Digest:
        """Return the digest of the listed processes for a peer."""
        names = self._order_names(own_name)
        entries = (self._encode_entry(name, own_name, version) for name in names)
        return Digest(_checksum(names), bytes(entries))

    def apply_digest(self, own_name: str, digest: Digest, version: int) -> bool:
        """Apply the digest of a peer that has the given version.

        Returns False, without effect, if the peer has another list.
        """
        names = self._order_names(own_name)
        if digest.checksum != _checksum(names) or len(digest.entries) != len(names):
            return False
        for name, entry in zip(names, digest.entries, strict=True):
            if name != own_name:
                self._apply_entry(name, *divmod(entry, DIGEST_LIMIT + 1), version)
        return True

    def _order_names(self, own_name: str) -> list[str]:
        return sorted({own_name, *self._listed})

    def _encode_entry(self, name: str, own_name: str, version: int) -> int:
        if name == own_name:
            return 0
        if name not in self._peers:
            return DIGEST_LIMIT * (DIGEST_LIMIT + 1)
        # Rounded up: rounding down at each hop would keep a dead peer alive.
        units = min(self.age(name) / DIGEST_UNIT_SECONDS, DIGEST_LIMIT)
        behind = max(0, version - self._peers[name].version)
        high, low = ceil(units), min(behind, DIGEST_LIMIT)
        return high * (DIGEST_LIMIT + 1) + low

    def _apply_entry(self, name: str, units: int, behind: int, version: int) -> None:
        if units == DIGEST_LIMIT or name not in self._peers:
            return
        self._record_heard(name, self.clock() - units * DIGEST_UNIT_SECONDS)
        if behind < DIGEST_LIMIT:
            known = self._peers[name]
            newest = max(known.version, version - behind)
            self._peers[name] = evolve(known, version=newest)

    def _record_heard(self, name: str, heard_at: float) -> None:
        self._heard_at[name] = max(heard_at, self._heard_at.get(name, -inf))

    def _with_listed_location(self, peer: Peer) -> Peer:
        """Return the peer with its location from the list, if it is listed."""
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
        """Remove a peer, for example if another now has its address."""
        self._peers.pop(name, None)
        for times in (self._heard_at, self._reported_at, self._changed_at):
            times.pop(name, None)

    def is_alive(self, name: str) -> bool:
        """Return whether the peer was heard of lately."""
        return self.age(name) < self.suspect_after_seconds

    def age(self, name: str) -> float:
        """Return the seconds since the peer was heard of; ``inf`` if never."""
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
        """Return some live peers to report to another, with their state's age.

        Up to half of them are peers whose incarnation changed lately or that
        are leaving; the others are random.
        """
        alive = [
            name
            for name in self._reported_at
            if name != exclude and name in self._peers and self.is_alive(name)
        ]
        recent = [name for name in alive if self._is_recent(name)]
        chosen = self.random.sample(recent, min(count // 2, len(recent)))
        others = [name for name in alive if name not in chosen]
        room = count - len(chosen)
        chosen += self.random.sample(others, min(room, len(others)))
        now = self.clock()
        return [
            HeardPeer(self._peers[name], now - self._reported_at[name])
            for name in chosen
        ]

    def _is_recent(self, name: str) -> bool:
        return self.clock() - self._changed_at.get(name, -inf) < RECENT_SECONDS

    def is_listed(self, name: str) -> bool:
        """Return whether the peer is in the list of candidates."""
        return name in self._listed

    def choose_targets(self, data_centre: str, oldest: str | None) -> list[Peer]:
        """Return the peers to exchange state with in this round, each once.

        They are one random peer of the own data centre, one of the other data
        centres, and one of ``oldest``, the data centre that was heard of
        longest ago, if it is given.
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
