"""What workspaces use in the pools, and what their waiting work needs.

Load pattern: a peak of several workspaces. Their shares are measured in each
round of placement, which must not count all runs and waiting subtasks again.
"""

from collections.abc import Mapping
from math import exp

from attrs import define, field

from hemlockstand.fleet.model import FleetConfig, Resources, Tenant, get_reservation
from hemlockstand.fleet.work import Run, Subtask

# Time constant of the decay of recent usage, in seconds. It spans a few runs of
# usual subtasks; a longer one would count a turn against the next one.
RECENT_SECONDS = 3.0
# Recent usage below this many thousandths of a core, megabytes and accelerators
# is dropped, so that idle workspaces take no memory.
NEGLIGIBLE_USE = 0.01


@define(eq=False)
class Usage:
    """What a workspace uses in a pool: cpu, memory and accelerators.

    ``running`` is in use now, ``recent`` an average that decays. Ends since
    the last call of ``advance`` are not yet taken off ``counted``.
    """

    running: list[int] = field(factory=lambda: [0, 0, 0])
    counted: list[int] = field(factory=lambda: [0, 0, 0])
    recent: list[float] = field(factory=lambda: [0.0, 0.0, 0.0])

    def add(self, size: Resources, times: int) -> None:
        """Add ``times`` runs of a size."""
        parts = (size.cpu_millis, size.memory_mb, size.accelerators)
        for index, part in enumerate(parts):
            self.running[index] += times * part
            self.counted[index] = max(self.counted[index], self.running[index])

    def advance(self, kept: float) -> None:
        """Let the average follow what ran since the last call."""
        self.recent = [
            counted + (recent - counted) * kept
            for recent, counted in zip(self.recent, self.counted, strict=True)
        ]
        self.counted = self.running.copy()

    @property
    def negligible(self) -> bool:
        """Whether nothing runs and hardly anything has run recently."""
        return not any(self.running) and max(self.recent) < NEGLIGIBLE_USE


@define(eq=False)
class UsageLedger:
    """Usage and need of the workspaces, kept with each start and end.

    It holds nothing that must outlast a takeover: the next scheduler counts
    the runs in the executors' lists, and recent usage starts from zero.
    ``by_pool`` holds the usage by pool and workspace, and ``needs`` what the
    waiting subtasks need, by queue, stored pool, workspace and whether they need
    accelerators: their number, cpu, memory and accelerators.
    """

    by_pool: dict[str, dict[str, Usage]] = field(factory=dict)
    needs: dict[tuple[str, str, str, bool], list[int]] = field(factory=dict)
    _advanced_at: float | None = None

    def add_run(self, subtask: Subtask, run: Run, times: int) -> None:
        """Count a run of a subtask; -1 takes it off."""
        usages = self.by_pool.setdefault(run.pool, {})
        workspace = subtask.job.spec.tenant
        usage = usages.get(workspace)
        if usage is None:
            usage = usages[workspace] = Usage()
        usage.add(get_reservation(subtask.step), times)

    def add_waiting(self, subtask: Subtask, times: int) -> None:
        """Count a waiting subtask; -1 takes it off."""
        spec = subtask.job.spec
        size = get_reservation(subtask.step)
        key = (spec.queue, spec.pool, spec.tenant, size.accelerators > 0)
        need = self.needs.setdefault(key, [0, 0, 0, 0])
        need[0] += times
        need[1] += times * size.cpu_millis
        need[2] += times * size.memory_mb
        need[3] += times * size.accelerators
        if not need[0]:
            del self.needs[key]

    def advance(self, now: float) -> None:
        """Let recent usage decay up to a time."""
        before = self._advanced_at
        self._advanced_at = now
        if before is None:
            return
        kept = exp(min(0.0, before - now) / RECENT_SECONDS)
        for pool, usages in list(self.by_pool.items()):
            for workspace, usage in list(usages.items()):
                usage.advance(kept)
                if usage.negligible:
                    del usages[workspace]
            if not usages:
                del self.by_pool[pool]

    def find_contenders(
        self, config: FleetConfig, in_use: Mapping[str, Resources]
    ) -> dict[str, dict[str, list[int]]]:
        """Return what waits by workspace, in pools where several of them wait.

        What a workspace may not start by its maximum does not count.
        """
        pools: dict[str, dict[str, list[list[int]]]] = {}
        for (queue_name, stored_pool, workspace, _), need in self.needs.items():
            queue = config.queues_by_name.get(queue_name)
            pool = stored_pool if queue is None else queue.pool
            pools.setdefault(pool, {}).setdefault(workspace, []).append(need[1:])
        contended = {}
        for pool, groups in pools.items():
            if len(groups) < 2:
                continue
            wants = {}
            for workspace, needs in groups.items():
                tenant = config.tenants.get(workspace)
                for need in needs:
                    limit_need(need, tenant, in_use)
                want = [sum(column) for column in zip(*needs, strict=True)]
                limit_need(want, tenant, in_use)
                if any(want):
                    wants[workspace] = want
            if len(wants) > 1:
                contended[pool] = wants
        return contended


def limit_need(
    need: list[int], tenant: Tenant | None, in_use: Mapping[str, Resources]
) -> None:
    """Limit a workspace's need to what its maximum leaves.

    Nothing of it may start once one of the resources it needs is used up.
    """
    if tenant is None:
        return
    used = in_use.get(tenant.name, Resources())
    for index, name in enumerate(("cpu_millis", "memory_mb", "accelerators")):
        maximum = getattr(tenant.maximum, name)
        if not (maximum and need[index]):
            continue
        left = maximum - getattr(used, name)
        if left <= 0:
            need[:] = [0, 0, 0]
            return
        need[index] = min(need[index], left)
