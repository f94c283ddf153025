"""One test for each way in which a slot could be used twice."""

import time

import pytest

from hemlockstand.coordination.escrow import ELASTIC, split_limit
from hemlockstand.coordination.lease import LeaseLost, make_lease_clock
from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.requests.reclaim import release_holder
from test.limit_world import MARGIN_SECONDS, TERMS, World
from test.stepped import CoroutineDriver, Fault

# Seconds of silence before a takeover: lease, longest deadline, margin.
TAKEOVER_SECONDS = 4 + 6 + 1


def run(work, *faults):
    """Run the coroutine; its first calls of the table get the faults."""
    driver, remaining = CoroutineDriver(), list(faults)
    driver.begin(work)
    while not driver.is_idle:
        driver.step(remaining.pop(0) if remaining else Fault.NONE)
    if driver.errors:
        raise driver.errors[0]


def make_world(limit=4, reserved=0.0):
    world = World(limit)
    set_limit(world, limit, reserved)
    for daemon in world.daemons:
        run(daemon.lease.renew())
    return world


def set_limit(world, limit, reserved=0.0):
    world.version += 1
    split = split_limit(limit, reserved, {"dc1", "dc2"}, world.version)
    for daemon in world.daemons:
        daemon.slots.split = split


def take(daemon, count, part=ELASTIC):
    run(daemon.slots.escrow.take({part: count}, daemon.slots.split))


def send(world, daemon, count=1):
    """Take and send requests of the longest deadline; return the sent slots."""
    deadline = world.now + TERMS.grant_seconds
    slots = [daemon.slots.take(deadline, keyed=False) for _ in range(count)]
    return [slot for slot in slots if slot is not None and slot.may_send()]


def observe(world, daemon, seconds):
    for _ in range(int(seconds)):
        world.now += 1.0
        run(daemon.reclaimer.run_once())


def count_held(world, daemon):
    row = world.table.rows["limit/team"]
    return sum(row.value["holders"].get(daemon.lease.holder, {}).values())


def test_slots_are_taken_over_only_after_lease_and_longest_deadline():
    """Guards against a takeover while a holder's request may be running."""
    world = make_world()
    first, second, _ = world.daemons
    take(first, 4)
    run(second.reclaimer.run_once())
    observe(world, second, TAKEOVER_SECONDS - 1)
    assert count_held(world, first) == 4
    observe(world, second, 1)
    assert count_held(world, first) == 0


def test_table_outage_restarts_the_observation():
    """Guards against ending a holder that could not renew during an outage."""
    world = make_world()
    first, second, _ = world.daemons
    take(first, 4)
    run(second.reclaimer.run_once())
    observe(world, second, TAKEOVER_SECONDS - 1)
    with pytest.raises(PlatformUnavailable):
        run(second.reclaimer.run_once(), Fault.DOWN)
    observe(world, second, TAKEOVER_SECONDS - 1)
    assert count_held(world, first) == 4


def test_pause_of_the_observer_restarts_the_observation():
    """Guards against counting time in which the observer was paused."""
    world = make_world()
    first, second, _ = world.daemons
    take(first, 4)
    run(second.reclaimer.run_once())
    world.now += TAKEOVER_SECONDS
    observe(world, second, 2)
    assert count_held(world, first) == 4


def test_paused_holder_cannot_send():
    """Guards against a send on a lease that lapsed during a pause."""
    world = make_world()
    first = world.daemons[0]
    take(first, 1)
    slot = first.slots.take(world.now + TERMS.grant_seconds, keyed=False)
    world.now += TERMS.lease_seconds
    assert not slot.may_send()


def test_suspended_machine_does_not_keep_its_lease(monkeypatch):
    """Guards against a lease clock that stops while a machine is suspended."""
    times = {time.CLOCK_BOOTTIME: 100.0, time.CLOCK_MONOTONIC: 90.0}
    monkeypatch.setattr(time, "clock_gettime", times.get)
    world = make_world()
    lease = world.daemons[0].lease
    lease.clock = make_lease_clock(world.clock)
    run(lease.renew())
    assert lease.is_valid()
    times[time.CLOCK_BOOTTIME] += TERMS.lease_seconds
    assert not lease.is_valid()


def test_lease_counts_from_before_the_renewal_was_sent():
    """Guards against a lease that ends later than observers assume."""
    world = make_world()
    first = world.daemons[0]
    for fault in (Fault.NONE, Fault.REPLY_LOST):
        renewal = CoroutineDriver()
        renewal.begin(first.lease.renew())
        renewal.step(fault)
        sent_at = world.now
        world.now += 3.0
        renewal.step(None)
        while not renewal.is_idle:
            renewal.step(Fault.NONE)
        assert not renewal.errors
        world.now = sent_at + TERMS.lease_seconds - 0.1
        assert first.lease.is_valid()
        world.now = sent_at + TERMS.lease_seconds
        assert not first.lease.is_valid()


