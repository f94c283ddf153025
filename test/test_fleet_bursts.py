"""Replays of bursts through the frontends of several frontends, on virtual time."""

from random import Random

import attrs
import pytest
import trio
from attrs import define, field

from emulator.fleet_executors import SubtaskBehaviour
from emulator.row_store import RowStoreAccess
from hemlockstand.fleet.frontend import FrontendService
from hemlockstand.fleet.load_row import decode_load
from hemlockstand.fleet.model import Tenant
from test.fleet_world import SMALL, make_config, open_world
from test.test_fleet_frontend import HEADERS, StubConfiguration, StubKernel
from test.test_fleet_load import (
    EXECUTORS,
    JOBS_PER_SECOND,
    OBJECTIVE_SECONDS,
    SECONDS,
    SUBTASKS,
)

DOORS = 3
MAX_ATTEMPTS = 8
STEP = {
    "Count": SUBTASKS,
    "Cpu": 1000,
    "MemMb": 512,
    "EstimatedMs": int(SECONDS * 1000),
}


@define(eq=False)
class CountedAccess(RowStoreAccess):
    """A client of the store that counts the reads of single rows."""

    reads: int = 0

    async def read_one(self, table: str, key: str):
        """Read a row."""
        self.reads += 1
        return await super().read_one(table, key)


@define(eq=False)
class Attempt:
    """A submission with its answer, and what its caller was told before."""

    job: str
    key: str
    sent_at: float
    status: int
    retry_after: int
    first: bool
    frontend: int


@define(eq=False)
class Frontends:
    """Frontends on the store of a world, and callers that come when told."""

    world: object
    random: Random = field(factory=lambda: Random(5))
    clients: list = field(factory=list)
    rows: list = field(factory=list)
    services: list = field(factory=list)
    attempts: list[Attempt] = field(factory=list)

    def open(self) -> None:
        """Start the frontends."""
        for _ in range(DOORS):
            access = CountedAccess(self.world.store)
            config = StubConfiguration(self.world.configuration.current)
            service = FrontendService(StubKernel(access, configuration=config))
            self.world.nursery.start_soon(service._admission.run)
            self.clients.append(service._make_app().test_client())
            self.rows.append(access)
            self.services.append(service)

    async def call(self, job: str, key: str, frontend: int, count: int = 1) -> None:
        """Submit a job until it is accepted, at the times that are told."""
        self.world.work[job] = SubtaskBehaviour(SECONDS, size=SMALL)
        for attempt in range(MAX_ATTEMPTS):
            sent_at = trio.current_time()
            reply = await self.clients[frontend].post(
                f"/queue/{job}",
                headers=HEADERS | {"Authorization": f"Bearer {key}"},
                json={"TaskSpec": "t", "Steps": [STEP] * count},
            )
            seconds = int(reply.headers.get("Retry-After", "0"))
            self.attempts.append(
                Attempt(
                    job, key, sent_at, reply.status_code, seconds, not attempt, frontend
                )
            )
            if reply.status_code not in (429, 503):
                return
            await trio.sleep(seconds)

    async def send(self, factor: float, seconds: float, key: str = "key") -> None:
        """Submit a multiple of what the pool can run; wait for all callers."""
        async with trio.open_nursery() as nursery:
            for number in range(round(factor * JOBS_PER_SECOND * seconds)):
                job = f"{len(key):04x}{number:012x}"
                frontend = self.random.randrange(DOORS)
                nursery.start_soon(self.call, job, key, frontend)
                await trio.sleep(self.random.expovariate(factor * JOBS_PER_SECOND))

    def find_ends(self) -> dict[str, float]:
        """Return when the last run of each job has ended."""
        for model in self.world.executors.values():
            model.advance()
        ends: dict[str, float] = {}
        for run in self.world.records:
            job = run.subtask.split(".")[0]
            ends[job] = max(ends.get(job, 0.0), run.ended_at or float("inf"))
        return ends

    def list_refused(self, key: str = "key") -> list[Attempt]:
        """Return the first attempts that were told to come back."""
        return [
            item
            for item in self.attempts
            if item.first and item.status == 429 and item.key == key
        ]

    def count_overtaken(self) -> int:
        """Return how many callers were told a time after that of a newcomer.

        The newcomer came later, to the same frontends, and was let in before.
        """
        refused = self.list_refused()
        let_in = [item for item in self.attempts if item.first and item.status == 200]
        return sum(
            any(
                item.sent_at < other.sent_at < item.sent_at + item.retry_after
                and item.frontend == other.frontend
                for other in let_in
            )
            for item in refused
        )


