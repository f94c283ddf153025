"""Operator commands for instances, jobs and waves with their services."""

import json
from contextlib import asynccontextmanager
from datetime import date

from attrs import evolve

from emulator.local_machines import LocalMachines
from hemlockstand.configuration.changes import Change, PutEntity
from hemlockstand.ctl.exits import ExitCode
from hemlockstand.errors import PlatformUnavailable
from hemlockstand.jobs.records import (
    Quarantine,
    WorkerState,
    decode_work,
    encode_worker,
)
from hemlockstand.jobs.service import JobsService
from hemlockstand.maintenance.service import MaintenanceService
from hemlockstand.platform.memory import MemoryTable
from test.operator_fakes import SHEET, make_platform, run_daemon, write_sheet

SPARE_ROW = "pool,spare,,,,workers,dc1,4,0,,,,,,,,,,,,\n"


@asynccontextmanager
async def run_fleet(directory):
    """Run a daemon with four workers in the pool ``night``."""
    machines = LocalMachines(dict.fromkeys(("w1", "w2", "w3", "w4"), "night"))
    platform = make_platform(machines=machines)
    platform.instances.records += machines.list_records().values()
    sheet = write_sheet(directory, SHEET + SPARE_ROW)
    services = (MaintenanceService, JobsService)
    async with run_daemon(directory, platform, services) as daemon:
        applied = await daemon.run_hemlockctl("sheet", "apply", sheet, "--version", "0")
        assert applied.code == ExitCode.OK, applied
        await step_pools(daemon)
        yield daemon


async def step_pools(daemon):
    """Make the maintenance service adopt the instances and run one round."""
    maintenance = daemon.kernel.find("maintenance", MaintenanceService)
    await maintenance._refresh()
    for pool in daemon.configuration.current.pools.values():
        state = await maintenance.rounds.step_pool(pool, [])
        maintenance.pools[pool.name] = state


async def run_json(daemon, *words):
    """Run a command with ``--json``, which must succeed; return its output."""
    outcome = await daemon.run_hemlockctl(*words, "--json")
    assert outcome.code == ExitCode.OK, outcome
    return json.loads(outcome.out)


async def test_move_and_status(tmp_path):
    """Guards against a move that is not shown or exceeds its budget."""
    async with run_fleet(tmp_path) as daemon:
        listed = await daemon.run_hemlockctl("instance", "status")
        assert listed.out.splitlines()[2].split() == [
            *("w1", "worker", "dc0", "live", "night", "-")
        ]
        moved = await run_json(daemon, "instance", "move", "w1", "--to", "spare")
        assert moved == {"instance": "w1", "pool": "spare", "state": "draining"}
        shown = await run_json(daemon, "instance", "status", "w1")
        assert shown["instances"][0]["phase"] == "draining"
        assert shown["instances"][0]["target"] == "spare"
        assert shown["instances"][0]["quarantined"] is False
        unknown = await daemon.run_hemlockctl("instance", "status", "w9")
        assert unknown.code == ExitCode.REFUSED
        for words, text in (
            (("w1", "--to", "spare"), "not_serving"),
            (("w2", "--to", "spare"), "budget_exhausted"),
            (("w2", "--to", "night"), "same_pool"),
            (("w2", "--to", "hinge"), "is of kind worker"),
            (("w2", "--to", "nothing"), "pool 'nothing' does not exist"),
            (("w9", "--to", "spare"), "'w9' is not in the platform's list"),
        ):
            refused = await daemon.run_hemlockctl("instance", "move", *words)
            assert refused.code == ExitCode.REFUSED, refused
            assert text in refused.err


async def test_status_shows_quarantine(tmp_path):
    """Guards against a quarantined worker that is not shown to operators."""
    async with run_fleet(tmp_path) as daemon:
        state = WorkerState(
            "w1", failed_jobs=("a", "b", "c"), quarantine=Quarantine(("a",), 0.0, 1)
        )
        await daemon.platform.table.transact([encode_worker(state)])
        shown = (await run_json(daemon, "instance", "status", "w1"))["instances"][0]
        assert (shown["quarantined"], shown["probes"]) == (True, 1)
        assert shown["failed_jobs"] == ["a", "b", "c"]
        released = await run_json(daemon, "instance", "release", "w1")
        assert released["quarantined"] is False
        shown = (await run_json(daemon, "instance", "status", "w1"))["instances"][0]
        assert (shown["quarantined"], shown["failed_jobs"]) == (False, [])
        again = await daemon.run_hemlockctl("instance", "release", "w1")
        assert (again.code, "not in quarantine" in again.err) == (
            ExitCode.REFUSED,
            True,
        )


