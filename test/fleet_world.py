"""An in-process fleet on virtual time, for the tests of the scheduler.

The leaders are the product's; store, executors and instances are models of
the emulator. ``check_runs`` checks the runs that the executors recorded.
"""

from collections.abc import Callable
from contextlib import asynccontextmanager
from functools import partial
from itertools import count

import attrs
import trio
from attrs import define, field

from emulator.executor_access import ExecutorAccess
from emulator.fleet_executors import (
    ExecutorModel,
    RecordedRun,
    SubtaskBehaviour,
)
from emulator.fleet_instances import InstanceAccess, InstanceModel
from emulator.row_store import RowStoreAccess, RowStoreModel, Transaction
from hemlockstand.coordination.lease import LeaseLost
from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.clients import FleetClients
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.leader import Leader
from hemlockstand.fleet.lease import LeaseWatch
from hemlockstand.fleet.model import (
    Advice,
    EndKind,
    FleetConfig,
    InstanceEntry,
    InstanceState,
    JobSpec,
    Pool,
    Queue,
    Resources,
    Step,
    Tenant,
    Wave,
)
from hemlockstand.fleet.settings import (
    BoundSettings,
    CopySettings,
    FleetDaemonSettings,
    FleetListenSettings,
    FleetPlatformSettings,
    FleetSettings,
    SchedulerSettings,
)
from hemlockstand.fleet.storage import (
    CancelRecord,
    cancel_write,
    group_rows,
    job_part,
    job_range,
    job_write,
    read_lease,
)
from hemlockstand.platform.advice import AdviceClient, StepAdvice
from hemlockstand.serving.settings import ClientSettings
from hemlockstand.settings import LogSettings

LASTING = float("inf")
SMALL = Resources(1000, 512)
USUAL = Resources(16_000, 32_768)  # capacity of an instance


def make_settings(name: str) -> FleetSettings:
    """Return the settings of a daemon."""
    return FleetSettings(
        FleetDaemonSettings(name, "dc1", 1.0, 1.0),
        FleetListenSettings("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"),
        FleetPlatformSettings("store:1", "machines:1", ""),
        BoundSettings(10_000, 2000, 6, 120, 3000, 900, 3000),
        SchedulerSettings(1.2, 0.3, 0.25, 0.8),
        LogSettings("INFO", "json"),
        ClientSettings(200, 0.25, 1024, 0.5, 0.9, 16_384, 128, 5, 60, 20, 1024),
        copies=CopySettings(True, 1.3, 0.1, 0.1),
    )


@define(eq=False)
class FakeFleetConfiguration:
    """A configuration service whose values the test sets."""

    current: FleetConfig
    fresh: bool = True
    recently_confirmed: bool = True
    waves: dict[int, Wave] = field(factory=dict)


@define(eq=False)
class Daemon:
    """A daemon's clients of the platform, and its leader while it leads.

    A ``configuration`` of its own takes the place of the world's.
    """

    name: str
    rows: RowStoreAccess
    instances: InstanceAccess
    configuration: FleetConfigurationService | None = None
    cut_off: set[str] = field(factory=set)
    leader: Leader | None = None
    leaving: bool = False
    scope: trio.CancelScope = field(factory=trio.CancelScope)


@define(eq=False)
class AdviceModel:
    """An advice service that allows every executor, as ``AdviceClient``."""

    async def ask(self, step: str, executors: list[str]) -> StepAdvice:
        """Return a ticket for each executor that the call names."""
        await trio.sleep(0.05)
        return StepAdvice({name: f"{step} {name}" for name in executors}, 30_000)


