"""The kernel starts services in dependency order and stops them in reverse."""

import pytest
import trio

from hemlockstand import kernel
from hemlockstand.errors import KernelError
from hemlockstand.kernel import Kernel, Service, order_services, register
from hemlockstand.settings import load_settings
from test.helper import write_settings


@pytest.fixture
def registry(monkeypatch):
    """Replace the registry of services by an empty one."""
    services = {}
    monkeypatch.setattr(kernel, "_registry", services)
    return services


def make_service(service_name, service_needs, events):
    class Recorded(Service):
        name = service_name
        needs = service_needs

        async def start(self):
            events.append(f"start {service_name}")

        async def run(self):
            await trio.sleep_forever()

        async def stop(self):
            events.append(f"stop {service_name}")

    Recorded.__qualname__ = service_name
    return register(Recorded)


async def test_services_start_and_stop_in_order(registry, tmp_path):
    """Guards against a service that starts before one it depends on."""
    events = []
    make_service("top", ("middle",), events)
    make_service("middle", ("bottom",), events)
    make_service("bottom", (), events)
    running = Kernel(load_settings(write_settings(tmp_path)))
    async with trio.open_nursery() as nursery:
        await nursery.start(running.serve)
        running.stopping.set()
    assert events == [
        "start bottom",
        "start middle",
        "start top",
        "stop top",
        "stop middle",
        "stop bottom",
    ]


def test_dependency_cycle_is_refused(registry):
    """Guards against a daemon that hangs at start on a cycle."""
    make_service("first", ("second",), [])
    make_service("second", ("first",), [])
    with pytest.raises(KernelError, match="cycle: first -> second -> first"):
        tuple(order_services(("first",)))
