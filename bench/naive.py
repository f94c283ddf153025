"""A naive proxy that benchmarks compare daemons with.

It forwards requests to the executors in rotation, with the same HTTP libraries
as a daemon, but without concurrency limits, deadlines, fairness or retries::

    python -m bench.naive --port 9400 --upstreams 127.0.0.1:7001,127.0.0.1:7002
"""

from itertools import cycle

import httpx
import trio
from absl import app, flags
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, request
from quart_trio import QuartTrio

from hemlockstand.asgi import shield_sends

BACKLOG = 2048


def make_app(upstreams: list[str], client: httpx.AsyncClient) -> QuartTrio:
    """Return the application, which forwards requests with the client."""
    naive = QuartTrio("naive")
    rotation = cycle(upstreams)

    @naive.get("/ready")
    async def show_ready() -> Response:
        return Response(b"")

    @naive.post("/v1/queues/<queue>")
    async def forward(queue: str) -> Response:
        request_id = request.headers["X-Request-Id"]
        headers = {"X-Request-Id": request_id, "X-Team": request.headers["X-Team"]}
        url = f"http://{next(rotation)}/run/{queue}"
        body = await request.get_data()
        try:
            answer = await client.post(url, headers=headers, content=body)
        except httpx.HTTPError:
            return Response(b"", 502, {"X-Request-Id": request_id})
        response_headers = {"X-Request-Id": request_id, "X-Verdict": "answered"}
        return Response(answer.content, answer.status_code, response_headers)

    return naive


async def run_naive(host: str, port: int, upstreams: list[str]) -> None:
    """Serve the proxy until the process ends."""
    config = Config()
    config.bind = [f"{host}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = BACKLOG
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(
        timeout=None, limits=limits, trust_env=False
    ) as client:
        await serve(shield_sends(make_app(upstreams, client)), config, mode="asgi")


def main(arguments: list[str]) -> None:
    """Run the proxy with the flags of the command line."""
    del arguments
    values = flags.FLAGS
    trio.run(run_naive, values.host, values.port, values.upstreams)


if __name__ == "__main__":
    flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
    flags.DEFINE_integer("port", 9400, "Port for callers.")
    flags.DEFINE_list("upstreams", [], "Comma-separated HOST:PORT of the executors.")
    app.run(main)
