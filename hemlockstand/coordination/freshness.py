"""Proof that nothing unknown was committed to a shared log as of some time.

A process holds a copy of a log that is kept on a platform. Proofs come from
its own reads, from peers, or, while nobody reaches the platform, from a stamp
of every data centre. All times are on the process's own clock, and only ages
travel between processes::

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

The platform fails here and in the other data centre, so nothing can have been
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

# A daemon of a data centre that reached the platform this recently, as part of
# the bound, contradicts a stamp of another daemon there that did not.
CONTRADICTION_FRACTION = 0.5
# A proof younger than this part of the bound needs no stamps yet. A read each
# quarter of the bound keeps it younger.
YOUNG_FRACTION = 0.375
# Proofs are valid for 60 seconds at most, so older failures are of no use.
FAILURE_MEMORY_SECONDS = 60.0


class Scope(StrEnum):
    """Which data centres could have committed something relevant."""

    FLEET = "fleet"
    DATA_CENTRE = "data_centre"


@frozen
class StampAge:
    """A data centre's newest contact with the platform, in ages (seconds).

    ``version`` is the newest version known there, ``failed_age`` the age of
    the newest failed attempt, ``reached_age`` that of the newest successful
    one; ``inf`` means none.
    """

    data_centre: str
    version: int
    failed_age: float = inf
    reached_age: float = inf


@frozen
class Report:
    """What a peer tells about its proof; ages in seconds when it was sent."""

    version: int
    proof_age: float = inf
    stamps: tuple[StampAge, ...] = ()


@frozen
class _Contact:
    """Newest contact of a data centre with the platform, on our clock."""

    version: int = 0
    failed_at: float = -inf
    reached_at: float = -inf


@define
class FreshnessTracker:
    """Freshness proofs of one process."""

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
        """Tell the version of the local copy, 0 for an empty log."""
        self._loaded = True
        self.version = max(self.version, version)
        self._hear_version(version)
        self._update_contact(self.data_centre, version=version)

    def record_read(self, sent_at: float, version: int) -> bool:
        """Take a successful read that was sent then and showed ``version``.

        Returns whether it is a proof. A read that shows an older version than
        one heard of came from a stale replica and proves nothing. One that
        shows a newer version is no proof until the copy has caught up; call
        ``set_version`` first.
        """
        self._hear_version(version)
        if version < self.newest_known_version:
            return False
        self._update_contact(self.data_centre, reached_at=self.clock())
        if version > self.version:
            return False
        self._proved_at = max(self._proved_at, sent_at)
        return True

    def record_failure(self) -> None:
        """Take note that the platform has not answered up to now.

        Without effect until ``set_version`` was called: a process that has
        just started cannot tell which version is the newest in its data
        centre, so it gives no stamp.
        """
        if self._loaded:
            self._update_contact(self.data_centre, failed_at=self.clock())

    def record_contact(self) -> None:
        """Take note that the platform may have been reached just now."""
        self._update_contact(self.data_centre, reached_at=self.clock())

    def record_version(self, version: int) -> None:
        """Take note that a version exists, for example from a request."""
        self._hear_version(version)

    def record_report(self, report: Report, sent_at: float) -> None:
        """Take a peer's reply to a request that was sent then.

        The reply was made at an unknown time since ``sent_at``, so its ages
        are counted from ``sent_at``: the whole round trip is added.
        """
        self._hear_version(report.version)
        for stamp in report.stamps:
            self._hear_version(stamp.version)
            if stamp.data_centre in self.data_centres:
                self._merge_stamp(stamp, sent_at)
        if report.version <= self.version:
            self._proved_at = max(self._proved_at, sent_at - report.proof_age)

    def make_report(self) -> Report:
        """Return what this process can tell a peer now.

        Stamps are left out while no data centre has failed lately, as they
        then prove nothing.
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
        """Tell whether the newest proof is within the bound."""
        return self.age(scope) <= self.bound_seconds

    def age(self, scope: Scope) -> float:
        """Return the age of the newest proof in seconds, ``inf`` if none."""
        if self.version < self.newest_known_version:
            return inf
        return min(self.clock() - self._proved_at, self.outage_age(scope))

    def outage_age(self, scope: Scope) -> float:
        """Return the age of the proof that rests on stamps alone.

        It says that nobody in scope has reached the platform, hence that not
        only this log but no other row there has changed.
        """
        if self.version < self.newest_known_version:
            return inf
        wanted = self._list_data_centres(scope)
        return max(self._stamp_age(name) for name in wanted)

    def stalest_data_centre(self) -> str | None:
        """Return the data centre that was heard of longest ago.

        Returns ``None`` while the newest proof is young: nobody needs stamps
        then, and asking for them was a third of all exchanges.
        """
        if self.age(Scope.FLEET) < self.bound_seconds * YOUNG_FRACTION:
            return None
        return min(self.data_centres, key=self._last_news)

    def record_heartbeat(self, data_centre: str) -> None:
        """Take note that a process of a data centre was heard of just now."""
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
        quiet = self.bound_seconds * CONTRADICTION_FRACTION
        if contact.version > self.version or contact.failed_at < contact.reached_at:
            return inf
        if self.clock() - contact.reached_at < quiet:
            return inf
        return self.clock() - contact.failed_at

    def _last_news(self, data_centre: str) -> float:
        contact = self._contacts.get(data_centre, _Contact())
        heard_at = self._heard_at.get(data_centre, -inf)
        return max(contact.failed_at, contact.reached_at, heard_at)

    def _hear_version(self, version: int) -> None:
        self.newest_known_version = max(self.newest_known_version, version)

    def _merge_stamp(self, stamp: StampAge, sent_at: float) -> None:
        self._update_contact(
            stamp.data_centre,
            version=stamp.version,
            failed_at=sent_at - stamp.failed_age,
            reached_at=self._date_reached(stamp, sent_at),
        )

    def _date_reached(self, stamp: StampAge, sent_at: float) -> float:
        """Date another's success as late as it can have been.

        A date that we know already and that lies within the round trip is
        kept; otherwise two peers that repeat each other's report would make it
        younger with each exchange.
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
