"""What a frontend says to callers while the store misbehaves."""

import json

import pytest
import trio
from attrs import define, field

from emulator.row_store import RowStoreAccess, RowStoreModel, Transaction
from hemlockstand.fleet.frontend import FrontendService
from hemlockstand.fleet.model import JobState, JobStatus
from hemlockstand.fleet.storage import cancel_write, status_write
from test.fleet_world import make_config, make_settings

JOB = "00000000000000b1"
BODY = {"TaskSpec": "text", "Steps": [{"Count": 1, "Cpu": 100}]}


@define(eq=False)
class StubConfiguration:
    """A configuration whose age a test sets."""

    current: object = None
    fresh: bool = True
    age_seconds: float = 0.1


@define(eq=False)
class StubKernel:
    """The services that a frontend finds."""

    rows: RowStoreAccess
    settings: object = field(factory=lambda: make_settings("a"))
    configuration: StubConfiguration = field(
        factory=lambda: StubConfiguration(make_config())
    )

    def find(self, name, kind):
        """Return the store's service, which has rows, or the configuration."""
        return self if name == "row_store" else self.configuration


@define(eq=False)
class Desk:
    """A frontend with its store, called as callers do."""

    model: RowStoreModel = field(factory=RowStoreModel)
    kernel: StubKernel = field(init=False)
    client: object = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.kernel = StubKernel(RowStoreAccess(self.model))
        self.client = FrontendService(self.kernel)._make_app().test_client()

    async def call(self, method: str, job: str = JOB, body=None, **headers):
        """Return the status, the body and the time to come back."""
        headers = {
            "Host": "host",
            "Authorization": "Bearer key",
            "Deadline-Ms": "1000",
            **headers,
        }
        data = None if body is None else json.dumps(body)
        reply = await self.client.open(
            f"/queue/{job}", method=method, headers=headers, data=data
        )
        content = json.loads(await reply.get_data() or b"{}")
        return reply.status_code, content, reply.headers.get("Retry-After")


@pytest.fixture
def desk(autojump_clock):
    """A frontend on virtual time."""
    return Desk()


async def test_refusal_is_true_when_the_store_is_closed(desk):
    """Guards against a refused job that runs all the same."""
    desk.kernel.rows.closed = True
    status, _, retry_after = await desk.call("POST", body=BODY)
    assert (status, retry_after) == (503, "1")
    assert not desk.model.rows


async def test_open_write_is_not_called_refused(desk):
    """Guards against "not accepted" after a write that is applied later."""
    desk.kernel.rows.late_writes = 1000
    status, _, _ = await desk.call("POST", body=BODY)
    assert status == 504
    assert any(desk.kernel.rows.apply_late())
    assert (await desk.call("GET"))[0] == 200


async def test_store_that_closes_after_an_open_write(desk):
    """Guards against "not accepted" from a second try while the first is open."""
    rows = desk.kernel.rows
    rows.late_writes = 1

    async def close_soon() -> None:
        await trio.sleep(0.02)
        rows.closed = True

    async with trio.open_nursery() as nursery:
        nursery.start_soon(close_soon)
        status, _, _ = await desk.call("POST", body=BODY)
    assert status == 504


async def test_lost_answer_is_resolved_by_a_second_try(desk):
    """Guards against an accepted job that the caller is told nothing of."""
    desk.kernel.rows.lost_answers = 1
    assert (await desk.call("POST", body=BODY))[0] == 200
    assert len(desk.model.rows) == 1


async def test_same_job_twice_is_one_job(desk):
    """Guards against a second job, and against a second body for the first."""
    assert (await desk.call("POST", body=BODY))[0] == 200
    other = {**BODY, "TaskSpec": "other"}
    assert (await desk.call("POST", body=other))[0] == 200
    (row,) = desk.model.rows.values()
    assert b"other" not in row.value


async def test_old_configuration_serves_nothing(desk):
    """Guards against a withdrawn key that works on a daemon without news."""
    await desk.call("POST", body=BODY)
    desk.kernel.configuration.fresh = False
    for method in ("POST", "GET", "DELETE"):
        body = BODY if method == "POST" else None
        status, _, retry_after = await desk.call(method, body=body)
        assert (status, retry_after) == (503, "1")
    status, _, _ = await desk.call("GET", Authorization="Bearer unknown")
    assert status == 503


async def test_no_configuration_yet(desk):
    """Guards against "no such queue" before the first configuration."""
    desk.kernel.configuration.current = None
    assert (await desk.call("GET"))[0] == 503


async def test_states_that_are_shown(desk):
    """Guards against a state that contradicts an acknowledged cancel or end."""
    await desk.call("POST", body=BODY)
    assert (await desk.call("GET"))[1] == {"State": "queued"}
    write = cancel_write(JOB, 1)
    desk.model.apply(Transaction((write,), (), ()))
    assert (await desk.call("GET"))[1] == {"State": "cancelled"}
    write = status_write(JOB, JobStatus(JobState.COMPLETED))
    desk.model.apply(Transaction((write,), (), ()))
    assert (await desk.call("GET"))[1] == {"State": "completed"}
    assert (await desk.call("DELETE"))[1] == {"State": "completed"}
