"""Protection against duplicate runs after a change of the scheduler."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.executors import LEASE_EXPIRY_MARGIN_SECONDS, Executor
from hemlockstand.fleet.state import SchedulerState

log = logger.bind(module=__name__)

PREVIOUS_GRANTS_MARGIN_SECONDS = 0.3
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
    previous scheduler has stored need to answer.
    """

    state: SchedulerState
    blocked_pools: set[str] = field(factory=set)
    _inherited: set[str] = field(factory=set)
    _unknown_pools: set[str] = field(factory=set)
    _blocked_at: float | None = None  # until the blocked pools have been reported

    def add_unknown_pools(self, pools: Iterable[str]) -> None:
        """Add pools that may have executors of which nothing is known.

        They stay blocked until the longest lease has expired.
        """
        self._unknown_pools.update(pools)

    def block_pools(self, inherited: Iterable[str]) -> None:
        """Block announced steps in the pools of the inherited executors."""
        self._inherited.update(inherited)
        self.blocked_pools.update(self._find_unreconciled_pools())
        self._blocked_at = self.state.clock()

    def report_blocked(self) -> None:
        """Log the pools that are still blocked, and by which executors, once."""
        now = self.state.clock()
        if self._blocked_at is None or now < self._blocked_at + REPORT_SECONDS:
            return
        self._blocked_at = None
        if not self.blocked_pools:
            return
        blocking: dict[str, dict[str, str]] = defaultdict(dict)
        for executor in self._find_unreconciled():
            blocking[executor.entry.pool][executor.id] = _describe(executor)
        log.info(
            "pools are blocked after the takeover",
            pools=sorted(self.blocked_pools),
            executors=dict(blocking),
            seconds_left=round(self._find_end() - now, 2),
        )

    def _find_end(self) -> float:
        """Return the time after which no unanswered executor has unknown runs."""
        return self.state.previous_grants_end + PREVIOUS_GRANTS_MARGIN_SECONDS

    def _find_unreconciled_pools(self) -> set[str]:
        """Return the pools of the executors whose lists have not been read yet."""
        return self._unknown_pools | {
            executor.entry.pool for executor in self._find_unreconciled()
        }

    def _find_unreconciled(self) -> Iterator[Executor]:
        return (
            executor
            for executor in self.state.executors.values()
            if executor.id in self._inherited and not executor.reconciled
        )

    def _find_pools_with_unread_ends(self, now: float) -> set[str]:
        """Return the pools of executors that hold a lease of this scheduler."""
        return {
            executor.entry.pool
            for executor in self._find_unreconciled()
            if now <= executor.runs_end_at + LEASE_EXPIRY_MARGIN_SECONDS
        }

    def unblock_pools(self) -> None:
        """Unblock the pools in which no unknown run can exist any more."""
        if not self.blocked_pools:
            return
        now = self.state.clock()
        over = now > self._find_end()
        unblocked = self.blocked_pools - (
            self._find_pools_with_unread_ends(now)
            if over
            else self._find_unreconciled_pools()
        )
        if unblocked:
            self.blocked_pools -= unblocked
            log.info(
                "pools are no longer blocked after the takeover",
                pools=sorted(unblocked),
                gated=len(self.blocked_pools),
            )
            self.state.request_placement()


def _describe(executor: Executor) -> str:
    """Return why an executor's lists have not been read."""
    if not executor.is_in_store:
        return "not in the store"
    return "lists not read" if executor.reachable else "does not answer"
