"""Demo of the whole system as separate processes: ``make demo``.

Starts a platform, the executors of the Sakda fleet, 9 daemons and a balancer,
and runs through the events of a day: a sheet, a key, requests, a batch job, a
drain, a graceful stop, a killed daemon and a withdrawn key. It prints one
line per step and exits with 0 only if every step succeeded.
"""

import signal
import sys
import time
import traceback
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import httpx

from emulator.checks import (
    find_double_runs,
    find_double_starts,
    find_false_answers,
    find_false_refusals,
    find_late_starts,
    find_unanswered,
    measure_overlap,
)
from emulator.fleet import SHEETS, Fleet, read_sheet
from emulator.layout import FleetError
from emulator.scenario import (
    ORDERS,
    QUOTES,
    STOCK,
    TEAM,
    Demo,
    StepFailed,
    require,
)
from emulator.shapes import SAKDA

BATCH_JOB = "ledger-close"
RETIRED_JOB = "hinge-catalogue-2019"
DRAINED = "hinge-1"
STOPPED = "entry-4"
KILLED = "entry-7"
DRAIN_BOUND_SECONDS = 3.0
WITHDRAW_BOUND_SECONDS = 5.0
JOB_WAIT_SECONDS = 20.0
TEAM_LIMIT = 64
# Factor by which executors are slowed down, so that the killed daemon has
# orders in flight.
KILL_SLOWDOWN_FACTOR = 10.0
KILL_AFTER_SECONDS = 1.5
IN_FLIGHT_ORDERS = 6


def start_fleet(demo: Demo) -> str:
    """Start all processes."""
    fleet = demo.fleet
    fleet.start()
    return (
        f"platform, {len(fleet.executors)} executors, {len(fleet.daemons)} daemons "
        f"and a balancer run as {len(fleet.children.children)} processes"
    )


def apply_sheet(demo: Demo) -> str:
    """Import the morning sheet."""
    result = demo.fleet.apply_sheet()
    wait = result["wait"]
    require(
        len(wait["in_force"]) == 9,
        f"configuration is not in force at all daemons: {wait}",
    )
    demo.figures["configuration in force"] = f"{wait['waited_seconds']:.2f} s"
    return (
        f"version {result['version']} with {len(result['differences'])} entries is "
        f"in force at {len(wait['in_force'])} daemons"
    )


def grant_key(demo: Demo) -> str:
    """Grant a key to the hinge desk."""
    demo.key = demo.fleet.grant_key("dealer-7", TEAM)
    return f"key dealer-7 is granted to team {TEAM}"


def send_requests(demo: Demo) -> str:
    """Send keyed requests through every daemon."""
    verdicts: Counter[str] = Counter()
    for number, daemon in enumerate(demo.fleet.daemons):
        for queue in (ORDERS, QUOTES):
            response = demo.send(daemon, queue, f"demo-{queue}-{number}")
            verdicts[response.headers["X-Verdict"]] += 1
            require(response.status_code == 200, f"{daemon}: {response.text}")
    return f"{sum(verdicts.values())} requests through 9 daemons: {dict(verdicts)}"


def repeat_order(demo: Demo) -> str:
    """Repeat an order at another daemon; it must not run again."""
    request_id = f"demo-{ORDERS}-0"
    response = demo.send("entry-2", ORDERS, request_id)
    verdict = response.headers["X-Verdict"]
    count = sum(run["request"] == request_id for run in demo.fleet.read_runs())
    require(count == 1, f"order {request_id} ran {count} times")
    require(verdict != "not-run", f"order {request_id} ran, answered {verdict}")
    code = "" if verdict == "answered" else f" ({response.json()['code']})"
    return f"order {request_id} repeated at entry-2: {verdict}{code}, it ran once"


def refuse_wrong_key(demo: Demo) -> str:
    """Send a request with a key that was never granted."""
    response = demo.send("entry-3", ORDERS, "demo-wrong-key", key="hsk_x_wrong")
    require(response.status_code == 403, f"{response.status_code} {response.text}")
    return f"a wrong key is refused: {response.json()['code']}"


