"""The caller protocol: HTTP headers of requests and responses for verdicts.

The header names and statuses of the protocol are defined in this module only;
replace it to support another protocol. ``docs/callers.md`` describes it.
"""

import re
from collections.abc import Iterable, Iterator, Mapping
from math import ceil

import msgspec
from attrs import field, frozen

from hemlockstand.errors import HemlockstandError
from hemlockstand.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

MAX_DEADLINE_DIGITS = 12
MAX_KEY_LENGTH = 256
MAX_NAME_LENGTH = 128
MAX_CONTENT_TYPE_LENGTH = 256

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_NAME = re.compile(r"[A-Za-z0-9._-]{1,128}")
_DIGITS = re.compile(r"[0-9]{1,12}")

# Headers that must not be repeated. A repeated one is ambiguous, and a proxy
# in front of the daemon may have checked another of its values.
_SINGLE_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "content-type",
        "traceparent",
        "x-deadline-ms",
        "x-request-id",
        "x-team",
    }
)
_TRACE_HEADERS = ("traceparent", "tracestate")

# Headers of an upstream's answer that are not passed on to the caller: those
# that concern one connection, and those that this module sets.
_UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-not-run",
        "x-request-id",
        "x-verdict",
    }
)

_STATUSES: Mapping[Reason, int] = {
    Reason.INVALID_REQUEST: 400,
    Reason.KEY_MISSING: 401,
    Reason.KEY_REFUSED: 403,
    Reason.UNKNOWN_TEAM: 403,
    Reason.UNKNOWN_QUEUE: 404,
    Reason.UNKNOWN_REQUEST: 404,
    Reason.BODY_TOO_LARGE: 413,
    Reason.LIMIT_REACHED: 429,
}
_NOT_RUN_STATUS = 503
_MAY_HAVE_RUN_STATUS = 504


# Of refusals that the application does not see; see ``present_verdict``.
REFUSAL_LINES = b"X-Verdict: not-run\r\nX-Request-Id: none\r\n"


class Refused(HemlockstandError):
    """Raised for a request that is refused before dispatch."""

    def __init__(self, verdict: NotRun) -> None:
        super().__init__(verdict.detail, code=verdict.reason.value)
        self.verdict = verdict


@frozen
class CallerHeaders:
    """The checked headers of a caller's request; ``None`` where absent."""

    request_id: str | None
    team: str | None
    key: str | None = field(repr=False)
    deadline_seconds: float | None
    content_type: str
    trace_headers: Mapping[str, str]


@frozen
class HttpAnswer:
    """A response to a caller."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes = field(repr=False)


def refuse(reason: Reason, detail: str, retry_after: float | None = None) -> Refused:
    """Return the exception that refuses a request for this reason."""
    return Refused(NotRun(reason, detail, retry_after))


def read_headers(lines: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the headers by lower-case name.

    Raises ``Refused`` if a header that must be unique is repeated.
    """
    headers: dict[str, str] = {}
    for raw_name, raw_value in lines:
        name = raw_name.decode("latin-1").lower()
        if name in headers and name in _SINGLE_HEADERS:
            raise refuse(Reason.INVALID_REQUEST, f"header {name} is repeated")
        headers[name] = raw_value.decode("latin-1").strip()
    return headers


def read_caller_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Check the caller's headers; raises ``Refused``."""
    return CallerHeaders(
        request_id=_read_matching(headers, "x-request-id", _REQUEST_ID),
        team=_read_matching(headers, "x-team", _NAME),
        key=_read_key(headers),
        deadline_seconds=_read_deadline(headers),
        content_type=_read_content_type(headers),
        trace_headers={
            name: headers[name] for name in _TRACE_HEADERS if name in headers
        },
    )


def read_request_id(headers: Mapping[str, str]) -> str | None:
    """Return the caller's request id if it is well formed."""
    value = headers.get("x-request-id", "")
    return value if _REQUEST_ID.fullmatch(value) else None


