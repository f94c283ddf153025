"""The lines of the capacity page: what each role carries at the target size.

Each line is computed from the measured series and from the intervals of the
shipped settings. Nothing here is measured.
"""

from collections.abc import Iterator, Mapping
from enum import StrEnum

from attrs import evolve, frozen

from bench.capacity_series import TARGET, Series
from hemlockstand.coordination.escrow import split_limit
from hemlockstand.jobs.service import FLEET_SECONDS

# Shipped settings, see hemlockstand/defaults.ini.
EXCHANGES_PER_SECOND = 3  # started here; as many arrive from others
POLLS_PER_SECOND = 1  # configuration and instance list
RENEWALS_PER_SECOND = 0.5
WATCHES_PER_SECOND = 0.4  # renewal interval times 1 to 1.5
REBALANCES_PER_SECOND = 2
JOB_ROUNDS_PER_SECOND = 1 / 0.375  # interval of 0.5 s times 0.5 to 1
OWNER_CHECKS_PER_SECOND = 2
MAINTENANCE_PER_SECOND = 1
MEMBER_READS_PER_SECOND = 0.5
TASK_RENEWALS_PER_SECOND = 0.1  # a third of a lease of 30 s
FRESHNESS_SECONDS = 4.0
WRITES_PER_RUN = 4  # two rows at the start, two at the end

CPU_LIMIT, MEMORY_LIMIT, BYTES_LIMIT = 2.7, 256.0, 7000.0
WRITES_LIMIT, READS_LIMIT = 300.0, 2000.0
SIX_WEEKS_DAYS = 42.0
REBOOT_SECONDS = 300.0
URGENT_SECONDS, IN_FORCE_SECONDS = 1.5, 14.0


class Role(StrEnum):
    """The roles of the page."""

    PROXY = "entry daemon as caller-facing proxy"
    PEER = "entry daemon as peer"
    READER = "entry daemon as configuration reader"
    HOLDER = "entry daemon as slot holder"
    PLACER = "entry daemon as placer of jobs"
    MAINTAINER = "entry daemon as maintainer"
    DAEMON = "entry daemon in total"
    TOOL = "operators' tool"
    PLATFORM = "platform's table and object store"
    UPSTREAM = "upstream (executor)"
    WORKER = "worker"


class Quantity(StrEnum):
    """What a line counts; the values are used in the totals."""

    CPU = "processor time"
    BYTES = "messages"
    MEMORY = "memory"
    WRITES = "table writes"
    READS = "table reads"
    CALLS = "calls of the platform"
    TIME = "time"
    STATE = "state"


@frozen
class Line:
    """One figure of one role, with the limit that it is held against.

    ``error`` is one standard error from the slopes. ``design`` names what
    carries the line when it fails. Lines that do not occur together with the
    others are not ``in_total``.
    """

    role: Role
    quantity: Quantity
    what: str
    value: float
    error: float
    unit: str
    mechanism: str
    limit: float | None = None
    design: str = ""
    in_total: bool = True

    @property
    def verdict(self) -> str:
        """``ok``, ``FAIL``, or empty without a limit."""
        if self.limit is None:
            return ""
        return "ok" if self.value <= self.limit else "FAIL"


@frozen
class Amount:
    """A value with its standard error."""

    value: float
    error: float = 0.0

    def __mul__(self, factor: float) -> "Amount":
        return Amount(self.value * factor, self.error * abs(factor))

    def __add__(self, other: "Amount") -> "Amount":
        # Errors of different slopes are taken as independent.
        error = (self.error**2 + other.error**2) ** 0.5
        return Amount(self.value + other.value, error)


class Costs:
    """The measured series by name, as amounts at the target."""

    def __init__(self, series: Mapping[str, Series]) -> None:
        self._series = series

    def at_target(self, name: str) -> Amount:
        """Return the extrapolated cost."""
        series = self._series[name]
        return Amount(series.value, series.error)

    def at(self, name: str, size: float) -> Amount:
        """Return the cost at another size."""
        slope = self._series[name].slope
        return Amount(slope.extrapolate(size), slope.extrapolate_error(size))

    def per_unit(self, name: str) -> Amount:
        """Return the slope itself."""
        slope = self._series[name].slope
        return Amount(slope.per_unit, slope.error)

    def percent(self, micros: Amount, per_second: float) -> Amount:
        """Return processor time as a percentage of a core."""
        return micros * (per_second / 1e4)


