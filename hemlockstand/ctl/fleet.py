"""The verbs of teams, pools, queues, instances, jobs and waves."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from hemlockstand.ctl.commands import Command, Context, UsageError, format_table
from hemlockstand.ctl.exits import ExitCode
from hemlockstand.ctl.waiting import wait_if_requested
from hemlockstand.errors import NotFound
from hemlockstand.operators.client import Effect

Handler = Callable[[Context], Awaitable[ExitCode]]


def make_list_handler(noun: str, columns: Sequence[str]) -> Handler:
    """Return a handler that lists all objects of a kind as a table."""

    async def show(context: Context) -> ExitCode:
        result = await context.client.get(f"{noun}/list")
        rows = [
            [format_value(entry[name]) for name in columns]
            for entry in result[f"{noun}s"]
        ]
        context.show(result, format_table(columns, rows))
        return ExitCode.OK

    return show


async def show_unwanted(context: Context) -> ExitCode:
    """Show the retired jobs that are still triggered."""
    result = await context.client.get("job/unwanted")
    rows = [
        [format_value(entry[name]) for name in UNWANTED_COLUMNS]
        for entry in result["unwanted"]
    ]
    context.show(result, format_table(UNWANTED_COLUMNS, rows))
    return ExitCode.OK


def make_show_handler(noun: str) -> Handler:
    """Return a handler that shows one object of a kind with all its fields."""

    async def show(context: Context) -> ExitCode:
        name = context.arguments[0]
        result = await context.client.get(f"{noun}/list")
        found = [entry for entry in result[f"{noun}s"] if entry["name"] == name]
        if not found:
            raise NotFound(f"{noun} {name!r} does not exist")
        lines = [f"{field}: {format_value(value)}" for field, value in found[0].items()]
        context.show(found[0], lines)
        return ExitCode.OK

    return show


async def drain(context: Context) -> ExitCode:
    """Take an instance out of service."""
    instance = context.arguments[0]
    if not context.flags.reason:
        raise UsageError("--reason is needed")
    result = await context.client.post(
        "instance/drain", instance=instance, reason=context.flags.reason
    )
    line = f"instance {instance} is drained, version {result['version']}"
    return await wait_if_requested(context, result, [line])


async def undrain(context: Context) -> ExitCode:
    """Return an instance to service."""
    instance = context.arguments[0]
    result = await context.client.post("instance/undrain", instance=instance)
    line = f"instance {instance} is in service, version {result['version']}"
    return await wait_if_requested(context, result, [line])


async def move(context: Context) -> ExitCode:
    """Move an instance to another pool."""
    if not context.flags.to:
        raise UsageError("--to is needed")
    result = await context.client.post(
        "instance/move",
        effect=Effect.ACTION,
        instance=context.arguments[0],
        pool=context.flags.to,
    )
    context.show(result, _describe(result))
    return ExitCode.OK


def make_action_handler(
    path: str, argument: str
) -> Callable[[Context], Awaitable[ExitCode]]:
    """Return a handler that posts its only argument and shows the answer."""

    async def act(context: Context) -> ExitCode:
        arguments = {argument: context.arguments[0]}
        result = await context.client.post(path, effect=Effect.ACTION, **arguments)
        context.show(result, _describe(result))
        return ExitCode.OK

    return act


async def show_instances(context: Context) -> ExitCode:
    """Show all instances, or one with its maintenance phase."""
    instance = context.arguments[0] if context.arguments else None
    result = await context.client.get("instance/status", instance=instance)
    if instance and result["instances"]:
        context.show(result, _describe(result["instances"][0]))
        return ExitCode.OK
    rows = [
        [format_value(entry[name]) for name in INSTANCE_COLUMNS]
        for entry in result["instances"]
    ]
    lines = format_table(INSTANCE_COLUMNS, rows)
    for entry in result["drains"]:
        lines.append(f"drained: {entry['instance']}: {entry['reason']}")
    context.show(result, lines)
    return ExitCode.OK


async def plan_wave(context: Context) -> ExitCode:
    """Show the minimum number of rounds of a wave over pools."""
    result = await context.client.get("wave/plan", pools=context.flags.pool)
    rows = [
        [format_value(value) for value in entry.values()] for entry in result["pools"]
    ]
    header = ("pool", "members", "budget", "rounds")
    context.show(result, format_table(header, rows))
    return ExitCode.OK


async def start_wave(context: Context) -> ExitCode:
    """Start a wave over pools, or resume it."""
    result = await context.client.post(
        "wave/start",
        effect=Effect.ACTION,
        wave=context.arguments[0],
        pools=context.flags.pool,
    )
    context.show(result, _describe(result))
    return ExitCode.OK


async def pause_wave(context: Context) -> ExitCode:
    """Pause a wave."""
    result = await context.client.post(
        "wave/pause", effect=Effect.ACTION, wave=context.arguments[0]
    )
    context.show(result, _describe(result))
    return ExitCode.OK


async def show_waves(context: Context) -> ExitCode:
    """Show the waves or one of them."""
    wave = context.arguments[0] if context.arguments else None
    result = await context.client.get("wave/status", wave=wave)
    if wave:
        context.show(result, _describe(result["waves"][0]))
        return ExitCode.OK
    rows = [
        [format_value(entry[name]) for name in WAVE_COLUMNS]
        for entry in result["waves"]
    ]
    context.show(result, format_table(WAVE_COLUMNS, rows))
    return ExitCode.OK


def _describe(result: dict[str, Any]) -> list[str]:
    return [f"{field}: {format_value(value)}" for field, value in result.items()]


def format_value(value: Any) -> str:
    """Return a value of an answer as text."""
    match value:
        case bool():
            return "yes" if value else "no"
        case None:
            return "-"
        case list():
            return " ".join(format_value(item) for item in value)
        case dict():
            return ", ".join(
                f"{name} {format_value(item)}" for name, item in value.items()
            )
        case _:
            return str(value)


UNWANTED_COLUMNS = (
    "job",
    "team",
    "house",
    "last_day",
    "runs_a_day",
    "instance_hours_a_day",
)
TEAM_COLUMNS = ("name", "house", "share", "share_part", "request_limit", "job_limit")
POOL_COLUMNS = ("name", "kind", "data_centres", "size", "budget")
QUEUE_COLUMNS = ("name", "team", "access", "idempotent", "priority", "pool")
INSTANCE_COLUMNS = ("name", "kind", "data_centre", "listed", "pool", "disruption")
WAVE_COLUMNS = ("id", "state", "pools", "reason")
JOB_COLUMNS = ("name", "team", "pool", "schedule", "last_day", "state")

FLEET_COMMANDS = (
    Command(
        ("team", "list"), "List the teams.", make_list_handler("team", TEAM_COLUMNS)
    ),
    Command(("team", "show"), "Show a team.", make_show_handler("team"), ("NAME",)),
    Command(
        ("pool", "list"), "List the pools.", make_list_handler("pool", POOL_COLUMNS)
    ),
    Command(("pool", "show"), "Show a pool.", make_show_handler("pool"), ("NAME",)),
    Command(
        ("queue", "list"), "List the queues.", make_list_handler("queue", QUEUE_COLUMNS)
    ),
    Command(("instance", "status"), "Show the instances.", show_instances, (), ("ID",)),
    Command(
        ("instance", "drain"),
        "Take an instance out of service. Needs --reason.",
        drain,
        ("ID",),
    ),
    Command(
        ("instance", "undrain"), "Return an instance to service.", undrain, ("ID",)
    ),
    Command(("instance", "move"), "Move an instance to the pool --to.", move, ("ID",)),
    Command(("job", "list"), "List the jobs.", make_list_handler("job", JOB_COLUMNS)),
    Command(("job", "unwanted"), "List retired jobs still triggered.", show_unwanted),
    Command(("job", "show"), "Show a job.", make_show_handler("job"), ("NAME",)),
    Command(
        ("job", "run"),
        "Ask for a run now.",
        make_action_handler("job/run", "job"),
        ("NAME",),
    ),
    Command(
        ("job", "cancel"),
        "Cancel the runs of a job.",
        make_action_handler("job/cancel", "job"),
        ("NAME",),
    ),
    Command(
        ("job", "unpark"),
        "Let a parked job run again.",
        make_action_handler("job/unpark", "job"),
        ("NAME",),
    ),
    Command(
        ("instance", "release"),
        "End a worker's quarantine.",
        make_action_handler("instance/release", "instance"),
        ("ID",),
    ),
    Command(("wave", "plan"), "Show the rounds of a wave over --pool.", plan_wave),
    Command(
        ("wave", "start"),
        "Start a wave over --pool, or resume it.",
        start_wave,
        ("NAME",),
    ),
    Command(("wave", "pause"), "Pause a wave.", pause_wave, ("NAME",)),
    Command(("wave", "status"), "Show the waves.", show_waves, (), ("NAME",)),
)
