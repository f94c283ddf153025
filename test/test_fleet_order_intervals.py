"""Orders for an instance while schedulers are replaced one after the other."""

from functools import partial

import attrs
import msgspec
import pytest
import trio
from attrs import frozen

from emulator.row_store import RowStoreAccess, RowStoreModel
from hemlockstand.fleet.lease import InstanceOrders, LeaseWatch, Release, find_orders
from hemlockstand.fleet.storage import lease_write, read_lease
from hemlockstand.platform.machines import OrderOutcome
from test.fleet_world import (
    Daemon,
    FleetWorld,
    add_wave,
    make_settings,
    open_world,
    read_status,
)

INTERVAL_SECONDS = make_settings("a").bounds.order_turn_ms / 1000
# An order is answered within this time.
IN_FLIGHT_SECONDS = 2.0
CLOCK_FACTOR = 1.05


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


def check_intervals(world: FleetWorld) -> None:
    """Check the time between the orders of two holders for an instance."""
    last = {}
    for order in world.instances.orders:
        before = last.get(order.instance)
        if before is not None and before.fence != order.fence:
            assert order.at - before.at >= INTERVAL_SECONDS, (before, order)
        last[order.instance] = order


def is_leading(daemon: Daemon) -> bool:
    """Return whether a daemon that has the lease has started to lead."""
    return daemon.leader is not None


async def replace(world: FleetWorld, name: str, kill: bool = False) -> None:
    """Replace the scheduler, and wait until the next one has committed."""
    holder = world.daemons[world.lease_holder()]
    world.start_daemon(name)
    if kill:
        world.kill(holder)
    else:
        world.stop(holder)

    def has_committed() -> bool:
        leader = world.daemons[name].leader
        return leader is not None and bool(leader._commits.known_executors)

    await world.wait_for(has_committed, 5)
    await trio.sleep(0.4)


async def begin_wave(world: FleetWorld, **values) -> str:
    """Let the first scheduler prepare an order for an instance; return its name."""
    world.add_instances("pool", 2)
    name = next(iter(world.instances.instances))
    daemon = world.start_daemon("a")
    await trio.sleep(1)
    for key, value in values.items():
        setattr(daemon.instances, key, value)
    add_wave(world, [name], maximum=1)
    return name


@pytest.mark.parametrize("kill", [False, True])
@pytest.mark.parametrize("terms", [1, 2, 3])
async def test_order_without_an_answer_is_known_over_short_terms(clock, terms, kill):
    """Guards against orders of two holders for one instance too soon.

    The second scheduler sent none, and its first commit removed those of the
    first one from the lease row.
    """
    async with open_world() as world:
        await begin_wave(world, order_answer_seconds=IN_FLIGHT_SECONDS)
        await world.wait_for(lambda: world.instances.orders, 10)
        await replace(world, "b", kill)
        for name in ("c", "d")[: terms - 1]:
            await replace(world, name)
        await world.wait_for(lambda: "completed" in read_status(world), 20)
        assert len(world.instances.orders) == 2
        check_intervals(world)


@pytest.mark.parametrize("terms", [1, 2, 3])
async def test_answered_order_is_known_over_short_terms(clock, terms):
    """Guards against orders of two holders for one instance too soon.

    The first scheduler is told that the instance is busy just before it ends.
    """
    async with open_world() as world:
        name = await begin_wave(world, order_seconds=0.3)
        waves = world.daemons["a"].leader._instances.waves.waves
        await world.wait_for(lambda: 1 in waves and waves[1].ordered, 10)
        world.instances.fail(name, 0.5)
        await world.wait_for(lambda: world.instances.orders, 2)
        assert world.instances.orders[0].outcome is OrderOutcome.BUSY
        for holder in ("b", "c", "d")[:terms]:
            await replace(world, holder)
        await world.wait_for(lambda: "completed" in read_status(world), 20)
        check_intervals(world)


@pytest.mark.parametrize("gap_seconds", [1.0, 2.0, 3.0])
async def test_takeovers_do_not_prolong_the_time_between_orders(clock, gap_seconds):
    """Guards against an interval that begins anew with each takeover."""
    async with open_world() as world:
        await begin_wave(world, order_answer_seconds=IN_FLIGHT_SECONDS)
        await world.wait_for(lambda: world.instances.orders, 10)
        longest = (INTERVAL_SECONDS + IN_FLIGHT_SECONDS) * CLOCK_FACTOR
        number = 0
        # The order may have to wait for the next scheduler, and one more.
        with trio.fail_after(longest + 2 * gap_seconds):
            while len(world.instances.orders) == 1:
                number += 1
                holder = world.daemons[world.lease_holder()]
                world.start_daemon(f"b{number}")
                await world.wait_for(partial(is_leading, holder), 1)
                world.stop(holder)
                await trio.sleep(gap_seconds)
        check_intervals(world)


@frozen
class EarlierRecord:
    """The lease row as the version before reads and writes it."""

    holder: str
    session: str
    epoch: int
    sequence: int
    ordered: tuple[str, ...] = ()
    turned: tuple[str, ...] = ()
    time_ms: int = 0
    time_since: int = 0


async def acquire(store: RowStoreModel, name: str):
    """Take a lease that was released."""
    watch = LeaseWatch(RowStoreAccess(store), name, name, 1.2, trio.current_time)
    lease = await watch.try_acquire()
    assert lease is not None
    return lease


async def test_term_without_a_commit_keeps_when_the_orders_were_sent(clock):
    """Guards against a wait that begins anew if a scheduler ends while it loads."""
    store = RowStoreModel()
    lease = await acquire(store, "a")
    await lease.commit(
        orders=InstanceOrders(("m-1",), ("m-2",), {"m-3": 4000}),
        release=Release.STOPPED,
    )
    second = await acquire(store, "b")
    replaced_ms = second.record.replaced_ms
    assert replaced_ms == second.acquired_ms
    await trio.sleep(0.5)
    await second.renew()
    assert second.record.replaced_ms == replaced_ms
    store.put("scheduler", "lease", release(second.record))
    await trio.sleep(0.5)
    third = await acquire(store, "c")
    assert third.acquired_ms >= replaced_ms + 500
    assert find_orders(third.record) == InstanceOrders(
        ("m-1",), ("m-2",), {"m-3": 4000}, replaced_ms
    )


def release(record) -> bytes:
    """Return the row as its holder would release it without other changes."""
    return lease_write(attrs.evolve(record, holder="")).value


async def test_version_before_blocks_all_instances_with_orders(clock):
    """Guards against an earlier version that cannot read the blocked instances."""
    store = RowStoreModel()
    lease = await acquire(store, "a")
    await lease.commit(orders=InstanceOrders(("m-1",), ("m-2",), {"m-3": 4000}))
    value = store.find("scheduler", "lease").value
    found = msgspec.json.decode(value, type=EarlierRecord)
    assert (found.ordered, found.turned) == (("m-1", "m-3"), ("m-2",))


@pytest.mark.parametrize("time_since", [0, 1])
async def test_orders_of_the_version_before_are_dated_at_the_takeover(
    clock, time_since
):
    """Guards against orders that count as older than they are."""
    store = RowStoreModel()
    earlier = EarlierRecord("", "x", 7, 5, ("m-1",), ("m-2",), 0, time_since)
    store.put("scheduler", "lease", msgspec.json.encode(earlier))
    await trio.sleep(3)
    lease = await acquire(store, "a")
    assert find_orders(lease.record) == InstanceOrders(
        ("m-1",), ("m-2",), {}, lease.acquired_ms
    )
    assert read_lease(store.find("scheduler", "lease")) == lease.record
