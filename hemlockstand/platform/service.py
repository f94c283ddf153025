"""The kernel service that provides the daemon's platform adapter."""

import trio
from attrs import define, field

from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.platform.http import HttpPlatform
from hemlockstand.platform.interface import InstanceRecord, Instances
from hemlockstand.platform.polling import PolledRows

# Part of the poll interval for which a list is shared.
SHARED_FRACTION = 0.8


@define
class SharedInstances:
    """Reads the instance list once for all services that poll it.

    A list is shared for most of the poll interval. It is not shared for all of
    it, so that services which poll at that interval get a new list each time.
    """

    source: Instances
    _interval_seconds: float
    _read_at: float = -float("inf")
    _records: list[InstanceRecord] = field(factory=list)
    _lock: trio.Lock = field(factory=trio.Lock)

    async def list(self) -> list[InstanceRecord]:
        """Return the list; raises ``PlatformUnavailable``."""
        async with self._lock:
            now = trio.current_time()
            if now - self._read_at > self._interval_seconds * SHARED_FRACTION:
                self._records = await self.source.list()
                self._read_at = now
        return self._records


@register
class PlatformService(Service):
    """Provides the platform and the polled rows to the other services."""

    name = "platform"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        section = self.settings.platform
        self.platform = HttpPlatform(section.url, section.timeout_seconds)
        self.platform.instances = SharedInstances(
            self.platform.instances, section.instance_poll_seconds
        )

    async def start(self) -> None:
        """Create the polled rows; tests replace the table before this."""
        self.polled = PolledRows(self.platform.table)

    async def run(self) -> None:
        """Keep the connections open until the daemon stops."""
        try:
            await trio.sleep_forever()
        finally:
            with trio.CancelScope(shield=True):
                await self.platform.close()
