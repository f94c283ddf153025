"""Times of runs, as the model of expected durations takes them."""

from attrs import frozen


@frozen
class RunTime:
    """How long a run took, or that its subtask takes at least so long."""

    seconds: float
    exact: bool
