"""In-process stand-in for the platform's executors.

An executor runs subtasks under a lease on its own clock, remembers the highest
fencing token that it has seen, and lists the ends of runs until they are
acknowledged. All runs are recorded, so that tests can check them afterwards.
"""

import json
import time
from collections.abc import Callable

import trio
from attrs import define, field

from emulator.capacities import EarlierCapacities
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
)
from hemlockstand.platform.executors import OrderRefused

STOP_SECONDS = 0.2
LONGEST_HOLD_MS = 10_000
LISTED_ENDS = 500
CRASH_SECONDS = 0.01
RESTART_SECONDS = 3.0  # time until an executor is back after a crash
STARTUP_SECONDS = 0.3  # time until a lasting subtask reports 100 percent


@define(eq=False)
class RecordedRun:
    """A run that an executor has started.

    ``excess`` is by how much the start brought the executor over its capacity.
    ``connected`` tells whether the executor was in touch with the scheduler at
    the start, as far as the test's world knows.
    """

    subtask: str
    number: int
    executor: str
    payload: str
    began_at: float
    excess: Resources = field(factory=Resources)
    ended_at: float | None = None
    kind: EndKind | None = None
    acknowledged: bool = False
    acknowledged_at: float | None = None
    lapsed: bool = False  # the lease had expired at the run's end, or has since
    connected: bool = True


@define(eq=False)
class SubtaskBehaviour:
    """The behaviour of a subtask.

    It takes ``seconds`` and then fails if ``fails``; one that ``stalls`` makes
    no progress and does not end by itself. One that ``crashes_executor`` ends its
    executor ``CRASH_SECONDS`` after its start. ``size`` is the resources that
    it occupies.
    """

    seconds: float = 1.0
    fails: bool = False
    stalls: bool = False
    crashes_executor: bool = False
    size: Resources = field(factory=Resources)

    @property
    def lasting(self) -> bool:
        """Whether the subtask runs until it is stopped."""
        return self.seconds == float("inf")


@define(eq=False)
class _Running:
    record: RecordedRun
    behaviour: SubtaskBehaviour
    began_at: float
    stops_at: float | None = None

    def kills_executor(self, now: float) -> bool:
        return self.behaviour.crashes_executor and now >= self.began_at + CRASH_SECONDS


