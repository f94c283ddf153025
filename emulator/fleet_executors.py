"""Stand-in of the platform's executors, in process.

An executor runs subtasks under a lease on its own clock, keeps the highest
fencing token it has seen, and lists ends until they are acknowledged. All
runs are recorded, so that tests can check them afterwards.
"""

import json
from collections.abc import Callable

import trio
from attrs import define, field

from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.model import (
    EndEntry,
    EndKind,
    HoldAnswer,
    Refusal,
    Refused,
    Resources,
    RunEntry,
    Started,
    StartOrder,
    StartOutcome,
    Unanswered,
)
from hemlockstand.platform.executors import ExecutorReplaced, OrderRefused

STOP_SECONDS = 0.2
STARTUP_SECONDS = 0.3  # of a lasting subtask


@define(eq=False)
class RecordedRun:
    """A run that an executor has begun."""

    subtask: str
    number: int
    executor: str
    payload: str
    began_at: float
    ended_at: float | None = None
    kind: EndKind | None = None
    acknowledged: bool = False
    lapsed: bool = False  # the executor's lease ran out after the end


@define(eq=False)
class Work:
    """What a subtask does: how long it takes, and whether it fails."""

    seconds: float = 1.0
    fails: bool = False
    stalls: bool = False
    size: Resources = field(factory=Resources)

    @property
    def lasting(self) -> bool:
        """Whether it runs until it is stopped."""
        return self.seconds == float("inf")


@define(eq=False)
class _Running:
    record: RecordedRun
    work: Work
    began_at: float
    stops_at: float | None = None


@define(eq=False)
class ExecutorModel:
    """An executor with its lease, runs and ends."""

    id: str
    pool: str
    describe: Callable[[str], Work]
    records: list[RecordedRun]
    capacity: Resources = field(factory=lambda: Resources(16_000, 32_768))
    rack: str = "r1"
    kind: str = "a"
    data_centre: str = "dc1"
    born_ms: int = 1
    fence: int = 0
    due_ms: int = 0
    clock_offset: float = 0.0
    numbers: int = 0
    refused_up_to: dict[str, int] = field(factory=dict)
    running: dict[str, _Running] = field(factory=dict)
    ends: list[EndEntry] = field(factory=list)
    ended_records: dict[int, RecordedRun] = field(factory=dict)
    dark: bool = False
    draining: bool = False
    lost_answers: int = 0
    late_orders: int = 0
    unhealthy_orders: int = 0
    late: list[StartOrder] = field(factory=list)

    @property
    def clock_ms(self) -> int:
        """The executor's clock."""
        return int((trio.current_time() - self.clock_offset) * 1000)

    def entry(self) -> bytes:
        """Return what the executor writes into the store."""
        body = {
            "Backend": self.pool,
            "Address": f"{self.id}:1",
            "Zone": self.data_centre,
            "State": "draining" if self.draining else "ready",
            "Capacity": {
                "Cpu": self.capacity.cpu_millis,
                "MemMb": self.capacity.memory_mb,
            },
            "Labels": [self.kind, self.rack],
            "born": self.born_ms,
        }
        return json.dumps(body).encode()

    def advance(self) -> None:
        """Bring the runs up to the present."""
        now = trio.current_time()
        self._note_lapse()
        for name, run in list(self.running.items()):
            if self.due_ms <= self.clock_ms:
                self._end(name, EndKind.LAPSED, self.due_ms / 1000 + self.clock_offset)
            elif run.stops_at is not None and run.stops_at <= now:
                self._end(name, EndKind.STOPPED, run.stops_at)
            elif not run.work.stalls and run.began_at + run.work.seconds <= now:
                kind = EndKind.FAILED if run.work.fails else EndKind.DONE
                self._end(name, kind, run.began_at + run.work.seconds)

    def _note_lapse(self) -> None:
        """Mark the ends that the scheduler may not rely on any more."""
        if self.due_ms <= self.clock_ms:
            for record in self.ended_records.values():
                record.lapsed = True

    def _end(self, name: str, kind: EndKind, at: float) -> None:
        run = self.running.pop(name)
        run.record.ended_at = at
        run.record.kind = kind
        run.record.lapsed = self.due_ms <= self.clock_ms
        self.numbers += 1
        end = EndEntry(self.numbers, name, run.record.number, kind, "")
        self.ends.append(end)
        self.ended_records[self.numbers] = run.record
        self.refused_up_to[name] = run.record.number

    def crash(self) -> None:
        """End everything without a trace."""
        self.advance()
        for run in self.running.values():
            run.record.ended_at = trio.current_time()
        self.running.clear()
        self.ends.clear()
        self.ended_records.clear()
        self.late.clear()

    def restart(self) -> None:
        """Begin a new lifetime under the same id."""
        self.crash()
        self.born_ms += 1000
        self.fence = 0
        self.due_ms = 0
        self.numbers = 0
        self.refused_up_to.clear()
        self.clock_offset = trio.current_time()

    def begin(self, order: StartOrder) -> StartOutcome:
        """Carry out a start."""
        self.advance()
        if order.fence < self.fence:
            return Refused(Refusal.FENCE, self.clock_ms)
        self.fence = order.fence
        self.due_ms = max(self.due_ms, order.due_ms)
        known = self.running.get(order.subtask)
        if known is not None and known.record.number == order.run:
            return Started(self.clock_ms)
        if known is not None or order.run <= self.refused_up_to.get(order.subtask, 0):
            return Refused(Refusal.OLD, self.clock_ms)
        if order.due_ms <= self.clock_ms:
            return Refused(Refusal.LATE, self.clock_ms)
        work = self.describe(order.subtask)
        if not work.size.fits(self.room()):
            return Refused(Refusal.ROOM, self.clock_ms)
        now = trio.current_time()
        record = RecordedRun(order.subtask, order.run, self.id, order.payload, now)
        self.records.append(record)
        self.running[order.subtask] = _Running(record, work, now)
        return Started(self.clock_ms)

    def room(self) -> Resources:
        """Return what is not in use."""
        room = self.capacity
        for run in self.running.values():
            room = room.add(run.work.size, -1)
        return room

    def take_hold(self, due_ms: int | None, fence: int, acked: int) -> None:
        """Extend the lease and forget ends; raises ``OrderRefused``."""
        self.advance()
        self.take_fence(fence)
        if due_ms is not None:
            self.due_ms = max(self.due_ms, due_ms)
        for end in self.ends:
            record = self.ended_records[end.number]
            if end.number <= acked and not record.lapsed:
                record.acknowledged = True
        self.ends = [end for end in self.ends if end.number > acked]

    def take_fence(self, fence: int) -> None:
        """Note a fencing token; raises ``OrderRefused`` for a lower one."""
        if fence < self.fence:
            raise OrderRefused("fence")
        self.fence = fence

    def list_all(self) -> HoldAnswer:
        """Return what runs and what has ended."""
        self.advance()
        return HoldAnswer(
            self.clock_ms,
            self.born_ms,
            tuple(self._list_runs()),
            tuple(self.ends),
        )

    def _list_runs(self):
        now = trio.current_time()
        for name, run in self.running.items():
            age = now - run.began_at
            if run.work.lasting:
                percent = 100 if age >= STARTUP_SECONDS else 50
            elif run.work.stalls:
                percent = 1
            else:
                percent = min(99, int(100 * age / run.work.seconds))
            yield RunEntry(name, run.record.number, "", percent, 0)

    def stop(self, subtask: str, number: int) -> None:
        """Stop a run, or refuse it when it comes."""
        self.advance()
        run = self.running.get(subtask)
        if run is not None and run.record.number == number:
            run.stops_at = run.stops_at or trio.current_time() + STOP_SECONDS
            return
        earlier = self.refused_up_to.get(subtask, 0)
        self.refused_up_to[subtask] = max(earlier, number)

    def carry_out_late(self) -> list[StartOutcome]:
        """Carry out the orders that were held back."""
        outcomes = [self.begin(order) for order in self.late]
        self.late.clear()
        return outcomes


