"""Order of placement by dominant resource fairness between teams."""

import heapq
from collections import deque
from collections.abc import Iterable, Iterator, Mapping

from attrs import define, field, frozen

from hemlockstand.jobs.shapes import NO_RESOURCES, add_shapes, find_dominant_share
from hemlockstand.model import Priority, Team
from hemlockstand.platform.interface import Shape

_RANKS = {Priority.URGENT: 0, Priority.INTERACTIVE: 1, Priority.BATCH: 2}


@frozen
class PendingRun:
    """A run that is due but has not been placed.

    ``due_at`` is in seconds since the epoch. ``avoid`` names workers on which
    the job failed; ``proven`` says that the job has succeeded before, which
    makes it fit to probe a worker in quarantine.
    """

    name: str
    team: str
    job: str
    run: str
    shape: Shape
    priority: Priority
    due_at: float
    avoid: frozenset[str] = frozenset()
    proven: bool = False


@define
class FairOrder:
    """Chooses the next run of the team furthest below its share.

    ``usage`` is the sum of resources that each team holds, ``fleet`` the
    capacity of the whole fleet. Urgent runs come first, regardless of shares.
    Runs that would take a team over its limit are skipped.
    """

    teams: Mapping[str, Team]
    usage: dict[str, Shape]
    fleet: Shape
    _queues: dict[tuple[int, str], deque[PendingRun]] = field(factory=dict)
    _heap: list[tuple[int, float, str]] = field(factory=list)

    def add_runs(self, runs: Iterable[PendingRun]) -> None:
        """Add runs, oldest due time first within a team."""
        for run in sorted(runs, key=lambda entry: entry.due_at):
            if run.team not in self.teams:
                continue
            key = (_RANKS[run.priority], run.team)
            if key not in self._queues:
                self._queues[key] = deque()
                heapq.heappush(
                    self._heap,
                    (key[0], self._measure_weighted_share(run.team), run.team),
                )
            self._queues[key].append(run)

    def pop_runs(self) -> Iterator[PendingRun]:
        """Yield the runs in the order in which they should be placed.

        The caller reports each placed run with ``charge`` before it asks for
        the next one.
        """
        while self._heap:
            rank, _, team = heapq.heappop(self._heap)
            queue = self._queues[(rank, team)]
            run = queue.popleft()
            if self.is_within_limit(team, run.shape):
                yield run
            if queue:
                heapq.heappush(
                    self._heap, (rank, self._measure_weighted_share(team), team)
                )

    def charge(self, team: str, shape: Shape) -> None:
        """Add a placed run to the team's usage."""
        self.usage[team] = add_shapes((self.usage.get(team, NO_RESOURCES), shape))

    def is_within_limit(self, team: str, shape: Shape) -> bool:
        """Return whether the team may hold the shape in addition."""
        total = add_shapes((self.usage.get(team, NO_RESOURCES), shape))
        return find_dominant_share(total, self.fleet) <= self.teams[team].job_limit

    def _measure_weighted_share(self, team: str) -> float:
        held = find_dominant_share(self.usage.get(team, NO_RESOURCES), self.fleet)
        return held / self.teams[team].share