def test_resumed_holder_learns_that_it_was_ended():
    """Guards against a holder that resumes after its slots were taken over."""
    world = make_world()
    first, second, _ = world.daemons
    take(first, 4)
    run(second.reclaimer.run_once())
    observe(world, second, TAKEOVER_SECONDS)
    with pytest.raises(LeaseLost):
        run(first.lease.renew())
    assert send(world, first) == []


def test_outage_does_not_stop_a_holder_with_proof():
    """Guards against an outage that stops the use of held slots."""
    world = make_world()
    first = world.daemons[0]
    take(first, 4)
    for _ in range(60):
        world.now += 1.0
        first.outage_proofs[ELASTIC] = world.now
        assert first.may_use(ELASTIC, False)
    assert len(send(world, first, 4)) == 4


def test_proof_after_a_pause_does_not_cover_the_time_before():
    """Guards against sends by a holder that was ended before the outage."""
    world = make_world()
    first = world.daemons[0]
    take(first, 4)
    world.now += TAKEOVER_SECONDS + 5
    first.outage_proofs[ELASTIC] = world.now
    assert send(world, first) == []


def test_late_return_of_slots_is_not_used_meanwhile():
    """Guards against use of slots whose delayed return can still arrive."""
    world = make_world()
    first, second, _ = world.daemons
    take(first, 4)
    with pytest.raises(OutcomeUnknown):
        run(first.slots.escrow.shrink({ELASTIC: 1}, first.slots.split), Fault.LATE)
    run(first.slots.escrow.refresh())
    assert len(send(world, first, 4)) == 1
    with pytest.raises(StopIteration):
        world.table.transact(world.late.pop()).send(None)
    take(second, 4)
    assert len(send(world, second, 4)) == 3
    assert send(world, first, 4) == []


def test_returned_slots_are_not_used_while_the_write_is_under_way():
    """Guards against use of returned slots before the reply to the return."""
    world = make_world()
    first, second, _ = world.daemons
    take(first, 4)
    returning = CoroutineDriver()
    returning.begin(first.slots.escrow.shrink({}, first.slots.split))
    returning.step(Fault.NONE)
    take(second, 4)
    assert len(send(world, second, 4)) == 4
    assert send(world, first) == []


def test_lost_reply_of_a_take_gives_the_slots_once():
    """Guards against slots that are taken twice or lost after a lost reply."""
    world = make_world()
    first = world.daemons[0]
    run(
        first.slots.escrow.take({ELASTIC: 3}, first.slots.split),
        Fault.NONE,
        Fault.NONE,
        Fault.REPLY_LOST,
    )
    assert first.slots.escrow.usable(ELASTIC) == count_held(world, first) == 3


def test_sweep_spares_a_holder_that_registered_meanwhile():
    """Guards against freeing slots of a holder that registers in the sweep."""
    world = make_world()
    first, second, _ = world.daemons
    sweep = CoroutineDriver()
    sweep.begin(second.reclaimer.run_once())
    first.start_session()
    for _ in range(4):
        sweep.step(Fault.NONE)
    run(first.lease.renew())
    take(first, 4)
    while not sweep.is_idle:
        sweep.step(Fault.NONE)
    assert count_held(world, first) == 4


def test_holder_that_renews_is_not_ended():
    """Guards against a takeover based on a row that was renewed since."""
    world = make_world()
    first, second, _ = world.daemons
    take(first, 4)
    run(second.reclaimer.run_once())
    observe(world, second, TAKEOVER_SECONDS - 1)
    world.now += 1.0
    ending = CoroutineDriver()
    ending.begin(second.reclaimer.run_once())
    ending.step(Fault.NONE)
    ending.step(None)
    run(first.lease.renew())
    while not ending.is_idle:
        ending.step(Fault.NONE)
    assert count_held(world, first) == 4
    assert len(send(world, first, 4)) == 4


def test_reserved_slots_are_ended_only_from_their_data_centre():
    """Guards against takeover of slots that a cut-off data centre still uses."""
    world = make_world(limit=8, reserved=0.5)
    first, second, far = world.daemons
    take(first, 2, "dc1")
    take(first, 4)
    run(far.reclaimer.run_once())
    observe(world, far, 2 * TAKEOVER_SECONDS)
    row = world.table.rows["limit/team"]
    assert row.value["holders"][first.lease.holder] == {"dc1": 2}
    run(second.reclaimer.run_once())
    observe(world, second, TAKEOVER_SECONDS)
    assert count_held(world, first) == 0


