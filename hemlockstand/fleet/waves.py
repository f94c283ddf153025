"""Maintenance of instances in waves."""

import time
from collections import Counter

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.model import InstanceEntry, InstanceState, Wave
from hemlockstand.fleet.plans import InstancePlans, Plan
from hemlockstand.fleet.storage import WaveRecord

log = logger.bind(module=__name__)

# Part of a pool that may be reserved at once. It doubles if time is short.
RESERVED_FRACTION = 0.25
# Time from the reservation of an instance to the end of its maintenance,
# without the maintenance itself.
EMPTYING_SECONDS = 4.0
# An instance is gone if this many lists in a row lack it. A single list may
# lack it, because it is read in several pages.
GONE_LISTS = 3


@define(eq=False)
class WaveProgress:
    """Progress of a wave; an order is stored before it is sent.

    ``returned`` holds the instances whose maintenance is over or that
    disappeared during it; once the wave is completed, also those that
    disappeared before. ``missing_lists`` counts the lists in a row that lack an
    instance.
    """

    wave: Wave
    seen_ms: int
    ordered: set[str] = field(factory=set)
    begun: set[str] = field(factory=set)
    returned: set[str] = field(factory=set)
    missing_lists: Counter[str] = field(factory=Counter)
    completed: bool = False
    stored: bool = False

    def find_gone(self) -> set[str]:
        """Return the instances that no longer exist."""
        return {
            name for name, lists in self.missing_lists.items() if lists >= GONE_LISTS
        }

    def count_down(self) -> int:
        """Return how many instances are or may be down for the wave."""
        return len((self.ordered | self.begun) - self.returned - self.find_gone())

    def make_record(self) -> WaveRecord:
        """Return the scheduler's row of the wave."""
        return WaveRecord(
            self.seen_ms,
            tuple(sorted(self.ordered)),
            tuple(sorted(self.begun)),
            tuple(sorted(self.returned)),
        )


@define(eq=False)
class WavePlanner:
    """Plans the maintenance of waves.

    At most the maximum of each wave and a part of each pool are out of service
    at once.
    """

    plans: InstancePlans
    waves: dict[int, WaveProgress] = field(factory=dict)

    def add(self, wave: Wave, record: WaveRecord | None) -> None:
        """Add a wave, with the progress stored by a previous scheduler."""
        if wave.number in self.waves:
            return
        if record is None:
            record = WaveRecord(int(time.time() * 1000))
        progress = WaveProgress(wave, record.seen_ms)
        progress.begun.update(record.begun)
        progress.ordered.update(record.ordered)
        progress.returned.update(record.returned)
        progress.completed = progress.returned >= set(wave.instances)
        self.waves[wave.number] = progress
        self.plans.state.request_commit()

    def update_instances(self) -> None:
        """Update the waves from the list of instances."""
        for progress in self.waves.values():
            self._update_progress(progress)

    def _update_progress(self, progress: WaveProgress) -> None:
        known = len(progress.returned)
        for name in progress.wave.instances:
            instance = self.plans.instances.get(name)
            if instance is None:
                progress.missing_lists[name] += 1
                continue
            progress.missing_lists[name] = 0
            if name in progress.begun and instance.state is InstanceState.UP:
                progress.returned.add(name)
        gone = progress.find_gone()
        progress.returned.update(gone & progress.begun)
        done = progress.returned | gone >= set(progress.wave.instances)
        if len(progress.returned) > known:
            # The next transaction, which extends the lease, is soon enough.
            progress.stored = False
        if done and not progress.completed:
            progress.completed = True
            progress.returned.update(gone)
            progress.stored = False
            log.info("wave {} completed", progress.wave.number)
            self.plans.state.request_commit()

    def plan(self) -> None:
        """Reserve instances for the waves that are not complete."""
        for progress in sorted(self.waves.values(), key=lambda item: item.wave.number):
            if not progress.completed:
                self._plan_wave(progress)

    def _plan_wave(self, progress: WaveProgress) -> None:
        wave = progress.wave
        planned = [
            plan
            for plan in self.plans.current.values()
            if plan.wave == wave.number and plan.instance not in progress.ordered
        ]
        free = wave.maximum - progress.count_down() - len(planned)
        for instance in self._rank_remaining(progress):
            # An order of a previous scheduler counts already. It is repeated
            # to learn its outcome.
            counted = instance.name in progress.ordered
            if free <= 0 and not counted:
                continue
            if not self._may_reserve(instance, progress):
                continue
            plan = Plan(
                instance.name, wave=wave.number, planned_at=self.plans.state.clock()
            )
            self.plans.reserve(plan)
            free -= 0 if counted else 1

    def _rank_remaining(self, progress: WaveProgress) -> list[InstanceEntry]:
        """Return the instances not maintained so far, least work first."""
        left = [
            self.plans.instances[name]
            for name in progress.wave.instances
            if name in self.plans.instances
            and name not in progress.begun
            and name not in self.plans.current
            and self.plans.instances[name].state is InstanceState.UP
        ]
        return sorted(left, key=self.plans.get_work_key)

    def _may_reserve(self, instance: InstanceEntry, progress: WaveProgress) -> bool:
        """Return whether the instance may be taken out of its pool now.

        The permitted part of a pool doubles towards the end of the wave's
        time.
        """
        if self.plans.find_executor(instance.name) is None:
            return not instance.executor
        members = [
            other
            for other in self.plans.instances.values()
            if other.pool == instance.pool
        ]
        reserved = sum(1 for other in members if other.name in self.plans.current)
        wave = progress.wave
        left = len(wave.instances) - len(progress.begun)
        rounds = -(-left // max(1, wave.maximum))
        elapsed = time.time() - progress.seen_ms / 1000
        short_of_time = elapsed + rounds * EMPTYING_SECONDS * 2 > wave.duration_s
        fraction = 2 * RESERVED_FRACTION if short_of_time else RESERVED_FRACTION
        return reserved < max(1, int(len(members) * fraction))
