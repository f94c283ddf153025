"""Conversion of freshness reports and verdicts to and from peer messages."""

from math import ceil, floor, inf, isfinite

from hemlockstand.coordination.freshness import Report, StampAge
from hemlockstand.errors import InvalidInput
from hemlockstand.peers import peer_pb2
from hemlockstand.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

# Larger ages are not sent, because no proof is valid for that long.
MAX_AGE_SECONDS = 600.0


def encode_report(heartbeat: peer_pb2.Beat, report: Report) -> None:
    """Write a report into a heartbeat.

    Ages of proofs and failures are rounded up and ages of successes down, so
    that rounding never makes a proof younger.
    """
    heartbeat.configuration_version = report.version
    if report.proof_age < MAX_AGE_SECONDS:
        heartbeat.proof_age_ms = ceil(report.proof_age * 1000)
    for stamp in report.stamps:
        entry = heartbeat.stamps.add(data_centre=stamp.data_centre)
        if stamp.version != report.version:
            entry.configuration_version = stamp.version
        if stamp.failed_age < MAX_AGE_SECONDS:
            entry.failed_age_ms = ceil(stamp.failed_age * 1000)
        if stamp.reached_age < MAX_AGE_SECONDS:
            entry.reached_age_ms = max(0, floor(stamp.reached_age * 1000))


def decode_report(heartbeat: peer_pb2.Beat) -> Report:
    """Return the report in a heartbeat."""
    stamps = tuple(
        StampAge(
            data_centre=entry.data_centre,
            version=_decode_version(entry, heartbeat),
            failed_age=_decode_age(entry, "failed_age_ms"),
            reached_age=_decode_age(entry, "reached_age_ms"),
        )
        for entry in heartbeat.stamps
    )
    return Report(
        heartbeat.configuration_version, _decode_age(heartbeat, "proof_age_ms"), stamps
    )


def _decode_version(entry: peer_pb2.Stamp, heartbeat: peer_pb2.Beat) -> int:
    if entry.HasField("configuration_version"):
        return entry.configuration_version
    return heartbeat.configuration_version


def _decode_age(message: peer_pb2.Beat | peer_pb2.Stamp, name: str) -> float:
    return getattr(message, name) / 1000 if message.HasField(name) else inf


def encode_verdict(verdict: Verdict) -> peer_pb2.Verdict:
    """Return the message for a verdict."""
    match verdict:
        case Answered(status=status, headers=headers, body=body):
            pairs = [peer_pb2.Header(name=name, value=text) for name, text in headers]
            answered = peer_pb2.Answered(status=status, headers=pairs, body=body)
            return peer_pb2.Verdict(answered=answered)
        case NotRun(reason=reason, detail=detail, retry_after=seconds):
            not_run = peer_pb2.NotRun(reason=reason.value, detail=detail)
            if seconds is not None and isfinite(seconds):
                not_run.retry_after_seconds = seconds
            return peer_pb2.Verdict(not_run=not_run)
        case MayHaveRun(request_id=request_id, reason=reason, detail=detail):
            may_have_run = peer_pb2.MayHaveRun(
                request_id=request_id, reason=reason.value, detail=detail
            )
            return peer_pb2.Verdict(may_have_run=may_have_run)


def decode_verdict(message: peer_pb2.Verdict) -> Verdict:
    """Return the verdict in a message.

    Raises ``InvalidInput`` with code ``verdict_malformed``, because a verdict
    that cannot be decoded must not count as any of the three.
    """
    match message.WhichOneof("verdict"):
        case "answered":
            answered = message.answered
            headers = tuple((entry.name, entry.value) for entry in answered.headers)
            return Answered(answered.status, headers, answered.body)
        case "not_run":
            not_run = message.not_run
            known = not_run.HasField("retry_after_seconds")
            seconds = not_run.retry_after_seconds if known else None
            return NotRun(_decode_reason(not_run.reason), not_run.detail, seconds)
        case "may_have_run":
            may_have_run = message.may_have_run
            return MayHaveRun(
                may_have_run.request_id,
                _decode_reason(may_have_run.reason),
                may_have_run.detail,
            )
    raise InvalidInput("verdict is empty", code="verdict_malformed")


def _decode_reason(text: str) -> Reason:
    try:
        return Reason(text)
    except ValueError as error:
        message = f"verdict has reason {text!r}"
        raise InvalidInput(message, code="verdict_malformed") from error
