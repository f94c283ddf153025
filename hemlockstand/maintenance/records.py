"""Rows of the table that hold pools, instances and waves.

``instance/ID`` has exactly one ``pool`` field and is the authority on where
an instance belongs. ``pool/POOL`` lists the members that count towards the
pool's availability and the planned disruptions among them. Every step of a
move or of maintenance changes both in one transaction.
"""

from collections.abc import Mapping
from enum import StrEnum

import cattrs
from attrs import evolve, field, frozen

from hemlockstand.platform.interface import Put, Row

POOL_PREFIX = "pool/"
INSTANCE_PREFIX = "instance/"
WAVE_PREFIX = "wave/"


class Phase(StrEnum):
    """Phase of an instance in a move or in maintenance.

    ``joining`` instances belong to their new pool but do not count towards
    its availability until they are healthy; ``bad`` ones came back unhealthy
    from a reboot.
    """

    SERVING = "serving"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    JOINING = "joining"
    BAD = "bad"


@frozen
class InstanceState:
    """An instance as in its row of the table.

    ``target`` is the pool that a move leads to, ``wave`` the wave that
    maintains it. Times are in seconds since the epoch; ``boots_before`` is the
    boot count before a reboot, so that any daemon can tell whether the reboot
    has happened.
    """

    id: str
    pool: str
    version: int = 0
    phase: Phase = Phase.SERVING
    target: str = ""
    wave: str = ""
    since: float = 0.0
    boots_before: int = 0
    maintained_at: float = 0.0


@frozen
class PoolState:
    """A pool as in its row of the table.

    ``disruptions`` maps each member that is planned to be unavailable to the
    reason. ``joining`` instances belong to the pool but are not yet members.
    """

    name: str
    version: int = 0
    budget: int = 0
    members: tuple[str, ...] = ()
    disruptions: Mapping[str, str] = field(factory=dict)
    joining: tuple[str, ...] = ()


class WaveState(StrEnum):
    """State of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    HALTED = "halted"
    DONE = "done"


@frozen
class Wave:
    """A maintenance wave over some pools.

    An instance is done when its ``maintained_at`` is not before
    ``started_at``. ``bad`` names instances that came back unhealthy.
    """

    id: str
    pools: tuple[str, ...]
    started_at: float
    version: int = 0
    state: WaveState = WaveState.RUNNING
    reason: str = ""
    bad: tuple[str, ...] = ()
    finished_at: float = 0.0


def decode_instance(name: str, row: Row) -> InstanceState:
    """Return the instance; the pool is empty if the row is absent."""
    value = {"pool": "", **row.value, "id": name, "version": row.version}
    return cattrs.structure(value, InstanceState)


def decode_pool(name: str, row: Row) -> PoolState:
    """Return the pool; an absent row is a pool without members."""
    value = {**row.value, "name": name, "version": row.version}
    return cattrs.structure(value, PoolState)


def decode_wave(row: Row) -> Wave:
    """Return the wave of a row, which must not be absent."""
    return cattrs.structure({**row.value, "version": row.version}, Wave)


def encode_instance(instance: InstanceState) -> Put:
    """Return the conditional write of the instance's row."""
    return _encode(INSTANCE_PREFIX + instance.id, instance)


def encode_pool(pool: PoolState) -> Put:
    """Return the conditional write of the pool's row."""
    return _encode(POOL_PREFIX + pool.name, pool)


def encode_wave(wave: Wave) -> Put:
    """Return the conditional write of the wave's row."""
    return _encode(WAVE_PREFIX + wave.id, wave)


def _encode(key: str, record: InstanceState | PoolState | Wave) -> Put:
    value = cattrs.unstructure(record)
    version = value.pop("version")
    return Put(key, value, version)


def add_disruption(pool: PoolState, instance: str, reason: str) -> PoolState:
    """Return the pool with a planned disruption of the member."""
    return evolve(pool, disruptions={**pool.disruptions, instance: reason})


def end_disruption(pool: PoolState, instance: str) -> PoolState:
    """Return the pool with the member counted as available again."""
    kept = {name: why for name, why in pool.disruptions.items() if name != instance}
    return evolve(pool, disruptions=kept)


def add_joining(pool: PoolState, instance: str) -> PoolState:
    """Return the pool with an instance that is joining it."""
    return evolve(pool, joining=tuple(sorted({*pool.joining, instance})))


def add_member(pool: PoolState, instance: str) -> PoolState:
    """Return the pool with one more member."""
    joining = tuple(name for name in pool.joining if name != instance)
    members = tuple(sorted({*pool.members, instance}))
    return evolve(pool, members=members, joining=joining)


def remove_member(pool: PoolState, instance: str) -> PoolState:
    """Return the pool without the instance and without its disruption."""
    kept = tuple(name for name in pool.members if name != instance)
    joining = tuple(name for name in pool.joining if name != instance)
    return evolve(end_disruption(pool, instance), members=kept, joining=joining)
