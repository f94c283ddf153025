"""Expected durations of subtasks, learned from estimates and actual times.

Who takes which part of the distribution:

* The order of waiting takes medians (``expect_medians``).
* Sizes of pools take means (``mean_seconds``): the cores that a pool needs are the
  sum of the work of its subtasks, slow ones included.
"""

from typing import Any

import attrs
from attrs import define, field

from hemlockstand.fleet.metrics import DURATION_RATIO
from hemlockstand.fleet.model import JobSpec
from hemlockstand.fleet.policy.expectation import (
    MIN_SECONDS,
    DurationModel,
    Group,
    Outlook,
    QueueRecord,
)
from hemlockstand.fleet.policy.observations import (
    EndedRun,
    ExpectedDuration,
    RunTime,
    Traits,
)

# What was expected is kept until its group has had this part more runs, and at
# most so many: fewer hardly move a quantile. The rest of the queue counts less.
STALE_PART = 1 / 16
MAX_STALE_RUNS = 16
MAX_STALE_QUEUE_RUNS = 64
# Least time between two attempts to store the model. A takeover loses what was
# learned since, and each document takes up to 44 KB of the scheduler's link.
STORE_SECONDS = 5.0
# A run is compared with what was expected up to so many runs before: fewer than
# those that tell a change of behaviour, and each reader computes it anew anyway.
RECORD_SLACK_RUNS = 3
# Queues with metrics of their own; further ones share a label.
MAX_LABELS = 50
OTHER_LABEL = "other"
# Expected durations that are kept; a few megabytes.
MAX_CACHED = 16_384


@define(eq=False)
class _CachedOutlook:
    """An outlook, and what it gives at the estimates that were asked for.

    It holds until its group or the queue has had so many runs.
    """

    outlook: Outlook
    group: Group | None
    last_group_change: int
    queue: QueueRecord
    last_change: int
    expected: dict[int, ExpectedDuration] = field(factory=dict)


# Runs to learn from in a second, and at once after a pause. Learning from a run
# takes 0.2 ms, and at a peak several hundred end in a second, which took a tenth
# of the scheduler's core when it was needed for starts.
RECORDS_PER_SECOND = 40.0
MAX_RECORDS_AT_ONCE = 80.0


