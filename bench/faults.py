"""Promises that hold while everything fails: a fleet of processes with faults.

Nine daemons in four data centres serve orders, quotes and open requests while
daemons are killed and paused, the platform fails and loses replies, a data
centre is cut off and executors answer late, wrongly or incompletely. Callers
of orders repeat them through other daemons. The record of the executors and
what the callers were told are compared afterwards::

    python -m bench.faults [SEED]
"""

import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any

from attrs import define, field, frozen

from bench.figures import Figure
from bench.fleet_runs import (
    find_repeatable,
    list_callers,
    sleep_until,
    start_load,
    write_sheet,
)
from emulator.checks import find_double_runs, find_false_answers, measure_overlap
from emulator.fleet import Fleet
from emulator.load import LoadPlan, QueuePlan
from emulator.shapes import SAKDA

SEED = 1
SECONDS = 42.0
SERVICE_MS = 50.0
# The demand of this team is above its limit while executors are slow.
LIMITED_TEAM = "hinge"
LIMITS = {
    "hinge": 10,
    "clamp": 40,
    "small-wheel": 40,
    "frame": 40,
    "ledger": 40,
}
# Short enough that the slots of the paused daemon are taken over before it
# is resumed: lease + longest deadline + margin is 7 s.
LONGEST_DEADLINE = 3.0
OVERRIDES = {
    "limits": {"lease_seconds": 3, "renew_seconds": 1},
    "requests": {"max_deadline_seconds": LONGEST_DEADLINE},
}
KILLED = "entry-9"
PAUSED = "entry-6"
CUT = "cnx-1"
# Answers that reach a caller this long after the resumption may have been
# delayed by the pause.
RESUME_SECONDS = 1.0
MAX_TRACED = 5  # wrongly refused requests of which all tries are printed
NOT_SENT = ("not-run", "not_connected")
KNOWN = ("answered", "not-run", "may-have-run")


@define
class FaultRun:
    """A run with its faults and their times."""

    fleet: Fleet
    began: float = 0.0
    disturbed: dict[str, tuple[float, float]] = field(factory=dict)

    def make_late(self) -> None:
        """Let a part of the answers of some executors arrive late."""
        for name in ("hinge-1", "clamp-3", "ledger-2"):
            self._behave(name, mode="slow", factor=20, probability=0.3)

    def answer_wrongly(self) -> None:
        """Let executors answer with another id, incompletely or not at all."""
        for mode, names in (
            ("wrong_id", ("hinge-2", "clamp-1")),
            ("truncate", ("hinge-3", "clamp-2")),
            ("lose_answer", ("hinge-4", "ledger-3")),
            ("fail_fast", ("clamp-4", "hinge-5")),
            ("hang", ("clamp-5",)),
        ):
            for name in names:
                self._behave(name, mode=mode, probability=0.2)

    def fill_executor(self) -> None:
        """Let executors refuse all requests."""
        for name in ("clamp-6", "hinge-6"):
            self._behave(name, full=True)

    def recover_executors(self) -> None:
        """Let all executors behave again."""
        for name in self.fleet.executors:
            self._behave(name, mode="ok", full=False)

    def kill(self) -> None:
        """Kill a daemon with SIGKILL."""
        self.disturbed[KILLED] = (time.monotonic(), float("inf"))
        self.fleet.daemons[KILLED].running.kill()

    def replace(self) -> None:
        """Start the killed daemon again, as a new incarnation."""
        self.fleet.start_daemon(KILLED)

    def count_replacement(self) -> None:
        """Excuse nothing at the replaced daemon from now on."""
        self.fleet.wait_ready(KILLED)
        began, _ = self.disturbed[KILLED]
        self.disturbed[KILLED] = (began, time.monotonic())

    def pause(self) -> None:
        """Pause a daemon with SIGSTOP."""
        self.disturbed[PAUSED] = (time.monotonic(), float("inf"))
        self.fleet.daemons[PAUSED].running.pause()

    def resume(self) -> None:
        """Resume the paused daemon."""
        self.fleet.daemons[PAUSED].running.resume()
        began, _ = self.disturbed[PAUSED]
        self.disturbed[PAUSED] = (began, time.monotonic() + RESUME_SECONDS)

    def fail_platform(self) -> None:
        """Fail all calls of the platform."""
        self.fleet.set_faults(table={"mode": "down", "scope": "all"})

    def lose_replies(self) -> None:
        """Apply a part of the writes without an answer."""
        fault = {"mode": "lose_replies", "probability": 0.3, "seed": SEED}
        self.fleet.set_faults(table=fault | {"delay_seconds": 0.1})

    def recover_platform(self) -> None:
        """Let the platform work again."""
        self.fleet.set_faults(table={"mode": "up"})

    def cut(self) -> None:
        """Cut a data centre off from the platform and from the others."""
        self.fleet.cut(CUT)

    def heal(self) -> None:
        """Connect the data centre again."""
        self.fleet.heal(CUT)

    def _behave(self, executor: str, **values: Any) -> None:
        self.fleet.set_behaviour(executor, seed=SEED, **values)


