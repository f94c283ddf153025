"""Moves and waves keep budgets and pool membership through failures."""

import pytest
import trio
from attrs import define, evolve, field
from hypothesis import given, settings, strategies

from emulator.local_machines import LocalMachines
from hemlockstand.errors import (
    HemlockstandError,
    InvalidInput,
    NotFound,
    OutcomeUnknown,
)
from hemlockstand.maintenance.records import (
    INSTANCE_PREFIX,
    POOL_PREFIX,
    WAVE_PREFIX,
    Phase,
    Wave,
    WaveState,
    add_disruption,
    decode_instance,
    decode_pool,
    decode_wave,
    encode_instance,
    encode_pool,
    encode_wave,
)
from hemlockstand.maintenance.rounds import MaintenanceRounds
from hemlockstand.maintenance.steps import InstanceSteps
from hemlockstand.model import Pool, PoolKind
from hemlockstand.platform.interface import MachineHealth
from hemlockstand.platform.memory import MemoryTable
from test.helper import YieldingTable

FRAME = Pool("frame", PoolKind.WORKERS, ("dc0", "dc1"), size=8, budget=2)
LEDGER = Pool("ledger", PoolKind.WORKERS, ("dc2",), size=4, budget=1)
POOLS = (FRAME, LEDGER)


@define
class Fleet:
    """Two pools on a table and machines in memory, with a clock of its own."""

    table: YieldingTable = field(factory=YieldingTable)
    machines: LocalMachines = field(init=False)
    now: float = 1000.0
    most_unavailable: dict = field(factory=dict)

    def __attrs_post_init__(self):
        names = {f"i{index:02}": "frame" for index in range(8)}
        names |= {f"i{index:02}": "ledger" for index in range(8, 12)}
        self.machines = LocalMachines(names, observe=self.record_unavailable)

    def record_unavailable(self, _=None):
        """Record the most members out of service in each pool so far."""
        for pool in self.list_pools():
            unavailable = sum(
                not self.machines.is_serving(name) for name in pool.members
            )
            self.most_unavailable[pool.name] = max(
                unavailable, self.most_unavailable.get(pool.name, 0)
            )

    def make_rounds(self):
        """Return the rounds of one more daemon on the same table."""
        steps = InstanceSteps(
            self.table,
            self.machines,
            lambda: self.now,
            health_wait_seconds=5,
            max_bad=2,
        )
        return MaintenanceRounds(steps, self.machines.list_records)

    async def start_wave(self):
        wave = Wave("w1", ("frame", "ledger"), self.now)
        await self.table.transact([encode_wave(wave)])

    async def read_wave(self):
        return decode_wave(await self.table.read(WAVE_PREFIX + "w1"))

    async def step(self, rounds):
        """Step both pools once; a failed platform call ends the step."""
        row = await self.table.read(WAVE_PREFIX + "w1")
        waves = [decode_wave(row)] if row.version else []
        for pool in POOLS:
            try:
                await rounds.step_pool(pool, waves)
            except HemlockstandError:
                pass

    async def repeat(self, rounds, count):
        for _ in range(count):
            await self.step(rounds)
            self.now += 1

    def list_pools(self):
        return [
            decode_pool(key.removeprefix(POOL_PREFIX), row)
            for key, row in self.table.rows.items()
            if key.startswith(POOL_PREFIX)
        ]

    def read_instance(self, name):
        return decode_instance(name, self.table.rows[INSTANCE_PREFIX + name])

    def check_invariants(self):
        """Check that each instance is in one pool and budgets hold."""
        pools = self.list_pools()
        for name in self.machines.pools:
            owning_pools = [p.name for p in pools if name in (*p.members, *p.joining)]
            assert len(owning_pools) == 1
            assert owning_pools == [self.read_instance(name).pool]
        for pool in pools:
            assert len(pool.disruptions) <= pool.budget
        for pool in POOLS:
            assert self.most_unavailable.get(pool.name, 0) <= pool.budget


@pytest.fixture
def fleet():
    return Fleet()


async def test_wave_reboots_every_instance_once(fleet):
    """Guards against instances that a wave misses or reboots twice."""
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    await fleet.start_wave()
    await fleet.repeat(rounds, 40)
    assert sorted(fleet.machines.reboots) == sorted(fleet.machines.pools)
    fleet.check_invariants()


async def test_two_daemons_step_one_wave(fleet):
    """Guards against two daemons that exceed a budget together."""
    first, second = fleet.make_rounds(), fleet.make_rounds()
    await fleet.repeat(first, 1)
    await fleet.start_wave()
    for _ in range(30):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.step, first)
            nursery.start_soon(fleet.step, second)
        fleet.now += 1
        fleet.check_invariants()
    assert set(fleet.machines.reboots) == set(fleet.machines.pools)


