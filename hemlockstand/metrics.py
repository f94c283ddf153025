"""Prometheus metrics that several modules share."""

from prometheus_client import Counter, Gauge, Histogram

VERDICTS = Counter(
    "hemlockstand_verdicts_total", "Verdicts given to callers.", ["queue", "verdict"]
)
REFUSALS = Counter(
    "hemlockstand_refusals_total", "Requests not run, by reason.", ["reason"]
)
REQUEST_SECONDS = Histogram(
    "hemlockstand_request_seconds", "Time from arrival to the verdict.", ["queue"]
)
CONFIGURATION_VERSION = Gauge(
    "hemlockstand_configuration_version", "Version of the configuration in force."
)
FRESHNESS_AGE = Gauge(
    "hemlockstand_freshness_age_seconds", "Age of the newest freshness proof."
)
PLATFORM_FAILURES = Counter(
    "hemlockstand_platform_failures_total", "Failed platform calls.", ["code"]
)
PEER_FAILURES = Counter(
    "hemlockstand_peer_failures_total", "Failed or refused peer calls.", ["code"]
)
UNWANTED_RUNS = Counter(
    "hemlockstand_unwanted_runs_total",
    "Runs of retired jobs that were triggered and refused.",
    ["house"],
)
