"""The checks of a run with faults find each violated guarantee."""

import attrs
import pytest
import trio
from attrs import define

from bench.faults import (
    Evidence,
    evaluate_run,
    find_false_refusals,
    find_unanswered,
    measure_amplification,
    measure_overrun,
)
from emulator.arrivals import Arrival
from emulator.client import Answer, AnswerLost
from emulator.figures import Try
from emulator.load import EXTRA_WAIT_SECONDS, LoadPlan, LoadRun, QueuePlan

INF = float("inf")


def make_request(name, *verdicts, target="a:1", start=0.0, end=1.0, late=""):
    tries = [
        attrs.asdict(Try(target, start, end, verdict, late)) for verdict in verdicts
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
    lost = [entry for entry, *_ in find_unanswered(requests, disturbed)]
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
        make_request("late", "timeout", late="answered"),
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
        "late_requests",
        "retry_amplification",
    }


@define
class StubClient:
    """A client whose answer takes some seconds, or is lost after them."""

    seconds: float
    lost: bool = False
    host: str = "a"
    port: int = 1
    requests_per_connection: int = 1

    async def send(self, method, path, headers, body=b"") -> Answer:
        """Return an answer."""
        await trio.sleep(self.seconds)
        if self.lost:
            raise AnswerLost("the connection ended")
        request = headers["X-Request-Id"]
        return Answer(200, {"x-verdict": "answered", "x-request-id": request}, b"")


@pytest.mark.parametrize(
    ("seconds", "lost", "verdict", "late", "figures"),
    [
        (1.0, False, "answered", "", set()),
        (5.0, False, "timeout", "answered", {"late_requests"}),
        (5.0, True, "timeout", "lost", {"lost_requests"}),
        (1.0, True, "lost", "", {"lost_requests"}),
        (99.0, False, "timeout", "", {"lost_requests"}),
    ],
)
async def test_late_answer_is_told_from_none(
    autojump_clock, seconds, lost, verdict, late, figures
):
    """Guards against late answers that count as lost requests.

    On a machine at its limit thousands of requests were answered after the
    callers had given up, and the figure showed no difference to a daemon that
    drops them.
    """
    plan = LoadPlan(["a:1"], [QueuePlan("q", "hinge", 1.0)], 1.0, late_seconds=30.0)
    run = LoadRun(plan)
    run._clients = [StubClient(seconds, lost)]
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        await run._send(0, Arrival(0.0, 0, 0), nursery)
        limit = plan.queues[0].deadline_ms / 1000 + EXTRA_WAIT_SECONDS
        assert trio.current_time() - began == pytest.approx(min(seconds, limit))
    (outcome,) = run.outcomes
    assert [(each.verdict, each.late) for each in outcome.tries] == [(verdict, late)]
    runs = [make_run(outcome.id, queue="q")]
    requests = [attrs.asdict(outcome)]
    evidence = Evidence(requests, runs, frozenset(), {"hinge": 1}, {})
    failed = {figure.name for figure in evaluate_run(evidence) if not figure.holds()}
    assert failed == figures
