"""Distribution of the time that a subtask takes, learned from ended runs.

Load pattern: a turn of a queue whose estimates are off by a factor, or mean
nothing, or of which a few runs take many times as long as the others. Pools
sized by the estimates are too small or too large, jobs are taken for late or
in time by mistake, and a slow run looks like any other.

Each group of alike subtasks has two histograms: of times, and of times as
ratios to estimates. A queue's trust in its estimates decides by which power
each counts. A narrow group starts from the wider one around it, whose weight
falls as the group's own runs come in. The widest starts from the estimates.

    >>> from hemlockstand.fleet.policy.observations import RunTime
    >>> model = DurationModel()
    >>> traits = Traits("queue")
    >>> for number in range(40):
    ...     expected = model.measure_outlook(traits).expect(1.0)
    ...     run = EndedRun(RunTime(4.0, True), 1.0, f"job-{number}")
    ...     model.add(traits, run, expected.median_seconds)
    >>> expected = model.measure_outlook(traits).expect(2.0)
    >>> round(expected.median_seconds, 1), expected.runs
    (8.0, 40)
"""

from collections.abc import Mapping
from math import log2

from attrs import define, field, frozen

from hemlockstand.fleet.policy.estimates import EstimateTrust
from hemlockstand.fleet.policy.histogram import (
    BINS_PER_OCTAVE,
    MAX_BIN,
    FadingHistogram,
    find_bin,
    read_mean,
    read_quantiles,
)
from hemlockstand.fleet.policy.observations import (
    EndedRun,
    ExpectedDuration,
    GroupKey,
    Traits,
)

# A wider group counts as this many runs in a narrower one without runs, and as
# fewer the more it has. So four runs of its own decide its median, and at 64
# the wider one no longer moves its 99th percentile, and is left out.
WIDER_RUNS = 4.0
SUFFICIENT_RUNS = 64.0
PARTS = (0.5, 0.9, 0.99)
# Times and estimates below this, in seconds, are taken for it.
MIN_SECONDS = 0.01
# Groups in memory; above it the least used quarter is dropped.
MAX_GROUPS = 2_048
# Runs after which all counts of uses are halved.
FORGET_USES_RUNS = 10_000
# A queue behaves differently if runs of this many jobs in a row are all longer,
# or all shorter, than predicted. By chance that is one job in a thousand.
STREAK_JOBS = 10
# Weights of the runs before such a change, in the group and in those within it.
STREAK_KEPT_RUNS = 4.0
WITHIN_KEPT_RUNS = 1.0
FADED_CHANGES = 1_000  # a change of behaviour counts as so many runs
# A run that was cut short earlier than this part of runs end tells nothing.
MIN_CUT_PART = 0.05
# Where a run that is cut short counts if no run has taken so long: 1.4 times
# its time. It has the weight of one run in a hundred beside those that have.
BEYOND_BINS = BINS_PER_OCTAVE // 2
BEYOND_PART = 0.01


@frozen
class Spread:
    """Binary logarithms of quantiles and mean of a distribution."""

    median: float
    p90: float
    p99: float
    mean: float


@frozen
class Outlook:
    """Distribution for subtasks with the same traits, at any estimate."""

    ratios: Spread
    times: Spread | None
    trust: float
    runs: int

    def expect(self, estimate_seconds: float) -> ExpectedDuration:
        """Return the distribution at an estimate; 0 means that there is none."""
        estimate = max(estimate_seconds, MIN_SECONDS)
        if self.times is None:
            return ExpectedDuration(estimate, estimate, estimate, 0)
        trust = self.trust if estimate_seconds else 0.0
        by_ratio, by_time = self.ratios, self.times
        level = log2(estimate)

        def combine(ratio: float, time: float) -> float:
            return 2.0 ** (trust * (level + ratio) + (1.0 - trust) * time)

        return ExpectedDuration(
            combine(by_ratio.median, by_time.median),
            combine(by_ratio.p90, by_time.p90),
            combine(by_ratio.p99, by_time.p99),
            self.runs,
            combine(by_ratio.mean, by_time.mean),
        )


@define(eq=False)
class Group:
    """Runs of alike subtasks.

    ``uses`` tells how often it was updated lately, ``changes`` how often in all.
    ``streak`` names the jobs
    whose latest runs were all longer, or all shorter, than predicted.
    """

    ratios: FadingHistogram = field(factory=FadingHistogram)
    times: FadingHistogram = field(factory=FadingHistogram)
    uses: float = 0.0
    changes: int = 0
    streak: frozenset[str] = frozenset()
    longer: bool = False

    def fade(self, kept: float) -> None:
        """Reduce the weight of all runs to ``kept`` runs."""
        self.ratios.fade(kept)
        self.times.fade(kept)

    def is_streak(self, job: str, deviation: int) -> bool:
        """Add a run's deviation in bins; return whether a streak is complete."""
        if not deviation:
            self.streak = frozenset()
            return False
        longer = deviation > 0
        known = self.streak if longer == self.longer else frozenset()
        self.longer = longer
        self.streak = known | {job}
        if len(self.streak) < STREAK_JOBS:
            return False
        self.streak = frozenset()
        return True


@define(eq=False)
class QueueRecord:
    """Trust in a queue's estimates, and how many runs it has had."""

    trust: EstimateTrust = field(factory=EstimateTrust)
    changes: int = 0