async def test_demanded_run_is_kept_in_the_table(tmp_path):
    """Guards against a demanded run that is lost with the daemon."""
    async with run_fleet(tmp_path) as daemon:
        demanded = await run_json(daemon, "job", "run", "reconcile")
        rows = daemon.platform.table.rows
        key = next(key for key in rows if key.startswith("work/"))
        work = decode_work(key, rows[key])
        assert demanded["task"] in {*work.demanded, *work.running}
        unknown = await daemon.run_hemlockctl("job", "run", "nothing")
        assert unknown.code == ExitCode.REFUSED


async def test_wave_from_plan_to_pause(tmp_path):
    """Guards against a wave that starts on wrong pools or cannot be paused."""
    async with run_fleet(tmp_path) as daemon:
        planned = await run_json(daemon, "wave", "plan", "--pool", "night,spare")
        assert [entry["rounds"] for entry in planned["pools"]] == [4, None]
        refused = await daemon.run_hemlockctl("wave", "start", "w1", "--pool", "spare")
        assert (refused.code, "no_budget" in refused.err) == (ExitCode.REFUSED, True)
        unknown = await daemon.run_hemlockctl("wave", "pause", "w1")
        assert unknown.code == ExitCode.REFUSED
        started = await run_json(daemon, "wave", "start", "w1", "--pool", "night")
        assert (started["pools"], started["state"]) == (["night"], "running")
        again = await daemon.run_hemlockctl("wave", "start", "w1", "--pool", "night")
        assert (again.code, "wave_exists" in again.err) == (ExitCode.REFUSED, True)
        assert (await run_json(daemon, "wave", "pause", "w1"))["state"] == "paused"
        assert (await run_json(daemon, "wave", "start", "w1"))["state"] == "running"
        shown = await run_json(daemon, "wave", "status", "w1")
        assert (shown["waves"][0]["total"], shown["waves"][0]["left"]) == (4, 4)
        listed = await daemon.run_hemlockctl("wave", "status")
        assert listed.out.splitlines()[1].split()[:3] == ["w1", "running", "night"]


async def test_jobs_keep_their_list_in_an_outage(tmp_path, monkeypatch):
    """Guards against jobs that cannot be shown in an outage of the table."""
    async with run_fleet(tmp_path) as daemon:
        jobs = (await run_json(daemon, "job", "list"))["jobs"]
        assert [(job["name"], job["state"]) for job in jobs] == [
            ("reconcile", "wanted")
        ]
        cancelled = await run_json(daemon, "job", "cancel", "reconcile")
        assert cancelled == {"job": "reconcile", "cancelled": []}
        unparked = await run_json(daemon, "job", "unpark", "reconcile")
        assert unparked["state"] == "wanted"

        async def refuse(self, keys):
            raise PlatformUnavailable("table is down")

        monkeypatch.setattr(MemoryTable, "read_many", refuse)
        shown = await run_json(daemon, "job", "show", "reconcile")
        assert (shown["state"], shown["schedule"]) == ("unknown", "daily 02:30")
        assert "table is down" in shown["detail"]


async def test_retired_jobs_are_listed_with_their_cost(tmp_path):
    """Guards against retired jobs whose cost operators cannot see."""
    async with run_fleet(tmp_path) as daemon:
        assert (await run_json(daemon, "job", "unwanted"))["unwanted"] == []
        current = daemon.configuration.current
        job = evolve(current.jobs["reconcile"], last_day=date(2020, 1, 1))
        change = Change(
            "c-retire", "planner", "2026-12-04T06:00:00Z", (PutEntity(job),)
        )
        await daemon.configuration.commit(change, current.version)
        (listed,) = (await run_json(daemon, "job", "unwanted"))["unwanted"]
        assert (listed["job"], listed["last_day"]) == ("reconcile", "2020-01-01")
        assert listed["runs_a_day"] == 1.0
        assert listed["instance_hours_a_day"] == job.run_minutes / 60
