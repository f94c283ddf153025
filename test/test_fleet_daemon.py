"""Daemon processes against the emulated platform, over HTTP."""

import json
import signal
import subprocess
import sys
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import httpx
import pytest
import trio
from attrs import define, field

from emulator.fleet_platform import FleetPlatform
from emulator.network import reserve_network

START_SECONDS = 30  # on a machine that is busy with other tests
CONFIG = {
    "ConfigVersion": 3,
    "Routes": [
        {
            "Name": "r-quotes",
            "Hostname": "desk.example",
            "Prefix": "/quotes/",
            "Backend": "quotes",
            "SloMs": 600,
            "Attempts": 2,
            "SlackFactor": 1.6,
        },
        {
            "Name": "r-open",
            "Hostname": "desk.example",
            "Prefix": "/quotes/open/",
            "Backend": "quotes",
            "Public": True,
        },
    ],
    "Services": [{"Name": "quotes", "AdmissionCheck": True}],
    "Limits": {"MaxBodyBytes": 20_000},
    "Tenants": [{"Name": "hinge", "ApiKeys": ["the-key"], "Weight": 1}],
}
SETTINGS = """
[daemon]
name = {name}
data_centre = dc1
[listen]
callers = {host}:8100
readiness = {host}:8101
metrics = {host}:8102
[platform]
store = {platform}
instances = {platform}
advice = {platform}
[bounds]
longest_hold_ms = 10000
config_apply_ms = 5000
grace_s = 6
status_s = 120
stability_ms = 3000
stop_ms = 900
order_turn_ms = 3000
"""


@define(eq=False)
class Fleet:
    """An emulated platform and the daemon processes, by host."""

    platform: FleetPlatform
    directory: Path
    client: httpx.AsyncClient
    settings: str = SETTINGS
    processes: dict[str, subprocess.Popen] = field(factory=dict)
    settings: str = SETTINGS

    def start(self, host: str) -> None:
        """Write the settings of a daemon and start its process."""
        path = self.directory / f"{host}.ini"
        path.write_text(
            self.settings.format(name=host, host=host, platform=self.platform.address)
        )
        command = [sys.executable, "-m", "hemlockstand.daemon", "--fleet"]
        self.processes[host] = subprocess.Popen(
            [*command, "--settings", str(path)], stdout=subprocess.DEVNULL
        )

    async def call(self, host: str, method: str, path: str, **values) -> httpx.Response:
        """Send a daemon a request as a caller does."""
        headers = {"Host": "desk.example", "Authorization": "Bearer the-key"}
        headers.update(values.pop("headers", {}))
        return await self.client.request(
            method, f"http://{host}:8100{path}", headers=headers, **values
        )

    async def wait_ready(self, host: str) -> None:
        """Wait until a daemon reports that it is ready."""
        with trio.fail_after(START_SECONDS):
            while True:
                try:
                    reply = await self.client.get(f"http://{host}:8101/ready")
                    if reply.status_code == 200:
                        return
                except httpx.TransportError:
                    pass
                await trio.sleep(0.05)

    async def wait_state(self, host: str, job: str, state: str) -> None:
        """Wait until a daemon shows callers the job in ``state``."""
        with trio.fail_after(START_SECONDS):
            while True:
                reply = await self.call(host, "GET", f"/quotes/{job}")
                if reply.status_code == 200 and reply.json()["State"] == state:
                    return
                await trio.sleep(0.05)


@asynccontextmanager
async def open_fleet(directory: Path, daemons: int = 1, settings: str = SETTINGS):
    """Yield a fleet and its hosts once all daemons are ready."""
    network = reserve_network()
    hosts = [network.host(1, position + 2) for position in range(daemons)]
    platform = FleetPlatform(f"{network.host(1, 1)}:9000")
    platform.store.put("op", "config", json.dumps(CONFIG).encode())
    platform.add_executor("quotes")
    async with trio.open_nursery() as nursery:
        await nursery.start(platform.serve)
        async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
            fleet = Fleet(platform, directory, client, settings=settings)
            try:
                for host in hosts:
                    fleet.start(host)
                for host in hosts:
                    await fleet.wait_ready(host)
                yield fleet, hosts
            finally:
                for process in fleet.processes.values():
                    process.kill()
                    process.wait()
                network.close()
        nursery.cancel_scope.cancel()


def make_job(**values) -> dict:
    """Return the body of a job with two steps."""
    step = {"Count": 2, "Cpu": 1000, "MemMb": 256, "EstimatedMs": 500}
    return {"TaskSpec": "text", "Steps": [step, {**step, "After": [0]}], **values}


def sum_metric(text: str, name: str) -> float:
    """Return the sum of a metric over its labels."""
    lines = (line for line in text.splitlines() if line.startswith(f"{name}{{"))
    return sum(float(line.rpartition(" ")[2]) for line in lines)


async def test_job_runs_through(tmp_path):
    """Guards against a break anywhere on the path from caller to executor."""
    async with open_fleet(tmp_path) as (fleet, (host,)):
        job = "00000000000000a1"
        reply = await fleet.call(host, "POST", f"/quotes/{job}", json=make_job())
        assert reply.status_code == 200
        again = await fleet.call(host, "POST", f"/quotes/{job}", json=make_job())
        assert again.status_code == 200
        await fleet.wait_state(host, job, "completed")
        assert len(fleet.platform.records) == 4
        assert {run.payload for run in fleet.platform.records} == {"text"}
        metrics = await fleet.client.get(f"http://{host}:8102/metrics")
        assert sum_metric(metrics.text, "hemlockstand_starts_total") == 4


