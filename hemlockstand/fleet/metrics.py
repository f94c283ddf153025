"""Prometheus metrics of the fleet's services."""

from prometheus_client import Counter, Gauge, Histogram, generate_latest

ANSWERS = Counter(
    "hemlockstand_answers_total", "Answers to callers.", ["method", "status"]
)
REQUEST_SECONDS = Histogram(
    "hemlockstand_answer_seconds", "Time from arrival to the answer.", ["method"]
)
STARTS = Counter(
    "hemlockstand_starts_total", "Start orders to executors, by outcome.", ["outcome"]
)
ENDS = Counter("hemlockstand_ends_total", "Ends of runs, by kind.", ["kind"])
CRASHES = Counter(
    "hemlockstand_executor_crashes_total", "Crashes of executors that had runs."
)
COMMITS = Counter(
    "hemlockstand_commits_total", "The scheduler's transactions.", ["outcome"]
)
FIRST_START_SECONDS = Histogram(
    "hemlockstand_first_start_seconds", "Time from acceptance to the first start."
)
INSTANCE_ORDERS = Counter(
    "hemlockstand_instance_orders_total",
    "Orders to move or maintain instances.",
    ["kind", "outcome"],
)
LEADING = Gauge("hemlockstand_scheduler", "1 while this daemon is the scheduler.")
EVACUATED = Gauge(
    "hemlockstand_evacuated_data_centres", "Data centres that are evacuated."
)
EVACUATION_RUNS = Gauge(
    "hemlockstand_evacuated_runs", "Runs that are still in evacuated data centres."
)
EVACUATION_MOVES = Counter(
    "hemlockstand_evacuation_moves_total",
    "Runs stopped to move them out of evacuated data centres.",
    ["kind"],
)
REFUSED = Counter(
    "hemlockstand_refused_submissions_total",
    "Submissions that were refused for the load or can never be served.",
    ["reason", "queue"],
)
WAITING = Gauge("hemlockstand_waiting_subtasks", "Subtasks that wait for a place.")


def render_metrics() -> bytes:
    """Return all metrics as text."""
    return generate_latest()
