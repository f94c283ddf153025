"""Prometheus metrics of the doors."""

from prometheus_client import Counter, Gauge

CLIENT_REFUSALS = Counter(
    "hemlockstand_client_refusals_total",
    "Requests and connections that a door refused or closed, by reason.",
    ["door", "reason"],
)
CLIENT_CONNECTIONS = Gauge(
    "hemlockstand_client_connections", "Open connections of clients.", ["door"]
)
CLIENT_BYTES = Gauge(
    "hemlockstand_client_bytes",
    "Memory that clients hold, as counted by the limits.",
    ["door"],
)
