"""The lines of the capacity page: the load of each role at the target size.

Each line is computed from the measured series and from the intervals of the
shipped settings. Nothing here is measured.
"""

from collections.abc import Iterator, Mapping

from attrs import evolve

from bench.capacity_limits import (
    BYTES_LIMIT,
    CPU_LIMIT,
    EXCHANGES_PER_SECOND,
    FRESHNESS_SECONDS,
    IN_FORCE_SECONDS,
    PEAK_PERIOD_SECONDS,
    POLLS_PER_SECOND,
    REBALANCES_PER_SECOND,
    RENEWALS_PER_SECOND,
    TASK_RENEWALS_PER_SECOND,
    WATCHES_PER_SECOND,
)
from bench.capacity_lines import (
    Costs,
    Estimate,
    Line,
    Quantity,
    Role,
    make_line,
    sum_fleet,
)
from bench.capacity_series import TARGET, Series
from bench.capacity_totals import list_totals
from bench.capacity_work import list_maintainer_lines, list_placer_lines
from hemlockstand.coordination.escrow import split_limit
from hemlockstand.jobs.service import REPORT_SECONDS


def list_peer_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of the exchanges between peers."""
    role, module = Role.PEER, "peers/service.py, peers/heartbeats.py"
    micros = costs.percent(costs.at_target("exchange_cpu"), EXCHANGES_PER_SECOND)
    yield make_line(
        role, Quantity.CPU, "exchanges, both sides", micros, "% core", module
    )
    volume = costs.at_target("exchange_bytes") * (2 * EXCHANGES_PER_SECOND)
    yield make_line(
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
        make_line(
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
    yield make_line(
        role,
        Quantity.TIME,
        "version of a change known to all daemons by exchanges alone",
        costs.at_target("spread_change"),
        "s",
        "coordination/membership.py",
        IN_FORCE_SECONDS,
    )
    yield make_line(
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
    yield make_line(
        role,
        Quantity.TIME,
        "end of a daemon seen by all others",
        costs.at_target("end_seen"),
        "s",
        "coordination/membership.py",
    )


def list_reader_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of reading the configuration and the instance list."""
    role, changes = Role.READER, TARGET.changes_per_second
    module = "configuration/service.py, store.py"
    poll = costs.at("table_read_cpu", 2) * POLLS_PER_SECOND
    catch_up = costs.at("table_read_cpu", 1) * changes
    apply = (costs.at_target("apply_change") + costs.at_target("decode_change")) * (
        changes
    )
    yield make_line(
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
    yield make_line(role, Quantity.BYTES, "polls and changes", volume, "B/s", module)
    yield make_line(
        role,
        Quantity.MEMORY,
        "configuration in force",
        costs.at_target("configuration_memory"),
        "MB",
        "model.py, configuration/changes.py",
    )
    yield from _list_instance_lines(costs)
    reads = POLLS_PER_SECOND + min(changes, POLLS_PER_SECOND)
    yield make_line(
        role, Quantity.READS, "of all daemons", sum_fleet(reads), "1/s", module
    )
    wait = 1 / POLLS_PER_SECOND
    steps = (costs.at("table_read_cpu", 1) + costs.at_target("apply_change")) * 1e-6
    yield make_line(
        role,
        Quantity.TIME,
        "change in force at each daemon that reaches the platform",
        Estimate(wait) + steps * 2,
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
    yield make_line(
        role,
        Quantity.CPU,
        "instance list",
        costs.percent(micros, 1),
        "% core",
        module,
    )
    volume = costs.at_target("list_unchanged_bytes") * POLLS_PER_SECOND
    volume += costs.at_target("list_changed_bytes") * changes
    yield make_line(
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
    yield make_line(role, Quantity.MEMORY, "instance list", memory, "MB", module)


def list_holder_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of leases and slots."""
    role, module = Role.HOLDER, "requests/limits.py, coordination/escrow.py"
    lease = "coordination/lease.py, requests/reclaim.py"
    yield make_line(
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
    yield make_line(
        role,
        Quantity.CPU,
        "renewal and watch of holders",
        costs.percent(cpu, 1),
        "% core",
        lease,
    )
    volume = costs.at("table_read_bytes", TARGET.daemons) * WATCHES_PER_SECOND
    volume += costs.at("table_write_bytes", 1) * RENEWALS_PER_SECOND
    yield make_line(
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
    yield make_line(
        role, Quantity.STATE, "row of a team held by all daemons", row, "B", module
    )
    reserved = split_limit(40, 0.5, [str(n) for n in range(TARGET.data_centres)], 1)
    yield make_line(
        role,
        Quantity.STATE,
        "reserved slots per data centre of a team with limit 40",
        Estimate(float(reserved.parts["0"])),
        "slots",
        "coordination/escrow.py split_limit",
    )
    yield make_line(
        role,
        Quantity.WRITES,
        "renewals of all daemons",
        sum_fleet(RENEWALS_PER_SECOND),
        "1/s",
        lease,
    )
    peaks = TARGET.teams / PEAK_PERIOD_SECONDS
    yield make_line(
        role,
        Quantity.WRITES,
        "slots that move, each team served by 9 daemons and with a peak in 25 s",
        costs.at_target("writes_per_peak") * peaks,
        "1/s",
        "requests/moves.py, coordination/escrow.py",
    )
    yield make_line(
        role,
        Quantity.READS,
        "watches of all daemons",
        sum_fleet(WATCHES_PER_SECOND),
        "1/s",
        lease,
    )


def list_proxy_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of the request path, which are not control overhead."""
    role = Role.PROXY
    yield make_line(
        role,
        Quantity.CPU,
        "keyed order, from the caller to the upstream and back",
        costs.at_target("keyed_order"),
        "us",
        "requests/admission.py, dispatch.py, upstreams.py",
    )
    yield make_line(
        role,
        Quantity.CPU,
        "fair queue, per request with 570 teams",
        costs.at_target("queue_teams"),
        "us",
        "coordination/fairqueue.py",
    )
    yield make_line(
        role,
        Quantity.WRITES,
        "per order with the caller's id, by the callers",
        costs.per_unit("order_writes"),
        "row writes",
        "coordination/ledger.py, commits.py",
    )


def list_other_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of the tool, the upstreams, workers and the platform."""
    yield make_line(
        Role.TOOL,
        Quantity.CPU,
        "check and plan of the daily sheet, in a daemon",
        costs.at_target("check_sheet"),
        "ms",
        "sheet/checks.py, sheet/plan.py",
    )
    yield make_line(
        Role.UPSTREAM,
        Quantity.BYTES,
        "control messages of ours",
        Estimate(0.0),
        "B/s",
        "requests/upstreams.py",
    )
    yield make_line(
        Role.UPSTREAM,
        Quantity.STATE,
        "daemons of its data centre that send to it",
        Estimate(TARGET.daemons / TARGET.data_centres),
        "daemons",
        "requests/executors.py",
    )
    yield make_line(
        Role.WORKER,
        Quantity.CALLS,
        "reports read by placers and renewals",
        Estimate(1 / REPORT_SECONDS + TASK_RENEWALS_PER_SECOND),
        "1/s",
        "jobs/rounds.py",
    )
    yield make_line(
        Role.PLATFORM,
        Quantity.STATE,
        "snapshot of the configuration, one per 500 changes",
        costs.at_target("snapshot"),
        "KB",
        "configuration/store.py",
    )


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