@define(eq=False)
class ExecutorAccess:
    """One daemon's client of an executor, as ``ExecutorClient``."""

    models: dict[str, ExecutorModel]
    executor: str
    address: str
    cut: Callable[[str], bool] = field(default=lambda executor: False)
    call_seconds: float = 0.002

    async def _reach(self) -> ExecutorModel:
        await trio.sleep(self.call_seconds)
        model = self.models.get(self.executor)
        if model is None:
            raise ExecutorReplaced("another executor at the address")
        if model.dark or self.cut(self.executor):
            await trio.sleep(0.5)
            raise OutcomeUnknown("no answer")
        return model

    async def start(self, order: StartOrder) -> StartOutcome:
        """Start a run."""
        try:
            model = await self._reach()
        except OutcomeUnknown as error:
            return Unanswered(str(error))
        except ExecutorReplaced:
            return Refused(Refusal.OTHER_LIFETIME)
        if model.late_orders:
            model.late_orders -= 1
            model.late.append(order)
            await trio.sleep(0.5)
            return Unanswered("held back")
        if model.unhealthy_orders:
            model.unhealthy_orders -= 1
            return Refused(Refusal.UNHEALTHY)
        outcome = model.begin(order)
        if model.lost_answers:
            model.lost_answers -= 1
            return Unanswered("the answer was lost")
        return outcome

    async def hold(
        self, due_ms: int | None, fence: int, acked: int, wait_seconds: float
    ) -> HoldAnswer:
        """Hold, and wait for an end."""
        model = await self._reach()
        model.take_hold(due_ms, fence, acked)
        give_up_at = trio.current_time() + wait_seconds
        while not model.ends and trio.current_time() < give_up_at:
            await trio.sleep(0.02)
            model.advance()
            if model.dark:
                raise OutcomeUnknown("no answer")
        return model.list_all()

    async def stop(self, subtask: str, run: int, fence: int) -> None:
        """Stop a run."""
        model = await self._reach()
        model.take_fence(fence)
        model.stop(subtask, run)

    async def pace(self, subtask: str, run: int, percent: int, fence: int) -> None:
        """Take a pace; the stand-in does not slow down."""
        model = await self._reach()
        if model.draining:
            raise PlatformUnavailable("leaving")

    async def close(self) -> None:
        """Do nothing; there is no connection."""
