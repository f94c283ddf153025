"""Which members a pool can spare, and how many it lacks, for work that lasts.

Load pattern: a large pool that is sized by the sum of its work. Lasting steps
with a limit per executor need as many members with a free place, and other
lasting work fills some of the members whole. A pool of the size that the sum
and the limits ask for then has no place for the last subtasks, while members
with places are on their way to standby.

Lasting subtasks without a place therefore count as members that are missing,
and a member is spared only if what lasts on it has places on those that stay.
Runs that end by themselves make room soon, so they count for what is missing,
but not for what can be spared.
"""

from collections.abc import Iterable

from attrs import define, field

from hemlockstand.fleet.model import Resources
from hemlockstand.fleet.policy.rooms import Room, find_place, may_place_all
from hemlockstand.fleet.work import StepRun, Subtask

# A subtask that waits for longer than a start usually takes lacks room. A member
# comes from standby in three seconds, and lasting work must run again in six.
LACK_SECONDS = 1.0
# Searches for places take time in each round, and members with more lasting work
# are less likely to be spared than those that were not.
MAX_REFUSED = 4


@define(eq=False)
class LackTimer:
    """Since when lasting subtasks of a pool have had no place."""

    _since: float | None = None

    def update(self, now: float, lacks: bool) -> bool:
        """Add what was found now; return whether it has lasted."""
        if not lacks:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        return now - self._since >= LACK_SECONDS


def find_unplaced(rooms: Iterable[Room], subtasks: Iterable[Subtask]) -> list[Subtask]:
    """Take places for the subtasks; return those that find none.

    The subtasks of a step are alike, so one without a place decides for the rest.
    """
    rooms = list(rooms)
    without_place: set[StepRun] = set()
    unplaced: list[Subtask] = []
    for subtask in subtasks:
        step_run = subtask.step_run
        if step_run in without_place or find_place(rooms, subtask) is None:
            without_place.add(step_run)
            unplaced.append(subtask)
    return unplaced


def count_members(
    subtasks: Iterable[Subtask], capacity: Resources, labels: tuple[str, ...] = ()
) -> int:
    """Return how many empty members of a capacity have places for all subtasks.

    Those that do not fit on one are left out.
    """
    rooms: list[Room] = []
    for subtask in subtasks:
        if find_place(rooms, subtask) is None:
            room = Room(capacity, labels=labels)
            if room.take(subtask):
                rooms.append(room)
    return len(rooms)


@define(eq=False)
class Spares:
    """The members that a pool may lose, by name, with the room on each.

    ``displaced`` are lasting subtasks that need places on the members as well.
    """

    rooms: dict[str, Room]
    displaced: Iterable[Subtask]
    _has_places: bool = field(init=False)
    _refused: int = 0

    def __attrs_post_init__(self) -> None:
        """Take places for the displaced subtasks."""
        self._has_places = may_place_all(self.rooms.values(), self.displaced)

    def spare(self, member: str) -> bool:
        """Spare a member if the others have places for what lasts on it.

        The members with least lasting work are asked for first.
        """
        if not self._has_places or self._refused >= MAX_REFUSED:
            return False
        room = self.rooms.pop(member, None)
        if room is None:
            return True
        if may_place_all(self.rooms.values(), room.lasting):
            return True
        self.rooms[member] = room
        self._refused += 1
        return False
