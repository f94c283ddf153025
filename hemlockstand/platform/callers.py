"""Decodes the requests of callers and encodes the answers to them."""

from math import isfinite
from typing import Any

import msgspec
from attrs import frozen

from hemlockstand.errors import InvalidInput
from hemlockstand.fleet.model import JobState

DEFAULT_WAIT_SECONDS = 3.0  # for requests without a Deadline-Ms header
_BEARER = "Bearer "


@frozen
class Call:
    """A caller's request; ``key`` is empty if it has none."""

    method: str
    host: str
    path: str
    key: str
    remaining_seconds: float


def read_call(request: Any) -> Call:
    """Return the decoded head of a request.

    Raises ``InvalidInput`` if ``Deadline-Ms`` is not a time.
    """
    authorization = request.headers.get("Authorization", "")
    key = ""
    if authorization.startswith(_BEARER):
        key = authorization[len(_BEARER) :]
    host = request.headers.get("Host", "").partition(":")[0]
    seconds = _read_wait_seconds(request.headers.get("Deadline-Ms", ""))
    return Call(request.method, host, request.path, key, seconds)


def _read_wait_seconds(text: str) -> float:
    if not text:
        return DEFAULT_WAIT_SECONDS
    try:
        wait_ms = float(text)
    except ValueError:
        wait_ms = -1.0
    if not isfinite(wait_ms) or wait_ms < 0:
        raise InvalidInput(f"Deadline-Ms: {text[:40]!r} is not a number of ms")
    return wait_ms / 1000


def encode_state(state: JobState) -> bytes:
    """Return the body of an answer with a job's state."""
    return msgspec.json.encode({"State": state.value})


def encode_pending(count: int) -> bytes:
    """Return the body of an answer with a queue's number of pending jobs.

    These are the jobs that have not started.
    """
    return msgspec.json.encode({"Pending": count})


def encode_error(detail: str) -> bytes:
    """Return the body of a refusal."""
    return msgspec.json.encode({"Error": detail})
