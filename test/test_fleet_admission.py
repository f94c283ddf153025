"""Refusals at the frontend of a frontend, by views of the load that a test sets."""

import attrs
import pytest
import trio

from emulator.row_store import RowStoreAccess, RowStoreModel
from hemlockstand.fleet.frontend import FrontendService
from hemlockstand.fleet.load_row import load_write
from hemlockstand.fleet.load_view import (
    LOAD_FORMAT,
    InstanceKind,
    LoadView,
    PoolLoad,
    WaitingWork,
)
from hemlockstand.fleet.model import JobState, JobStatus, Resources
from hemlockstand.fleet.policy.admission import Postponed
from hemlockstand.fleet.return_book import MAX_TOLD, ReturnBook
from hemlockstand.fleet.settings import AdmissionSettings
from hemlockstand.fleet.storage import status_write
from test.fleet_world import USUAL, make_config, make_settings
from test.test_fleet_frontend import BODY, JOB, FrontendHarness, StubKernel

OTHER_JOB = "00000000000000b2"
STEP = {"Count": 1, "Cpu": 1000, "MemMb": 512, "EstimatedMs": 1000}
FULL = PoolLoad(16.0, 0.0, {"0": {"team": WaitingWork(1000.0, 500.0)}})
KINDS = (InstanceKind(USUAL, 4),)


class AdmissionHarness(FrontendHarness):
    """A frontend whose copy of the load the test refreshes."""

    def __init__(self, model: RowStoreModel, **values) -> None:
        settings = attrs.evolve(make_settings("a"), **values)
        self.model = model
        self.kernel = StubKernel(RowStoreAccess(model), settings)
        self.service = FrontendService(self.kernel)
        self.client = self.service._make_app().test_client()

    async def publish(self, value: bytes | None = None, **values) -> None:
        """Store a view, by default of a full pool, and have it read."""
        now_ms = int(trio.current_time() * 1000)
        view = LoadView(LOAD_FORMAT, now_ms, {"pool": FULL}, kinds=KINDS, complete=True)
        if value is None:
            value = load_write(attrs.evolve(view, **values)).value
        self.model.put("scheduler", "load", value)
        await self.service._admission.reader._read()

    async def submit(self, job: str = JOB, **step):
        """Submit a job of one step."""
        steps = [STEP | step]
        return await self.call("POST", job, {"TaskSpec": "text", "Steps": steps})


@pytest.fixture
def model(autojump_clock, monkeypatch):
    """A store, on virtual time."""
    monkeypatch.setattr("time.time", trio.current_time)
    return RowStoreModel()


@pytest.fixture
def frontend(model):
    """A frontend with a frontend."""
    return AdmissionHarness(model)


async def test_full_pool_refuses_and_stores_nothing(frontend, autojump_clock):
    """Guards against a job that is stored though it cannot be done in time."""
    await frontend.publish()
    status, content, retry_after = await frontend.submit()
    assert status == 429 and int(retry_after) >= 1 and content["Error"]
    assert not [name for name in frontend.model.rows if name[0] == "jobs"]
    for job in range(3):
        later = (await frontend.submit(f"{job:016x}"))[2]
        assert int(later) >= int(retry_after)
    early = (await frontend.submit())[2]
    await trio.sleep(int(early))
    await frontend.publish()
    assert (await frontend.submit())[0] == 200
    assert (await frontend.submit(OTHER_JOB))[0] == 429


@pytest.mark.parametrize("priority", ["0", "1"])
async def test_work_of_a_lower_priority_is_not_ahead(
    frontend, priority, autojump_clock
):
    """Guards against urgent jobs that are refused for work behind them."""
    pool = attrs.evolve(FULL, waiting={priority: FULL.waiting["0"]})
    await frontend.publish(pools={"pool": pool})
    assert (await frontend.submit())[0] == (429 if priority == "0" else 200)


@pytest.mark.parametrize(
    "values",
    [
        {"value": b"{"},
        {"value": b""},
        {"value": b"[" * 4000},
        {"format": LOAD_FORMAT + 1},
        {"made_ms": 0},
        {"pools": {"pool": attrs.evolve(FULL, cores=-1.0)}},
        {"pools": {"pool": attrs.evolve(FULL, waiting={"x": {}})}},
        {"pools": {}},
    ],
)
async def test_view_that_cannot_be_used_refuses_nothing(
    frontend, values, autojump_clock
):
    """Guards against refusals by a damaged, newer or old document."""
    # Virtual time begins at 0, which would be a recent time of a view.
    autojump_clock.jump(60)
    await frontend.publish()
    assert (await frontend.submit(OTHER_JOB))[0] == 429
    await frontend.publish(**values)
    assert (await frontend.submit())[0] == 200


async def test_view_that_is_not_refreshed_refuses_nothing(frontend, autojump_clock):
    """Guards against refusals by a copy that the frontend could not read again.

    The clock of the scheduler is ahead of the frontend's.
    """
    await frontend.publish(made_ms=int(trio.current_time() * 1000) + 1500)
    assert (await frontend.submit(OTHER_JOB))[0] == 429
    await trio.sleep(2.1)
    assert (await frontend.submit())[0] == 200


async def test_store_is_away_at_the_frontend(frontend, autojump_clock):
    """Guards against a refusal of a job that may be stored."""
    await frontend.publish()
    frontend.kernel.rows.closed = True
    status, _, retry_after = await frontend.submit()
    assert (status, retry_after) == (503, "1")


