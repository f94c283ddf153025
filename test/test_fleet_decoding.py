"""Decoding of the platform's documents, and estimates and pace of subtasks."""

import json
import re
from contextlib import suppress
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from hemlockstand.errors import InvalidInput
from hemlockstand.fleet.durations import Durations
from hemlockstand.fleet.model import InstanceState, JobSpec, Queue, Resources, Step
from hemlockstand.fleet.pacing import choose_pace
from hemlockstand.fleet.policy.observations import RunTime
from hemlockstand.fleet.storage import encode_compact, group_rows, job_write
from hemlockstand.platform.decoding import (
    decode_config,
    decode_executor,
    decode_instance,
    decode_submission,
    decode_wave,
)
from hemlockstand.platform.rows import StoredRow

PACKAGE = Path(__file__).parent.parent / "hemlockstand"
QUEUE = Queue("r-1", "host", "/q/", "pool", False, 0, 2, 1.6, 600)
ENTRY = {
    "Backend": "pool",
    "Address": "10.0.0.1:8080",
    "Zone": "dc1",
    "State": "ready",
    "Capacity": {"Cpu": 16000, "MemMb": 32768},
    "Labels": ["a", "r1-2"],
    "born": 1784,
    "Unknown": {"x": 1},
}


def nest(text: str, depth: int) -> str:
    """Return a JSON text in lists nested that deeply."""
    return "[" * depth + text + "]" * depth


# JSON texts of any type, with numbers, strings and nesting beyond usual sizes.
ANY_VALUE = st.builds(
    nest,
    st.builds(
        json.dumps,
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats(allow_nan=False, allow_infinity=False)
        | st.text()
        | st.sampled_from([10**400, -(10**400), 2**70, "a:70000", "x" * 70 + ":1"])
        | st.dictionaries(st.text(), st.integers()),
    ),
    st.sampled_from([0, 0, 0, 1, 500, 900, 4_000, 20_000]),
)


def encode(body) -> bytes:
    """Return a document as the platform sends it."""
    return json.dumps(body).encode()


def test_executor_entry():
    """Guards against a misread entry, and errors from unknown fields."""
    entry = decode_executor("i-1", encode(ENTRY))
    assert entry.capacity == Resources(16000, 32768)
    assert (entry.rack, entry.born_ms, entry.draining) == ("r1-2", 1784, False)
    leaving = {**ENTRY, "State": "draining", "RemainingMs": 900}
    entry = decode_executor("i-1", encode(leaving))
    assert (entry.draining, entry.remaining_ms) == (True, 900)


@pytest.mark.parametrize(
    "content",
    [
        b"\x00\xff",
        b"[]",
        encode({**ENTRY, "State": "resting"}),
        encode({**ENTRY, "Backend": 5}),
        encode({**ENTRY, "Capacity": {"Cpu": "16"}}),
        encode({**ENTRY, "Address": "10.0.0.1"}),
        encode({**ENTRY, "Address": "10.0.0.1:http"}),
        encode({**ENTRY, "Address": ":70000"}),
        encode({**ENTRY, "Address": "10.0.0.1:70000"}),
        encode({**ENTRY, "Address": "10.0.0.1:0"}),
        encode({**ENTRY, "Address": "10.0.0.1\r\nX: 1:80"}),
        encode({**ENTRY, "born": 10**400}),
        encode({**ENTRY, "Capacity": {"Cpu": 10**400}}),
        b"[" * 4_000,
        encode({key: value for key, value in ENTRY.items() if key != "Address"}),
    ],
)
def test_unreadable_executor_entry_is_rejected(content):
    """Guards against an unreadable entry that is used or crashes the daemon.

    Other programs may write to the same table of the store.
    """
    with pytest.raises(InvalidInput):
        decode_executor("i-1", content)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(changes=st.dictionaries(st.sampled_from(sorted(ENTRY)), ANY_VALUE))
def test_any_executor_entry_is_decoded_or_rejected(changes):
    """Guards against an entry for which the decoder raises an unexpected error.

    Such an error would end the scheduler that reads the entry.
    """
    texts = {name: json.dumps(value) for name, value in ENTRY.items()} | changes
    body = ", ".join(f'"{name}": {text}' for name, text in texts.items())
    with suppress(InvalidInput):
        decode_executor("i-1", f"{{{body}}}".encode())


@pytest.mark.parametrize("field", ["Weight", "SlackFactor", "DurationS"])
def test_number_too_large_for_a_float_is_rejected(field):
    """Guards against a number for which the decoder raises ``OverflowError``."""
    body = {
        "ConfigVersion": 1,
        "Wave": 1,
        "Maximum": 1,
        "DurationS": 10**400,
        "Tenants": [{"Name": "a", "Weight": 10**400}] if field == "Weight" else [],
        "Routes": [{"Name": "q", "Prefix": "/", "Backend": "p", "SlackFactor": 10**400}]
        if field == "SlackFactor"
        else [],
    }
    decode = decode_wave if field == "DurationS" else decode_config
    with pytest.raises(InvalidInput, match=field):
        decode(encode(body))


def test_executor_id_that_fits_into_no_header_is_rejected():
    """Guards against a key that adds lines to the calls of the executor."""
    with pytest.raises(InvalidInput):
        decode_executor("i-1\r\nX: 1", encode(ENTRY))


def test_longest_prefix_selects_the_queue():
    """Guards against a job that goes to a queue with a shorter prefix."""
    routes = [
        {"Name": name, "Hostname": "h", "Prefix": prefix, "Backend": "pool"}
        for name, prefix in (("short", "/a/"), ("long", "/a/b/"))
    ]
    config = decode_config(encode({"ConfigVersion": 1, "Routes": routes}))
    assert config.find_queue("h", "/a/b/1").name == "long"
    assert config.find_queue("h", "/a/c").name == "short"
    assert config.find_queue("other", "/a/c") is None


