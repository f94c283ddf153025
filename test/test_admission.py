"""Invalid input at the caller port is refused and affects nothing else."""

import attrs
import pytest
import trio

from hemlockstand.model import Access, Configuration
from test.fakes import (
    FakeUpstream,
    make_answer,
    make_configuration,
    make_queue,
    run_request_path,
)

QUEUES = (
    make_queue("quotes"),
    make_queue("orders", idempotent=False, access=Access.KEYED),
    make_queue("clamps", team="clamp"),
)
KEY = {"Authorization": "Bearer secret"}


async def answer_at_once(received):
    return make_answer(received, received.body)


@pytest.fixture
def run_path(monkeypatch, tmp_path):
    """Return a function that runs the request path with one upstream."""

    def run(upstream, **request_settings):
        return run_request_path(
            monkeypatch,
            tmp_path,
            make_configuration(*QUEUES),
            {"main": [upstream]},
            **request_settings,
        )

    return run


BAD_HEADERS = [
    ({"X-Deadline-Ms": "0"}, 400, "invalid_request"),
    ({"X-Deadline-Ms": "-5"}, 400, "invalid_request"),
    ({"X-Deadline-Ms": "soon"}, 400, "invalid_request"),
    ({"X-Deadline-Ms": "1e3"}, 400, "invalid_request"),
    ({"X-Deadline-Ms": "nan"}, 400, "invalid_request"),
    ({"X-Deadline-Ms": ""}, 400, "invalid_request"),
    ({"X-Deadline-Ms": "9" * 400}, 400, "invalid_request"),
    ({"X-Deadline-Ms": "\u0661".encode()}, 400, "invalid_request"),
    ({"X-Request-Id": ""}, 400, "invalid_request"),
    ({"X-Request-Id": "a b"}, 400, "invalid_request"),
    ({"X-Request-Id": "x" * 129}, 400, "invalid_request"),
    ({"X-Request-Id": "../../claim"}, 400, "invalid_request"),
    ({"X-Team": "hinge/../clamp"}, 400, "invalid_request"),
    ({"X-Team": "nobody"}, 403, "unknown_team"),
    ({"X-Team": "clamp"}, 403, "key_refused"),
    ({"Authorization": "Bearer"}, 400, "invalid_request"),
    ({"Authorization": "Bearer " + "k" * 300}, 400, "invalid_request"),
    ({"Content-Type": "t" * 300}, 400, "invalid_request"),
]


async def test_bad_headers_are_refused_and_the_daemon_goes_on(run_path):
    """Guards against headers that stop the daemon or reach an upstream."""
    upstream = FakeUpstream(answer_at_once)
    async with run_path(upstream) as harness, harness.make_client() as client:
        for headers, status, code in BAD_HEADERS:
            response = await client.post("/v1/queues/quotes", headers=headers)
            assert (response.status_code, response.json()["code"]) == (status, code)
            assert response.headers["X-Verdict"] == "not-run"
            assert response.headers["X-Request-Id"]
            assert len(response.content) < 500
        assert upstream.received == []
        assert (await client.post("/v1/queues/quotes")).status_code == 200


async def test_repeated_headers_are_refused(run_path):
    """Guards against a repeated header with two possible meanings."""
    upstream = FakeUpstream(answer_at_once)
    async with run_path(upstream) as harness, harness.make_client() as client:
        for name in ("X-Request-Id", "X-Team", "X-Deadline-Ms", "Authorization"):
            response = await client.post(
                "/v1/queues/quotes", headers=[(name, "1"), (name, "2")]
            )
            assert response.status_code == 400
            assert name.lower() in response.json()["detail"]
    assert upstream.received == []


async def test_unknown_paths_and_methods(run_path):
    """Guards against answers outside the caller protocol."""
    async with run_path(FakeUpstream(answer_at_once)) as harness:
        async with harness.make_client() as client:
            for method, target in [
                ("GET", "/"),
                ("GET", "/v1/queues/quotes"),
                ("PUT", "/v1/queues/quotes"),
                ("POST", "/v1/queues/missing"),
                ("POST", "/v1/queues/" + "q" * 3000),
                ("POST", "/v1/queues/%00%ff"),
                ("DELETE", "/v1/requests/r1"),
            ]:
                response = await client.request(method, target)
                assert response.status_code == 404
                assert response.json()["code"] == "unknown_queue"
                assert response.headers["X-Verdict"] == "not-run"
                assert len(response.content) < 500


