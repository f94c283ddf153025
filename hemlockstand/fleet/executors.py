"""The scheduler's view of one executor, and the task that polls it.

The executor's own lists of running and ended runs are authoritative. Four
cases in which the scheduler cannot know what runs are resolved as follows:

* A start order without an answer may be carried out seconds later. The next
  call carries a higher fencing token, after which the executor refuses the
  order, and its answer shows whether the run exists.
* Runs on an unreachable executor end when the last lease that was granted to
  it has certainly expired.
* After a restart (a new lifetime) the executor has none of its earlier runs. Orders
  and leases name the lifetime that they are meant for, and a later one does not get
  them (``ExecutorClient``). One that a relay passes on, or that the executor's side
  holds back, may still reach it, so the lists of the new lifetime decide. Such a run
  may have a longer lease than was granted (``executor_leases``).
* An answer lists a limited number of ends. Until the rest is read, a run that is
  in neither list may have ended, and does not count as lost.
"""

from collections.abc import Callable, Iterable, Mapping

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.errors import (
    ConnectionRefused,
    HemlockstandError,
    OutcomeUnknown,
    PlatformUnavailable,
)
from hemlockstand.fleet.crash_record import CrashRecord
from hemlockstand.fleet.executor_events import ExecutorEvents
from hemlockstand.fleet.executor_leases import ExecutorLeases, Lifetime
from hemlockstand.fleet.model import (
    EndEntry,
    ExecutorEntry,
    HoldAnswer,
    Resources,
    RunEntry,
    get_reservation,
)
from hemlockstand.fleet.work import Run, RunState, Subtask
from hemlockstand.platform.executors import (
    ORDER_TIMEOUT_SECONDS,
    ExecutorClient,
    ExecutorReplaced,
    OrderRefused,
)

log = logger.bind(module=__name__)

RETRY_SECONDS = 0.3
# Pause between polls of an executor that does not answer and has no runs.
IDLE_RETRY_SECONDS = 0.7
UNSTORED_POLL_SECONDS = 0.02
LEASE_EXPIRY_MARGIN_SECONDS = 0.15
# An executor that is silent for less time may only have lost a call.
SILENT_SECONDS = 0.5
# Ends are acknowledged so soon after a list that no lifetime can have begun since
# and had ends of its own with the same numbers.
ACKNOWLEDGE_SECONDS = 0.3
# Executors give their first answer to a scheduler within this time.
FIRST_ANSWER_SECONDS = 0.25
_NEVER = float("-inf")


