"""The operations behind the paths ``/o/NOUN/VERB``."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from hemlockstand.health import HealthService
from hemlockstand.kernel import Kernel
from hemlockstand.operators.configuration import ConfigurationOperations
from hemlockstand.operators.fleet import FleetOperations
from hemlockstand.operators.messages import OperatorRequest, UnknownPath
from hemlockstand.operators.reports import ReportOperations
from hemlockstand.operators.sheets import SheetOperations

Answer = Mapping[str, Any]
Operation = Callable[[OperatorRequest], Awaitable[Answer]]


class Operations:
    """Finds the operation for a method and a path."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        reports = ReportOperations(kernel)
        configuration = ConfigurationOperations(kernel)
        sheets = SheetOperations(kernel)
        fleet = FleetOperations(kernel, reports)
        self._operations: Mapping[tuple[str, str], Operation] = {
            ("POST", "sheet/check"): sheets.check,
            ("POST", "sheet/plan"): sheets.plan,
            ("POST", "sheet/apply"): sheets.apply,
            ("POST", "key/grant"): configuration.grant_key,
            ("POST", "key/withdraw"): configuration.withdraw_key,
            ("GET", "key/list"): reports.list_keys,
            ("GET", "team/list"): reports.list_teams,
            ("GET", "pool/list"): reports.list_pools,
            ("GET", "queue/list"): reports.list_queues,
            ("POST", "instance/drain"): configuration.drain_instance,
            ("POST", "instance/undrain"): configuration.undrain_instance,
            ("POST", "instance/move"): fleet.move_instance,
            ("GET", "instance/status"): fleet.show_instances,
            ("GET", "job/list"): fleet.list_jobs,
            ("POST", "instance/release"): fleet.release_worker,
            ("GET", "job/unwanted"): fleet.list_unwanted,
            ("POST", "job/run"): fleet.run_job,
            ("POST", "job/cancel"): fleet.cancel_job,
            ("POST", "job/unpark"): fleet.unpark_job,
            ("GET", "wave/plan"): fleet.plan_wave,
            ("POST", "wave/start"): fleet.start_wave,
            ("POST", "wave/pause"): fleet.pause_wave,
            ("GET", "wave/status"): fleet.show_waves,
            ("GET", "config/version"): reports.show_version,
            ("GET", "config/history"): reports.show_history,
            ("GET", "config/wait"): reports.wait_version,
            ("GET", "status/show"): reports.show_status,
        }

    def check_ready(self) -> tuple[bool, str]:
        """Return whether the daemon takes requests, and the reason if not."""
        if self._kernel.stopping.is_set():
            return False, "stopping"
        if not self._kernel.find("health", HealthService).ready:
            return False, "leaving, or without a configuration yet"
        return True, ""

    def find(self, method: str, path: str) -> Operation:
        """Return the operation of a method and path.

        Raises ``UnknownPath`` if there is none.
        """
        operation = self._operations.get((method, path))
        if operation is None:
            raise UnknownPath(f"there is no operation {method} /o/{path}")
        return operation
