"""Pools in which runs of an earlier scheduler may exist unseen."""

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.state import SchedulerState

log = logger.bind(module=__name__)

GATE_MARGIN_SECONDS = 0.3


@define(eq=False)
class Gates:
    """Holds announced steps back until all that may run them has answered.

    What runs on an executor that does not answer ends with its lease, so the
    gates open after the longest one at the latest.
    """

    state: SchedulerState
    gated: set[str] = field(factory=set)

    def close(self) -> None:
        """Hold back announced steps in all pools that have executors."""
        self.gated.update(
            executor.entry.pool for executor in self.state.executors.values()
        )

    def open(self) -> None:
        """Open the pools in which no unseen run can exist any more."""
        if not self.gated:
            return
        now = self.state.clock()
        if now > self.state.earlier_grants_end + GATE_MARGIN_SECONDS:
            still_gated: set[str] = set()
        else:
            still_gated = {
                executor.entry.pool
                for executor in self.state.executors.values()
                if not executor.settled
            }
        opened = self.gated - still_gated
        if opened:
            self.gated -= opened
            log.info("pools open", pools=sorted(opened), gated=len(self.gated))
            self.state.want_place()
