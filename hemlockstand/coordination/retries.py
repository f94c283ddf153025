"""Retry budget: retries are limited to a fraction of the first tries.

A budget keeps retries from multiplying the load of an overloaded system. Each
first try earns a fraction of a retry, and a retry is allowed once a whole one
has been earned::

    >>> budget = RetryBudget(fraction=0.1)
    >>> budget.try_spend()
    False
    >>> for _ in range(10):
    ...     budget.record_first_try()
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
"""

from random import Random

from attrs import define, field

# Limits the burst of retries after a long time without failures.
MAX_EARNED_RETRIES = 20.0
_ROUNDING = 1e-9  # 0.1 added up ten times is slightly less than 1.0


@define
class RetryBudget:
    """Counts earned retries; they never exceed ``fraction`` of first tries."""

    fraction: float
    max_earned: float = MAX_EARNED_RETRIES
    first_tries: int = 0
    retries: int = 0
    _earned: float = 0.0

    def record_first_try(self) -> None:
        """Count a first try, which earns a fraction of a retry."""
        self.first_tries += 1
        self._earned = min(self._earned + self.fraction, self.max_earned)

    def try_spend(self) -> bool:
        """Spend one earned retry; return False if there is none."""
        if self._earned < 1.0 - _ROUNDING:
            return False
        self._earned = max(0.0, self._earned - 1.0)
        self.retries += 1
        return True


@define
class Backoff:
    """Exponential delays with full jitter, in seconds."""

    base: float = 0.005
    maximum: float = 0.25
    random: Random = field(factory=Random)

    def delay(self, attempt: int) -> float:
        """Return the delay before retry number ``attempt``, counted from 1."""
        return self.random.uniform(0.0, min(self.maximum, self.base * 2**attempt))
