"""What a scheduler has learned of durations reaches the next one."""

from itertools import pairwise

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from emulator.row_store import RowStoreModel
from hemlockstand.errors import HemlockstandError
from hemlockstand.fleet.durations import STORE_SECONDS, Durations
from hemlockstand.fleet.durations_row import decode_durations, encode_durations
from hemlockstand.fleet.model import JobSpec
from hemlockstand.fleet.policy.observations import RunTime
from test.drawn_runs import Model, draw_runs, tell_anything, tell_by_workspace
from test.fleet_world import SMALL, FleetWorld, make_step, open_world

MADE_MS = 1_796_461_200_000


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


@pytest.mark.parametrize("estimate", [tell_anything, tell_by_workspace])
def test_next_scheduler_expects_the_same(estimate):
    """Guards against a document that loses what its reader needs."""
    model = Model()
    runs = list(draw_runs(1000, estimate, tail_part=0.03))
    for run in runs:
        model.learn(run)
    known = model.durations
    value = encode_durations(known.model, MADE_MS)
    successor = Durations()
    successor.replace_model(decode_durations(value, MADE_MS + 1000)[0])
    # All expect by the latest runs.
    known.replace_model(known.model)
    for run in runs[:100]:
        before, after = known.expect(run.spec, 0), successor.expect(run.spec, 0)
        assert after.median_seconds == pytest.approx(before.median_seconds, rel=0.1)
        assert after.p90_seconds == pytest.approx(before.p90_seconds, rel=0.25)
        assert after.runs == pytest.approx(before.runs, rel=0.1)


def test_document_keeps_the_most_used_groups():
    """Guards against a row that the store refuses, or one of rare work."""
    durations = Durations()
    specs = [
        JobSpec("a", f"queue-{number % 200}", "pool", "team", "", (step,))
        for number in range(5000)
        for step in [make_step(image=f"registry/image-{number}")]
    ]
    for spec in (*specs, *specs[:5] * 20):
        durations.record(spec, 0, RunTime(3.0, True))
    value = encode_durations(durations.model, MADE_MS)
    assert len(value) <= 32_768
    found, _ = decode_durations(value, MADE_MS)
    for number in range(5):
        key = ("near", f"queue-{number}", "team", f"registry/image-{number}")
        assert found.groups[key].times.total > 15


DAMAGED = {
    "no document": b"",
    "cut short": b'{"version": 1, "groups": [[["near", "q"], [0, 4',
    "nested": b"[" * 4000,
    "newer": b'{"version": 2, "shapes": {}}',
    "other types": b'{"version": 1, "groups": {"near": 1}}',
    "key": b'{"version": 1, "groups": [[["near"], [40, 0, 4], [40, 0, 4]]]}',
    "distance": b'{"version": 1, "groups": [[["here", "q"], [], [40, 0, 4]]]}',
    "no parts": b'{"version": 1, "groups": [[["near", "q"], [40], []]]}',
    "bin": b'{"version": 1, "groups": [[["near", "q"], [40, 9999, 1], []]]}',
    "skipped": b'{"version": 1, "groups": [[["near", "q"], [40, 0, 1, -999, 1], []]]}',
    "weight": b'{"version": 1, "groups": [[["near", "q"], [-40, 0, 4], []]]}',
    "huge": b'{"version": 1, "groups": [[["near", "q"], [40, 0, 1%s], []]]}'
    % (b"0" * 400),
    "sums": b'{"version": 1, "queues": {"q": [4, 1e999, 0]}}',
    "slope": b'{"version": 1, "queues": {"q": [4, -4, 9]}}',
}


@pytest.mark.parametrize("name", DAMAGED)
async def test_damaged_document_costs_nothing_else(clock, name):
    """Guards against a term that ends, or work that waits, by this document."""
    async with open_world() as world:
        world.add_executor()
        world.store.put("scheduler", "durations", DAMAGED[name])
        leader = world.start_daemon("a")
        job = world.submit(make_step())
        await world.wait_for(lambda: world.state(job) == "completed", 6)
        durations = leader.leader.state.registry.durations
        assert durations.model.runs == 1


async def learn(world: FleetWorld, seconds: float) -> str:
    """Run a job that takes a fifth of its estimate; return its id."""
    work = SubtaskBehaviour(seconds, size=SMALL)
    job = world.submit(make_step(12, seconds=5 * seconds), work=work)
    await world.wait_for(lambda: world.state(job) == "completed", 10)
    return job


async def test_takeover_keeps_what_was_learned(clock):
    """Guards against a scheduler that trusts estimates anew after a takeover."""
    async with open_world() as world:
        world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        second = world.start_daemon("b")
        await learn(world, 1.0)
        await learn(world, 1.0)
        await trio.sleep(STORE_SECONDS + 0.5)
        waiting = world.submit(make_step(seconds=500.0, max_per_executor=1, label="no"))
        await trio.sleep(1)
        world.kill(first)
        await trio.sleep(5)
        registry = second.leader.state.registry
        job = registry.jobs[waiting]
        expected = registry.durations.expect(job.spec, 0)
        assert expected.median_seconds < 150.0
        assert expected.runs >= 20
        # Jobs that were loaded before the document are predicted again.
        assert job.objective_seconds < 250.0
        assert job.steps[0, 0].remaining_seconds < 150.0


async def test_document_joins_other_transactions(clock, monkeypatch):
    """Guards against calls to the store that only this document needs."""
    written = []
    apply = RowStoreModel.apply

    def note(store, transaction):
        keys = {write.key for write in transaction.writes}
        if "durations" in keys:
            written.append((trio.current_time(), "lease" in keys))
        return apply(store, transaction)

    monkeypatch.setattr(RowStoreModel, "apply", note)
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        for _ in range(12):
            await learn(world, 0.5)
        await trio.sleep(30)
    times = [time for time, _ in written]
    assert all(has_lease for _, has_lease in written)
    assert len(times) >= 2
    assert all(later - earlier >= 2 for earlier, later in pairwise(times))
    # Nothing is written while nothing is learned.
    assert times[-1] < trio.current_time() - 20


def test_longest_cut_fits_into_the_document():
    """Guards against a document that its own writer cannot read."""
    durations = Durations()
    spec = JobSpec("a", "queue", "pool", "team", "", (make_step(seconds=0.001),))
    for _ in range(20):
        durations.record(spec, 0, RunTime(1e12, False))
    value = encode_durations(durations.model, MADE_MS)
    assert decode_durations(value, MADE_MS)[0].groups


def test_sums_out_of_range_are_named():
    """Guards against a log line from which the damage cannot be found."""
    with pytest.raises(HemlockstandError, match="queue 'q'"):
        decode_durations(DAMAGED["slope"], MADE_MS)
