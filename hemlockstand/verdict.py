"""The outcome of a request: answered, not run, or possibly run.

The three classes have no common constructor and no default, so code that ends
a request has to decide whether the request may have run::

    match verdict:
        case Answered(status=status, body=body):
            ...
        case NotRun(reason=reason, retry_after=seconds):
            ...
        case MayHaveRun(request_id=request_id):
            ...
"""

from enum import StrEnum

from attrs import field, frozen


class Reason(StrEnum):
    """Why a request was not run, or why its outcome is unknown."""

    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_QUEUE = "unknown_queue"
    UNKNOWN_TEAM = "unknown_team"
    KEY_MISSING = "key_missing"
    KEY_REFUSED = "key_refused"
    CONFIGURATION_NOT_FRESH = "configuration_not_fresh"
    LIMIT_REACHED = "limit_reached"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXPIRED = "deadline_expired"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_REFUSED = "upstream_refused"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    LEASE_LAPSED = "lease_lapsed"
    STOPPING = "stopping"
    UNKNOWN_REQUEST = "unknown_request"
    IN_PROGRESS = "in_progress"
    OWNER_GONE = "owner_gone"
    OWNER_UNREACHABLE = "owner_unreachable"
    ANSWER_LOST = "answer_lost"
    ANSWER_MISMATCHED = "answer_mismatched"
    ANSWER_TRUNCATED = "answer_truncated"


@frozen
class Answered:
    """The upstream's complete answer to this request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = field(repr=False)


@frozen
class NotRun:
    """This attempt did not start the request on any upstream.

    ``retry_after`` is in seconds; ``None`` means that a retry cannot help.
    """

    reason: Reason
    detail: str
    retry_after: float | None


@frozen
class MayHaveRun:
    """The request was sent or claimed, and its outcome is not known.

    The caller asks again by ``request_id`` instead of sending a new request.
    """

    request_id: str
    reason: Reason
    detail: str


Verdict = Answered | NotRun | MayHaveRun
