"""Stand-in for the platform's load balancer: TCP, round robin, with a lag.

A backend is given as ``HOST:CALLER_PORT/HOST:OPERATOR_PORT``. The balancer
polls ``GET /ready`` on the operator port and applies the result after
``lag_seconds``::

    python -m emulator.balancer --port 8000 --control_port 8001 \\
        --backends 127.0.0.1:8100/127.0.0.1:8101
"""

from collections import deque

import httpx
import trio
from absl import app, flags
from attrs import define, field

from emulator.relay import relay
from emulator.web import WebRequest, WebResponse, refuse, reply, serve_handler

POLL_SECONDS = 0.2
POLL_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0


@define
class Backend:
    """A daemon as the balancer sees it."""

    host: str
    port: int
    ready_url: str
    ready: bool = False
    connections: int = 0
    _seen: deque[tuple[float, bool]] = field(factory=deque)

    def observe(self, ready: bool, due: float) -> None:
        """Record the result of a poll, which takes effect at ``due``."""
        self._seen.append((due, ready))

    def apply_due(self, now: float) -> None:
        """Apply the results of polls that are due."""
        while self._seen and self._seen[0][0] <= now:
            self.ready = self._seen.popleft()[1]


@define
class Balancer:
    """Spreads connections over backends ready ``lag_seconds`` ago."""

    backends: list[Backend]
    lag_seconds: float
    refused: int = 0
    _next: int = 0

    async def watch(self, backend: Backend) -> None:
        """Poll the readiness of one backend."""
        async with httpx.AsyncClient(
            timeout=POLL_TIMEOUT_SECONDS, trust_env=False
        ) as client:
            while True:
                ready = await _poll_readiness(client, backend.ready_url)
                now = trio.current_time()
                backend.observe(ready, now + self.lag_seconds)
                backend.apply_due(now)
                await trio.sleep(POLL_SECONDS)

    async def accept(self, caller: trio.SocketStream) -> None:
        """Connect a caller to a ready backend, or close its connection."""
        stream = await self._connect()
        if stream is None:
            self.refused += 1
            await trio.aclose_forcefully(caller)
            return
        await relay(caller, stream)

    async def handle(self, request: WebRequest) -> WebResponse:
        """Answer ``GET /backends`` on the control port."""
        if request.path != "/backends":
            return refuse(404, f"unknown call {request.method} {request.path}")
        shown = [
            {
                "address": f"{backend.host}:{backend.port}",
                "ready": backend.ready,
                "connections": backend.connections,
            }
            for backend in self.backends
        ]
        return reply({"backends": shown, "refused": self.refused})

    async def _connect(self) -> trio.SocketStream | None:
        now = trio.current_time()
        for backend in self.backends:
            backend.apply_due(now)
        for _ in self.backends:
            backend = self.backends[self._next % len(self.backends)]
            self._next += 1
            if not backend.ready:
                continue
            with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
                try:
                    stream = await trio.open_tcp_stream(backend.host, backend.port)
                except OSError:
                    continue
                backend.connections += 1
                return stream
        return None


async def _poll_readiness(client: httpx.AsyncClient, url: str) -> bool:
    try:
        return (await client.get(url)).status_code == 200
    except httpx.HTTPError:
        return False


def parse_backend(text: str) -> Backend:
    """Read ``HOST:CALLER_PORT/HOST:OPERATOR_PORT``; raises ``ValueError``."""
    caller, _, operator = text.partition("/")
    host, _, port = caller.rpartition(":")
    return Backend(host, int(port), f"http://{operator}/ready")


async def run_balancer(
    balancer: Balancer, host: str, port: int, control_port: int
) -> None:
    """Serve until the process ends."""
    async with trio.open_nursery() as nursery:
        for backend in balancer.backends:
            nursery.start_soon(balancer.watch, backend)
        control = [f"{host}:{control_port}"]
        nursery.start_soon(serve_handler, balancer.handle, control)
        listeners = await trio.open_tcp_listeners(port, host=host)
        await trio.serve_listeners(balancer.accept, listeners)


def main(arguments: list[str]) -> None:
    """Run the stand-in with the flags from the command line."""
    del arguments
    values = flags.FLAGS
    backends = [parse_backend(text) for text in values.backends]
    balancer = Balancer(backends, values.lag_seconds)
    trio.run(run_balancer, balancer, values.host, values.port, values.control_port)


if __name__ == "__main__":
    flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
    flags.DEFINE_integer("port", 8000, "Port for callers.")
    flags.DEFINE_integer("control_port", 8001, "Port for GET /backends.")
    flags.DEFINE_list(
        "backends", [], "HOST:CALLER_PORT/HOST:OPERATOR_PORT, separated by commas."
    )
    flags.DEFINE_float(
        "lag_seconds", 1.0, "Time until a change of readiness takes effect."
    )
    app.run(main)