async def test_long_deadline_is_cut_to_the_queues(run_path):
    """Guards against a request that still runs when its slot is reclaimed."""
    upstream = FakeUpstream(answer_at_once)
    async with run_path(upstream) as harness, harness.make_client() as client:
        for value in ("999999999999", "5001"):
            await client.post("/v1/queues/quotes", headers={"X-Deadline-Ms": value})
    for received in upstream.received:
        assert int(received.headers["x-deadline-ms"]) <= 5000


async def test_tiny_deadline_is_refused_or_late_but_never_wrong(run_path):
    """Guards against a request that hangs because its deadline is short."""
    async with run_path(FakeUpstream(answer_at_once)) as harness:
        async with harness.make_client() as client:
            response = await client.post(
                "/v1/queues/quotes", headers={"X-Deadline-Ms": "1"}
            )
    assert response.status_code in (200, 503, 504)


async def test_oversized_bodies_are_refused(run_path):
    """Guards against callers that exhaust the memory with one large body."""
    upstream = FakeUpstream(answer_at_once)

    async def stream_body():
        for _ in range(4):
            yield b"x" * 400

    async with run_path(upstream, max_body_bytes=1000) as harness:
        async with harness.make_client() as client:
            for content in (b"x" * 1001, stream_body()):
                response = await client.post("/v1/queues/quotes", content=content)
                assert response.status_code == 413
                assert response.json()["code"] == "body_too_large"
                assert response.headers["X-Verdict"] == "not-run"
            response = await client.post("/v1/queues/quotes", content=b"x" * 1000)
            assert response.content == b"x" * 1000
    assert len(upstream.received) == 1


async def test_waiting_bodies_take_bounded_memory(run_path, monkeypatch):
    """Guards against a queue of large bodies that exhausts the memory."""
    monkeypatch.setattr("hemlockstand.requests.admission.MAX_HELD_BYTES", 1500)
    finish = trio.Event()

    async def respond(received):
        await finish.wait()
        return make_answer(received)

    upstream = FakeUpstream(respond)
    statuses = []
    async with run_path(upstream) as harness, harness.make_client() as client:

        async def submit():
            response = await client.post("/v1/queues/quotes", content=b"x" * 1000)
            statuses.append(response.status_code)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit)
            while not upstream.received:
                await trio.sleep(0.01)
            await submit()
            assert statuses == [503]
            finish.set()
        await submit()
    assert statuses == [503, 200, 200]


async def test_failed_look_up_is_not_reported_as_not_run(run_path):
    """Guards against 'not run' for an order that could not be looked up."""
    async with run_path(FakeUpstream(answer_at_once)) as harness:
        harness.orders.outcomes = None
        async with harness.make_client() as client:
            response = await client.get(
                "/v1/requests/r1", headers={**KEY, "X-Team": "hinge"}
            )
    assert response.status_code == 504
    assert response.headers["X-Verdict"] == "may-have-run"


async def test_cut_short_body_is_not_dispatched(run_path):
    """Guards against running a request whose connection closed in its body."""
    upstream = FakeUpstream(answer_at_once)
    async with run_path(upstream) as harness:
        for head in (b"Content-Length: 100\r\n", b"Transfer-Encoding: chunked\r\n"):
            stream = await trio.open_tcp_stream("127.0.0.1", harness.admission.port)
            async with stream:
                await stream.send_all(
                    b"POST /v1/queues/quotes HTTP/1.1\r\nHost: h\r\n" + head + b"\r\n"
                    b"5\r\nhello\r\n"
                )
        async with harness.make_client() as client:
            response = await client.post("/v1/queues/quotes", content=b"whole")
    assert response.status_code == 200
    assert [received.body for received in upstream.received] == [b"whole"]


async def test_malformed_http_harms_only_its_connection(run_path):
    """Guards against bytes that are not HTTP and stop the daemon."""
    async with run_path(FakeUpstream(answer_at_once)) as harness:
        for data in (b"\x00\xff" * 50, b"POST / HTTP/9.9\r\n\r\n", b"G" * 70_000):
            stream = await trio.open_tcp_stream("127.0.0.1", harness.admission.port)
            async with stream:
                with trio.move_on_after(0.5):
                    await stream.send_all(data)
                    await stream.receive_some()
        async with harness.make_client() as client:
            assert (await client.post("/v1/queues/quotes")).status_code == 200