def run_job(demo: Demo) -> str:
    """Wait for a scheduled batch job; a retired job must not start."""
    fleet = demo.fleet

    def find(event: str) -> list[dict[str, Any]]:
        return [
            entry
            for entry in fleet.read_record()["events"]
            if entry["event"] == event and entry["task"].startswith(BATCH_JOB)
        ]

    fleet.wait_until(lambda: bool(find("task_end")), JOB_WAIT_SECONDS)
    started = find("task_start")[0]
    ended = find("task_end")[0]
    require(ended["state"] == "done", f"task ended as {ended['state']}")
    events = fleet.read_record()["events"]
    retired = [entry for entry in events if RETIRED_JOB in entry.get("task", "")]
    require(not retired, f"the retired job started: {retired[:1]}")
    return (
        f"task {started['task']} ran on {started['worker']}, fence "
        f"{started['fence']}; the retired job {RETIRED_JOB} did not start"
    )


def drain_instance(demo: Demo) -> str:
    """Drain an executor under load."""
    load = demo.start_load("drain", STOCK)
    time.sleep(1.5)
    began = time.monotonic()
    demo.fleet.ctl("instance", "drain", DRAINED, "--reason=demo")
    report = demo.finish_load(load)
    runs = demo.fleet.read_runs()
    late = find_late_starts(runs, DRAINED, began + DRAIN_BOUND_SECONDS)
    require(not late, f"{len(late)} runs on {DRAINED} after {DRAIN_BOUND_SECONDS} s")
    last = max(
        (run["start"] for run in runs if run["executor"] == DRAINED), default=began
    )
    seconds = max(0.0, last - began)
    demo.figures["last new run on the drained executor"] = f"{seconds:.2f} s"
    total = report["total"]
    require(
        total["good"] == total["sent"], f"not all were answered: {total['verdicts']}"
    )
    return (
        f"{DRAINED} got no new work {seconds:.2f} s after the drain; "
        f"{total['good']} of {total['sent']} requests were answered"
    )


def stop_daemon(demo: Demo) -> str:
    """Stop one daemon gracefully under load."""
    load = demo.start_load("stop", ORDERS)
    time.sleep(1.0)
    child = demo.fleet.daemons[STOPPED].running
    child.terminate()
    code = child.wait(20)
    report = demo.finish_load(load)
    require(code == 0, f"{STOPPED} ended with {code}\n{child.read_log_tail()}")
    total = report["total"]
    require(
        total["good"] == total["sent"], f"the stop lost requests: {total['verdicts']}"
    )
    demo.figures["p99 latency during a stop"] = f"{total['latency_ms']['p99']:.0f} ms"
    return f"{STOPPED} stopped; {total['good']} of {total['sent']} orders answered"


def kill_daemon(demo: Demo) -> str:
    """Kill one daemon under load and look up the requests lost with it."""
    set_desk_behaviour(demo, mode="slow", factor=KILL_SLOWDOWN_FACTOR)
    load = demo.start_load("kill", ORDERS)
    time.sleep(KILL_AFTER_SECONDS)
    in_flight = [f"demo-held-{number}" for number in range(IN_FLIGHT_ORDERS)]
    with ThreadPoolExecutor(IN_FLIGHT_ORDERS) as threads:
        sent = {
            each: threads.submit(demo.send, KILLED, ORDERS, each) for each in in_flight
        }
        demo.fleet.wait_until(lambda: demo.count_running(in_flight) > 0, 10)
        demo.fleet.daemons[KILLED].running.kill()
    lost = [each for each, future in sent.items() if future.exception()]
    report = demo.finish_load(load)
    set_desk_behaviour(demo, mode="ok")
    total = report["total"]
    require(bool(lost), f"the killed daemon answered all of {in_flight}")
    lost += [entry["id"] for entry in find_unanswered(report["requests"])]
    answers = Counter(demo.look_up("entry-1", each) for each in lost)
    require(
        total["good"] + len(find_unanswered(report["requests"])) == total["sent"],
        f"other requests failed at the kill: {total['verdicts']} {total['codes']}",
    )
    return (
        f"{KILLED} killed; {total['good']} of {total['sent']} orders through the "
        f"balancer answered, {len(lost)} requests got no answer; their verdicts at "
        f"another daemon: {dict(answers)}"
    )


def set_desk_behaviour(demo: Demo, **behaviour: Any) -> None:
    """Set the behaviour of all executors of the team's desk."""
    for endpoint in demo.fleet.layout.list_desk(TEAM):
        demo.fleet.set_behaviour(endpoint.name, **behaviour)


