"""The difference between a sheet and the configuration in force.

The sheet is authoritative for its day: entities that it does not name are
dropped. Keys and drains are never part of a sheet and stay as they are::

    plan = plan_sheet(sheet, service.current)
    change = plan.make_change(change_id, author, time)
"""

from collections.abc import Iterator, Mapping
from datetime import date, timedelta
from typing import Any

import attrs
from attrs import frozen

from hemlockstand.configuration.changes import (
    Change,
    DropEntity,
    Edit,
    EntityKind,
    PutEntity,
    SetSheetDay,
)
from hemlockstand.errors import HemlockstandError
from hemlockstand.model import Configuration, Job
from hemlockstand.sheet.checks import Sheet
from hemlockstand.sheet.problems import Problem, SheetError

# A later day is a typing error, which would get every sheet before it refused.
MAX_DAYS_AHEAD = 7
KINDS = ("team", "pool", "queue", "job")


class DropsNotConfirmed(HemlockstandError):
    """The sheet drops more than the set fraction without confirmation."""

    code = "drops_not_confirmed"


@frozen
class Difference:
    """One entity that is added, changed or dropped.

    ``fields`` holds the old and the new value of each changed attribute.
    """

    action: str
    kind: str
    name: str
    fields: Mapping[str, tuple[Any, Any]]


@frozen
class DropCount:
    """How many entities of a kind are dropped, out of those in force."""

    kind: str
    dropped: int
    before: int

    def exceeds(self, fraction: float) -> bool:
        """Return whether more than that fraction is dropped."""
        return self.dropped > self.before * fraction


@frozen
class SheetPlan:
    """What applying a sheet on top of version ``base`` would change.

    ``teamless_keys`` are keys that stay granted although their team is
    dropped; they are refused until the team is back or they are withdrawn.
    """

    base: int
    day: date
    edits: tuple[Edit, ...]
    differences: tuple[Difference, ...]
    drops: tuple[DropCount, ...]
    teamless_keys: tuple[str, ...]

    @property
    def total_drops(self) -> int:
        """Number of teams, pools and wanted jobs that are dropped."""
        return sum(count.dropped for count in self.drops)

    def check_drops(self, fraction: float, confirmed: int | None) -> None:
        """Raise ``DropsNotConfirmed`` if the drops need a confirmation.

        ``confirmed`` has to repeat the number of drops exactly. A figure that
        does not match is refused even below the fraction, because then the
        operator looked at another plan.
        """
        excess = [count for count in self.drops if count.exceeds(fraction)]
        counted = ", ".join(
            f"{count.dropped} of {count.before} {count.kind}s" for count in self.drops
        )
        if confirmed is not None and confirmed != self.total_drops:
            raise DropsNotConfirmed(
                f"--confirm-drops {confirmed} does not match: the sheet drops "
                f"{self.total_drops} ({counted})"
            )
        if excess and confirmed is None:
            raise DropsNotConfirmed(
                f"the sheet drops {counted}, more than {fraction:.0%} of a kind; "
                f"repeat with --confirm-drops {self.total_drops} if this is meant"
            )

    def make_change(self, change_id: str, author: str, time: str) -> Change:
        """Return the change to commit on top of ``base``."""
        return Change(change_id, author, time, self.edits)

    def to_json(self) -> dict[str, Any]:
        """Return the plan as a JSON object."""
        return {
            "version": self.base,
            "day": self.day.isoformat(),
            "differences": [
                {
                    "action": difference.action,
                    "kind": difference.kind,
                    "name": difference.name,
                    "fields": {
                        name: [_to_json_value(old), _to_json_value(new)]
                        for name, (old, new) in difference.fields.items()
                    },
                }
                for difference in self.differences
            ],
            "drops": {
                count.kind: [count.dropped, count.before] for count in self.drops
            },
            "total_drops": self.total_drops,
            "teamless_keys": list(self.teamless_keys),
        }