def _line(
    role: Role,
    quantity: Quantity,
    what: str,
    amount: Amount,
    unit: str,
    mechanism: str,
    limit: float | None = None,
    design: str = "",
) -> Line:
    return Line(
        role,
        quantity,
        what,
        amount.value,
        amount.error,
        unit,
        mechanism,
        limit,
        design,
    )


def list_peer_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of the exchanges."""
    role, module = Role.PEER, "peers/service.py, peers/beats.py"
    micros = costs.percent(costs.at_target("exchange_cpu"), EXCHANGES_PER_SECOND)
    yield _line(role, Quantity.CPU, "exchanges, both sides", micros, "% core", module)
    volume = costs.at_target("exchange_bytes") * (2 * EXCHANGES_PER_SECOND)
    yield _line(
        role,
        Quantity.BYTES,
        "exchanges, sent and received",
        volume,
        "B/s",
        module,
        BYTES_LIMIT,
    )
    outage = costs.at_target("exchange_outage_bytes") * (2 * EXCHANGES_PER_SECOND)
    yield evolve(
        _line(
            role,
            Quantity.BYTES,
            "exchanges in a platform outage, with stamps",
            outage,
            "B/s",
            module,
            BYTES_LIMIT,
            "stamps with numbers in place of the names of data centres",
        ),
        in_total=False,
    )
    yield _line(
        role,
        Quantity.TIME,
        "version of a change known to all daemons by exchanges alone",
        costs.at_target("spread_change"),
        "s",
        "coordination/membership.py",
        IN_FORCE_SECONDS,
    )
    yield _line(
        role,
        Quantity.TIME,
        "largest age of a proof in a platform outage",
        costs.at_target("outage_proof_age"),
        "s",
        "coordination/freshness.py",
        FRESHNESS_SECONDS,
        "`freshness_seconds = 8` at 22 data centres, which keeps the 14 s of a "
        "withdrawn key",
    )
    yield _line(
        role,
        Quantity.TIME,
        "end of a daemon seen by all others",
        costs.at_target("end_seen"),
        "s",
        "coordination/membership.py",
    )


def list_reader_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of configuration and instance list."""
    role, changes = Role.READER, TARGET.changes_per_second
    module = "configuration/service.py, store.py"
    poll = costs.at("table_read_cpu", 2) * POLLS_PER_SECOND
    catch_up = costs.at("table_read_cpu", 1) * changes
    apply = (costs.at_target("apply_change") + costs.at_target("decode_change")) * (
        changes
    )
    yield _line(
        role,
        Quantity.CPU,
        "polls, reads and applies changes",
        costs.percent(poll + catch_up + apply, 1),
        "% core",
        module,
    )
    volume = costs.at("table_read_bytes", 2) * POLLS_PER_SECOND
    volume += costs.at("table_read_bytes", 1) * changes
    volume += costs.at_target("change_bytes") * changes
    yield _line(role, Quantity.BYTES, "polls and changes", volume, "B/s", module)
    yield _line(
        role,
        Quantity.MEMORY,
        "configuration in force",
        costs.at_target("configuration_memory"),
        "MB",
        "model.py, configuration/changes.py",
    )
    yield from _list_instance_lines(costs)
    reads = POLLS_PER_SECOND + min(changes, POLLS_PER_SECOND)
    yield _line(role, Quantity.READS, "of all daemons", _fleet(reads), "1/s", module)
    wait = 1 / POLLS_PER_SECOND
    steps = (costs.at("table_read_cpu", 1) + costs.at_target("apply_change")) * 1e-6
    yield _line(
        role,
        Quantity.TIME,
        "change in force at each daemon that reaches the platform",
        Amount(wait) + steps * 2,
        "s",
        module,
        IN_FORCE_SECONDS,
    )


