"""Schedules of jobs and the runs that are due under them.

A schedule is one of ``every 15m`` (also ``s``, ``h``, ``d``), ``daily 02:30``,
``weekly mon 02:30`` or ``on demand``. Times are UTC. Runs are aligned to the
epoch, so that all daemons compute the same run identifiers without any
coordination::

    >>> schedule = parse_schedule("every 15m")
    >>> find_last_due(schedule, datetime(2026, 12, 4, 6, 50, tzinfo=UTC))
    datetime.datetime(2026, 12, 4, 6, 45, tzinfo=datetime.timezone.utc)
"""

import re
from datetime import UTC, date, datetime, time, timedelta

from attrs import frozen

from hemlockstand.errors import InvalidInput
from hemlockstand.model import Job

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
MAX_PERIOD_SECONDS = 366 * 86_400
RUN_FORMAT = "%Y%m%dT%H%M%SZ"
DEMANDED_RUN_FORMAT = "%Y%m%dT%H%M%S.%fZ"


@frozen
class Every:
    """A run at each multiple of ``period`` since the epoch."""

    period: timedelta


@frozen
class Daily:
    """A run each day at a time of day in UTC."""

    at: time


@frozen
class Weekly:
    """A run each week; ``weekday`` 0 is Monday."""

    weekday: int
    at: time


@frozen
class OnDemand:
    """Runs only when a submitter asks for one."""


Schedule = Every | Daily | Weekly | OnDemand


def parse_schedule(text: str) -> Schedule:
    """Return the schedule that the text describes.

    Raises ``InvalidInput`` with code ``bad_schedule``.
    """
    words = text.lower().split()
    match words:
        case ["on", "demand"]:
            return OnDemand()
        case ["every", period]:
            return Every(_parse_period(period, text))
        case ["daily", at]:
            return Daily(_parse_time(at, text))
        case ["weekly", day, at] if day in WEEKDAYS:
            return Weekly(WEEKDAYS.index(day), _parse_time(at, text))
        case _:
            raise _make_schedule_error(text)


def _parse_period(text: str, whole: str) -> timedelta:
    found = re.fullmatch(r"(\d+)([smhd])", text)
    seconds = int(found[1]) * UNIT_SECONDS[found[2]] if found is not None else 0
    if not 0 < seconds <= MAX_PERIOD_SECONDS:
        raise _make_schedule_error(whole)
    return timedelta(seconds=seconds)


def _parse_time(text: str, whole: str) -> time:
    try:
        return datetime.strptime(text, "%H:%M").time()
    except ValueError:
        raise _make_schedule_error(whole) from None


def _make_schedule_error(text: str) -> InvalidInput:
    return InvalidInput(
        f"schedule {text!r} is not of the form 'every 15m', 'daily 02:30', "
        "'weekly mon 02:30' or 'on demand'",
        code="bad_schedule",
    )


def find_last_due(schedule: Schedule, now: datetime) -> datetime | None:
    """Return the newest due time at or before ``now``, or ``None``."""
    match schedule:
        case Every(period=period):
            return EPOCH + (now - EPOCH) // period * period
        case Daily(at=at):
            due = datetime.combine(now.date(), at, UTC)
            return due if due <= now else due - timedelta(days=1)
        case Weekly(weekday=weekday, at=at):
            day = now.date() - timedelta(days=(now.weekday() - weekday) % 7)
            due = datetime.combine(day, at, UTC)
            return due if due <= now else due - timedelta(days=7)
        case OnDemand():
            return None


def count_daily_runs(schedule: Schedule) -> float:
    """Return how many runs are due a day on average."""
    match schedule:
        case Every(period=period):
            return timedelta(days=1) / period
        case Daily():
            return 1.0
        case Weekly():
            return 1 / 7
        case OnDemand():
            return 0.0


def name_run(due: datetime) -> str:
    """Return the identifier of the run due at that time; it sorts by time."""
    return due.strftime(RUN_FORMAT)


def name_demanded_run(asked: datetime) -> str:
    """Return the identifier of a run that was asked for at that time.

    It has microseconds, because two runs of a job that are asked for within
    one second are different runs.
    """
    return asked.strftime(DEMANDED_RUN_FORMAT)


def is_wanted(job: Job | None, team: str, pool: str, day: date) -> bool:
    """Return whether the job is wanted for the team, pool and day."""
    if job is None:
        return False
    return job.team == team and job.pool == pool and day <= job.last_day
