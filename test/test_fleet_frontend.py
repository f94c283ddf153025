"""Answers of a frontend to callers while the store fails."""

import json

import attrs
import pytest
import trio
from attrs import define, field

from emulator.row_store import RowStoreAccess, RowStoreModel, Transaction
from hemlockstand.fleet.frontend import FrontendService
from hemlockstand.fleet.model import JobState, JobStatus, Resources, Tenant
from hemlockstand.fleet.storage import CancelRecord, cancel_write, status_write
from test.fleet_world import make_config, make_settings

JOB = "00000000000000b1"
OTHER_JOB = "00000000000000a2"
BODY = {"TaskSpec": "text", "Steps": [{"Count": 1, "Cpu": 100}]}


@define(eq=False)
class StubConfiguration:
    """A configuration service whose values the test sets."""

    current: object = None
    fresh: bool = True
    reachable: bool = True
    age_seconds: float = 0.1


@define(eq=False)
class StubKernel:
    """A kernel with the services that a frontend finds."""

    rows: RowStoreAccess
    settings: object = field(factory=lambda: make_settings("a"))
    configuration: StubConfiguration = field(
        factory=lambda: StubConfiguration(make_config())
    )

    def find(self, name, kind):
        """Return the store's service, which has rows, or the configuration."""
        return self if name == "row_store" else self.configuration


HEADERS = {"Host": "host", "Authorization": "Bearer key", "Deadline-Ms": "1000"}


@define(eq=False)
class FrontendHarness:
    """A frontend with a model of the store, and requests to it."""

    model: RowStoreModel = field(factory=RowStoreModel)
    kernel: StubKernel = field(init=False)
    client: object = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.kernel = StubKernel(RowStoreAccess(self.model))
        self.client = FrontendService(self.kernel)._make_app().test_client()

    async def call(self, method: str, job: str = JOB, body=None, **headers):
        """Return the status, the body and the ``Retry-After`` header."""
        headers = HEADERS | headers
        data = None if body is None else json.dumps(body)
        reply = await self.client.open(
            f"/queue/{job}", method=method, headers=headers, data=data
        )
        content = json.loads(await reply.get_data() or b"{}")
        return reply.status_code, content, reply.headers.get("Retry-After")


@pytest.fixture
def frontend(autojump_clock):
    """A frontend on virtual time."""
    return FrontendHarness()


async def test_refusal_while_the_store_is_closed_stores_nothing(
    frontend, autojump_clock
):
    """Guards against a refused job that is stored and runs."""
    frontend.kernel.rows.closed = True
    status, _, retry_after = await frontend.call("POST", body=BODY)
    assert (status, retry_after) == (503, "1")
    assert not frontend.model.rows


@pytest.mark.parametrize("part", [b"[", b'{"Steps":'])
async def test_nested_body_is_a_bad_request(frontend, part, autojump_clock):
    """Guards against an internal error for a body that cannot be decoded."""
    reply = await frontend.client.open(
        f"/queue/{JOB}", method="POST", headers=HEADERS, data=part * 4_000
    )
    assert reply.status_code == 400
    assert not frontend.model.rows


@pytest.mark.parametrize("steps", [1_300, 3_000])
async def test_job_that_fits_into_no_row_is_refused_for_good(
    frontend, steps, autojump_clock
):
    """Guards against a caller who is told to come back with such a job.

    The store's limit may be lower than the largest that is known.
    """
    if steps < 2_000:
        frontend.kernel.rows.refuses = lambda write: True
    body = {"Steps": [{"Count": 1, "Cpu": 500, "MemMb": 256}] * steps}
    status, _, retry_after = await frontend.call("POST", body=body)
    assert (status, retry_after) == (413, None)
    assert not frontend.model.rows


async def test_open_write_is_not_called_refused(frontend, autojump_clock):
    """Guards against "not accepted" for a write that is applied later."""
    frontend.kernel.rows.late_writes = 1000
    status, _, _ = await frontend.call("POST", body=BODY)
    assert status == 504
    assert any(frontend.kernel.rows.apply_late())
    assert (await frontend.call("GET"))[0] == 200


async def test_store_that_closes_after_an_open_write(frontend, autojump_clock):
    """Guards against "not accepted" while an earlier write may be applied.

    The first write gets no answer, and the store is closed for the retry.
    """
    rows = frontend.kernel.rows
    rows.late_writes = 1

    async def close_soon() -> None:
        await trio.sleep(0.02)
        rows.closed = True

    async with trio.open_nursery() as nursery:
        nursery.start_soon(close_soon)
        status, _, _ = await frontend.call("POST", body=BODY)
    assert status == 504


async def test_lost_answer_is_resolved_by_a_second_try(frontend, autojump_clock):
    """Guards against an accepted job whose caller gets no clear answer."""
    frontend.kernel.rows.lost_answers = 1
    assert (await frontend.call("POST", body=BODY))[0] == 200
    assert len(frontend.model.rows) == 1


async def test_same_job_twice_is_one_job(frontend, autojump_clock):
    """Guards against a repeated submission that adds a job or is refused.

    The configuration may change the queue's pool and terms between the two.
    """
    assert (await frontend.call("POST", body=BODY))[0] == 200
    config = frontend.kernel.configuration.current
    queue = attrs.evolve(config.queues[0], pool="standby", attempts=7)
    frontend.kernel.configuration.current = attrs.evolve(config, queues=(queue,))
    assert (await frontend.call("POST", body=BODY))[0] == 200
    assert len(frontend.model.rows) == 1


