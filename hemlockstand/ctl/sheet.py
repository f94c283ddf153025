"""The verbs ``sheet check``, ``sheet plan`` and ``sheet apply``."""

from datetime import date
from pathlib import Path
from typing import Any

from hemlockstand.ctl.commands import Command, Context, UsageError
from hemlockstand.ctl.exits import ExitCode
from hemlockstand.ctl.waiting import wait_if_requested
from hemlockstand.errors import HemlockstandError
from hemlockstand.operators.client import Effect
from hemlockstand.sheet.checks import check_sheet, parse_day
from hemlockstand.sheet.problems import SheetError
from hemlockstand.sheet.reader import MAX_SHEET_BYTES


class InvalidSheet(HemlockstandError):
    """A sheet that was checked without a daemon has problems."""

    code = SheetError.code

    def __init__(self, message: str, problems: list[Any]) -> None:
        super().__init__(message)
        self.problems = problems


ACTION_SYMBOLS = {"add": "+", "change": "~", "drop": "-"}


async def check(context: Context) -> ExitCode:
    """Check a sheet without a daemon."""
    file = context.arguments[0]
    try:
        sheet = check_sheet(_read_file(file), file, _read_day(context.flags.day))
    except SheetError as error:
        detail = f"the sheet has {len(error.problems)} problems"
        raise InvalidSheet(detail, error.to_json()) from None
    result = {
        "day": sheet.day.isoformat(),
        "teams": len(sheet.teams),
        "pools": len(sheet.pools),
        "queues": len(sheet.queues),
        "jobs": len(sheet.jobs),
    }
    counts = ", ".join(f"{count} {kind}" for kind, count in result.items())
    context.show(result, [f"{file}: correct: {counts.replace(' day', '')}"])
    return ExitCode.OK


async def plan(context: Context) -> ExitCode:
    """Show what a sheet would change, and the command that applies it."""
    file = context.arguments[0]
    result = await context.client.post(
        "sheet/plan",
        content=_read_file(file),
        effect=Effect.NONE,
        file=file,
        day=context.flags.day,
    )
    lines = _describe_plan(result)
    lines.append(f"planned on version {result['version']}; to apply:")
    confirm = ""
    if result["needs_confirmation"]:
        confirm = f" --confirm-drops {result['total_drops']}"
    lines.append(
        f"  hemlockctl sheet apply {file} --version {result['version']}{confirm}"
    )
    context.show(result, lines)
    return ExitCode.OK


async def apply(context: Context) -> ExitCode:
    """Put a sheet in force."""
    file = context.arguments[0]
    if context.flags.version is None:
        raise UsageError("--version is needed; 'sheet plan' prints it")
    result = await context.client.post(
        "sheet/apply",
        content=_read_file(file),
        file=file,
        day=context.flags.day,
        version=context.flags.version,
        confirm_drops=context.flags.confirm_drops,
    )
    if result["committed"]:
        line = f"committed as version {result['version']}"
    else:
        line = f"nothing to change; version {result['version']} stays in force"
    return await wait_if_requested(context, result, [line])


def _read_file(file: str) -> bytes:
    try:
        data = Path(file).read_bytes()
    except OSError as error:
        raise UsageError(f"{file}: cannot be read: {error.strerror}") from None
    if len(data) > MAX_SHEET_BYTES:
        raise UsageError(f"{file}: has more than {MAX_SHEET_BYTES} bytes")
    return data


def _read_day(text: str | None) -> date | None:
    if text is None:
        return None
    try:
        return parse_day(text)
    except ValueError as error:
        raise UsageError(f"--day {text}: {error}") from None


def _describe_plan(result: dict[str, Any]) -> list[str]:
    lines = [f"sheet of {result['day']}"]
    for difference in result["differences"]:
        symbol = ACTION_SYMBOLS[difference["action"]]
        lines.append(f"{symbol} {difference['kind']} {difference['name']}")
        for name, (old, new) in difference["fields"].items():
            lines.append(f"    {name}: {_format_value(old)} -> {_format_value(new)}")
    if not result["differences"]:
        lines.append("no difference to the configuration in force")
    for kind, (dropped, before) in result["drops"].items():
        if dropped:
            wanted = "wanted " if kind == "job" else ""
            lines.append(f"drops {dropped} of {before} {wanted}{kind}s")
    if result["teamless_keys"]:
        names = ", ".join(result["teamless_keys"])
        lines.append(f"keys without a team, refused until it is back: {names}")
    return lines


def _format_value(value: Any) -> str:
    return " ".join(value) if isinstance(value, list) else str(value)


SHEET_COMMANDS = (
    Command(
        ("sheet", "check"),
        "Check a sheet without a daemon.",
        check,
        ("FILE",),
        (),
        True,
    ),
    Command(("sheet", "plan"), "Show what a sheet would change.", plan, ("FILE",)),
    Command(("sheet", "apply"), "Put a sheet in force.", apply, ("FILE",)),
)
