"""Time until changes take effect in nine daemons, and the cost of control.

The fleet has the Sakda sizes. A link proxy carries the connections between
daemons and those to the platform. It counts the bytes of the control traffic,
which include the framing of HTTP and gRPC but not the headers of TCP and IP::

    python -m bench.control
"""

import os
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from threading import Event, Thread
from typing import Any

import httpx
from attrs import define, field

from bench.figures import Figure
from bench.fleet_runs import BenchmarkError, list_callers, start_load
from emulator.fleet import Fleet
from emulator.layout import Daemon
from emulator.load import LoadPlan, QueuePlan
from emulator.shapes import SAKDA

SEED = 2
TEAM = "hinge"
QUEUE = "hinge-quotes"
POLL_SECONDS = 0.03
WAIT_TIMEOUT_SECONDS = 12.0
ROUNDS = 4
# The data centre that is cut off in the last round of key withdrawals.
CUT_DATA_CENTRE = "cnx-2"
AUTHOR = "entry-1"
SETTLE_SECONDS = 4.0
IDLE_SECONDS = 15.0
DRAIN_RATE = 160.0
DRAIN_LOAD_SECONDS = 9.0
DRAIN_AFTER_SECONDS = 2.0
# TCP (with timestamps) and IP headers of a segment and its acknowledgement.
CHUNK_HEADER_BYTES = 2 * 52
WITHDRAW_BOUND = 5.0
IN_FORCE_BOUND = 5.0
DRAIN_BOUND = 3.0
BYTES_BOUND = 7000.0
CPU_BOUND = 2.7
RSS_BOUND = 256.0


def measure_figures() -> Iterator[Figure]:
    """Start one fleet and yield all control figures."""
    print(f"# control: seed {SEED}", flush=True)
    with Fleet(SAKDA, metered=True) as fleet:
        # The balancer is not started: its five readiness polls a second cost
        # 1% of a core.
        fleet.start_processes()
        fleet.apply_sheet()
        yield from measure_idle_cost(fleet)
        yield from measure_changes(fleet)
        yield from measure_withdrawals(fleet)
        yield from measure_drains(fleet)


def measure_idle_cost(fleet: Fleet) -> Iterator[Figure]:
    """Yield the traffic, processor time and memory of idle daemons.

    Each figure is that of the worst daemon or data centre.
    """
    time.sleep(SETTLE_SECONDS)
    began = time.monotonic()
    counts_before = fleet.count_links()
    cpu_before = {name: _read_cpu(each) for name, each in fleet.daemons.items()}
    time.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - began
    traffic = {
        name: (count - counts_before[name][0], chunks - counts_before[name][1])
        for name, (count, chunks) in fleet.count_links().items()
    }
    cpu = {
        name: (_read_cpu(each) - cpu_before[name]) / seconds * 100
        for name, each in fleet.daemons.items()
    }
    payload = _average_traffic(
        fleet, {name: counts[0] for name, counts in traffic.items()}
    )
    chunks = _average_traffic(
        fleet, {name: counts[1] for name, counts in traffic.items()}
    )
    wire = max(payload[dc] + chunks[dc] * CHUNK_HEADER_BYTES for dc in payload)
    platform = sum(counts[0] for name, counts in traffic.items() if "platform" in name)
    print(
        f"# control: bytes/s of a daemon by data centre "
        f"{ {dc: round(value / seconds) for dc, value in payload.items()} }, of which "
        f"platform {platform / seconds / len(fleet.daemons):.0f}; percent of a core "
        f"{ {name: round(value, 2) for name, value in cpu.items()} }"
    )
    bytes_per_second = max(payload.values()) / seconds
    rss = max(_read_rss_mb(each) for each in fleet.daemons.values())
    yield Figure(
        "daemon_control_bytes_per_second", bytes_per_second, "bytes/s", BYTES_BOUND
    )
    yield Figure("daemon_control_wire_bytes_per_second", wire / seconds, "bytes/s")
    yield Figure("daemon_control_cpu_percent", max(cpu.values()), "percent", CPU_BOUND)
    yield Figure("daemon_rss_mb", rss, "MB", RSS_BOUND)


def _average_traffic(fleet: Fleet, traffic: Mapping[str, int]) -> dict[str, float]:
    """Return the mean traffic of a daemon, by data centre.

    Traffic between two daemons counts for both.
    """
    averages = {}
    for data_centre in fleet.shape.data_centres:
        daemons = [
            each for each in fleet.daemons.values() if each.data_centre == data_centre
        ]
        total = 0
        for name, count in traffic.items():
            source, target, *_ = name.split(">")
            total += count * ((source == data_centre) + (target == data_centre))
        averages[data_centre] = total / len(daemons)
    return averages


