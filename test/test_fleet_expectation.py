"""Expected durations of subtasks, learned from randomly drawn runs."""

import json
import re
import sys
from random import Random

import pytest

from hemlockstand.fleet.capacity import Demand, add_arrival
from hemlockstand.fleet.durations import MAX_LABELS, Durations, estimate_chain_seconds
from hemlockstand.fleet.metrics import render_metrics
from hemlockstand.fleet.model import JobSpec
from hemlockstand.fleet.policy.expectation import DurationModel
from hemlockstand.fleet.policy.observations import EndedRun, RunTime, Traits
from hemlockstand.fleet.work import Job
from test.drawn_runs import (
    Model,
    PresentLine,
    draw_runs,
    measure_error,
    tell_anything,
    tell_by_workspace,
    tell_fifth,
    tell_right,
)
from test.fleet_world import make_step

DONE, CUT = True, False
# Median factor of the noise of drawn runs, which no prediction can foresee.
NOISE = 1.124


def make_spec(**values) -> JobSpec:
    """Return a job with a step."""
    return JobSpec("a" * 16, "queue", "pool", "team", "", (make_step(**values),))


def add_run(model: DurationModel, traits: Traits, time: RunTime, job: int) -> None:
    """Add a run without an estimate to a model."""
    expected = model.measure_outlook(traits).expect(0.0)
    model.add(traits, EndedRun(time, 0.0, f"{job}"), expected.median_seconds)


