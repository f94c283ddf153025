"""Structured logs on standard error, as JSON lines or text."""

import json
import logging
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


def _write_json(message) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = "".join(format_exception(record["exception"].value))
    print(json.dumps(line, default=str), file=sys.stderr)
