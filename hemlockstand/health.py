"""The kernel service that tells whether the daemon wants new work."""

from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.kernel import Kernel, Service, register


@register
class HealthService(Service):
    """Readiness, as the balancer sees it."""

    name = "health"
    needs = ("configuration",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._leaving = False

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests to this daemon."""
        return self._configuration.loaded and not self._leaving

    def leave(self) -> None:
        """Report not ready from now on."""
        self._leaving = True
