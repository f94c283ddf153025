"""The kernel service that reports whether the daemon is ready for requests."""

from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.kernel import Kernel, Service, register


@register
class HealthService(Service):
    """Readiness of the daemon, as reported to the balancer."""

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
        """Report not ready from now on, because the daemon is stopping."""
        self._leaving = True