async def test_two_disruptions_at_once_share_one_budget(fleet):
    """Guards against two daemons that each see the budget unused."""
    first, second = fleet.make_rounds(), fleet.make_rounds()
    await fleet.repeat(first, 1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_try_move, fleet, first, "i08")
        nursery.start_soon(_try_move, fleet, second, "i09")
    ledger = await first.steps.read_pool("ledger")
    assert len(ledger.disruptions) == 1
    fleet.check_invariants()


async def test_wave_halts_when_instances_come_back_bad(fleet):
    """Guards against a bad image that is rolled out to the whole fleet."""
    fleet.machines.bad = set(fleet.machines.pools)
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    await fleet.start_wave()
    await fleet.repeat(rounds, 40)
    wave = await fleet.read_wave()
    assert wave.state is WaveState.HALTED
    assert "came back bad" in wave.reason
    assert len(fleet.machines.reboots) <= 4
    fleet.check_invariants()


async def test_wave_counts_unplanned_failures(fleet):
    """Guards against a wave that goes on while a rack is down."""
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    fleet.machines.bad = {"i00", "i01", "i08"}
    for name in fleet.machines.bad:
        fleet.machines.fail(name)
    await fleet.start_wave()
    await fleet.repeat(rounds, 10)
    assert set(fleet.machines.reboots) <= fleet.machines.bad


async def test_drains_are_recalled_when_failures_exceed_the_budget(fleet):
    """Guards against planned drains on top of failures beyond the budget."""
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    records = fleet.machines.list_records()
    await rounds.steps.move("i00", "ledger", records)
    await rounds.steps.move("i01", "ledger", records)
    fleet.machines.states["i00"] = fleet.machines.states["i01"] = _draining("i01")
    fleet.machines.fail("i05")
    fleet.machines.fail("i06")
    await fleet.repeat(rounds, 2)
    pool = await rounds.steps.read_pool("frame")
    assert pool.disruptions == {}
    assert fleet.read_instance("i00").phase is Phase.SERVING


def _draining(name):
    return MachineHealth(name, "draining", True, 0)


async def test_move_ends_in_exactly_one_pool(fleet):
    """Guards against an instance that is in two pools or in none."""
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    await rounds.steps.move("i00", "ledger", fleet.machines.list_records())
    for _ in range(4):
        await fleet.repeat(rounds, 1)
        fleet.check_invariants()
    ledger = await rounds.steps.read_pool("ledger")
    assert "i00" in ledger.members
    assert fleet.read_instance("i00").phase is Phase.SERVING


async def test_move_is_refused_with_a_code(fleet):
    """Guards against an invalid move that is accepted or has no code."""
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    records = fleet.machines.list_records()
    with pytest.raises(HemlockstandError, match="not_found"):
        await rounds.steps.move("i99", "ledger", records)
    with pytest.raises(InvalidInput, match="same_pool"):
        await rounds.steps.move("i00", "frame", records)
    await rounds.steps.move("i08", "frame", records)
    with pytest.raises(InvalidInput, match="budget_exhausted"):
        await rounds.steps.move("i09", "frame", records)


FAULTS = strategies.lists(
    strategies.sampled_from(["step", "lost", "down", "wait", "move", "other"]),
    max_size=40,
)


@given(FAULTS)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_budgets_hold_under_any_order_of_faults(faults):
    """Guards against interleavings that the other tests do not cover."""
    trio.run(_apply_faults, faults)


async def _apply_faults(faults):
    fleet = Fleet()
    rounds = [fleet.make_rounds(), fleet.make_rounds()]
    await fleet.repeat(rounds[0], 1)
    await fleet.start_wave()
    for index, fault in enumerate(faults):
        match fault:
            case "step":
                await fleet.repeat(rounds[0], 1)
            case "other":
                await fleet.repeat(rounds[1], 1)
            case "lost":
                lost = OutcomeUnknown("reply lost")
                await _step_with_lost_write(fleet, rounds[0], lost)
            case "down":
                fleet.machines.unreachable = True
                await fleet.step(rounds[1])
                fleet.machines.unreachable = False
            case "move":
                await _try_move(fleet, rounds[0], f"i{index % 12:02}")
            case _:
                fleet.now += 3
        fleet.check_invariants()


async def _step_with_lost_write(fleet, rounds, error):
    transact = fleet.table.transact

    async def lose(operations):
        await transact(operations)
        raise error

    rounds.steps.table = _LossyTable(fleet.table, lose)
    await fleet.step(rounds)
    rounds.steps.table = fleet.table


