"""Checks of the values of entities against the limits of a fleet."""

from collections.abc import Iterator, Mapping
from typing import Any, Protocol

from attrs import frozen

from hemlockstand.errors import InvalidInput
from hemlockstand.jobs.schedules import parse_schedule
from hemlockstand.model import Job, Pool, Queue, Team
from hemlockstand.sheet.problems import Problem
from hemlockstand.sheet.reader import SheetRow

# The fleet size planned for in two years is 5,600 workers in 239 pools; a
# larger figure in one row is a typing error.
MAX_POOL_SIZE = 10_000
MAX_REQUEST_LIMIT = 1_000_000

# No worker of the fleets has more; a job of such a size could never start.
MAX_JOB_CORES = 512
MAX_JOB_MEMORY_MB = 16 << 20
MAX_JOB_ACCELERATORS = 64
MAX_JOB_MINUTES = 60 * 24 * 31

# A weight below this fraction of the sum gets less than one slot of a fleet
# with 10,000 slots. It usually results from mixing fractions and percentages.
MIN_SHARE_FRACTION = 1e-4
# Fractions that planners round to three digits add up to one within this
# tolerance.
FRACTION_TOLERANCE = 0.01


@frozen
class Bounds:
    """Limits from the settings of the deployment.

    ``data_centres`` is ``None`` where the settings are not known.
    """

    max_deadline_seconds: float = 3600
    data_centres: frozenset[str] | None = None


class EntityWithRow(Protocol):
    """An entity with the row it came from."""

    row: SheetRow
    entity: Any


def check_values(
    parsed: Mapping[str, Mapping[str, EntityWithRow]], file: str, bounds: Bounds
) -> Iterator[Problem]:
    """Yield the problems of single values and of the shares together."""
    for entries in parsed.values():
        for entry in entries.values():
            for code, column, detail in _check_entity(entry.entity, bounds):
                value = entry.row.cells.get(column, "")
                yield Problem(code, file, entry.row.line, column, value, detail)
    yield from _check_shares(list(parsed["team"].values()), file)


Finding = tuple[str, str, str]


def _check_entity(entity: Any, bounds: Bounds) -> Iterator[Finding]:
    match entity:
        case Team():
            yield from _check_team(entity)
        case Pool():
            yield from _check_pool(entity, bounds)
        case Queue():
            yield from _check_queue(entity, bounds)
        case Job():
            yield from _check_job(entity)


def _check_team(team: Team) -> Iterator[Finding]:
    if not team.share > 0:
        yield "bad_share", "share", "must be above 0"
    if not 1 <= team.request_limit <= MAX_REQUEST_LIMIT:
        yield "impossible_size", "request_limit", f"must be 1 to {MAX_REQUEST_LIMIT}"
    if not 0 < team.job_limit <= 1:
        yield "impossible_size", "job_limit", "must be above 0 and at most 1"


def _check_pool(pool: Pool, bounds: Bounds) -> Iterator[Finding]:
    if not 1 <= pool.size <= MAX_POOL_SIZE:
        yield "impossible_size", "size", f"must be 1 to {MAX_POOL_SIZE}"
    if not 0 <= pool.budget < max(pool.size, 1):
        detail = (
            f"must be 0 to {max(pool.size, 1) - 1}, because one of the "
            f"{pool.size} instances has to stay available"
        )
        yield "bad_budget", "budget", detail
    if bounds.data_centres is not None:
        for name in pool.data_centres:
            if name not in bounds.data_centres:
                detail = f"no data centre {name!r} in the settings"
                yield "dangling_reference", "data_centres", detail


def _check_queue(queue: Queue, bounds: Bounds) -> Iterator[Finding]:
    if not 0 < queue.deadline_seconds <= bounds.max_deadline_seconds:
        detail = f"must be above 0 and at most {bounds.max_deadline_seconds:g}"
        yield "impossible_size", "deadline_seconds", detail


def _check_job(job: Job) -> Iterator[Finding]:
    if not 0 < job.cores <= MAX_JOB_CORES:
        yield "impossible_size", "cores", f"must be above 0, at most {MAX_JOB_CORES}"
    if not 0 < job.memory_mb <= MAX_JOB_MEMORY_MB:
        yield "impossible_size", "memory_mb", f"must be 1 to {MAX_JOB_MEMORY_MB}"
    if not 0 <= job.accelerators <= MAX_JOB_ACCELERATORS:
        yield "impossible_size", "accelerators", f"must be 0 to {MAX_JOB_ACCELERATORS}"
    if not 0 < job.run_minutes <= MAX_JOB_MINUTES:
        detail = f"must be above 0 and at most {MAX_JOB_MINUTES}"
        yield "impossible_size", "run_minutes", detail
    try:
        parse_schedule(job.schedule)
    except InvalidInput as error:
        yield "bad_schedule", "schedule", error.message
    except OverflowError:
        yield "bad_schedule", "schedule", "the period is too long"


def _check_shares(teams: list[EntityWithRow], file: str) -> Iterator[Problem]:
    """Check the shares of all teams against each other.

    Shares are weights. Where every share is below one, they are meant as
    fractions and have to add up to one.
    """
    shares = [entry.entity.share for entry in teams]
    if not shares or min(shares) <= 0:
        return
    total = sum(shares)
    if max(shares) < 1 and abs(total - 1) > FRACTION_TOLERANCE:
        detail = (
            f"the shares of {len(shares)} teams are fractions but add up to "
            f"{total:.4g} instead of 1"
        )
        yield Problem("bad_share_sum", file, 0, "share", f"{total:.4g}", detail)
    for entry in teams:
        if entry.entity.share < total * MIN_SHARE_FRACTION:
            detail = (
                f"is less than {MIN_SHARE_FRACTION:g} of the sum {total:g}; the team "
                "would get no service"
            )
            value = entry.row.cells["share"]
            yield Problem("bad_share", file, entry.row.line, "share", value, detail)
