"""Commits of operators' changes, with and without a given base version."""

from collections.abc import Callable, Sequence
from datetime import UTC, date, datetime

import trio

from hemlockstand.configuration.changes import Change, Edit
from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.configuration.store import ConfigurationConflict
from hemlockstand.errors import InvalidInput
from hemlockstand.model import Configuration
from hemlockstand.operators.messages import OperatorRequest

# A daemon learns of a commit within its poll interval, usually 1 s.
PROPAGATION_TIMEOUT_SECONDS = 5
# Operators and the two-year rate of 25,000 changes a day collide rarely; more
# conflicts in a row mean that this daemon does not receive the changes.
MAX_ATTEMPTS = 5


def read_time() -> str:
    """Return the wall-clock time in ISO 8601, for display in the history."""
    return datetime.now(UTC).isoformat(timespec="seconds")


def read_today() -> date:
    """Return the day in UTC."""
    return datetime.now(UTC).date()


async def wait_known(configuration: ConfigurationService, version: int) -> None:
    """Wait until this daemon has the version; raises ``InvalidInput``."""
    with trio.move_on_after(PROPAGATION_TIMEOUT_SECONDS):
        await configuration.wait_version(version)
    if configuration.current.version < version:
        raise InvalidInput(
            f"version {version} is not known to this daemon, which has "
            f"{configuration.current.version}"
        )


def check_base(configuration: ConfigurationService, base: int) -> None:
    """Check that nothing is known to be committed after the base version.

    Raises ``ConfigurationConflict`` if another change was committed after the
    base.
    """
    if configuration.current.version > base:
        raise ConfigurationConflict(base, configuration.current.version)


async def commit_edits(
    configuration: ConfigurationService,
    request: OperatorRequest,
    make_edits: Callable[[Configuration], Sequence[Edit]],
) -> int:
    """Commit edits that make sense on any version.

    ``make_edits`` is called for each version it is tried on and raises an
    error if the edits make no sense there. No edits commit nothing and return
    the version in force.
    """
    for attempt in range(1, MAX_ATTEMPTS + 1):
        current = configuration.current
        edits = tuple(make_edits(current))
        if not edits:
            return current.version
        change = Change(request.change_id, request.author, read_time(), edits)
        try:
            return await configuration.commit(change, current.version)
        except ConfigurationConflict:
            if attempt == MAX_ATTEMPTS:
                raise
        with trio.move_on_after(PROPAGATION_TIMEOUT_SECONDS):
            await configuration.wait_version(current.version + 1)
    raise AssertionError("the loop returns or raises")