@pytest.mark.parametrize(
    "change", [{"TaskSpec": "other"}, {"Steps": [{"Count": 2, "Cpu": 100}]}]
)
async def test_other_job_under_a_known_id_is_refused(frontend, change, autojump_clock):
    """Guards against a second job that its caller is told was accepted."""
    assert (await frontend.call("POST", body=BODY))[0] == 200
    (stored,) = frontend.model.rows.values()
    status, content, _ = await frontend.call("POST", body={**BODY, **change})
    assert status == 409
    assert JOB in content["Error"]
    assert list(frontend.model.rows.values()) == [stored]


@pytest.mark.parametrize("text", ["\u00b2", "9" * 5000, "-1", "soon", "nan", "inf"])
async def test_bad_deadline_is_named(frontend, text, autojump_clock):
    """Guards against a header that ends the request with an internal error."""
    status, content, _ = await frontend.call(
        "GET", **{"Deadline-Ms": text.encode().decode("latin-1")}
    )
    assert status == 400
    assert "Deadline-Ms" in content["Error"]


async def test_old_configuration_serves_nothing(frontend, autojump_clock):
    """Guards against a withdrawn key that works with an old configuration."""
    await frontend.call("POST", body=BODY)
    frontend.kernel.configuration.fresh = False
    for method in ("POST", "GET", "DELETE"):
        body = BODY if method == "POST" else None
        status, _, retry_after = await frontend.call(method, body=body)
        assert (status, retry_after) == (503, "1")
    status, _, _ = await frontend.call("GET", Authorization="Bearer unknown")
    assert status == 503


async def test_no_configuration_yet(frontend, autojump_clock):
    """Guards against "no such queue" before a configuration is loaded."""
    frontend.kernel.configuration.current = None
    assert (await frontend.call("GET"))[0] == 503


@pytest.fixture
def shared(frontend):
    """A frontend whose configuration has two workspaces and a public queue."""
    config = frontend.kernel.configuration.current
    queue = attrs.evolve(config.queues[0], name="open", prefix="/open/", public=True)
    other = Tenant("other", frozenset({"other-key"}), 1.0, Resources())
    frontend.kernel.configuration.current = attrs.evolve(
        config,
        queues=(*config.queues, queue),
        tenants={**config.tenants, "other": other},
    )
    return frontend


FOREIGN = {"Authorization": "Bearer other-key"}


async def test_foreign_key_learns_nothing_of_a_job(shared, autojump_clock):
    """Guards against a workspace that reads or cancels the job of another."""
    # The cancel of an absent job applies to it if it comes, so it is another one.
    absent = [await shared.call(method, OTHER_JOB) for method in ("GET", "DELETE")]
    await shared.call("POST", body=BODY)
    stored = dict(shared.model.rows)
    foreign = [await shared.call(method, **FOREIGN) for method in ("GET", "DELETE")]
    assert foreign == absent == [(410, {"Error": "no such job"}, None)] * 2
    for headers in (FOREIGN, {"Authorization": ""}):
        reply = await shared.client.get(f"/open/{JOB}", headers=HEADERS | headers)
        assert reply.status_code == 410
    assert shared.model.rows == stored
    assert await shared.call("GET") == (200, {"State": "queued"}, None)


async def test_id_of_another_workspace_is_taken(shared, autojump_clock):
    """Guards against a foreign job that its submitter is told was accepted."""
    await shared.call("POST", body=BODY)
    (stored,) = shared.model.rows.values()
    status, content, _ = await shared.call("POST", body=BODY, **FOREIGN)
    assert (status, JOB in content["Error"]) == (409, True)
    assert list(shared.model.rows.values()) == [stored]
    assert (await shared.call("POST", body=BODY))[0] == 200


async def test_job_without_a_workspace_is_shown_to_all(shared, autojump_clock):
    """Guards against a job of a public queue that its caller cannot follow."""
    path = f"/open/{JOB}"
    headers = HEADERS | {"Authorization": ""}
    body = json.dumps(BODY)
    reply = await shared.client.post(path, headers=headers, data=body)
    assert reply.status_code == 200
    assert (await shared.client.get(path, headers=headers)).status_code == 200
    assert (await shared.client.get(path, headers=HEADERS)).status_code == 200


async def test_job_states_shown_to_callers(frontend, autojump_clock):
    """Guards against states that contradict an acknowledged cancel or end."""
    await frontend.call("POST", body=BODY)
    assert (await frontend.call("GET"))[1] == {"State": "queued"}
    write = cancel_write(JOB, CancelRecord(1))
    frontend.model.apply(Transaction((write,), (), ()))
    assert (await frontend.call("GET"))[1] == {"State": "cancelled"}
    write = status_write(JOB, JobStatus(JobState.COMPLETED))
    frontend.model.apply(Transaction((write,), (), ()))
    assert (await frontend.call("GET"))[1] == {"State": "completed"}
    assert (await frontend.call("DELETE"))[1] == {"State": "completed"}


async def test_daemon_without_the_store_is_not_ready():
    """Guards against a daemon that keeps its callers while others could serve them.

    The balancer goes on sending to a daemon that reports ready, and callers stay
    on their connections.
    """
    kernel = StubKernel(RowStoreAccess(RowStoreModel()))
    frontend = FrontendService(kernel)
    ready, callers = frontend._make_ready_app(), frontend._make_app()
    states = ((True, True), (False, True), (False, False), (True, False))
    for reachable, fresh in states:
        kernel.configuration.reachable = reachable
        kernel.configuration.fresh = fresh
        status = 200 if reachable or fresh else 503
        reply = await ready.test_client().get("/ready")
        assert reply.status_code == status
        reply = await callers.test_client().get(f"/queue/{JOB}", headers=HEADERS)
        closes = reply.headers.get("Connection") == "close"
        assert closes is (status == 503)
