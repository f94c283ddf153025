"""Admission of submissions at a frontend.

Load pattern: a burst of a queue beyond what its pool can run, for longer than
its jobs are worth something. Each job that is stored beyond that takes the
place of another one, and its caller learns only at the deadline that nothing
has come of it. Such a submission is refused at once, with the time at which
it would be served.

Waiting jobs are served in two phases (``policy/waiting.py``): by deadline among
those that can be in time, then by deadline among the late ones, until they are
worth nothing. So a newcomer is worth something if it starts before the timely
work ahead of it has taken the time of its objective, or before all work ahead,
timely and late, has taken its whole time. It is refused only if neither can be,
even if nothing else arrives and all room that the pool could gain were there.

The pool is taken to serve its tenants in proportion to their weights::

    >>> ahead = {"flood": 600.0, "small": 0.0}
    >>> measure_wait("small", 8.0, ahead, {}, 16.0)
    1.0
    >>> measure_wait("flood", 8.0, ahead, {}, 16.0)
    38.0
"""

from collections.abc import Mapping
from math import inf

from attrs import frozen

from hemlockstand.fleet.load_view import InstanceKind, LoadView, QueueFactor
from hemlockstand.fleet.model import (
    JobSpec,
    Queue,
    Resources,
    Step,
    Tenant,
    get_reservation,
)
from hemlockstand.fleet.policy.sizing import count_fitting
from hemlockstand.fleet.policy.waiting import LATE_FACTOR, measure_chain

# Runs after which the expectation for a queue is taken as right.
MIN_RUNS = 30
# Factor on the time that a job has, where its estimate may be wrong.
UNSURE_FACTOR = 1.5
# Part of a pool that callers who come back are to fill: times are told in whole
# seconds, so they come in groups, and a pool is never full to the last core.
RETURN_FILL = 0.7
MIN_ESTIMATE_SECONDS = 0.01  # as ``Durations`` takes an estimate of 0


@frozen
class Admitted:
    """The job may be stored."""


@frozen
class Postponed:
    """The job would be worth nothing once it is done.

    ``reason`` is the label in the metrics. ``seconds`` is the time after which
    the job could be served if nobody had been told to come back, and
    ``turn_seconds`` what it takes of the time of those who come back after it.
    ``finish_seconds`` is the earliest completion, and ``limit_seconds`` the time
    for which the job is worth something.
    """

    reason: str
    detail: str
    seconds: float
    turn_seconds: float = 0.0
    finish_seconds: float = 0.0
    limit_seconds: float = 0.0


@frozen
class Unservable:
    """The job can never be served; ``reason`` is the label in the metrics."""

    reason: str
    detail: str


Decision = Admitted | Postponed | Unservable


@frozen
class Backlog:
    """Work ahead of a submission in its pool, as a frontend knows it.

    ``timely`` holds the core-seconds that can still be in time by tenant,
    including what a frontend has admitted since the view was made; ``late`` holds
    those of late jobs, ``told`` those of jobs that were told to come back.
    ``is_behind`` means that there are some of the same tenant. ``scale`` is the
    work of all frontends as a multiple of this one's, and ``own_cores`` the most that
    the tenant may use.
    """

    timely: Mapping[str, float]
    late: Mapping[str, float]
    told: Mapping[str, float]
    cores: float
    is_behind: bool = False
    scale: float = 1.0
    own_cores: float = inf

    def measure_wait(
        self,
        tenant: str,
        work: float,
        ahead: Mapping[str, float],
        weights: Mapping[str, float],
    ) -> float:
        """Return when the work ahead of the tenant, and ``work``, can be done."""
        own = ahead.get(tenant, 0.0) + work
        wait = measure_wait(tenant, work, ahead, weights, self.cores)
        return max(wait, own / self.own_cores)


def measure_work(spec: JobSpec, factor: float = 1.0) -> float:
    """Return the core-seconds of a job's short-lived work."""
    return sum(
        step.count * get_reservation(step).cpu_millis / 1000 * get_seconds(step, factor)
        for step in spec.steps
        if not step.lasting
    )


def get_seconds(step: Step, factor: float) -> float:
    """Return the expected seconds of a subtask."""
    return max(step.estimate_ms / 1000, MIN_ESTIMATE_SECONDS) * factor


def measure_longest_chain(spec: JobSpec, factor: float) -> float:
    """Return the expected seconds of the longest chain of a job's steps."""
    seconds = [get_seconds(step, factor) for step in spec.steps]
    return max(
        measure_chain(spec, position, seconds) for position in range(len(seconds))
    )


def measure_wait(
    tenant: str,
    work: float,
    ahead: Mapping[str, float],
    weights: Mapping[str, float],
    cores: float,
) -> float:
    """Return when a pool has done a tenant's work ahead and ``work``.

    While several tenants have work, each gets cores in proportion to its
    weight, so the others have got by then at most their part for that work.
    """
    own = ahead.get(tenant, 0.0) + work
    turn = own / (weights.get(tenant, 1.0) or 1.0)
    others = sum(
        min(amount, (weights.get(name, 1.0) or 1.0) * turn)
        for name, amount in ahead.items()
        if name != tenant
    )
    return (own + others) / cores