@define(eq=False)
class FleetWorld:
    """Models of the platform, and the daemons that use it."""

    nursery: trio.Nursery
    store: RowStoreModel = field(factory=RowStoreModel)
    executors: dict[str, ExecutorModel] = field(factory=dict)
    records: list[RecordedRun] = field(factory=list)
    work: dict[str, SubtaskBehaviour] = field(factory=dict)
    specs: dict[str, tuple[Step, ...]] = field(factory=dict)
    configuration: FakeFleetConfiguration = field(init=False)
    instances: InstanceModel = field(init=False)
    daemons: dict[str, Daemon] = field(factory=dict)
    call_seconds: float = 0.002
    advice: AdviceClient | None = None
    _ids: count = field(factory=lambda: count(1))

    def __attrs_post_init__(self) -> None:
        self.configuration = FakeFleetConfiguration(make_config())
        self.instances = InstanceModel(self._remove_executor, self._start_executor)

    def _remove_executor(self, executor: str) -> None:
        self.executors.pop(executor).crash()
        self.store.remove("servers", executor)

    def _start_executor(self, instance: InstanceEntry) -> str:
        model = self.add_executor(
            instance.pool,
            instance.rack,
            instance.labels[0],
            capacity=instance.capacity,
            data_centre=instance.data_centre,
        )
        return model.id

    def add_executor(
        self, pool: str = "pool", rack: str = "r1", kind: str = "a", **values
    ) -> ExecutorModel:
        """Add an executor and write its entry to the store."""
        executor = f"i-{next(self._ids)}"
        model = ExecutorModel(
            executor, pool, self.describe, self.records, rack=rack, kind=kind, **values
        )
        model.clock_offset = trio.current_time() - 1000 * next(self._ids)
        model.on_restart = self.register_executor
        self.executors[executor] = model
        self.register_executor(model)
        return model

    def register_executor(self, model: ExecutorModel) -> None:
        """Write an executor's entry to the store."""
        self.store.put("servers", model.id, model.entry())

    def add_instances(
        self,
        pool: str,
        number: int,
        racks: int = 2,
        kind: str = "a",
        capacity: Resources = USUAL,
        data_centre: str = "dc1",
    ) -> None:
        """Add instances, with executors unless the pool is ``standby``."""
        for position in range(number):
            name = f"m-{next(self._ids)}"
            labels = (kind, f"r{position % racks + 1}")
            entry = InstanceEntry(
                name, pool, InstanceState.UP, data_centre, labels, capacity, ""
            )
            executor = "" if pool == "standby" else self._start_executor(entry)
            self.instances.instances[name] = attrs.evolve(entry, executor=executor)

    def resize_executor(self, model: ExecutorModel, capacity: Resources) -> None:
        """Change an executor's capacity and write its entry at once."""
        model.change_capacity(capacity)
        self.register_executor(model)

    def describe(self, subtask: str) -> SubtaskBehaviour:
        """Return the work of a subtask, as set for it, its step or its job."""
        step, _, _ = subtask.rpartition(".")
        job, _, _ = subtask.partition(".")
        for name in (subtask, step, job):
            if name in self.work:
                return self.work[name]
        return SubtaskBehaviour(1.0, size=SMALL)

    def submit(
        self,
        *steps: Step,
        work: SubtaskBehaviour | None = None,
        tenant: str = "team",
        **values,
    ) -> str:
        """Store a job as a frontend does; return its id."""
        job = f"{next(self._ids):016x}"
        if work is not None:
            self.work[job] = work
        self.specs[job] = steps
        queue = self.configuration.current.queues_by_name["queue"]
        spec = JobSpec(
            job, "queue", "pool", tenant, "payload", steps, terms=queue.terms, **values
        )
        write = job_write(spec)
        self.store.apply(Transaction((write,), (), ()))
        return job

    def evacuate(self, *data_centres: str) -> None:
        """Evacuate these data centres and no others."""
        self.configuration.current = attrs.evolve(
            self.configuration.current, evacuated=frozenset(data_centres)
        )

    def cancel(self, job: str) -> None:
        """Store a cancel as a frontend does."""
        write = cancel_write(job, CancelRecord(0))
        self.store.apply(Transaction((write,), (), ()))

    def state(self, job: str) -> str:
        """Return the state of a job that callers are shown."""
        rows = self.store.select("jobs", *job_range(job), job_part(job))
        rows += self.store.select("states", *job_range(job), "")
        return group_rows(rows)[job].state.value

    def lease_holder(self) -> str:
        """Return the daemon that holds the lease according to the store."""
        row = self.store.find("scheduler", "lease")
        record = None if row is None else read_lease(row)
        return "" if record is None else record.holder

    def start_daemon(self, name: str) -> Daemon:
        """Start a daemon that leads whenever it gets the lease."""
        daemon = Daemon(
            name, RowStoreAccess(self.store), InstanceAccess(self.instances)
        )
        self.daemons[name] = daemon
        self.nursery.start_soon(self._run_daemon, daemon)
        return daemon

    def connect_executor(
        self, executor: str, address: str, cut=lambda executor: False
    ) -> ExecutorAccess:
        """Return a client of an executor; ``cut`` tells if it is cut off."""
        return ExecutorAccess(self.executors, executor, address, cut, self.call_seconds)

    async def _run_daemon(self, daemon: Daemon) -> None:
        with daemon.scope:
            while not daemon.leaving:
                await self._lead(daemon)

    def find_clock(self, daemon: Daemon) -> Callable[[], float]:
        """Return the clock of a daemon for its next term."""
        return trio.current_time

    async def _lead(self, daemon: Daemon) -> None:
        settings = make_settings(daemon.name)
        clock = self.find_clock(daemon)
        watch = LeaseWatch(
            daemon.rows,
            daemon.name,
            f"{daemon.name}-{next(self._ids)}",
            settings.scheduler.lease_seconds,
            clock,
        )
        lease = None
        while lease is None:
            try:
                lease = await watch.try_acquire()
            except PlatformUnavailable:
                lease = None
            await trio.sleep(settings.scheduler.watch_seconds)
        connect = partial(self.connect_executor, cut=daemon.cut_off.__contains__)
        clients = FleetClients(connect, daemon.instances, self.advice)
        try:
            async with trio.open_nursery() as nursery:
                daemon.leader = Leader(
                    settings,
                    daemon.rows,
                    daemon.configuration or self.configuration,
                    lease,
                    clock,
                    clients,
                    nursery,
                )
                await daemon.leader.run(fresh=watch.previous is None)
        except* (LeaseLost, PlatformUnavailable):
            daemon.leader = None

    def kill(self, daemon: Daemon) -> None:
        """End a daemon at once, without releasing its lease."""
        daemon.scope.cancel()

    def stop(self, daemon: Daemon) -> None:
        """Make the leading daemon release its lease and end."""
        daemon.leaving = True
        daemon.leader.leave()

    async def wait_for(self, condition, seconds: float) -> None:
        """Wait until a condition holds; fail after ``seconds``."""
        with trio.fail_after(seconds):
            while not condition():
                await trio.sleep(0.02)

    def count_runs(self, prefix: str = "") -> int:
        """Return how many runs of a job, step or subtask have begun."""
        return sum(1 for run in self.records if run.subtask.startswith(prefix))

    def find_running(self, prefix: str = "") -> list[RecordedRun]:
        """Return the runs of a job, step or subtask that are in progress."""
        for model in self.executors.values():
            model.advance()
        return [
            run
            for run in self.records
            if run.ended_at is None and run.subtask.startswith(prefix)
        ]

    def check_capacities(self) -> None:
        """Check that no start brought an executor over its capacity."""
        over = [run for run in self.records if run.excess != Resources()]
        assert not over, f"{len(over)} starts over the capacity, such as {over[0]}"

    def check_runs(self) -> None:
        """Check that no subtask ran twice at the same time or after its end.

        For the second check, an end counts once it has been acknowledged.
        """
        for model in self.executors.values():
            model.advance()
        by_subtask: dict[str, list[RecordedRun]] = {}
        for run in self.records:
            by_subtask.setdefault(run.subtask, []).append(run)
        for subtask, runs in by_subtask.items():
            runs.sort(key=lambda run: run.began_at)
            for earlier, later in zip(runs, runs[1:], strict=False):
                assert earlier.ended_at is not None, f"{subtask} runs twice"
                assert earlier.ended_at <= later.began_at, f"{subtask} runs twice"
                done = earlier.kind is EndKind.DONE and earlier.acknowledged
                assert not done, (
                    f"{subtask} was started again after its acknowledged end"
                )

    def check_speculative_runs(self, attempts: int = 2) -> None:
        """Check the runs of subtasks that may run twice at the same time.

        A connected executor starts nothing more than a second after the
        acknowledged end of the subtask or of its last attempt, no run number
        is used twice, and no more than two runs go on at once.
        """
        for model in self.executors.values():
            model.advance()
        by_subtask: dict[str, list[RecordedRun]] = {}
        for run in self.records:
            by_subtask.setdefault(run.subtask, []).append(run)
        for subtask, runs in by_subtask.items():
            numbers = [run.number for run in runs]
            assert len(set(numbers)) == len(numbers), f"{subtask} repeats a number"
            for run in runs:
                assert run.ended_at is not None, f"{subtask} still runs"
            for run in runs:
                before = [
                    end
                    for end in runs
                    if end.acknowledged_at is not None
                    and end.acknowledged_at < run.began_at - 1
                ]
                if run.connected:
                    check_budget(before, run, subtask, attempts)
                beside = [
                    other
                    for other in runs
                    if other.began_at <= run.began_at < other.ended_at
                ]
                assert len(beside) <= 2, f"{subtask} runs three times at once"


