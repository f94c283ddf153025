"""The scheduler's lease through lost answers, late writes and outages."""

import pytest
import trio

from emulator.row_store import RowStoreAccess, RowStoreModel
from hemlockstand.coordination.lease import LeaseLost
from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.lease import InstanceOrders, LeaseWatch, Release
from hemlockstand.fleet.storage import read_lease
from hemlockstand.platform.rows import RowWrite

LEASE_SECONDS = 2.0


def make_watch(model: RowStoreModel, name: str, session: str = "") -> LeaseWatch:
    """Return the lease watch of a daemon."""
    rows = RowStoreAccess(model)
    session = session or f"session of {name}"
    return LeaseWatch(rows, name, session, LEASE_SECONDS, trio.current_time)


async def acquire(watch: LeaseWatch, seconds: float = 10.0):
    """Return the lease as soon as the watch acquires it."""
    with trio.fail_after(seconds):
        while True:
            lease = await watch.try_acquire()
            if lease is not None:
                return lease
            await trio.sleep(0.1)


def read_record(model: RowStoreModel):
    """Return the record in the lease row."""
    return read_lease(model.find("scheduler", "lease"))


async def test_lost_answer_is_recognised(autojump_clock):
    """Guards against a holder that takes its own write for another's."""
    model = RowStoreModel()
    lease = await acquire(make_watch(model, "a"))
    lease.rows.lost_answers = 1
    await lease.commit([RowWrite("states", "job", b"{}")])
    assert lease.valid
    assert read_record(model).sequence == 1
    await lease.commit()
    assert read_record(model).sequence == 2


async def test_write_that_is_applied_late_changes_nothing(autojump_clock):
    """Guards against a late write that replaces a newer status."""
    model = RowStoreModel()
    lease = await acquire(make_watch(model, "a"))
    lease.rows.late_writes = 1
    await lease.commit([RowWrite("states", "job", b"old")])
    await lease.commit([RowWrite("states", "job", b"new")])
    assert lease.rows.apply_late() == [False]
    assert model.find("states", "job").value == b"new"


async def test_deposed_holder_changes_nothing(autojump_clock):
    """Guards against two holders that both write states."""
    model = RowStoreModel()
    first = await acquire(make_watch(model, "a"))
    second = await acquire(make_watch(model, "b"))
    assert second.record.epoch == first.record.epoch + 1
    assert not first.valid
    with pytest.raises(LeaseLost):
        await first.commit([RowWrite("states", "job", b"{}")])
    assert model.find("states", "job") is None


async def test_holder_that_renews_is_left_alone(autojump_clock):
    """Guards against a takeover from a holder that renews its lease."""
    model = RowStoreModel()
    lease = await acquire(make_watch(model, "a"))
    watch = make_watch(model, "b")
    for _ in range(30):
        await lease.commit()
        assert await watch.try_acquire() is None
        await trio.sleep(0.4)


async def test_takeover_waits_for_the_whole_lease(autojump_clock):
    """Guards against a takeover before the holder's lease has run out."""
    model = RowStoreModel()
    lease = await acquire(make_watch(model, "a"))
    ends_at = lease.valid_until
    await acquire(make_watch(model, "b"))
    assert trio.current_time() > ends_at


async def test_silence_counts_only_while_the_store_can_be_read(autojump_clock):
    """Guards against a takeover from a holder that could not renew.

    A missing renewal proves nothing while the store cannot be read.
    """
    model = RowStoreModel()
    lease = await acquire(make_watch(model, "a"))
    watch = make_watch(model, "b")
    await watch.try_acquire()
    watch.rows.closed = True
    for _ in range(10):
        with pytest.raises(PlatformUnavailable):
            await watch.try_acquire()
        await trio.sleep(0.5)
    watch.rows.closed = False
    assert await watch.try_acquire() is None
    await lease.commit()
    assert lease.valid


