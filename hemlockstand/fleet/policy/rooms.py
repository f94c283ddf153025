"""Room for several lasting subtasks, each of which counts on a place of its own.

Load pattern: a large pool that shrinks, or a wave, empties several executors at
once. The executors that stay are nearly full, or at the limits per executor of
the steps. If each run that is stopped counts on the same free place, all but one
of them wait. Here a place that one subtask counts on is taken for the next. A
step that has both of the runs that its limit per executor permits finds none::

    >>> from types import SimpleNamespace
    >>> from hemlockstand.fleet.model import Step
    >>> step = Step(3, Resources(1000, 512), lasting=True, max_per_executor=2)
    >>> subtask = SimpleNamespace(step=step, step_run="5c0e7a21d94b36f8.0.0")
    >>> room = Room(Resources(16_000, 32_768))
    >>> [room.take(subtask) for _ in range(3)]
    [True, True, False]
"""

from collections import Counter
from collections.abc import Iterable

from attrs import define, field

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.model import Resources, get_reservation
from hemlockstand.fleet.work import RunState, StepRun, Subtask


@define(eq=False)
class Room:
    """Capacity of an executor, what is used of it, and its runs by step.

    ``lasting`` holds the subtasks that need another place without this one.
    """

    capacity: Resources
    used: Resources = field(factory=Resources)
    labels: tuple[str, ...] = ()
    runs: Counter[StepRun] = field(factory=Counter)
    lasting: list[Subtask] = field(factory=list)

    def take(self, subtask: Subtask) -> bool:
        """Take room for a subtask; return whether there is enough."""
        step = subtask.step
        if step.label and step.label not in self.labels:
            return False
        cap = step.max_per_executor
        if cap and self.runs[subtask.step_run] >= cap:
            return False
        size = get_reservation(step)
        used = self.used.add(size)
        # Runs of an executor that has shrunk may use more than it has.
        if any(
            needed and total > whole
            for needed, total, whole in (
                (size.cpu_millis, used.cpu_millis, self.capacity.cpu_millis),
                (size.memory_mb, used.memory_mb, self.capacity.memory_mb),
                (size.accelerators, used.accelerators, self.capacity.accelerators),
            )
        ):
            return False
        self.used = used
        self.runs[subtask.step_run] += 1
        self.lasting.append(subtask)
        return True

    def release(self, subtask: Subtask) -> None:
        """Give back the room that was taken for a subtask."""
        self.used = self.used.add(get_reservation(subtask.step), -1)
        self.runs[subtask.step_run] -= 1
        self.lasting.remove(subtask)


def measure_room(executor: Executor, lasting_only: bool = False) -> Room:
    """Return the room of an executor.

    With ``lasting_only``, runs that end by themselves use nothing.
    """
    lasting = [subtask for subtask in executor.runs.values() if subtask.step.lasting]
    runs: Iterable[Subtask] = executor.runs.values()
    used = executor.used
    if lasting_only:
        runs, used = lasting, Resources()
        for subtask in lasting:
            used = used.add(get_reservation(subtask.step))
    by_step = Counter(subtask.step_run for subtask in runs)
    staying = [subtask for subtask in lasting if not is_stopping(subtask)]
    entry = executor.entry
    return Room(entry.capacity, used, entry.labels, by_step, staying)


def is_stopping(subtask: Subtask) -> bool:
    """Return whether the run of a subtask is being stopped."""
    return subtask.run is not None and subtask.run.state is RunState.STOPPING


def find_place(rooms: Iterable[Room], subtask: Subtask) -> Room | None:
    """Take a subtask's place in the first room that has one, and return it."""
    return next((room for room in rooms if room.take(subtask)), None)


def may_place_all(rooms: Iterable[Room], subtasks: Iterable[Subtask]) -> bool:
    """Take places for all subtasks, or none; return whether all have one."""
    rooms = list(rooms)
    taken: list[tuple[Room, Subtask]] = []
    for subtask in subtasks:
        room = find_place(rooms, subtask)
        if room is None:
            for other, placed in taken:
                other.release(placed)
            return False
        taken.append((room, subtask))
    return True
