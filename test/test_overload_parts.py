"""Retry budget, backoff, outlier ejection and concurrency window."""

from random import Random

from hypothesis import given, settings, strategies as st

from hemlockstand.coordination.concurrency import MIN_WINDOW, ConcurrencyWindow
from hemlockstand.coordination.ejection import OutlierEjector
from hemlockstand.coordination.retries import Backoff, RetryBudget


@settings(derandomize=True, deadline=None)
@given(st.lists(st.booleans(), max_size=2000), st.floats(0.0, 1.0))
def test_retries_never_exceed_the_fraction(actions, fraction):
    """Guards against retries that multiply an overload."""
    budget = RetryBudget(fraction)
    for is_first in actions:
        if is_first:
            budget.record_first_try()
        else:
            budget.try_spend()
        assert budget.retries <= fraction * budget.first_tries + 1e-6


def test_unused_retry_budget_is_bounded():
    """Guards against a burst of retries that is saved up while load is low."""
    budget = RetryBudget(0.1, max_earned=20)
    for _ in range(100_000):
        budget.record_first_try()
    assert sum(budget.try_spend() for _ in range(1000)) == 20


def test_delays_are_jittered_and_bounded():
    """Guards against clients that all retry at the same time."""
    backoff = Backoff(base=0.01, maximum=0.1, random=Random(1))
    delays = [backoff.delay(attempt) for attempt in range(1, 9) for _ in range(50)]
    assert all(0 <= delay <= 0.1 for delay in delays)
    assert len(set(delays)) == len(delays)


def test_ejection_grows_and_ends_with_a_success():
    """Guards against a failing target that is readmitted as fast each time."""
    ejector = OutlierEjector(consecutive_failures=3, base_seconds=2.0)
    ejector.add("a")
    ejector.add("b")
    for _ in range(3):
        ejector.record_failure("a", 0.0)
    assert not ejector.may_use("a", 1.9) and ejector.may_use("a", 2.1)
    ejector.record_failure("a", 2.1)
    assert not ejector.may_use("a", 6.0) and ejector.may_use("a", 6.2)
    ejector.record_success("a", 6.2)
    ejector.record_failure("a", 6.3)
    assert ejector.may_use("a", 6.3)


def test_common_failure_ejects_at_most_half():
    """Guards against a pool that is unusable because all its members fail."""
    ejector = OutlierEjector(consecutive_failures=2, max_fraction=0.5)
    names = [f"e{number}" for number in range(6)]
    for name in names:
        ejector.add(name)
    for _ in range(10):
        for name in names:
            ejector.record_failure(name, 0.0)
    assert sum(ejector.may_use(name, 0.1) for name in names) == 3


def test_frequent_failures_between_successes_eject():
    """Guards against ejection that counts consecutive failures only.

    A target that fails four of five requests never fails five in a row.
    """
    ejector = OutlierEjector(consecutive_failures=5)
    ejector.add("a")
    ejector.add("b")
    for _ in range(40):
        for _ in range(4):
            ejector.record_failure("a", 0.0)
        if not ejector.may_use("a", 0.0):
            break
        ejector.record_success("a", 0.0)
    assert not ejector.may_use("a", 0.0)


def test_failures_count_as_load_for_a_time():
    """Guards against a target that gets more work because it fails fast."""
    ejector = OutlierEjector()
    ejector.record_failure("a", 0.0)
    ejector.record_failure("a", 0.0)
    assert ejector.penalty("a", 0.0) == 2.0
    assert ejector.penalty("a", 1.0) == 1.0
    assert ejector.penalty("a", 20.0) == 0.0


class SimulatedUpstream:
    """An upstream with ``slots`` slots and a queue, in simulated time.

    With ``refuses`` it refuses requests instead of queueing them. Each fifth
    request takes ``slowness`` times as long.
    """

    def __init__(self, slots, service_seconds, refuses, slowness=1):
        self.slowness = slowness
        self.submitted = 0
        self.slots = slots
        self.service_seconds = service_seconds
        self.refuses = refuses
        self.free_at = [0.0] * slots

    def submit(self, now):
        """Return the time of the answer, or ``None`` for a refusal."""
        self.submitted += 1
        first = min(range(self.slots), key=self.free_at.__getitem__)
        if self.refuses and self.free_at[first] > now:
            return None
        seconds = self.service_seconds * (1 if self.submitted % 5 else self.slowness)
        done_at = max(now, self.free_at[first]) + seconds
        self.free_at[first] = done_at
        return done_at


def offer_load(window, upstream, seconds, step=0.001):
    """Send as many requests as the window allows.

    Return the answers and the refusals per second.
    """
    running = []
    answers = refusals = 0
    for tick in range(int(seconds / step)):
        now = tick * step
        for started_at, _ in [part for part in running if part[1] <= now]:
            window.record_answer(now, now - started_at)
            answers += 1
        running = [part for part in running if part[1] > now]
        while window.has_room(now):
            window.acquire(now)
            done_at = upstream.submit(now)
            if done_at is None:
                window.record_refusal(now)
                refusals += 1
                break
            running.append((now, done_at))
    return answers / seconds, refusals / seconds


def test_window_fills_a_queueing_server_without_a_long_queue():
    """Guards against idle slots and against requests that queue upstream."""
    window = ConcurrencyWindow()
    answers, _ = offer_load(window, SimulatedUpstream(8, 0.02, refuses=False), 20)
    assert answers >= 0.9 * 400
    assert window.size <= 8 * 3


def test_window_fills_a_refusing_server_with_few_refusals():
    """Guards against refusals that use up the retry budget."""
    window = ConcurrencyWindow()
    answers, refusals = offer_load(window, SimulatedUpstream(8, 0.02, refuses=True), 20)
    assert answers >= 0.85 * 400
    assert refusals <= 0.1 * answers


def test_mixed_service_times_are_no_congestion():
    """Guards against a window that collapses if each fifth request is slow."""
    window = ConcurrencyWindow()
    upstream = SimulatedUpstream(8, 0.01, refuses=False, slowness=20)
    answers, _ = offer_load(window, upstream, 20)
    capacity = 8 / (0.01 * (4 + 20) / 5)
    assert answers >= 0.85 * capacity


def test_first_answer_starts_no_reduction():
    """Guards against treating the initial latency as a measured one."""
    window = ConcurrencyWindow(size=1.0)
    for turn in range(3):
        window.acquire(turn * 0.01)
        window.record_answer(turn * 0.01 + 0.001, 0.001)
    # The window of two was never full, so it neither grows nor shrinks.
    assert window.size == 2.0


def test_window_below_one_limits_the_rate():
    """Guards against an overload by more senders than the target has slots."""
    window = ConcurrencyWindow(size=0.25, latency=0.02)
    window.acquire(0.0)
    window.record_ignored()
    assert not window.has_room(0.079)
    assert window.has_room(0.081)


def test_refusals_shrink_below_one_and_answers_recover():
    """Guards against a window that stays small after an overload."""
    window = ConcurrencyWindow()
    now = 0.0
    for _ in range(60):
        now = max(now + 0.1, window.next_start())
        window.acquire(now)
        window.record_refusal(now)
    assert window.size < 0.1
    assert window.size >= MIN_WINDOW
    for _ in range(30):
        now = max(now + 0.1, window.next_start())
        window.acquire(now)
        window.record_answer(now + 0.02, 0.02)
    assert window.size >= 2.0
