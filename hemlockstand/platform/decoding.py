"""Decodes the platform's documents into the product's types.

Documents come from the operator, the executors and callers. A document that
cannot be decoded raises ``InvalidInput`` with the name of the field; unknown
fields are ignored.
"""

import re
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from hemlockstand.documents import check_counts, decode_document
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

ADDRESS = re.compile(r"[!-~]{1,253}:([0-9]{1,5})")
EVACUATION_PREFIX = "evacuate/"
EXECUTOR_ID = re.compile(r"[!-~]+")  # sent in a header
JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_PAYLOAD_BYTES = 4000
MAX_SUBTASKS = 20_000  # per job; more do not fit into a scheduler's memory
# Larger numbers of milliseconds have no exact floating-point number of seconds,
# and from 2 ** 1024 on none at all.
MAX_INTEGER = 2**53
MAX_PORT = 65_535
MAX_QUOTED_CHARACTERS = 80  # of a value in an error message
_MISSING: Any = object()
_decoder = msgspec.json.Decoder()


def decode_object(content: bytes, what: str) -> Mapping[str, Any]:
    """Return a JSON object; raises ``InvalidInput``."""
    try:
        body = decode_document(_decoder, content)
    except msgspec.DecodeError as error:
        raise InvalidInput(f"{what}: is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise InvalidInput(f"{what}: is not an object")
    return body


class Fields:
    """Typed access to the fields of an object.

    A field that is missing and has no default, or has another type, raises
    ``InvalidInput`` with ``what``, the name of the object.
    """

    def __init__(self, body: Any, what: str) -> None:
        if not isinstance(body, dict):
            raise InvalidInput(f"{what}: is not an object")
        self._body = body
        self._what = what

    def string(self, name: str, default: str = _MISSING) -> str:
        """Return a string."""
        return self._get(name, str, default)

    def boolean(self, name: str) -> bool:
        """Return a boolean; an absent one is false."""
        return self._get(name, bool, False)

    def integer(self, name: str, default: int = _MISSING) -> int:
        """Return an integer from 0 to ``MAX_INTEGER``."""
        number = self._get(name, int, default)
        if isinstance(number, bool) or (
            number is not None and not 0 <= number <= MAX_INTEGER
        ):
            raise InvalidInput(f"{self._what}: {name} is {quote_value(number)}")
        return number

    def number(self, name: str, default: float = _MISSING) -> float:
        """Return a number from 0 to ``MAX_INTEGER``."""
        number = self._get(name, (int, float), default)
        if isinstance(number, bool) or not 0 <= number <= MAX_INTEGER:
            raise InvalidInput(f"{self._what}: {name} is {quote_value(number)}")
        return float(number)

    def items(self, name: str) -> Sequence[Any]:
        """Return a list; an absent one is empty."""
        return self._get(name, list, [])

    def strings(self, name: str) -> tuple[str, ...]:
        """Return a list of strings; an absent one is empty."""
        items = self.items(name)
        if not all(isinstance(item, str) for item in items):
            raise InvalidInput(f"{self._what}: {name} has an entry that is no text")
        return tuple(items)

    def resources(self, name: str) -> Resources:
        """Return nested resources; absent ones count as 0."""
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
            raise InvalidInput(f"{self._what}: {name} is {quote_value(value)}")
        return value


def quote_value(value: Any) -> str:
    """Return a decoded value for an error message, shortened.

    Of a list or an object only the type is given, since ``repr`` fails for one
    that is nested deeply.
    """
    match value:
        case list() | dict():
            return f"a {type(value).__name__}"
        case str():
            return repr(value[:MAX_QUOTED_CHARACTERS])
        case _:
            return repr(value)[:MAX_QUOTED_CHARACTERS]


def decode_resources(fields: Fields) -> Resources:
    """Return the resources of an object; absent ones count as 0."""
    return Resources(
        fields.integer("Cpu", 0), fields.integer("MemMb", 0), fields.integer("Gpu", 0)
    )


def decode_config(content: bytes) -> FleetConfig:
    """Return the operator's configuration."""
    fields = Fields(decode_object(content, "op/config"), "op/config")
    pools = (decode_pool(item) for item in fields.items("Services"))
    tenants = (decode_tenant(item) for item in fields.items("Tenants"))
    limits = Fields(fields.get("Limits") or {}, "op/config: Limits")
    return FleetConfig(
        version=fields.integer("ConfigVersion"),
        queues=tuple(decode_queue(item) for item in fields.items("Routes")),
        pools={pool.name: pool for pool in pools},
        tenants={tenant.name: tenant for tenant in tenants},
        max_body_bytes=limits.integer("MaxBodyBytes", 262_144),
    )


def decode_queue(item: Any) -> Queue:
    """Return a queue; ``Backend`` is the pool that runs its subtasks."""
    fields = Fields(item, "op/config: route")
    advice = fields.get("Advice")
    return Queue(
        name=fields.string("Name"),
        host=fields.string("Hostname", ""),
        prefix=fields.string("Prefix"),
        pool=fields.string("Backend"),
        public=fields.boolean("Public"),
        priority=fields.integer("Priority", 0),
        attempts=max(1, fields.integer("Attempts", 1)),
        slack_factor=fields.number("SlackFactor", 1.0),
        objective_ms=fields.integer("SloMs", 0),
        advice=None if advice is None else decode_advice(advice),
    )


def decode_advice(item: Any) -> Advice:
    """Return the terms of a queue's advice."""
    fields = Fields(item, "op/config: advice")
    return Advice(
        fields.integer("DecisionMs", 0),
        fields.integer("PeriodMs", 0),
        fields.integer("ValidityMs", 0),
    )


def decode_pool(item: Any) -> Pool:
    """Return a pool of executors."""
    fields = Fields(item, "op/config: service")
    return Pool(
        fields.string("Name"),
        fields.boolean("AdmissionCheck"),
        fields.boolean("Standby"),
        fields.number("ColdStartS", 0.0),
        fields.number("ColdPerS", 0.0),
    )


def decode_tenant(item: Any) -> Tenant:
    """Return a tenant; 0 in its maximum means no limit."""
    fields = Fields(item, "op/config: tenant")
    return Tenant(
        name=fields.string("Name"),
        keys=frozenset(fields.strings("ApiKeys")),
        weight=fields.number("Weight", 1.0),
        maximum=fields.resources("Maximum"),
    )


def decode_executor(executor: str, content: bytes) -> ExecutorEntry:
    """Return an executor's entry in the store."""
    what = f"servers/{quote_value(executor)}"
    if EXECUTOR_ID.fullmatch(executor) is None:
        raise InvalidInput(f"{what}: the key is no id")
    fields = Fields(decode_object(content, what), what)
    state = fields.string("State")
    if state not in ("ready", "draining"):
        raise InvalidInput(f"{what}: State is {quote_value(state)}")
    address = fields.string("Address")
    if not is_address(address):
        raise InvalidInput(f"{what}: Address is {quote_value(address)}")
    return ExecutorEntry(
        id=executor,
        pool=fields.string("Backend"),
        address=address,
        data_centre=fields.string("Zone", ""),
        draining=state == "draining",
        remaining_ms=fields.integer("RemainingMs", None),
        born_ms=fields.integer("born", None),
        capacity=fields.resources("Capacity"),
        labels=fields.strings("Labels"),
        cold_remaining_ms=int(fields.number("ColdRemainingMs", 0.0)),
    )


def is_address(text: str) -> bool:
    """Return whether a text is a host and a port."""
    match = ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) <= MAX_PORT


