"""Decodes the platform's documents into the product's types.

Documents come from the operator, the executors and callers. A document that
cannot be read raises ``InvalidInput``, which names the field; unknown fields
are ignored.
"""

import re
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from hemlockstand.errors import InvalidInput
from hemlockstand.fleet.model import (
    Advice,
    ExecutorEntry,
    FleetConfig,
    InstanceEntry,
    InstanceState,
    JobSpec,
    Pool,
    Queue,
    Resources,
    Step,
    Tenant,
    Wave,
)

JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_PAYLOAD_BYTES = 4000
MAX_SUBTASKS = 20_000  # more would not fit into the memory of a scheduler
_MISSING: Any = object()


def decode_object(content: bytes, what: str) -> Mapping[str, Any]:
    """Return a JSON object; raises ``InvalidInput``."""
    try:
        body = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidInput(f"{what}: is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise InvalidInput(f"{what}: is not an object")
    return body


class Fields:
    """Typed access to the fields of an object."""

    def __init__(self, body: Any, what: str) -> None:
        if not isinstance(body, dict):
            raise InvalidInput(f"{what}: is not an object")
        self._body = body
        self._what = what

    def text(self, name: str, default: str = _MISSING) -> str:
        """Return a text."""
        return self._get(name, str, default)

    def flag(self, name: str) -> bool:
        """Return a truth value; an absent one is false."""
        return self._get(name, bool, False)

    def whole(self, name: str, default: int = _MISSING) -> int:
        """Return a whole number that is not negative."""
        number = self._get(name, int, default)
        if isinstance(number, bool) or (number is not None and number < 0):
            raise InvalidInput(f"{self._what}: {name} is {number!r}")
        return number

    def number(self, name: str, default: float = _MISSING) -> float:
        """Return a number that is not negative."""
        number = self._get(name, (int, float), default)
        if isinstance(number, bool) or number < 0:
            raise InvalidInput(f"{self._what}: {name} is {number!r}")
        return float(number)

    def items(self, name: str) -> Sequence[Any]:
        """Return a list; an absent one is empty."""
        return self._get(name, list, [])

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts."""
        items = self.items(name)
        if not all(isinstance(item, str) for item in items):
            raise InvalidInput(f"{self._what}: {name} has an entry that is no text")
        return tuple(items)

    def resources(self, name: str) -> Resources:
        """Return a nested object of resources; an absent one is empty."""
        body = self._body.get(name)
        if body is None:
            return Resources()
        return decode_resources(Fields(body, f"{self._what}: {name}"))

    def get(self, name: str) -> Any:
        """Return a field of any type; None if it is absent."""
        return self._body.get(name)

    def _get(self, name: str, kind: Any, default: Any) -> Any:
        value = self._body.get(name)
        if value is None:
            if default is _MISSING:
                raise InvalidInput(f"{self._what}: {name} is missing")
            return default
        if not isinstance(value, kind):
            raise InvalidInput(f"{self._what}: {name} is {value!r}")
        return value


def decode_resources(fields: Fields) -> Resources:
    """Return resources; absent ones count as 0."""
    return Resources(
        fields.whole("Cpu", 0), fields.whole("MemMb", 0), fields.whole("Gpu", 0)
    )


def decode_config(content: bytes) -> FleetConfig:
    """Return the operator's configuration."""
    fields = Fields(decode_object(content, "op/config"), "op/config")
    pools = (decode_pool(item) for item in fields.items("Services"))
    tenants = (decode_tenant(item) for item in fields.items("Tenants"))
    limits = Fields(fields.get("Limits") or {}, "op/config: Limits")
    return FleetConfig(
        version=fields.whole("ConfigVersion"),
        queues=tuple(decode_queue(item) for item in fields.items("Routes")),
        pools={pool.name: pool for pool in pools},
        tenants={tenant.name: tenant for tenant in tenants},
        max_body_bytes=limits.whole("MaxBodyBytes", 262_144),
    )


def decode_queue(item: Any) -> Queue:
    """Return a queue; its ``Backend`` is the pool that runs its subtasks."""
    fields = Fields(item, "op/config: route")
    advice = fields.get("Advice")
    return Queue(
        name=fields.text("Name"),
        host=fields.text("Hostname", ""),
        prefix=fields.text("Prefix"),
        pool=fields.text("Backend"),
        public=fields.flag("Public"),
        priority=fields.whole("Priority", 0),
        attempts=max(1, fields.whole("Attempts", 1)),
        slack_factor=fields.number("SlackFactor", 1.0),
        objective_ms=fields.whole("SloMs", 0),
        advice=None if advice is None else decode_advice(advice),
    )


def decode_advice(item: Any) -> Advice:
    """Return the terms of a queue's advice."""
    fields = Fields(item, "op/config: advice")
    return Advice(
        fields.whole("DecisionMs", 0),
        fields.whole("PeriodMs", 0),
        fields.whole("ValidityMs", 0),
    )


def decode_pool(item: Any) -> Pool:
    """Return a pool of executors."""
    fields = Fields(item, "op/config: service")
    return Pool(
        fields.text("Name"), fields.flag("AdmissionCheck"), fields.flag("Standby")
    )


def decode_tenant(item: Any) -> Tenant:
    """Return a tenant; 0 in its maximum means no limit."""
    fields = Fields(item, "op/config: tenant")
    return Tenant(
        name=fields.text("Name"),
        keys=frozenset(fields.texts("ApiKeys")),
        weight=fields.number("Weight", 1.0),
        maximum=fields.resources("Maximum"),
    )


def decode_executor(executor: str, content: bytes) -> ExecutorEntry:
    """Return an executor's entry in the store."""
    what = f"servers/{executor}"
    fields = Fields(decode_object(content, what), what)
    state = fields.text("State")
    if state not in ("ready", "draining"):
        raise InvalidInput(f"{what}: State is {state!r}")
    return ExecutorEntry(
        id=executor,
        pool=fields.text("Backend"),
        address=fields.text("Address"),
        data_centre=fields.text("Zone", ""),
        draining=state == "draining",
        remaining_ms=fields.whole("RemainingMs", None),
        born_ms=fields.whole("born", None),
        capacity=fields.resources("Capacity"),
        labels=fields.texts("Labels"),
    )


def decode_instance(item: Any) -> InstanceEntry:
    """Return an instance of the machines' list."""
    fields = Fields(item, "machines")
    state = fields.text("State")
    if state not in set(InstanceState):
        raise InvalidInput(f"machines: State is {state!r}")
    return InstanceEntry(
        name=fields.text("Machine"),
        pool=fields.text("Pool"),
        state=InstanceState(state),
        data_centre=fields.text("Zone", ""),
        labels=fields.texts("Labels"),
        capacity=fields.resources("Capacity"),
        executor=fields.text("Id", ""),
    )


def decode_wave(content: bytes) -> Wave:
    """Return a request to maintain instances."""
    fields = Fields(decode_object(content, "op/wave"), "op/wave")
    return Wave(
        number=fields.whole("Wave"),
        instances=fields.texts("Machines"),
        duration_s=fields.number("DurationS"),
        maximum=fields.whole("Maximum"),
    )


def encode_wave_status(completed: bool) -> bytes:
    """Return what the operator reads of a wave."""
    state = "completed" if completed else "running"
    return msgspec.json.encode({"State": state})


def decode_submission(
    content: bytes, job: str, queue: Queue, tenant: str, now_ms: int
) -> JobSpec:
    """Return the job that a caller submits; raises ``InvalidInput``."""
    fields = Fields(decode_object(content, "job"), "job")
    items = fields.items("Steps")
    if not items:
        raise InvalidInput("job: Steps is missing")
    steps = tuple(decode_step(item, position) for position, item in enumerate(items))
    if len(fields.text("TaskSpec", "").encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidInput(f"job: TaskSpec has over {MAX_PAYLOAD_BYTES} bytes")
    repeats = fields.whole("RepeatCount", 0)
    interval_ms = fields.whole("IntervalMs", 0)
    if sum(step.count for step in steps) * max(1, repeats) > MAX_SUBTASKS:
        raise InvalidInput(f"job: has over {MAX_SUBTASKS} subtasks")
    return JobSpec(
        id=job,
        queue=queue.name,
        pool=queue.pool,
        tenant=tenant,
        payload=fields.text("TaskSpec", ""),
        steps=steps,
        repeats=repeats,
        start_at_ms=fields.whole("StartAtMs", 0),
        interval_ms=interval_ms,
        accepted_ms=now_ms,
    )


def decode_step(item: Any, position: int) -> Step:
    """Return a step; steps in ``After`` stand before it."""
    what = f"job: Steps[{position}]"
    fields = Fields(item, what)
    after = fields.items("After")
    if not all(type(earlier) is int and 0 <= earlier < position for earlier in after):
        raise InvalidInput(f"{what}: After is {after!r}")
    count = fields.whole("Count")
    if count == 0:
        raise InvalidInput(f"{what}: Count is 0")
    return Step(
        count=count,
        size=decode_resources(fields),
        estimate_ms=fields.whole("EstimatedMs", 0),
        after=tuple(after),
        checkpoints=fields.flag("Checkpointing"),
        gang=fields.flag("Gang"),
        same_rack=fields.flag("SameRack"),
        label=fields.text("Requirements", ""),
        data_rack=fields.text("DataRack", ""),
        max_per_executor=fields.whole("MaxPerServer", 0),
        speculative=fields.flag("Speculative"),
        lasting=fields.flag("LongRunning"),
        image=fields.text("Image", ""),
        target_ms=fields.whole("TargetMs", 0),
        fills=fields.flag("Fills"),
        max_unavailable=fields.whole("MaxUnavailable", 0),
    )
