"""Entry point of hemlockctl: flags, verbs, errors and exit codes."""

import getpass
import json
import os
import sys
from collections.abc import Sequence
from typing import TextIO

import httpx
import trio
from absl import flags

from hemlockstand.ctl.commands import Command, Context, UsageError
from hemlockstand.ctl.configuration import CONFIGURATION_COMMANDS
from hemlockstand.ctl.exits import EXIT_BY_ERROR, ExitCode
from hemlockstand.ctl.fleet import FLEET_COMMANDS
from hemlockstand.ctl.keys import KEY_COMMANDS
from hemlockstand.ctl.sheet import SHEET_COMMANDS
from hemlockstand.ctl.views import VIEW_COMMANDS
from hemlockstand.errors import HemlockstandError
from hemlockstand.operators.client import (
    DEFAULT_TIMEOUT_SECONDS,
    OperatorClient,
    Refused,
)

TOKEN_VARIABLE = "HEMLOCKCTL_TOKEN"
SERVER_VARIABLE = "HEMLOCKCTL_SERVER"
DEFAULT_SERVER = "http://127.0.0.1:8101"

COMMANDS: tuple[Command, ...] = (
    *SHEET_COMMANDS,
    *KEY_COMMANDS,
    *FLEET_COMMANDS,
    *CONFIGURATION_COMMANDS,
    *VIEW_COMMANDS,
)


def main() -> None:
    """Run the command line of the process and exit."""
    sys.exit(trio.run(run_command, sys.argv[1:], sys.stdout, sys.stderr))


async def run_command(arguments: Sequence[str], out: TextIO, err: TextIO) -> ExitCode:
    """Run one command line and return its exit code."""
    values = define_flags()
    try:
        words = values(["hemlockctl", *map(normalise_flag, arguments)])[1:]
        if values.help or not words:
            print(describe_usage(values), file=out if values.help else err)
            return ExitCode.OK if values.help else ExitCode.USAGE
        return await _run_verb(words, values, out)
    except flags.Error as error:
        print(f"hemlockctl: usage: {error}", file=err)
        return ExitCode.USAGE
    except HemlockstandError as error:
        _print_error(error, values, out, err)
        return choose_exit(error)


def choose_exit(error: HemlockstandError) -> ExitCode:
    """Return the exit code of an error.

    Errors whose code has no exit code are ``REFUSED`` if the daemon refused
    the call with a 4xx status, else ``FAILED``.
    """
    refused = isinstance(error, Refused) and error.status < 500
    default = ExitCode.REFUSED if refused else ExitCode.FAILED
    return EXIT_BY_ERROR.get(error.code, default)


