"""Which runs count as slow, and what bounds their copies."""

import pytest

from hemlockstand.fleet.copies import predict_remaining
from hemlockstand.fleet.copy_index import KEPT_RUNS, CopyIndex
from hemlockstand.fleet.crash_record import list_orders
from hemlockstand.fleet.durations import ExpectedDuration
from hemlockstand.fleet.model import JobSpec, Resources, Step
from hemlockstand.fleet.policy.copies import (
    MAX_COPIES,
    MIN_RACES,
    MIN_SLOW_SECONDS,
    PROBE_SECONDS,
    CheckLater,
    Comparison,
    CopyUse,
    NoCopy,
    RunView,
    Slow,
    SlowBound,
    WaitingWork,
    find_slow_bound,
    is_wanted,
    judge_run,
    keeps_tolerance,
)
from hemlockstand.fleet.work import Job, Run, RunState, StepRun, Subtask

UNKNOWN = ExpectedDuration(5.0, 5.0, 5.0, 0)
KNOWN = ExpectedDuration(1.0, 3.0, 7.0, 40)
BOUND = SlowBound(2.0, 1.0, 3)
SMALL = Resources(1000, 512)


def make_view(**values):
    """Return a run that is slow, with some values changed."""
    usual = {
        "age_seconds": 2.5,
        "remaining_seconds": None,
        "failures_left": 2,
        "crashes": 0,
        "copies": 0,
        "seconds_left": 60.0,
    }
    return RunView(**{**usual, **values})


def make_subtask(count=4, estimate_ms=1000):
    """Return a subtask of a speculative step."""
    step = Step(count, SMALL, estimate_ms, speculative=True)
    job = Job(JobSpec("1", "queue", "pool", "team", "", (step,)), 1)
    step_run = StepRun(job, 0, 0, step)
    return Subtask(step_run, 0, "1.0.0.0")


@pytest.mark.parametrize(
    ("step_seconds", "expected", "bound"),
    [
        ((), UNKNOWN, None),
        ((1.0, 1.0), UNKNOWN, None),
        ((1.0, 1.0, 7.0), UNKNOWN, SlowBound(2.0, 1.0, 3)),
        # The step's own subtasks tell the median, its queue the spread.
        ((2.0, 2.0, 2.0), KNOWN, SlowBound(4.0, 2.0, 3)),
        ((1.0, 1.0, 1.0), KNOWN, SlowBound(3.0, 1.0, 3)),
        ((), KNOWN, SlowBound(3.0, 1.0, 40)),
        ((0.01, 0.01, 0.01), UNKNOWN, SlowBound(0.3, 0.01, 3)),
    ],
)
def test_bound_rests_on_finished_runs(step_seconds, expected, bound):
    """Guards against copies by an estimate alone, and of usual runs."""
    assert find_slow_bound(Comparison(step_seconds, expected), 2.0) == bound


@pytest.mark.parametrize(
    ("values", "bound", "verdict"),
    [
        ({}, BOUND, Slow(BOUND)),
        ({}, None, CheckLater(0.625)),
        ({"age_seconds": 0.5}, BOUND, CheckLater(1.5)),
        ({"remaining_seconds": 0.9}, BOUND, CheckLater(0.625)),
        ({"remaining_seconds": 4.0}, BOUND, Slow(BOUND)),
        ({"crashes": 1}, BOUND, CheckLater(0.625)),
        ({"failures_left": 1}, BOUND, NoCopy()),
        ({"copies": MAX_COPIES}, BOUND, NoCopy()),
        ({"seconds_left": 0.9}, BOUND, NoCopy()),
    ],
)
def test_slow_run_gets_a_copy_that_can_help(values, bound, verdict):
    """Guards against copies that cannot help, or that may do harm."""
    assert judge_run(make_view(**values), bound) == verdict