def test_instance_and_wave():
    """Guards against a misread instance or wave."""
    instance = decode_instance(
        {"Machine": "m-1", "Pool": "p", "State": "moving", "Labels": ["a", "r1"]}
    )
    assert (instance.state, instance.rack) == (InstanceState.MOVING, "r1")
    wave = decode_wave(
        encode({"Wave": 2, "Machines": ["m-1"], "DurationS": 20, "Maximum": 1})
    )
    assert (wave.number, wave.instances, wave.maximum) == (2, ("m-1",), 1)


def test_job_row_round_trip():
    """Guards against a field of a job that is lost when its row is stored."""
    step = {
        "Count": 3,
        "Cpu": 500,
        "MemMb": 256,
        "Gpu": 1,
        "EstimatedMs": 900,
        "DataRack": "r1-3",
        "Requirements": "b",
        "MaxPerServer": 2,
        "Checkpointing": True,
        "Gang": True,
        "SameRack": True,
        "Speculative": True,
        "LongRunning": True,
        "Image": "im",
        "TargetMs": 40,
        "Fills": True,
        "MaxUnavailable": 1,
    }
    body = {
        "TaskSpec": "text",
        "Steps": [step, {**step, "After": [0]}],
        "RepeatCount": 2,
        "StartAtMs": 1000,
        "IntervalMs": 50,
    }
    spec = decode_submission(encode(body), "0123456789abcdef", QUEUE, "team", 7)
    row = StoredRow("jobs", "f", spec.id, job_write(spec).value, 4)
    assert group_rows([row])[spec.id].spec == spec


@pytest.mark.parametrize(
    "fields",
    [
        {"StartAtMs": 10**400, "RepeatCount": 1},
        {"IntervalMs": 2**60},
        {"Steps": [{"Count": 1, "EstimatedMs": 10**400}]},
        {"Steps": [{"Count": 1, "Cpu": 10**30}]},
    ],
)
def test_numbers_that_are_no_time_or_size_are_rejected(fields):
    """Guards against a submission that ends the scheduler.

    An integer of 2 ** 1024 or more has no floating-point number of seconds, and
    each new scheduler read the job again.
    """
    body = {"Steps": [{"Count": 1}], **fields}
    with pytest.raises(InvalidInput, match="StartAtMs|IntervalMs|EstimatedMs|Cpu"):
        decode_submission(encode(body), "0123456789abcdef", QUEUE, "team", 7)


def test_compact_rows_leave_defaults_out():
    """Guards against rows that store fields which the job does not use."""
    spec = JobSpec("0123456789abcdef", "q", "p", "t", "", ())
    assert len(encode_compact(spec)) < 100


def test_cold_executors_and_pools():
    """Guards against a slow start that the scheduler does not learn of."""
    assert decode_executor("i-1", encode(ENTRY)).cold_remaining_ms == 0
    cold = decode_executor("i-1", encode({**ENTRY, "ColdRemainingMs": 1500.5}))
    assert cold.cold_remaining_ms == 1500
    services = [{"Name": "a"}, {"Name": "b", "ColdStartS": 20, "ColdPerS": 0.5}]
    config = decode_config(encode({"ConfigVersion": 1, "Services": services}))
    pools = config.pools
    assert (pools["a"].cold_start_seconds, pools["a"].cold_starts_per_second) == (0, 0)
    assert pools["b"].cold_start_seconds == 20
    assert pools["b"].cold_starts_per_second == 0.5


def test_wire_names_stay_in_the_adapter():
    """Guards against the platform's field names outside its adapter."""
    wire = re.compile(
        r"FencingToken|rows-(tx|get|feed)|run-st(art|op)|machine-(move|upkeep)|"
        r"MaxUnavailable|TaskSpec|ColdRemainingMs|Lease-Holder|EstimatedMs|"
        r"ColdStartS|ColdPerS|evacuate/|"
        r"ConfigVersion|ExpectedRev|RowVersion|LongRunning|MaxPerServer"
    )
    found = [
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob("*.py")
        if path.parent.name != "platform" and wire.search(path.read_text())
    ]
    assert found == []


def test_estimates_count_by_their_accuracy():
    """Guards against pools that are sized by inaccurate estimates."""
    durations = Durations()

    def make_spec(queue: str, seconds: float) -> JobSpec:
        step = Step(1, Resources(), int(seconds * 1000))
        return JobSpec("a", queue, "pool", "team", "", (step,))

    for position in range(200):
        wild = make_spec("wild", 0.1 if position % 2 else 10.0)
        durations.record(wild, 0, RunTime(1.0, True))
        seconds = position % 5 + 1.0
        right = make_spec("right", seconds)
        durations.record(right, 0, RunTime(seconds, True))
    assert durations.expect(make_spec("wild", 10.0), 0).mean_seconds < 1.5
    assert 3.5 < durations.expect(make_spec("right", 4.0), 0).mean_seconds < 4.5
    assert durations.expect(make_spec("new", 4.0), 0).mean_seconds == 4.0


def test_pace_falls_fast_and_rises_slowly():
    """Guards against filling work that keeps latency above its target."""
    assert choose_pace(100, 0.9) == 50
    assert choose_pace(100, 1.2) == 25
    assert choose_pace(100, 1.3) == 0
    assert choose_pace(12, 0.9) == 0
    assert choose_pace(0, 0.2) == 15
    assert choose_pace(95, 0.2) == 100
    assert choose_pace(50, 0.6) == 50