def plan_sheet(sheet: Sheet, current: Configuration, today: date) -> SheetPlan:
    """Compare a sheet with the configuration in force.

    Raises ``SheetError`` if a sheet of a later day is in force, or if the day
    is more than ``MAX_DAYS_AHEAD`` after today.
    """
    _check_day(sheet, current, today)
    differences = tuple(_compare(sheet, current))
    return SheetPlan(
        base=current.version,
        day=sheet.day,
        edits=tuple(_make_edits(sheet, current, differences)),
        differences=differences,
        drops=tuple(_count_drops(sheet, current)),
        teamless_keys=tuple(
            key.name for key in current.keys.values() if key.team not in sheet.teams
        ),
    )


def _check_day(sheet: Sheet, current: Configuration, today: date) -> None:
    day = sheet.day.isoformat()
    if current.sheet_day is not None and sheet.day < current.sheet_day:
        detail = (
            f"a sheet of {current.sheet_day.isoformat()} is in force; to go back "
            "to earlier contents, give them that day"
        )
        raise SheetError([Problem("day_older", sheet.file, 0, "day", day, detail)])
    if sheet.day > today + timedelta(days=MAX_DAYS_AHEAD):
        detail = f"is more than {MAX_DAYS_AHEAD} days after {today.isoformat()}"
        raise SheetError([Problem("day_too_late", sheet.file, 0, "day", day, detail)])


def _compare(sheet: Sheet, current: Configuration) -> Iterator[Difference]:
    for kind in KINDS:
        wanted = _get_entities(sheet, kind)
        in_force = _get_entities(current, kind)
        for name, entity in wanted.items():
            if name not in in_force:
                yield Difference("add", kind, name, {})
            elif entity != in_force[name]:
                fields = _compare_fields(in_force[name], entity)
                yield Difference("change", kind, name, fields)
        for name in in_force:
            if name not in wanted:
                yield Difference("drop", kind, name, {})


def _compare_fields(old: Any, new: Any) -> dict[str, tuple[Any, Any]]:
    return {
        attribute.name: (getattr(old, attribute.name), getattr(new, attribute.name))
        for attribute in attrs.fields(type(new))
        if getattr(old, attribute.name) != getattr(new, attribute.name)
    }


def _make_edits(
    sheet: Sheet, current: Configuration, differences: tuple[Difference, ...]
) -> Iterator[Edit]:
    """Yield puts before drops, and referenced kinds before those that refer.

    In this order all references are valid after every edit.
    """
    if sheet.day != current.sheet_day:
        yield SetSheetDay(sheet.day)
    for difference in differences:
        if difference.action != "drop":
            yield PutEntity(_get_entities(sheet, difference.kind)[difference.name])
    for difference in reversed(differences):
        if difference.action == "drop":
            yield DropEntity(EntityKind[difference.kind.upper()], difference.name)


def _count_drops(sheet: Sheet, current: Configuration) -> Iterator[DropCount]:
    for kind in ("team", "pool"):
        in_force = _get_entities(current, kind)
        wanted = _get_entities(sheet, kind)
        dropped = sum(name not in wanted for name in in_force)
        yield DropCount(kind, dropped, len(in_force))
    before = _find_wanted_jobs(current.jobs, sheet.day)
    after = _find_wanted_jobs(sheet.jobs, sheet.day)
    yield DropCount("job", len(before - after), len(before))


def _find_wanted_jobs(jobs: Mapping[str, Job], day: date) -> set[str]:
    """Return the jobs wanted on the day.

    A job that merely reached its last day is wanted neither before nor after,
    so it does not count as dropped by the sheet.
    """
    return {name for name, job in jobs.items() if job.last_day >= day}


def _get_entities(source: Sheet | Configuration, kind: str) -> Mapping[str, Any]:
    return getattr(source, f"{kind}s")  # teams, pools, queues or jobs


def _to_json_value(value: Any) -> Any:
    match value:
        case date():
            return value.isoformat()
        case tuple():
            return list(value)
        case _:
            return value
