"""What the end of a run tells about the time that its subtask takes.

The time counts from the executor's answer to the start order: what an order
waits on a slow link is no work. Many ends do not show the whole time::

    done                                       took so long
    done, resumed, or since an unknown start   takes at least so long
    stopped, failed, gang lost a member        would have taken longer
    lapsed, lost, alone                        nothing: its end is not known
    slowed or stalled, however it ended        nothing: its speed is not known
"""

from hemlockstand.fleet.model import EndKind
from hemlockstand.fleet.policy.observations import RunTime
from hemlockstand.fleet.work import Run, Step

# Ends of runs that were at work until then.
CUT_SHORT = (EndKind.STOPPED, EndKind.FAILED, EndKind.BROKEN)


def measure_run(run: Run, step: Step, kind: EndKind, now: float) -> RunTime | None:
    """Return what a run that has ended tells, if it tells anything."""
    if run.slowed or step.lasting:
        return None
    if run.start_unknown and step.fills:
        # A previous scheduler may have slowed it down.
        return None
    # The end of a short run may be listed before its start is answered.
    began_at = run.ordered_at if run.answered_at is None else run.answered_at
    if kind is EndKind.DONE:
        return RunTime(now - began_at, not (run.resumed or run.start_unknown))
    if kind not in CUT_SHORT or run.answered_at is None:
        return None
    # A stop takes time in which the subtask may do no work.
    ended_at = now if run.stopped_at is None else run.stopped_at
    return RunTime(max(0.0, ended_at - began_at), False)
