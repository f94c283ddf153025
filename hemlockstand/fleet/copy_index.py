"""Subtasks with two runs, and runs that may get a second one.

The registry tells the index of each run that begins and ends. It keeps a run
of a speculative step in a heap by the time at which to look at it, so
that nothing looks at every run in every round. It is kept in memory alone: the
next scheduler adopts both runs from the executors' lists.
"""

from collections import deque
from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from attrs import define, field

from hemlockstand.fleet.durations import ExpectedDuration
from hemlockstand.fleet.model import Resources
from hemlockstand.fleet.policy.copies import (
    MIN_SLOW_SECONDS,
    PROBE_SECONDS,
    are_useful,
    may_have_copies,
    pick_percentile,
)
from hemlockstand.fleet.work import Run, Subtask

# Finished subtasks that are kept of a queue, and of a step. Their 90th
# percentile is stable to a tenth, and a queue's changes show within seconds.
KEPT_RUNS = 64
# Races of copies that are kept of a queue.
KEPT_RACES = 20
# Percentiles of an expected duration.
PERCENTILES = (50, 90, 99)


@define(eq=False)
class CopyIndex:
    """Runs to look at, subtasks with two runs, and times of finished ones.

    ``copied`` holds the subtasks with two runs by name, ``unneeded`` those that
    are done and have a run that has not ended yet.
    """

    enabled: bool = True  # whether runs are watched
    copied: dict[str, Subtask] = field(factory=dict)
    unneeded: dict[str, Subtask] = field(factory=dict)
    _watched: list[tuple[float, int, Subtask, Run]] = field(factory=list)
    _numbers: Iterator[int] = field(factory=lambda: count(1))
    _ratios: dict[str, deque[float]] = field(factory=dict)
    _races: dict[str, deque[bool]] = field(factory=dict)
    _started_at: dict[str, float] = field(factory=dict)

    def add_run(self, subtask: Subtask) -> None:
        """Add a run that was attached to a subtask."""
        if subtask.copy is not None:
            self.copied[subtask.name] = subtask
        elif may_have_copies(subtask.step):
            self._watch_new(subtask)

    def remove_run(self, subtask: Subtask) -> None:
        """Remove a run; one that is left may get a copy again."""
        if subtask.run is None:
            self.unneeded.pop(subtask.name, None)
        if self.copied.pop(subtask.name, None) is not None:
            self._watch_new(subtask)

    def _watch_new(self, subtask: Subtask) -> None:
        """Look at a run for the first time once it can be slow."""
        if subtask.run is not None:
            self.watch(subtask, subtask.run.ordered_at + MIN_SLOW_SECONDS)

    def watch(self, subtask: Subtask, at: float) -> None:
        """Look at the only run of a subtask at a time, and at no other time."""
        run = subtask.run
        if run is not None and self.enabled:
            run.check_number = next(self._numbers)
            heappush(self._watched, (at, run.check_number, subtask, run))

    def has_due(self, now: float) -> bool:
        """Return whether there is a run to look at."""
        return bool(self._watched) and self._watched[0][0] <= now

    def pop_due(self, now: float, limit: int) -> Iterator[Subtask]:
        """Yield subtasks to look at, which still have the run and no other."""
        while limit and self.has_due(now):
            _, number, subtask, run = heappop(self._watched)
            if run.check_number != number:
                continue
            if subtask.run is not run or subtask.copy is not None or subtask.done:
                continue
            if not subtask.job.state.final:
                limit -= 1
                yield subtask

    def add_unneeded(self, subtask: Subtask) -> None:
        """Add a subtask that is done while its other run goes on."""
        if subtask.run is not None and may_have_copies(subtask.step):
            self.unneeded[subtask.name] = subtask

    def measure_unseen(self) -> dict[str, Resources]:
        """Return by workspace what runs use that a new scheduler may not see.

        It looks for one run of each subtask that is not done.
        """
        use: dict[str, Resources] = {}
        for subtask in (*self.copied.values(), *self.unneeded.values()):
            tenant = subtask.job.spec.tenant
            use[tenant] = use.get(tenant, Resources()).add(subtask.step.size)
        return use

    def add_finished(self, subtask: Subtask, seconds: float) -> None:
        """Add the time of a run from its start until it was done."""
        kept = subtask.step_run.finished_seconds
        kept.append(seconds)
        del kept[:-KEPT_RUNS]
        if subtask.step.estimate_ms:
            queue = subtask.job.spec.queue
            ratios = self._ratios.setdefault(queue, deque(maxlen=KEPT_RUNS))
            ratios.append(seconds * 1000 / subtask.step.estimate_ms)

    def add_race(self, queue: str, won: bool) -> None:
        """Add whether a copy was done before the first run, or after it."""
        self._races.setdefault(queue, deque(maxlen=KEPT_RACES)).append(won)

    def is_worthwhile(self, queue: str, now: float) -> bool:
        """Return whether a queue may have one more copy by what others were worth."""
        if are_useful(self._races.get(queue, ())):
            return True
        return now - self._started_at.get(queue, float("-inf")) >= PROBE_SECONDS

    def mark_started(self, queue: str, now: float) -> None:
        """Note that a copy has started."""
        self._started_at[queue] = now

    def expect(self, subtask: Subtask) -> ExpectedDuration:
        """Return what the finished subtasks of the queue suggest.

        Their times by their estimates are those of speculative steps.
        """
        ratios = sorted(self._ratios.get(subtask.job.spec.queue, ()))
        seconds = subtask.step.estimate_ms / 1000
        if not ratios or not seconds:
            return ExpectedDuration(seconds, seconds, seconds, 0)
        values = (seconds * pick_percentile(ratios, part) for part in PERCENTILES)
        return ExpectedDuration(*values, len(ratios))
