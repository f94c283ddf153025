"""Jobs and maintenance under faults, with daemons as separate processes.

All checks read the record of the emulated platform, and none depends on
speed: a test waits for what must happen eventually, and then checks what must
never happen. The tests share one fleet; each leaves it without faults and
with all daemons running.
"""

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest
from attrs import evolve

from emulator.checks import find_budget_violations, find_double_starts
from emulator.fleet import SHEETS, Fleet, read_sheet
from emulator.layout import TOKEN, FleetError
from emulator.shapes import SMALL
from hemlockstand.coordination.rendezvous import OwnerIndex

SHAPE = evolve(SMALL, workers=3, daemons=3)
POOLS = ("hinge-workers", "ledger-workers")
BUDGETS = dict.fromkeys(POOLS, 1)
EVENTUALLY_SECONDS = 25
LEASE_SECONDS = 3
OUTAGE_SECONDS = 1.5
# A message in flight when a fault began has arrived after this time.
SETTLE_SECONDS = 1.0
# Longer than the time in which a committed start may still be sent.
START_WINDOW_SECONDS = 2.5
TRIAL_JOBS = 9  # number of short jobs that run on demand
LONG_JOBS = 24  # number of jobs that run until they are cancelled
BROKEN_WORKER = "hinge-worker-2"
MAX_WORKER_STARTS = 5

FAST_SETTINGS = {
    "daemon": {"balancer_lag_seconds": 0.2},
    "platform": {"timeout_seconds": 1, "instance_poll_seconds": 0.3},
    "peers": {
        "interval_seconds": 0.3,
        "timeout_seconds": 0.5,
        "suspect_after_seconds": 1.5,
    },
    "configuration": {"poll_seconds": 0.4},
    "jobs": {"interval_seconds": 0.2, "lease_seconds": LEASE_SECONDS},
    "maintenance": {"interval_seconds": 0.2},
}
HEADERS = {"Authorization": f"Bearer {TOKEN}"}


def list_trial_jobs():
    return [f"hinge-trial-{number}" for number in range(TRIAL_JOBS)]


def list_long_jobs():
    return [f"hinge-long-{number}" for number in range(LONG_JOBS)]


def write_sheet(path):
    """Write the small sheet with larger pools and jobs that run on demand."""
    rows = read_sheet(SHEETS / SHAPE.sheet)
    for row in rows:
        if row["name"] in POOLS:
            row["size"] = str(SHAPE.workers)
        if row["kind"] == "team":
            row["job_limit"] = "1"
    template = next(row for row in rows if row["name"] == "hinge-reindex")
    small_job = {"schedule": "on demand", "cores": "1", "memory_mb": "1024"}
    names = [*list_trial_jobs(), *list_long_jobs()]
    rows += [{**template, **small_job, "name": name} for name in names]
    lines = [",".join(rows[0]), *(",".join(row.values()) for row in rows)]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


