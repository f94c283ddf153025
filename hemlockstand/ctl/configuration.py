"""The verbs ``config version|history|wait`` and ``status``."""

from typing import Any

from hemlockstand.ctl.commands import Command, Context, format_table
from hemlockstand.ctl.exits import ExitCode
from hemlockstand.ctl.waiting import describe_wait, fetch_wait_report

MAX_SHOWN_EDITS = 3
DEFAULT_WAIT_SECONDS = 10


async def show_version(context: Context) -> ExitCode:
    """Show the version in force."""
    result = await context.client.get("config/version")
    day = result["sheet_day"] or "no sheet yet"
    context.show(result, [f"version {result['version']}, sheet of {day}"])
    return ExitCode.OK


async def show_history(context: Context) -> ExitCode:
    """Show the newest changes."""
    result = await context.client.get("config/history", limit=context.flags.limit)
    rows = [
        (change["version"], change["time"], change["author"], _summarise(change))
        for change in result["changes"]
    ]
    context.show(result, format_table(("version", "time", "author", "edits"), rows))
    return ExitCode.OK


async def wait(context: Context) -> ExitCode:
    """Wait until all daemons have a version."""
    seconds = context.flags.wait
    if seconds is None:
        seconds = DEFAULT_WAIT_SECONDS
    report = await fetch_wait_report(context, context.flags.version, seconds)
    context.show(report, describe_wait(report))
    return ExitCode.OK if report["complete"] else ExitCode.NOT_IN_FORCE


async def show_status(context: Context) -> ExitCode:
    """Show the state of a daemon and of the other members it knows."""
    result = await context.client.get("status/show")
    counts = ", ".join(
        f"{result[kind]} {kind}"
        for kind in ("teams", "pools", "queues", "jobs", "keys", "drains")
    )
    rows = [
        (
            member["name"],
            member["data_centre"],
            _describe_member(member),
            member["version"],
        )
        for member in result["members"]
    ]
    lines = [
        f"daemon {result['daemon']} in {result['data_centre']}, "
        f"incarnation {result['incarnation']}",
        f"version {result['version']}, sheet of {result['sheet_day'] or 'no day yet'}",
        counts,
        *format_table(("daemon", "data centre", "state", "version"), rows),
    ]
    context.show(result, lines)
    return ExitCode.OK


def _describe_member(member: dict[str, Any]) -> str:
    if member["leaving"]:
        return "leaving"
    return "alive" if member["alive"] else "silent"


def _summarise(change: dict[str, Any]) -> str:
    edits = change["edits"]
    shown = [
        " ".join(str(value) for value in edit.values())
        for edit in edits[:MAX_SHOWN_EDITS]
    ]
    more = len(edits) - len(shown)
    return "; ".join(shown) + (f" and {more} more" if more else "")


CONFIGURATION_COMMANDS = (
    Command(("config", "version"), "Show the version in force.", show_version),
    Command(("config", "history"), "Show the newest changes.", show_history),
    Command(("config", "wait"), "Wait until all daemons have a version.", wait),
    Command(("status",), "Show a daemon and its peers.", show_status),
)
