"""Shares of workspaces within a round of placement: what is held, and its cost."""

import attrs
import pytest
import trio
from prometheus_client import REGISTRY

from hemlockstand.fleet.model import JobSpec, Resources, Tenant
from hemlockstand.fleet.policy.placing import HOLD_SECONDS, PoolRoom
from hemlockstand.fleet.policy.shares import measure_shares
from hemlockstand.fleet.policy.usage import Usage, UsageLedger, limit_need
from hemlockstand.fleet.policy.waiting import Standing, StepRank, Timeliness
from hemlockstand.fleet.work import Job, StepRun, Subtask
from test.fleet_world import SMALL, USUAL, make_config, make_step, open_world

FIRST = StepRank(True, False, 0, Standing.BELOW, Timeliness.IN_TIME, True, 1.0, 0)
LATER = FIRST._replace(standing=Standing.ABOVE)


class CountedExecutor:
    """A full executor that counts how often its free cpu is asked for."""

    def __init__(self) -> None:
        self.entry = type("Entry", (), {"capacity": USUAL})
        self.used = USUAL
        self.asked = 0

    def free_cpu(self) -> int:
        """Return the free cpu."""
        self.asked += 1
        return self.entry.capacity.cpu_millis - self.used.cpu_millis


def make_waiting(tenant: str) -> StepRun:
    """Return a step of one waiting subtask."""
    step = make_step(1, 0.5, size=SMALL)
    spec = JobSpec("00000000000000c1", "queue", "pool", tenant, "", (step,))
    step_run = StepRun(Job(spec, 1), 0, 0, step)
    step_run.waiting[0] = Subtask(step_run, 0, "00000000000000c1.0.0.0", 1)
    return step_run


def weigh(name: str, weight: float) -> dict[str, Tenant]:
    """Return the configuration of one workspace."""
    return {name: Tenant(name, frozenset(), weight, Resources())}


def make_room(count: int) -> PoolRoom:
    """Return a full pool in which a modest workspace waits beside a flood."""
    wants = {"flood": (64_000, 0, 0), "modest": (1000, 0, 0)}
    usages = {"flood": Usage([16_000 * count, 0, 0])}
    room = PoolRoom([CountedExecutor() for _ in range(count)])
    room.shares = measure_shares(wants, usages, {}, (0, 0, 0))
    return room


def test_free_cpu_is_summed_once_for_many_steps():
    """Guards against a round that looks at every executor for every step."""
    room = make_room(200)
    room.hold(FIRST, make_waiting("modest"), 5.0)
    for _ in range(500):
        assert room.is_held_from(LATER)
    assert all(executor.asked <= 3 for executor in room.executors)
    room.executors[0].used = Resources()
    room.forget_free_cpu()
    assert not room.is_held_from(LATER)


def test_room_is_held_against_others_for_a_short_time():
    """Guards against room that stays unused while the store is slow."""
    step_run = make_waiting("modest")
    held = []
    for now in (5.0, 5.0 + HOLD_SECONDS / 2, 5.0 + 2 * HOLD_SECONDS):
        room = make_room(4)
        room.hold(FIRST, step_run, now)
        held.append(room.is_held_from(LATER))
        # A late step of a pool without shares gives way for as long as before.
        assert room.is_held_from(FIRST._replace(timeliness=Timeliness.LATE))
    assert held == [True, True, False]


def find_wants(maximum: Resources, used: Resources) -> set[str]:
    """Return who contends for a pool if one of two workspaces has a maximum."""
    ledger = UsageLedger()
    for tenant in ("limited", "free"):
        for subtask in make_waiting(tenant).waiting.values():
            ledger.add_waiting(subtask, 1)
    tenants = {"limited": Tenant("limited", frozenset(), 1.0, maximum)}
    config = attrs.evolve(make_config(), tenants=tenants)
    found = ledger.find_contenders(config, {"limited": used})
    return set(found.get("pool", ()))


def test_need_that_a_maximum_blocks_does_not_count():
    """Guards against shares for a workspace that may not start anything."""
    used = Resources(1000, 512)
    assert find_wants(Resources(2000), used) == {"limited", "free"}
    assert not find_wants(Resources(1000), used)
    assert not find_wants(Resources(4000, 512), used)
    # Its maximum of accelerators does not concern work that needs none.
    used = Resources(1000, 512, 1)
    assert find_wants(Resources(0, 0, 1), used) == {"limited", "free"}


def test_work_for_accelerators_is_blocked_apart_from_other_work():
    """Guards against cpu work that does not count when accelerators are used up."""
    tenant = Tenant("limited", frozenset(), 1.0, Resources(0, 0, 1))
    in_use = {"limited": Resources(1000, 512, 1)}
    need = [1000, 512, 1]
    limit_need(need, tenant, in_use)
    assert need == [0, 0, 0]
    need = [1000, 512, 0]
    limit_need(need, tenant, in_use)
    assert need == [1000, 512, 0]


@pytest.mark.parametrize("weight", [1e3, 1e9, 2.0**53])
def test_huge_weight_leaves_the_shares_of_the_others(weight):
    """Guards against weights beside which no flood is above its share."""
    wants = {"flood": (640_000, 0, 0), "other": (640_000, 0, 0), "huge": (1000, 0, 0)}
    usages = {"flood": Usage([60_000, 0, 0])}
    shares = measure_shares(wants, usages, weigh("huge", weight), (4000, 0, 0))
    assert shares.workspaces["flood"].above
    assert shares.workspaces["flood"].share == pytest.approx(0.5, abs=0.01)


async def test_metrics_end_with_the_term_of_the_leader(autojump_clock, monkeypatch):
    """Guards against a former leader that shows its last shares for good."""
    monkeypatch.setattr("time.time", trio.current_time)
    labels = {"pool": "pool", "workspace": "one"}

    def find_share() -> float | None:
        return REGISTRY.get_sample_value("hemlockstand_share_of_pool", labels)

    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(3)
        for tenant in ("one", "two"):
            world.submit(make_step(200, 0.5), tenant=tenant)
        await world.wait_for(lambda: find_share() is not None, 3.0)
        world.kill(world.daemons["a"])
        await trio.sleep(0.1)
        assert find_share() is None