def check_request_id(value: str) -> str:
    """Return a request id from a path; raises ``Refused``."""
    if not _REQUEST_ID.fullmatch(value):
        raise refuse(Reason.INVALID_REQUEST, f"request id {value[:160]!r} is malformed")
    return value


def _read_matching(
    headers: Mapping[str, str], name: str, pattern: re.Pattern[str]
) -> str | None:
    value = headers.get(name)
    if value is not None and not pattern.fullmatch(value):
        raise refuse(
            Reason.INVALID_REQUEST,
            f"header {name} has the malformed value {value[:160]!r}",
        )
    return value


def _read_key(headers: Mapping[str, str]) -> str | None:
    value = headers.get("authorization")
    if value is None:
        return None
    scheme, _, key = value.partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not 0 < len(key) <= MAX_KEY_LENGTH:
        raise refuse(
            Reason.INVALID_REQUEST,
            "header authorization must be 'Bearer KEY' with a key of at most "
            f"{MAX_KEY_LENGTH} characters",
        )
    return key


def _read_deadline(headers: Mapping[str, str]) -> float | None:
    value = headers.get("x-deadline-ms")
    if value is None:
        return None
    if not _DIGITS.fullmatch(value) or int(value) == 0:
        raise refuse(
            Reason.INVALID_REQUEST,
            f"header x-deadline-ms has the value {value[:40]!r}, must be a whole "
            f"number of milliseconds from 1, of at most {MAX_DEADLINE_DIGITS} digits",
        )
    return int(value) / 1000


def _read_content_type(headers: Mapping[str, str]) -> str:
    value = headers.get("content-type", "application/octet-stream")
    if len(value) > MAX_CONTENT_TYPE_LENGTH or not value.isprintable():
        raise refuse(
            Reason.INVALID_REQUEST,
            f"header content-type has the malformed value {value[:160]!r}",
        )
    return value


def present_verdict(verdict: Verdict, request_id: str) -> HttpAnswer:
    """Return the HTTP response for a verdict."""
    match verdict:
        case Answered(status=status, headers=headers, body=body):
            lines = list(_forward_headers(headers))
            lines.append(("X-Verdict", "answered"))
            lines.append(("X-Request-Id", request_id))
            return HttpAnswer(status, lines, body)
        case NotRun(reason=reason, detail=detail, retry_after=retry_after):
            lines = _refusal_headers("not-run", request_id)
            if retry_after is not None:
                lines.append(("Retry-After", str(max(1, ceil(retry_after)))))
            if reason is Reason.KEY_MISSING:
                lines.append(("WWW-Authenticate", "Bearer"))
            status = _STATUSES.get(reason, _NOT_RUN_STATUS)
            return HttpAnswer(status, lines, _refusal_body(reason, detail))
        case MayHaveRun(reason=reason, detail=detail):
            lines = _refusal_headers("may-have-run", request_id)
            return HttpAnswer(
                _MAY_HAVE_RUN_STATUS, lines, _refusal_body(reason, detail)
            )


def present_document(document: object, request_id: str) -> HttpAnswer:
    """Return a response with a JSON body that the daemon itself answers."""
    lines = [
        ("Content-Type", "application/json"),
        ("X-Verdict", "answered"),
        ("X-Request-Id", request_id),
    ]
    return HttpAnswer(200, lines, msgspec.json.encode(document))


def _forward_headers(
    headers: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    for name, value in headers:
        if name.lower() not in _UNFORWARDED_HEADERS:
            yield name, value


def _refusal_headers(verdict: str, request_id: str) -> list[tuple[str, str]]:
    return [
        ("Content-Type", "application/json"),
        ("X-Verdict", verdict),
        ("X-Request-Id", request_id),
    ]


def encode_refusal(detail: str) -> bytes:
    """Return the body of a refusal that the application does not see."""
    return _refusal_body(Reason.OVERLOADED, detail)


def _refusal_body(reason: Reason, detail: str) -> bytes:
    return msgspec.json.encode({"code": reason.value, "detail": detail})
