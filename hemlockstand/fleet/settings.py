"""Settings of a daemon that schedules jobs on the fleet platform.

The platform writes the file from ``deploy/settings.ini``, a template in the
format of the other settings files.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

from attrs import field, frozen

from hemlockstand.serving.budget import BODY_FACTOR
from hemlockstand.serving.settings import CALLERS_SHARE, ClientSettings
from hemlockstand.setting_options import StandIn, option
from hemlockstand.settings import LogSettings, ValueSource, read_settings

USUAL_BODY_BYTES = 262_144  # the platform's limit unless the configuration has another
# A copy of the operator's rows is confirmed at best once in a call to the store,
# so with a shorter bound it would hardly ever be fresh, and nothing would start.
MIN_EVACUATE_MS = 100
DEFAULTS_FILE = Path(__file__).with_name("defaults.ini")
NO_EVACUATION_BOUND = StandIn("no bound; config_apply_ms alone applies", lambda: None)


@frozen
class FleetDaemonSettings:
    """Identity of this daemon."""

    name: str = option("Unique name of the daemon.")
    data_centre: str = option("Data centre of the daemon.")
    processor_share: float = option(
        "Part of a core that this daemon may use.", 0.001, 1024
    )
    processor_speed: float = option(
        "Speed of that core relative to a usual core.", 0.01, 1024
    )

    @property
    def cores(self) -> float:
        """Processor capacity of this daemon, in usual cores."""
        return self.processor_share * self.processor_speed


@frozen
class FleetListenSettings:
    """Addresses the daemon listens on, as IP:PORT."""

    callers: str = option("Address that serves callers.")
    readiness: str = option("Address at which the balancer checks readiness.")
    metrics: str = option("Address that serves the metrics.")


@frozen
class FleetPlatformSettings:
    """Addresses of the platform's services, as IP:PORT."""

    store: str = option("Address of the row store.")
    instances: str = option(
        "Address of the machine service, which lists, moves and maintains instances."
    )
    advice: str = option(
        "Address of the service that decides which executors a queue may use; may be "
        "empty."
    )


@frozen
class BoundSettings:
    """Bounds that the platform sets; the names of the keys end in the unit."""

    longest_hold_ms: float = option(
        "Longest lease that an executor may be granted.", 100, 600_000
    )
    config_apply_ms: float = option(
        "Time within which a new configuration must be in force everywhere.",
        100,
        60_000,
    )
    grace_s: float = option(
        "Time between SIGTERM and SIGKILL when a daemon is stopped.", 0.1, 600
    )
    status_s: float = option(
        "Time for which the status of a finished job stays available.", 1, 86_400
    )
    stability_ms: float = option(
        "Time after which an executor's smaller capacity counts, from the latest "
        "moment at which its entry shows it.",
        0,
        600_000,
    )
    stop_ms: float = option(
        "Longest time that an executor takes to stop a run.", 0, 60_000
    )
    order_turn_ms: float = option(
        "Required time between the orders of two lease holders for the same instance.",
        0,
        60_000,
    )
    evacuate_ms: float | None = option(
        "Time within which nothing more may start in a data centre that is "
        "evacuated; empty or 0 where the platform sets no such bound.",
        0,
        600_000,
        may_be_empty=True,
        default=None,
        stand_in=NO_EVACUATION_BOUND,
    )

    @property
    def operator_ms(self) -> float:
        """Shortest time within which what the operator writes must be in force."""
        return min(self.config_apply_ms, self.evacuate_ms or self.config_apply_ms)


@frozen
class SchedulerSettings:
    """The scheduler, which runs on one daemon at a time."""

    lease_seconds: float = option("Validity of the scheduler's lease.", 0.5, 60)
    renew_seconds: float = option("Interval between renewals of the lease.", 0.1, 30)
    watch_seconds: float = option(
        "Interval at which the other daemons read the lease.", 0.1, 30
    )
    hold_seconds: float = option(
        "Longest time for which an executor delays its answer to a poll while no run "
        "ends.",
        0,
        2,
    )


