"""Prometheus metrics of the endpoints."""

from prometheus_client import Counter, Gauge

CLIENT_REFUSALS = Counter(
    "hemlockstand_client_refusals_total",
    "Requests and connections that an endpoint refused or closed, by reason.",
    ["endpoint", "reason"],
)
CLIENT_CONNECTIONS = Gauge(
    "hemlockstand_client_connections", "Open connections of clients.", ["endpoint"]
)
CLIENT_BYTES = Gauge(
    "hemlockstand_client_bytes",
    "Memory that clients hold, as counted by the limits.",
    ["endpoint"],
)