@pytest.fixture
async def frontends(autojump_clock, monkeypatch):
    """A fleet with one scheduler and several frontends."""
    monkeypatch.setattr("time.time", trio.current_time)
    async with open_world() as world:
        for _ in range(EXECUTORS):
            world.add_executor()
        config = make_config()
        small = Tenant(
            "small", frozenset({"small"}), 1.0, config.tenants["team"].maximum
        )
        world.configuration.current = attrs.evolve(
            config, tenants={**config.tenants, "small": small}
        )
        world.start_daemon("a")
        await trio.sleep(3)
        found = Frontends(world)
        found.open()
        yield found


@pytest.mark.parametrize("factor", [4, 8])
async def test_those_who_come_when_told_are_served_in_time(
    frontends, factor, autojump_clock
):
    """Guards against callers told a time at which there is no room for them.

    Nobody who was told to come back is overtaken by a newcomer at that frontend.
    """
    await frontends.send(factor, 4.0)
    await trio.sleep(5)
    refused = frontends.list_refused()
    ends = frontends.find_ends()
    let_in = {
        item.job: item.sent_at for item in frontends.attempts if item.status == 200
    }
    in_time = [
        item.job in let_in
        and ends.get(item.job, float("inf")) <= let_in[item.job] + OBJECTIVE_SECONDS
        for item in refused
    ]
    assert len(refused) > 20
    assert sum(in_time) >= 0.9 * len(refused)
    assert not frontends.count_overtaken()
    frontends.world.check_runs()
    row = frontends.world.store.find("scheduler", "load")
    assert not decode_load(row).pools


async def test_nothing_is_refused_without_contention(frontends, autojump_clock):
    """Guards against refusals, and writes of the load, while there is room."""
    await frontends.send(0.5, 6.0)
    await trio.sleep(5)
    assert {item.status for item in frontends.attempts} == {200}
    assert frontends.world.store.find("scheduler", "load") is None
    assert all(0 < access.reads <= 8 for access in frontends.rows)


async def test_takeover_in_the_middle_of_a_burst(frontends, autojump_clock):
    """Guards against refusals by a view of a scheduler that is gone.

    The next one publishes its own, and all that was accepted is run.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(frontends.send, 4.0, 5.0)
        await trio.sleep(2.5)
        assert frontends.world.store.find("scheduler", "load") is not None
        frontends.world.kill(frontends.world.daemons["a"])
        killed_at = trio.current_time()
        frontends.world.start_daemon("b")
    await trio.sleep(10)
    first = [item for item in frontends.attempts if item.first]
    assert any(item.status == 429 and item.sent_at > killed_at + 2 for item in first)
    let_in = {item.job for item in frontends.attempts if item.status == 200}
    assert let_in == {item.job for item in first} == set(frontends.find_ends())
    frontends.world.check_runs()


async def test_flood_of_a_tenant_beside_a_small_one(frontends, autojump_clock):
    """Guards against a small tenant that is refused for another one's flood."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(frontends.send, 6.0, 4.0)
        nursery.start_soon(frontends.send, 0.2, 4.0, "small")
    assert len(frontends.list_refused()) > 20
    assert not frontends.list_refused("small")
