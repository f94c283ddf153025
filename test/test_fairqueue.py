"""Order and limits of the fair queue, by weight, rank and deadline."""

from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from hemlockstand.coordination.fairqueue import (
    BATCH,
    INTERACTIVE,
    URGENT,
    FairQueue,
    QueueFull,
)

FOREVER = 1e9
FLOWS = ("a", "b", "c")
WEIGHTS = {"a": 1.0, "b": 2.0, "c": 5.0}


class NaiveQueue:
    """Reference model that scans all entries of all flows.

    It keeps one list of entries and the finish time of each flow's last
    served entry, and searches for the smallest virtual finish time at each
    pop.
    """

    def __init__(self, minimum_fraction):
        self.minimum_fraction = minimum_fraction
        self.entries = []
        self.served_finish = {}
        self.virtual_time = {URGENT: 0.0, INTERACTIVE: 0.0, BATCH: 0.0}
        self.blocked = set()
        self.credit = 0.0

    def push(self, entry, front):
        key = (entry.rank, entry.flow)
        if not any((other.rank, other.flow) == key for other in self.entries):
            start = self.served_finish.get(key, 0.0)
            self.served_finish[key] = max(start, self.virtual_time[entry.rank])
        if front:
            self.entries.insert(0, entry)
        else:
            self.entries.append(entry)

    def unblock(self, flow):
        if flow not in self.blocked:
            return
        self.blocked.discard(flow)
        for rank, time in self.virtual_time.items():
            start = self.served_finish.get((rank, flow), 0.0)
            self.served_finish[rank, flow] = max(start, time)

    def find_finishes(self, rank, now):
        finishes = {}
        for entry in self.entries:
            if entry.rank != rank or entry.flow in finishes or entry.deadline <= now:
                continue
            if entry.flow not in self.blocked:
                start = self.served_finish[rank, entry.flow]
                finish = start + entry.cost / WEIGHTS[entry.flow]
                finishes[entry.flow] = max(finish, self.virtual_time[rank])
        return finishes

    def choose_rank(self, now):
        waiting = [
            rank
            for rank in (URGENT, INTERACTIVE, BATCH)
            if self.find_finishes(rank, now)
        ]
        if not waiting:
            return None
        if BATCH not in waiting:
            self.credit = 0.0
            return waiting[0]
        self.credit += self.minimum_fraction
        if waiting[0] == BATCH or self.credit >= 1.0 - 1e-9:
            self.credit = max(0.0, self.credit - 1.0)
            return BATCH
        return waiting[0]

    def find_candidates(self, now):
        """Return the rank and the flows that may be served next."""
        rank = self.choose_rank(now)
        if rank is None:
            return None, []
        finishes = self.find_finishes(rank, now)
        least = min(finishes.values())
        return rank, [
            flow for flow, finish in finishes.items() if finish <= least + 1e-9
        ]

    def serve(self, rank, flow, now):
        finish = self.find_finishes(rank, now)[flow]
        first = next(
            entry
            for entry in self.entries
            if (entry.rank, entry.flow) == (rank, flow) and entry.deadline > now
        )
        self.entries.remove(first)
        self.served_finish[rank, flow] = finish
        self.virtual_time[rank] = max(self.virtual_time[rank], finish)
        return first


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(
            st.just("push"),
            st.sampled_from(FLOWS),
            st.sampled_from((URGENT, INTERACTIVE, BATCH)),
            st.sampled_from((0.5, 1.0, 3.0)),
            st.sampled_from((2.0, 10.0, FOREVER)),
            st.booleans(),
        ),
        st.just(("pop",)),
        st.tuples(st.just("remove"), st.integers(0, 50)),
        st.tuples(st.just("block"), st.sampled_from(FLOWS)),
        st.tuples(st.just("unblock"), st.sampled_from(FLOWS)),
        st.just(("wait",)),
    ),
    max_size=120,
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(OPERATIONS, st.sampled_from((0.0, 0.1, 0.34)))
def test_same_order_as_naive_queue(operations, minimum_fraction):
    """Guards against an order that the heaps get wrong."""
    queue = FairQueue(1000, minimum_fraction)
    naive = NaiveQueue(minimum_fraction)
    now = 0.0
    for operation in operations:
        match operation:
            case ("push", flow, rank, cost, seconds, front):
                entry = queue.push(
                    object(),
                    flow,
                    WEIGHTS[flow],
                    now + seconds,
                    rank=rank,
                    cost=cost,
                    front=front,
                )
                naive.push(entry, front)
            case ("pop",):
                peeked = queue.peek(now)
                popped = queue.pop(now)
                assert popped is peeked
                rank, flows = naive.find_candidates(now)
                if rank is None:
                    assert popped is None
                else:
                    assert popped.rank == rank and popped.flow in flows
                    assert naive.serve(rank, popped.flow, now) is popped
            case ("remove", index) if naive.entries:
                entry = naive.entries.pop(index % len(naive.entries))
                queue.remove(entry)
            case ("block", flow):
                queue.block(flow)
                naive.blocked.add(flow)
            case ("unblock", flow):
                queue.unblock(flow)
                naive.unblock(flow)
            case ("wait",):
                now += 1.0
                expired = {id(entry) for entry in queue.expire(now)}
                late = [entry for entry in naive.entries if entry.deadline <= now]
                assert expired == {id(entry) for entry in late}
                naive.entries = [part for part in naive.entries if part not in late]
        assert len(queue) == len(naive.entries)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from("abcdef"), st.floats(0.1, 50.0), min_size=2, max_size=6
    )
)
def test_backlogged_flows_share_by_weight(weights):
    """Guards against a share that drifts from the weights under full load."""
    queue = FairQueue(100_000)
    for flow, weight in weights.items():
        for _ in range(2000):
            queue.push(flow, flow, weight, FOREVER)
    served = Counter(queue.pop(0.0).flow for _ in range(1000))
    total = sum(weights.values())
    for flow, weight in weights.items():
        # Self-clocked fair queueing deviates by at most one entry per flow.
        assert abs(served[flow] - 1000 * weight / total) <= len(weights) + 1


