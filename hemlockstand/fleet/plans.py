"""Planned moves and maintenance of instances."""

from collections.abc import Iterable

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.model import InstanceEntry
from hemlockstand.fleet.state import SchedulerState

log = logger.bind(module=__name__)


@define(eq=False)
class Plan:
    """A planned move of an instance, or its maintenance for a wave.

    ``ordering`` is set while the order is in progress, ``stored`` once the
    order is in the lease row, where the next scheduler finds it. ``executor``
    is the reserved one, which the order ends, and ``born_ms`` its lifetime when
    the order was given. ``unanswered`` is set once an attempt, also one of a
    previous scheduler, got no answer: it may have been carried out before the
    one that is answered, or may be later.
    """

    instance: str
    pool: str = ""
    wave: int = 0
    planned_at: float = 0.0
    ordering: bool = False
    stored: bool = False
    executor: Executor | None = None
    born_ms: int | None = None
    unanswered: bool = False


@define(eq=False)
class InstancePlans:
    """The instances as listed, each with at most one plan.

    An order changes its instance here when it is accepted. A list whose read
    began before that may lack the change, so for this instance it is ignored.
    ``unreadable`` is the number of entries that the last list left out.
    """

    state: SchedulerState
    instances: dict[str, InstanceEntry] = field(factory=dict)
    current: dict[str, Plan] = field(factory=dict)
    unreadable: int = 0
    _changed_at: dict[str, float] = field(factory=dict)

    def change(self, instance: InstanceEntry) -> None:
        """Apply an accepted order until a later list shows the instance."""
        self.instances[instance.name] = instance
        self._changed_at[instance.name] = self.state.clock()

    def apply_list(self, listed: Iterable[InstanceEntry], began_at: float) -> bool:
        """Apply a list whose read began at ``began_at``.

        Returns whether it was recent enough for all instances.
        """
        self._changed_at = {
            name: changed_at
            for name, changed_at in self._changed_at.items()
            if changed_at >= began_at
        }
        changed = {name: self.instances[name] for name in self._changed_at}
        self.instances = {instance.name: instance for instance in listed} | changed
        return not changed

    def drop_gone(self) -> None:
        """Drop the plans of instances that are no longer listed."""
        for name in list(self.current):
            if name not in self.instances and not self.current[name].ordering:
                self.drop(self.current[name])

    def drop(self, plan: Plan) -> None:
        """Drop a plan, so that the executor can get runs again."""
        self.current.pop(plan.instance, None)
        if plan.executor is not None:
            plan.executor.reserved = False
            self.state.request_placement()

    def find_executor(self, name: str) -> Executor | None:
        """Return the executor of an instance, if the store has its entry."""
        instance = self.instances.get(name)
        if instance is None or not instance.executor:
            return None
        return self.state.executors.get(instance.executor)

    def reserve(self, plan: Plan) -> None:
        """Add a plan; its executor gets no new runs from now on."""
        self.current[plan.instance] = plan
        executor = self.reserve_executor(plan)
        log.info(
            "instance reserved for a move or maintenance",
            instance=plan.instance,
            executor="" if executor is None else executor.id,
            pool=plan.pool,
            wave=plan.wave,
            runs=0 if executor is None else len(executor.runs),
        )

    def reserve_executor(self, plan: Plan) -> Executor | None:
        """Reserve the present executor of a plan's instance, and return it."""
        executor = self.find_executor(plan.instance)
        if plan.executor is not None:
            plan.executor.reserved = False
        if executor is not None:
            executor.reserved = True
        plan.executor = executor
        return executor

    def get_work_key(self, instance: InstanceEntry) -> tuple[int, int]:
        """Return the sort key of an instance; the least work comes first."""
        executor = self.find_executor(instance.name)
        if executor is None:
            return 0, 0
        lasting = sum(1 for other in executor.runs.values() if other.step.lasting)
        return 1 + lasting, executor.used.cpu_millis
