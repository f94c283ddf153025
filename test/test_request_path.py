"""A request goes from the caller port to an upstream and back."""

from hemlockstand.model import Access
from test.fakes import (
    FakeUpstream,
    make_answer,
    make_configuration,
    make_queue,
    run_request_path,
)


async def answer_at_once(received):
    return make_answer(received, b"answer to " + received.body)


async def test_request_reaches_upstream_and_returns(monkeypatch, tmp_path):
    """Guards against a request path that drops headers, body or response."""
    upstream = FakeUpstream(answer_at_once)
    configuration = make_configuration(make_queue("quotes"))
    async with run_request_path(
        monkeypatch, tmp_path, configuration, {"main": [upstream]}
    ) as harness:
        async with harness.make_client() as client:
            response = await client.post(
                "/v1/queues/quotes",
                content=b"hello",
                headers={
                    "X-Request-Id": "r1",
                    "X-Deadline-Ms": "2000",
                    "Content-Type": "text/plain",
                    "traceparent": f"00-{'1' * 32}-{'2' * 16}-01",
                },
            )
    assert response.status_code == 200
    assert response.content == b"answer to hello"
    assert response.headers["X-Verdict"] == "answered"
    assert response.headers["X-Request-Id"] == "r1"
    received = upstream.received[0]
    assert received.path == "/run/quotes"
    assert received.headers["x-team"] == "hinge"
    assert received.headers["content-type"] == "text/plain"
    assert received.headers["traceparent"].split("-")[1] == "1" * 32
    assert 1000 < int(received.headers["x-deadline-ms"]) <= 2000


async def test_keyed_queue_needs_the_teams_key(monkeypatch, tmp_path):
    """Guards against work that is accepted without the team's own key."""
    upstream = FakeUpstream(answer_at_once)
    configuration = make_configuration(
        make_queue("orders", access=Access.KEYED),
        make_queue("foreign", team="clamp", access=Access.KEYED),
    )
    cases = [
        ("orders", {}, 401, "key_missing"),
        ("orders", {"Authorization": "Bearer wrong"}, 403, "key_refused"),
        ("foreign", {"Authorization": "Bearer secret"}, 403, "key_refused"),
        ("orders", {"Authorization": "Basic secret"}, 400, "invalid_request"),
        ("orders", {"Authorization": "Bearer secret"}, 200, None),
    ]
    async with run_request_path(
        monkeypatch, tmp_path, configuration, {"main": [upstream]}
    ) as harness:
        async with harness.make_client() as client:
            for queue, headers, status, code in cases:
                response = await client.post(f"/v1/queues/{queue}", headers=headers)
                assert response.status_code == status
                if code is not None:
                    assert response.json()["code"] == code
                    assert response.headers["X-Verdict"] == "not-run"
    assert len(upstream.received) == 1