class JobFleet:
    """A fleet of three daemons with operations for the tests of jobs."""

    def __init__(self, fleet):
        self.fleet = fleet

    def post(self, path, daemon="entry-1", **fields):
        url = f"http://{self.fleet.daemons[daemon].operator}/o/{path}"
        response = httpx.post(
            url, json=fields, headers=HEADERS, timeout=30, trust_env=False
        )
        return response.status_code, response.json()

    def run_job(self, job, daemon="entry-1"):
        """Start a run of a job and return its task."""
        status, body = self.post("job/run", daemon, job=job)
        assert status == 200, body
        return body["task"]

    def read_events(self, kind="", since=0):
        events = self.fleet.read_record(since)["events"]
        return [event for event in events if kind in ("", event["event"])]

    def count_events(self):
        return len(self.read_events())

    def list_done(self):
        ends = self.read_events("task_end")
        return [event["task"] for event in ends if event["state"] == "done"]

    def wait_until_done(self, tasks):
        self.wait(lambda: set(tasks) <= set(self.list_done()))

    def wait(self, check):
        return self.fleet.wait_until(check, EVENTUALLY_SECONDS)

    def wait_until_started(self, task):
        self.wait(
            lambda: any(
                event["task"] == task for event in self.read_events("task_start")
            )
        )

    def start_wave(self, name):
        status, body = self.post("wave/start", wave=name, pools=" ".join(POOLS))
        assert status == 200, body

    def wait_until_wave_done(self, name, since):
        """Wait until a wave has ended and check that all workers rebooted.

        Each worker has to reboot exactly once.
        """
        key = f"wave/{name}"
        try:
            self.wait(lambda: self.fleet.read_rows(key)[key]["state"] == "done")
        except FleetError:
            pytest.fail(self.describe_wave(since))
        reboots = Counter(
            event["instance"] for event in self.read_events("reboot", since)
        )
        numbers = range(1, SHAPE.workers + 1)
        workers = {f"{pool[:-1]}-{n}" for pool in POOLS for n in numbers}
        assert reboots == Counter(workers)

    def describe_wave(self, since):
        """Describe the state of a wave that does not end."""
        instances = self.fleet.read_rows("instance/").values()
        moving = [row for row in instances if row["phase"] != "serving"]
        events = [
            (event["event"], event.get("instance"))
            for event in self.read_events(since=since)
            if event.get("instance")
        ]
        return f"{moving} {self.fleet.read_rows('wave/')} {events}"

    def find_pool_owner(self, pool):
        """Return the daemon that places the jobs of a pool."""
        names = list(self.fleet.daemons)
        for name in names:
            if pool in OwnerIndex().select(name, POOLS, names):
                return name
        raise AssertionError(f"nobody owns {pool}")

    def list_pools_of_instances(self):
        """Yield after each write how many pools hold each instance."""
        url = f"{self.fleet.layout.platform}/table/history"
        rows = self.fleet.http.get(url, params={"prefix": "pool/"}).json()["history"]
        held = {}
        for row in rows:
            value = row["value"] or {}
            held[row["key"]] = {
                *value.get("members", ()),
                *value.get("joining", ()),
            }
            yield Counter(name for names in held.values() for name in names)

    def check(self):
        """Check the record for what must hold at all times."""
        events = self.read_events()
        assert find_double_starts(events) == []
        assert find_budget_violations(events, BUDGETS) == []
        for counts in self.list_pools_of_instances():
            assert max(counts.values(), default=0) <= 1
        done = Counter(self.list_done())
        assert [task for task, count in done.items() if count > 1] == []


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    path = tmp_path_factory.mktemp("sheet") / "jobs.csv"
    write_sheet(path)
    with Fleet(SHAPE, overrides=FAST_SETTINGS) as fleet:
        fleet.start_platform()
        fleet.set_faults(reboot_seconds=0.2, instance_list_lag_seconds=0.3)
        fleet.set_profiles(
            {"*": {"duration_seconds": 0.5}}
            | {job: {"duration_seconds": 300} for job in list_long_jobs()}
        )
        fleet.start_daemons()
        fleet.apply_sheet(path)
        job_fleet = JobFleet(fleet)
        job_fleet.wait_until_done([job_fleet.run_job(list_trial_jobs()[0])])
        yield job_fleet


@pytest.fixture
def jobs(shared):
    yield shared
    shared.check()


def test_wave_goes_on_when_the_owner_of_a_pool_is_killed(jobs):
    """Guards against a wave that stops when the daemon that runs it dies."""
    events_before = jobs.count_events()
    jobs.start_wave("killed")
    jobs.wait(lambda: jobs.read_events("reboot", events_before))
    owner = jobs.find_pool_owner(POOLS[0])
    jobs.fleet.daemons[owner].running.kill()
    jobs.wait_until_wave_done("killed", events_before)
    other = next(name for name in jobs.fleet.daemons if name != owner)
    jobs.wait_until_done([jobs.run_job(list_trial_jobs()[0], other)])
    jobs.fleet.start_daemon(owner)
    jobs.fleet.wait_ready(owner)


