"""Places of lasting subtasks on the members of pools."""

from collections.abc import Iterable, Iterator

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import find_pool
from hemlockstand.fleet.model import InstanceEntry, InstanceState, Resources
from hemlockstand.fleet.placement import is_recorded, is_sound
from hemlockstand.fleet.plans import InstancePlans
from hemlockstand.fleet.policy.evacuation import is_evacuated
from hemlockstand.fleet.policy.rooms import Room, is_stopping, measure_room
from hemlockstand.fleet.policy.spares import (
    LackTimer,
    Spares,
    count_members,
    find_unplaced,
)
from hemlockstand.fleet.restarts import is_to_last, list_restarting
from hemlockstand.fleet.work import Subtask

log = logger.bind(module=__name__)


@define(eq=False)
class LastingPlaces:
    """Measures which places lasting subtasks need, in each round of planning.

    ``_displaced`` holds by pool those that wait, are being stopped or have to
    leave for maintenance or an evacuation, ``_moving`` those that run on executors
    which are reserved for a move.
    """

    plans: InstancePlans
    _usual: Resources = field(factory=Resources)
    _lacks: dict[str, LackTimer] = field(factory=dict)
    _logged: dict[str, dict[str, int]] = field(factory=dict)
    _displaced: dict[str, list[Subtask]] = field(factory=dict)
    _moving: dict[str, list[Subtask]] = field(factory=dict)

    def update(self, usual: Resources) -> None:
        """Find the lasting subtasks that need another place, by their pools.

        Those on executors that are reserved for a move wait for room that is
        there already: they go on meanwhile, and the move may be dropped.
        """
        self._usual = usual
        state, config = self.plans.state, self.plans.state.config
        self._displaced, self._moving = {}, {}
        for subtask in list_restarting(state):
            pool = find_pool(subtask.job, config)
            self._displaced.setdefault(pool, []).append(subtask)
        for subtask in self._list_evacuated():
            pool = find_pool(subtask.job, config)
            self._displaced.setdefault(pool, []).append(subtask)
        for plan in self.plans.current.values():
            if plan.executor is None or is_evacuated(plan.executor, config):
                continue
            found = self._displaced if plan.wave else self._moving
            for subtask in plan.executor.runs.values():
                if is_to_last(subtask) and not is_stopping(subtask):
                    pool = find_pool(subtask.job, config)
                    found.setdefault(pool, []).append(subtask)

    def _list_evacuated(self) -> Iterator[Subtask]:
        """Yield the lasting subtasks that are to leave evacuated data centres."""
        state = self.plans.state
        if not state.config.evacuated:
            return
        for executor in state.executors.values():
            if is_evacuated(executor, state.config):
                for subtask in executor.runs.values():
                    movable = is_to_last(subtask) and not subtask.step.gang
                    if movable and not is_stopping(subtask):
                        yield subtask

    def find_unplaced(self, pool: str, members: list[InstanceEntry]) -> list[Subtask]:
        """Return the displaced subtasks that no member can take now.

        Those that no instance could take are left out.
        """
        displaced = self._displaced.get(pool)
        if not displaced:
            return []
        rooms = [
            measure_room(executor)
            for instance in members
            if (executor := self._find_sound(instance, pool)) is not None
        ]
        unplaced = find_unplaced(rooms, displaced)
        fitting = {
            step_run: self._fits_somewhere(subtask)
            for step_run, subtask in {item.step_run: item for item in unplaced}.items()
        }
        return [subtask for subtask in unplaced if fitting[subtask.step_run]]

    def _fits_somewhere(self, subtask: Subtask) -> bool:
        """Return whether an instance has room for a subtask when it is empty."""
        return any(
            self._make_empty_room(instance).take(subtask)
            for instance in self.plans.instances.values()
        )

    def may_host(self, instance: InstanceEntry, subtasks: Iterable[Subtask]) -> bool:
        """Return whether one of the subtasks fits on a member when it is empty."""
        steps = {subtask.step_run: subtask for subtask in subtasks}
        return any(
            self._make_empty_room(instance).take(subtask) for subtask in steps.values()
        )

    def _may_come(self, subtask: Subtask, pool: str) -> bool:
        """Return whether an instance that may join a pool has room for a subtask.

        Those on standby may, and members that are reserved for standby.
        """
        config = self.plans.state.config
        for instance in self.plans.instances.values():
            if instance.state is InstanceState.DOWN:
                continue
            if instance.data_centre in config.evacuated:
                continue
            known = config.pools.get(instance.pool)
            if instance.pool == pool:
                may_come = instance.name in self.plans.current
            else:
                may_come = known is not None and known.standby
            if may_come and self._make_empty_room(instance).take(subtask):
                return True
        return False

    def _make_empty_room(self, instance: InstanceEntry) -> Room:
        capacity = instance.capacity
        if not capacity.cpu_millis:
            capacity = self._usual
        return Room(capacity, labels=instance.labels)

    def _find_sound(self, instance: InstanceEntry, pool: str) -> Executor | None:
        """Return a member's executor, if its room is known."""
        executor = self.plans.find_executor(instance.name)
        if executor is None or executor.entry.pool != pool:
            return None
        return executor if is_sound(executor) and is_recorded(executor) else None

    def _is_expected(self, instance: InstanceEntry, pool: str) -> bool:
        """Return whether a member may soon have room, although none is known."""
        if self._find_sound(instance, pool) is not None:
            return False
        executor = self.plans.find_executor(instance.name)
        return executor is None or not executor.entry.draining

    def count_missing(
        self,
        pool: str,
        members: list[InstanceEntry],
        unplaced: list[Subtask],
    ) -> dict[str, int]:
        """Return how many members are missing for lasting subtasks, by label.

        A member that is on its way, or whose executor is not known yet, counts
        as empty.
        """
        expected = [
            self._make_empty_room(instance)
            for instance in members
            if unplaced and self._is_expected(instance, pool)
        ]
        left = find_unplaced(expected, unplaced)
        steps = {subtask.step_run: subtask for subtask in left}
        coming = {
            step_run
            for step_run, subtask in steps.items()
            if self._may_come(subtask, pool)
        }
        left = [subtask for subtask in left if subtask.step_run in coming]
        now = self.plans.state.clock()
        if not self._lacks.setdefault(pool, LackTimer()).update(now, bool(left)):
            self._logged.pop(pool, None)
            return {}
        by_label: dict[str, list[Subtask]] = {}
        for subtask in left:
            by_label.setdefault(subtask.step.label, []).append(subtask)
        missing = {
            label: count_members(subtasks, self._usual, (label,))
            for label, subtasks in by_label.items()
        }
        if self._logged.get(pool) != missing:
            self._logged[pool] = missing
            log.info(
                "pool has no places for lasting subtasks",
                pool=pool,
                members=len(members),
                subtasks=len(left),
                missing=missing,
            )
        return missing

    def make_spares(self, pool: str, members: list[InstanceEntry]) -> Spares:
        """Return the members, with places taken on them for what lasts."""
        rooms: dict[str, Room] = {}
        for instance in members:
            executor = self._find_sound(instance, pool)
            if executor is not None:
                rooms[instance.name] = measure_room(executor, lasting_only=True)
            elif self._is_expected(instance, pool):
                rooms[instance.name] = self._make_empty_room(instance)
        # What waits without a place holds only the members that it fits on.
        find_unplaced(rooms.values(), self._displaced.get(pool, ()))
        return Spares(rooms, self._moving.get(pool, ()))