@pytest.mark.parametrize(
    ("values", "error"),
    [
        ({"estimate": tell_right}, NOISE + 0.02),
        ({"estimate": tell_fifth}, NOISE + 0.02),
        ({"estimate": tell_by_workspace}, NOISE + 0.02),
        ({"estimate": tell_anything}, 1.75),
        ({"estimate": tell_right, "tail_part": 0.03}, NOISE + 0.03),
        ({"estimate": tell_right, "change_factor": 6.0}, NOISE + 0.03),
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_error_is_below_that_of_the_line(values, error, seed):
    """Guards against predictions that are worse than a line through logarithms.

    The work itself differs by an octave within an image, so that nothing can
    foresee it where estimates mean nothing.
    """
    runs = list(draw_runs(1200, seed=seed, **values))
    found = measure_error(Model(), runs)
    assert found <= measure_error(PresentLine(), runs) + 0.005
    assert found <= error


def test_estimates_count_without_runs():
    """Guards against decisions that change before anything was learned."""
    durations = Durations()
    durations.record(make_spec(image="known"), 0, RunTime(9.0, DONE))
    for seconds in (0.0, 0.004, 0.3, 7.0):
        spec = JobSpec("b" * 16, "other", "pool", "team", "", (make_step(1, seconds),))
        expected = durations.expect(spec, 0)
        told = max(int(seconds * 1000) / 1000, 0.01)
        assert (expected.median_seconds, expected.p99_seconds) == (told, told)
        assert (expected.mean_seconds, expected.runs) == (told, 0)


def test_tail_shows_in_the_mean_and_the_last_percentile_alone():
    """Guards against slow runs that nobody expects, or that all are taken for."""
    model = Model()
    for run in draw_runs(2000, tell_right, tail_part=0.03):
        model.learn(run)
    expected = model.durations.expect(make_spec(seconds=10.0, image="report"), 0)
    assert 9.0 < expected.median_seconds < 11.0
    assert 11.0 < expected.p90_seconds < 16.0
    assert 40.0 < expected.p99_seconds < 110.0
    assert 10.5 < expected.mean_seconds < 14.0


def test_runs_cut_short_are_not_taken_for_short_work():
    """Guards against a model that learns only from the runs that were quick.

    Runs of 1 to 16 s are stopped after 8 s. Half of them take over 4 s.
    """
    random = Random(1)
    taught = {kept: DurationModel() for kept in (False, True)}
    traits = Traits("queue")
    for number in range(400):
        seconds = 2 ** random.uniform(0, 4)
        cut = RunTime(8.0, CUT)
        for kept, model in taught.items():
            if seconds < 8.0:
                add_run(model, traits, RunTime(seconds, DONE), number)
            elif kept:
                add_run(model, traits, cut, number)
    medians = {
        kept: model.measure_outlook(traits).expect(0.0).median_seconds
        for kept, model in taught.items()
    }
    assert medians[False] < 3.2
    assert 3.5 < medians[True] < 4.6


def test_run_cut_at_its_begin_tells_nothing():
    """Guards against estimates that move with each cancelled job."""
    durations = Durations()
    spec = make_spec(seconds=5.0)
    for _ in range(40):
        durations.record(spec, 0, RunTime(5.0, DONE))
    before = durations.expect(spec, 0)
    for _ in range(200):
        durations.record(spec, 0, RunTime(0.1, CUT))
    after = durations.expect(spec, 0)
    assert after.median_seconds == pytest.approx(before.median_seconds)
    assert after.runs <= 40


def test_runs_far_from_their_data_count_apart():
    """Guards against near runs that are expected to take as long as far ones."""
    durations = Durations()
    spec = make_spec(seconds=1.0, data_rack="r1")
    for _ in range(30):
        durations.record(spec, 0, RunTime(1.0, DONE))
        durations.record(spec, 0, RunTime(3.0, DONE), far=True)
    assert durations.expect(spec, 0).median_seconds == pytest.approx(1.0, rel=0.05)
    far = durations.expect(spec, 0, far=True)
    assert far.median_seconds == pytest.approx(3.0, rel=0.05)


def test_groups_are_limited():
    """Guards against memory that grows with each new image."""
    model = DurationModel(max_groups=100)
    for number in range(5000):
        traits = Traits("queue", "team", f"image-{number}")
        add_run(model, traits, RunTime(1.0, DONE), number)
        usual = Traits("queue", "team", "usual")
        add_run(model, usual, RunTime(2.0, DONE), number)
        assert len(model.groups) <= 100
    expected = model.measure_outlook(usual).expect(0.0)
    assert expected.median_seconds == pytest.approx(2.0, rel=0.05)


def count_calls(function) -> int:
    """Return how many functions a call of one calls, itself included."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls


def test_expected_durations_are_cheap_to_read():
    """Guards against a scheduler that is busy with predictions at a peak.

    Pools are sized five times a second from each step of all jobs, here after
    each run. A prediction of the line took 7 calls.
    """
    runs = list(draw_runs(1000, tell_anything))
    model = Model()
    for run in runs:
        model.learn(run)

    def size_pools() -> None:
        for run in runs:
            model.durations.expect(run.spec, 0)

    size_pools()
    calls = 0
    for run in runs[:64]:
        model.learn(run)
        calls += count_calls(size_pools)
    assert calls <= 4 * 64 * len(runs)


@pytest.mark.parametrize("estimate", [tell_right, tell_fifth, tell_anything])
def test_pools_are_sized_by_the_sum_of_the_work(estimate):
    """Guards against pools without room for the slow ones among the subtasks.

    The line found 0.38 to 0.90 of the work.
    """
    model, demand, work = Model(), Demand(), 0.0
    for number, run in enumerate(draw_runs(4000, estimate, tail_part=0.03)):
        if number >= 1000:
            add_arrival(demand, Job(run.spec, 1), model.durations, 0.5, 1.0)
            work += run.seconds
        model.learn(run)
    cores = demand.arriving.cpu_millis / 1000
    assert cores == pytest.approx(work, rel=0.05)


def test_chain_takes_the_median_of_each_step():
    """Guards against jobs that count as late, or get more time, by a few slow runs."""
    model = Model()
    for run in draw_runs(2000, tell_fifth, tail_part=0.03):
        model.learn(run)
    steps = (
        make_step(seconds=1.0, image="report"),
        make_step(seconds=2.0, image="report", after=(0,)),
        make_step(seconds=2.0, image="report"),
    )
    spec = JobSpec("b" * 16, "queue", "pool", "hinge", "", steps)
    assert 13.0 < estimate_chain_seconds(spec, model.durations) < 17.0


def test_operators_see_each_queue():
    """Guards against a view that no interface can send, or that lacks a queue."""
    model = Model()
    for run in draw_runs(1000, tell_fifth):
        model.learn(run)
    model.durations.expect(make_spec(), 0)
    assert model.durations.expect(JobSpec("a", "new", "", "", "", (make_step(),)), 0)
    (view,) = json.loads(json.dumps(model.durations.view()))
    assert (view["queue"], view["trust"]) == ("queue", 1.0)
    assert 1.5 < view["median"] < 3.0 < view["p90"] < view["p99"]
    assert view["factor"] == pytest.approx(5.0, rel=0.1)
    assert view["runs"] > 100


def test_labels_of_metrics_are_limited():
    """Guards against as many time series as there are names of queues."""
    durations = Durations()
    for number in range(80):
        spec = JobSpec("a", f"many-{number}", "pool", "team", "", (make_step(),))
        durations.record(spec, 0, RunTime(1.0, DONE))
    text = render_metrics().decode()
    found = set(re.findall(r'duration_ratio_count{queue="(many-\d+|other)"}', text))
    assert len(found) == MAX_LABELS + 1
    assert "other" in found
