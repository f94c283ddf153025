"""The kernel service that holds the daemon's freshness proofs."""

import trio

from hemlockstand.coordination.freshness import FreshnessTracker, Scope
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.metrics import FRESHNESS_AGE

METRIC_SECONDS = 1.0


@register
class FreshnessService(Service):
    """Tells whether an unknown change may be in force."""

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
        """Keep the metric up to date."""
        while True:
            FRESHNESS_AGE.set(self.age(Scope.FLEET))
            await trio.sleep(METRIC_SECONDS)

    def is_fresh(self, scope: Scope) -> bool:
        """Tell whether the newest proof in scope is young enough."""
        return self.tracker.is_fresh(scope)

    def age(self, scope: Scope) -> float:
        """Return the age of the newest proof in seconds, ``inf`` if none."""
        return self.tracker.age(scope)

    def outage_age(self, scope: Scope) -> float:
        """Return the age of the proof that nobody in scope reached the platform.

        Unlike ``age`` it does not count reads by peers. Rows that these did
        not read, such as this daemon's holder row, are also unchanged.
        """
        return self.tracker.outage_age(scope)

    def record_platform_read(self, sent_at: float, version: int | None = None) -> None:
        """Take a successful read of the platform that was sent then.

        Without the ``version`` of the configuration that it showed, the read
        proves only that the platform is within reach.
        """
        if version is None:
            self.tracker.record_contact()
        else:
            self.tracker.record_read(sent_at, version)

    def record_platform_failure(self) -> None:
        """Take note that the platform has not answered up to now."""
        self.tracker.record_failure()