def find_unservable(
    spec: JobSpec, tenant: Tenant | None, view: LoadView | None
) -> Unservable | None:
    """Return why a job can never be served, if that is certain.

    A tenant's maximum is known from the configuration. Sizes count only by a
    view that has the capacity of all instances of all pools.
    """
    for position, step in enumerate(spec.steps):
        members = step.count if step.gang else 1
        if tenant is not None and exceeds(step.size.scale(members), tenant.maximum):
            what = "gang" if step.gang else "subtask"
            return Unservable(
                "maximum",
                f"Steps[{position}]: a {what} is larger than the maximum of the tenant",
            )
        if view is None or not view.complete or not view.kinds:
            continue
        room = sum(count_room(step, kind) for kind in view.kinds)
        if not room:
            return Unservable(
                "size", f"Steps[{position}]: a subtask is larger than any instance"
            )
        if step.gang and room < members:
            return Unservable(
                "gang",
                f"Steps[{position}]: {members} members, but all instances together "
                f"have room for {room}",
            )
    return None


def exceeds(size: Resources, maximum: Resources) -> bool:
    """Return whether a size is over a maximum, in which 0 sets no limit."""
    return (
        0 < maximum.cpu_millis < size.cpu_millis
        or 0 < maximum.memory_mb < size.memory_mb
        or 0 < maximum.accelerators < size.accelerators
    )


def count_room(step: Step, kind: InstanceKind) -> int:
    """Return how many subtasks of a step empty instances have room for."""
    size = get_reservation(step)
    if not size.fits(kind.capacity):
        return 0
    fitting = step.count
    if size != Resources():
        fitting = count_fitting(size, kind.capacity)
    return kind.count * min(fitting, step.max_per_executor or fitting)


def decide_on_time(
    spec: JobSpec,
    queue: Queue,
    backlog: Backlog,
    weights: Mapping[str, float],
    factor: QueueFactor,
) -> Admitted | Postponed:
    """Return whether a job can still be worth something if it is stored now.

    Jobs that last or have due times are never refused for lack of time, nor
    those without an objective and an estimate.
    """
    if spec.lasting or spec.timed or backlog.cores <= 0:
        return Admitted()
    if not queue.objective_ms and not any(step.estimate_ms for step in spec.steps):
        return Admitted()
    shortest = measure_longest_chain(spec, min(1.0, factor.factor))
    longest = measure_longest_chain(spec, max(1.0, factor.factor))
    objective = queue.slack_factor * longest + queue.objective_ms / 1000
    patience = 1.0 if factor.runs >= MIN_RUNS else UNSURE_FACTOR
    limit = LATE_FACTOR * objective * patience
    work = measure_work(spec, min(1.0, factor.factor))
    timely = add_up(backlog.timely, backlog.told)
    start, late_start, done = (
        backlog.measure_wait(spec.tenant, amount, ahead, weights)
        for amount, ahead in (
            (0.0, timely),
            (0.0, add_up(timely, backlog.late)),
            (work, add_up(timely, backlog.late)),
        )
    )
    finish = max(late_start + shortest, done)
    may_be_timely = start + shortest <= objective * patience
    is_useful = may_be_timely or finish <= limit
    if is_useful and not backlog.is_behind:
        return Admitted()
    # What is timely now is done or late after the time of the objective, and then
    # goes after those who come back.
    wait = min(
        objective,
        backlog.measure_wait(spec.tenant, 0.0, backlog.timely, weights),
    )
    told = add_up(backlog.told, {spec.tenant: work * backlog.scale})
    turn = backlog.measure_wait(spec.tenant, 0.0, told, weights)
    turn -= backlog.measure_wait(spec.tenant, 0.0, backlog.told, weights)
    turn /= RETURN_FILL
    if is_useful:
        detail = "others that were told to come back are ahead of the job"
        return Postponed("order", detail, wait, turn, finish, limit)
    detail = "the job would be worth nothing by the time it could be done"
    return Postponed("time", detail, wait, turn, finish, limit)


def add_up(*parts: Mapping[str, float]) -> dict[str, float]:
    """Return the sums of work by tenant."""
    return {
        tenant: sum(part.get(tenant, 0.0) for part in parts)
        for tenant in set().union(*parts)
    }


def decide_on_bounds(
    spec: JobSpec, queued: Mapping[str, int], tenant_limit: int, total_limit: int
) -> Admitted | Postponed:
    """Return whether one more job may be queued."""
    if queued.get(spec.tenant, 0) >= tenant_limit:
        return Postponed("tenant", f"the tenant has {tenant_limit} jobs queued", 1)
    if sum(queued.values()) >= total_limit:
        return Postponed("total", f"{total_limit} jobs are queued", 1)
    return Admitted()
