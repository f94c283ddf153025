"""Proof that a copy of a shared log had all committed entries at some time.

A process holds a copy of a log that is kept on a platform. Proofs come from
its own reads, from peers, or, while nobody reaches the platform, from a stamp
of every data centre: the times of the data centre's newest contacts with the
platform. All times are on the process's own clock, and processes exchange
only ages::

    >>> now = 100.0
    >>> tracker = FreshnessTracker(
    ...     data_centre="dc1",
    ...     data_centres=("dc1", "dc2"),
    ...     bound_seconds=4.0,
    ...     clock=lambda: now,
    ... )
    >>> tracker.set_version(7)
    >>> tracker.record_read(sent_at=99.5, version=7)
    True
    >>> tracker.age(Scope.FLEET)
    0.5
    >>> now = 104.0
    >>> tracker.is_fresh(Scope.FLEET)
    False

If the platform fails here and in the other data centre, nothing can have been
committed since::

    >>> tracker.record_failure()
    >>> tracker.is_fresh(Scope.DATA_CENTRE), tracker.is_fresh(Scope.FLEET)
    (True, False)
    >>> tracker.record_report(
    ...     Report(version=7, stamps=(StampAge("dc2", 7, failed_age=0.2),)),
    ...     sent_at=103.9,
    ... )
    >>> tracker.is_fresh(Scope.FLEET)
    True
"""

from collections.abc import Callable
from enum import StrEnum
from math import inf

import trio
from attrs import define, evolve, field, frozen

# If any daemon of a data centre reached the platform within this fraction of
# the bound, the data centre's stamp proves nothing, even if another daemon
# there has failed to reach it since.
CONTRADICTION_FRACTION = 0.5
# A proof younger than this fraction of the bound needs no stamps yet. A read
# each quarter of the bound keeps it younger.
YOUNG_FRACTION = 0.375
# Proofs are valid for 60 seconds at most, so older failures prove nothing.
FAILURE_MEMORY_SECONDS = 60.0


class Scope(StrEnum):
    """The data centres whose commits matter to a proof."""

    FLEET = "fleet"
    DATA_CENTRE = "data_centre"


@frozen
class StampAge:
    """A data centre's newest contacts with the platform, as ages in seconds.

    ``version`` is the newest version known there. ``failed_age`` is the age of
    the newest failed attempt, ``reached_age`` that of the newest successful
    one; ``inf`` means that there was none.
    """

    data_centre: str
    version: int
    failed_age: float = inf
    reached_age: float = inf


@frozen
class Report:
    """A peer's newest proof and stamps; ages in seconds when it was sent."""

    version: int
    proof_age: float = inf
    stamps: tuple[StampAge, ...] = ()


@frozen
class _Contact:
    """A data centre's newest platform contacts, on this process's clock."""

    version: int = 0
    failed_at: float = -inf
    reached_at: float = -inf


