"""The daemon process: ``hemlockd --settings FILE.ini``.

Exit codes: 0 after a graceful stop, 1 after an error, 2 for bad settings.
"""

import signal
import sys
from importlib import import_module

import trio
from absl import app, flags
from loguru import logger

from hemlockstand.errors import SettingsError
from hemlockstand.health import HealthService
from hemlockstand.kernel import Kernel
from hemlockstand.logs import configure_logs
from hemlockstand.peers.service import PeersService
from hemlockstand.settings import Settings, load_settings
from hemlockstand.traces import configure_traces

log = logger.bind(module=__name__)

SETTINGS = flags.DEFINE_string("settings", None, "Settings file of the daemon.")

EXIT_SETTINGS = 2

# Modules that register the services of the daemon.
SERVICE_MODULES = (
    "hemlockstand.platform.service",
    "hemlockstand.configuration.freshness",
    "hemlockstand.configuration.service",
    "hemlockstand.peers.service",
    "hemlockstand.health",
    "hemlockstand.requests.limits",
    "hemlockstand.requests.orders",
    "hemlockstand.requests.upstreams",
    "hemlockstand.requests.dispatch",
    "hemlockstand.requests.admission",
    "hemlockstand.jobs.service",
    "hemlockstand.maintenance.service",
    "hemlockstand.operators.interface",
)


def load_services() -> None:
    """Import the modules that register services."""
    for module in SERVICE_MODULES:
        import_module(module)


async def serve(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully."""
    kernel = Kernel(settings)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(kernel.serve)
            log.info("daemon {} is serving", settings.daemon.name)
            async for number in signals:
                log.info("stopping after signal {}", number)
                break
            await leave(kernel)
    log.info("daemon {} has stopped", settings.daemon.name)


async def leave(kernel: Kernel) -> None:
    """Report not ready, serve late arrivals, then stop the services."""
    kernel.find("health", HealthService).leave()
    kernel.find("peers", PeersService).leaving = True
    await trio.sleep(kernel.settings.daemon.balancer_lag_seconds)
    kernel.stopping.set()


def run_daemon(argv: list[str]) -> int:
    """Run the daemon and return its exit code."""
    if SETTINGS.value is None or len(argv) > 1:
        print("usage: hemlockd --settings FILE.ini", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        settings = load_settings(SETTINGS.value)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logs(settings.log, settings.daemon.name)
    configure_traces(settings.trace, settings.daemon.name)
    load_services()
    trio.run(serve, settings)
    return 0


def main() -> None:
    """Entry point of ``hemlockd``."""
    app.run(run_daemon)


if __name__ == "__main__":
    main()