def withdraw_key(demo: Demo) -> str:
    """Withdraw the key and measure the time until every daemon refuses it."""
    alive = [name for name, each in demo.fleet.daemons.items() if each.running.alive]
    began = time.monotonic()
    demo.fleet.ctl("key", "withdraw", "dealer-7", daemon=alive[0])
    last = began
    for number, daemon in enumerate(alive):
        while True:
            sent = time.monotonic()
            response = demo.send(daemon, QUOTES, f"late-{number}-{sent:.3f}")
            if response.status_code == 403:
                code = response.json()["code"]
                require(code == "key_refused", f"{daemon} refuses with {code}")
                break
            last = max(last, time.monotonic())
            require(
                sent - began < WITHDRAW_BOUND_SECONDS, f"{daemon} still accepts the key"
            )
    demo.figures["last accepted use of a withdrawn key"] = f"{last - began:.2f} s"
    return f"{len(alive)} daemons refuse the key, the last after {last - began:.2f} s"


def check_record(demo: Demo) -> str:
    """Compare the verdicts that callers got with the recorded runs."""
    runs = demo.fleet.read_runs()
    rows = read_sheet(SHEETS / SAKDA.sheet)
    queues = [row for row in rows if row["kind"] == "queue"]
    repeatable = {row["name"] for row in queues if row["idempotent"] == "yes"}
    double = find_double_runs(runs, repeatable)
    false_refusals = find_false_refusals(demo.requests, runs)
    false_answers = find_false_answers(demo.requests, runs)
    overlap = measure_overlap(runs)
    events = demo.fleet.read_record()["events"]
    starts = find_double_starts(events)
    require(not double, f"ran twice: {double[:5]}")
    require(not false_refusals, f"'not run' but ran: {false_refusals[:5]}")
    require(not false_answers, f"answered but did not run: {false_answers[:5]}")
    require(
        overlap.get(TEAM, 0) <= TEAM_LIMIT,
        f"more than {TEAM_LIMIT} requests at once of team {TEAM}: {overlap}",
    )
    require(not starts, f"tasks that ran on two workers at once: {starts}")
    demo.figures["requests at once of team hinge"] = (
        f"{overlap.get(TEAM, 0)}, limit {TEAM_LIMIT}"
    )
    verdicts = Counter(entry["verdict"] for entry in demo.requests)
    demo.figures["requests by verdict"] = str(dict(verdicts))
    counters = demo.fleet.read_record()["counters"]
    demo.figures["platform"] = (
        f"{counters.get('writes', 0)} writes, {counters.get('reads', 0)} reads"
    )
    return f"{len(runs)} runs agree with {len(demo.requests)} requests' verdicts"


STEPS: tuple[Callable[[Demo], str], ...] = (
    start_fleet,
    apply_sheet,
    grant_key,
    send_requests,
    repeat_order,
    refuse_wrong_key,
    run_job,
    drain_instance,
    stop_daemon,
    kill_daemon,
    withdraw_key,
    check_record,
)


def run_steps(demo: Demo) -> Iterator[bool]:
    """Run the steps in order; the first failure ends the demo."""
    for number, step in enumerate(STEPS, 1):
        began = time.monotonic()
        title = step.__name__.replace("_", " ")
        try:
            detail = step(demo)
        except (StepFailed, FleetError, httpx.HTTPError, KeyError) as error:
            if not isinstance(error, StepFailed | FleetError):
                traceback.print_exc()
            print(f"step {number:2} {title}: FAILED: {error}", flush=True)
            yield False
            return
        seconds = time.monotonic() - began
        print(f"step {number:2} {title} ({seconds:.1f} s): {detail}", flush=True)
        yield True


def _end_on_signal(number: int, frame: Any) -> None:
    sys.exit(128 + number)


def main(arguments: Sequence[str] = ()) -> int:
    """Run the demo and return its exit code."""
    signal.signal(signal.SIGTERM, _end_on_signal)
    began = time.monotonic()
    with Fleet(SAKDA) as fleet:
        demo = Demo(fleet)
        results = list(run_steps(demo))
    print("summary:")
    for name, value in demo.figures.items():
        print(f"  {name}: {value}")
    complete = len(results) == len(STEPS) and all(results)
    print(f"  {sum(results)} of {len(STEPS)} steps succeeded")
    print(f"  total time: {time.monotonic() - began:.1f} s")
    return 0 if complete else 1


if __name__ == "__main__":
    sys.exit(main())
