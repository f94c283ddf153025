"""The verb that shows the views of a scheduler on the fleet platform."""

from collections.abc import Iterator
from typing import Any

from hemlockstand.ctl.commands import Command, Context, format_table
from hemlockstand.ctl.exits import ExitCode
from hemlockstand.ctl.fleet import format_value


async def show_view(context: Context) -> ExitCode:
    """Show a view; its lists of objects become tables."""
    name = context.arguments[0]
    result = await context.client.get_view(name, limit=context.flags.limit)
    context.show(result, list(_format_view(result)))
    return ExitCode.OK


def _format_view(result: dict[str, Any]) -> Iterator[str]:
    for field, value in result.items():
        match value:
            case [dict(), *_]:
                columns = list(dict.fromkeys(name for entry in value for name in entry))
                rows = [
                    [format_value(entry.get(name)) for name in columns]
                    for entry in value
                ]
                yield f"{field}:"
                yield from format_table(columns, rows)
            case _:
                yield f"{field}: {format_value(value) or '(none)'}"


VIEW_COMMANDS = (
    Command(
        ("fleet",),
        "Show a view of the scheduler on a fleet platform; --server is its "
        "metrics address.",
        show_view,
        ("VIEW",),
    ),
)
