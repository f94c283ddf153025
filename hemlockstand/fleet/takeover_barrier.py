"""Protection against duplicate runs after a change of the scheduler."""

from collections import defaultdict
from collections.abc import Iterator

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.lapses import PREVIOUS_GRANTS_MARGIN_SECONDS, Lapses
from hemlockstand.fleet.state import SchedulerState

log = logger.bind(module=__name__)

# Executors that answer do so within this time after a takeover.
REPORT_SECONDS = 0.5


@define(eq=False)
class TakeoverBarrier:
    """Blocks announced steps until every executor that may run them answered.

    A previous scheduler may have started them on an executor that does not
    answer yet. Such runs end with the executor's lease, so a pool is blocked
    until the longest lease has expired at the latest. One that answers keeps its
    lease, and its pool is blocked until all ends of its runs have been read. An
    executor gets no runs before its name is stored, so only those that the
    previous scheduler has stored need to answer. A pool of which these are not
    known is blocked until the longest lease has expired.
    """

    state: SchedulerState
    lapses: Lapses
    blocked_pools: set[str] = field(factory=set)
    _blocked_at: float | None = None  # until the blocked pools have been reported

    def block_pools(self) -> None:
        """Block announced steps in the pools of the inherited executors."""
        now = self.state.clock()
        self.blocked_pools.update(self._find_pools_with_unknown_runs(now))
        self._blocked_at = now

    def report_blocked(self) -> None:
        """Log the pools that are still blocked, and by which executors, once."""
        now = self.state.clock()
        if self._blocked_at is None or now < self._blocked_at + REPORT_SECONDS:
            return
        self._blocked_at = None
        if not self.blocked_pools:
            return
        blocking: dict[str, dict[str, str]] = defaultdict(dict)
        for executor in self._find_unreconciled(now):
            blocking[executor.entry.pool][executor.id] = _describe(executor, now)
        log.info(
            "pools are blocked after the takeover",
            pools=sorted(self.blocked_pools),
            executors=dict(blocking),
        )

    def _find_unreconciled(self, now: float) -> Iterator[Executor]:
        """Yield the executors that may have runs which are not known."""
        return (
            executor
            for executor in self.state.executors.values()
            if executor.id in self.lapses.inherited
            and not executor.reconciled
            and self._may_have_unknown_runs(executor, now)
        )

    def _may_have_unknown_runs(self, executor: Executor, now: float) -> bool:
        """Return whether an executor may have runs, or ends that were not read."""
        if not executor.is_silent:
            return True
        return now <= executor.runs_end_at + PREVIOUS_GRANTS_MARGIN_SECONDS

    def _find_pools_with_unknown_runs(self, now: float) -> set[str]:
        pools = {executor.entry.pool for executor in self._find_unreconciled(now)}
        return pools | self.lapses.find_unknown_pools()

    def unblock_pools(self) -> None:
        """Unblock the pools in which no unknown run can exist any more."""
        if not self.blocked_pools:
            return
        now = self.state.clock()
        unblocked = self.blocked_pools - self._find_pools_with_unknown_runs(now)
        if unblocked:
            self.blocked_pools -= unblocked
            log.info(
                "pools are no longer blocked after the takeover",
                pools=sorted(unblocked),
                gated=len(self.blocked_pools),
            )
            self.state.request_placement()


def _describe(executor: Executor, now: float) -> str:
    """Return why an executor's lists have not been read, and until when it counts."""
    reason = "lists not read" if executor.reachable else "does not answer"
    if not executor.is_in_store:
        reason = "not in the store"
    left = executor.runs_end_at + PREVIOUS_GRANTS_MARGIN_SECONDS - now
    return f"{reason}, {left:.1f} s left"
