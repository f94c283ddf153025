"""Accepts the connections of an endpoint and serves them with Hypercorn."""

import errno
import socket
from collections.abc import Awaitable, Callable, Sequence

import trio
from attrs import field, frozen
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from loguru import logger

from hemlockstand.asgi import Application
from hemlockstand.serving.application import ConnectionApplication
from hemlockstand.serving.budget import Budget
from hemlockstand.serving.connection import (
    BUSY_DETAIL,
    Connection,
    RefusalFormat,
    drop_received,
    send_refusal,
)
from hemlockstand.serving.limiter import Limiter
from hemlockstand.serving.settings import ClientSettings

log = logger.bind(module=__name__)

BACKLOG = 1024  # connections that wait in the system while the daemon is busy
ACCEPT_PAUSE_SECONDS = 0.1  # after a failure, such as too few descriptors
# Requests on one connection. Hypercorn's default of 1,000 made callers reconnect.
MAX_KEPT_REQUESTS = 1 << 62
# An accept fails with these if the client has gone meanwhile.
GONE = (errno.ECONNABORTED, errno.EPROTO)


@frozen
class Endpoint:
    """An address of the daemon.

    ``share`` is its part of what all clients may use, so that a crowd at one
    endpoint does not close another. ``body_factor`` is the memory for a body relative
    to its size, 0 where no body is accepted.
    """

    name: str
    share: float
    body_factor: int
    graceful_seconds: float
    refusals: RefusalFormat
    server_header: bool = True


class NoIdleTimer:
    """Replaces Hypercorn's timer of idle connections.

    ``Limiter.check`` closes them; a timer task for each request is not needed.
    """

    async def restart(self, *_arguments) -> None:
        """Start no timer."""

    async def stop(self) -> None:
        """Stop no timer."""


def bind_address(address: str) -> socket.socket:
    """Return a listening socket at ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host.strip("[]"), int(port)))
    return listener


async def serve_clients(
    application: Application,
    endpoint: Endpoint,
    settings: ClientSettings,
    listeners: Sequence[socket.socket],
    closing: Callable[[], Awaitable[None]],
) -> None:
    """Serve until ``closing`` returns, then finish the requests in progress."""
    budget = Budget(
        int(settings.memory_bytes * endpoint.share),
        max(1, int(settings.connections * endpoint.share)),
        settings.source_share,
    )
    server = Server(
        application,
        endpoint,
        settings,
        Limiter(endpoint.name, budget),
        make_config(endpoint),
    )
    async with trio.open_nursery() as checks:
        # Deadlines also hold for the requests in progress while the endpoint closes.
        checks.start_soon(server.limiter.check)
        await run_door(server, listeners, closing)
        checks.cancel_scope.cancel()


async def run_door(
    server: "Server",
    listeners: Sequence[socket.socket],
    closing: Callable[[], Awaitable[None]],
) -> None:
    """Accept connections until ``closing`` returns, and wait for their end."""
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                listener.setblocking(False)
                listener.listen(BACKLOG)
                nursery.start_soon(server.accept, listener, connections)
            await closing()
            nursery.cancel_scope.cancel()
        for listener in listeners:
            listener.close()
        await server.finish()
        connections.cancel_scope.deadline = (
            trio.current_time() + server.endpoint.graceful_seconds
        )


def make_config(endpoint: Endpoint) -> Config:
    """Return Hypercorn's configuration."""
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = endpoint.server_header
    config.keep_alive_max_requests = MAX_KEPT_REQUESTS
    return config


@frozen(eq=False)
class Server:
    """The connections of an endpoint."""

    application: Application
    endpoint: Endpoint
    settings: ClientSettings
    limiter: Limiter
    config: Config
    context: WorkerContext = field(factory=lambda: WorkerContext(None))

    async def accept(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        """Accept connections as long as there is room for them."""
        while True:
            try:
                accepted, address = listener.accept()
            except BlockingIOError:
                await trio.lowlevel.wait_readable(listener)
                continue
            except OSError as error:
                if error.errno not in GONE:
                    self.limiter.count("accept_failed", error.strerror or "")
                    await trio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            try:
                accepted.setblocking(False)
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError:
                accepted.close()  # the client has gone
                continue
            source = address[0]
            admitted = self.limiter.admit(source)
            nursery.start_soon(self._serve, accepted, source, admitted)
            await self.limiter.wait_admission()

    async def _serve(
        self, accepted: socket.socket, source: str, admitted: bool
    ) -> None:
        try:
            if not admitted and not await self.limiter.admit_late(source):
                self.limiter.count("no_room", source)
                drop_received(accepted)
                send_refusal(accepted, self.endpoint.refusals, 503, BUSY_DETAIL)
                return
            connection = Connection(
                accepted,
                source,
                self.limiter,
                self.settings,
                self.endpoint.body_factor,
                self.endpoint.refusals,
            )
            self.limiter.add(connection)
            await self._serve_connection(connection)
        finally:
            accepted.close()

    async def _serve_connection(self, connection: Connection) -> None:
        try:
            if await connection.wait_request():
                server = TCPServer(
                    ConnectionApplication(self.application, connection),
                    self.config,
                    self.context,
                    ConnectionState({}),
                    connection,
                )
                server.idle_task = NoIdleTimer()
                await server.run()
        except Exception:
            # An error of one connection must not end the others.
            log.exception("connection of a client failed")
        finally:
            connection.close()
            connection.drop_all()
            try:
                await connection.linger()
            finally:
                self.limiter.remove(connection)

    async def finish(self) -> None:
        """Close idle connections; the others close after their answer."""
        await self.context.terminated.set()
        for connection in tuple(self.limiter.connections):
            connection.end_idle()
