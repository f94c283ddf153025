"""The kernel service that holds the platform adapter of the daemon."""

import trio

from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.platform.http import HttpPlatform


@register
class PlatformService(Service):
    """Gives the other services the platform as ``platform``."""

    name = "platform"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        section = self.settings.platform
        self.platform = HttpPlatform(section.url, section.timeout_seconds)

    async def run(self) -> None:
        """Keep the connections until the daemon stops."""
        try:
            await trio.sleep_forever()
        finally:
            with trio.CancelScope(shield=True):
                await self.platform.close()