def _list_instance_lines(costs: Costs) -> Iterator[Line]:
    role, module = Role.READER, "platform/http.py HttpInstances, platform/service.py"
    changes = TARGET.list_changes_per_second
    micros = costs.at_target("list_unchanged_cpu") * POLLS_PER_SECOND
    micros += costs.at_target("list_changed_cpu") * changes
    design = (
        "instance list by data centre, with the changes of other data centres "
        "spread by peers"
    )
    yield _line(
        role,
        Quantity.CPU,
        "instance list",
        costs.percent(micros, 1),
        "% core",
        module,
    )
    volume = costs.at_target("list_unchanged_bytes") * POLLS_PER_SECOND
    volume += costs.at_target("list_changed_bytes") * changes
    yield _line(
        role,
        Quantity.BYTES,
        "instance list",
        volume,
        "B/s",
        module,
        BYTES_LIMIT,
        design,
    )
    memory = costs.at_target("list_memory")
    yield _line(role, Quantity.MEMORY, "instance list", memory, "MB", module)


def list_holder_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of leases and slots."""
    role, module = Role.HOLDER, "requests/limits.py, coordination/escrow.py"
    lease = "coordination/lease.py, requests/reclaim.py"
    yield _line(
        role,
        Quantity.CPU,
        "rebalancing looks at all teams",
        costs.percent(costs.at_target("rebalance_round"), REBALANCES_PER_SECOND),
        "% core",
        module,
        CPU_LIMIT,
        "teams are looked at when their demand here or at a peer has changed",
    )
    watch = costs.at("table_read_cpu", TARGET.daemons) + costs.at_target(
        "watch_holders"
    )
    renew = costs.at("table_write_cpu", 1)
    cpu = watch * WATCHES_PER_SECOND + renew * RENEWALS_PER_SECOND
    yield _line(
        role,
        Quantity.CPU,
        "renewal and watch of holders",
        costs.percent(cpu, 1),
        "% core",
        lease,
    )
    volume = costs.at("table_read_bytes", TARGET.daemons) * WATCHES_PER_SECOND
    volume += costs.at("table_write_bytes", 1) * RENEWALS_PER_SECOND
    yield _line(
        role,
        Quantity.BYTES,
        "renewal and watch of holders",
        volume,
        "B/s",
        lease,
        BYTES_LIMIT,
        "each holder watched by the daemons of its data centre and two others",
    )
    row = costs.at_target("limit_row")
    yield _line(
        role, Quantity.STATE, "row of a team held by all daemons", row, "B", module
    )
    reserved = split_limit(40, 0.5, [str(n) for n in range(TARGET.data_centres)], 1)
    yield _line(
        role,
        Quantity.STATE,
        "reserved slots per data centre of a team with limit 40",
        Amount(float(reserved.parts["0"])),
        "slots",
        "coordination/escrow.py split_limit",
    )
    yield _line(
        role,
        Quantity.WRITES,
        "renewals of all daemons",
        _fleet(RENEWALS_PER_SECOND),
        "1/s",
        lease,
    )
    yield _line(
        role,
        Quantity.READS,
        "watches of all daemons",
        _fleet(WATCHES_PER_SECOND),
        "1/s",
        lease,
    )


def list_placer_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of placement."""
    role, module = Role.PLACER, "jobs/service.py, jobs/rounds.py"
    rounds = TARGET.pools_per_daemon * JOB_ROUNDS_PER_SECOND
    workers = TARGET.workers_per_pool
    owners = costs.at_target("owned_pools") * OWNER_CHECKS_PER_SECOND
    yield _line(
        role,
        Quantity.CPU,
        "which pools are its own",
        costs.percent(owners, 1),
        "% core",
        "jobs/service.py, coordination/rendezvous.py",
    )
    quiet = costs.at_target("round_workers") + costs.per_unit("round_jobs") * (
        TARGET.jobs
    )
    yield _line(
        role,
        Quantity.CPU,
        "rounds in which nothing changes",
        costs.percent(quiet, rounds),
        "% core",
        module,
    )
    yield _line(
        role,
        Quantity.CPU,
        "capacity of the fleet",
        costs.percent(costs.at_target("sum_fleet"), 1 / FLEET_SECONDS),
        "% core",
        "jobs/service.py _sum_fleet",
    )
    tasks = TARGET.jobs * TASK_RENEWALS_PER_SECOND / TARGET.daemons
    report = costs.at_target("worker_report_cpu") * (rounds * workers)
    renew = costs.per_unit("lease_renewals_cpu") * tasks
    marker = costs.at("table_read_cpu", 1) * rounds
    calls_design = (
        "one conditional read of a pool's reports and one renewal for all tasks "
        "of a worker, with leases of 90 s"
    )
    yield _line(
        role,
        Quantity.CPU,
        "reports, renewals and marker rows",
        costs.percent(report + renew + marker, 1),
        "% core",
        "jobs/rounds.py, platform/http.py",
        CPU_LIMIT,
        calls_design,
    )
    volume = costs.at_target("worker_report_bytes") * (rounds * workers)
    volume += costs.per_unit("lease_renewals_bytes") * tasks
    volume += costs.at("table_read_bytes", 1) * rounds
    yield _line(
        role,
        Quantity.BYTES,
        "reports, renewals and marker rows",
        volume,
        "B/s",
        "jobs/rounds.py, platform/http.py",
        BYTES_LIMIT,
        calls_design,
    )
    yield from _list_fleet_placement(costs, rounds, tasks)


