"""Micro-kernel: services that are registered and found by name.

A service is a class with a name and the names of the services it needs::

    @register
    class Clock(Service):
        name = "clock"
        needs = ("settings",)

        async def run(self):
            ...

The kernel starts services in dependency order, runs each in a nursery of its
own, and stops them in reverse order.
"""

from collections.abc import Iterator
from typing import ClassVar, TypeVar

import trio
from loguru import logger

from hemlockstand.errors import KernelError
from hemlockstand.settings import Settings

log = logger.bind(module=__name__)

ServiceType = TypeVar("ServiceType", bound="Service")

_registry: dict[str, type["Service"]] = {}


class Service:
    """A named part of the daemon that the kernel starts, runs and stops."""

    name: ClassVar[str]
    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, kernel: "Kernel") -> None:
        self.kernel = kernel
        self.settings = kernel.settings

    async def start(self) -> None:
        """Prepare the service; dependants start after this returns."""

    async def run(self) -> None:
        """Do the background work until cancelled."""

    async def stop(self) -> None:
        """Finish gracefully; the nursery is cancelled afterwards."""


def register(service: type[ServiceType]) -> type[ServiceType]:
    """Make a service class known to every kernel under its name.

    Raises ``KernelError`` if another class is registered under the name.
    """
    known = _registry.get(service.name)
    if known is not None and known.__qualname__ != service.__qualname__:
        raise KernelError(f"service {service.name!r} is registered twice")
    _registry[service.name] = service
    return service


class Kernel:
    """Owns the services of one daemon process."""

    def __init__(
        self, settings: Settings, services: tuple[str, ...] | None = None
    ) -> None:
        self.settings = settings
        self.stopping = trio.Event()
        self._requested = services if services is not None else tuple(_registry)
        self._services: dict[str, Service] = {}
        self._scopes: dict[str, trio.CancelScope] = {}

    def find(self, name: str, kind: type[ServiceType]) -> ServiceType:
        """Return the service of that name.

        Raises ``KernelError`` if there is none or it is of another class.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise KernelError(f"no service {name!r} of class {kind.__name__}")
        return service

    async def serve(self, task_status: trio.TaskStatus[None] | None = None) -> None:
        """Start all services, run until ``stopping`` is set, then stop them.

        An error in the background work of any service ends the daemon. If it
        went on without that service, it would silently violate its guarantees.
        """
        async with trio.open_nursery() as nursery:
            for name in order_services(self._requested):
                await self._start_service(name, nursery)
            if task_status is not None:
                task_status.started()
            await self.stopping.wait()
            await self._stop_services()

    async def _start_service(self, name: str, nursery: trio.Nursery) -> None:
        service = _registry[name](self)
        self._services[name] = service
        await service.start()
        scope = trio.CancelScope()
        self._scopes[name] = scope
        nursery.start_soon(self._run_service, service, scope)
        log.debug("service {} started", name)

    async def _run_service(self, service: Service, scope: trio.CancelScope) -> None:
        with scope:
            await service.run()

    async def _stop_services(self) -> None:
        for name in reversed(tuple(self._services)):
            try:
                await self._services[name].stop()
            except Exception:
                log.exception("service {} failed to stop", name)
            self._scopes[name].cancel()


def order_services(wanted: tuple[str, ...]) -> Iterator[str]:
    """Yield the requested services and all they need, dependencies first.

    Raises ``KernelError`` for an unknown service or a dependency cycle.
    """
    done: set[str] = set()
    yield from _order_dependencies(wanted, done, ())


def _order_dependencies(
    names: tuple[str, ...], done: set[str], path: tuple[str, ...]
) -> Iterator[str]:
    for name in names:
        if name in path:
            raise KernelError(f"dependency cycle: {' -> '.join((*path, name))}")
        if name in done:
            continue
        if name not in _registry:
            raise KernelError(f"service {name!r} is not registered")
        yield from _order_dependencies(_registry[name].needs, done, (*path, name))
        done.add(name)
        yield name
