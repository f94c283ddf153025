"""Commits of operators' changes, on a given base version or on the newest."""

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
# A daemon receives a commit within its poll interval, usually 1 s.
PROPAGATION_TIMEOUT_SECONDS = 5
# Operators' commits rarely conflict, even at the 25,000 changes a day that are
# planned for in two years. This many conflicts in a row mean that the daemon
# does not receive the changes of others.
MAX_ATTEMPTS = 5


def utc_timestamp() -> str:
    """Return the wall-clock time in ISO 8601, for display in the history."""
    return datetime.now(UTC).isoformat(timespec="seconds")


def utc_today() -> date:
    """Return the current date in UTC."""
    return datetime.now(UTC).date()


async def wait_for_version(configuration: ConfigurationService, version: int) -> None:
    """Wait until this daemon has received the version.

    Raises ``InvalidInput`` if it has not within
    ``PROPAGATION_TIMEOUT_SECONDS``.
    """
    with trio.move_on_after(PROPAGATION_TIMEOUT_SECONDS):
        await configuration.wait_version(version)
    if configuration.current.version < version:
        raise InvalidInput(
            f"version {version} is not known to this daemon, which has "
            f"{configuration.current.version}"
        )


def check_base(configuration: ConfigurationService, base: int) -> None:
    """Check that this daemon knows of no change after the base version.

    Raises ``ConfigurationConflict`` if it does.
    """
    if configuration.current.version > base:
        raise ConfigurationConflict(base, configuration.current.version)


async def commit_edits(
    configuration: ConfigurationService,
    request: OperatorRequest,
    make_edits: Callable[[Configuration], Sequence[Edit]],
) -> int:
    """Commit edits that do not depend on a particular version.

    After a conflict the commit is tried again on the next version.
    ``make_edits`` is called with the configuration of each attempt and raises
    an error if the edits are not possible there. If it returns no edits,
    nothing is committed and the version in force is returned.
    """
    for attempt in range(1, MAX_ATTEMPTS + 1):
        current = configuration.current
        edits = tuple(make_edits(current))
        if not edits:
            return current.version
        change = Change(request.change_id, request.author, utc_timestamp(), edits)
        try:
            return await configuration.commit(change, current.version)
        except ConfigurationConflict:
            if attempt == MAX_ATTEMPTS:
                raise
        with trio.move_on_after(PROPAGATION_TIMEOUT_SECONDS):
            await configuration.wait_version(current.version + 1)
    raise AssertionError("the loop returns or raises")
