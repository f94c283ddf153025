"""Due runs, and triggers of jobs that are past their last day."""

from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime

from attrs import define, field, frozen

from hemlockstand.jobs.records import ObservedSize, TeamWork, name_task
from hemlockstand.jobs.schedules import (
    count_daily_runs,
    find_last_due,
    is_wanted,
    name_run,
    parse_schedule,
)
from hemlockstand.metrics import UNWANTED_RUNS
from hemlockstand.model import Job, Team

SECONDS_PER_HOUR = 3600


@frozen
class DueRun:
    """A scheduled run that is due."""

    job: Job
    run: str
    due_at: float

    @property
    def name(self) -> str:
        """The name of the task that the run becomes."""
        return name_task(self.job.name, self.run)


@frozen
class UnwantedRun:
    """A triggered run that is not wanted, with what it would have cost."""

    job: str
    team: str
    house: str
    run: str
    reason: str
    instance_hours: float


def find_due(jobs: Iterable[Job], now: datetime) -> Iterator[DueRun]:
    """Yield the newest due run of each scheduled job.

    Older runs that were missed are skipped: a job that was delayed for a day
    must not start a day's worth of runs at once.
    """
    for job in jobs:
        due = find_last_due(parse_schedule(job.schedule), now)
        if due is not None:
            yield DueRun(job, name_run(due), due.timestamp())


def select_unfinished(
    due: Iterable[DueRun], works: Mapping[str, TeamWork]
) -> Iterator[DueRun]:
    """Yield runs that are neither running, finished nor parked.

    A job runs one at a time, so a run waits while an earlier one is running.
    """
    for entry in due:
        work = works.get(entry.job.team)
        if work is None:
            yield entry
            continue
        finished = work.last_run.get(entry.job.name, "") >= entry.run
        parked = entry.job.name in work.parked
        running = any(task.job == entry.job.name for task in work.running.values())
        if not (finished or parked or running):
            yield entry


@define
class UnwantedTriggers:
    """Counts unwanted runs per house and what they would have cost."""

    counts: dict[str, int] = field(factory=dict)
    instance_hours: dict[str, float] = field(factory=dict)
    newest: dict[str, UnwantedRun] = field(factory=dict)

    def select_wanted(
        self,
        due: Iterable[DueRun],
        teams: Mapping[str, Team],
        works: Mapping[str, TeamWork],
        now: datetime,
    ) -> Iterator[DueRun]:
        """Yield the wanted runs and count each unwanted run once."""
        for entry in due:
            job = entry.job
            if is_wanted(job, job.team, job.pool, now.date()):
                yield entry
                continue
            known = self.newest.get(job.name)
            if known is None or known.run != entry.run:
                work = works.get(job.team)
                size = work.sizes.get(job.name) if work is not None else None
                self._count(_make_unwanted_run(entry, teams, size))

    def _count(self, unwanted: UnwantedRun) -> None:
        house = unwanted.house
        self.newest[unwanted.job] = unwanted
        UNWANTED_RUNS.labels(house).inc()
        self.counts[house] = self.counts.get(house, 0) + 1
        hours = self.instance_hours.get(house, 0.0) + unwanted.instance_hours
        self.instance_hours[house] = hours


def _make_unwanted_run(
    entry: DueRun, teams: Mapping[str, Team], size: ObservedSize | None
) -> UnwantedRun:
    job = entry.job
    team = teams.get(job.team)
    seconds = job.run_minutes * 60 if size is None else size.run_seconds
    return UnwantedRun(
        job.name,
        job.team,
        team.house if team is not None else "unknown",
        entry.run,
        f"last wanted on {job.last_day.isoformat()}",
        seconds / SECONDS_PER_HOUR,
    )


@frozen
class UnwantedJob:
    """A retired job that is still triggered, and its cost a day if it ran."""

    job: str
    team: str
    house: str
    last_day: str
    runs_a_day: float
    instance_hours_a_day: float


def list_unwanted(
    jobs: Iterable[Job],
    teams: Mapping[str, Team],
    works: Mapping[str, TeamWork],
    now: datetime,
) -> Iterator[UnwantedJob]:
    """Yield the jobs whose schedule triggers runs after their last day.

    The cost follows from the schedule and the observed run time, or the
    declared one if the job has not run, so any daemon can compute it.
    """
    for job in jobs:
        runs = count_daily_runs(parse_schedule(job.schedule))
        if now.date() <= job.last_day or runs == 0:
            continue
        work = works.get(job.team)
        size = work.sizes.get(job.name) if work is not None else None
        seconds = job.run_minutes * 60 if size is None else size.run_seconds
        team = teams.get(job.team)
        yield UnwantedJob(
            job.name,
            job.team,
            team.house if team is not None else "unknown",
            job.last_day.isoformat(),
            runs,
            runs * seconds / SECONDS_PER_HOUR,
        )
