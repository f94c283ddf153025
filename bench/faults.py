"""Guarantees under faults, checked on a fleet of processes.

Nine daemons in four data centres serve orders, quotes and open requests while
daemons are killed and paused, the platform fails and loses replies, a data
centre is cut off and executors answer late, wrongly or incompletely. Callers
of orders repeat them through other daemons. Afterwards the runs that the
executors recorded are compared with the answers that the callers got::

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
# While executors are slow, the demand of this team exceeds its limit.
LIMITED_TEAM = "hinge"
LIMITS = {
    "hinge": 10,
    "clamp": 40,
    "small-wheel": 40,
    "frame": 40,
    "ledger": 40,
}
# Short enough that other daemons take over the slots of the paused daemon
# before it is resumed: lease + longest deadline + margin is 7 s.
LONGEST_DEADLINE = 3.0
OVERRIDES = {
    "limits": {"lease_seconds": 3, "renew_seconds": 1},
    "requests": {"max_deadline_seconds": LONGEST_DEADLINE},
}
KILLED_DAEMON = "entry-9"
PAUSED_DAEMON = "entry-6"
CUT_DATA_CENTRE = "cnx-1"
# The pause may have delayed answers that reach a caller up to this long after
# the daemon is resumed.
RESUME_SECONDS = 1.0
# At most this many wrongly refused requests are printed with all their tries.
MAX_TRACED = 5
NOT_RUN_VERDICTS = ("not-run", "not_connected")
KNOWN_VERDICTS = ("answered", "not-run", "may-have-run")
LATE_VERDICTS = (*KNOWN_VERDICTS, "not_sent")
# For this long after it has given up, a caller watches for a late answer. It is
# far longer than a daemon's queue of requests on a machine at its limit.
LATE_SECONDS = 30.0


@define
class FaultRun:
    """Injects the faults of a run and records when daemons were disturbed."""

    fleet: Fleet
    began: float = 0.0
    disturbed: dict[str, tuple[float, float]] = field(factory=dict)

    def slow_executors(self) -> None:
        """Delay a fraction of the answers of some executors."""
        for name in ("hinge-1", "clamp-3", "ledger-2"):
            self._set_behaviour(name, mode="slow", factor=20, probability=0.3)

    def inject_wrong_answers(self) -> None:
        """Let some executors answer wrongly, incompletely or not at all."""
        for mode, names in (
            ("wrong_id", ("hinge-2", "clamp-1")),
            ("truncate", ("hinge-3", "clamp-2")),
            ("lose_answer", ("hinge-4", "ledger-3")),
            ("fail_fast", ("clamp-4", "hinge-5")),
            ("hang", ("clamp-5",)),
        ):
            for name in names:
                self._set_behaviour(name, mode=mode, probability=0.2)

    def fill_executors(self) -> None:
        """Let some executors refuse all requests as full."""
        for name in ("clamp-6", "hinge-6"):
            self._set_behaviour(name, full=True)

    def recover_executors(self) -> None:
        """Restore the normal behaviour of all executors."""
        for name in self.fleet.executors:
            self._set_behaviour(name, mode="ok", full=False)

    def kill(self) -> None:
        """Kill a daemon with SIGKILL."""
        self.disturbed[KILLED_DAEMON] = (time.monotonic(), float("inf"))
        self.fleet.daemons[KILLED_DAEMON].running.kill()

    def restart(self) -> None:
        """Start the killed daemon again, as a new incarnation."""
        self.fleet.start_daemon(KILLED_DAEMON)

    def wait_replacement(self) -> None:
        """End the disturbed period of the restarted daemon when it is ready."""
        self.fleet.wait_ready(KILLED_DAEMON)
        began, _ = self.disturbed[KILLED_DAEMON]
        self.disturbed[KILLED_DAEMON] = (began, time.monotonic())

    def pause(self) -> None:
        """Pause a daemon with SIGSTOP."""
        self.disturbed[PAUSED_DAEMON] = (time.monotonic(), float("inf"))
        self.fleet.daemons[PAUSED_DAEMON].running.pause()

    def resume(self) -> None:
        """Resume the paused daemon."""
        self.fleet.daemons[PAUSED_DAEMON].running.resume()
        began, _ = self.disturbed[PAUSED_DAEMON]
        self.disturbed[PAUSED_DAEMON] = (began, time.monotonic() + RESUME_SECONDS)

    def fail_platform(self) -> None:
        """Fail all calls of the platform."""
        self.fleet.set_faults(table={"mode": "down", "scope": "all"})

    def lose_replies(self) -> None:
        """Apply a fraction of the writes but lose the replies."""
        fault = {"mode": "lose_replies", "probability": 0.3, "seed": SEED}
        self.fleet.set_faults(table=fault | {"delay_seconds": 0.1})

    def recover_platform(self) -> None:
        """End the faults of the platform."""
        self.fleet.set_faults(table={"mode": "up"})

    def cut(self) -> None:
        """Cut a data centre off from the platform and from the others."""
        self.fleet.cut(CUT_DATA_CENTRE)

    def heal(self) -> None:
        """Connect the data centre again."""
        self.fleet.heal(CUT_DATA_CENTRE)

    def _set_behaviour(self, executor: str, **values: Any) -> None:
        self.fleet.set_behaviour(executor, seed=SEED, **values)


Step = Callable[[FaultRun], None]

# Steps with their times in seconds after the start of the load. Some faults
# overlap: answers are late during the pause and wrong during the outage.
SCHEDULE: tuple[tuple[float, Step], ...] = (
    (2.0, FaultRun.slow_executors),
    (4.0, FaultRun.kill),
    (6.0, FaultRun.pause),
    (9.0, FaultRun.inject_wrong_answers),
    (16.0, FaultRun.resume),
    (17.0, FaultRun.fail_platform),
    (19.0, FaultRun.restart),
    (21.0, FaultRun.recover_platform),
    (22.0, FaultRun.lose_replies),
    (24.0, FaultRun.fill_executors),
    (26.0, FaultRun.recover_platform),
    (26.5, FaultRun.wait_replacement),
    (27.0, FaultRun.cut),
    (30.0, FaultRun.recover_executors),
    (34.0, FaultRun.heal),
    (36.0, FaultRun.slow_executors),
)


@frozen
class Evidence:
    """Requests with their answers, runs, and when daemons were disturbed.

    ``repeatable`` has the queues whose requests may run twice. ``disturbed``
    has the begin and the end of a disturbance by the daemon's caller address.
    """

    requests: Sequence[Mapping[str, Any]]
    runs: Sequence[Mapping[str, Any]]
    repeatable: frozenset[str]
    limits: Mapping[str, int]
    disturbed: Mapping[str, tuple[float, float]]


def measure_figures() -> Iterator[Figure]:
    """Run the schedule once and yield the figures of the run."""
    evidence = run_faults(SEED)
    yield from evaluate_run(evidence)


def run_faults(seed: int) -> Evidence:
    """Run the fleet with load and faults and return the evidence."""
    print(f"# faults: seed {seed}", flush=True)
    with Fleet(SAKDA, OVERRIDES, service_ms=SERVICE_MS, linked=True) as fleet:
        fleet.start()
        limit_cells = {
            name: {"request_limit": str(most)} for name, most in LIMITS.items()
        }
        fleet.apply_sheet(
            write_sheet(fleet, limit_cells, longest_deadline=LONGEST_DEADLINE)
        )
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
            targets,
            wanted,
            SECONDS,
            seed,
            requests_per_connection=20,
            late_seconds=LATE_SECONDS,
            **values,
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


def evaluate_run(evidence: Evidence) -> Iterator[Figure]:
    """Compare answers and runs, and yield the figures of the run."""
    requests, runs = evidence.requests, evidence.runs
    double_runs = find_double_runs(runs, evidence.repeatable)
    false_refusals = list(find_false_refusals(requests, runs))
    unanswered = list(find_unanswered(requests, evidence.disturbed))
    lost = [entry for entry in unanswered if entry[3] not in LATE_VERDICTS]
    late = [entry for entry in unanswered if entry[3] in LATE_VERDICTS]
    false_answers = find_false_answers(requests, runs)
    for name, found in (
        ("ran twice", double_runs),
        ("'not run' but ran", false_refusals),
        ("lost", lost),
        ("answered late", late),
        ("answered falsely", false_answers),
    ):
        if found:
            print(f"# faults: {name}: {found[:10]}", flush=True)
    for name in false_refusals[:MAX_TRACED]:
        tried = [entry for entry in requests if entry["id"] == name]
        ran = [run for run in runs if run["request"] == name]
        print(f"# faults: {name}: {tried} ran as {ran}", flush=True)
    overrun = measure_overrun(runs, evidence.limits)
    print(f"# faults: most concurrent requests by team {measure_overlap(runs)}")
    yield Figure("limit_overrun", overrun, "requests", 0)
    yield Figure("double_runs", len(double_runs), "requests", 0)
    yield Figure("false_not_run", len(false_refusals), "requests", 0)
    yield Figure("false_answers", len(false_answers), "requests", 0)
    yield Figure("lost_requests", len(lost), "requests", 0)
    yield Figure("late_requests", len(late), "requests", 0)
    yield Figure(
        "retry_amplification", measure_amplification(requests, runs), "ratio", 1.10
    )
    yield Figure("faults_requests", len(requests), "requests")
    yield Figure("faults_runs", len(runs), "runs")


def find_false_refusals(
    requests: Iterable[Mapping[str, Any]], runs: Iterable[Mapping[str, Any]]
) -> Iterator[str]:
    """Yield the requests that ran although each try was reported not run."""
    ran = {run["request"] for run in runs}
    for entry in requests:
        verdicts = [each["verdict"] for each in entry["tries"]]
        if (
            all(verdict in NOT_RUN_VERDICTS for verdict in verdicts)
            and entry["id"] in ran
        ):
            yield entry["id"]


def find_unanswered(
    requests: Iterable[Mapping[str, Any]],
    disturbed: Mapping[str, tuple[float, float]],
) -> Iterator[tuple[str, str, str, str]]:
    """Yield the tries without a verdict in time that no disturbance explains.

    The last value is the verdict that arrived late, if any. Tries that overlap
    a disturbance of the daemon they were sent to are left out.
    """
    for entry in requests:
        for each in entry["tries"]:
            if each["verdict"] in KNOWN_VERDICTS:
                continue
            begin, end = disturbed.get(each["target"], (float("inf"), 0.0))
            if each["start"] <= end and begin <= each["end"]:
                continue
            yield entry["id"], each["target"], each["verdict"], each["late"]


def measure_overrun(
    runs: Iterable[Mapping[str, Any]], limits: Mapping[str, int]
) -> int:
    """Return the largest excess of a team over its limit.

    A run counts at most until its deadline: a daemon without an answer by then
    cannot know whether the upstream is still running the request.
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
    """Return the runs per request in the queue with the highest ratio.

    Only requests that ran and that their caller sent once count, so any
    further run is a retry by a daemon.
    """
    sent_once = {entry["id"] for entry in requests if len(entry["tries"]) == 1}
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for run in runs:
        if run["request"] in sent_once:
            counts[run["queue"]][run["request"]] += 1
    ratios = (
        queue_counts.total() / len(queue_counts) for queue_counts in counts.values()
    )
    return max(ratios, default=0.0)


if __name__ == "__main__":
    for figure in evaluate_run(run_faults(int(sys.argv[1]) if sys.argv[1:] else SEED)):
        print(figure.format_line())
