"""Pools in which runs of an earlier scheduler may exist unseen."""

from collections.abc import Iterable

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.state import SchedulerState

log = logger.bind(module=__name__)

GATE_MARGIN_SECONDS = 0.3


@define(eq=False)
class TakeoverBarrier:
    """Holds announced steps back until all that may run them has answered.

    What runs on an executor that does not answer ends with its lease, so the
    gates open after the longest one at the latest. An executor gets nothing
    before its name is stored, so only those that the earlier scheduler has
    stored may have runs.
    """

    state: SchedulerState
    blocked_pools: set[str] = field(factory=set)
    _inherited: set[str] = field(factory=set)

    def block_pools(self, inherited: Iterable[str]) -> None:
        """Hold back announced steps in the pools of the inherited executors."""
        self._inherited.update(inherited)
        self.blocked_pools.update(self._find_unreconciled_pools())

    def _find_unreconciled_pools(self) -> set[str]:
        """Return the pools of the executors that have not answered yet."""
        return {
            executor.entry.pool
            for executor in self.state.executors.values()
            if executor.id in self._inherited and not executor.settled
        }

    def unblock_pools(self) -> None:
        """Open the pools in which no unseen run can exist any more."""
        if not self.blocked_pools:
            return
        now = self.state.clock()
        over = now > self.state.previous_grants_end + GATE_MARGIN_SECONDS
        opened = self.blocked_pools - (
            set() if over else self._find_unreconciled_pools()
        )
        if opened:
            self.blocked_pools -= opened
            log.info("pools open", pools=sorted(opened), gated=len(self.blocked_pools))
            self.state.request_placement()