def _list_fleet_placement(costs: Costs, rounds: float, tasks: float) -> Iterator[Line]:
    role, module = Role.PLACER, "jobs/service.py, jobs/rounds.py"
    starts = TARGET.jobs / TARGET.run_seconds
    yield _line(
        role,
        Quantity.WRITES,
        "starts and ends of all runs",
        Amount(starts * WRITES_PER_RUN),
        "1/s",
        "jobs/store.py",
    )
    yield _line(
        role, Quantity.READS, "marker rows of all pools", _fleet(rounds), "1/s", module
    )
    calls = rounds * TARGET.workers_per_pool + tasks
    yield _line(
        role,
        Quantity.CALLS,
        "reports and renewals of all workers",
        _fleet(calls),
        "1/s",
        "jobs/rounds.py",
    )
    place = costs.at_target("place_tasks") * 1e-6
    yield _line(
        role,
        Quantity.TIME,
        "urgent run started: one interval and one full round of its pool",
        Amount(0.5) + place,
        "s",
        module,
        URGENT_SECONDS,
    )


def list_maintainer_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of maintenance."""
    role, module = Role.MAINTAINER, "maintenance/service.py, rounds.py"
    pools, members = TARGET.pools_per_daemon, TARGET.workers_per_pool
    owners = costs.at_target("owned_pools") * (2 * MAINTENANCE_PER_SECOND)
    yield _line(
        role,
        Quantity.CPU,
        "which pools are its own",
        costs.percent(owners, 1),
        "% core",
        "maintenance/service.py, coordination/rendezvous.py",
    )
    calls = costs.at_target("step_pool_reads").value * pools + 1
    step = costs.at_target("step_pool_list") + costs.at("table_read_cpu", 1)
    cpu = step * pools + costs.at("table_read_cpu", 1)
    yield _line(
        role,
        Quantity.CPU,
        "steps of its pools in which nothing changes",
        costs.percent(cpu, MAINTENANCE_PER_SECOND),
        "% core",
        module,
    )
    volume = (costs.at("table_read_bytes", 0) + costs.at_target("pool_row")) * pools
    volume += costs.at("table_read_bytes", 0)
    yield _line(
        role,
        Quantity.BYTES,
        "steps of its pools in which nothing changes, and the waves",
        volume * MAINTENANCE_PER_SECOND,
        "B/s",
        module,
        BYTES_LIMIT,
    )
    changed = costs.at_target("pool_row") * TARGET.pools
    scans = changed * TARGET.list_changes_per_second
    yield _line(
        role,
        Quantity.BYTES,
        "all pools read when members change",
        scans,
        "B/s",
        "maintenance/service.py _refresh",
        BYTES_LIMIT,
        "only the pools named by the marker row are read",
    )
    reads = calls * MAINTENANCE_PER_SECOND + MEMBER_READS_PER_SECOND
    yield _line(role, Quantity.READS, "of all daemons", _fleet(reads), "1/s", module)
    writes = costs.at_target("wave_writes").value / members
    per_second = writes * TARGET.workers / (SIX_WEEKS_DAYS * 86_400)
    yield _line(
        role,
        Quantity.WRITES,
        "waves over all instances in 6 weeks",
        Amount(per_second),
        "1/s",
        "maintenance/steps.py",
    )
    days = members * REBOOT_SECONDS / 86_400
    yield _line(
        role,
        Quantity.TIME,
        "all instances maintained, one at a time per pool",
        Amount(days),
        "days",
        "maintenance/waves.py",
        SIX_WEEKS_DAYS,
    )


def list_proxy_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of the request path, which is no control overhead."""
    role = Role.PROXY
    yield _line(
        role,
        Quantity.CPU,
        "fair queue, per request with 570 teams",
        costs.at_target("queue_teams"),
        "us",
        "coordination/fairqueue.py",
    )
    yield _line(
        role,
        Quantity.WRITES,
        "per order with the caller's id",
        costs.per_unit("order_writes"),
        "row writes",
        "coordination/ledger.py, commits.py",
    )