def check_budget(
    ends: list[RecordedRun], run: RecordedRun, subtask: str, attempts: int
) -> None:
    """Check what had ended and was acknowledged when a run began."""
    done = [end for end in ends if end.kind is EndKind.DONE]
    assert not done, f"{subtask} was started long after its acknowledged end"
    failed = [end for end in ends if end.kind is EndKind.FAILED]
    assert len(failed) < attempts, f"{subtask} was started after its last attempt"


def make_step(count: int = 1, seconds: float = 1.0, **values) -> Step:
    """Return a step of small subtasks."""
    size = values.pop("size", SMALL)
    return Step(count, size, int(seconds * 1000), **values)


def make_config(
    maximum: Resources | None = None,
    attempts: int = 2,
    admission_check: bool = True,
    advice: Advice | None = None,
) -> FleetConfig:
    """Return a configuration with a queue, its pool and a standby pool."""
    queue = Queue(
        "queue", "host", "/queue/", "pool", False, 0, attempts, 1.6, 600, advice
    )
    pools = (Pool("pool", admission_check, False), Pool("standby", True, True))
    tenant = Tenant("team", frozenset({"key"}), 1.0, maximum or Resources())
    return FleetConfig(
        1, (queue,), {pool.name: pool for pool in pools}, {"team": tenant}, 262_144
    )


def add_wave(
    world: FleetWorld, names: list[str], maximum: int = 2, seconds: float = 30.0
) -> None:
    """Configure a wave that maintains the instances."""
    world.configuration.waves[1] = Wave(1, tuple(names), seconds, maximum)


def read_status(world: FleetWorld) -> str:
    """Return the status of the wave that operators read."""
    row = world.store.find("status", "wave/1")
    return "" if row is None else row.value.decode()


@asynccontextmanager
async def open_world():
    """Yield a world; its daemons end when the block is left."""
    async with trio.open_nursery() as nursery:
        yield FleetWorld(nursery)
        nursery.cancel_scope.cancel()
