"""Seeded arrivals: a Poisson process per queue, with peaks in turn."""

import heapq
import random
from collections.abc import Iterator, Sequence

from attrs import frozen

PEAK_FACTOR = 5.0
QUIET_FACTOR = 1 / 20


@frozen
class Arrival:
    """A request that is due ``at`` seconds after the start."""

    at: float
    queue: int
    number: int


@frozen
class ArrivalPlan:
    """Rates of a load by queue, in requests per second, and its duration.

    With ``peak_seconds`` 0 the rates are constant. Otherwise time is divided
    into slots of ``peak_seconds``, which belong to the queues in turn. A queue
    has five times its mean rate in its own slots and a twentieth of it in all
    others.
    """

    rates: Sequence[float]
    peak_seconds: float
    seconds: float
    seed: int

    def generate(self) -> Iterator[Arrival]:
        """Return the arrivals of all queues in order of time."""
        streams = [self._generate_queue(queue) for queue in range(len(self.rates))]
        return heapq.merge(*streams, key=lambda arrival: arrival.at)

    def _generate_queue(self, queue: int) -> Iterator[Arrival]:
        source = random.Random(f"{self.seed} {queue}")
        moment = 0.0
        number = 0
        while moment < self.seconds:
            rate, slot_end = self._rate_at(queue, moment)
            wait = source.expovariate(rate) if rate > 0 else float("inf")
            # The exponential distribution is memoryless, so a wait that passes
            # the end of a slot is drawn again there with the next rate.
            if moment + wait >= slot_end:
                moment = slot_end
                continue
            moment += wait
            if moment < self.seconds:
                yield Arrival(moment, queue, number)
                number += 1

    def _rate_at(self, queue: int, moment: float) -> tuple[float, float]:
        rate = self.rates[queue]
        if self.peak_seconds <= 0:
            return rate, self.seconds
        slot = int(moment / self.peak_seconds + 1e-9)
        end = min((slot + 1) * self.peak_seconds, self.seconds)
        is_peak = slot % len(self.rates) == queue
        return rate * (PEAK_FACTOR if is_peak else QUIET_FACTOR), end