@define
class _LossyTable:
    _table: MemoryTable
    transact: object

    def __getattr__(self, name):
        return getattr(self._table, name)


async def _try_move(fleet, rounds, name):
    target = "ledger" if fleet.read_instance(name).pool == "frame" else "frame"
    try:
        await rounds.steps.move(name, target, fleet.machines.list_records())
    except InvalidInput:
        pass


class _MachinesWithMissing:
    """Machines of a platform that does not know some instances any more."""

    def __init__(self, machines, missing):
        self.machines = machines
        self.missing = missing

    def __getattr__(self, name):
        return getattr(self.machines, name)

    async def health(self, instance):
        if instance in self.missing:
            raise NotFound(f"instance {instance!r} does not exist")
        return await self.machines.health(instance)


async def test_instance_that_was_undrained_before_its_reboot_is_rebooted(fleet):
    """Guards against a wave that waits for a reboot that was never ordered.

    The reply to the write before the reboot was lost, and a step that still
    had the older row undid the drain.
    """
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    await fleet.start_wave()
    pool = await rounds.steps.read_pool("frame")
    instance = await rounds.steps.read_instance("i00")
    rebooting = evolve(instance, phase=Phase.REBOOTING, since=fleet.now, wave="w1")
    disrupted = add_disruption(pool, "i00", "wave w1")
    await rounds.steps.commit([encode_pool(disrupted), encode_instance(rebooting)])
    await fleet.repeat(rounds, 4)
    assert fleet.machines.reboots.count("i00") == 1
    assert fleet.read_instance("i00").phase is Phase.SERVING


async def test_rebooting_instance_keeps_its_drain(fleet):
    """Guards against a drain that is undone after the reboot was decided."""
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    stale = evolve(fleet.read_instance("i00"), phase=Phase.DRAINING)
    rebooting = evolve(fleet.read_instance("i00"), phase=Phase.REBOOTING)
    await rounds.steps.commit([encode_instance(rebooting)])
    await fleet.machines.drain("i00")
    await rounds.steps.undo_drain(stale)
    assert not fleet.machines.is_serving("i00")


async def test_replaced_instance_does_not_hold_up_its_pool(fleet):
    """Guards against a wave that stalls at an instance that is gone."""
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    await fleet.start_wave()
    await fleet.step(rounds)
    missing = next(
        name
        for name in fleet.machines.pools
        if fleet.read_instance(name).phase is not Phase.SERVING
    )
    rounds.steps.machines = _MachinesWithMissing(fleet.machines, {missing})
    await fleet.repeat(rounds, 60)
    done = {
        name
        for name in fleet.machines.pools
        if fleet.read_instance(name).maintained_at >= 1000
    }
    assert done == set(fleet.machines.pools) - {missing}


async def test_instance_that_was_away_joins_its_pool_again(fleet):
    """Guards against capacity lost for ever once a data centre was cut off."""
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    records = fleet.machines.list_records()
    removed_record = records.pop("i03")
    await fleet.repeat(rounds, 70)
    assert "i03" not in (await rounds.steps.read_pool("frame")).members
    fleet.machines.states["i03"] = _draining("i03")
    records["i03"] = removed_record
    await fleet.repeat(rounds, 3)
    assert "i03" in (await rounds.steps.read_pool("frame")).members
    assert fleet.machines.is_serving("i03")
    fleet.check_invariants()


async def test_joining_instance_that_disappears_is_forgotten(fleet):
    """Guards against a pool that waits for ever for a vanished instance."""
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)
    records = fleet.machines.list_records()
    await rounds.steps.move("i00", "ledger", records)
    await rounds.step_pool(FRAME, [])
    assert (await rounds.steps.read_pool("ledger")).joining == ("i00",)
    del records["i00"]
    rounds.steps.machines = _MachinesWithMissing(fleet.machines, {"i00"})
    await fleet.repeat(rounds, 70)
    assert (await rounds.steps.read_pool("ledger")).joining == ()


async def test_move_whose_reply_was_lost_is_not_refused(fleet):
    """Guards against reporting a move as refused although it has begun."""
    rounds = fleet.make_rounds()
    await fleet.repeat(rounds, 1)

    async def lose_reply(operations):
        await fleet.table.transact(operations)
        raise OutcomeUnknown("reply lost")

    rounds.steps.table = _LossyTable(fleet.table, lose_reply)
    await rounds.steps.move("i00", "ledger", fleet.machines.list_records())
    assert fleet.read_instance("i00").target == "ledger"