def decode_instance(item: Any) -> InstanceEntry:
    """Return an instance of the machine list."""
    fields = Fields(item, "machines")
    state = fields.string("State")
    if state not in set(InstanceState):
        raise InvalidInput(f"machines: State is {quote_value(state)}")
    return InstanceEntry(
        name=fields.string("Machine"),
        pool=fields.string("Pool"),
        state=InstanceState(state),
        data_centre=fields.string("Zone", ""),
        labels=fields.strings("Labels"),
        capacity=fields.resources("Capacity"),
        executor=fields.string("Id", ""),
    )


def decode_wave(content: bytes) -> Wave:
    """Return a request to maintain instances."""
    fields = Fields(decode_object(content, "op/wave"), "op/wave")
    return Wave(
        number=fields.integer("Wave"),
        instances=fields.strings("Machines"),
        duration_s=fields.number("DurationS"),
        maximum=fields.integer("Maximum"),
    )


def decode_evacuation(key: str) -> str:
    """Return the data centre that the key of an operator's row evacuates.

    Any name is accepted, as only the platform knows which ones there may be.
    """
    name = key.removeprefix(EVACUATION_PREFIX)
    if not name:
        raise InvalidInput(f"op: {quote_value(key)} names no data centre")
    return name


def encode_wave_status(completed: bool) -> bytes:
    """Return the status of a wave for the operator."""
    state = "completed" if completed else "running"
    return msgspec.json.encode({"State": state})