@frozen
class FleetOperatorSettings:
    """Views of the scheduler for operators, at the address of the metrics."""

    token: str = option(
        "Bearer token of the operators; without it the views are switched off.",
        secret=True,
        may_be_empty=True,
        default="",
    )


@frozen
class CopySettings:
    """Copies of slow subtasks of speculative steps."""

    enabled: bool = option("Whether copies are started.")
    slow_factor: float = option(
        "Multiple of the usual time of a subtask from which it counts as slow. Lower "
        "ones copy usual subtasks of uneven size.",
        1.1,
        100,
    )
    workspace_fraction: float = option(
        "Part of the cpu of a workspace's runs that its copies may use; one more copy "
        "may exceed it, unless the workspace has a maximum: with the new one, copies "
        "use at most a tenth of that.",
        0,
        0.1,
    )
    pool_fraction: float = option(
        "Part of the cpu of a pool that copies may use; one more copy may exceed it.",
        0,
        1,
    )


@frozen
class AdmissionSettings:
    """Which submissions are answered 429."""

    by_load: bool = option(
        "Whether submissions are refused that would be worth nothing once done.",
        default=True,
    )
    max_jobs: int = option(
        "Largest number of unfinished jobs.", 1, 1_000_000_000, default=1_000_000
    )
    max_tenant_jobs: int = option(
        "Largest number of unfinished jobs of a workspace.",
        1,
        1_000_000_000,
        default=500_000,
    )


@frozen
class PreemptionSettings:
    """Stops of running work for more urgent work that would be late."""

    basis: str = option(
        "For whom runs may be stopped: for nobody, for queues of a better priority, or "
        "also for workspaces below their share.",
        choices=("none", "priority", "share"),
    )
    max_lost_fraction: float = option(
        "Part of a pool's processor time that may be thrown away by stops.", 0, 1
    )
    span_seconds: float = option("Time over which this part is measured.", 1, 3600)


DEFAULT_PREEMPTION = PreemptionSettings("priority", 0.02, 10.0)


@frozen
class FleetSettings:
    """All sections, and where the values of optional settings come from."""

    daemon: FleetDaemonSettings
    listen: FleetListenSettings
    platform: FleetPlatformSettings
    bounds: BoundSettings
    scheduler: SchedulerSettings
    log: LogSettings
    clients: ClientSettings
    copies: CopySettings
    operators: FleetOperatorSettings = FleetOperatorSettings()
    preemption: PreemptionSettings = DEFAULT_PREEMPTION
    admission: AdmissionSettings = AdmissionSettings()
    sources: tuple[ValueSource, ...] = field(default=(), eq=False)


def load_fleet_settings(path: str | Path) -> FleetSettings:
    """Read and check the settings; raises ``SettingsError``."""
    return read_settings(FleetSettings, DEFAULTS_FILE, path, _check_relations)


def _check_relations(sections: dict[str, Any], path: Path) -> Iterator[str]:
    scheduler = sections["scheduler"]
    if scheduler.renew_seconds * 3 > scheduler.lease_seconds:
        yield (
            f"{path}: [scheduler] renew_seconds = {scheduler.renew_seconds}: "
            "must be at most a third of lease_seconds"
        )
    if not sections["clients"].fits(CALLERS_SHARE, BODY_FACTOR * USUAL_BODY_BYTES):
        yield (
            f"{path}: [clients] memory_mb: a body of {USUAL_BODY_BYTES} bytes does "
            "not fit into memory_share and source_share"
        )
    admission = sections["admission"]
    if admission.max_tenant_jobs > admission.max_jobs:
        yield (
            f"{path}: [admission] max_tenant_jobs = {admission.max_tenant_jobs}: "
            "must be at most max_jobs"
        )
    bounds = sections["bounds"]
    if 0 < (bounds.evacuate_ms or 0) < MIN_EVACUATE_MS:
        yield (
            f"{path}: [bounds] evacuate_ms = {bounds.evacuate_ms}: "
            f"must be 0 or at least {MIN_EVACUATE_MS}"
        )
    if bounds.longest_hold_ms < 2000 * scheduler.lease_seconds:
        yield (
            f"{path}: [scheduler] lease_seconds = {scheduler.lease_seconds}: "
            "must be at most half of longest_hold_ms"
        )
