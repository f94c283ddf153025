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
# Label values are limited by the caller; see ``Durations``.
DURATION_RATIO = Histogram(
    "hemlockstand_duration_ratio",
    "Expected median of a run that ended as done, as a part of its time.",
    ["queue"],
    buckets=(0.1, 0.25, 0.5, 0.67, 0.8, 1.0, 1.25, 1.5, 2.0, 4.0, 10.0),
)
COPIES_STARTED = Counter(
    "hemlockstand_copies_started_total", "Copies of slow runs, by pool.", ["pool"]
)
COPIES_WON = Counter(
    "hemlockstand_copies_won_total", "Copies that were done before the first run."
)
LOST_CORE_SECONDS = Counter(
    "hemlockstand_copies_lost_core_seconds_total",
    "Core-seconds of the runs that another run of their subtask has made useless: "
    "of copies, or of the first runs.",
    ["run"],
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
EVACUATION_ERRORS = Counter(
    "hemlockstand_evacuation_errors_total",
    "Runs in evacuated data centres that stay because of an error.",
)
REFUSED = Counter(
    "hemlockstand_refused_submissions_total",
    "Submissions that were refused for the load or can never be served.",
    ["reason", "queue"],
)
WAITING = Gauge("hemlockstand_waiting_subtasks", "Subtasks that wait for a place.")
SHARE_OF_POOL = Gauge(
    "hemlockstand_share_of_pool",
    "Share of a workspace that waits in a pool without room, as part of the pool.",
    ["pool", "workspace"],
)
USE_OF_POOL = Gauge(
    "hemlockstand_use_of_pool",
    "What counts as used of that share, as part of the pool.",
    ["pool", "workspace"],
)
PREEMPTED_RUNS = Counter(
    "hemlockstand_preempted_runs_total",
    "Runs that were stopped for more urgent work, by reason.",
    ["pool", "reason"],
)
PREEMPTED_CORE_SECONDS = Counter(
    "hemlockstand_preempted_core_seconds_total",
    "Work that was thrown away by these stops.",
    ["pool"],
)


def render_metrics() -> bytes:
    """Return all metrics as text."""
    return generate_latest()
