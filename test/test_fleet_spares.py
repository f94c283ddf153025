"""Members that a pool can spare or lacks for lasting work."""

from types import SimpleNamespace

from hemlockstand.fleet.model import Resources
from hemlockstand.fleet.policy.rooms import Room
from hemlockstand.fleet.policy.spares import (
    LACK_SECONDS,
    LackTimer,
    Spares,
    count_members,
    find_unplaced,
)
from test.fleet_world import SMALL, USUAL, make_step


def make_subtasks(count: int, step_run: str = "step", **values) -> list:
    """Return subtasks of a lasting step."""
    step = make_step(count, lasting=True, **values)
    return [SimpleNamespace(step=step, step_run=step_run) for _ in range(count)]


def make_room(subtasks: list) -> Room:
    """Return the room of an executor that runs the subtasks."""
    room = Room(USUAL)
    for subtask in subtasks:
        assert room.take(subtask)
    return room


def test_members_are_spared_while_others_have_places():
    """Guards against a member that is spared with what lasts on it."""
    runs = make_subtasks(3, max_per_executor=2)
    rooms = {str(position): make_room([run]) for position, run in enumerate(runs)}
    spares = Spares(rooms, [])
    assert [spares.spare(name) for name in ("0", "1", "2")] == [True, False, False]


def test_what_moved_to_a_member_keeps_it():
    """Guards against a member that is spared although a spared one counts on it."""
    first, second = make_subtasks(2, max_per_executor=1)
    spares = Spares({"a": make_room([first]), "b": make_room([]), "c": Room(SMALL)}, [])
    assert spares.spare("a")
    # The place on "c" is the last one.
    assert spares.spare("b")
    assert not spares.spare("c")
    full = Spares({"a": make_room([first]), "b": Room(USUAL)}, [second])
    assert not full.spare("b")


def test_no_member_is_spared_while_displaced_work_has_no_place():
    """Guards against a pool that shrinks while lasting work waits."""
    waiting = make_subtasks(1, size=Resources(17_000, 512))
    assert not Spares({"a": Room(USUAL), "b": Room(USUAL)}, waiting).spare("a")


def test_search_that_fails_leaves_the_places_as_they_were():
    """Guards against places that stay taken for a member that is not spared."""
    runs = make_subtasks(2, max_per_executor=1)
    member = Room(USUAL, lasting=list(runs))
    other = Room(USUAL)
    assert not Spares({"a": member, "b": other}, []).spare("a")
    assert (other.used, other.lasting) == (Resources(), [])
    assert not +other.runs


def test_missing_members_are_counted_by_the_limit_per_executor():
    """Guards against lasting work that counts only by the sum of its cpu."""
    subtasks = make_subtasks(5, max_per_executor=2)
    assert count_members(subtasks, USUAL) == 3
    assert count_members(make_subtasks(5, label="b"), USUAL, ("a",)) == 0
    assert find_unplaced([Room(USUAL), Room(USUAL)], subtasks) == subtasks[4:]


def test_short_lack_does_not_count():
    """Guards against a pool that grows for subtasks which are just starting."""
    timer = LackTimer()
    assert not timer.update(0.0, True)
    assert not timer.update(LACK_SECONDS * 0.9, True)
    assert timer.update(LACK_SECONDS, True)
    assert not timer.update(2 * LACK_SECONDS, False)
    assert not timer.update(2.5 * LACK_SECONDS, True)
