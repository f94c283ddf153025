"""The daemon process: ``hemlockd --settings FILE.ini``.

With ``--fleet`` it schedules jobs on the fleet platform, with the settings
that ``hemlockstand.fleet.settings`` describes.

Exit codes: 0 after a graceful stop, 1 after an error, 2 for bad settings.
"""

import signal
import sys
from importlib import import_module

if __name__ == "__main__" and "--fleet" in sys.argv:
    # The imports below and the start take most of a second. Until ``serve_fleet``
    # receives signals, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import trio
from absl import app, flags
from loguru import logger

from hemlockstand.errors import SettingsError
from hemlockstand.fleet.settings import FleetSettings, load_fleet_settings
from hemlockstand.kernel import Kernel
from hemlockstand.logs import configure_fleet_logs, configure_logs
from hemlockstand.settings import Settings, load_settings

log = logger.bind(module=__name__)

SETTINGS = flags.DEFINE_string("settings", None, "Settings file of the daemon.")
FLEET = flags.DEFINE_boolean("fleet", False, "Schedule jobs on the fleet platform.")

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

# Modules and services of a daemon on the fleet platform, in the order in
# which they start; they stop in reverse.
FLEET_SERVICE_MODULES = (
    "hemlockstand.fleet.services",
    "hemlockstand.fleet.configuration",
    "hemlockstand.fleet.frontend",
    "hemlockstand.fleet.scheduler",
)
FLEET_SERVICES = ("row_store", "fleet_configuration", "frontend", "scheduler")


def load_services(modules: tuple[str, ...] = SERVICE_MODULES) -> None:
    """Import the modules that register services."""
    for module in modules:
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
            await stop_gracefully(kernel)
    log.info("daemon {} has stopped", settings.daemon.name)


async def stop_gracefully(kernel: Kernel) -> None:
    """Report not ready, wait for the balancer to notice, then stop.

    Requests that arrive within ``daemon.balancer_lag_seconds`` are served.
    """
    # Imported here, as a daemon on the fleet platform does not run these.
    from hemlockstand.health import HealthService
    from hemlockstand.peers.service import PeersService

    kernel.find("health", HealthService).leave()
    kernel.find("peers", PeersService).leaving = True
    await trio.sleep(kernel.settings.daemon.balancer_lag_seconds)
    kernel.stopping.set()


async def serve_fleet(settings: FleetSettings) -> None:
    """Run a daemon on the fleet platform until SIGTERM or SIGINT."""
    kernel = Kernel(settings, FLEET_SERVICES)
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signals) as received:
        async with trio.open_nursery() as nursery:
            await nursery.start(kernel.serve)
            log.info("daemon {} is serving", settings.daemon.name)
            async for number in received:
                if number == signal.SIGHUP:
                    check_settings_file(settings)
                    continue
                log.info("stopping after signal {}", number)
                break
            kernel.stopping.set()
    log.info("daemon {} has stopped", settings.daemon.name)


def check_settings_file(settings: FleetSettings) -> None:
    """Check the settings file and log whether a restart would change settings.

    The running daemon keeps its settings.
    """
    try:
        changed = load_fleet_settings(SETTINGS.value) != settings
    except SettingsError as error:
        log.error("settings file is invalid, a restart would fail: {}", error)
        return
    log.info(
        "settings file checked, changes take effect at a restart",
        outcome="changed" if changed else "unchanged",
    )


def run_daemon(argv: list[str]) -> int:
    """Run the daemon and return its exit code."""
    if SETTINGS.value is None or len(argv) > 1:
        print("usage: hemlockd [--fleet] --settings FILE.ini", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        if FLEET.value:
            return run_fleet(load_fleet_settings(SETTINGS.value))
        settings = load_settings(SETTINGS.value)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    from hemlockstand.traces import configure_traces

    configure_logs(settings.log, settings.daemon.name)
    log_sources(settings)
    configure_traces(settings.trace, settings.daemon.name)
    load_services()
    trio.run(serve, settings)
    return 0


def run_fleet(settings: FleetSettings) -> int:
    """Run a daemon on the fleet platform and return its exit code."""
    configure_fleet_logs(settings.log, settings.daemon.name)
    log_sources(settings)
    load_services(FLEET_SERVICE_MODULES)
    trio.run(serve_fleet, settings)
    return 0


def log_sources(settings: FleetSettings | Settings) -> None:
    """Log the values of optional settings and where they come from."""
    for each in settings.sources:
        log.info(
            "optional setting",
            setting=f"[{each.section}] {each.key}",
            value=each.value,
            source=each.source,
        )


def main() -> None:
    """Entry point of ``hemlockd``."""
    app.run(run_daemon)


if __name__ == "__main__":
    main()