def decode_submission(
    content: bytes, job: str, queue: Queue, tenant: str, now_ms: int
) -> JobSpec:
    """Return the job that a caller submits; raises ``InvalidInput``."""
    try:
        check_counts(content)
    except msgspec.DecodeError as error:
        raise InvalidInput(f"job: has {error}") from error
    fields = Fields(decode_object(content, "job"), "job")
    items = fields.items("Steps")
    if not items:
        raise InvalidInput("job: Steps is missing")
    steps = tuple(decode_step(item, position) for position, item in enumerate(items))
    if len(fields.string("TaskSpec", "").encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidInput(f"job: TaskSpec has over {MAX_PAYLOAD_BYTES} bytes")
    spec = JobSpec(
        id=job,
        queue=queue.name,
        pool=queue.pool,
        tenant=tenant,
        payload=fields.string("TaskSpec", ""),
        steps=steps,
        repeats=fields.integer("RepeatCount", 0),
        start_at_ms=fields.integer("StartAtMs", 0),
        interval_ms=fields.integer("IntervalMs", 0),
        accepted_ms=now_ms,
        terms=queue.terms,
    )
    _check_size(spec)
    return spec


def _check_size(spec: JobSpec) -> None:
    if sum(step.count for step in spec.steps) * spec.occurrences > MAX_SUBTASKS:
        raise InvalidInput(f"job: has over {MAX_SUBTASKS} subtasks")


def check_job(spec: JobSpec, job: str) -> None:
    """Raise ``InvalidInput`` for a stored job that no submission can give.

    Such a job, of another program or another version, would end schedulers.
    """
    if spec.id != job or JOB_ID.fullmatch(job) is None:
        raise InvalidInput(f"job: its id is {quote_value(spec.id)}")
    times = (spec.repeats, spec.start_at_ms, spec.interval_ms, spec.accepted_ms)
    if not spec.steps or not all(0 <= time <= MAX_INTEGER for time in times):
        raise InvalidInput("job: has no steps, or a time out of range")
    terms = spec.terms
    numbers = (terms.attempts, terms.priority, terms.slack_factor, terms.objective_ms)
    if not all(0 <= number <= MAX_INTEGER for number in numbers):
        raise InvalidInput("job: the terms of its queue have a number out of range")
    for position, step in enumerate(spec.steps):
        what = f"job: step {position}"
        numbers = (
            step.size.cpu_millis,
            step.size.memory_mb,
            step.size.accelerators,
            step.estimate_ms,
            step.max_per_executor,
            step.target_ms,
            step.max_unavailable,
        )
        if step.count < 1 or not all(0 <= each <= MAX_INTEGER for each in numbers):
            raise InvalidInput(f"{what}: has a number out of range")
        if not all(0 <= earlier < position for earlier in step.after):
            raise InvalidInput(f"{what}: follows a step that is not before it")
    _check_size(spec)


def decode_step(item: Any, position: int) -> Step:
    """Return a step; ``After`` may contain only positions of earlier steps."""
    what = f"job: Steps[{position}]"
    fields = Fields(item, what)
    after = fields.items("After")
    if not all(type(earlier) is int and 0 <= earlier < position for earlier in after):
        raise InvalidInput(f"{what}: After names a step that is not before it")
    count = fields.integer("Count")
    if count == 0:
        raise InvalidInput(f"{what}: Count is 0")
    return Step(
        count=count,
        size=decode_resources(fields),
        estimate_ms=fields.integer("EstimatedMs", 0),
        after=tuple(after),
        checkpoints=fields.boolean("Checkpointing"),
        gang=fields.boolean("Gang"),
        same_rack=fields.boolean("SameRack"),
        label=fields.string("Requirements", ""),
        data_rack=fields.string("DataRack", ""),
        max_per_executor=fields.integer("MaxPerServer", 0),
        speculative=fields.boolean("Speculative"),
        lasting=fields.boolean("LongRunning"),
        image=fields.string("Image", ""),
        target_ms=fields.integer("TargetMs", 0),
        fills=fields.boolean("Fills"),
        max_unavailable=fields.integer("MaxUnavailable", 0),
    )