@define(eq=False)
class Durations:
    """Expected durations of subtasks, from the runs that have ended.

    ``expect`` is called for each step of each job several times a second, so
    its results are kept, and computed again only after further runs.
    """

    model: DurationModel = field(factory=DurationModel)
    runs_stored: int = 0  # runs of the model when it was last stored
    stored_at: float = float("-inf")  # time of the last attempt
    _cache: dict[tuple, _CachedOutlook] = field(factory=dict)
    _cached: int = 0
    _labels: set[str] = field(factory=set)
    _records_left: float = MAX_RECORDS_AT_ONCE
    _records_at: float = float("-inf")  # time at which these were counted

    def may_record(self, now: float) -> bool:
        """Return whether there is processor time to learn from one more run."""
        passed = max(0.0, now - self._records_at)
        left = self._records_left + passed * RECORDS_PER_SECOND
        self._records_left = min(MAX_RECORDS_AT_ONCE, left)
        self._records_at = now
        if self._records_left < 1.0:
            return False
        self._records_left -= 1.0
        return True

    def replace_model(self, model: DurationModel) -> None:
        """Start from what a previous scheduler has learned."""
        self.model = model
        self._cache.clear()
        self._cached = 0

    def is_unstored(self, now: float) -> bool:
        """Return whether there is something to store, and it is time to."""
        return (
            self.model.runs > self.runs_stored and now - self.stored_at >= STORE_SECONDS
        )

    def record(
        self, spec: JobSpec, position: int, run_time: RunTime, far: bool = False
    ) -> None:
        """Learn from a run; ``far`` means on another rack than that of its data."""
        expected = self.expect(spec, position, far, RECORD_SLACK_RUNS)
        estimate = spec.steps[position].estimate_ms / 1000
        run = EndedRun(run_time, estimate, spec.id)
        if run_time.exact:
            ratio = expected.median_seconds / max(run_time.seconds, MIN_SECONDS)
            DURATION_RATIO.labels(self._choose_label(spec.queue)).observe(ratio)
        self.model.add(find_traits(spec, position, far), run, expected.median_seconds)

    def _choose_label(self, queue: str) -> str:
        """Return the queue as a label of metrics, or that of all further ones."""
        if queue not in self._labels:
            if len(self._labels) >= MAX_LABELS:
                return OTHER_LABEL
            self._labels.add(queue)
        return queue

    def view(self) -> list[dict[str, Any]]:
        """Return what is expected in each queue, for operators, as JSON values.

        Times are in seconds over all runs of the queue near their data, whatever
        their estimates. ``trust`` is 1 where times follow the estimates and 0
        where they say nothing; ``factor`` is the usual time by its estimate::

            {"queue": "quotes", "runs": 140, "median": 1.9, "p90": 4.2,
             "p99": 13.5, "mean": 2.4, "trust": 1.0, "factor": 3.1}
        """
        views = []
        for queue in sorted(self.model.queues):
            outlook = self.model.measure_outlook(Traits(queue))
            if outlook.times is None:
                continue
            times = attrs.asdict(outlook.times)
            views.append(
                {
                    "queue": queue,
                    "runs": outlook.runs,
                    **{name: round(2.0**level, 3) for name, level in times.items()},
                    "trust": round(outlook.trust, 2),
                    "factor": round(2.0**outlook.ratios.median, 3),
                }
            )
        return views

    def expect(
        self, spec: JobSpec, position: int, far: bool = False, slack: int = 0
    ) -> ExpectedDuration:
        """Return what a subtask of a job's step is expected to take.

        It runs at full speed, and on the rack of its data unless ``far``. The
        latest ``slack`` runs need not count.
        """
        step = spec.steps[position]
        size = step.size
        key = (
            spec.queue,
            spec.tenant,
            step.image,
            size.cpu_millis,
            size.memory_mb,
            size.accelerators,
            step.label,
            far,
        )
        cached = self._cache.get(key)
        if (
            cached is None
            or cached.queue.changes > cached.last_change + slack
            or (
                cached.group and cached.group.changes > cached.last_group_change + slack
            )
        ):
            cached = self._measure(key, find_traits(spec, position, far))
        expected = cached.expected.get(step.estimate_ms)
        if expected is None:
            expected = cached.outlook.expect(step.estimate_ms / 1000)
            cached.expected[step.estimate_ms] = expected
            self._cached += 1
        return expected

    def _measure(self, key: tuple, traits: Traits) -> _CachedOutlook:
        if self._cached >= MAX_CACHED:
            self._cache.clear()
            self._cached = 0
        queue = self.model.find_queue(traits.queue)
        outlook = self.model.measure_outlook(traits)
        group = self.model.find_narrowest(traits)
        group_changes = 0 if group is None else group.changes
        cached = _CachedOutlook(
            outlook,
            group,
            group_changes + min(MAX_STALE_RUNS, int(group_changes * STALE_PART)),
            queue,
            queue.changes + min(MAX_STALE_QUEUE_RUNS, queue.changes // 4),
        )
        self._cache[key] = cached
        self._cached += 1
        return cached


def find_traits(spec: JobSpec, position: int, far: bool) -> Traits:
    """Return what distinguishes the subtasks of a job's step."""
    step = spec.steps[position]
    size = step.size
    parts = (size.cpu_millis, size.memory_mb, size.accelerators, step.label)
    shape = "/".join(str(part) for part in parts)
    return Traits(spec.queue, spec.tenant, step.image, shape, far)


def expect_medians(spec: JobSpec, durations: Durations) -> list[float]:
    """Return the median seconds that each step of a job is expected to take.

    The order of waiting takes the median, not the mean: a job's objective is
    its usual work times a factor, and a mean that some slow runs raise would
    give all jobs of the queue more time than they have.
    """
    positions = range(len(spec.steps))
    return [durations.expect(spec, position).median_seconds for position in positions]


def estimate_chain_seconds(spec: JobSpec, durations: Durations) -> float:
    """Return the expected seconds of the longest chain of a job's steps."""
    finished: list[float] = []
    medians = expect_medians(spec, durations)
    for step, seconds in zip(spec.steps, medians, strict=True):
        start = max((finished[earlier] for earlier in step.after), default=0.0)
        finished.append(start + seconds)
    return max(finished, default=0.0)
