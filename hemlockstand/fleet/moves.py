"""Moves of instances between pools and standby, according to demand."""

from collections.abc import Callable, Iterator

from attrs import define, field, frozen
from loguru import logger

from hemlockstand.fleet.capacity import Demand, PoolNeed, measure_demand
from hemlockstand.fleet.lasting_places import LastingPlaces
from hemlockstand.fleet.model import InstanceEntry, InstanceState, Resources
from hemlockstand.fleet.plans import InstancePlans, Plan
from hemlockstand.fleet.policy.sizing import OfferScale, PoolSize, find_usual_capacity
from hemlockstand.fleet.policy.spares import Spares

log = logger.bind(module=__name__)


@frozen
class Shortage:
    """What a pool lacks, of instances with a label unless it is empty."""

    lack: PoolSize
    pool: str
    scale: OfferScale
    label: str = ""

    @property
    def missing(self) -> int:
        """Usual instances that are missing."""
        return self.lack.count()

    def fits(self, instance: InstanceEntry) -> bool:
        """Return whether an instance has the label, if one is needed."""
        return not self.label or self.label in instance.labels


@define(eq=False)
class MovePlanner:
    """Plans moves of instances.

    ``is_blocked`` returns whether no order may be sent for an instance yet.
    """

    plans: InstancePlans
    is_blocked: Callable[[str], bool]
    _needs: dict[str, PoolNeed] = field(factory=dict)
    _logged: dict[str, tuple[int, int]] = field(factory=dict)
    _demand_seen: bool = False
    _pools_with_demand: set[str] = field(factory=set)
    _usual: Resources = field(factory=Resources)
    _places: LastingPlaces = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._places = LastingPlaces(self.plans)

    def plan(self) -> None:
        """Reserve instances for moves to the pools that need them."""
        config = self.plans.state.config
        self._drop_evacuated()
        standby = [pool.name for pool in config.pools.values() if pool.standby]
        if not standby:
            return
        now = self.plans.state.clock()
        demands = measure_demand(self.plans.state.registry, config, now)
        self._usual = self._find_usual_capacity()
        if not self._usual.cpu_millis:
            return
        self._places.update(self._usual)
        surplus: list[InstanceEntry] = []
        shortages: list[Shortage] = []
        for pool in config.pools.values():
            if not pool.standby:
                demand = demands.get(pool.name, Demand())
                self._compare(pool.name, demand, now, surplus, shortages)
        # Shortages with a label come first; the others can use any instance.
        for shortage in sorted(
            shortages, key=lambda item: (not item.label, -item.missing)
        ):
            self._fill_shortage(shortage, surplus, standby)
        for instance in surplus:
            self._plan_move(instance, standby[0])

    def _compare(
        self,
        pool: str,
        demand: Demand,
        now: float,
        surplus: list[InstanceEntry],
        shortages: list[Shortage],
    ) -> None:
        """Add what a pool lacks, or the members that it can spare."""
        scale = demand.make_scale(self._usual)
        members = self._find_members(pool)
        need = self._find_need(pool, demand, members, scale, now)
        needed = need.update(now, demand.count_instances(self._usual))
        kept: list[InstanceEntry] = []
        for label in demand.labelled:
            lack = demand.count_labelled(label, self._usual)
            for item in members:
                if label in item.labels and not lack.is_met:
                    kept.append(item)
                    lack = lack.subtract(self._offer(item, scale))
            if not lack.is_met:
                shortages.append(Shortage(lack, pool, scale, label))
        lack = needed
        for item in members:
            lack = lack.subtract(self._offer(item, scale))
        unplaced = self._places.find_unplaced(pool, members)
        missing = self._places.count_missing(pool, members, unplaced)
        self._log_need(pool, len(members), lack, needed, demand)
        for label in missing.keys() - {""}:
            count = missing[label]
            more = PoolSize(count, count, count)
            shortages.append(Shortage(more, pool, scale, label))
        lack = lack.raise_to(missing.get("", 0))
        if not lack.is_met:
            shortages.append(Shortage(lack, pool, scale))
        elif self._has_demand():
            # A member that has just come may not have been offered work yet.
            free = [
                item
                for item in members
                if item not in kept and not self._places.may_host(item, unplaced)
            ]
            spares: Spares | None = None
            for item in self._rank_surplus(free, scale):
                rest = lack.add(self._offer(item, scale))
                if not rest.is_met:
                    continue
                spares = spares or self._places.make_spares(pool, members)
                if spares.spare(item.name):
                    lack = rest
                    surplus.append(item)

    def _find_need(
        self,
        pool: str,
        demand: Demand,
        members: list[InstanceEntry],
        scale: OfferScale,
        now: float,
    ) -> PoolNeed:
        """Return the latest needs of a pool.

        The present size counts as needed when this scheduler first sees the
        pool, and when its first short job arrives. A scheduler that has just
        taken over knows no durations yet, and the first job says nothing of the
        rate of those that follow. Both made pools shrink at the start of a
        peak, and instances take seconds to come back.
        """
        known = self._needs.get(pool)
        need = known or self._needs.setdefault(pool, PoolNeed())
        has_short_work = any(item.amount for item in demand.arrived)
        is_first_demand = has_short_work and pool not in self._pools_with_demand
        if is_first_demand:
            self._pools_with_demand.add(pool)
        if known is None or is_first_demand:
            present = PoolSize()
            for item in members:
                present = present.add(self._offer(item, scale))
            need.update(now, present)
        return need

    def _find_usual_capacity(self) -> Resources:
        """Return the usual capacity of an instance.

        It is that of the executors if the instances are listed without one.
        """
        usual = find_usual_capacity(
            instance.capacity for instance in self.plans.instances.values()
        )
        if usual.cpu_millis:
            return usual
        return find_usual_capacity(
            executor.entry.capacity
            for executor in self.plans.state.executors.values()
            if executor.is_in_store
        )

    def _has_demand(self) -> bool:
        """Return whether there has been a job that is not lasting.

        Until then no pool shrinks below the size that the operator has given
        it, which the first jobs need.
        """
        if not self._demand_seen:
            jobs = self.plans.state.registry.jobs.values()
            self._demand_seen = any(not job.spec.lasting for job in jobs)
        return self._demand_seen

    def _offer(self, instance: InstanceEntry, scale: OfferScale) -> PoolSize:
        """Return what an instance offers to a pool at present."""
        capacity = instance.capacity
        executor = self.plans.find_executor(instance.name)
        if executor is not None and executor.is_in_store:
            capacity = executor.entry.capacity
        elif not capacity.cpu_millis:
            capacity = self._usual
        return scale.offer(capacity)

    def _log_need(
        self,
        pool: str,
        members: int,
        lack: PoolSize,
        needed: PoolSize,
        demand: Demand,
    ) -> None:
        wanted = needed.count()
        if self._logged.get(pool) == (members, wanted):
            return
        self._logged[pool] = members, wanted
        log.info(
            "pool needs {} instances",
            wanted,
            missing=lack.count(),
            pool=pool,
            members=members,
            present_cpu=int(demand.present.cpu_millis),
            arriving_cpu=int(demand.arriving.cpu_millis),
            used_cpu=sum(
                executor.used.cpu_millis
                for executor in self.plans.state.executors.values()
                if executor.entry.pool == pool and executor.is_in_store
            ),
        )

    def _find_members(self, pool: str) -> list[InstanceEntry]:
        """Return the instances that a pool has, or will have by a plan."""
        members = []
        for instance in self.plans.instances.values():
            if self._is_evacuated(instance):
                continue
            plan = self.plans.current.get(instance.name)
            if plan is not None:
                # Maintenance makes an instance unavailable for as long as a
                # move.
                if plan.pool == pool:
                    members.append(instance)
            elif instance.pool == pool and self._is_in_service(instance):
                members.append(instance)
        return members

    def _is_evacuated(self, instance: InstanceEntry) -> bool:
        """Return whether nothing may be sent to an instance's data centre."""
        return instance.data_centre in self.plans.state.config.evacuated

    def _drop_evacuated(self) -> None:
        """Drop the moves of evacuated instances into pools.

        An order that is being given may have been carried out; the instance
        does not count as a member then.
        """
        if not self.plans.state.config.evacuated:
            return
        for plan in list(self.plans.current.values()):
            pool = self.plans.state.config.pools.get(plan.pool)
            instance = self.plans.instances.get(plan.instance)
            if instance is None or plan.ordering or pool is None or pool.standby:
                continue
            if self._is_evacuated(instance):
                log.info("move into a pool is dropped", instance=plan.instance)
                self.plans.drop(plan)

    def _is_in_service(self, instance: InstanceEntry) -> bool:
        """Return whether an instance can run subtasks, now or soon."""
        if instance.state is InstanceState.DOWN:
            return False
        executor = self.plans.find_executor(instance.name)
        if executor is None:
            return True
        return executor.reachable and not executor.entry.draining

    def _rank_surplus(
        self, members: list[InstanceEntry], scale: OfferScale
    ) -> list[InstanceEntry]:
        """Return the members that can be moved, least work first.

        Of those with as much work, the ones that offer least come first.
        """
        movable = [
            instance
            for instance in members
            if instance.name not in self.plans.current
            and instance.state is InstanceState.UP
            and self._is_movable(instance)
        ]
        return sorted(
            movable,
            key=lambda instance: (
                self.plans.get_work_key(instance),
                self._offer(instance, scale).work,
            ),
        )

    def _is_movable(self, instance: InstanceEntry) -> bool:
        executor = self.plans.find_executor(instance.name)
        if executor is None:
            return False
        return not executor.entry.draining

    def _fill_shortage(
        self,
        shortage: Shortage,
        surplus: list[InstanceEntry],
        standby: list[str],
    ) -> None:
        lack, pool = shortage.lack, shortage.pool
        for plan in list(self.plans.current.values()):
            if lack.is_met:
                return
            instance = self.plans.instances.get(plan.instance)
            if instance is None or plan.wave or plan.ordering:
                continue
            if not shortage.fits(instance) or self._is_evacuated(instance):
                continue
            if instance.pool == pool and plan.pool != pool:
                self.plans.drop(plan)
                lack = lack.subtract(self._offer(instance, shortage.scale))
        for instance in self._find_sources(surplus, standby):
            if lack.is_met:
                return
            offer = self._offer(instance, shortage.scale)
            if not shortage.fits(instance) or not lack.is_reduced_by(offer):
                continue
            if instance in surplus:
                surplus.remove(instance)
            self._plan_move(instance, pool)
            lack = lack.subtract(offer)

    def _find_sources(
        self, surplus: list[InstanceEntry], standby: list[str]
    ) -> Iterator[InstanceEntry]:
        """Yield idle surplus instances, then those on standby.

        Of those on standby, the ones that may get no order yet come last.
        Within each group, data centres with few unreachable executors come
        first.
        """
        for instance in list(surplus):
            executor = self.plans.find_executor(instance.name)
            if executor is not None and not executor.runs:
                yield instance
        unreachable = self._count_unreachable()
        waiting = [
            instance
            for instance in self.plans.instances.values()
            if instance.pool in standby
            and instance.state is InstanceState.UP
            and instance.name not in self.plans.current
            and not self._is_evacuated(instance)
        ]
        yield from sorted(
            waiting,
            key=lambda instance: (
                self.is_blocked(instance.name),
                unreachable.get(instance.data_centre, 0),
            ),
        )

    def _count_unreachable(self) -> dict[str, int]:
        """Return the number of unreachable executors by data centre."""
        counts: dict[str, int] = {}
        for executor in self.plans.state.executors.values():
            if executor.is_in_store and not executor.reachable:
                data_centre = executor.entry.data_centre
                counts[data_centre] = counts.get(data_centre, 0) + 1
        return counts

    def _plan_move(self, instance: InstanceEntry, pool: str) -> None:
        self.plans.reserve(
            Plan(instance.name, pool=pool, planned_at=self.plans.state.clock())
        )
