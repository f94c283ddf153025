"""Instances, jobs and waves, read and changed through their services."""

from collections.abc import Mapping
from math import ceil
from typing import Any

from loguru import logger

from hemlockstand.errors import InvalidInput, KernelError, NotFound, PlatformUnavailable
from hemlockstand.jobs.service import JobsService
from hemlockstand.kernel import Kernel, ServiceType
from hemlockstand.maintenance.records import Wave, WaveState
from hemlockstand.maintenance.service import MaintenanceService
from hemlockstand.model import PoolKind
from hemlockstand.operators.messages import NotAvailable, OperatorRequest, to_json
from hemlockstand.operators.reports import ReportOperations
from hemlockstand.platform.interface import InstanceKind, InstanceRecord

POOL_KINDS = {
    InstanceKind.EXECUTOR: PoolKind.EXECUTORS,
    InstanceKind.WORKER: PoolKind.WORKERS,
}

log = logger.bind(module=__name__)


class FleetOperations:
    """The verbs of ``instance``, ``job`` and ``wave``.

    Most raise ``NotAvailable`` if the daemon does not run the service; the
    lists of instances and jobs then show less.
    """

    def __init__(self, kernel: Kernel, reports: ReportOperations) -> None:
        self._kernel = kernel
        self._reports = reports

    async def show_instances(self, request: OperatorRequest) -> dict[str, Any]:
        """Return all executor and worker instances, or one with its phase."""
        drains = await self._reports.list_drains(request)
        try:
            maintenance = self._find("maintenance", MaintenanceService)
        except NotAvailable:
            return drains | {"instances": []}
        requested = request.arguments.get("instance")
        pools = {
            name: pool
            for pool in maintenance.pools.values()
            for name in (*pool.members, *pool.joining)
        }
        reasons = {entry["instance"]: entry["reason"] for entry in drains["drains"]}
        shown = []
        for name, record in sorted(maintenance.records.items()):
            if record.kind is InstanceKind.ENTRY or requested not in (None, "", name):
                continue
            pool = pools.get(name)
            shown.append(
                {
                    "name": name,
                    "kind": record.kind.value,
                    "data_centre": record.data_centre,
                    "rack": record.rack,
                    "listed": record.state.value,
                    "pool": pool.name if pool else None,
                    "disruption": pool.disruptions.get(name) if pool else None,
                    "drain": reasons.get(name),
                }
            )
        if requested and not shown:
            raise NotFound(f"instance {requested!r} is not in the platform's list")
        if requested:
            shown[0] |= await self._read_phase(maintenance, requested)
            if maintenance.records[requested].kind is InstanceKind.WORKER:
                shown[0] |= await self._read_worker(requested)
        return drains | {"instances": shown}

    async def _read_phase(
        self, maintenance: MaintenanceService, instance: str
    ) -> dict[str, Any]:
        try:
            state = await maintenance.steps.read_instance(instance)
        except NotFound:
            return {"phase": None}
        return {
            "phase": state.phase.value,
            "target": state.target or None,
            "wave": state.wave or None,
            "maintained_at": state.maintained_at or None,
        }

    async def _read_worker(self, worker: str) -> dict[str, Any]:
        """Return the tasks of a worker and whether it is in quarantine."""
        try:
            state = await self._find("jobs", JobsService).show_worker(worker)
        except NotAvailable as error:
            log.info("answered without the tasks of worker {}: {}", worker, error)
            return {}
        quarantine = state.quarantine
        return {
            "tasks": sorted(state.allocations),
            "failed_jobs": list(state.failed_jobs),
            "quarantined": quarantine is not None,
            "probes": quarantine.probes if quarantine else 0,
        }

    async def move_instance(self, request: OperatorRequest) -> dict[str, Any]:
        """Begin to move an instance to another pool, by draining it."""
        maintenance = self._find("maintenance", MaintenanceService)
        name, target = request.get_text("instance"), request.get_text("pool")
        pool = maintenance.configuration.current.pools.get(target)
        if pool is None:
            raise NotFound(f"pool {target!r} does not exist")
        record = maintenance.records.get(name)
        if record is None:
            raise NotFound(f"instance {name!r} is not in the platform's list")
        _check_kind(record, pool.kind, target)
        await maintenance.steps.move(name, target, maintenance.records)
        return {"instance": name, "pool": target, "state": "draining"}

    async def list_jobs(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the jobs in force, with their state where it can be read."""
        listed = await self._reports.list_jobs(request)
        try:
            statuses = await self._find("jobs", JobsService).list_jobs()
        except (NotAvailable, PlatformUnavailable) as error:
            unknown = {"state": "unknown", "detail": str(error)}
            return listed | {"jobs": [job | unknown for job in listed["jobs"]]}
        known = {status.name: to_json(status) for status in statuses}
        return listed | {
            "jobs": [job | known.get(job["name"], {}) for job in listed["jobs"]]
        }

    async def list_unwanted(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the retired jobs still triggered, with their cost."""
        unwanted = await self._find("jobs", JobsService).list_unwanted()
        return {"unwanted": [to_json(job) for job in unwanted]}

    async def run_job(self, request: OperatorRequest) -> dict[str, Any]:
        """Ask for a run of a job now, on behalf of its team."""
        jobs = self._find("jobs", JobsService)
        job = jobs.find_job(request.get_text("job"))
        return {"job": job.name, "task": await jobs.submit(job.name, job.team)}

    async def release_worker(self, request: OperatorRequest) -> dict[str, Any]:
        """End the quarantine of a worker."""
        worker = request.get_text("instance")
        await self._find("jobs", JobsService).release_worker(worker)
        return {"instance": worker, "quarantined": False}

    async def cancel_job(self, request: OperatorRequest) -> dict[str, Any]:
        """Cancel the running and due runs of a job."""
        job = request.get_text("job")
        cancelled = await self._find("jobs", JobsService).cancel(job)
        return {"job": job, "cancelled": cancelled}

    async def unpark_job(self, request: OperatorRequest) -> dict[str, Any]:
        """Return a parked job to placement."""
        job = request.get_text("job")
        await self._find("jobs", JobsService).unpark(job)
        return {"job": job, "state": "wanted"}

    async def plan_wave(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the minimum number of rounds of a wave over the pools.

        It is ``None`` for a pool without a budget.
        """
        maintenance = self._find("maintenance", MaintenanceService)
        known = maintenance.configuration.current.pools
        planned = []
        for name in _read_pools(request) or sorted(known):
            if name not in known:
                raise NotFound(f"pool {name!r} does not exist")
            budget = known[name].budget
            members = len(maintenance.members(name))
            planned.append(
                {
                    "pool": name,
                    "members": members,
                    "budget": budget,
                    "rounds": ceil(members / budget) if budget else None,
                }
            )
        return {"pools": planned}

    async def start_wave(self, request: OperatorRequest) -> dict[str, Any]:
        """Start a wave over pools, or resume one if no pools are given."""
        maintenance = self._find("maintenance", MaintenanceService)
        name = request.get_text("wave")
        pools = _read_pools(request)
        if pools:
            return _describe_wave(await maintenance.start_wave(name, pools))
        resumed = await maintenance.set_wave_state(name, WaveState.RUNNING)
        return _describe_wave(resumed)

    async def pause_wave(self, request: OperatorRequest) -> dict[str, Any]:
        """Pause a wave; instances already being maintained are finished."""
        maintenance = self._find("maintenance", MaintenanceService)
        name = request.get_text("wave")
        return _describe_wave(await maintenance.set_wave_state(name, WaveState.PAUSED))

    async def show_waves(self, request: OperatorRequest) -> dict[str, Any]:
        """Return all waves, or one with the instances left in it."""
        maintenance = self._find("maintenance", MaintenanceService)
        name = request.arguments.get("wave")
        if not name:
            waves = await maintenance.list_waves()
            return {"waves": [_describe_wave(wave) for wave in waves]}
        status = await maintenance.show_wave(name)
        left = {"total": status.total, "left": status.left}
        return {"waves": [_describe_wave(status.wave) | left]}

    def _find(self, name: str, kind: type[ServiceType]) -> ServiceType:
        try:
            return self._kernel.find(name, kind)
        except KernelError:
            raise NotAvailable(
                f"this daemon does not run the service {name!r}"
            ) from None


def _check_kind(record: InstanceRecord, kind: PoolKind, pool: str) -> None:
    if POOL_KINDS.get(record.kind) is not kind:
        raise InvalidInput(
            f"instance {record.id!r} is of kind {record.kind.value}, pool {pool!r} "
            f"has {kind.value}"
        )


def _read_pools(request: OperatorRequest) -> tuple[str, ...]:
    pools = request.arguments.get("pools") or ""
    if not isinstance(pools, str):
        raise InvalidInput("argument 'pools' must be names separated by spaces")
    return tuple(dict.fromkeys(pools.replace(",", " ").split()))


def _describe_wave(wave: Wave) -> Mapping[str, Any]:
    return to_json(wave)
