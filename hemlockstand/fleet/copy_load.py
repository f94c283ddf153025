"""What copies use and where there is room for more, measured once a check."""

from attrs import define, field

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.model import Resources
from hemlockstand.fleet.policy.copies import CopyUse, WaitingWork, is_wanted
from hemlockstand.fleet.policy.placing import PoolRoom


@define(eq=False)
class LoadView:
    """Use of copies, room by pool and waiting work during one check.

    ``unseen`` holds by workspace what a new scheduler may not see, and
    ``waiting_use`` what its waiting work would use.
    ``full_pools`` are those in which a copy has found no executor.
    """

    rooms: dict[str, PoolRoom]
    waiting: dict[str, set[WaitingWork]]
    unseen: dict[str, Resources]
    waiting_use: dict[str, Resources] = field(factory=dict)
    workspaces: dict[str, CopyUse] = field(factory=dict)
    pools: dict[str, CopyUse] = field(factory=dict)
    full_pools: set[str] = field(factory=set)
    _unwanted: dict[str, list[Executor]] = field(factory=dict)

    def find_workspace(self, tenant: str) -> CopyUse:
        """Return the copies of a workspace, and what it has running."""
        return self.workspaces.get(tenant, CopyUse(0, 0))

    def find_pool(self, pool: str) -> CopyUse:
        """Return the copies in a pool, and its capacity."""
        return self.pools.get(pool, CopyUse(0, 0))

    def count_copy(self, tenant: str, pool: str, cpu_millis: int) -> None:
        """Count a copy in its workspace and pool."""
        self.workspaces[tenant] = self.find_workspace(tenant).add(cpu_millis, 0)
        self.pools[pool] = self.find_pool(pool).add(cpu_millis, 0)

    def add_copy(self, tenant: str, pool: str, size: Resources) -> None:
        """Count a copy that has started since the view was made."""
        self.count_copy(tenant, pool, size.cpu_millis)
        self.workspaces[tenant] = self.find_workspace(tenant).add(0, size.cpu_millis)
        self.unseen[tenant] = self.unseen.get(tenant, Resources()).add(size)

    def list_unwanted(self, pool: str) -> list[Executor]:
        """Return the executors of a pool whose room no waiting work could use."""
        if pool not in self._unwanted:
            room = self.rooms.get(pool)
            waiting = self.waiting.get(pool, ())
            self._unwanted[pool] = [
                executor
                for executor in (() if room is None else room.executors)
                if not is_wanted(
                    executor.entry.capacity, executor.entry.labels, waiting
                )
            ]
        return self._unwanted[pool]