@define(eq=False)
class Executor:
    """An executor, across its restarts.

    ``is_in_store`` is set while the store has an entry of the executor, and
    ``reconciled`` once its lists have been read in full in the present lifetime.
    ``last_handled`` is the number of the last end that the scheduler has
    handled, ``acked`` that of the last one that it has stored, which the
    executor may forget. ``recorded`` means that the executor's name is stored
    for the next scheduler; before that it gets no runs. ``reserved`` means
    that its instance is about to be moved or maintained; it lasts as long as
    the plan, also over restarts. Until ``cold_until`` it is slow after its own
    start, and until ``returning_until`` the evacuation of its data centre has
    only just ended. ``previous_lease_end`` is the latest end of a lease that a
    previous scheduler has granted, and while ``lapse_stored`` is set it gets no
    other lease, as the store has the end of its last one. ``shows_stops`` is
    unset while its last list may name runs as at work that have ended since, as
    a previous scheduler had stopped them. ``unknown_runs`` names
    the runs in its last list that the scheduler has not started or adopted; they
    use room of unknown size until they have been stopped.
    """

    entry: ExecutorEntry
    client: ExecutorClient
    fence: int
    clock: Callable[[], float]
    events: ExecutorEvents
    hold_seconds: float
    is_in_store: bool = True
    reconciled: bool = False
    born_ms: int | None = None
    last_handled: int = 0
    acked: int = 0
    runs: dict[str, Subtask] = field(factory=dict)
    unknown_runs: frozenset[str] = frozenset()
    used: Resources = field(factory=Resources)
    failing_since: float | None = None
    failed_in_row: int = 0
    quarantined_until: float = _NEVER
    backoff_until: float = _NEVER
    cold_until: float = _NEVER
    returning_until: float = _NEVER
    reserved: bool = False
    recorded: bool = False
    previous_lease_end: float = _NEVER
    lapse_stored: bool = False
    shows_stops: bool = True
    closed: bool = False
    # It was idle and not polled, so it may have started again unnoticed.
    _unconfirmed: bool = False
    _added_at: float = field(init=False)
    _leases: ExecutorLeases = field(init=False)
    _listed_at: float = _NEVER  # time of its last answer with lists
    _forgotten: int = 0  # the last end that the executor has certainly dropped
    _restarted: bool = False  # the lists of the new lifetime were not read yet
    _left_drained: bool = False  # the earlier lifetime ended as it was meant to
    _logged_unread_ends_at: int = 0  # ``last_handled`` at that time
    _crash_record: CrashRecord = field(factory=CrashRecord)
    _wake: trio.Event = field(factory=trio.Event)
    _poll_scope: trio.CancelScope | None = None

    def __attrs_post_init__(self) -> None:
        self._added_at = self.clock()
        self._leases = ExecutorLeases(self.clock)
        self._set_cold_time()

    @property
    def id(self) -> str:
        """Identifier of the executor."""
        return self.entry.id

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self.failing_since is None

    @property
    def runs_end_at(self) -> float:
        """Time by which all runs have ended without further leases."""
        return max(
            self.previous_lease_end,
            self._leases.find_end(confirmed=True),
            *(self._find_run_end(subtask) for subtask in self.runs.values()),
        )

    def _find_run_end(self, subtask: Subtask) -> float:
        """Return when a run has ended without further leases."""
        run = subtask.find_run(self.id)
        end = self._leases.find_end(run is not None and run.confirmed)
        return max(self.previous_lease_end, end)

    @property
    def is_entry_current(self) -> bool:
        """Whether the entry in the store belongs to the present lifetime.

        After a restart, capacity and labels may differ, and the executor may
        answer before its new entry has been read.
        """
        born_ms = self.entry.born_ms
        return born_ms is None or self.born_ms is None or born_ms == self.born_ms

    @property
    def needs_record(self) -> bool:
        """Whether it has runs, may have unknown ones, or may get some.

        The next scheduler has to know of such an executor, and of one that may have
        crashed under its runs.
        """
        if self.runs or self.unknown_runs or not self.is_silent:
            return True
        if self.events.may_have_crashed(self):
            return True
        return self.clock() <= self.runs_end_at + LEASE_EXPIRY_MARGIN_SECONDS

    @property
    def is_silent(self) -> bool:
        """Whether it has not answered for so long that a single call is no reason."""
        if not self._leases.can_grant and not self.reconciled:
            return self.clock() >= self._added_at + FIRST_ANSWER_SECONDS
        if self.failing_since is None:
            return False
        return self.clock() >= self.failing_since + SILENT_SECONDS

    def has_room(self, size: Resources, fills: bool) -> bool:
        """Return whether a subtask fits.

        One that only uses spare cpu (``fills``) needs no cpu capacity.
        """
        capacity = self.entry.capacity
        if self.used.memory_mb + size.memory_mb > capacity.memory_mb:
            return False
        if self.used.accelerators + size.accelerators > capacity.accelerators:
            return False
        return fills or self.used.cpu_millis + size.cpu_millis <= capacity.cpu_millis

    def free_cpu(self) -> int:
        """Return the unreserved cpu in thousandths of a core.

        The runs of an executor that has shrunk may use more than it has.
        """
        return max(0, self.entry.capacity.cpu_millis - self.used.cpu_millis)

    def add_run(self, subtask: Subtask) -> None:
        """Count a run against the capacity."""
        self.runs[subtask.name] = subtask
        self.used = self.used.add(get_reservation(subtask.step), 1)
        self.wake()

    def remove_run(self, subtask: Subtask) -> None:
        """Free the capacity of a run."""
        if self.runs.pop(subtask.name, None) is not None:
            self.used = self.used.add(get_reservation(subtask.step), -1)

    def find_run(self, name: str) -> Run | None:
        """Return the run of a subtask with a name on this executor."""
        subtask = self.runs.get(name)
        return None if subtask is None else subtask.find_run(self.id)

    def wake(self) -> None:
        """Wake the task so that it polls the executor again."""
        self._wake.set()

    def poll_now(self) -> None:
        """Cancel a poll that could answer too late, and poll again."""
        if self._poll_scope is not None:
            self._poll_scope.cancel()
        self.wake()

    def raise_fence(self) -> None:
        """Make the executor refuse all orders that were sent before."""
        self.fence += 1
        self.poll_now()

    def update_entry(self, entry: ExecutorEntry) -> None:
        """Apply a newer entry of the executor in the store."""
        if entry.born_ms is not None and self.born_ms is not None:
            if entry.born_ms > self.born_ms:
                self._start_lifetime(entry.born_ms, "new entry")
        known, self.entry = self.entry, entry
        if known.born_ms != entry.born_ms:
            self.expect_previous_leases()
        # An entry that is read again tells how long it was cold when written.
        if (known.born_ms, known.cold_remaining_ms) != (
            entry.born_ms,
            entry.cold_remaining_ms,
        ):
            self._set_cold_time()
        self.is_in_store = True
        self.wake()

    def expect_previous_leases(self) -> None:
        """Expect that it has started again unnoticed by a previous scheduler."""
        self.expect_leases(self.events.previous_longest_end())

    def expect_leases(self, end: float) -> None:
        """Expect leases by the clock of an earlier lifetime up to a time."""
        self._leases.expect_earlier(end)

    def _set_cold_time(self) -> None:
        """Set until when the executor is cold, from an entry just read."""
        self.cold_until = _NEVER
        if self.entry.cold_remaining_ms:
            self.cold_until = self.clock() + self.entry.cold_remaining_ms / 1000

    def extend_lease(self, call_seconds: float = ORDER_TIMEOUT_SECONDS) -> int | None:
        """Extend the lease and return its end on the executor's clock.

        Returns None if no lease may be granted. The call that grants it may be
        under way for ``call_seconds``.
        """
        # The lease of an executor that does not answer is not extended: its
        # runs are started elsewhere once the lease has expired.
        if not self._leases.can_grant or self.failing_since is not None:
            return None
        if self.lapse_stored:
            return None
        until = self.events.grant_end()
        longest = self.events.longest_lease_seconds()
        return self._leases.grant(until, call_seconds, longest)

    def check_lifetime(self, clock_ms: int | None, sent_at: float) -> bool:
        """Return whether the known lifetime has answered an order.

        If a later one has, the executor is asked for its lists at once.
        """
        lifetime = self._leases.check_clock(clock_ms, sent_at)
        if lifetime is Lifetime.LATER:
            self.expect_restart()
        return lifetime is Lifetime.SAME

    def expect_restart(self) -> None:
        """Ask for the lists of a new lifetime, which has answered an order."""
        log.info("executor {} has started again, by its answer to an order", self.id)
        self._leases.forget_clock()
        self.reconciled = False
        self.poll_now()

    def _needs_poll(self) -> bool:
        """Return whether there is something to learn from the executor.

        One that does not answer is polled even without runs, because only its
        answer shows that it can take runs again.
        """
        return (
            bool(self.runs)
            or bool(self.unknown_runs)
            or not self.reconciled
            or not self.reachable
            or not self.is_entry_current
            or self.last_handled > self._forgotten
        )

    async def run(self) -> None:
        """Poll the executor and extend its lease until it is closed."""
        while not self.closed:
            self._wake = trio.Event()
            if not self._needs_poll():
                self._unconfirmed = True
                await self._wake.wait()
                continue
            await self._poll()
        await self.client.close()

    async def _poll(self) -> None:
        if not self.events.may_order() and self.clock() > self.events.last_grant_end():
            await trio.sleep(RETRY_SECONDS)
            return
        try:
            with trio.CancelScope() as scope:
                self._poll_scope = scope
                await self._hold()
        except ExecutorReplaced:
            self.failing_since = self.failing_since or self.clock()
            self._end_lifetime("another executor at the address")
            await trio.sleep(IDLE_RETRY_SECONDS)
        except (PlatformUnavailable, OutcomeUnknown, OrderRefused) as error:
            await self._handle_poll_failure(error)
        finally:
            self._poll_scope = None

    async def _hold(self) -> None:
        unstored = self._awaits_store
        # An executor with unacknowledged ends answers at once, and one that may
        # get no lease yet needs it soon, so the task itself waits for the store.
        if unstored:
            await trio.sleep(UNSTORED_POLL_SECONDS)
        acked = self._choose_acknowledged()
        answers_at_once = (
            self._awaits_store
            or not self.reconciled
            or not self.reachable
            or self._unconfirmed
            or self.acked > max(acked, self._forgotten)
        )
        wait = 0.0 if answers_at_once else self.hold_seconds
        sent_at = self.clock()
        if not self.shows_stops:
            # A list that is asked for later than this shows all of these stops.
            stops_end = self.events.previous_stops_end()
            wait = min(wait, max(0.0, stops_end - sent_at))
        fence = self.fence
        due_ms = self.extend_lease(ORDER_TIMEOUT_SECONDS + wait)
        answer = await self.client.hold(due_ms, fence, acked, wait)
        self._leases.set_clock(answer.clock_ms, sent_at)
        self._listed_at = self.clock()
        if answer.addressed:
            self._forgotten = max(acked, self._forgotten)
        self._reconcile(answer, sent_at, fence)
        if unstored and self._awaits_store:
            await trio.sleep(5 * UNSTORED_POLL_SECONDS)

    def _choose_acknowledged(self) -> int:
        """Return up to which number the executor may forget its ends.

        A new lifetime numbers its ends anew, so none are acknowledged to one that
        may have started again since its last list.
        """
        if self.acked <= self._forgotten:
            return 0
        recent = self.clock() - self._listed_at <= ACKNOWLEDGE_SECONDS
        return self.acked if recent and self.reachable else 0

    @property
    def _awaits_store(self) -> bool:
        return self.last_handled > self.acked or self.lapse_stored

    async def _handle_poll_failure(self, error: HemlockstandError) -> None:
        now = self.clock()
        if self.failing_since is None:
            self.failing_since = now
            log.warning("executor {} does not answer", self.id, detail=str(error))
        if isinstance(error, ConnectionRefused):
            # The next scheduler may not learn what ran here, so report it now.
            self._report_crash(self.runs.values(), proven=False)
        lapsed = [
            subtask
            for subtask in self.runs.values()
            if now > self._find_run_end(subtask) + LEASE_EXPIRY_MARGIN_SECONDS
        ]
        self._crash_record.add_lapsed(self.id, lapsed)
        for subtask in lapsed:
            self._report_lost(subtask, "lease has expired")
        await trio.sleep(RETRY_SECONDS if self.runs else IDLE_RETRY_SECONDS)

    def _reconcile(self, answer: HoldAnswer, sent_at: float, fence: int) -> None:
        """Update the known runs from the executor's lists."""
        if answer.born_ms is not None and answer.born_ms != self.born_ms:
            if self.born_ms is not None:
                self._start_lifetime(answer.born_ms, "lists of runs")
            elif answer.born_ms != self.entry.born_ms:
                self.expect_previous_leases()
            self.born_ms = answer.born_ms
        self.events.settle_crash(self, self.born_ms or 0)
        self.shows_stops = sent_at > self.events.previous_stops_end()
        listed = {entry.subtask: entry for entry in answer.running}
        for end in answer.ended:
            if end.number > self.last_handled:
                self._handle_end(end)
        lost = self._update_runs(listed, sent_at, fence)
        if answer.may_have_more_ends:
            self._log_unread_ends(len(lost))
        else:
            self._report_missing(lost)
        if self.failing_since is not None:
            log.info("executor {} answers again", self.id)
        self.failing_since = None
        if not answer.may_have_more_ends:
            self._restarted = self._left_drained = False
            self._crash_record.clear()
            self.reconciled = True
        self.events.handle_running(self, answer)
        self.unknown_runs = frozenset(listed.keys() - self.runs.keys())
        self._unconfirmed = False

    def _update_runs(
        self, listed: Mapping[str, RunEntry], sent_at: float, fence: int
    ) -> dict[Subtask, str]:
        """Update the runs that are listed; return the others that must be over.

        The value is the reason for which one is lost if no end of it is listed.
        """
        now = self.clock()
        lost: dict[Subtask, str] = {}
        for subtask in list(self.runs.values()):
            run = subtask.find_run(self.id)
            if run is None:
                self.remove_run(subtask)
                continue
            entry = listed.get(subtask.name)
            if entry is not None and entry.run == run.number:
                _update_run(run, entry.percent, entry.load, entry.checkpoint, now)
            elif run.answered_at is not None and run.answered_at < sent_at:
                lost[subtask] = "not in the executor's list"
            elif run.may_be_unstarted and run.fence < fence:
                lost[subtask] = "the start order was not carried out"
        return lost

    def _log_unread_ends(self, missing: int) -> None:
        if self._logged_unread_ends_at != self.last_handled:
            self._logged_unread_ends_at = self.last_handled
            log.info(
                "executor {} may have more ends than it lists",
                self.id,
                missing=missing,
                last_handled=self.last_handled,
                acked=self.acked,
            )

    def _report_missing(self, lost: Mapping[Subtask, str]) -> None:
        if self._restarted:
            self._report_crash(lost, proven=True)
        for subtask, reason in lost.items():
            self._report_lost(subtask, "new lifetime" if self._restarted else reason)

    def _handle_end(self, end: EndEntry) -> None:
        self.last_handled = end.number
        subtask = self.runs.get(end.subtask)
        run = self.find_run(end.subtask)
        if subtask is not None and run is not None and run.number == end.run:
            self.remove_run(subtask)
        self.events.handle_end(self, subtask, end)

    def _report_lost(self, subtask: Subtask, reason: str) -> None:
        self.remove_run(subtask)
        self.events.handle_lost_run(self, subtask, reason)

    def _start_lifetime(self, born_ms: int, reason: str) -> None:
        """Expect new lists; runs that are not in them were lost."""
        log.info("executor {} starts a new lifetime", self.id, detail=reason)
        self._forget_ends()
        self.events.settle_crash(self, born_ms)
        self.born_ms = born_ms
        self._leases.start_lifetime()
        self.expect_previous_leases()
        self.events.handle_restart(self, self._leases.earlier_end)
        self.reconciled = False
        self._restarted = True
        self._left_drained = self.entry.draining
        self.raise_fence()

    def _report_crash(self, subtasks: Iterable[Subtask], proven: bool) -> None:
        """Report the runs that the executor had when it stopped answering, once.

        Only another lifetime proves that it has crashed.
        """
        orders = self._crash_record.collect(self.id, subtasks)
        if not orders or self.entry.draining or self._left_drained:
            return
        failed_at = self.clock() if self.failing_since is None else self.failing_since
        ages = [(subtask, failed_at - ordered_at) for subtask, ordered_at in orders]
        self.events.handle_crash(self, ages, proven)

    def _end_lifetime(self, reason: str) -> None:
        self._forget_ends()
        self.events.settle_crash(self, None)
        self._report_crash(self.runs.values(), proven=True)
        self.unknown_runs = frozenset()
        for subtask in list(self.runs.values()):
            self._report_lost(subtask, reason)

    def _forget_ends(self) -> None:
        """Expect the numbers of ends to start anew."""
        self.last_handled = 0
        self.acked = 0
        self._forgotten = 0

    def close(self) -> None:
        """Let the task end."""
        self.closed = True
        self.poll_now()


def _update_run(run: Run, percent: int, load: int, checkpoint: str, now: float) -> None:
    if run.state in (RunState.STARTING, RunState.UNSURE):
        # Without an answer it may have begun long before it is listed.
        run.start_unknown = run.state is RunState.UNSURE
        run.state = RunState.RUNNING
    run.confirmed = True
    if run.answered_at is None:
        run.answered_at = now
    if percent != run.percent:
        run.percent = percent
        run.percent_at = now
        run.unchanged_polls = 0
    run.unchanged_polls += 1
    run.load = load
    run.checkpoint = checkpoint or run.checkpoint
