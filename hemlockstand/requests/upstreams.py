"""Calls upstreams, and tracks the list of upstream instances.

The protocol towards upstreams is defined in this module only; replace it to
support another protocol. A call ends with a verdict: ``NotRun`` only if the
request was not sent or the upstream refused it, ``Answered`` only with the
complete response to this very request, and ``MayHaveRun`` otherwise.
"""

from collections.abc import Callable
from functools import lru_cache

import httpx
import trio
from attrs import define
from loguru import logger

from hemlockstand.errors import HemlockstandError
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.maintenance.records import (
    INSTANCE_PREFIX,
    InstanceState,
    Phase,
    decode_instance,
)
from hemlockstand.platform.interface import InstanceRecord
from hemlockstand.platform.service import PlatformService
from hemlockstand.requests.connections import KEEP_ALIVE_SECONDS, ConnectionStack
from hemlockstand.requests.executors import (
    Executor,
    ExecutorRegistry,
    list_executors,
)
from hemlockstand.requests.interfaces import ConfigurationSource, PeersSource
from hemlockstand.requests.messages import Request
from hemlockstand.requests.suspects import SuspectMonitor
from hemlockstand.traces import inject_context, record_span
from hemlockstand.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

log = logger.bind(module=__name__)

CONNECT_SECONDS = 1.0
_TIMEOUTS = {"connect": CONNECT_SECONDS}
MAX_CACHED_URLS = 4096
MAX_ANSWER_BYTES = 16 << 20
DRAIN_CHECK_SECONDS = 0.3
READ_ALL_INTERVAL_SECONDS = 10.0
REFUSAL_RETRY_SECONDS = 1.0
# A call that ends at its deadline counts as a failure of the upstream only if
# it took this many times the usual latency. Otherwise the deadline was short.
LATE_FACTOR = 4.0

_SEND_HEADERS_STARTED = "http11.send_request_headers.started"
_WITHOUT_BODY = frozenset({204, 304})


class _SendRefused(Exception):
    """Raised if the permission to send is lost before anything was sent."""


@define
class _SendTrace:
    """Trace hook for httpx that records whether a request was sent.

    httpx reports the start of the headers after the connection has been made
    and directly before the write, so a permission that is checked at that
    event is valid at the time of the send.
    """

    may_send: Callable[[], bool]
    started: bool = False
    was_refused: bool = False

    async def __call__(self, event: str, info: dict) -> None:
        if event == _SEND_HEADERS_STARTED:
            if not self.may_send():
                raise _SendRefused
            self.started = True


def _always() -> bool:
    return True


