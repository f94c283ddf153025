"""Structured logs, as JSON lines or text.

The daemon on the fleet platform writes to standard output and never waits
for it: lines that find no room are dropped and counted.
"""

import json
import logging
import os
import sys
from traceback import format_exception

from loguru import logger

from hemlockstand.settings import LogSettings

TEXT_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {extra[module]}: {message}"


def configure_logs(settings: LogSettings, daemon: str) -> None:
    """Send log lines of the set level and above to standard error."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logger.remove()
    logger.configure(extra={"module": "hemlockstand", "daemon": daemon})
    if settings.format == "json":
        logger.add(_write_json, level=settings.level, catch=True)
    else:
        # Values of variables in a traceback could be secrets of the settings.
        logger.add(sys.stderr, level=settings.level, format=TEXT_FORMAT, diagnose=False)


def configure_fleet_logs(settings: LogSettings, daemon: str) -> None:
    """Send JSON lines of the set level and above to standard output."""
    logger.remove()
    logger.configure(extra={"module": "hemlockstand", "daemon": daemon})
    os.set_blocking(sys.stdout.fileno(), False)
    logger.add(LineWriter(sys.stdout.fileno()), level=settings.level, catch=True)


class LineWriter:
    """Writes JSON lines to a file descriptor that does not block."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        self._rest = b""

    def __call__(self, message) -> None:
        line = format_line(message.record)
        if self.dropped:
            line = {**line, "dropped_lines": self.dropped}
        text = json.dumps(line, default=str).encode() + b"\n"
        # The rest of a line that was written in part goes first.
        if self._write(self._rest) and not self._rest and self._write(text):
            self.dropped = 0
        else:
            self.dropped += 1

    def _write(self, text: bytes) -> bool:
        """Write what finds room; return whether anything could be written."""
        if not text:
            return True
        try:
            written = os.write(self._descriptor, text)
        except BlockingIOError:
            return False
        self._rest = text[written:]
        return True


def _write_json(message) -> None:
    print(json.dumps(format_line(message.record), default=str), file=sys.stderr)


def format_line(record) -> dict[str, object]:
    """Return the fields of a log line."""
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = "".join(format_exception(record["exception"].value))
    return line
