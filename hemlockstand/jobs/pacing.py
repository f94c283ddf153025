"""Paces the table writes of one daemon."""

from collections import deque
from collections.abc import Callable

import trio
from attrs import define, field

from hemlockstand.jobs.rounds import PoolRounds, RoundOutcome
from hemlockstand.model import Configuration

WINDOW_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.02  # interval at which a waiting writer looks again
MIN_ROUND_WRITES = 4  # rows; an urgent placement with victims of two teams


@define
class WritePacer:
    """Allows at most ``rate`` writes within any second.

    A window that slides is used and not a bucket of tokens, because a full
    bucket lets twice the rate through in the first second after an outage.
    Writes are counted before they are sent; what a lost reply leaves unknown
    counts as written. ``clock`` returns seconds.
    """

    rate: float
    clock: Callable[[], float] = trio.current_time
    _spent: deque[tuple[float, int]] = field(factory=deque)
    _reserved: int = 0

    def count_available(self) -> int:
        """Return how many writes may be sent now."""
        now = self.clock()
        while self._spent and now - self._spent[0][0] >= WINDOW_SECONDS:
            self._spent.popleft()
        spent = sum(count for _, count in self._spent)
        return max(0, int(self.rate) - spent - self._reserved)

    def spend(self, count: int) -> None:
        """Count writes that are about to be sent."""
        if count:
            self._spent.append((self.clock(), count))

    async def wait(self, count: int) -> None:
        """Wait until so many writes, or a whole window, may be sent; spend them."""
        needed = min(count, int(self.rate))
        while self.count_available() < needed:
            await trio.sleep(POLL_INTERVAL_SECONDS)
        self.spend(count)

    async def run_round(
        self, placer: PoolRounds, configuration: Configuration
    ) -> RoundOutcome | None:
        """Run a round of a pool within the rate.

        The round holds half of what is left, so that the pools of a daemon
        that run at the same time stay below the rate together. Without any
        writes left it still renews leases. Raises what the round raises.
        """
        allowed = -(-self.count_available() // 2)
        if allowed < min(MIN_ROUND_WRITES, self.rate / 2):
            allowed = 0
        before = placer.store.writes
        self._reserved += allowed
        try:
            return await placer.run_round(configuration, allowed)
        finally:
            self._reserved -= allowed
            self.spend(placer.store.writes - before)