def _read_cpu(daemon: Daemon) -> float:
    """Return the processor time of a daemon in seconds."""
    text = Path(f"/proc/{daemon.running.process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _read_rss_mb(daemon: Daemon) -> float:
    """Return the peak resident memory of a daemon since its start, in MB."""
    text = Path(f"/proc/{daemon.running.process.pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise BenchmarkError(f"/proc has no VmHWM of daemon {daemon.name}")


def measure_changes(fleet: Fleet) -> Iterator[Figure]:
    """Yield the time from sending a change until it is in force everywhere."""
    times = []
    for number in range(ROUNDS):
        author = _choose_daemon(fleet, number)
        began = time.monotonic()
        reply = fleet.call_operator_interface(
            author, "key/grant", name=f"change-{number}", team=TEAM, **_FAKE_KEY
        )
        version = reply["version"]
        ends = _call_all(fleet, partial(_wait_version, version=version))
        times.append(max(ends) - began)
        # Not a multiple of the polling interval, so that the changes fall on
        # different points of it.
        time.sleep(0.3 * number)
    print(f"# control: change in force after {[round(each, 2) for each in times]} s")
    yield Figure("config_in_force_seconds", max(times), "s", IN_FORCE_BOUND)


# A salt and a digest that have the right format but belong to no key.
_FAKE_KEY = {"salt": "0" * 32, "digest": "0" * 64}


def _choose_daemon(fleet: Fleet, number: int) -> str:
    names = tuple(fleet.daemons)
    return names[number * 4 % len(names)]


def _call_all(fleet: Fleet, function: Callable[[Daemon], float]) -> list[float]:
    """Call ``function`` for all daemons concurrently; return the results."""
    with ThreadPoolExecutor(len(fleet.daemons)) as threads:
        return list(threads.map(function, fleet.daemons.values()))


def _wait_version(daemon: Daemon, version: int) -> float:
    """Return the time when a daemon reports the version or a later one.

    Returns infinity if it does not within ``WAIT_TIMEOUT_SECONDS``.
    """
    url = f"http://{daemon.operator}/metrics"
    wanted = "hemlockstand_configuration_version "
    began = time.monotonic()
    with httpx.Client(trust_env=False, timeout=5) as client:
        while time.monotonic() - began < WAIT_TIMEOUT_SECONDS:
            for line in client.get(url).text.splitlines():
                if line.startswith(wanted) and float(line.split()[1]) >= version:
                    return time.monotonic()
            time.sleep(POLL_SECONDS)
    return float("inf")


def measure_withdrawals(fleet: Fleet) -> Iterator[Figure]:
    """Yield the time from a withdrawal until all daemons refuse the key.

    In the last round a data centre is cut off just before the withdrawal.
    """
    times = [_withdraw(fleet, number, is_cut=False) for number in range(ROUNDS - 1)]
    cut = _withdraw(fleet, ROUNDS - 1, is_cut=True)
    print(
        f"# control: key refused after {[round(each, 2) for each in times]} s, "
        f"with a data centre cut off after {cut} s"
    )
    yield Figure("key_withdraw_seconds", max(*times, cut), "s", WITHDRAW_BOUND)
    yield Figure("key_withdraw_connected_seconds", max(times), "s", WITHDRAW_BOUND)


def _withdraw(fleet: Fleet, number: int, is_cut: bool) -> float:
    name = f"withdrawn-{number}"
    key = fleet.grant_key(name, TEAM)
    poller = _KeyPoller(key)
    with ThreadPoolExecutor(len(fleet.daemons)) as threads:
        ends = [threads.submit(poller.poll, each) for each in fleet.daemons.values()]
        time.sleep(1.0)
        if is_cut:
            fleet.cut(CUT_DATA_CENTRE)
        began = time.monotonic()
        try:
            fleet.call_operator_interface(AUTHOR, "key/withdraw", name=name)
            poller.withdrawn.set()
            last = max(end.result() for end in ends)
        finally:
            poller.withdrawn.set()
            if is_cut:
                fleet.heal(CUT_DATA_CENTRE)
    return max(0.0, last - began)


@define
class _KeyPoller:
    """Sends requests with a key until the withdrawn key stays refused."""

    key: str
    withdrawn: Event = field(factory=Event)

    def poll(self, daemon: Daemon) -> float:
        """Return the time when a daemon last accepted the key.

        Returns infinity if it still accepts the key at the end. Raises
        ``BenchmarkError`` if it never accepted it.
        """
        url = f"http://{daemon.caller}/v1/queues/{QUEUE}"
        headers = {"X-Team": TEAM, "Authorization": f"Bearer {self.key}"}
        accepted = 0
        last = time.monotonic()
        refused_since: float | None = None
        began = last
        with httpx.Client(trust_env=False, timeout=5) as client:
            while time.monotonic() - began < 2 * WAIT_TIMEOUT_SECONDS:
                response = client.post(url, headers=headers, content=b"x")
                now = time.monotonic()
                if _is_key_refused(response):
                    refused_since = now if refused_since is None else refused_since
                else:
                    refused_since = None
                    accepted += 1
                    last = now
                if self.withdrawn.is_set() and refused_since is not None:
                    if now - refused_since > WITHDRAW_BOUND:
                        break
                time.sleep(POLL_SECONDS)
        if not accepted:
            raise BenchmarkError(f"daemon {daemon.name} never accepted the key")
        return last if refused_since is not None else float("inf")


def _is_key_refused(response: httpx.Response) -> bool:
    if response.headers.get("X-Verdict") != "not-run":
        return False
    return response.json()["code"] in ("key_refused", "configuration_not_fresh")


def measure_drains(fleet: Fleet) -> Iterator[Figure]:
    """Yield the time from the start of a drain until the last request.

    A drain is triggered by an operator, by the instance list, or by refusals
    of the executor itself.
    """
    triggers: Mapping[str, Callable[[str], None]] = {
        "drain": partial(_drain_by_operator, fleet),
        "list": partial(_drain_by_platform, fleet),
        "refusal": partial(_drain_by_refusal, fleet),
    }
    times = {
        name: _measure_drain(fleet, f"{TEAM}-{number}", name, trigger)
        for number, (name, trigger) in enumerate(triggers.items(), 1)
    }
    print(f"# control: last request to a drained executor after {times} s")
    yield Figure("drain_stop_seconds", max(times.values()), "s", DRAIN_BOUND)


def _drain_by_operator(fleet: Fleet, executor: str) -> None:
    fleet.call_operator_interface(
        next(iter(fleet.daemons)), "instance/drain", instance=executor, reason="bench"
    )


def _drain_by_platform(fleet: Fleet, executor: str) -> None:
    """Drain the executor on the platform, which then lists it as leaving."""
    response = fleet.http.post(f"{fleet.layout.platform}/instances/{executor}/drain")
    response.raise_for_status()


def _drain_by_refusal(fleet: Fleet, executor: str) -> None:
    """Let the executor refuse requests; the list still shows it as live."""
    fleet.set_behaviour(executor, leaving=True)


def _measure_drain(
    fleet: Fleet, executor: str, name: str, trigger: Callable[[str], None]
) -> float:
    key = fleet.grant_key(f"drain-{name}", TEAM)
    queue = QueuePlan(QUEUE, TEAM, DRAIN_RATE, key)
    plan = LoadPlan(
        list_callers(fleet), [queue], DRAIN_LOAD_SECONDS, SEED, id_prefix=name
    )
    load = start_load(fleet, f"drain-{name}", plan)
    poller = _RefusalPoller(fleet.executors[executor].address)
    thread = Thread(target=poller.poll)
    thread.start()
    try:
        time.sleep(DRAIN_AFTER_SECONDS)
        began = time.monotonic()
        trigger(executor)
        load.finish()
    finally:
        poller.stopping.set()
        thread.join()
    runs = [run for run in fleet.read_runs() if run["executor"] == executor]
    return max(0.0, _find_last_contact(runs, poller, began) - began)


def _find_last_contact(
    runs: Sequence[Mapping[str, Any]], poller: "_RefusalPoller", began: float
) -> float:
    if not any(run["start"] < began for run in runs):
        raise BenchmarkError("the executor got no requests before the drain")
    return max([poller.last_refusal, *(run["start"] for run in runs)])


@define
class _RefusalPoller:
    """Records when an executor last refused a request."""

    address: str
    stopping: Event = field(factory=Event)
    last_refusal: float = 0.0

    def poll(self) -> None:
        """Poll the executor until ``stopping`` is set."""
        url = f"http://{self.address}/record"
        name = None
        refused = 0
        with httpx.Client(trust_env=False, timeout=5) as client:
            while not self.stopping.wait(POLL_SECONDS):
                health = client.get(f"http://{self.address}/health").json()
                name = name or health["executor"]
                params = {"executor": name, "runs": "0"}
                (state,) = client.get(url, params=params).json()["executors"]
                count = sum(state["refused"].values())
                if count > refused:
                    self.last_refusal = time.monotonic()
                refused = count


if __name__ == "__main__":
    for figure in measure_figures():
        print(figure.format_line(), flush=True)
