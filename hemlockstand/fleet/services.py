"""Kernel services that connect the other fleet services to the platform."""

from hemlockstand.fleet.settings import FleetSettings
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.platform.rows import RowStore


@register
class RowStoreService(Service):
    """The daemon's shared client of the store."""

    name = "row_store"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: FleetSettings = kernel.settings
        self.rows = RowStore(settings.platform.store)

    async def stop(self) -> None:
        """Close the connections."""
        await self.rows.close()