async def test_answers_to_bad_calls(tmp_path):
    """Guards against bad input that is stored, misreported or ends a daemon."""
    async with open_fleet(tmp_path) as (fleet, (host,)):
        call = partial(fleet.call, host)
        job = "/quotes/00000000000000a2"
        step = {"Count": 1, "Cpu": 1}
        bodies = [
            b"{",
            b"[]",
            b"{}",
            b'{"Steps":[{"Count":0}]}',
            b'{"Steps":[{"Count":-1}]}',
            b'{"Steps":[{"Count":1,"Cpu":-5}]}',
            b'{"Steps":[{"Count":1,"Cpu":"much"}]}',
            json.dumps({"Steps": [{**step, "After": [0]}]}).encode(),
            json.dumps({"Steps": [{**step, "After": [1]}, step]}).encode(),
            json.dumps({"TaskSpec": "x" * 4001, "Steps": [step]}).encode(),
            json.dumps({"Steps": [{"Count": 100_000, "Cpu": 1}]}).encode(),
            *(b"[" * depth + b"]" * depth for depth in (300, 900, 4_000, 9_000)),
            *(
                b'{"Steps":[{"Count":' + b"[" * depth + b"]" * depth + b"}]}"
                for depth in (300, 900, 4_000)
            ),
        ]
        for body in bodies:
            reply = await call("POST", job, content=body)
            assert reply.status_code == 400, body
            assert reply.json()["Error"]
        large = make_job(TaskSpec="x" * 30_000)
        assert (await call("POST", job, json=large)).status_code == 413
        assert (await call("POST", "/quotes/xyz", json=make_job())).status_code == 400
        wrong = {"Authorization": "Bearer wrong"}
        reply = await call("POST", job, json=make_job(), headers=wrong)
        assert reply.status_code == 401
        reply = await call("POST", "/other/00000000000000a2", json=make_job())
        assert reply.status_code == 404
        reply = await call("GET", job, headers={"Host": "other.example"})
        assert reply.status_code == 404
        assert (await call("GET", job)).status_code == 410
        assert (await call("DELETE", job)).status_code == 410
        assert (await call("GET", "/quotes/")).json() == {"Pending": 0}
        reply = await call("GET", "/quotes/open/", headers=wrong)
        assert reply.status_code == 200
        assert not fleet.platform.records


async def test_cancel_ends_a_job(tmp_path):
    """Guards against a cancel that is acknowledged but not carried out."""
    async with open_fleet(tmp_path) as (fleet, (host,)):
        step = {"Count": 3, "Cpu": 1000, "MemMb": 1, "LongRunning": True}
        job = "00000000000000a3"
        await fleet.call(host, "POST", f"/quotes/{job}", json={"Steps": [step]})
        await fleet.wait_state(host, job, "running")
        reply = await fleet.call(host, "DELETE", f"/quotes/{job}")
        assert reply.json() == {"State": "cancelled"}
        reply = await fleet.call(host, "DELETE", f"/quotes/{job}")
        assert reply.status_code == 200
        await fleet.wait_state(host, job, "cancelled")


async def test_job_survives_the_kill_of_all_daemons(tmp_path):
    """Guards against an accepted job that exists only in a daemon's memory."""
    async with open_fleet(tmp_path, daemons=2) as (fleet, hosts):
        job = "00000000000000a4"
        await fleet.call(hosts[0], "POST", f"/quotes/{job}", json=make_job())
        for process in fleet.processes.values():
            process.kill()
            process.wait()
        fleet.start(hosts[1])
        await fleet.wait_ready(hosts[1])
        await fleet.wait_state(hosts[1], job, "completed")
        assert len(fleet.platform.records) >= 4


async def test_stop_hands_over_and_exits_cleanly(tmp_path):
    """Guards against a daemon that ignores SIGTERM or exits with its lease."""
    async with open_fleet(tmp_path) as (fleet, (host,)):
        job = "00000000000000a5"
        await fleet.call(host, "POST", f"/quotes/{job}", json=make_job())
        await fleet.wait_state(host, job, "completed")
        process = fleet.processes[host]
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        code = await trio.to_thread.run_sync(process.wait)
        assert code == 0
        lease = json.loads(fleet.platform.store.find("scheduler", "lease").value)
        assert lease["holder"] == ""


async def test_reload_signal_during_the_start_is_survived(tmp_path):
    """Guards against SIGHUP that ends a daemon before it handles signals.

    The interpreter itself has until then 0.3 s to start.
    """
    async with open_fleet(tmp_path, daemons=0) as (fleet, _):
        host = fleet.platform.address.partition(":")[0]
        fleet.start(host)
        process = fleet.processes[host]
        await trio.sleep(0.3)
        for _ in range(20):
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.05)
            assert process.poll() is None
        await fleet.wait_ready(host)


@pytest.mark.parametrize("text", ["", "[daemon]\nname = x\n", "nonsense"])
def test_bad_settings_are_named(tmp_path, text):
    """Guards against a daemon that starts with incomplete or bad settings."""
    path = tmp_path / "bad.ini"
    path.write_text(text)
    command = [sys.executable, "-m", "hemlockstand.daemon", "--fleet"]
    done = subprocess.run(
        [*command, "--settings", str(path)], capture_output=True, text=True
    )
    assert done.returncode == 2
    assert str(path) in done.stderr
