"""The entities of the configuration that operators put in force.

All classes are immutable; a new version of the configuration shares its
unchanged entities with the version before. Names are unique per kind.
"""

from collections.abc import Mapping
from datetime import date
from enum import StrEnum

from attrs import field, frozen


class Access(StrEnum):
    """Who may submit to a queue."""

    OPEN = "open"
    KEYED = "keyed"


class Priority(StrEnum):
    """Order of service when a pool is full."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    BATCH = "batch"


class PoolKind(StrEnum):
    """The kind of the instances in a pool."""

    EXECUTORS = "executors"
    WORKERS = "workers"


@frozen
class Team:
    """A team with its share and its upper limits across the fleet.

    ``share`` is a positive weight against the other teams. ``request_limit``
    is the largest number of requests running at once. ``job_limit`` is the
    largest dominant share of the workers that its jobs may hold, 0 to 1.
    """

    name: str
    house: str
    share: float
    request_limit: int
    job_limit: float = 1.0


@frozen
class Pool:
    """A pool of instances.

    ``size`` is the number of instances that the sheet assigns to the pool,
    ``budget`` the largest number of them that may be unavailable at once.
    """

    name: str
    kind: PoolKind
    data_centres: tuple[str, ...]
    size: int
    budget: int


@frozen
class Queue:
    """A request queue; requests count against ``team``.

    ``deadline_seconds`` is the default and the longest deadline of a request.
    """

    name: str
    team: str
    access: Access
    idempotent: bool
    priority: Priority
    deadline_seconds: float
    pool: str
    spare_pool: str | None = None


@frozen
class Job:
    """A scheduled job that is wanted up to and including ``last_day``.

    ``cores`` and ``memory_mb`` are the declared sizes of one run,
    ``run_minutes`` its declared run time.
    """

    name: str
    team: str
    pool: str
    schedule: str
    last_day: date
    priority: Priority
    cores: float
    memory_mb: int
    run_minutes: float
    accelerators: int = 0


@frozen
class Key:
    """A granted key; the secret itself is never stored.

    ``digest`` is the hexadecimal SHA-256 of the salt followed by the secret.
    """

    name: str
    team: str
    salt: str
    digest: str


@frozen
class Configuration:
    """One version of the configuration.

    ``sheet_day`` is the day of the newest applied sheet. ``drains`` names the
    instances that operators took out of service, with the reason.
    """

    version: int = 0
    sheet_day: date | None = None
    teams: Mapping[str, Team] = field(factory=dict)
    pools: Mapping[str, Pool] = field(factory=dict)
    queues: Mapping[str, Queue] = field(factory=dict)
    jobs: Mapping[str, Job] = field(factory=dict)
    keys: Mapping[str, Key] = field(factory=dict)
    drains: Mapping[str, str] = field(factory=dict)