def test_lowered_limit_stops_starts_until_the_row_is_within():
    """Guards against sends above a lowered limit."""
    world = make_world(limit=4)
    first, second, _ = world.daemons
    take(first, 2)
    take(second, 2)
    assert len(send(world, first, 2)) == 2
    set_limit(world, 2)
    assert send(world, second) == []
    run(second.slots.escrow.apply_limit(second.slots.used_parts(), second.slots.split))
    assert send(world, second) == []
    run(first.slots.escrow.apply_limit(first.slots.used_parts(), first.slots.split))
    run(second.slots.escrow.apply_limit(second.slots.used_parts(), second.slots.split))
    assert count_held(world, first) == 2
    assert count_held(world, second) == 0
    assert send(world, second) == []


def test_starts_wait_until_the_row_shows_the_lowered_limit():
    """Guards against an outdated daemon that takes slots under the old limit."""
    world = make_world(limit=4)
    first, _, outdated = world.daemons
    take(first, 2)
    old = outdated.slots.split
    set_limit(world, 2)
    outdated.slots.split = old
    assert send(world, first) == []
    run(first.slots.escrow.apply_limit({}, first.slots.split))
    take(outdated, 2)
    assert count_held(world, outdated) == 0


def test_limit_that_was_raised_and_lowered_again_is_kept():
    """Guards against an outdated daemon that has the raised limit, while the
    others see the same limit as before."""
    world = make_world(limit=2)
    first, second, _ = world.daemons
    take(first, 1)
    set_limit(world, 3)
    raised = second.slots.split
    set_limit(world, 2)
    second.slots.split = raised
    run(second.slots.escrow.take({ELASTIC: 2}, raised))
    assert len(send(world, second, 2)) == 2
    second.slots.split = first.slots.split
    assert send(world, first) == []
    run(first.slots.escrow.apply_limit({}, first.slots.split))
    assert send(world, first) == []


def test_used_slots_are_kept_when_the_limit_is_lowered():
    """Guards against returning the slots of requests that still run."""
    world = make_world(limit=8)
    first, second, _ = world.daemons
    take(first, 4)
    take(second, 4)
    slots = send(world, first, 4) + send(world, second, 4)
    set_limit(world, 4)
    for daemon in (first, second):
        run(
            daemon.slots.escrow.apply_limit(
                daemon.slots.used_parts(), daemon.slots.split
            )
        )
        assert count_held(world, daemon) == 4
    for slot in slots[:4]:
        slot.release(certain=True)
    run(first.slots.escrow.apply_limit(first.slots.used_parts(), first.slots.split))
    assert count_held(world, first) == 0
    assert count_held(world, second) == 4


def test_slot_taken_before_the_limit_was_lowered_is_checked_at_the_send():
    """Guards against sends above a lowered limit on slots taken before it."""
    world = make_world(limit=4)
    first = world.daemons[0]
    take(first, 4)
    slots = [first.slots.take(world.now + 6.0, keyed=False) for _ in range(4)]
    set_limit(world, 1)
    run(first.slots.escrow.apply_limit(first.slots.used_parts(), first.slots.split))
    assert [slot.may_send() for slot in slots] == [True, False, False, False]


def test_daemon_with_an_old_configuration_cannot_raise_the_limit():
    """Guards against an outdated daemon that takes slots of the old limit."""
    world = make_world(limit=4)
    first, second, _ = world.daemons
    old = second.slots.split
    take(first, 1)
    set_limit(world, 1)
    run(first.slots.escrow.apply_limit({ELASTIC: 0}, first.slots.split))
    second.slots.split = old
    take(second, 4)
    assert count_held(world, second) == 0


def test_uncertain_end_holds_the_slot_until_the_deadline():
    """Guards against reuse of a slot whose request may still be running."""
    world = make_world(limit=1)
    first = world.daemons[0]
    take(first, 1)
    (slot,) = send(world, first)
    slot.release(certain=False)
    run(first.lease.renew())
    assert send(world, first) == []
    world.now += TERMS.grant_seconds + MARGIN_SECONDS
    run(first.lease.renew())
    assert len(send(world, first)) == 1


def test_stop_releases_slots_and_holder_in_one_transaction():
    """Guards against slots that stay blocked after a graceful stop."""
    world = make_world()
    first = world.daemons[0]
    take(first, 4)
    before = world.table.writes
    first.lease.end()
    assert send(world, first) == []
    run(release_holder(first.table, first.lease, {}))
    assert world.table.writes == before + 2
    assert first.lease.key not in world.table.rows
    assert count_held(world, first) == 0


def test_stop_keeps_slots_whose_request_may_be_running():
    """Guards against a stop that frees the slot of an unknown outcome."""
    world = make_world()
    first = world.daemons[0]
    take(first, 4)
    (slot,) = send(world, first)
    slot.release(certain=False)
    first.lease.end()
    keep = {"team": first.slots.used_parts()}
    run(release_holder(first.table, first.lease, keep))
    assert count_held(world, first) == 1
    assert first.lease.key in world.table.rows