def test_unequal_demand_leaves_the_rest_to_the_others():
    """Guards against capacity that is reserved for a team without demand."""
    queue = FairQueue(100_000)
    served = Counter()
    for turn in range(3000):
        # Flow a demands a twentieth of the capacity, b and c have a backlog.
        if turn % 20 == 0:
            queue.push("a", "a", 1.0, FOREVER)
        queue.push("b", "b", 1.0, FOREVER)
        queue.push("c", "c", 3.0, FOREVER)
        served[queue.pop(0.0).flow] += 1
    assert served["a"] == 150
    assert abs(served["c"] / served["b"] - 3.0) < 0.05


def test_idle_flow_saves_up_no_service():
    """Guards against a flow that crowds out others after an idle time."""
    queue = FairQueue(100_000)
    for _ in range(500):
        queue.push("busy", "busy", 1.0, FOREVER)
    for _ in range(200):
        queue.pop(0.0)
    for _ in range(100):
        queue.push("late", "late", 1.0, FOREVER)
    served = Counter(queue.pop(0.0).flow for _ in range(100))
    assert abs(served["late"] - 50) <= 1


def test_expired_entries_earn_no_service():
    """Guards against a flow that is compensated for its expired entries."""
    queue = FairQueue(100_000)
    for _ in range(50):
        queue.push("late", "late", 1.0, 5.0)
    for _ in range(500):
        queue.push("busy", "busy", 1.0, FOREVER)
    for _ in range(300):
        queue.pop(6.0)
    for _ in range(50):
        queue.push("late", "late", 1.0, FOREVER)
    served = Counter(queue.pop(6.0).flow for _ in range(60))
    assert abs(served["late"] - 30) <= 1


def test_batch_gets_its_minimum_and_no_more_than_the_rest():
    """Guards against batch work that starves or delays interactive work."""
    queue = FairQueue(10_000, minimum_fraction=0.1)
    for _ in range(1000):
        queue.push("quote", "a", 1.0, FOREVER, rank=INTERACTIVE)
        queue.push("reconcile", "b", 1.0, FOREVER, rank=BATCH)
    served = Counter(queue.pop(0.0).item for _ in range(500))
    assert served == {"quote": 450, "reconcile": 50}


def test_urgent_before_interactive_before_batch():
    """Guards against ranks that are served in the wrong order."""
    queue = FairQueue(10)
    for rank in (BATCH, INTERACTIVE, URGENT):
        queue.push(rank, "a", 1.0, FOREVER, rank=rank)
    order = [queue.pop(0.0).item for _ in range(3)]
    assert order == [URGENT, INTERACTIVE, BATCH]


def test_full_queue_refuses():
    """Guards against a queue that grows without bound."""
    queue = FairQueue(2)
    queue.push("first", "a", 1.0, FOREVER)
    second = queue.push("second", "a", 1.0, FOREVER)
    with pytest.raises(QueueFull, match="2 entries wait, capacity 2"):
        queue.push("third", "a", 1.0, FOREVER)
    queue.remove(second)
    queue.push("third", "a", 1.0, FOREVER)


def test_memory_is_freed_after_use():
    """Guards against state that is kept for flows and deadlines after use."""
    queue = FairQueue(10_000)
    for number in range(5000):
        entry = queue.push(number, f"flow{number}", 1.0, FOREVER)
        if number % 2:
            queue.remove(entry)
            queue.peek(0.0)
        else:
            queue.pop(0.0)
    assert sum(len(rank.flows) for rank in queue._ranks) <= 2
    assert sum(len(rank.heap) for rank in queue._ranks) <= 2
    assert len(queue._deadlines) <= 70


def test_estimate_counts_turns_of_other_flows():
    """Guards against refusing a light team for the backlog of a heavy one."""
    queue = FairQueue(1000, minimum_fraction=0.1)
    for _ in range(100):
        queue.push("busy", "busy", 1.0, FOREVER)
    assert queue.estimate_ahead("light", 1.0, INTERACTIVE) == 0
    assert queue.estimate_ahead("busy", 1.0, INTERACTIVE) == 100
    assert queue.estimate_ahead("light", 1.0, BATCH) == 10
