"""What the model of expected durations takes and returns.

Load pattern: runs of which many are stopped, lost or resumed at a peak, and
tell only how long their subtask takes at least.
"""

from attrs import field, frozen


@frozen
class RunTime:
    """How long a run took, or that its subtask takes at least so long."""

    seconds: float
    exact: bool


@frozen
class EndedRun:
    """A run of a job that has ended; an estimate of 0 means that there is none."""

    time: RunTime
    estimate_seconds: float
    job: str


@frozen
class ExpectedDuration:
    """What a subtask is expected to take, and on how many runs that rests.

    Without any run, all times are what its submitter estimates. The mean is
    above the median where some runs take much longer than most.
    """

    median_seconds: float
    p90_seconds: float
    p99_seconds: float
    runs: int
    mean_seconds: float = field()

    @mean_seconds.default
    def _use_median(self) -> float:
        return self.median_seconds


GroupKey = tuple[str, ...]


@frozen
class Traits:
    """What distinguishes subtasks, besides their estimates.

    ``shape`` is the size and label of the step. ``far`` means runs on another
    rack than that of the data.
    """

    queue: str
    workspace: str = ""
    image: str = ""
    shape: str = ""
    far: bool = False

    def list_keys(self) -> list[GroupKey]:
        """Return the keys of the groups, from the widest to the narrowest.

        A workspace comes first, as its estimates have an error of their own.
        """
        key = ("far" if self.far else "near", self.queue)
        keys: list[GroupKey] = [key]
        for part in (self.workspace, self.image, self.shape):
            key = (*key, part)
            keys.append(key)
        return keys
