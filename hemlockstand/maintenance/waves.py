"""Order of a maintenance wave: one failure domain of a pool at a time."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import groupby

from attrs import frozen

from hemlockstand.maintenance.records import (
    InstanceState,
    Phase,
    PoolState,
    Wave,
    WaveState,
)
from hemlockstand.platform.interface import InstanceRecord


@frozen
class Domain:
    """A failure domain with the instances of one pool in it."""

    data_centre: str
    rack: str
    instances: tuple[str, ...]


def list_domains(
    members: Iterable[str], records: Mapping[str, InstanceRecord]
) -> Iterator[Domain]:
    """Yield the racks of a pool, one data centre after the other."""
    known = (records[name] for name in members if name in records)
    ordered = sorted(known, key=lambda entry: (entry.data_centre, entry.rack, entry.id))
    for (data_centre, rack), group in groupby(
        ordered, key=lambda entry: (entry.data_centre, entry.rack)
    ):
        yield Domain(data_centre, rack, tuple(entry.id for entry in group))


def is_done(instance: InstanceState, wave: Wave) -> bool:
    """Return whether the wave has nothing left to do on the instance."""
    return instance.maintained_at >= wave.started_at or instance.id in wave.bad


def choose_next(
    wave: Wave,
    pool: PoolState,
    instances: Mapping[str, InstanceState],
    records: Mapping[str, InstanceRecord],
) -> list[str]:
    """Return the instances of the pool to maintain now, in order.

    They are ordered by data centre, then rack; the budget decides how many of
    them start. The next domain may begin while the last instances of the one
    before are under way: a barrier between data centres took 1.65 times the
    shortest time at 24 instances and a budget of 3. Once an instance has come
    back bad, the wave stays in the data centre where it is.

    There is no canary instance: with 8 instances and a budget of 2 it would
    add a quarter to the time, and the budget limits how many instances a bad
    wave makes unavailable.
    """
    if wave.state is not WaveState.RUNNING:
        return []
    members = [name for name in pool.members if name in instances]
    left = [name for name in members if not is_done(instances[name], wave)]
    domains = list(list_domains(left, records))
    if not domains:
        return []
    return [
        name
        for domain in domains
        if not wave.bad or domain.data_centre == domains[0].data_centre
        for name in domain.instances
        if instances[name].phase is Phase.SERVING
    ]


def count_left(
    wave: Wave, pools: Iterable[PoolState], instances: Mapping[str, InstanceState]
) -> int:
    """Return how many members the wave still has to maintain."""
    return sum(
        name in instances and not is_done(instances[name], wave)
        for pool in pools
        for name in pool.members
    )
