"""The verbs of teams, pools, queues, instances, jobs and waves."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from hemlockstand.ctl.commands import Command, Context, UsageError, format_table
from hemlockstand.ctl.exits import ExitCode
from hemlockstand.ctl.waiting import wait_if_asked
from hemlockstand.errors import NotFound
from hemlockstand.operators.client import Refused
from hemlockstand.operators.messages import NotAvailable

Run = Callable[[Context], Awaitable[ExitCode]]


def make_list(path: str, group: str, columns: Sequence[str]) -> Run:
    """Return a verb that shows the objects of a list as a table."""

    async def show(context: Context) -> ExitCode:
        result = await context.client.get(path)
        rows = [[_show(entry[name]) for name in columns] for entry in result[group]]
        context.show(result, format_table(columns, rows))
        return ExitCode.OK

    return show


def make_show(path: str, group: str) -> Run:
    """Return a verb that shows one object of a list with all its fields."""

    async def show(context: Context) -> ExitCode:
        name = context.arguments[0]
        result = await context.client.get(path)
        found = [entry for entry in result[group] if entry["name"] == name]
        if not found:
            raise NotFound(f"{group[:-1]} {name!r} does not exist")
        lines = [f"{field}: {_show(value)}" for field, value in found[0].items()]
        context.show(found[0], lines)
        return ExitCode.OK

    return show


async def show_job(context: Context) -> ExitCode:
    """Show a job, and its runs if the daemon has them."""
    name = context.arguments[0]
    listed = await context.client.get("job/list")
    found = [entry for entry in listed["jobs"] if entry["name"] == name]
    if not found:
        raise NotFound(f"job {name!r} does not exist")
    try:
        runs = await context.client.get("job/runs", job=name)
    except Refused as error:
        if error.code != NotAvailable.code:
            raise
        runs = {"runs": "not available"}
    result = {**found[0], **runs}
    context.show(result, _describe(result))
    return ExitCode.OK


async def drain(context: Context) -> ExitCode:
    """Take an instance out of service."""
    instance = context.arguments[0]
    if not context.flags.reason:
        raise UsageError("--reason is needed")
    result = await context.client.post(
        "instance/drain", instance=instance, reason=context.flags.reason
    )
    line = f"instance {instance} is drained, version {result['version']}"
    return await wait_if_asked(context, result, [line])


async def undrain(context: Context) -> ExitCode:
    """Return an instance to service."""
    instance = context.arguments[0]
    result = await context.client.post("instance/undrain", instance=instance)
    line = f"instance {instance} is in service, version {result['version']}"
    return await wait_if_asked(context, result, [line])


async def move(context: Context) -> ExitCode:
    """Move an instance to another pool."""
    if not context.flags.to:
        raise UsageError("--to is needed")
    result = await context.client.post(
        "instance/move", instance=context.arguments[0], pool=context.flags.to
    )
    context.show(result, _describe(result))
    return ExitCode.OK


async def cancel_job(context: Context) -> ExitCode:
    """Cancel the runs of a job."""
    result = await context.client.post("job/cancel", job=context.arguments[0])
    context.show(result, _describe(result))
    return ExitCode.OK


async def plan_wave(context: Context) -> ExitCode:
    """Plan a wave over pools."""
    result = await context.client.post("wave/plan", pool=context.flags.pool)
    context.show(result, _describe(result))
    return ExitCode.OK


def make_wave_step(verb: str) -> Run:
    """Return a verb that changes one wave."""

    async def step(context: Context) -> ExitCode:
        result = await context.client.post(f"wave/{verb}", wave=context.arguments[0])
        context.show(result, _describe(result))
        return ExitCode.OK

    return step


async def show_waves(context: Context) -> ExitCode:
    """Show the waves or one of them."""
    wave = context.arguments[0] if context.arguments else None
    result = await context.client.get("wave/status", wave=wave)
    context.show(result, _describe(result))
    return ExitCode.OK


def _describe(result: dict[str, Any]) -> list[str]:
    return [f"{field}: {_show(value)}" for field, value in result.items()]


def _show(value: Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case None:
            return "-"
        case list():
            return " ".join(_show(item) for item in value)
        case dict():
            return ", ".join(f"{name} {_show(item)}" for name, item in value.items())
        case _:
            return str(value)


TEAM_COLUMNS = ("name", "house", "share", "share_part", "request_limit", "job_limit")
POOL_COLUMNS = ("name", "kind", "data_centres", "size", "budget")
QUEUE_COLUMNS = ("name", "team", "access", "idempotent", "priority", "pool")
JOB_COLUMNS = ("name", "team", "pool", "schedule", "last_day", "wanted")

FLEET_COMMANDS = (
    Command(
        ("team", "list"),
        "List the teams.",
        make_list("team/list", "teams", TEAM_COLUMNS),
    ),
    Command(
        ("team", "show"), "Show a team.", make_show("team/list", "teams"), ("NAME",)
    ),
    Command(
        ("pool", "list"),
        "List the pools.",
        make_list("pool/list", "pools", POOL_COLUMNS),
    ),
    Command(
        ("pool", "show"), "Show a pool.", make_show("pool/list", "pools"), ("NAME",)
    ),
    Command(
        ("queue", "list"),
        "List the queues.",
        make_list("queue/list", "queues", QUEUE_COLUMNS),
    ),
    Command(
        ("instance", "status"),
        "List the drained instances.",
        make_list("instance/status", "drains", ("instance", "reason")),
    ),
    Command(
        ("instance", "drain"),
        "Take an instance out of service. Needs --reason.",
        drain,
        ("ID",),
    ),
    Command(
        ("instance", "undrain"), "Return an instance to service.", undrain, ("ID",)
    ),
    Command(("instance", "move"), "Move an instance. Needs --to.", move, ("ID",)),
    Command(
        ("job", "list"), "List the jobs.", make_list("job/list", "jobs", JOB_COLUMNS)
    ),
    Command(("job", "show"), "Show a job.", show_job, ("NAME",)),
    Command(("job", "cancel"), "Cancel the runs of a job.", cancel_job, ("NAME",)),
    Command(("wave", "plan"), "Plan a wave; --pool for one pool.", plan_wave),
    Command(
        ("wave", "start"), "Start or resume a wave.", make_wave_step("start"), ("ID",)
    ),
    Command(("wave", "pause"), "Pause a wave.", make_wave_step("pause"), ("ID",)),
    Command(("wave", "status"), "Show the waves.", show_waves, (), ("ID",)),
)
