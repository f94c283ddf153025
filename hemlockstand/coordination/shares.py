"""Correction of local weights, so that shares hold over several queues.

Several fair queues serve the same flows, each with a capacity of its own. If
the demand is spread unevenly over them, shares that hold at each queue do not
hold over all of them. Each queue therefore multiplies a flow's weight by a
factor, which grows while the flow gets less than its share of what all queues
serve and shrinks while it gets more::

    >>> correction = ShareCorrection()
    >>> for _ in range(10):
    ...     correction.update(0.1, {"a": 1.0, "b": 1.0}, {"a": 10.0, "b": 30.0})
    >>> correction.factor("a") > 1.0 > correction.factor("b")
    True
    >>> correction.factor("c")
    1.0

Only the flows that wait at this queue are compared with each other, because
this queue cannot serve a flow whose demand is at other queues.
"""

from collections import Counter
from collections.abc import Hashable, Iterator, Mapping
from math import exp, log
from typing import Generic, TypeVar

from attrs import define, field

Key = TypeVar("Key", bound=Hashable)

# The factor is exp(integral + PROPORTIONAL * error), where the integral grows
# by gain * error each second. With a gain of 2 it converges within 3 s. Rates
# from a sample of the queues are delayed, and a gain of 2 then made the shares
# oscillate by 0.13 (30 queues) and 0.17 (220 queues) of the capacity.
COMPLETE_GAIN = 2.0
SAMPLED_GAIN = 0.4
PROPORTIONAL = 1.0
# Bounds of the logarithms: the error is limited to a factor of 4.5 and the
# integral to a factor of 55.
MAX_ERROR = 1.5
MAX_INTEGRAL = 4.0
# Time constant of the decay to 1 of the factor of a flow that does not wait.
DECAY_SECONDS = 5.0
RATE_SECONDS = 1.0  # time constant of the average of rates
MIN_RATE = 0.05  # events per second; a lower rate is dropped


@define
class ShareCorrection:
    """The weight factors of the flows of one queue."""

    _integrals: dict[str, float] = field(factory=dict)
    _factors: dict[str, float] = field(factory=dict)

    def factor(self, flow: str) -> float:
        """Return the factor of a flow's weight."""
        return self._factors.get(flow, 1.0)

    def update(
        self,
        seconds: float,
        shares: Mapping[str, float],
        rates: Mapping[str, float],
        gain: float = COMPLETE_GAIN,
    ) -> None:
        """Adapt the factors to the rates at which all queues serve.

        ``seconds`` is the time since the last call. ``shares`` has the flows
        that wait at this queue, with their positive weights. ``rates`` are
        requests per second; ``gain`` is ``SAMPLED_GAIN`` if they are
        estimates.
        """
        self._decay_idle(seconds, shares)
        total = sum(rates.get(flow, 0.0) for flow in shares)
        if len(shares) < 2 or total <= 0.0:
            return
        rate_per_share = total / sum(shares.values())
        errors = {
            flow: _measure_error(rate_per_share * share, rates.get(flow, 0.0))
            for flow, share in shares.items()
        }
        integrals = {
            flow: self._integrals.get(flow, 0.0) + gain * seconds * error
            for flow, error in errors.items()
        }
        # Only the ratios of the factors matter. Subtracting the mean keeps the
        # integrals off their bounds while all errors have the same sign.
        mean = sum(integrals.values()) / len(integrals)
        for flow, integral in integrals.items():
            bounded = _bound(integral - mean, MAX_INTEGRAL)
            self._integrals[flow] = bounded
            self._factors[flow] = exp(bounded + PROPORTIONAL * errors[flow])

    def _decay_idle(self, seconds: float, shares: Mapping[str, float]) -> None:
        decay = exp(-seconds / DECAY_SECONDS)
        for flow in [name for name in self._integrals if name not in shares]:
            integral = self._integrals[flow] * decay
            if abs(integral) < 0.01:
                del self._integrals[flow], self._factors[flow]
                continue
            self._integrals[flow] = integral
            self._factors[flow] = exp(integral)


def _measure_error(target: float, rate: float) -> float:
    """Return the logarithm of ``target / rate``, within bounds."""
    return _bound(log(target / max(rate, target * exp(-MAX_ERROR))), MAX_ERROR)


def _bound(value: float, limit: float) -> float:
    return max(-limit, min(limit, value))


@define
class RateMeter(Generic[Key]):
    """Events per second by key, averaged over about a second."""

    _counts: Counter[Key] = field(factory=Counter)
    _rates: dict[Key, float] = field(factory=dict)

    def record(self, key: Key) -> None:
        """Count one event."""
        self._counts[key] += 1

    def update(self, seconds: float) -> None:
        """Add the events of the last ``seconds`` to the rates."""
        kept = exp(-seconds / RATE_SECONDS)
        for key in {*self._counts, *self._rates}:
            rate = self._rates.get(key, 0.0) * kept
            rate += (1.0 - kept) * self._counts[key] / seconds
            self._rates[key] = rate
            if rate < MIN_RATE:
                del self._rates[key]
        self._counts.clear()

    def get(self, key: Key) -> float:
        """Return the rate of a key, in events per second."""
        return self._rates.get(key, 0.0)

    def keys(self) -> Iterator[Key]:
        """Yield the keys that have had events lately."""
        yield from self._rates
