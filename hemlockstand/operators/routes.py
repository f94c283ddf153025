"""The operations behind the paths ``/o/NOUN/VERB``.

A later service adds its verbs by having a method ``operate(noun, verb,
request)`` that returns a JSON object; ``DELEGATED`` names the service for
each path. Until the service runs, its paths answer ``not_available``.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol, cast

from hemlockstand.errors import KernelError
from hemlockstand.kernel import Kernel, Service
from hemlockstand.operators.configuring import ConfigurationOperations
from hemlockstand.operators.messages import NotAvailable, OperatorRequest, UnknownPath
from hemlockstand.operators.reports import ReportOperations
from hemlockstand.operators.sheets import SheetOperations

Answer = Mapping[str, Any]
Operation = Callable[[OperatorRequest], Awaitable[Answer]]

DELEGATED: Mapping[tuple[str, str], str] = {
    ("POST", "instance/move"): "maintenance",
    ("GET", "instance/moves"): "maintenance",
    ("POST", "wave/plan"): "maintenance",
    ("POST", "wave/start"): "maintenance",
    ("POST", "wave/pause"): "maintenance",
    ("GET", "wave/status"): "maintenance",
    ("GET", "job/runs"): "jobs",
    ("POST", "job/cancel"): "jobs",
}


# The daemon answers these itself; a service that runs adds fields.
ENRICHED: Mapping[tuple[str, str], str] = {
    ("GET", "instance/status"): "maintenance",
    ("GET", "status/show"): "maintenance",
    ("GET", "job/list"): "jobs",
}


class Operable(Protocol):
    """A service that answers some of the operators' verbs itself."""

    async def operate(self, noun: str, verb: str, request: OperatorRequest) -> Answer:
        """Answer a call; raises ``HemlockstandError`` with a code."""
        ...


class Operations:
    """Finds the operation for a method and a path."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._reports = ReportOperations(kernel)
        configuring = ConfigurationOperations(kernel)
        sheets = SheetOperations(kernel)
        self._operations: Mapping[tuple[str, str], Operation] = {
            ("POST", "sheet/check"): sheets.check,
            ("POST", "sheet/plan"): sheets.plan,
            ("POST", "sheet/apply"): sheets.apply,
            ("POST", "key/grant"): configuring.grant_key,
            ("POST", "key/withdraw"): configuring.withdraw_key,
            ("POST", "instance/drain"): configuring.drain_instance,
            ("POST", "instance/undrain"): configuring.undrain_instance,
            ("GET", "key/list"): self._reports.list_keys,
            ("GET", "team/list"): self._reports.list_teams,
            ("GET", "pool/list"): self._reports.list_pools,
            ("GET", "queue/list"): self._reports.list_queues,
            ("GET", "job/list"): self._reports.list_jobs,
            ("GET", "instance/status"): self._reports.list_drains,
            ("GET", "config/version"): self._reports.show_version,
            ("GET", "config/history"): self._reports.show_history,
            ("GET", "config/wait"): self._reports.wait_version,
            ("GET", "status/show"): self._reports.show_status,
        }

    def check_ready(self) -> tuple[bool, str]:
        """Return whether the daemon takes calls, and the reason if not."""
        if self._kernel.stopping.is_set():
            return False, "stopping"
        return True, ""

    def find(self, method: str, path: str) -> Operation:
        """Return the operation; raises ``UnknownPath`` or ``NotAvailable``."""
        own = self._operations.get((method, path))
        if own is not None:
            return self._enrich(own, ENRICHED.get((method, path)), path)
        name = DELEGATED.get((method, path))
        if name is None:
            raise UnknownPath(f"there is no operation {method} /o/{path}")
        delegate = self._delegate(name, path)
        if delegate is None:
            raise NotAvailable(
                f"/o/{path} needs the service {name!r}, which this daemon does not run"
            )
        return delegate

    def _enrich(self, own: Operation, name: str | None, path: str) -> Operation:
        delegate = self._delegate(name, path) if name else None
        if delegate is None:
            return own

        async def operate(request: OperatorRequest) -> Answer:
            return {**await own(request), **await delegate(request)}

        return operate

    def _delegate(self, name: str, path: str) -> Operation | None:
        """Return the operation of a service, or ``None`` if it does not run."""
        try:
            service = self._kernel.find(name, Service)
        except KernelError:
            return None
        if not hasattr(service, "operate"):
            return None
        noun, _, verb = path.partition("/")
        operable = cast(Operable, service)

        async def operate(request: OperatorRequest) -> Answer:
            return await operable.operate(noun, verb, request)

        return operate