@define(eq=False)
class ExecutorModel:
    """An executor with its lease, runs and ends.

    ``describe`` returns the behaviour of a subtask. Without an
    ``admission_check``, what does not fit is started as well. The lease ends at
    ``due_ms`` of the executor's clock. An answer lists ``listed_ends`` ends at
    most. ``refused_up_to`` holds for each
    subtask the highest run number that is refused. Faults: ``unresponsive``
    leaves all calls without an answer; of the coming start orders,
    ``lost_answers`` are carried out without an answer, ``late_orders`` are
    held in ``late`` until ``execute_late_orders``, and ``unhealthy_orders``
    are refused. After a crash no process listens until ``back_at``;
    ``on_restart`` is called when it is back, ``report_start`` with each run that
    begins. While it ``refuses_connections``, a network device does so in its
    place, and what runs goes on. While it is ``silent``, connections stay open and
    no call gets an answer, also none that was in progress; ``silences`` counts
    these times. The entry says for how long the executor is cold, until
    ``cold_until``; its work is not slower. With ``takes_earlier_calls``, calls that
    are meant for a lifetime
    reach a later one as well, as through a relay that keeps connections open.
    """

    id: str
    pool: str
    describe: Callable[[str], SubtaskBehaviour]
    records: list[RecordedRun]
    capacity: Resources = field(factory=lambda: Resources(16_000, 32_768))
    rack: str = "r1"
    kind: str = "a"
    data_centre: str = "dc1"
    admission_check: bool = True
    earlier_capacities: EarlierCapacities = field(factory=EarlierCapacities)
    born_ms: int = 1
    fence: int = 0
    due_ms: int = 0
    clock_offset: float = 0.0
    last_end_number: int = 0
    refused_up_to: dict[str, int] = field(factory=dict)
    running: dict[str, _Running] = field(factory=dict)
    ends: list[EndEntry] = field(factory=list)
    listed_ends: int = LISTED_ENDS
    ended_records: dict[int, RecordedRun] = field(factory=dict)
    unresponsive: bool = False
    silent: bool = False
    refuses_connections: bool = False
    silences: int = 0
    takes_earlier_calls: bool = True
    draining: bool = False
    cold_until: float = 0.0
    lost_answers: int = 0
    late_orders: int = 0
    unhealthy_orders: int = 0
    late: list[tuple[float, StartOrder]] = field(factory=list)
    crashed_at: list[float] = field(factory=list)
    back_at: float | None = None
    on_restart: Callable[["ExecutorModel"], None] = field(default=lambda model: None)
    report_start: Callable[["ExecutorModel", RecordedRun], None] = field(
        default=lambda model, record: None
    )

    @property
    def clock_ms(self) -> int:
        """The time on the executor's clock."""
        return int((trio.current_time() - self.clock_offset) * 1000)

    @property
    def cold_remaining_ms(self) -> int:
        """How much longer the executor is slow."""
        return max(0, int((self.cold_until - trio.current_time()) * 1000))

    def entry(self) -> bytes:
        """Return the value of the executor's row in the store."""
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
            "ColdRemainingMs": self.cold_remaining_ms,
            "born": self.born_ms,
        }
        return json.dumps(body).encode()

    def advance(self) -> None:
        """End the runs that have ended by now or whose lease has expired."""
        now = trio.current_time()
        if self.back_at is not None and self.back_at <= now:
            self.back_at = None
            self.restart()
            self.on_restart(self)
        self._mark_lapsed_ends()
        if any(run.kills_executor(now) for run in self.running.values()):
            self.crash_process()
        for name, run in list(self.running.items()):
            if self.due_ms <= self.clock_ms:
                self._end(name, EndKind.LAPSED, self.due_ms / 1000 + self.clock_offset)
            elif run.stops_at is not None and run.stops_at <= now:
                self._end(name, EndKind.STOPPED, run.stops_at)
            elif (
                not run.behaviour.stalls and run.began_at + run.behaviour.seconds <= now
            ):
                kind = EndKind.FAILED if run.behaviour.fails else EndKind.DONE
                self._end(name, kind, run.began_at + run.behaviour.seconds)

    def _mark_lapsed_ends(self) -> None:
        """Mark the ends that the scheduler may no longer rely on.

        Once the lease has expired, these are all ends so far.
        """
        if self.due_ms <= self.clock_ms:
            for record in self.ended_records.values():
                record.lapsed = True

    def _end(self, name: str, kind: EndKind, at: float) -> None:
        run = self.running.pop(name)
        run.record.ended_at = at
        run.record.kind = kind
        run.record.lapsed = self.due_ms <= self.clock_ms
        self.last_end_number += 1
        end = EndEntry(self.last_end_number, name, run.record.number, kind, "")
        self.ends.append(end)
        self.ended_records[self.last_end_number] = run.record
        self.refused_up_to[name] = run.record.number

    def end_run(self, subtask: str, kind: EndKind) -> None:
        """End a run now, as if by itself."""
        self.advance()
        self._end(subtask, kind, trio.current_time())

    def crash_process(self) -> None:
        """Crash, and start again with the same id after some seconds."""
        now = trio.current_time()
        self.crashed_at.append(now)
        self.back_at = now + RESTART_SECONDS
        self._drop_runs()

    def crash(self) -> None:
        """End all runs without listing their ends, and drop the listed ones."""
        self.advance()
        self._drop_runs()

    def _drop_runs(self) -> None:
        for run in self.running.values():
            run.record.ended_at = trio.current_time()
        self.running.clear()
        self.ends.clear()
        self.ended_records.clear()
        self.late.clear()

    def restart(self) -> None:
        """Crash and start again with the same id and a new start time."""
        self.crash()
        self.born_ms = max(self.born_ms + 1000, int(time.time() * 1000))
        self.fence = 0
        self.due_ms = 0
        self.last_end_number = 0
        self.refused_up_to.clear()
        self.earlier_capacities.clear()
        self.clock_offset = trio.current_time()

    def is_lifetime(self, born_ms: int | None) -> bool:
        """Return whether calls that are meant for a lifetime are carried out."""
        return self.takes_earlier_calls or born_ms in (None, self.born_ms)

    def fall_silent(self) -> None:
        """Stop answering, while what runs goes on."""
        self.silent = True
        self.silences += 1

    def answer_again(self) -> None:
        """Answer calls again."""
        self.silent = False

    def change_capacity(self, capacity: Resources) -> None:
        """Shrink or grow; the entry in the store shows it once written."""
        self.earlier_capacities.add(self.capacity)
        self.capacity = capacity

    def begin(self, order: StartOrder, delay: float = 0.0) -> StartOutcome:
        """Start a run, or refuse an order that took ``delay`` to arrive."""
        self.advance()
        if order.fence < self.fence:
            return Refused(Refusal.FENCE, self.clock_ms)
        self.fence = order.fence
        self._extend_lease(order.due_ms)
        known = self.running.get(order.subtask)
        if known is not None and known.record.number == order.run:
            return Started(self.clock_ms)
        if known is not None or order.run <= self.refused_up_to.get(order.subtask, 0):
            return Refused(Refusal.OLD, self.clock_ms)
        if order.due_ms <= self.clock_ms:
            return Refused(Refusal.LATE, self.clock_ms)
        behaviour = self.describe(order.subtask)
        fits = behaviour.size.fits(self.free_resources())
        if self.admission_check and not fits:
            return Refused(Refusal.ROOM, self.clock_ms)
        now = trio.current_time()
        record = RecordedRun(order.subtask, order.run, self.id, order.payload, now)
        used = self.capacity.add(self.free_resources(), -1).add(behaviour.size)
        record.excess = self.earlier_capacities.measure_excess(
            behaviour.size, used, self.capacity, delay
        )
        self.records.append(record)
        self.running[order.subtask] = _Running(record, behaviour, now)
        self.report_start(self, record)
        return Started(self.clock_ms)

    def _extend_lease(self, due_ms: int) -> None:
        """Extend the lease, up to the longest that the platform permits."""
        longest = self.clock_ms + LONGEST_HOLD_MS
        self.due_ms = max(self.due_ms, min(due_ms, longest))

    def free_resources(self) -> Resources:
        """Return the capacity that the running subtasks leave free."""
        free = self.capacity
        for run in self.running.values():
            free = free.add(run.behaviour.size, -1)
        return free

    def handle_hold(self, due_ms: int | None, fence: int, acked: int) -> None:
        """Extend the lease and remove the ends up to ``acked`` from the list.

        Raises ``OrderRefused``.
        """
        self.advance()
        self.accept_fence(fence)
        if due_ms is not None:
            self._extend_lease(due_ms)
        for end in self.ends:
            record = self.ended_records[end.number]
            if end.number <= acked and not record.lapsed and not record.acknowledged:
                record.acknowledged = True
                record.acknowledged_at = trio.current_time()
        self.ends = [end for end in self.ends if end.number > acked]

    def accept_fence(self, fence: int) -> None:
        """Store a fencing token; raises ``OrderRefused`` for a lower one."""
        if fence < self.fence:
            raise OrderRefused("fence")
        self.fence = fence

    def make_hold_answer(self) -> HoldAnswer:
        """Return the answer to a hold call: the runs and the listed ends."""
        self.advance()
        return HoldAnswer(
            self.clock_ms,
            self.born_ms,
            tuple(self._list_runs()),
            tuple(self.ends[: self.listed_ends]),
            len(self.ends) >= self.listed_ends,
        )

    def _list_runs(self):
        now = trio.current_time()
        for name, run in self.running.items():
            age = now - run.began_at
            if run.behaviour.lasting:
                percent = 100 if age >= STARTUP_SECONDS else 50
            elif run.behaviour.stalls:
                percent = 1
            else:
                percent = min(99, int(100 * age / run.behaviour.seconds))
            yield RunEntry(name, run.record.number, "", percent, 0)

    def stop(self, subtask: str, number: int) -> None:
        """Stop a run, or refuse its start order if that arrives later."""
        self.advance()
        run = self.running.get(subtask)
        if run is not None and run.record.number == number:
            run.stops_at = run.stops_at or trio.current_time() + STOP_SECONDS
            return
        earlier = self.refused_up_to.get(subtask, 0)
        self.refused_up_to[subtask] = max(earlier, number)

    def execute_late_orders(self) -> list[StartOutcome]:
        """Carry out the start orders held in ``late``; return the outcomes."""
        now = trio.current_time()
        outcomes = [self.begin(order, now - sent_at) for sent_at, order in self.late]
        self.late.clear()
        return outcomes
