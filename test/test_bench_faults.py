"""The checks of a run with faults find each violated guarantee."""

from bench.faults import (
    Evidence,
    evaluate_run,
    find_false_refusals,
    find_lost,
    measure_amplification,
    measure_overrun,
)

INF = float("inf")


def make_request(name, *verdicts, target="a:1", start=0.0, end=1.0):
    tries = [
        {"target": target, "start": start, "end": end, "verdict": verdict}
        for verdict in verdicts
    ]
    last = verdicts[-1]
    return {"id": name, "verdict": last, "mismatched": False, "tries": tries}


def make_run(name, start=0.0, end=1.0, deadline=9.0, queue="quotes"):
    return {
        "request": name,
        "team": "hinge",
        "queue": queue,
        "start": start,
        "end": end,
        "deadline": deadline,
    }


def test_false_refusal_needs_refusals_of_all_tries():
    """Guards against a false refusal counted where a try was lost.

    A try without an answer may have run, so its request may run although the
    other tries were refused.
    """
    requests = [
        make_request("refused", "not-run", "not-run"),
        make_request("unsure", "lost", "not-run"),
        make_request("unsent", "not-run", "not_connected"),
    ]
    runs = [make_run("refused"), make_run("unsure")]
    assert list(find_false_refusals(requests, runs)) == ["refused"]


def test_tries_at_disturbed_daemons_are_excused_only_while_they_are_disturbed():
    """Guards against losses that go uncounted once a daemon has recovered."""
    disturbed = {"a:1": (10.0, 20.0)}
    requests = [
        make_request("before", "lost", start=1.0, end=2.0),
        make_request("during", "timeout", start=9.0, end=11.0),
        make_request("after", "timeout", start=21.0, end=22.0),
        make_request("elsewhere", "lost", target="b:1", start=12.0, end=13.0),
        make_request("answered", "answered"),
    ]
    lost = [entry for entry, _, _ in find_lost(requests, disturbed)]
    assert lost == ["before", "after", "elsewhere"]


def test_a_run_counts_against_the_limit_until_its_deadline():
    """Guards against a late run that hides or causes an overrun."""
    runs = [
        make_run("late", 0.0, 30.0, deadline=2.0),
        make_run("second", 1.0, 4.0),
        make_run("third", 3.0, 4.0),
        make_run("open", 3.5, None, deadline=5.0),
    ]
    assert measure_overrun(runs, {"hinge": 2}) == 1
    assert measure_overrun(runs, {"hinge": 3}) == 0


def test_amplification_leaves_out_what_callers_repeat():
    """Guards against callers' repeats that hide or inflate daemon retries."""
    requests = [
        make_request("once", "answered"),
        make_request("retried", "answered"),
        make_request("repeated", "lost", "answered"),
    ]
    names = ("once", "retried", "retried", "repeated", "repeated")
    assert measure_amplification(requests, [make_run(name) for name in names]) == 1.5


def test_a_violated_guarantee_fails_its_figure():
    """Guards against a figure that holds whatever the evidence shows."""
    requests = [
        make_request("refused", "not-run"),
        make_request("lost", "lost"),
        make_request("answered", "answered"),
    ]
    runs = [make_run(name, queue="orders") for name in ("refused", "refused")]
    evidence = Evidence(requests, runs, frozenset({"quotes"}), {"hinge": 1}, {})
    failed = {figure.name for figure in evaluate_run(evidence) if not figure.holds()}
    assert failed == {
        "limit_overrun",
        "double_runs",
        "false_not_run",
        "false_answers",
        "lost_requests",
        "retry_amplification",
    }
