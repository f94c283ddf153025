"""A daemon starts from what the first deployments give, and derives the rest."""

import json
import os
import re
import resource
import subprocess
import sys
import tomllib
from collections import Counter
from collections.abc import Iterator, Mapping
from pathlib import Path
from threading import Timer

import pytest

from hemlockstand.errors import SettingsError
from hemlockstand.fleet.settings import load_fleet_settings
from hemlockstand.settings import name_variable
from test.test_fleet_daemon import make_job, open_fleet

ROOT = Path(__file__).parent.parent
# What the template asked for at 6d91e6d. Deployments and stand-ins that were set
# up then give these fields and no others.
GIVEN = {
    "NodeName": "{name}",
    "Zone": "dc1",
    "Limits.CpuShare": "0.537",
    "Limits.Cores": "2",
    "ListenAddrs.Frontend": "{host}:8100",
    "ListenAddrs.Readiness": "{host}:8101",
    "Ip": "{host}",
    "InternalPorts.0": "8102",
    "platform.Address": "{platform}",
    "CloudApi.Address": "{platform}",
    "Advice": "",
    "Bounds.HoldMaxMs": "10000",
    "Bounds.ConfigApplyMs": "2000",
    "Bounds.GraceS": "6",
    "Bounds.status_s": "120",
    "Bounds.StabilityMs": "3000",
    "Bounds.StopMs": "400",
    "Bounds.LeaseMs": "3000",
}
EARLIER_TEMPLATE = """[daemon]
name = {{NodeName}}
data_centre = {{Zone}}
processor_share = {{Limits.CpuShare}}
processor_speed = {{Limits.Cores}}

[listen]
callers = {{ListenAddrs.Frontend}}
readiness = {{ListenAddrs.Readiness}}
metrics = {{Ip}}:{{InternalPorts.0}}

[platform]
store = {{platform.Address}}
instances = {{CloudApi.Address}}
advice = {{Advice}}

[bounds]
longest_hold_ms = {{Bounds.HoldMaxMs}}
config_apply_ms = {{Bounds.ConfigApplyMs}}
grace_s = {{Bounds.GraceS}}
status_s = {{Bounds.status_s}}
stability_ms = {{Bounds.StabilityMs}}
stop_ms = {{Bounds.StopMs}}
order_turn_ms = {{Bounds.LeaseMs}}
"""
EMPTY = "[clients]\nmemory_mb =\nmax_descriptors =\n"
PLACEHOLDER = re.compile(r"\{\{(.*?)\}\}")
OPTIONAL = ("bounds evacuate_ms", "clients memory_mb", "clients max_descriptors")
LOG_SECONDS = 6  # after which a daemon has logged its start
SMALL_LIMITS = {"memory_mb": 900, "max_descriptors": 200}


def read_template() -> str:
    """Return the template of the settings in the repository."""
    return (ROOT / "deploy" / "settings.ini").read_text(encoding="utf-8")


def fill(template: str) -> str:
    """Return a template filled in by a deployment that gives ``GIVEN`` alone."""
    return PLACEHOLDER.sub(lambda match: GIVEN.get(match[1], ""), template)


def write_settings(directory: Path, template: str, extra: str = "") -> Path:
    """Write the settings of a daemon that is not started."""
    path = directory / "a.ini"
    values = {"name": "a", "host": "127.0.0.1", "platform": "127.0.0.1:1"}
    path.write_text(fill(template).format(**values) + extra)
    return path


@pytest.fixture(autouse=True)
def no_variables(monkeypatch):
    """Remove the variables that stand in for settings."""
    for words in OPTIONAL:
        monkeypatch.delenv(name_variable(*words.split()), raising=False)


def test_template_asks_for_what_every_deployment_gives():
    """Guards against an upgrade that an existing deployment cannot fill in.

    A stand-in that knows the earlier fields refuses a template with others.
    """
    assert set(PLACEHOLDER.findall(read_template())) <= GIVEN.keys()


