"""Base classes of the verbs of hemlockctl, with their input and output."""

import json
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TextIO

from absl import flags
from attrs import frozen

from hemlockstand.ctl.exits import ExitCode
from hemlockstand.errors import HemlockstandError
from hemlockstand.operators.client import OperatorClient


class UsageError(HemlockstandError):
    """The command line is invalid; nothing was sent."""

    code = "usage"


@frozen
class Context:
    """Input and output of one call of a verb.

    ``client`` is ``None`` for verbs that need no daemon.
    """

    flags: flags.FlagValues
    arguments: tuple[str, ...]
    client: OperatorClient | None
    out: TextIO

    def write(self, line: str = "") -> None:
        """Write one line of output."""
        print(line, file=self.out)

    def show(self, result: Any, lines: Sequence[str]) -> None:
        """Write the result as JSON if ``--json`` is given, else the lines."""
        if self.flags.json:
            print(json.dumps(result, ensure_ascii=False), file=self.out)
            return
        for line in lines:
            self.write(line)


@frozen
class Command:
    """One verb of hemlockctl.

    The command line begins with ``words``; ``arguments`` follow and then the
    ``optional`` ones. ``local`` verbs need no daemon and no token.
    """

    words: tuple[str, ...]
    help: str
    run: Callable[[Context], Awaitable[ExitCode]]
    arguments: tuple[str, ...] = ()
    optional: tuple[str, ...] = ()
    local: bool = False

    @property
    def usage(self) -> str:
        """The command line without flags."""
        optional = [f"[{name}]" for name in self.optional]
        return " ".join((*self.words, *self.arguments, *optional))


def format_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[str]:
    """Return aligned lines, or one line ``(none)`` if there are no rows."""
    if not rows:
        return ["(none)"]
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
