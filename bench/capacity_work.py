"""The lines of daemons as placers of jobs and as maintainers of instances."""

from collections.abc import Iterator

from bench.capacity_limits import (
    BYTES_LIMIT,
    CPU_LIMIT,
    JOB_ROUNDS_PER_SECOND,
    MAINTENANCE_ROUNDS_PER_SECOND,
    MARKER_READS_PER_SECOND,
    OWNER_CHECKS_PER_SECOND,
    REBOOT_SECONDS,
    SIX_WEEKS_DAYS,
    TASK_RENEWALS_PER_SECOND,
    URGENT_SECONDS,
    WRITES_PER_RUN,
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
from bench.capacity_series import TARGET
from hemlockstand.jobs.service import FLEET_REFRESH_SECONDS, REPORT_SECONDS


def list_placer_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of placement."""
    role, module = Role.PLACER, "jobs/service.py, jobs/rounds.py"
    rounds = TARGET.pools_per_daemon * JOB_ROUNDS_PER_SECOND
    owners = costs.at_target("owned_pools") * OWNER_CHECKS_PER_SECOND
    yield make_line(
        role,
        Quantity.CPU,
        "which pools are its own",
        costs.percent(owners, 1),
        "% core",
        "jobs/service.py, coordination/rendezvous.py",
    )
    idle_round = costs.at_target("round_workers") + costs.per_unit("round_jobs") * (
        TARGET.jobs
    )
    yield make_line(
        role,
        Quantity.CPU,
        "rounds in which nothing changes",
        costs.percent(idle_round, rounds),
        "% core",
        module,
    )
    yield make_line(
        role,
        Quantity.CPU,
        "capacity of the fleet",
        costs.percent(costs.at_target("sum_fleet"), 1 / FLEET_REFRESH_SECONDS),
        "% core",
        "jobs/service.py _sum_fleet",
    )
    tasks = TARGET.jobs * TASK_RENEWALS_PER_SECOND / TARGET.daemons
    reads = TARGET.pools_per_daemon / REPORT_SECONDS
    report = costs.at_target("reports_cpu") * reads
    renew = costs.per_unit("renewals_cpu") * tasks
    marker_rows = TARGET.pools_per_daemon + 2
    marker_reads = costs.at("table_read_cpu", marker_rows) * MARKER_READS_PER_SECOND
    calls_design = (
        "one renewal for all tasks of a worker with leases of 90 s, and reports that "
        "name only what changed"
    )
    yield make_line(
        role,
        Quantity.CPU,
        "reports, renewals and marker rows",
        costs.percent(report + renew + marker_reads, 1),
        "% core",
        "jobs/rounds.py, platform/http.py",
        CPU_LIMIT,
        calls_design,
    )
    volume = costs.at_target("reports_bytes") * reads
    volume += costs.per_unit("renewals_bytes") * tasks
    volume += costs.at("table_read_bytes", marker_rows) * MARKER_READS_PER_SECOND
    yield make_line(
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
    yield make_line(
        role,
        Quantity.WRITES,
        "starts and ends of all runs",
        Estimate(starts * WRITES_PER_RUN),
        "1/s",
        "jobs/store.py",
    )
    yield make_line(
        role,
        Quantity.READS,
        "marker rows, read together",
        sum_fleet(MARKER_READS_PER_SECOND),
        "1/s",
        module,
    )
    calls = TARGET.pools_per_daemon / REPORT_SECONDS + tasks
    yield make_line(
        role,
        Quantity.CALLS,
        "reports of all pools and renewals of all tasks",
        sum_fleet(calls),
        "1/s",
        "jobs/rounds.py",
    )
    placement = costs.at_target("place_tasks") * 1e-6
    yield make_line(
        role,
        Quantity.TIME,
        "urgent run started: one interval and one full round of its pool",
        Estimate(0.5) + placement,
        "s",
        module,
        URGENT_SECONDS,
    )


def list_maintainer_lines(costs: Costs) -> Iterator[Line]:
    """Yield the lines of maintenance."""
    role, module = Role.MAINTAINER, "maintenance/service.py, rounds.py"
    pools, members = TARGET.pools_per_daemon, TARGET.workers_per_pool
    owners = costs.at_target("owned_pools") * (2 * MAINTENANCE_ROUNDS_PER_SECOND)
    yield make_line(
        role,
        Quantity.CPU,
        "which pools are its own",
        costs.percent(owners, 1),
        "% core",
        "maintenance/service.py, coordination/rendezvous.py",
    )
    calls = costs.at_target("step_pool_reads").value * pools
    step = costs.at_target("step_pool_list") + costs.at("table_read_cpu", 1)
    cpu = step * pools
    yield make_line(
        role,
        Quantity.CPU,
        "steps of its pools in which nothing changes",
        costs.percent(cpu, MAINTENANCE_ROUNDS_PER_SECOND),
        "% core",
        module,
    )
    volume = (costs.at("table_read_bytes", 0) + costs.at_target("pool_row")) * pools
    yield make_line(
        role,
        Quantity.BYTES,
        "steps of its pools in which nothing changes",
        volume * MAINTENANCE_ROUNDS_PER_SECOND,
        "B/s",
        module,
        BYTES_LIMIT,
    )
    yield make_line(
        role,
        Quantity.BYTES,
        "all pools read when members change",
        costs.at_target("pools_read_bytes") * TARGET.list_changes_per_second,
        "B/s",
        "maintenance/service.py _refresh",
        BYTES_LIMIT,
    )
    yield make_line(
        role,
        Quantity.CPU,
        "all pools read when members change",
        costs.percent(
            costs.at_target("pools_read_cpu"), TARGET.list_changes_per_second
        ),
        "% core",
        "maintenance/service.py _refresh",
    )
    reads = calls * MAINTENANCE_ROUNDS_PER_SECOND
    yield make_line(
        role, Quantity.READS, "of all daemons", sum_fleet(reads), "1/s", module
    )
    writes = costs.at_target("wave_writes").value / members
    per_second = writes * TARGET.workers / (SIX_WEEKS_DAYS * 86_400)
    yield make_line(
        role,
        Quantity.WRITES,
        "waves over all instances in 6 weeks",
        Estimate(per_second),
        "1/s",
        "maintenance/steps.py",
    )
    days = members * REBOOT_SECONDS / 86_400
    yield make_line(
        role,
        Quantity.TIME,
        "all instances maintained, one at a time per pool",
        Estimate(days),
        "days",
        "maintenance/waves.py",
        SIX_WEEKS_DAYS,
    )