async def test_stale_configuration_refuses_keyed_work_only(run_path):
    """Guards against a withdrawn key that a cut-off daemon still accepts."""
    upstream = FakeUpstream(answer_at_once)
    async with run_path(upstream) as harness, harness.make_client() as client:
        harness.freshness.fresh["fleet"] = False
        response = await client.post("/v1/queues/orders", headers=KEY)
        assert response.status_code == 503
        assert response.json()["code"] == "configuration_not_fresh"
        assert response.headers["Retry-After"] == "2"
        assert (await client.post("/v1/queues/quotes")).status_code == 200


async def test_withdrawn_key_is_refused_at_once(run_path):
    """Guards against a key index that is kept after a configuration change."""
    async with run_path(FakeUpstream(answer_at_once)) as harness:
        async with harness.make_client() as client:
            first = await client.post("/v1/queues/orders", headers=KEY)
            current = harness.configuration.current
            harness.configuration.current = attrs.evolve(current, version=2, keys={})
            second = await client.post("/v1/queues/orders", headers=KEY)
    assert (first.status_code, second.status_code) == (200, 403)


async def test_kept_result_needs_the_teams_key(run_path):
    """Guards against reading another team's results."""
    async with run_path(FakeUpstream(answer_at_once)) as harness:
        async with harness.make_client() as client:
            order_headers = {**KEY, "X-Request-Id": "r7"}
            await client.post(
                "/v1/queues/orders", headers=order_headers, content=b"shipped"
            )
            team = {"X-Team": "hinge"}
            cases = [
                ({**KEY, **team}, 200),
                (team, 401),
                ({"Authorization": "Bearer wrong", **team}, 403),
                ({**KEY, "X-Team": "clamp"}, 404),
                (KEY, 400),
            ]
            for headers, status in cases:
                response = await client.get("/v1/requests/r7", headers=headers)
                assert response.status_code == status
                assert (response.content == b"shipped") == (status == 200)


async def test_issued_ids(run_path):
    """Guards against ids that are issued in any number or without a team."""
    headers = {**KEY, "X-Team": "hinge"}
    async with run_path(FakeUpstream(answer_at_once)) as harness:
        async with harness.make_client() as client:
            response = await client.post(
                "/v1/request-ids", headers=headers, json={"count": 3}
            )
            assert len(set(response.json()["ids"])) == 3
            for body in (b"", b"{}", b"[]", b'{"count": 0}', b'{"count": 1e9}'):
                response = await client.post(
                    "/v1/request-ids", headers=headers, content=body
                )
                assert response.status_code == 400
                assert response.json()["code"] == "invalid_request"
            response = await client.post("/v1/request-ids", json={"count": 3})
            assert response.status_code == 400


async def test_hop_headers_of_upstreams_stop_here(run_path):
    """Guards against passing on an upstream's verdict or connection header."""

    async def respond(received):
        extra = "X-Verdict: not-run\r\nConnection: keep-alive\r\nX-Own: kept\r\n"
        return make_answer(received, b"done", 201, extra=extra)

    async with run_path(FakeUpstream(respond)) as harness:
        async with harness.make_client() as client:
            response = await client.post("/v1/queues/quotes")
    assert response.status_code == 201
    assert response.headers.get_list("X-Verdict") == ["answered"]
    assert response.headers["X-Own"] == "kept"
    assert "Connection" not in response.headers


async def test_idle_connection_does_not_hold_up_a_stop(run_path):
    """Guards against a stop that waits for callers that send nothing.

    An idle connection delayed a stop by the whole graceful timeout of 32 s.
    """
    async with run_path(FakeUpstream(answer_at_once)) as harness:
        async with harness.make_client() as client:
            await client.post("/v1/queues/quotes")
            with trio.fail_after(15):
                await harness.admission.stop()


async def test_daemon_without_configuration_asks_to_come_back(monkeypatch, tmp_path):
    """Guards against a 404, which callers take as final, from a new daemon."""
    empty = Configuration()
    async with run_request_path(monkeypatch, tmp_path, empty, {}) as harness:
        async with harness.make_client() as client:
            response = await client.post("/v1/queues/quotes")
    assert response.status_code == 503
    assert response.json()["code"] == "configuration_not_fresh"
    assert int(response.headers["Retry-After"]) >= 1