@define(eq=False)
class DurationModel:
    """Groups of runs, and the trust in estimates, by queue."""

    max_groups: int = MAX_GROUPS
    groups: dict[GroupKey, Group] = field(factory=dict)
    queues: dict[str, QueueRecord] = field(factory=dict)
    runs: int = 0  # that this scheduler has added

    def find_queue(self, name: str) -> QueueRecord:
        """Return the record of a queue."""
        record = self.queues.get(name)
        if record is None:
            record = self.queues[name] = QueueRecord()
        return record

    def add(self, traits: Traits, run: EndedRun, expected_seconds: float) -> None:
        """Add what a run tells of which the median was expected to be so long."""
        exact = run.time.exact
        seconds = max(run.time.seconds, MIN_SECONDS)
        estimate = run.estimate_seconds
        if estimate:
            estimate = max(estimate, MIN_SECONDS)
        queue = self.find_queue(traits.queue)
        queue.changes += 1
        groups = [self._use_group(key) for key in traits.list_keys()]
        deviation = find_bin(seconds) - find_bin(expected_seconds)
        if not exact:
            # It may have taken longer than predicted.
            deviation = max(0, deviation)
        for key, group in zip(traits.list_keys(), groups, strict=True):
            if group.is_streak(run.job, deviation):
                self._fade(key)
        if exact:
            if estimate:
                queue.trust.add(traits.workspace, estimate, seconds)
            for group in groups:
                group.times.add(find_bin(seconds))
                if estimate:
                    group.ratios.add(find_bin(seconds / estimate))
        else:
            _add_cut([group.times for group in groups], {}, find_bin(seconds))
            if estimate:
                bin_number = find_bin(seconds / estimate)
                _add_cut([group.ratios for group in groups], {0: 1.0}, bin_number)
        self._limit_groups()

    def _use_group(self, key: GroupKey) -> Group:
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = Group()
        group.uses += 1
        group.changes += 1
        return group

    def _fade(self, changed: GroupKey) -> None:
        """Let the earlier runs of a group, and of those within it, count little."""
        for key, group in self.groups.items():
            if key[: len(changed)] == changed:
                group.fade(STREAK_KEPT_RUNS if key == changed else WITHIN_KEPT_RUNS)
                group.changes += FADED_CHANGES
        if len(changed) == 2:
            self.queues[changed[1]].trust.fade(STREAK_KEPT_RUNS)

    def measure_outlook(self, traits: Traits) -> Outlook:
        """Return the distribution for subtasks with some traits."""
        groups = self._find_groups(traits)
        ratios = _combine([group.ratios for group in groups], {0: 1.0})
        times = _combine([group.times for group in groups], {})
        if not times:
            return Outlook(_measure_spread(ratios), None, 1.0, 0)
        trust = self.find_queue(traits.queue).trust
        slope = trust.measure_slope(traits.workspace)
        runs = groups[0].times.total
        for group in groups[1:]:
            if group.times.total >= WIDER_RUNS:
                runs = group.times.total
        return Outlook(
            _measure_spread(ratios), _measure_spread(times), slope, max(1, round(runs))
        )

    def find_narrowest(self, traits: Traits) -> Group | None:
        """Return the narrowest group that has runs."""
        return next(reversed(self._find_groups(traits)), None)

    def _find_groups(self, traits: Traits) -> list[Group]:
        """Return the groups that have runs, from the widest to the narrowest."""
        found = (self.groups.get(key) for key in traits.list_keys())
        return [group for group in found if group is not None]

    def _limit_groups(self) -> None:
        """Forget old uses, and the least used groups when there are many.

        A group is used at least as often as those within it, so it stays as
        long as they do.
        """
        self.runs += 1
        if self.runs % FORGET_USES_RUNS == 0:
            for group in self.groups.values():
                group.uses /= 2
        if len(self.groups) > self.max_groups:
            self.groups = dict(self.list_used()[: self.max_groups * 3 // 4])
            for name, queue in self.queues.items():
                queue.trust.workspaces = {
                    workspace: deviations
                    for workspace, deviations in queue.trust.workspaces.items()
                    if ("near", name, workspace) in self.groups
                }

    def list_used(self) -> list[tuple[GroupKey, Group]]:
        """Return the groups by use, the most used first, wider ones before others."""
        return sorted(
            self.groups.items(), key=lambda item: (-item[1].uses, len(item[0]))
        )


def _combine(
    histograms: list[FadingHistogram], widest: Mapping[int, float]
) -> Mapping[int, float]:
    """Return the distribution of the narrowest group, the last one."""
    sufficient = [
        position
        for position, histogram in enumerate(histograms)
        if histogram.total >= SUFFICIENT_RUNS
    ]
    if sufficient:
        histograms = histograms[sufficient[-1] :]
        widest = {}
    for histogram in histograms:
        widest = _narrow(widest, histogram)
    return widest


def _narrow(
    wider: Mapping[int, float], histogram: FadingHistogram
) -> Mapping[int, float]:
    weight = WIDER_RUNS * WIDER_RUNS / (histogram.total + WIDER_RUNS)
    return histogram.blend(wider, weight)


def _add_cut(
    histograms: list[FadingHistogram], widest: Mapping[int, float], bin_number: int
) -> None:
    """Add a run that was cut short, from the widest group to the narrowest.

    It is spread over what is expected of runs that take longer (the weight of
    a censored observation is redistributed to the right).
    """
    expected = widest
    for histogram in histograms:
        expected = _narrow(expected, histogram)
        longer = {
            number: part for number, part in expected.items() if number > bin_number
        }
        rest = sum(longer.values())
        if expected and 1.0 - rest < MIN_CUT_PART:
            continue
        beyond = min(MAX_BIN, bin_number + BEYOND_BINS)
        longer[beyond] = longer.get(beyond, 0.0) + BEYOND_PART
        for number, part in longer.items():
            histogram.add(number, part / (rest + BEYOND_PART))


def _measure_spread(distribution: Mapping[int, float]) -> Spread:
    median, p90, p99 = read_quantiles(distribution, PARTS)
    return Spread(median, p90, p99, read_mean(distribution))