@pytest.mark.parametrize(
    ("copies", "maximum", "kept"),
    [
        (Resources(1000, 512), Resources(10_000), True),
        (Resources(1001, 512), Resources(10_000), False),
        (Resources(1000, 512), Resources(0, 5119), False),
        (Resources(1000, 512, 1), Resources(0, 0, 9), False),
        (Resources(1000, 512, 1), Resources(10_000, 5120, 10), True),
        (Resources(1000, 512), Resources(), True),
    ],
)
def test_copies_keep_within_the_tolerance_of_a_maximum(copies, maximum, kept):
    """Guards against copies that exceed a maximum beside a new scheduler."""
    assert keeps_tolerance(copies, maximum) is kept


def test_run_has_one_entry_in_the_index():
    """Guards against two copies at once of a run that was watched twice."""
    index, subtask = CopyIndex(), make_subtask()
    subtask.add_run(Run(1, "x-1", 1, 0.0))
    index.watch(subtask, 5.0)
    copy = Run(2, "x-2", 1, 0.0)
    subtask.add_run(copy)
    index.add_run(subtask)
    subtask.remove_run(copy)
    index.remove_run(subtask)
    index.watch(subtask, 5.0)
    assert list(index.pop_due(6.0, 10)) == [subtask]


def test_copy_that_starts_meanwhile_is_seen_by_the_index():
    """Guards against entries that are all read before the first copy starts."""
    index, first, second = CopyIndex(), make_subtask(), make_subtask()
    for subtask in (first, second):
        subtask.add_run(Run(1, "x-1", 1, 0.0))
        index.watch(subtask, 5.0)
    due = index.pop_due(6.0, 10)
    assert next(due) is first
    second.add_run(Run(2, "x-2", 1, 0.0))
    assert not list(due)


def test_stale_entries_do_not_use_up_a_check():
    """Guards against slow runs that are looked at late behind ended ones."""
    index, ended, slow = CopyIndex(), make_subtask(), make_subtask()
    ended.add_run(Run(1, "x-1", 1, 0.0))
    slow.add_run(Run(1, "x-1", 1, 0.0))
    index.watch(ended, 1.0)
    index.watch(slow, 2.0)
    ended.done = True
    assert list(index.pop_due(3.0, 1)) == [slow]


def test_new_run_is_not_looked_at():
    """Guards against checks that are used up by runs which cannot be slow yet."""
    index, subtask = CopyIndex(), make_subtask()
    subtask.add_run(Run(1, "x-1", 1, 4.0))
    index.add_run(subtask)
    assert not index.has_due(4.0)
    assert index.has_due(4.0 + MIN_SLOW_SECONDS)


def test_third_run_is_an_error():
    """Guards against a copy that replaces another one, which stays counted."""
    subtask = make_subtask()
    for number in (1, 2):
        subtask.add_run(Run(number, f"x-{number}", 1, 0.0))
    with pytest.raises(AssertionError):
        subtask.add_run(Run(3, "x-3", 1, 0.0))


def test_budget_permits_the_first_copy_of_a_small_workspace():
    """Guards against small workspaces without copies, and others with many."""
    assert CopyUse(0, 1000).is_below(0.1)
    assert not CopyUse(1000, 5000).is_below(0.1)
    assert CopyUse(1000, 20_000).is_below(0.1)
    assert not CopyUse(0, 20_000).is_below(0)


@pytest.mark.parametrize(
    ("work", "wanted"),
    [
        (WaitingWork("other", "", SMALL), True),
        (WaitingWork("other", "a", SMALL), True),
        (WaitingWork("other", "b", SMALL), False),
        (WaitingWork("other", "", Resources(64_000)), False),
    ],
)
def test_room_that_others_wait_for_is_wanted(work, wanted):
    """Guards against copies in the way of waiting work, or behind other work."""
    capacity = Resources(16_000, 32_768)
    assert is_wanted(capacity, ("a", "r1"), [work]) is wanted


