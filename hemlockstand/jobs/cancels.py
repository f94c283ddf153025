"""Batches of cancellations that share one transaction per team."""

from collections.abc import Awaitable, Callable, Iterable

import trio
from attrs import define, evolve, field

from hemlockstand.errors import HemlockstandError
from hemlockstand.jobs.records import Task, TeamWork

Commit = Callable[[str, set[str], Callable[[TeamWork], TeamWork]], Awaitable[None]]


@define(eq=False)
class Cancellation:
    """A request to cancel the runs of a job up to and including ``run``.

    Once it has ended, ``tasks`` holds the tasks that were running, and
    ``error`` the reason if the commit failed.
    """

    job: str
    pool: str
    run: str
    tasks: tuple[Task, ...] = ()
    ended: bool = False
    error: HemlockstandError | None = None


@define
class CancelBatches:
    """Collects the cancellations of each team while one is being committed.

    The caller that acquires the team's lock commits for all that wait. There
    is no background task, and a caller that is cancelled does not affect the
    cancellations of the others. ``commit(team, pools, change)`` applies a
    change to the team's row and notifies the owners of the pools.
    """

    commit: Commit
    _waiting: dict[str, list[Cancellation]] = field(factory=dict)
    _locks: dict[str, trio.Lock] = field(factory=dict)

    async def cancel(self, team: str, job: str, pool: str, run: str) -> list[Task]:
        """Cancel the job's runs; return the tasks that were running.

        Raises ``PlatformUnavailable``.
        """
        own = Cancellation(job, pool, run)
        self._waiting.setdefault(team, []).append(own)
        try:
            async with self._locks.setdefault(team, trio.Lock()):
                if not own.ended:
                    await self._commit_waiting(team)
        finally:
            self._remove_waiting(team, own)
        if own.error is not None:
            raise own.error
        return list(own.tasks)

    async def _commit_waiting(self, team: str) -> None:
        batch = list(self._waiting[team])
        found: dict[str, tuple[Task, ...]] = {}

        def remove(work: TeamWork) -> TeamWork:
            found.clear()
            for entry in batch:
                found[entry.job] = _list_running(work, entry.job)
            return remove_jobs(work, {entry.job: entry.run for entry in batch})

        error = None
        try:
            await self.commit(team, {entry.pool for entry in batch}, remove)
        except HemlockstandError as caught:
            # The whole batch fails: if each caller tried again in turn, their
            # timeouts would add up in an outage.
            error = caught
        for entry in batch:
            entry.tasks = found.get(entry.job, ())
            entry.error = error
            entry.ended = True
            self._remove_waiting(team, entry)

    def _remove_waiting(self, team: str, entry: Cancellation) -> None:
        waiting = self._waiting.get(team, [])
        if entry in waiting:
            waiting.remove(entry)


def _list_running(work: TeamWork, job: str) -> tuple[Task, ...]:
    return tuple(task for task in work.running.values() if task.job == job)


def remove_jobs(work: TeamWork, runs: dict[str, str]) -> TeamWork:
    """Return the work without the runs of the jobs, up to a run of each."""
    newest = {job: max(run, work.last_run.get(job, "")) for job, run in runs.items()}
    return evolve(
        work,
        running=_drop_jobs(work.running.items(), runs),
        demanded=_drop_jobs(work.demanded.items(), runs),
        last_run={**work.last_run, **newest},
    )


def _drop_jobs(entries: Iterable, runs: dict[str, str]) -> dict:
    return {name: entry for name, entry in entries if entry.job not in runs}
