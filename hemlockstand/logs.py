"""Structured logs, as JSON lines or text.

The daemon on the fleet platform writes to standard output without blocking:
lines that it does not accept at once are dropped and counted.
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
    """Send log lines of the configured level and above to standard error."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logger.remove()
    logger.configure(extra={"module": "hemlockstand", "daemon": daemon})
    if settings.format == "json":
        logger.add(_write_json, level=settings.level, catch=True)
    else:
        # With diagnose, tracebacks show values of variables, which may be
        # secrets from the settings.
        logger.add(sys.stderr, level=settings.level, format=TEXT_FORMAT, diagnose=False)


def configure_fleet_logs(settings: LogSettings, daemon: str) -> None:
    """Send JSON lines of the configured level and above to standard output."""
    logger.remove()
    logger.configure(extra={"module": "hemlockstand", "daemon": daemon})
    os.set_blocking(sys.stdout.fileno(), False)
    logger.add(LineWriter(sys.stdout.fileno()), level=settings.level, catch=True)


class LineWriter:
    """Writes JSON lines to a non-blocking file descriptor.

    ``dropped`` is the number of lines lost since the last one that was
    written; the next line written carries it as ``dropped_lines``.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        self._remainder = b""

    def __call__(self, message) -> None:
        line = format_line(message.record)
        if self.dropped:
            line = {**line, "dropped_lines": self.dropped}
        text = json.dumps(line, default=str).encode() + b"\n"
        # The remainder of a line that was written in part goes first.
        if self._write(self._remainder) and not self._remainder and self._write(text):
            self.dropped = 0
        else:
            self.dropped += 1

    def _write(self, text: bytes) -> bool:
        """Write as many bytes as fit and keep the remainder.

        Returns whether the descriptor accepted any bytes.
        """
        if not text:
            return True
        try:
            written = os.write(self._descriptor, text)
        except BlockingIOError:
            return False
        self._remainder = text[written:]
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