def test_outage_delays_a_wave_and_placement(jobs):
    """Guards against disruptions during an outage and lost runs after it."""
    events_before = jobs.count_events()
    jobs.start_wave("outage")
    jobs.wait(lambda: jobs.read_events("drain", events_before))
    tasks = [jobs.run_job(job) for job in list_trial_jobs()]
    jobs.fleet.set_faults(table={"mode": "down"})
    time.sleep(SETTLE_SECONDS)
    events_after_settling = jobs.count_events()
    time.sleep(OUTAGE_SECONDS)
    started = [
        event
        for event in jobs.read_events(since=events_after_settling)
        if event["event"] in ("drain", "task_start")
    ]
    jobs.fleet.set_faults(table={"mode": "up"})
    assert started == []
    jobs.wait_until_wave_done("outage", events_before)
    jobs.wait_until_done(tasks)


def test_lost_replies_repeat_neither_runs_nor_disruptions(jobs):
    """Guards against a write that is repeated because its reply was lost."""
    events_before = jobs.count_events()
    jobs.start_wave("lossy")
    jobs.fleet.set_faults(table={"mode": "lose_replies", "probability": 0.4})
    tasks = [jobs.run_job(job) for job in list_trial_jobs()]
    jobs.wait_until_done(tasks)
    jobs.wait_until_wave_done("lossy", events_before)
    jobs.fleet.set_faults(table={"mode": "up"})


def test_paused_owner_starts_nothing_twice(jobs):
    """Guards against a daemon that acts on outdated rows after a pause."""
    task = jobs.run_job(list_long_jobs()[0])
    jobs.wait_until_started(task)
    owner = jobs.find_pool_owner(POOLS[0])
    child = jobs.fleet.daemons[owner].running
    child.pause()
    time.sleep(LEASE_SECONDS + 1)
    child.resume()
    jobs.wait_until_done([jobs.run_job(list_trial_jobs()[0], owner)])
    status, body = jobs.post("job/cancel", job=list_long_jobs()[0])
    assert status == 200, body


def test_worker_that_fails_everything_is_quarantined(jobs):
    """Guards against a bad worker that uses up the starts of sound jobs."""
    events_before = jobs.count_events()
    jobs.fleet.set_faults(failing_workers=[BROKEN_WORKER])
    key = f"worker/{BROKEN_WORKER}"

    def is_quarantined():
        # A job that failed on the worker avoids it until it has succeeded, so
        # one run of each job may be too few failures for a quarantine.
        jobs.wait_until_done([jobs.run_job(job) for job in list_trial_jobs()])
        return jobs.fleet.read_rows(key)[key].get("quarantine")

    jobs.wait(is_quarantined)
    starts = Counter(
        event["worker"] for event in jobs.read_events("task_start", events_before)
    )
    assert starts[BROKEN_WORKER] <= MAX_WORKER_STARTS
    jobs.fleet.set_faults(failing_workers=[])
    status, body = jobs.post("instance/release", instance=BROKEN_WORKER)
    assert status == 200, body


def test_no_cancelled_job_starts_after_a_wave_of_cancellations(jobs):
    """Guards against cancelled runs that start or continue afterwards."""
    names = list_long_jobs()
    with ThreadPoolExecutor(len(names)) as threads:
        tasks = list(threads.map(jobs.run_job, names))
        daemons = [f"entry-{number % 3 + 1}" for number in range(len(names))]
        answers = threads.map(
            lambda name, daemon: jobs.post("job/cancel", daemon, job=name),
            names,
            daemons,
        )
        assert [status for status, _ in answers] == [200] * len(names)
    events_before = jobs.count_events()
    time.sleep(START_WINDOW_SECONDS)
    started = {event["task"] for event in jobs.read_events("task_start", events_before)}
    assert not started & set(tasks)
    starts = Counter(event["task"] for event in jobs.read_events("task_start"))
    jobs.wait(
        lambda: all(
            starts[task]
            == sum(event["task"] == task for event in jobs.read_events("task_end"))
            for task in tasks
        )
    )