def test_deployments_pass_on_what_they_give():
    """Guards against limits that are derived although the platform gives them."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert deploy["roles"]["entry"]["env"] == {
        name_variable("bounds", "evacuate_ms"): "{{Bounds.EvacuateMs}}",
        name_variable("clients", "memory_mb"): "{{Limits.MemoryMb}}",
        name_variable("clients", "max_descriptors"): "{{Limits.MaxFds}}",
    }


@pytest.mark.parametrize("template", [EARLIER_TEMPLATE, read_template()])
async def test_daemon_starts_from_earlier_settings(tmp_path, template):
    """Guards against a daemon that an upgrade prevents from starting."""
    async with open_fleet(tmp_path, settings=fill(template)) as (fleet, (host,)):
        job = "00000000000000a1"
        reply = await fleet.call(host, "POST", f"/quotes/{job}", json=make_job())
        assert reply.status_code == 200
        await fleet.wait_state(host, job, "completed")


@pytest.mark.parametrize("extra", ["", EMPTY])
def test_empty_means_not_given(tmp_path, extra):
    """Guards against a template without a value that stops the daemon."""
    template = f"{EARLIER_TEMPLATE}evacuate_ms =\n"
    settings = load_fleet_settings(write_settings(tmp_path, template, extra))
    assert settings.bounds.evacuate_ms is None
    assert settings.clients.memory_mb >= 64
    assert 64 <= settings.clients.max_descriptors <= 1024


@pytest.mark.parametrize(
    ("section", "key", "value"),
    [
        ("bounds", "evacuate_ms", "soon"),
        ("clients", "memory_mb", "-1"),
        ("clients", "max_descriptors", "63"),
    ],
)
def test_wrong_value_is_refused(tmp_path, monkeypatch, section, key, value):
    """Guards against a wrong value that is taken as one that is not given."""
    variable = name_variable(section, key)
    monkeypatch.setenv(variable, value)
    path = write_settings(tmp_path, EARLIER_TEMPLATE)
    with pytest.raises(SettingsError) as caught:
        load_fleet_settings(path)
    assert f"{path}: [{section}] {key} = {value!r} ({variable}): must be" in str(
        caught.value
    )
    monkeypatch.delenv(variable)
    text = EARLIER_TEMPLATE
    text += "" if section == "bounds" else f"[{section}]\n"
    path = write_settings(tmp_path, f"{text}{key} = {value}\n")
    with pytest.raises(SettingsError) as caught:
        load_fleet_settings(path)
    assert f"{path}: [{section}] {key} = {value!r}: must be" in str(caught.value)


def test_variables_stand_in_for_what_the_file_lacks(tmp_path, monkeypatch):
    """Guards against a deployment whose real limits are not used."""
    monkeypatch.setenv(name_variable("clients", "memory_mb"), "300")
    monkeypatch.setenv(name_variable("clients", "max_descriptors"), "4100")
    monkeypatch.setenv(name_variable("bounds", "evacuate_ms"), "5000")
    extra = "[clients]\nmemory_mb = 250\nmax_descriptors =\n"
    path = write_settings(tmp_path, EARLIER_TEMPLATE, extra)
    settings = load_fleet_settings(path)
    assert settings.clients.memory_mb == 250
    assert settings.clients.max_descriptors == 4100
    assert settings.bounds.evacuate_ms == 5000


def limit_process() -> None:
    """Lower the limits of the process that is about to start."""
    size = SMALL_LIMITS["memory_mb"] << 20
    resource.setrlimit(resource.RLIMIT_AS, (size, size))
    count = SMALL_LIMITS["max_descriptors"]
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))


def start_limited(path: Path, variables: Mapping[str, str]) -> Iterator[dict]:
    """Yield the log lines of a limited daemon that has no store."""
    command = [sys.executable, "-m", "hemlockstand.daemon", "--fleet", "--settings"]
    with subprocess.Popen(
        [*command, str(path)],
        cwd=ROOT,
        env={**os.environ, **variables},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        preexec_fn=limit_process,
    ) as process:
        timer = Timer(LOG_SECONDS, process.kill)
        timer.start()
        try:
            for line in process.stdout:
                yield json.loads(line)
        finally:
            timer.cancel()
            process.kill()


def find_value(lines: Iterator[dict], key: str) -> dict:
    """Return the first log line that gives a setting and its source."""
    found = next((line for line in lines if line.get("setting") == key), None)
    assert found is not None, f"{key} is not logged"
    return found


@pytest.mark.parametrize("key", ["memory_mb", "max_descriptors"])
def test_limits_of_the_process_are_used(tmp_path, key):
    """Guards against defaults above what the process has, which clients exhaust."""
    path = write_settings(tmp_path, EARLIER_TEMPLATE)
    path.write_text(path.read_text() + "[log]\nformat = json\n")
    line = find_value(start_limited(path, {}), f"[clients] {key}")
    assert 64 <= line["value"] <= SMALL_LIMITS[key]
    assert line["source"]
    given = {name_variable("clients", key): "80"}
    line = find_value(start_limited(path, given), f"[clients] {key}")
    assert (line["value"], line["source"]) == (80, name_variable("clients", key))


def test_sources_are_logged_once(tmp_path):
    """Guards against a start that does not show which limits are in force."""
    path = write_settings(tmp_path, EARLIER_TEMPLATE)
    lines = start_limited(path, {})
    names = Counter(line["setting"] for line in lines if "setting" in line)
    assert names == {"[{}] {}".format(*words.split()): 1 for words in OPTIONAL}