async def test_resubmission_after_a_lost_answer(frontend, autojump_clock):
    """Guards against "not run" for a job that is stored, or may yet be."""
    frontend.kernel.rows.late_writes = 1000
    assert (await frontend.submit())[0] == 504
    frontend.kernel.rows.late_writes = 0
    await frontend.publish()
    assert (await frontend.submit(OTHER_JOB))[0] == 429
    assert (await frontend.submit())[0] == 200
    other = AdmissionHarness(frontend.model)
    await other.publish()
    assert (await other.submit())[0] == 200
    assert (await other.submit(EstimatedMs=2000))[0] == 409


@pytest.mark.parametrize(
    ("step", "refused"),
    [
        ({"Cpu": 16_001}, True),
        ({"Cpu": 16_000}, False),
        ({"Count": 5, "Gang": True, "Cpu": 16_000}, True),
        ({"Count": 4, "Gang": True, "Cpu": 16_000}, False),
        ({"Cpu": 90_000, "Fills": True}, False),
        ({"Cpu": 16_001, "LongRunning": True}, True),
    ],
)
async def test_sizes_that_no_instance_can_serve(
    frontend, step, refused, autojump_clock
):
    """Guards against a job that waits for good, or a wrong "never"."""
    await frontend.publish(pools={})
    status, content, retry_after = await frontend.submit(**step)
    assert (status, retry_after) == ((400, None) if refused else (200, None))
    assert not refused or "Steps[0]" in content["Error"]
    await frontend.publish(pools={}, complete=False)
    assert (await frontend.submit(OTHER_JOB, **step))[0] == 200


@pytest.mark.parametrize(("cpu", "status"), [(0, 200), (1000, 200), (999, 400)])
async def test_maximum_below_one_subtask(frontend, cpu, status, autojump_clock):
    """Guards against a job that its tenant's maximum holds up for good."""
    frontend.kernel.configuration.current = make_config(Resources(cpu))
    assert (await frontend.submit())[0] == status


@pytest.mark.parametrize(
    "values", [{"Steps": [STEP | {"LongRunning": True}]}, {"RepeatCount": 2}]
)
async def test_no_time_limit_for_jobs_that_last_or_have_due_times(
    frontend, values, autojump_clock
):
    """Guards against refusals for time of jobs that have no end or start later."""
    await frontend.publish()
    body = BODY | {"Steps": [STEP]} | values
    assert (await frontend.call("POST", body=body))[0] == 200


@pytest.mark.parametrize(
    ("tenant_limit", "limit", "status"), [(9, 99, 429), (99, 10, 429), (10, 99, 200)]
)
async def test_bounds_on_what_is_queued(
    model, tenant_limit, limit, status, autojump_clock
):
    """Guards against a backlog without a bound."""
    settings = AdmissionSettings(max_jobs=limit, max_tenant_jobs=tenant_limit)
    frontend = AdmissionHarness(model, admission=settings)
    await frontend.publish(pools={}, queued={"team": 9, "other": 1})
    assert (await frontend.submit())[0] == status


@pytest.mark.parametrize(("cpu", "status"), [(0, 200), (4000, 429)])
async def test_own_maximum_makes_a_tenant_wait(frontend, cpu, status, autojump_clock):
    """Guards against a backlog behind a maximum while the pool has room."""
    frontend.kernel.configuration.current = make_config(Resources(cpu))
    pool = attrs.evolve(FULL, cores=1000.0)
    await frontend.publish(pools={"pool": pool})
    assert (await frontend.submit())[0] == status


async def test_load_that_is_not_to_be_used(model, autojump_clock):
    """Guards against refusals where the settings ask for none."""
    frontend = AdmissionHarness(model, admission=AdmissionSettings(by_load=False))
    await frontend.publish()
    assert (await frontend.submit())[0] == 200


def test_book_is_bounded_and_forgets():
    """Guards against a flood that fills the memory of a frontend."""
    book = ReturnBook()
    line = ("pool", 0, "team")
    for number in range(MAX_TOLD + 100):
        book.tell(str(number), line, 1.0, 0.0, Postponed("time", "", 1.0, 0.01))
    assert len(book._told) == MAX_TOLD
    assert book.is_behind(line, 1.0)
    book.advance(1000.0)
    assert not (book._told or book._heap or book._outstanding or book._latest)


@pytest.mark.parametrize("cores", [1e-320, 1e-305, 1e-3])
async def test_tiny_capacity_refuses_without_an_error(frontend, cores, autojump_clock):
    """Guards against an error of the server for a number that has no use."""
    await frontend.publish(pools={"pool": attrs.evolve(FULL, cores=cores)})
    for job in range(3):
        assert (await frontend.submit(f"{job:016x}"))[0] in (200, 429)


def test_callers_with_the_same_time_and_id():
    """Guards against a comparison of callers that have no order."""
    book = ReturnBook()
    for work in (3.0, 2.0, 1.0):
        book.tell("a", ("pool", 0, "team"), work, 0.0, Postponed("time", "", 1.0))
        book.remove("a", 0.0)
    assert len(book._heap) == 3


async def test_job_of_which_only_the_status_is_left(frontend, autojump_clock):
    """Guards against "not run" for a job that has run and is being removed."""
    write = status_write(JOB, JobStatus(JobState.COMPLETED))
    frontend.model.put(write.table, write.key, write.value)
    await frontend.publish()
    assert (await frontend.submit(OTHER_JOB))[0] == 429
    assert (await frontend.submit())[0] == 200
