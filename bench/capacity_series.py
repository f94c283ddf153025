"""Measured series of the capacity page: one mechanism at several sizes."""

from collections.abc import Awaitable, Callable, Iterator, Sequence
from time import process_time

from attrs import frozen

from bench.slopes import Slope, fit_slope

REPEATS = 3


@frozen
class Target:
    """The two-year size, with assumptions where the target states no number.

    ``daemons`` is three for each data centre, as today. The target does not
    state ``jobs``, ``queues`` and ``keys``; 10 jobs, 2 queues and 2 keys per
    team are assumed. A job has one run at a time, so there is one task per
    worker when all jobs run, which is the case counted here. ``run_seconds``
    is the length of a run.
    """

    workers: int = 5600
    pools: int = 239
    teams: int = 570
    data_centres: int = 22
    regions: int = 6
    daemons: int = 66
    changes_per_day: int = 25_000
    failures_per_day: int = 99
    restarts_per_day: int = 1900
    jobs: int = 5700
    queues: int = 1140
    keys: int = 1140
    tasks_per_worker: int = 1
    run_seconds: float = 1200.0

    @property
    def instances(self) -> int:
        """Length of the instance list."""
        return self.workers + self.daemons

    @property
    def workers_per_pool(self) -> int:
        """Workers of one pool, rounded up."""
        return -(-self.workers // self.pools)

    @property
    def pools_per_daemon(self) -> float:
        """Pools that one daemon owns on average."""
        return self.pools / self.daemons

    @property
    def changes_per_second(self) -> float:
        """Mean rate of changes of the configuration."""
        return self.changes_per_day / 86_400

    @property
    def list_changes_per_second(self) -> float:
        """Rate at which the instance list changes.

        Each failure, restart or replacement changes it twice: the instance is
        removed, and it or its replacement is added.
        """
        return 2 * (self.failures_per_day + self.restarts_per_day) / 86_400


TARGET = Target()


@frozen
class Series:
    """Points of one mechanism, their slope and the extrapolation."""

    name: str
    mechanism: str
    size_name: str
    unit: str
    target: float
    slope: Slope

    @property
    def value(self) -> float:
        """The cost at the target size."""
        return self.slope.extrapolate(self.target)

    @property
    def error(self) -> float:
        """One standard error of the value."""
        return self.slope.extrapolate_error(self.target)


Measure = Callable[[int], float]


def make_series(
    name: str,
    mechanism: str,
    size_name: str,
    unit: str,
    target: float,
    points: Sequence[tuple[float, float]],
) -> Series:
    """Return the series of these points of (size, cost)."""
    sizes, costs = zip(*points, strict=True)
    return Series(name, mechanism, size_name, unit, target, fit_slope(sizes, costs))


def measure_points(sizes: Sequence[int], measure: Measure) -> list[tuple[int, float]]:
    """Return a point for each size."""
    return [(size, measure(size)) for size in sizes]


def time_calls(function: Callable[[], object], calls: int) -> float:
    """Return the processor microseconds of one call.

    This is the smallest of ``REPEATS`` measurements, because other load on
    the machine only ever adds processor time.
    """
    return min(_time_once(function, calls) for _ in range(REPEATS))


def _time_once(function: Callable[[], object], calls: int) -> float:
    began = process_time()
    for _ in range(calls):
        function()
    return (process_time() - began) / calls * 1e6


async def time_async(function: Callable[[], Awaitable], calls: int) -> float:
    """Return the processor microseconds of one awaited call.

    Like ``time_calls``, this is the smallest of ``REPEATS`` measurements.
    """
    return min([await _time_async_once(function, calls) for _ in range(REPEATS)])


async def _time_async_once(function: Callable[[], Awaitable], calls: int) -> float:
    began = process_time()
    for _ in range(calls):
        await function()
    return (process_time() - began) / calls * 1e6


def name_data_centres(count: int) -> tuple[str, ...]:
    """Return names of data centres, as long as those of deployments."""
    return tuple(f"region{number % 6}-dc{number:02}" for number in range(count))


def name_daemons(count: int) -> Iterator[str]:
    """Yield names of daemons."""
    return (f"entry-{number:03}" for number in range(count))
