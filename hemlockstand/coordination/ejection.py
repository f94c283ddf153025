"""Outlier ejection: targets that fail receive no work for a while.

A failure is often faster than an answer, so a failing target looks idle to a
load balancer. Each failure therefore also counts as load for a time
(``penalty``), and several failures in a row eject the target::

    >>> ejector = OutlierEjector(consecutive_failures=3, base_seconds=5.0)
    >>> ejector.add("a"), ejector.add("b")
    (None, None)
    >>> for _ in range(3):
    ...     ejector.record_failure("a", now=0.0)
    >>> ejector.may_use("a", now=4.9), ejector.may_use("a", now=5.1)
    (False, True)

When its ejection ends, a target is on probation: one more failure ejects it
again, for twice as long. A success ends the probation.
"""

from attrs import define, field

PENALTY_HALF_LIFE_SECONDS = 1.0
# A smaller penalty counts as none, because any penalty keeps a target unused
# while others are idle.
MIN_PENALTY = 0.05


@define
class _Target:
    consecutive: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    on_probation: bool = False
    recent_failure_rate: float = 0.0
    penalty: float = 0.0
    penalty_at: float = 0.0


@define
class OutlierEjector:
    """Decides which targets are ejected.

    A target is ejected after ``consecutive_failures`` in a row, or when its
    smoothed failure rate exceeds ``failure_rate``. At most ``max_fraction``
    of the targets are ejected at once, so that a failure that affects all of
    them does not stop the whole pool.
    """

    consecutive_failures: int = 5
    failure_rate: float = 0.5
    base_seconds: float = 2.0
    max_seconds: float = 60.0
    max_fraction: float = 0.5
    smoothing: float = 0.1
    _targets: dict[str, _Target] = field(factory=dict)

    def add(self, name: str) -> None:
        """Add a target to those that ``max_fraction`` is a fraction of."""
        self._targets.setdefault(name, _Target())

    def forget(self, name: str) -> None:
        """Remove a target that no longer exists."""
        self._targets.pop(name, None)

    def record_success(self, name: str, now: float) -> None:
        """Record that the target answered."""
        target = self._targets.setdefault(name, _Target())
        target.consecutive = 0
        target.recent_failure_rate *= 1 - self.smoothing
        if target.on_probation:
            target.on_probation = False
            target.ejections = 0

    def record_failure(self, name: str, now: float) -> None:
        """Record that the target failed, and eject it if it is an outlier."""
        target = self._targets.setdefault(name, _Target())
        target.consecutive += 1
        rate = target.recent_failure_rate
        target.recent_failure_rate = rate + self.smoothing * (1 - rate)
        target.penalty = self.penalty(name, now) + 1.0
        target.penalty_at = now
        if now < target.ejected_until:
            return
        if self._is_outlier(target) and self._may_eject(now):
            self._eject(target, now)

    def may_use(self, name: str, now: float) -> bool:
        """Return whether the target may receive work."""
        target = self._targets.get(name)
        return target is None or now >= target.ejected_until

    def penalty(self, name: str, now: float) -> float:
        """Return the load that recent failures count as.

        It halves every ``PENALTY_HALF_LIFE_SECONDS``.
        """
        target = self._targets.get(name)
        if target is None or target.penalty == 0.0:
            return 0.0
        age = max(0.0, now - target.penalty_at)
        penalty = target.penalty * 0.5 ** (age / PENALTY_HALF_LIFE_SECONDS)
        return penalty if penalty >= MIN_PENALTY else 0.0

    def _is_outlier(self, target: _Target) -> bool:
        return (
            target.on_probation
            or target.consecutive >= self.consecutive_failures
            or target.recent_failure_rate > self.failure_rate
        )

    def _may_eject(self, now: float) -> bool:
        ejected = sum(now < target.ejected_until for target in self._targets.values())
        return ejected < int(self.max_fraction * len(self._targets))

    def _eject(self, target: _Target, now: float) -> None:
        seconds = min(self.base_seconds * 2**target.ejections, self.max_seconds)
        target.ejected_until = now + seconds
        target.ejections = min(target.ejections + 1, 16)
        target.on_probation = True
        target.consecutive = 0
        target.recent_failure_rate = 0.0
