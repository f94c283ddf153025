"""The invariant checks of the emulator find each kind of violation."""

import time
from datetime import date

from emulator.checks import (
    find_budget_violations,
    find_double_runs,
    find_double_starts,
    find_false_answers,
    find_false_refusals,
    find_interrupted,
    find_late_starts,
    find_unanswered,
    list_starts,
    measure_overlap,
)
from emulator.fleet import SHEETS
from emulator.layout import Layout
from emulator.network import reserve_network
from emulator.processes import ChildGroup
from emulator.shapes import BRIGHTFOLD, SAKDA, SMALL
from hemlockstand.settings import load_settings
from hemlockstand.sheet.checks import check_sheet

DAY = date(2026, 12, 4)


def make_run(request, start, end, queue="orders", outcome="ok"):
    return {
        "request": request,
        "team": "hinge",
        "queue": queue,
        "executor": "hinge-1",
        "start": start,
        "end": end,
        "outcome": outcome,
    }


def make_request(name, verdict, mismatched=False):
    return {"id": name, "verdict": verdict, "mismatched": mismatched}


def test_double_runs_and_false_verdicts_are_found():
    """Guards against checks that pass although orders ran twice."""
    runs = [make_run("a", 0, 1), make_run("a", 2, 3), make_run("b", 0, 1, "quotes")]
    assert find_double_runs([*runs, runs[2]], repeatable={"quotes"}) == ["a"]
    requests = [
        make_request("a", "not-run"),
        make_request("b", "answered", mismatched=True),
        make_request("c", "answered"),
        make_request("d", "lost"),
    ]
    assert find_false_refusals(requests, runs) == ["a"]
    assert find_false_answers(requests, runs) == ["b", "c"]
    assert [entry["id"] for entry in find_unanswered(requests)] == ["d"]


def test_overlap_counts_running_requests():
    """Guards against a limit check that misses unfinished runs."""
    runs = [make_run("a", 0, 2), make_run("b", 1, None), make_run("c", 2, 3)]
    assert measure_overlap(runs) == {"hinge": 2}


def test_late_and_interrupted_runs_are_found():
    """Guards against runs of other executors that count against a drain."""
    runs = [make_run("a", 1, 2), make_run("b", 3, 4, outcome="interrupted")]
    assert [run["request"] for run in find_late_starts(runs, "hinge-1", 2)] == ["b"]
    assert find_late_starts(runs, "hinge-2", 0) == []
    assert find_interrupted(runs) == ["b"]


def test_double_starts_are_found():
    """Guards against a task on two workers that goes unnoticed."""
    start = {"event": "task_start", "task": "t", "worker": "w1", "fence": 1}
    other = start | {"worker": "w2", "fence": 2}
    end = start | {"event": "task_end"}
    assert find_double_starts([start, other]) == ["t"]
    assert find_double_starts([start, end, other]) == []
    assert list(list_starts([start, end, other])) == [("t", "w1"), ("t", "w2")]


def test_budget_violations_are_found():
    """Guards against a wave that takes out too many members unnoticed."""

    def make_event(event, instance, healthy=True):
        return {
            "event": event,
            "instance": instance,
            "pool": "hinge",
            "healthy": healthy,
        }

    events = [
        make_event("drain", "h1"),
        make_event("reboot", "h1", healthy=False),
        make_event("rebooted", "h1"),
        make_event("drain", "h2"),
    ]
    assert find_budget_violations(events, {"hinge": 1}) == []
    unhealthy = [make_event("rebooted", "h1", healthy=False)]
    broken = [*events[:2], *unhealthy, events[3]]
    assert find_budget_violations(broken, {"hinge": 1}) == [events[3]]


def test_sheets_fit_their_shapes():
    """Guards against sample sheets whose pools differ from the fleet's."""
    for shape in (SAKDA, BRIGHTFOLD, SMALL):
        path = SHEETS / shape.sheet
        sheet = check_sheet(path.read_bytes(), path.name, DAY)
        pools = dict.fromkeys(shape.desks, shape.executors)
        pools |= {f"{desk}-workers": shape.workers for desk in shape.desks}
        assert {pool.name: pool.size for pool in sheet.pools.values()} == pools
        for pool in sheet.pools.values():
            assert pool.data_centres == shape.data_centres


def test_layout_writes_valid_settings(tmp_path):
    """Guards against a fleet whose daemons refuse their settings."""
    network = reserve_network()
    other = reserve_network()
    try:
        layout = Layout(SAKDA, network, tmp_path, {"keys": {"freshness_seconds": 3}})
        settings = [load_settings(each.settings) for each in layout.daemons.values()]
    finally:
        network.close()
        other.close()
    assert network.number != other.number
    assert {each.daemon.data_centre for each in settings} == set(SAKDA.data_centres)
    assert len({each.listen.host for each in settings}) == SAKDA.daemons
    assert settings[0].keys.freshness_seconds == 3
    assert len(list(layout.list_instances())) == 9 + 40 + 40


def test_links_stand_between_data_centres(tmp_path):
    """Guards against traffic between data centres that bypasses the links."""
    network = reserve_network()
    network.close()
    layout = Layout(SMALL, network, tmp_path, {}, linked=True)
    first = next(iter(layout.list_instances()))
    other = layout.links[1]
    assert (first["id"], other.daemon, other.source) == ("entry-1", "entry-1", "dc2")
    assert first["addresses"] == {"dc2": f"{layout.link_host}:{other.port}"}
    assert load_settings(layout.daemons["entry-1"].settings).peers.seeds == ()


def test_children_end_with_the_group(tmp_path):
    """Guards against processes that outlive their fleet."""
    group = ChildGroup(tmp_path)
    child = group.start("sleeper", "emulator.link", ["--control_port=0"])
    paused = group.start("paused", "emulator.link", ["--control_port=0"])
    time.sleep(0.2)
    paused.pause()
    group.close()
    assert not child.alive
    assert not paused.alive
