"""The request path with the real services, on an in-memory platform."""

from contextlib import asynccontextmanager

import httpx
import pytest
import trio

from hemlockstand.configuration.changes import Change, PutEntity, new_change_id
from hemlockstand.configuration.freshness import FreshnessService
from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.kernel import Kernel
from hemlockstand.model import Access
from hemlockstand.peers.service import PeersService
from hemlockstand.platform.memory import MemoryObjects, MemoryTable
from hemlockstand.requests.admission import AdmissionService
from hemlockstand.requests.limits import LimitsService
from hemlockstand.requests.orders import OrdersService
from hemlockstand.settings import load_settings
from test.fakes import (
    FakeUpstream,
    make_answer,
    make_configuration,
    make_queue,
    make_record,
)
from test.helper import MemoryPlatform, SwitchedTable, write_settings

SERVICES = (
    AdmissionService,
    ConfigurationService,
    FreshnessService,
    LimitsService,
    OrdersService,
    PeersService,
)
EXTRA_SETTINGS = """
[configuration]
poll_seconds = 0.1
[keys]
freshness_seconds = 1
[listen]
peer_port = 0
caller_port = 0
"""
HEADERS = {"Authorization": "Bearer secret", "X-Deadline-Ms": "4000"}


async def commit_configuration(configuration_service):
    """Commit two queues, an open and a keyed one for orders, with their team."""
    wanted = make_configuration(
        make_queue("quotes"),
        make_queue("orders", idempotent=False, access=Access.KEYED),
    )
    kinds = (wanted.teams, wanted.pools, wanted.queues, wanted.keys)
    edits = tuple(PutEntity(entity) for kind in kinds for entity in kind.values())
    change = Change(new_change_id(), "planner", "2026-12-04", edits)
    await configuration_service.commit(change, 0)


@pytest.fixture
def daemon(monkeypatch, tmp_path):
    """Return a context manager that runs a daemon with one upstream."""

    @asynccontextmanager
    async def run(upstream):
        platform = MemoryPlatform(SwitchedTable(MemoryTable()), MemoryObjects())
        monkeypatch.setattr(
            "hemlockstand.platform.service.HttpPlatform", lambda *_: platform
        )
        settings = load_settings(write_settings(tmp_path, EXTRA_SETTINGS))
        kernel = Kernel(settings, tuple(service.name for service in SERVICES))
        async with trio.open_nursery() as nursery:
            await nursery.start(upstream.serve)
            platform.instances.records.append(
                make_record("main-0", upstream.address, "main")
            )
            await nursery.start(kernel.serve)
            admission = kernel.find("admission", AdmissionService)
            await admission.listening.wait()
            await commit_configuration(
                kernel.find("configuration", ConfigurationService)
            )
            url = f"http://127.0.0.1:{admission.port}"
            async with httpx.AsyncClient(base_url=url, trust_env=False) as client:
                yield kernel, platform, client
            nursery.cancel_scope.cancel()

    return run


async def answer_at_once(received):
    return make_answer(received, b"done")


async def submit(client, queue, request_id, status=200):
    """Submit until the response has the status, and return it.

    A daemon that holds no slots yet refuses with "not run".
    """
    headers = {**HEADERS, "X-Request-Id": request_id}
    with trio.fail_after(10):
        while True:
            response = await client.post(f"/v1/queues/{queue}", headers=headers)
            if response.status_code == status:
                return response
            assert response.headers["X-Verdict"] == "not-run"


async def test_order_runs_once_with_the_real_services(daemon):
    """Guards against services that disagree about an interface."""
    upstream = FakeUpstream(answer_at_once)
    async with daemon(upstream) as (_, platform, client):
        for queue in ("quotes", "orders"):
            response = await submit(client, queue, f"{queue}-1")
            assert response.content == b"done"
        again = await submit(client, "orders", "orders-1")
        assert again.content == b"done"
        assert "claim/hinge/orders-1" in platform.table.shared.rows
        found = await client.get(
            "/v1/requests/orders-1", headers={**HEADERS, "X-Team": "hinge"}
        )
        assert found.content == b"done"
    ran = [received.headers["x-request-id"] for received in upstream.received]
    assert ran == ["quotes-1", "orders-1"]


async def test_issued_ids_work_in_a_platform_outage(daemon):
    """Guards against an outage that stops orders or runs them unclaimed."""
    upstream = FakeUpstream(answer_at_once)
    async with daemon(upstream) as (kernel, platform, client):
        await submit(client, "orders", "orders-1")
        headers = {**HEADERS, "X-Team": "hinge"}
        issued = await client.post(
            "/v1/request-ids", headers=headers, json={"count": 1}
        )
        platform.table.down = True
        own = await client.post(
            "/v1/queues/orders", headers={**HEADERS, "X-Request-Id": "orders-2"}
        )
        assert own.status_code == 503
        assert own.json()["code"] == "claim_unavailable"
        known = issued.json()["ids"][0]
        for _ in range(2):
            response = await client.post(
                "/v1/queues/orders", headers={**HEADERS, "X-Request-Id": known}
            )
            assert response.content == b"done"
    ran = [received.headers["x-request-id"] for received in upstream.received]
    assert ran == ["orders-1", known]