@define
class FreshnessTracker:
    """Keeps the newest freshness proof of one process."""

    data_centre: str
    data_centres: tuple[str, ...]
    bound_seconds: float
    clock: Callable[[], float] = trio.current_time
    version: int = 0
    newest_known_version: int = field(default=0, init=False)
    _proved_at: float = field(default=-inf, init=False)
    _loaded: bool = field(default=False, init=False)
    _contacts: dict[str, _Contact] = field(factory=dict, init=False)
    _heard_at: dict[str, float] = field(factory=dict, init=False)

    def set_version(self, version: int) -> None:
        """Set the version of the local copy, 0 for an empty log."""
        self._loaded = True
        self.version = max(self.version, version)
        self._update_newest_version(version)
        self._update_contact(self.data_centre, version=version)

    def record_read(self, sent_at: float, version: int) -> bool:
        """Record a read that was sent at ``sent_at`` and returned ``version``.

        Returns whether it is a proof. A read that returns an older version
        than one already known came from a stale replica and proves nothing.
        One that returns a newer version is no proof until the copy has caught
        up; call ``set_version`` first.
        """
        self._update_newest_version(version)
        if version < self.newest_known_version:
            return False
        self._update_contact(self.data_centre, reached_at=self.clock())
        if version > self.version:
            return False
        self._proved_at = max(self._proved_at, sent_at)
        return True

    def record_failure(self) -> None:
        """Record that an attempt to reach the platform has failed just now.

        This has no effect until ``set_version`` was called: a process that has
        just started does not know the newest version of its data centre, so it
        makes no stamp.
        """
        if self._loaded:
            self._update_contact(self.data_centre, failed_at=self.clock())

    def record_contact(self) -> None:
        """Record that the platform may have been reached just now."""
        self._update_contact(self.data_centre, reached_at=self.clock())

    def record_version(self, version: int) -> None:
        """Record that a version exists, for example one seen in a request."""
        self._update_newest_version(version)

    def record_report(self, report: Report, sent_at: float) -> None:
        """Record a peer's reply to a request that was sent at ``sent_at``.

        The peer replied at an unknown time after ``sent_at``, so the ages are
        counted from ``sent_at``, which adds the whole round trip.
        """
        self._update_newest_version(report.version)
        for stamp in report.stamps:
            self._update_newest_version(stamp.version)
            if stamp.data_centre in self.data_centres:
                self._merge_stamp(stamp, sent_at)
        if report.version <= self.version:
            self._proved_at = max(self._proved_at, sent_at - report.proof_age)

    def make_report(self) -> Report:
        """Return this process's newest proof and stamps for a peer.

        Stamps are left out while no data centre has failed to reach the
        platform lately, because they prove nothing then.
        """
        stamps = tuple(
            StampAge(
                name,
                contact.version,
                self.clock() - contact.failed_at,
                self.clock() - contact.reached_at,
            )
            for name, contact in self._contacts.items()
            if self._has_failures()
        )
        return Report(self.version, self.age(Scope.FLEET), stamps)

    def is_fresh(self, scope: Scope) -> bool:
        """Return whether the newest proof is within the bound."""
        return self.age(scope) <= self.bound_seconds

    def age(self, scope: Scope) -> float:
        """Return the age of the newest proof in seconds, ``inf`` if none."""
        if self.version < self.newest_known_version:
            return inf
        return min(self.clock() - self._proved_at, self.outage_age(scope))

    def outage_age(self, scope: Scope) -> float:
        """Return the age of the newest proof from stamps alone.

        Such a proof shows that nobody in the scope has reached the platform
        since. So neither this log nor any other row there has changed.
        """
        if self.version < self.newest_known_version:
            return inf
        names = self._list_data_centres(scope)
        return max(self._stamp_age(name) for name in names)

    def stalest_data_centre(self) -> str | None:
        """Return the data centre whose newest information is the oldest.

        Returns ``None`` while the newest proof is young. No stamps are needed
        then, and requests for them made up a third of all exchanges.
        """
        if self.age(Scope.FLEET) < self.bound_seconds * YOUNG_FRACTION:
            return None
        return min(self.data_centres, key=self._last_heard_at)

    def record_heartbeat(self, data_centre: str) -> None:
        """Record that a process of a data centre was heard of just now."""
        self._heard_at[data_centre] = self.clock()

    def _has_failures(self) -> bool:
        failures = (contact.failed_at for contact in self._contacts.values())
        newest = max(failures, default=-inf)
        return self.clock() - newest < FAILURE_MEMORY_SECONDS

    def _list_data_centres(self, scope: Scope) -> tuple[str, ...]:
        match Scope(scope):
            case Scope.FLEET:
                return self.data_centres
            case Scope.DATA_CENTRE:
                return (self.data_centre,)

    def _stamp_age(self, data_centre: str) -> float:
        contact = self._contacts.get(data_centre, _Contact())
        contradiction_seconds = self.bound_seconds * CONTRADICTION_FRACTION
        if contact.version > self.version or contact.failed_at < contact.reached_at:
            return inf
        if self.clock() - contact.reached_at < contradiction_seconds:
            return inf
        return self.clock() - contact.failed_at

    def _last_heard_at(self, data_centre: str) -> float:
        contact = self._contacts.get(data_centre, _Contact())
        heard_at = self._heard_at.get(data_centre, -inf)
        return max(contact.failed_at, contact.reached_at, heard_at)

    def _update_newest_version(self, version: int) -> None:
        self.newest_known_version = max(self.newest_known_version, version)

    def _merge_stamp(self, stamp: StampAge, sent_at: float) -> None:
        self._update_contact(
            stamp.data_centre,
            version=stamp.version,
            failed_at=sent_at - stamp.failed_age,
            reached_at=self._latest_reached_at(stamp, sent_at),
        )

    def _latest_reached_at(self, stamp: StampAge, sent_at: float) -> float:
        """Return the latest time at which the reported contact can have been.

        A known time that lies within the round trip is kept. Otherwise two
        peers that repeat each other's report would move it later with each
        exchange.
        """
        known = self._contacts.get(stamp.data_centre, _Contact()).reached_at
        if known >= sent_at - stamp.reached_age:
            return known
        return self.clock() - stamp.reached_age

    def _update_contact(
        self,
        data_centre: str,
        version: int = 0,
        failed_at: float = -inf,
        reached_at: float = -inf,
    ) -> None:
        known = self._contacts.get(data_centre, _Contact())
        self._contacts[data_centre] = evolve(
            known,
            version=max(known.version, version),
            failed_at=max(known.failed_at, failed_at),
            reached_at=max(known.reached_at, reached_at),
        )
