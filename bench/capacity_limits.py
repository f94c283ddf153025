"""Intervals of the shipped settings and the limits of the target."""

# Shipped settings, see hemlockstand/defaults.ini.
EXCHANGES_PER_SECOND = 3  # started by a daemon; as many arrive from peers
POLLS_PER_SECOND = 1  # of the configuration, and of the instance list
RENEWALS_PER_SECOND = 0.5
WATCHES_PER_SECOND = 0.4  # one per 1 to 1.5 renewal intervals
REBALANCES_PER_SECOND = 2
JOB_ROUNDS_PER_SECOND = 2
MARKER_READS_PER_SECOND = 2.5  # of pools, members and waves in one read
OWNER_CHECKS_PER_SECOND = 2
MAINTENANCE_ROUNDS_PER_SECOND = 1
TASK_RENEWALS_PER_SECOND = 0.1  # a third of a lease of 30 s
FRESHNESS_SECONDS = 4.0
WRITES_PER_RUN = 4  # two rows at the start, two at the end

# Control overhead of one daemon: % of a core, MB, and B/s sent and received.
CPU_LIMIT, MEMORY_LIMIT, BYTES_LIMIT = 2.7, 256.0, 7000.0
# Row writes and reads of the whole fleet, per second.
WRITES_LIMIT, READS_LIMIT = 300.0, 2000.0
SIX_WEEKS_DAYS = 42.0
REBOOT_SECONDS = 300.0
URGENT_SECONDS, IN_FORCE_SECONDS = 1.5, 14.0
PEAK_PERIOD_SECONDS = 25.0  # five queues of a pool peak for 5 s each in turn