@register
class UpstreamsService(Service):
    """Tracks the executors of all pools and sends requests to them."""

    name = "upstreams"
    needs = ("platform", "configuration", "peers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.registry = ExecutorRegistry(self.settings.daemon.data_centre)
        self._connections: dict[str, ConnectionStack] = {}
        self._drains: object = None
        self._listed: tuple[InstanceRecord, ...] = ()
        self._states: dict[str, InstanceState] = {}
        self._read_all_at = 0.0

    async def start(self) -> None:
        """Read the instance list; after a failure ``run`` reads it again."""
        self._configuration = self.kernel.find("configuration", ConfigurationSource)
        self._platform = self.kernel.find("platform", PlatformService).platform
        peers = self.kernel.find("peers", PeersSource)
        self._suspect_monitor = SuspectMonitor(self.registry, peers)
        peers.handle_suspect_notice(self._suspect_monitor.handle_notice)
        await self._read_list()

    async def run(self) -> None:
        """Track the instance list, the drains and suspect executors."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_list)
            nursery.start_soon(self._poll_drains)
            nursery.start_soon(self._suspect_monitor.run)

    def executors(self, pool: str) -> tuple[Executor, ...]:
        """Return the known executors of a pool with their measured state."""
        return self.registry.get(pool)

    async def call(
        self,
        executor: Executor,
        request: Request,
        may_send: Callable[[], bool] = _always,
    ) -> Verdict:
        """Send the request to the executor and return the verdict.

        ``may_send`` is called immediately before the first byte is sent. The
        caller has counted the request in the executor's window; this method
        removes it from the window.
        """
        began = trio.current_time()
        send_trace = _SendTrace(may_send)
        verdict: Verdict | None = None
        try:
            with record_span("upstream", queue=request.queue, executor=executor.id):
                with trio.move_on_at(request.deadline):
                    verdict = await self._send(executor, request, send_trace)
            if verdict is None:
                verdict = _verdict_for_timeout(request, send_trace)
        finally:
            self._record(executor, verdict, send_trace, began)
        return verdict

    async def _send(
        self, executor: Executor, request: Request, send_trace: _SendTrace
    ) -> Verdict:
        stack = self._connections.get(executor.address)
        if stack is None:
            stack = self._connections[executor.address] = ConnectionStack()
        transport = stack.take()
        try:
            response = await transport.handle_async_request(
                _build_request(executor, request, send_trace)
            )
            try:
                return await _read_answer(response, request)
            finally:
                await response.stream.aclose()
        except _SendRefused:
            return NotRun(
                Reason.LEASE_LAPSED,
                "the permission to run lapsed before the request was sent",
                REFUSAL_RETRY_SECONDS,
            )
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            send_trace.was_refused = isinstance(error, httpx.ConnectError)
            return _verdict_for_error(request, send_trace, error)
        finally:
            await stack.put_back(transport)

    def _record(
        self,
        executor: Executor,
        verdict: Verdict | None,
        send_trace: _SendTrace,
        began: float,
    ) -> None:
        """Update the executor's window and its failures."""
        now = trio.current_time()
        ejector = self.registry.ejector(executor.pool)
        match verdict:
            case Answered(status=status) if status < 500:
                executor.window.record_answer(now, now - began)
                ejector.record_success(executor.id, now)
            case NotRun(reason=Reason.UPSTREAM_REFUSED) if not send_trace.started:
                executor.window.record_ignored()
                if send_trace.was_refused:
                    self._suspect_monitor.record(executor, is_refused=True)
                ejector.record_failure(executor.id, now)
            case NotRun(reason=Reason.UPSTREAM_REFUSED, detail="leaving"):
                executor.window.record_ignored()
                self._suspect_monitor.record(executor, is_refused=False)
            case NotRun(reason=Reason.UPSTREAM_REFUSED):
                executor.window.record_refusal(now)
            case MayHaveRun(reason=Reason.DEADLINE_EXPIRED):
                if now - began > LATE_FACTOR * executor.window.latency:
                    executor.window.record_refusal(now)
                    ejector.record_failure(executor.id, now)
                else:
                    executor.window.record_ignored()
            case Answered() | MayHaveRun():
                executor.window.record_ignored()
                ejector.record_failure(executor.id, now)
            case _:
                executor.window.record_ignored()

    async def _poll_list(self) -> None:
        while True:
            await trio.sleep(self.settings.platform.instance_poll_seconds)
            await self._read_list()
            for stack in tuple(self._connections.values()):
                await stack.close_idle(KEEP_ALIVE_SECONDS)

    async def _read_list(self) -> None:
        """Apply the instance list; in an outage keep the known executors."""
        try:
            records = await self._platform.instances.list()
        except HemlockstandError as error:
            log.warning("reading the instance list failed: {}", error)
            return
        own = tuple(list_executors(records))
        await self._read_states(own)
        removed = self.registry.follow_list(own, self._states)
        self._apply_drains()
        for executor in removed:
            stack = self._connections.pop(executor.address, None)
            if stack is not None:
                await stack.retire()

    async def _read_states(self, own: tuple[InstanceRecord, ...]) -> None:
        """Read the rows of instances that may have moved between pools.

        An instance is drained before it moves, so the rows are read after a
        change in the list and during unfinished moves. Otherwise all rows are
        read every ``READ_ALL_INTERVAL_SECONDS``.
        """
        now = trio.current_time()
        names = [record.id for record in own]
        if own == self._listed and now < self._read_all_at:
            names = [name for name in names if self._is_moving(name)]
        else:
            self._read_all_at = now + READ_ALL_INTERVAL_SECONDS
        if not names:
            return
        try:
            rows = await self._platform.table.read_many(
                [INSTANCE_PREFIX + name for name in names]
            )
        except HemlockstandError as error:
            log.warning("reading the instance rows failed: {}", error)
            self._read_all_at = now
            return
        self._listed = own
        for name, row in zip(names, rows, strict=True):
            self._states[name] = decode_instance(name, row)

    def _is_moving(self, name: str) -> bool:
        state = self._states.get(name)
        return state is None or state.phase is not Phase.SERVING

    async def _poll_drains(self) -> None:
        while True:
            await trio.sleep(DRAIN_CHECK_SECONDS)
            if self._configuration.current.drains is not self._drains:
                self._apply_drains()

    def _apply_drains(self) -> None:
        self._drains = self._configuration.current.drains
        self.registry.follow_drains(self._drains)


def _build_request(
    executor: Executor, request: Request, send_trace: _SendTrace
) -> httpx.Request:
    remaining = max(1, int((request.deadline - trio.current_time()) * 1000))
    headers = {
        "Host": executor.address,
        "Content-Type": request.content_type,
        "Content-Length": str(len(request.body)),
        "X-Request-Id": request.id,
        "X-Team": request.team,
        "X-Deadline-Ms": str(remaining),
    }
    inject_context(headers)
    # With ``stream`` instead of ``content``, httpx adds no headers of its own.
    return httpx.Request(
        "POST",
        _make_url(executor.address, request.queue),
        headers=[(name.encode(), value.encode()) for name, value in headers.items()],
        stream=httpx.ByteStream(request.body),
        extensions={"trace": send_trace, "timeout": _TIMEOUTS},
    )


@lru_cache(maxsize=MAX_CACHED_URLS)
def _make_url(address: str, queue: str) -> httpx.URL:
    return httpx.URL(f"http://{address}/run/{queue}")


async def _read_answer(response: httpx.Response, request: Request) -> Verdict:
    headers = response.headers
    if headers.get("X-Request-Id") != request.id:
        return MayHaveRun(
            request.id,
            Reason.ANSWER_MISMATCHED,
            f"the upstream answered request {headers.get('X-Request-Id')!r}",
        )
    if response.status_code == 503 and "X-Not-Run" in headers:
        await _read_rest(response)
        return _read_refusal(headers["X-Not-Run"])
    if not _is_framed(response):
        return MayHaveRun(
            request.id,
            Reason.ANSWER_TRUNCATED,
            "the upstream's answer does not say where it ends",
        )
    body = bytearray()
    async for chunk in response.stream:
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            return MayHaveRun(
                request.id,
                Reason.ANSWER_LOST,
                f"the upstream's answer is longer than {MAX_ANSWER_BYTES} bytes",
            )
    return Answered(
        response.status_code, tuple(response.headers.multi_items()), bytes(body)
    )


def _read_refusal(value: str) -> NotRun:
    if value == "expired":
        return NotRun(Reason.DEADLINE_EXPIRED, "the deadline expired upstream", None)
    return NotRun(Reason.UPSTREAM_REFUSED, value, REFUSAL_RETRY_SECONDS)


async def _read_rest(response: httpx.Response) -> None:
    """Read the body of a refusal, so that the connection can be reused."""
    try:
        async for _ in response.stream:
            pass
    except httpx.HTTPError:
        return


def _is_framed(response: httpx.Response) -> bool:
    """Return whether a truncated body can be detected."""
    if response.status_code in _WITHOUT_BODY:
        return True
    headers = response.headers
    encodings = headers.get("Transfer-Encoding", "").lower()
    return "Content-Length" in headers or "chunked" in encodings


def _verdict_for_timeout(request: Request, send_trace: _SendTrace) -> Verdict:
    if not send_trace.started:
        return NotRun(
            Reason.DEADLINE_EXPIRED, "the deadline passed before the send", None
        )
    return MayHaveRun(
        request.id, Reason.DEADLINE_EXPIRED, "the deadline passed after the send"
    )


def _verdict_for_error(
    request: Request, send_trace: _SendTrace, error: Exception
) -> Verdict:
    if not send_trace.started:
        return NotRun(
            Reason.UPSTREAM_REFUSED,
            f"no connection to the upstream: {error!r}",
            REFUSAL_RETRY_SECONDS,
        )
    reason = Reason.ANSWER_LOST
    if isinstance(error, httpx.RemoteProtocolError):
        reason = Reason.ANSWER_TRUNCATED
    return MayHaveRun(request.id, reason, f"the upstream's answer broke off: {error!r}")
