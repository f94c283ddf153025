"""The kernel service that holds the daemon's freshness proofs."""

import trio

from hemlockstand.coordination.freshness import FreshnessTracker, Scope
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.metrics import FRESHNESS_AGE

METRIC_INTERVAL_SECONDS = 1.0


@register
class FreshnessService(Service):
    """Tells whether a change unknown to this daemon may be in force."""

    name = "freshness"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        daemon = self.settings.daemon
        self.tracker = FreshnessTracker(
            data_centre=daemon.data_centre,
            data_centres=daemon.data_centres,
            bound_seconds=self.settings.keys.freshness_seconds,
        )

    async def run(self) -> None:
        """Update the metric of the proof's age at regular intervals."""
        while True:
            FRESHNESS_AGE.set(self.age(Scope.FLEET))
            await trio.sleep(METRIC_INTERVAL_SECONDS)

    def is_fresh(self, scope: Scope) -> bool:
        """Tell whether the newest proof in scope is young enough.

        The bound is ``keys.freshness_seconds``.
        """
        return self.tracker.is_fresh(scope)

    def age(self, scope: Scope) -> float:
        """Return the age of the newest proof in seconds, ``inf`` if none."""
        return self.tracker.age(scope)

    def outage_age(self, scope: Scope) -> float:
        """Return the age of the proof of an outage, in seconds.

        An outage means that nobody in scope has reached the platform. Unlike
        ``age`` this ignores the reads of peers, so it also proves that rows
        which peers do not read are unchanged, such as this daemon's holder
        row.
        """
        return self.tracker.outage_age(scope)

    def record_platform_read(self, sent_at: float, version: int | None = None) -> None:
        """Record a successful read of the platform that began at ``sent_at``.

        ``sent_at`` is a time of trio's clock. Without the ``version`` of the
        configuration that the read returned, it proves only that the platform
        can be reached.
        """
        if version is None:
            self.tracker.record_contact()
        else:
            self.tracker.record_read(sent_at, version)

    def record_platform_failure(self) -> None:
        """Record that the platform has not answered up to now."""
        self.tracker.record_failure()
