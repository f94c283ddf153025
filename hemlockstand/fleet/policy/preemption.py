"""Which runs to stop, so that more urgent work has room in time.

Load pattern: long runs of a queue of low priority, or of a workspace above its
share, fill a pool. A short job of a better queue then waits until one of them
ends, and is late. The room of as few and as cheap runs as possible is freed for
it; runs with checkpoints lose nothing but their restart.

Work that was thrown away has to be done again, so a run is stopped only if no
room is expected in time, if all of the missing room gets free, if the job can
still be in time then, and within a budget of lost work.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from enum import StrEnum

from attrs import define, evolve, field, frozen

# Work that a run with checkpoints repeats after a stop, in seconds.
RESTART_SECONDS = 0.5
# Margin before the last moment at which a waiting subtask can start in time.
# Earlier, a run may still end by itself and make the stop needless.
MARGIN_SECONDS = 0.3

# Below this percentage, progress is too coarse to tell the remaining time.
MIN_PERCENT = 5

Room = tuple[int, int, int]  # cpu in thousandths of a core, megabytes, accelerators


class Reason(StrEnum):
    """Why a run may be stopped for another one."""

    PRIORITY = "priority"
    SHARE = "share"


@frozen
class RunningWork:
    """A run that may be stopped.

    ``worked_seconds`` is how long it has run, ``remaining_seconds`` how long it
    is expected to go on; ``percent`` is its progress. ``reason`` is None if the
    waiting subtask gives no right to stop it; it then only counts as room once it
    has ended.
    """

    name: str
    workspace: str
    size: Room
    worked_seconds: float
    remaining_seconds: float
    percent: int
    checkpoints: bool
    reason: Reason | None

    @property
    def lost_core_seconds(self) -> float:
        """Work that is done again after a stop."""
        seconds = RESTART_SECONDS if self.checkpoints else self.worked_seconds
        return self.size[0] / 1000 * seconds


@frozen
class ExecutorRoom:
    """An executor that may run the waiting subtask: free room and its runs."""

    executor: str
    free: Room
    runs: Sequence[RunningWork]


@frozen
class Preemption:
    """Runs of an executor to stop."""

    executor: str
    runs: tuple[RunningWork, ...]

    @property
    def lost_core_seconds(self) -> float:
        """Work that is done again after the stops."""
        return sum(run.lost_core_seconds for run in self.runs)


@define(eq=False)
class LossBudget:
    """Lost core-seconds of a pool that are permitted in a span of time."""

    span_seconds: float
    _losses: deque[tuple[float, float]] = field(factory=deque)

    def measure_left(self, now: float, permitted: float) -> float:
        """Return how much of the permitted core-seconds is left."""
        while self._losses and self._losses[0][0] <= now - self.span_seconds:
            self._losses.popleft()
        return permitted - sum(lost for _, lost in self._losses)

    def add(self, now: float, lost: float) -> None:
        """Count core-seconds that are lost."""
        self._losses.append((now, lost))


def is_last_moment(now: float, start_by: float, stop_seconds: float) -> bool:
    """Return whether stops now help, and would come too late a little later.

    ``start_by`` is when the waiting subtask must start for its job to be in time.
    """
    left = start_by - now - stop_seconds
    return 0.0 <= left <= MARGIN_SECONDS


def estimate_remaining(
    worked_seconds: float, percent: int, expected_seconds: float
) -> float:
    """Return how long a run is expected to go on.

    Progress tells more than an estimate that may be far off. A run that takes
    longer than expected, without progress to judge it by, is expected to take
    as long again.
    """
    if percent >= MIN_PERCENT:
        return worked_seconds * (100 - percent) / percent
    if worked_seconds < expected_seconds:
        return expected_seconds - worked_seconds
    return worked_seconds


def has_room_in_time(need: Room, room: ExecutorRoom, seconds: float) -> bool:
    """Return whether an executor is expected to have the room within a time."""
    ending = (run.size for run in room.runs if run.remaining_seconds <= seconds)
    return _fits(need, _add(room.free, ending))


def plan_preemptions(
    need: Room,
    count: int,
    rooms: dict[str, ExecutorRoom],
    start_seconds: float,
    stop_seconds: float,
    budget: float,
) -> list[Preemption]:
    """Return the stops after which ``count`` alike subtasks have room in time.

    ``rooms`` holds what the subtasks may use by executor, and is updated with
    what they take. If one of them finds no room there are no stops at all: the
    step would be late without it.
    """
    left = dict(rooms)
    ready = [
        room.executor
        for room in rooms.values()
        if has_room_in_time(need, room, start_seconds)
    ]
    found: dict[str, Preemption | None] = {}
    chosen: list[Preemption] = []
    for _ in range(count):
        stopped: tuple[RunningWork, ...] = ()
        if ready:
            executor = ready[-1]
        else:
            # Only the executor that was taken last has changed.
            for name, room in left.items():
                if name not in found:
                    found[name] = choose_runs(need, room, stop_seconds)
            best = choose_cheapest(found.values(), budget)
            if best is None:
                return []
            chosen.append(best)
            budget -= best.lost_core_seconds
            executor, stopped = best.executor, best.runs
        found.pop(executor, None)
        left[executor] = _take_room(need, left[executor], stopped)
        fits = has_room_in_time(need, left[executor], start_seconds)
        if ready and not fits:
            ready.pop()
        elif fits and not ready:
            ready.append(executor)
    rooms.update(left)
    return chosen


def _take_room(
    need: Room, room: ExecutorRoom, stopped: Sequence[RunningWork] = ()
) -> ExecutorRoom:
    """Return an executor's room without what a subtask takes, after stops."""
    cpu_millis, memory_mb, accelerators = need
    freed = _add(room.free, (run.size for run in stopped))
    return evolve(
        room,
        free=_add(freed, [(-cpu_millis, -memory_mb, -accelerators)]),
        runs=[run for run in room.runs if run not in stopped],
    )