def list_other_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of the tool, the upstreams and the workers."""
    yield _line(
        Role.TOOL,
        Quantity.CPU,
        "check and plan of the daily sheet, in a daemon",
        costs.at_target("check_sheet"),
        "ms",
        "sheet/checks.py, sheet/plan.py",
    )
    yield _line(
        Role.UPSTREAM,
        Quantity.BYTES,
        "control messages of ours",
        Amount(0.0),
        "B/s",
        "requests/upstreams.py",
    )
    yield _line(
        Role.UPSTREAM,
        Quantity.STATE,
        "daemons of its data centre that send to it",
        Amount(TARGET.daemons / TARGET.data_centres),
        "daemons",
        "requests/executors.py",
    )
    yield _line(
        Role.WORKER,
        Quantity.CALLS,
        "reports and renewals that it answers",
        Amount(JOB_ROUNDS_PER_SECOND + TASK_RENEWALS_PER_SECOND),
        "1/s",
        "jobs/rounds.py",
    )
    yield _line(
        Role.PLATFORM,
        Quantity.STATE,
        "snapshot of the configuration, one per 500 changes",
        costs.at_target("snapshot"),
        "KB",
        "configuration/store.py",
    )


def _fleet(per_daemon: float) -> Amount:
    return Amount(per_daemon * TARGET.daemons)


def list_totals(lines: list[Line], idle_rss_mb: float | None) -> Iterator[Line]:
    """Yield the sums that the limits are stated for."""
    daemon = [line for line in lines if line.role.startswith("entry daemon as")]
    control = [line for line in daemon if line.role is not Role.PROXY]
    for quantity, unit, limit in (
        (Quantity.CPU, "% core", CPU_LIMIT),
        (Quantity.BYTES, "B/s", BYTES_LIMIT),
    ):
        total = _sum_lines(control, quantity, unit)
        yield _line(
            Role.DAEMON,
            quantity,
            "control in total",
            total,
            unit,
            "lines above",
            limit,
            "the designs named above" if total.value > limit else "",
        )
    memory = _sum_lines(control, Quantity.MEMORY, "MB")
    if idle_rss_mb is not None:
        yield _line(
            Role.DAEMON,
            Quantity.MEMORY,
            "resident memory of an idle daemon and the state above",
            memory + Amount(idle_rss_mb),
            "MB",
            "lines above, `make capacity` with a real process",
            MEMORY_LIMIT,
        )
    for quantity, limit in (
        (Quantity.WRITES, WRITES_LIMIT),
        (Quantity.READS, READS_LIMIT),
    ):
        total = _sum_lines(control, quantity, "1/s")
        yield _line(
            Role.PLATFORM,
            quantity,
            "control of the whole fleet",
            total,
            "1/s",
            "lines above",
            limit,
            "the designs named above" if total.value > limit else "",
        )


def _sum_lines(lines: list[Line], quantity: Quantity, unit: str) -> Amount:
    total = Amount(0.0)
    for line in lines:
        if line.in_total and line.quantity is quantity and line.unit == unit:
            total += Amount(line.value, line.error)
    return total


def list_lines(
    series: Mapping[str, Series], idle_rss_mb: float | None = None
) -> list[Line]:
    """Return all lines; ``idle_rss_mb`` is None if no daemon was measured."""
    costs = Costs(series)
    lines = [
        *list_proxy_lines(costs),
        *list_peer_lines(costs),
        *list_reader_lines(costs),
        *list_holder_lines(costs),
        *list_placer_lines(costs),
        *list_maintainer_lines(costs),
        *list_other_lines(costs),
    ]
    lines += list_totals(lines, idle_rss_mb)
    return [
        line if line.verdict == "FAIL" else evolve(line, design="") for line in lines
    ]