Step = Callable[[FaultRun], None]

# Seconds after the start of the load, and what happens then. Some faults
# overlap: answers are late during the pause, and wrong during the outage.
SCHEDULE: tuple[tuple[float, Step], ...] = (
    (2.0, FaultRun.make_late),
    (4.0, FaultRun.kill),
    (6.0, FaultRun.pause),
    (9.0, FaultRun.answer_wrongly),
    (16.0, FaultRun.resume),
    (17.0, FaultRun.fail_platform),
    (19.0, FaultRun.replace),
    (21.0, FaultRun.recover_platform),
    (22.0, FaultRun.lose_replies),
    (24.0, FaultRun.fill_executor),
    (26.0, FaultRun.recover_platform),
    (26.5, FaultRun.count_replacement),
    (27.0, FaultRun.cut),
    (30.0, FaultRun.recover_executors),
    (34.0, FaultRun.heal),
    (36.0, FaultRun.make_late),
)


@frozen
class Evidence:
    """What the callers were told, what ran, and which daemons were disturbed."""

    requests: Sequence[Mapping[str, Any]]
    runs: Sequence[Mapping[str, Any]]
    repeatable: frozenset[str]
    limits: Mapping[str, int]
    disturbed: Mapping[str, tuple[float, float]]


def measure_figures() -> Iterator[Figure]:
    """Run the schedule once and yield what the record shows."""
    evidence = run_faults(SEED)
    yield from judge(evidence)


def run_faults(seed: int) -> Evidence:
    """Run the fleet with load and faults and return the evidence."""
    print(f"# faults: seed {seed}", flush=True)
    with Fleet(SAKDA, OVERRIDES, service_ms=SERVICE_MS, linked=True) as fleet:
        fleet.start()
        cells = {name: {"request_limit": str(most)} for name, most in LIMITS.items()}
        fleet.apply_sheet(write_sheet(fleet, cells, longest_deadline=LONGEST_DEADLINE))
        keys = {team: fleet.grant_key(f"bench-{team}", team) for team in LIMITS}
        run = FaultRun(fleet)
        loads = [
            start_load(fleet, name, plan)
            for name, plan in _make_plans(fleet, keys, seed).items()
        ]
        run.began = time.monotonic()
        for due, step in SCHEDULE:
            sleep_until(run.began + due)
            step(run)
        reports = [load.finish() for load in loads]
        for name, report in zip(("orders", "quotes", "issued"), reports, strict=True):
            total = report["total"]
            print(f"# faults: {name} {total['verdicts']} {total['codes']}")
        disturbed = {
            fleet.daemons[name].caller: times for name, times in run.disturbed.items()
        }
        return Evidence(
            [entry for report in reports for entry in report["requests"]],
            fleet.read_runs(),
            find_repeatable(fleet),
            LIMITS,
            disturbed,
        )


def _make_plans(fleet: Fleet, keys: Mapping[str, str], seed: int):
    targets = list_callers(fleet)

    def plan(queues: Iterable[tuple[str, float, int]], **values: Any) -> LoadPlan:
        wanted = [
            QueuePlan(queue, team, rate, keys[team], deadline_ms)
            for queue, rate, deadline_ms in queues
            for team in (queue.rpartition("-")[0],)
        ]
        return LoadPlan(
            targets, wanted, SECONDS, seed, requests_per_connection=20, **values
        )

    orders = (("hinge-orders", 90.0, 1500), ("clamp-orders", 40.0, 3000))
    quotes = (
        ("hinge-quotes", 80.0, 800),
        ("clamp-quotes", 60.0, 2000),
        ("clamp-stock", 40.0, 2000),
    )
    issued = (("ledger-postings", 30.0, 3000), ("hinge-orders", 10.0, 1500))
    return {
        "orders": plan(orders, failovers=2, id_prefix="orders"),
        "quotes": plan(quotes, id_prefix="quotes"),
        "issued": plan(issued, failovers=2, ids="issued"),
    }


