"""Waiting until every daemon has a version in force."""

from typing import Any

from hemlockstand.ctl.commands import Context
from hemlockstand.ctl.exits import ExitCode
from hemlockstand.errors import HemlockstandError


async def wait_if_requested(
    context: Context, result: dict[str, Any], lines: list[str]
) -> ExitCode:
    """Show a committed change, and with ``--wait`` which daemons have it."""
    if context.flags.wait is None:
        context.show(result, lines)
        return ExitCode.OK
    try:
        report = await fetch_wait_report(context, result["version"], context.flags.wait)
    except HemlockstandError:
        # The change is committed, and a granted key can only be shown now.
        context.show(result, lines)
        raise
    context.show(result | {"wait": report}, lines + describe_wait(report))
    return ExitCode.OK if report["complete"] else ExitCode.NOT_IN_FORCE


async def fetch_wait_report(
    context: Context, version: int | None, seconds: int
) -> dict[str, Any]:
    """Return which daemons have the version.

    Waits at most ``seconds`` until all of them have it.
    """
    return await context.client.get(
        "config/wait", version=version, seconds=seconds, extra_seconds=seconds
    )


def describe_wait(report: dict[str, Any]) -> list[str]:
    """Return lines that list the daemons with and without the version."""
    lines = [
        f"version {report['version']} is in force at {len(report['in_force'])} "
        f"daemons after {report['waited_seconds']:g} s: {', '.join(report['in_force'])}"
    ]
    for name, known in report["behind"].items():
        lines.append(f"behind: {name} has version {known}")
    for name in report["not_answered"]:
        lines.append(f"has not answered: {name}")
    return lines
