"""Orders run at most once and refusals are true under all faults.

Callers repeat each order through changing daemons while calls to the table
fail, replies are lost, writes arrive late, daemons are killed between claim,
send and outcome, and upstreams refuse. The verdicts are compared with the
upstream's record of runs.
"""

from random import Random

import pytest
import trio
from attrs import define, field
from hypothesis import given, settings, strategies as st
from trio.testing import MockClock

from hemlockstand.errors import HemlockstandError, OutcomeUnknown, PlatformUnavailable
from hemlockstand.platform.memory import MemoryTable
from hemlockstand.requests.orders import Claim, OrdersService
from hemlockstand.verdict import Answered, MayHaveRun, NotRun, Reason
from test.limit_fakes import Fleet

ORDERS = 6
ATTEMPTS = 8


@define
class FaultyTable:
    """A table with latency, errors, lost replies and late writes."""

    table: MemoryTable
    random: Random
    nursery: trio.Nursery
    fault_rate: float

    async def _cross_link(self):
        await trio.sleep(self.random.uniform(0.001, 0.3))
        if self.random.random() < self.fault_rate:
            raise PlatformUnavailable("fault of the test")

    async def read(self, key):
        await self._cross_link()
        return await self.table.read(key)

    async def read_many(self, keys):
        await self._cross_link()
        return await self.table.read_many(keys)

    async def scan(self, prefix, after="", limit=500):
        await self._cross_link()
        return await self.table.scan(prefix, after, limit)

    async def transact(self, operations):
        await self._cross_link()
        if self.random.random() < self.fault_rate:
            self.nursery.start_soon(self._apply_late, operations)
            raise OutcomeUnknown("the write may arrive late")
        versions = await self.table.transact(operations)
        if self.random.random() < self.fault_rate:
            raise OutcomeUnknown("reply lost")
        await trio.sleep(self.random.uniform(0.001, 0.1))
        return versions

    async def _apply_late(self, operations):
        await trio.sleep(self.random.uniform(0.0, 20.0))
        try:
            await self.table.transact(operations)
        except HemlockstandError:
            pass


@define(slots=False)
class Trial:
    """Daemons and callers of one trial, with the runs and verdicts."""

    fleet: Fleet
    random: Random
    fault_rate: float
    runs: dict = field(factory=dict)
    verdicts: dict = field(factory=dict)
    problems: list = field(factory=list)
    scopes: dict = field(factory=dict)
    services: dict = field(factory=dict)
    number: int = 0

    async def play(self):
        with trio.fail_after(10_000):
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                for name in ("entry-1", "entry-2"):
                    await self.start_daemon(name)
                async with trio.open_nursery() as callers:
                    for number in range(ORDERS):
                        callers.start_soon(self.call, f"order-{number}")
                        callers.start_soon(self.call, f"order-{number}")
                    callers.start_soon(self.kill_daemons)
                nursery.cancel_scope.cancel()
        self.check_verdicts()

    async def start_daemon(self, name):
        kernel = self.fleet.add(name)
        self.number += 1
        kernel.find("peers", object).incarnation = f"{name}-{self.number}"
        table = FaultyTable(
            self.fleet.table, self.random, self.nursery, self.fault_rate
        )
        kernel.find("platform", object).platform.table = table
        service = OrdersService(kernel)
        await service.start()
        self.scopes[name] = trio.CancelScope()
        self.services[name] = service
        self.nursery.start_soon(self.run_daemon, name, service)

    async def run_daemon(self, name, service):
        with self.scopes[name]:
            await service.run()

    async def kill_daemons(self):
        for _ in range(3):
            await trio.sleep(self.random.uniform(0.5, 6.0))
            name = self.random.choice(["entry-1", "entry-2"])
            self.scopes[name].cancel()
            await self.start_daemon(name)

    async def call(self, order):
        for _ in range(ATTEMPTS):
            name = self.random.choice(["entry-1", "entry-2"])
            with trio.move_on_after(self.random.uniform(0.3, 6.0)) as timeout_scope:
                verdict = await self.serve(name, order)
            if timeout_scope.cancelled_caught or verdict is None:
                verdict = MayHaveRun(order, Reason.ANSWER_LOST, "connection closed")
            self.verdicts.setdefault(order, []).append(verdict)
            await trio.sleep(self.random.uniform(0.0, 3.0))

    async def serve(self, name, order):
        """Do what dispatch does; return None if the daemon is killed."""
        service = self.services[name]
        with trio.CancelScope() as scope:
            killed = self.scopes[name]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watch_kill, killed, scope)
                verdict = await self.run_order(service, order)
                nursery.cancel_scope.cancel()
            return verdict
        return None

    async def watch_kill(self, killed, scope):
        while not killed.cancel_called:
            await trio.sleep(0.01)
        scope.cancel()

    async def run_order(self, service, order):
        claim = await service.claim("hinge", order)
        if not isinstance(claim, Claim):
            return claim
        await trio.sleep(self.random.uniform(0.0, 0.5))
        verdict = await self.run_upstream(order)
        await service.finish(claim, verdict)
        return verdict

    async def run_upstream(self, order):
        if self.random.random() < 0.3:
            return NotRun(Reason.UPSTREAM_REFUSED, "full", 1.0)
        number = self.runs.get(order, 0) + 1
        self.runs[order] = number
        await trio.sleep(self.random.uniform(0.0, 1.0))
        if self.random.random() < 0.2:
            return MayHaveRun(order, Reason.ANSWER_LOST, "upstream failed")
        return Answered(200, (), f"{order} run {number}".encode())

    def check_verdicts(self):
        for order, count in self.runs.items():
            assert count <= 1, f"{order} ran {count} times"
        for order, verdicts in self.verdicts.items():
            if all(isinstance(verdict, NotRun) for verdict in verdicts):
                assert order not in self.runs, f"{order} ran but was refused"
            for verdict in verdicts:
                if isinstance(verdict, Answered):
                    assert verdict.body == f"{order} run 1".encode()


@pytest.fixture(scope="module")
def directory(tmp_path_factory):
    return tmp_path_factory.mktemp("orders")


@given(seed=st.integers(0, 2**32), fault_rate=st.sampled_from([0.0, 0.1, 0.4]))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_orders_run_at_most_once(directory, seed, fault_rate):
    """Guards against double runs and false refusals under faults."""
    trial = Trial(Fleet(directory), Random(seed), fault_rate)
    trio.run(trial.play, clock=MockClock(autojump_threshold=0))