async def test_restarted_daemon_takes_its_own_lease_at_once(autojump_clock):
    """Guards against a restarted daemon that waits for its own old lease."""
    model = RowStoreModel()
    await acquire(make_watch(model, "a", "first"))
    started_at = trio.current_time()
    lease = await acquire(make_watch(model, "a", "second"))
    assert trio.current_time() - started_at < 0.2
    assert lease.record.epoch == 2


async def test_released_lease_is_taken_at_once(autojump_clock):
    """Guards against a graceful stop after which the lease has to run out."""
    model = RowStoreModel()
    lease = await acquire(make_watch(model, "a"))
    orders = InstanceOrders(("m-1",), ("m-2",))
    await lease.commit(orders=orders, release=Release.STOPPED)
    started_at = trio.current_time()
    taken = await acquire(make_watch(model, "b"))
    assert trio.current_time() - started_at < 0.2
    assert (taken.record.ordered, taken.record.turned) == (("m-1",), ("m-2",))


async def test_attempt_without_an_answer_is_adopted(autojump_clock):
    """Guards against a lease whose holder does not know that it holds it."""
    model = RowStoreModel()
    watch = make_watch(model, "a")
    watch.rows.lost_answers = 1
    lease = await acquire(watch)
    assert read_record(model).session == lease.record.session
    assert lease.record.epoch == 1


async def test_grants_of_a_holder_that_ended_at_once_are_waited_for(autojump_clock):
    """Guards against a second run beside one that an old grant still covers.

    A released lease, and the lease of a restarted daemon's earlier process,
    are taken before they have run out.
    """
    model = RowStoreModel()
    first = await acquire(make_watch(model, "a", "first"))
    second = await acquire(make_watch(model, "a", "second"))
    assert second.previous_valid_until >= first.valid_until
    ends_at = second.valid_until
    await second.commit(release=Release.STOPPED)
    third = await acquire(make_watch(model, "b"))
    assert third.previous_valid_until >= max(ends_at, second.valid_until)
    fourth = await acquire(make_watch(model, "c"))
    assert third.valid_until <= fourth.previous_valid_until <= trio.current_time()
    assert fourth.previous_renewed_at <= trio.current_time() - LEASE_SECONDS


NESTED = b'{"a": ' * 4_000 + b"5" + b"}" * 4_000  # deeper than a decoder follows


@pytest.mark.parametrize(
    "value", [b"\xff", b"[]", b'{"holder": "a"}', b"", b"[" * 4_000, NESTED]
)
async def test_unreadable_lease_is_taken_over(autojump_clock, value):
    """Guards against a lease row that no daemon can take over any more.

    The next holder's fencing tokens must be higher than all earlier ones, and
    it does not know for which instances orders are open.
    """
    model = RowStoreModel()
    first = await acquire(make_watch(model, "a"))
    for _ in range(3):
        await first.commit(release=Release.STOPPED)
        first = await acquire(make_watch(model, "a", f"session {model.version}"))
    model.put("scheduler", "lease", value)
    with pytest.raises(LeaseLost):
        await first.commit()
    began_at = trio.current_time()
    watch = make_watch(model, "b")
    watch.unknown_orders_seconds = 5.0
    second = await acquire(watch)
    assert second.record.epoch > first.record.epoch
    assert trio.current_time() - began_at >= LEASE_SECONDS + 5.0
    assert watch.previous is not None
    await second.commit()
    third = await acquire(make_watch(model, "c"))
    assert third.record.epoch == second.record.epoch + 1


async def test_time_of_the_lease_goes_on_while_nobody_holds_it(autojump_clock):
    """Guards against waits that stand still between two holders.

    A holder that has released the lease cannot have renewed it since.
    """
    model = RowStoreModel()
    first = await acquire(make_watch(model, "a"))
    second = make_watch(model, "b")
    assert await second.try_acquire() is None
    await first.commit(release=Release.STOPPED)
    released_at = trio.current_time()
    released_ms = read_record(model).time_ms
    second.delay_seconds = 1.0
    lease = await acquire(second)
    assert lease.acquired_ms - released_ms >= 900
    assert lease.acquired_ms - released_ms <= (lease.acquired_at - released_at) * 1000
    assert lease.previous_renewed_at <= released_at + 0.1