def define_flags() -> flags.FlagValues:
    """Return new flags, so that several runs in one process share none."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    server = os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER)

    def define_text(name: str, default: str | None, text: str) -> None:
        flags.DEFINE_string(name, default, text, flag_values=values)

    def define_number(name: str, default: int | None, text: str, low: int = 0) -> None:
        flags.DEFINE_integer(name, default, text, lower_bound=low, flag_values=values)

    define_text("server", server, f"Operator address; also ${SERVER_VARIABLE}.")
    define_text("token", None, f"Operator token; better ${TOKEN_VARIABLE}.")
    define_text("author", None, "Name shown in the history; default the user.")
    define_text("day", None, "Day of a sheet that has no row of kind sheet.")
    define_text("team", None, "Team of a key.")
    define_text("reason", None, "Why an instance is drained.")
    define_text("to", None, "Pool that an instance moves to.")
    define_text("pool", None, "Pools of a wave, separated by commas.")
    define_number("version", None, "Version a sheet was planned on, or to wait for.")
    define_number("confirm_drops", None, "Number of drops to confirm.")
    define_number("wait", None, "Seconds to wait until all daemons are current.")
    define_number("limit", 20, "Number of changes or entries to show.", 1)
    define_number("timeout", DEFAULT_TIMEOUT_SECONDS, "Seconds for one call.", 1)
    flags.DEFINE_boolean("json", False, "Write JSON.", flag_values=values)
    flags.DEFINE_boolean("help", False, "Show this text.", flag_values=values)
    return values


def normalise_flag(argument: str) -> str:
    """Return a flag with underscores, as absl names it.

    ``--confirm-drops`` becomes ``--confirm_drops``; values stay as they are.
    """
    name, equals, value = argument.partition("=")
    if not name.startswith("--"):
        return argument
    return "--" + name[2:].replace("-", "_") + equals + value


def describe_usage(values: flags.FlagValues) -> str:
    """Return the help text with all verbs and flags."""
    width = max(len(command.usage) for command in COMMANDS)
    verbs = [f"  {command.usage:{width}}  {command.help}" for command in COMMANDS]
    options = [
        f"  --{name.replace('_', '-'):16}{values[name].help}" for name in sorted(values)
    ]
    return "\n".join(
        ["usage: hemlockctl VERB [FLAGS]", "", "verbs:", *verbs]
        + ["", "flags:", *options]
    )


def find_command(words: Sequence[str]) -> tuple[Command, tuple[str, ...]]:
    """Return the command that the words name, and its arguments.

    Raises ``UsageError`` for an unknown verb or a wrong number of arguments.
    """
    for command in COMMANDS:
        count = len(command.words)
        if tuple(words[:count]) == command.words:
            return command, _check_arguments(command, tuple(words[count:]))
    verbs = [
        " ".join(command.words) for command in COMMANDS if command.words[0] == words[0]
    ]
    known = ", ".join(verbs or dict.fromkeys(command.words[0] for command in COMMANDS))
    raise UsageError(f"unknown verb {' '.join(words[:2])!r}; known: {known}")


def _check_arguments(command: Command, given: tuple[str, ...]) -> tuple[str, ...]:
    needed = len(command.arguments)
    if not needed <= len(given) <= needed + len(command.optional):
        raise UsageError(f"expected 'hemlockctl {command.usage}'")
    return given


async def _run_verb(
    words: Sequence[str], values: flags.FlagValues, out: TextIO
) -> ExitCode:
    command, arguments = find_command(words)
    if command.local:
        return await command.run(Context(values, arguments, None, out))
    token = values.token or os.environ.get(TOKEN_VARIABLE)
    if not token:
        raise UsageError(f"no token; set {TOKEN_VARIABLE} or give --token")
    if not (token.isascii() and token.isprintable()):
        raise UsageError("the token must have printable ASCII characters only")
    server = _check_server(values.server)
    author = values.author or _get_user_name()
    async with OperatorClient(server, token, author, values.timeout) as client:
        return await command.run(Context(values, arguments, client, out))


def _check_server(server: str) -> str:
    try:
        url = httpx.URL(server)
    except httpx.InvalidURL as error:
        raise UsageError(f"--server {server!r}: {error}") from None
    if url.scheme not in ("http", "https") or not url.host:
        raise UsageError(f"--server {server!r}: must be like {DEFAULT_SERVER}")
    return server


def _get_user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _print_error(
    error: HemlockstandError, values: flags.FlagValues, out: TextIO, err: TextIO
) -> None:
    """Write an error to ``err``, with one line for each problem of a sheet.

    With ``--json`` the problems go to ``out`` instead, in a JSON object.
    """
    problems = getattr(error, "problems", [])
    print(f"hemlockctl: {error.code}: {error.message}", file=err)
    if values.is_parsed() and values.json:
        body = {"code": error.code, "detail": error.message, "problems": problems}
        print(json.dumps(body, ensure_ascii=False), file=out)
        return
    for problem in problems:
        location = f"{problem['file']}:{problem['row']}"
        column = f" column {problem['column']}" if problem["column"] else ""
        value = f" value {problem['value']!r}" if problem["value"] else ""
        line = f"{location}:{column}{value}: {problem['detail']} [{problem['code']}]"
        print(line, file=err)


if __name__ == "__main__":
    main()