def test_progress_predicts_what_is_left():
    """Guards against a copy of a run that is nearly done.

    Progress is as old as the executor's last answer with it.
    """
    run = Run(1, "i-1", 1, 0.0, RunState.RUNNING, answered_at=10.0)
    assert predict_remaining(run, 12.0) is None
    run.percent, run.percent_at = 50, 12.0
    assert predict_remaining(run, 12.5) == 1.5
    run.start_unknown = True
    assert predict_remaining(run, 12.5) is None


def test_crash_counts_by_the_run_on_its_executor():
    """Guards against a crash that is judged by the age of the other run."""
    subtask = make_subtask()
    for number, executor, ordered_at in ((1, "i-1", 0.0), (2, "i-2", 5.0)):
        run = Run(number, executor, 1, ordered_at, answered_at=ordered_at)
        subtask.add_run(run)
    assert list_orders("i-1", [subtask]) == [(subtask, 0.0)]
    assert list_orders("i-2", [subtask]) == [(subtask, 5.0)]
    assert list_orders("i-3", [subtask]) == []


def test_index_looks_at_a_run_until_it_has_a_copy():
    """Guards against runs that are looked at in vain, or never again."""
    index = CopyIndex()
    subtask = make_subtask()
    first, second = Run(1, "i-1", 1, 0.0), Run(2, "i-2", 1, 0.0)
    subtask.add_run(first)
    index.add_run(subtask)
    assert list(index.pop_due(MIN_SLOW_SECONDS, 10)) == [subtask]
    index.watch(subtask, 5.0)
    assert not index.has_due(4.9)
    subtask.add_run(second)
    index.add_run(subtask)
    assert not list(index.pop_due(5.0, 10))
    subtask.remove_run(first)
    index.remove_run(subtask)
    assert subtask.run is second
    assert not index.copied
    assert list(index.pop_due(5.0, 10)) == [subtask]


def test_runs_that_may_be_unseen_are_measured_by_workspace():
    """Guards against copies, or runs left by them, that nothing counts."""
    index = CopyIndex()
    subtask = make_subtask(count=4)
    first, second = Run(1, "x-1", 1, 0.0), Run(2, "x-2", 1, 0.0)
    subtask.add_run(first)
    subtask.add_run(second)
    index.add_run(subtask)
    assert index.measure_unseen() == {"team": SMALL}
    subtask.remove_run(first)
    index.remove_run(subtask)
    assert index.measure_unseen() == {}
    index.add_unneeded(subtask)
    assert index.measure_unseen() == {"team": SMALL}
    subtask.remove_run(second)
    index.remove_run(subtask)
    assert index.measure_unseen() == {}


def test_copies_that_never_win_become_rare():
    """Guards against copies of subtasks that are slow wherever they run.

    A copy at intervals tells when that changes.
    """
    index = CopyIndex()
    for _ in range(MIN_RACES):
        assert index.is_worthwhile("queue", 0.0)
        index.mark_started("queue", 0.0)
        index.add_race("queue", won=False)
    assert not index.is_worthwhile("queue", PROBE_SECONDS - 0.1)
    assert index.is_worthwhile("queue", PROBE_SECONDS)
    assert index.is_worthwhile("other", 0.0)
    for _ in range(MIN_RACES // 2):
        index.add_race("queue", won=True)
    assert index.is_worthwhile("queue", 0.0)


def test_finished_runs_of_a_queue_scale_with_the_estimate():
    """Guards against memory that grows with the queue's runs."""
    index = CopyIndex()
    subtask = make_subtask(estimate_ms=2000)
    assert index.expect(subtask).runs == 0
    for _ in range(2 * KEPT_RUNS):
        index.add_finished(subtask, 1.0)
    assert len(subtask.step_run.finished_seconds) == KEPT_RUNS
    other = make_subtask(estimate_ms=500)
    assert index.expect(other) == ExpectedDuration(0.25, 0.25, 0.25, KEPT_RUNS)
