"""Slots in use never exceed the limit under any interleaving or fault.

The test itself records every sent request, until its certain end or its
deadline, and does not rely on the counts of the code under test.
"""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from hemlockstand.coordination.escrow import ELASTIC
from hemlockstand.requests.reclaim import release_holder
from test.limit_world import DATA_CENTRES, SentRequest, SlotRequest, World
from test.stepped import Fault

daemons = st.integers(0, len(DATA_CENTRES) - 1)
faults = st.sampled_from(list(Fault) + [Fault.NONE] * 4)


class LimitMachine(RuleBasedStateMachine):
    """Daemons that pause, crash, lose replies and race.

    ``pass_time`` runs the loops of all daemons that are not paused; the other
    rules inject faults, load and changes in between.
    """

    @initialize(limit=st.integers(2, 12))
    def start(self, limit):
        self.world = World(limit)
        for daemon in self.world.daemons:
            self.run(daemon, daemon.renewal, daemon.lease.renew())

    def daemon(self, index):
        return self.world.daemons[index]

    def fault(self, daemon, fault=Fault.NONE):
        """Return the fault of a call; calls fail in an outage."""
        return Fault.DOWN if daemon.data_centre in self.world.down else fault

    def finish(self, daemon, driver):
        while not driver.is_idle:
            driver.step(self.fault(daemon))

    def run(self, daemon, driver, work):
        """Finish what the driver is running, then run the work to its end."""
        self.finish(daemon, driver)
        driver.begin(work)
        self.finish(daemon, driver)

    @rule(
        seconds=st.sampled_from([1, 2, 4, 8]),
        flush=st.booleans(),
        with_demand=st.sets(daemons),
    )
    def pass_time(self, seconds, flush, with_demand):
        self.run_daemons(seconds, flush, with_demand)

    def run_daemons(self, seconds, flush, with_demand):
        for _ in range(seconds):
            self.world.now += 1.0
            for index, daemon in enumerate(self.world.daemons):
                if not daemon.paused:
                    self.loop_once(daemon, flush)
                    self.move_once(daemon, index in with_demand)

    def move_once(self, daemon, has_demand):
        """Send as much as possible, or return all idle slots."""
        for request in list(daemon.requests):
            if request.slot.deadline <= self.world.now:
                request.slot.release(certain=False)
                daemon.requests.remove(request)
        if daemon.lease.is_valid() and daemon.moving.is_idle:
            slots = daemon.slots
            wanted = {ELASTIC: 3, daemon.data_centre: 2}
            if has_demand:
                work = slots.escrow.take(wanted, slots.split)
            else:
                work = slots.escrow.shrink(slots.taken_parts(), slots.split)
            self.run(daemon, daemon.moving, work)
        if has_demand:
            self.take_slots(daemon, 8, 6.0)
            self.send(daemon)

    @rule(
        index=daemons,
        before=st.sampled_from([0.0, 1.0, 3.5]),
        after=st.sampled_from([1, 4, 7, 12]),
        serve=st.integers(0, 4),
        flush=st.booleans(),
    )
    def pause_while_others_serve(self, index, before, after, serve, flush):
        """Pause a daemon that has unsent requests; it sends them late."""
        daemon = self.daemon(index)
        self.take_slots(daemon, 8, 6.0)
        self.world.now += before
        self.send(daemon, serve)
        daemon.paused = True
        self.run_daemons(after, flush, {0, 1, 2})
        self.send(daemon)
        daemon.paused = False

    @rule(seconds=st.sampled_from([0.3, 0.9]))
    def pass_short_time(self, seconds):
        self.world.now += seconds

    def loop_once(self, daemon, flush):
        """Run one round of the service's loops; calls may be in flight."""
        self.prove_outage(daemon)
        if daemon.lease.lost:
            if not any(daemon.slots.used_parts().values()):
                daemon.kill()
            return
        for driver, work in (
            (daemon.renewal, daemon.lease.renew),
            (daemon.reclaiming, daemon.reclaimer.run_once),
        ):
            if driver.is_idle or flush:
                self.run(daemon, driver, work())
        if daemon.moving.is_idle or flush:
            slots = daemon.slots
            self.finish(daemon, daemon.moving)
            if daemon.lease.is_valid() and not slots.escrow.within(slots.split):
                work = slots.escrow.apply_limit(slots.used_parts(), slots.split)
                self.run(daemon, daemon.moving, work)

    def prove_outage(self, daemon):
        """Record for a daemon which data centres cannot reach the table."""
        if daemon.data_centre in self.world.down:
            daemon.outage_proofs[daemon.data_centre] = self.world.now
        if self.world.down == {"dc1", "dc2"}:
            daemon.outage_proofs[ELASTIC] = self.world.now

    @rule(index=daemons)
    def pause_or_resume(self, index):
        self.daemon(index).paused = not self.daemon(index).paused

    @rule(index=daemons, count=st.integers(1, 8), seconds=st.sampled_from([2.0, 6.0]))
    def work(self, index, count, seconds):
        """Take slots from the table, then send requests on them."""
        daemon = self.daemon(index)
        if daemon.paused:
            return
        if daemon.lease.is_valid() and daemon.moving.is_idle:
            wanted = {ELASTIC: count, daemon.data_centre: 2}
            work = daemon.slots.escrow.take(wanted, daemon.slots.split)
            self.run(daemon, daemon.moving, work)
        self.take_slots(daemon, count, seconds)
        self.send(daemon)

    @rule(index=daemons, count=st.integers(1, 8))
    def take_and_wait(self, index, count):
        """Take slots for requests that are sent later."""
        if not self.daemon(index).paused:
            self.take_slots(self.daemon(index), count, 6.0)

    @rule(index=daemons)
    def send_waiting(self, index):
        """Send requests that have a slot, also directly after a pause."""
        self.send(self.daemon(index))

    def take_slots(self, daemon, count, seconds):
        for _ in range(count):
            slot = daemon.slots.take(self.world.now + seconds, keyed=False)
            if slot is not None:
                daemon.requests.append(SlotRequest(slot))

    def send(self, daemon, count=8):
        for request in daemon.requests[:count]:
            if request.sent is None and request.slot.may_send():
                request.sent = SentRequest(request.slot.deadline)
                self.world.sent_requests.append(request.sent)
                assert self.world.in_use() <= self.world.allowed()

    @rule(index=daemons, count=st.integers(1, 6), certain=st.booleans())
    def end(self, index, count, certain):
        daemon = self.daemon(index)
        for request in daemon.requests[:count]:
            if certain and request.sent is not None:
                request.sent.ends_at = min(request.sent.ends_at, self.world.now)
            request.slot.release(certain)
        del daemon.requests[:count]

    @rule(index=daemons, elastic=st.integers(0, 6), reserved=st.integers(0, 3))
    def begin_take(self, index, elastic, reserved):
        daemon = self.daemon(index)
        if daemon.moving.is_idle and daemon.lease.is_valid():
            wanted = {ELASTIC: elastic, daemon.data_centre: reserved}
            work = daemon.slots.escrow.take(wanted, daemon.slots.split)
            daemon.moving.begin(work)

    @rule(index=daemons, spare=st.integers(0, 1))
    def begin_return(self, index, spare):
        daemon = self.daemon(index)
        if daemon.moving.is_idle and daemon.lease.is_valid():
            used = daemon.slots.taken_parts()
            keep = {part: count + spare for part, count in used.items()}
            work = daemon.slots.escrow.shrink(keep, daemon.slots.split)
            daemon.moving.begin(work)

    @rule(index=daemons)
    def begin_renewal(self, index):
        daemon = self.daemon(index)
        if daemon.renewal.is_idle and not daemon.lease.lost:
            daemon.renewal.begin(daemon.lease.renew())

    @rule(index=daemons)
    def begin_reclaim(self, index):
        daemon = self.daemon(index)
        if daemon.reclaiming.is_idle:
            daemon.reclaiming.begin(daemon.reclaimer.run_once())

    @rule(index=daemons, driver=st.integers(0, 2), fault=faults)
    def step(self, index, driver, fault):
        daemon = self.daemon(index)
        chosen = daemon.drivers()[driver]
        if not chosen.is_idle:
            chosen.step(self.fault(daemon, fault))

    @rule(index=daemons)
    def crash(self, index):
        """Restart a daemon; the requests that it sent go on running."""
        daemon = self.daemon(index)
        daemon.kill()
        self.run(daemon, daemon.renewal, daemon.lease.renew())

    @rule(index=daemons)
    def stop(self, index):
        """Release all slots, as a daemon does at a graceful stop."""
        daemon = self.daemon(index)
        if daemon.moving.is_idle:
            daemon.lease.end()
            keep = {"team": daemon.slots.used_parts()}
            daemon.moving.begin(release_holder(daemon.table, daemon.lease, keep))

    @rule(limit=st.integers(1, 12))
    def change_limit(self, limit):
        self.world.set_limit(limit)

    @rule(index=daemons)
    def apply_configuration(self, index):
        self.daemon(index).slots.split = self.world.split

    @rule()
    def apply_configuration_everywhere(self):
        for daemon in self.world.daemons:
            daemon.slots.split = self.world.split

    @rule(centres=st.sampled_from([set(), set(), {"dc1"}, {"dc2"}, {"dc1", "dc2"}]))
    def set_outage(self, centres):
        self.world.down = centres

    @precondition(lambda self: self.world.late)
    @rule(choice=st.integers(0, 5))
    def deliver_late_call(self, choice):
        late = self.world.late
        operations = late.pop(choice % len(late))
        try:
            self.world.table.transact(operations).send(None)
        except Exception:
            pass

    def teardown(self):
        if hasattr(self, "world"):
            for daemon in self.world.daemons:
                for driver in daemon.drivers():
                    driver.kill()


TestLimitInterleavings = LimitMachine.TestCase
TestLimitInterleavings.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=60, deadline=None
)
