"""Outcomes of the load tool's requests and the report made from them."""

import time
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import attrs
import msgspec
from attrs import define, field

QUANTILES = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "max": 1.0}


@define
class Try:
    """The result of a request at one target; times are ``time.monotonic``.

    ``late`` is the verdict of an answer that arrived after the caller had given
    up, or ``not_sent`` if only a request id arrived then.
    """

    target: str
    start: float
    end: float
    verdict: str
    late: str = ""


@define
class Outcome:
    """A request and its result at the caller; times are ``time.monotonic``.

    ``verdict`` is the answer's header ``X-Verdict`` (``answered``, ``not-run``
    or ``may-have-run``; ``unknown`` if it is missing), or ``not_connected``,
    ``lost`` or ``timeout`` without an answer. ``mismatched`` means that the
    answer has another request's id.
    """

    id: str
    team: str
    queue: str
    start: float
    end: float = 0.0
    verdict: str = "unknown"
    status: int = 0
    code: str = ""
    detail: str = ""
    attempts: int = 0
    mismatched: bool = False
    tries: list[Try] = field(factory=list)

    def record_answer(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Set the status, the verdict and the error detail from an answer."""
        self.status = status
        self.mismatched = headers.get("x-request-id", self.id) != self.id
        self.finish(headers.get("x-verdict", "unknown"))
        if self.verdict != "answered":
            self.code, self.detail = _read_refusal(body)

    def finish(self, verdict: str, detail: str = "") -> None:
        """Record the verdict and the time of the end."""
        self.verdict = verdict
        self.detail = detail
        self.end = time.monotonic()

    def copy_result(self, other: "Outcome") -> None:
        """Take over the result of the same request at one target."""
        self.verdict, self.status = other.verdict, other.status
        self.code, self.detail = other.code, other.detail
        self.mismatched, self.end = other.mismatched, other.end

    @property
    def good(self) -> bool:
        """Whether the caller got a successful answer to this request."""
        answered = self.verdict == "answered" and self.status < 400
        return answered and not self.mismatched


def _read_refusal(body: bytes) -> tuple[str, str]:
    try:
        value = msgspec.json.decode(body)
        return str(value.get("code", "")), str(value.get("detail", ""))
    except (msgspec.MsgspecError, AttributeError):
        return "", body[:200].decode("latin-1")


def make_report(
    outcomes: Sequence[Outcome], begin: float, seconds: float, skipped: int
) -> dict[str, Any]:
    """Return verdicts, latencies and goodput in total, by team and queue."""
    by_team = defaultdict(list)
    by_queue = defaultdict(list)
    for outcome in outcomes:
        by_team[outcome.team].append(outcome)
        by_queue[outcome.queue].append(outcome)
    return {
        "begin": begin,
        "seconds": seconds,
        "skipped": skipped,
        "total": _summarise(outcomes, seconds),
        "teams": {name: _summarise(part, seconds) for name, part in by_team.items()},
        "queues": {name: _summarise(part, seconds) for name, part in by_queue.items()},
        "requests": [attrs.asdict(outcome) for outcome in outcomes],
    }


def _summarise(outcomes: Iterable[Outcome], seconds: float) -> dict[str, Any]:
    known = list(outcomes)
    good = [outcome for outcome in known if outcome.good]
    latencies = sorted(outcome.end - outcome.start for outcome in good)
    return {
        "sent": len(known),
        "attempts": sum(outcome.attempts for outcome in known),
        "good": len(good),
        "goodput_per_second": len(good) / seconds if seconds else 0.0,
        "mismatched": sum(outcome.mismatched for outcome in known),
        "verdicts": dict(Counter(outcome.verdict for outcome in known)),
        "codes": dict(Counter(outcome.code for outcome in known if outcome.code)),
        "latency_ms": {
            name: find_quantile(latencies, part) * 1000
            for name, part in QUANTILES.items()
        },
    }


def find_quantile(ordered: Sequence[float], part: float) -> float:
    """Return a quantile of sorted values, or 0 if there are none.

    It is the value at the index ``part`` times the number of values.
    """
    if not ordered:
        return 0.0
    rank = max(0, min(len(ordered) - 1, int(part * len(ordered))))
    return ordered[rank]