def judge(evidence: Evidence) -> Iterator[Figure]:
    """Yield the figures of a run."""
    requests, runs = evidence.requests, evidence.runs
    double = find_double_runs(runs, evidence.repeatable)
    false_refusals = list(find_false_refusals(requests, runs))
    lost = list(find_lost(requests, evidence.disturbed))
    answers = find_false_answers(requests, runs)
    for name, found in (
        ("ran twice", double),
        ("'not run' but ran", false_refusals),
        ("lost", lost),
        ("answered falsely", answers),
    ):
        if found:
            print(f"# faults: {name}: {found[:10]}", flush=True)
    for name in false_refusals[:MAX_TRACED]:
        tried = [entry for entry in requests if entry["id"] == name]
        ran = [run for run in runs if run["request"] == name]
        print(f"# faults: {name}: {tried} ran as {ran}", flush=True)
    overrun = measure_overrun(runs, evidence.limits)
    print(f"# faults: most at once {measure_overlap(runs)}")
    yield Figure("limit_overrun", overrun, "requests", 0)
    yield Figure("double_runs", len(double), "requests", 0)
    yield Figure("false_not_run", len(false_refusals), "requests", 0)
    yield Figure("false_answers", len(answers), "requests", 0)
    yield Figure("lost_requests", len(lost), "requests", 0)
    yield Figure(
        "retry_amplification", measure_amplification(requests, runs), "ratio", 1.10
    )
    yield Figure("faults_requests", len(requests), "requests")
    yield Figure("faults_runs", len(runs), "runs")


def find_false_refusals(
    requests: Iterable[Mapping[str, Any]], runs: Iterable[Mapping[str, Any]]
) -> Iterator[str]:
    """Yield the requests that ran although every try was answered "not run"."""
    ran = {run["request"] for run in runs}
    for entry in requests:
        verdicts = [each["verdict"] for each in entry["tries"]]
        if all(verdict in NOT_SENT for verdict in verdicts) and entry["id"] in ran:
            yield entry["id"]


def find_lost(
    requests: Iterable[Mapping[str, Any]],
    disturbed: Mapping[str, tuple[float, float]],
) -> Iterator[tuple[str, str, str]]:
    """Yield the tries without a verdict at daemons that were left alone."""
    for entry in requests:
        for each in entry["tries"]:
            if each["verdict"] in KNOWN:
                continue
            begin, end = disturbed.get(each["target"], (float("inf"), 0.0))
            if each["start"] <= end and begin <= each["end"]:
                continue
            yield entry["id"], each["target"], each["verdict"]


def measure_overrun(
    runs: Iterable[Mapping[str, Any]], limits: Mapping[str, int]
) -> int:
    """Return by how much the worst team was above its limit.

    A run counts until its deadline: a daemon that has no answer then cannot
    know whether the upstream goes on.
    """
    bounded = (run | {"end": _find_end(run)} for run in runs)
    overlap = measure_overlap(bounded)
    return max(0, *(most - limits[team] for team, most in overlap.items()))


def _find_end(run: Mapping[str, Any]) -> float:
    end = run["end"]
    return run["deadline"] if end is None else min(end, run["deadline"])


def measure_amplification(
    requests: Iterable[Mapping[str, Any]], runs: Iterable[Mapping[str, Any]]
) -> float:
    """Return the runs per request that ran, of callers that do not repeat.

    A request that ran more often than its caller sent it was retried by a
    daemon. The worst queue counts.
    """
    own = {entry["id"] for entry in requests if len(entry["tries"]) == 1}
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for run in runs:
        if run["request"] in own:
            counts[run["queue"]][run["request"]] += 1
    ratios = (part.total() / len(part) for part in counts.values())
    return max(ratios, default=0.0)


if __name__ == "__main__":
    for figure in judge(run_faults(int(sys.argv[1]) if sys.argv[1:] else SEED)):
        print(figure.format_line())
