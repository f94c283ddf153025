"""Rate limit of one daemon's table writes."""

from collections import deque
from collections.abc import Callable

import trio
from attrs import define, field

from hemlockstand.jobs.rounds import PoolRounds, RoundOutcome
from hemlockstand.model import Configuration

WINDOW_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.02  # between checks of a waiting writer
MIN_ROUND_WRITES = 4  # rows of an urgent placement with victims of two teams


@define
class WritePacer:
    """Allows at most ``rate`` writes within any second.

    The limit is a sliding window, because a full token bucket would let twice
    the rate through in the first second after an outage. Writes are counted
    before they are sent, so a write whose reply is lost counts as well.
    ``clock`` returns seconds.
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
        """Wait until the writes, or a full window, may be sent; count them."""
        needed = min(count, int(self.rate))
        while self.count_available() < needed:
            await trio.sleep(POLL_INTERVAL_SECONDS)
        self.spend(count)

    async def run_round(
        self, placer: PoolRounds, configuration: Configuration
    ) -> RoundOutcome | None:
        """Run a round of a pool within the rate.

        The round reserves half of the writes that are left, so that the pools
        of a daemon, whose rounds run concurrently, stay below the rate
        together. With no writes left the round still renews leases. Raises
        what the round raises.
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