def choose_cheapest(
    preemptions: Iterable[Preemption | None], budget: float
) -> Preemption | None:
    """Return the stops that lose least work, if any are within the budget.

    The budget is in core-seconds.
    """
    return min(
        (
            item
            for item in preemptions
            if item is not None and item.lost_core_seconds <= budget
        ),
        key=lambda item: (item.lost_core_seconds, len(item.runs), item.executor),
        default=None,
    )


def choose_runs(
    need: Room, room: ExecutorRoom, stop_seconds: float
) -> Preemption | None:
    """Return the stops on an executor that free room for a subtask, if any do.

    Runs that end as soon as they could be stopped are left alone.
    """
    candidates = sorted(
        (
            run
            for run in room.runs
            if run.reason is not None and run.remaining_seconds > stop_seconds
        ),
        key=lambda run: (
            not run.checkpoints,
            run.worked_seconds,
            run.percent,
            run.name,
        ),
    )
    chosen: list[RunningWork] = []
    free = room.free
    for run in candidates:
        if _fits(need, free):
            break
        chosen.append(run)
        free = _add(free, [run.size])
    if not chosen or not _fits(need, free):
        return None
    return Preemption(room.executor, tuple(_drop_needless(need, room.free, chosen)))


def _drop_needless(
    need: Room, free: Room, chosen: Sequence[RunningWork]
) -> Iterator[RunningWork]:
    """Yield the runs without those whose room is not needed after all."""
    kept = list(chosen)
    for run in reversed(chosen):
        others = [other for other in kept if other is not run]
        if _fits(need, _add(free, (other.size for other in others))):
            kept = others
    yield from kept


def _add(free: Room, sizes: Iterable[Room]) -> Room:
    cpu_millis, memory_mb, accelerators = free
    for size in sizes:
        cpu_millis += size[0]
        memory_mb += size[1]
        accelerators += size[2]
    return cpu_millis, memory_mb, accelerators


def _fits(need: Room, free: Room) -> bool:
    return all(part <= room for part, room in zip(need, free, strict=True))
