"""The caller port: admits HTTP requests and answers them with verdicts.

Invalid input is answered with an error code and affects no other request.
"""

from collections.abc import Awaitable, Callable, Mapping
from time import perf_counter

import msgspec
import trio
from loguru import logger
from quart import Response, request as http_request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge, RequestTimeout

from hemlockstand.coordination.freshness import Scope
from hemlockstand.documents import decode_document
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.metrics import REFUSALS, REQUEST_SECONDS, VERDICTS
from hemlockstand.model import Access, Configuration, Queue
from hemlockstand.requests.accepting import AcceptingConfig
from hemlockstand.requests.callers import (
    REFUSAL_LINES,
    CallerHeaders,
    HttpAnswer,
    Refused,
    check_request_id,
    encode_refusal,
    present_document,
    present_verdict,
    read_caller_headers,
    read_headers,
    read_request_id,
    refuse,
)
from hemlockstand.requests.dispatch import DispatchService
from hemlockstand.requests.interfaces import (
    ConfigurationSource,
    FreshnessSource,
    OrdersSource,
)
from hemlockstand.requests.keys import KeyIndex
from hemlockstand.requests.messages import Request
from hemlockstand.serving.bodies import BodyTooLarge, read_body
from hemlockstand.serving.budget import BODY_FACTOR
from hemlockstand.serving.connection import RefusalFormat
from hemlockstand.serving.server import Endpoint, serve_clients
from hemlockstand.serving.settings import CALLERS_SHARE
from hemlockstand.traces import record_span
from hemlockstand.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

log = logger.bind(module=__name__)

BODY_TIMEOUT_SECONDS = 10
STOP_MARGIN_SECONDS = 2.0
# Bound on the memory for bodies of waiting requests. A full queue of bodies of
# the largest size would need a gigabyte, four times what a daemon may use.
MAX_HELD_BYTES = 64 << 20
HELD_RETRY_SECONDS = 1.0
FRESHNESS_RETRY_SECONDS = 2.0
MAX_ISSUED_IDS = 1000
MAX_DOCUMENT_BYTES = 4096
NO_REQUEST_ID = "none"

_VERDICT_NAMES = {Answered: "answered", NotRun: "not-run", MayHaveRun: "may-have-run"}


class IssueIds(msgspec.Struct):
    """Body of ``POST /v1/request-ids``."""

    count: int


_issue_decoder = msgspec.json.Decoder(IssueIds)


@register
class AdmissionService(Service):
    """Serves the caller port."""

    name = "admission"
    needs = ("configuration", "freshness", "orders", "dispatch")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.port = self.settings.listen.caller_port
        self.app = self._make_app()
        self._keys = KeyIndex()
        self._held_bytes = 0
        self._closing = trio.Event()
        self._closed = trio.Event()
        self.listening = trio.Event()

    async def start(self) -> None:
        """Find the services that admission depends on."""
        find = self.kernel.find
        self._configuration = find("configuration", ConfigurationSource)
        self._freshness = find("freshness", FreshnessSource)
        self._orders = find("orders", OrdersSource)
        self._dispatch = find("dispatch", DispatchService)

    async def run(self) -> None:
        """Serve callers until ``stop`` is called and requests have ended."""
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._serve)
                self.listening.set()
                log.info("listening for callers on port {}", self.port)
        finally:
            self._closed.set()

    async def stop(self) -> None:
        """Close the port and wait for running requests.

        Before it stops its services, the daemon waits for
        ``daemon.balancer_lag_seconds``, so that the balancer has stopped
        sending requests to it.
        """
        self._closing.set()
        await self._closed.wait()

    async def _serve(self, task_status: trio.TaskStatus) -> None:
        listen = self.settings.listen
        config = AcceptingConfig()
        config.bind = [f"{listen.host}:{listen.caller_port}"]
        listeners = config.create_sockets().insecure_sockets
        self.port = listeners[0].getsockname()[1]
        endpoint = Endpoint(
            name="callers",
            share=CALLERS_SHARE,
            body_factor=BODY_FACTOR,
            graceful_seconds=(
                self.settings.requests.max_deadline_seconds + STOP_MARGIN_SECONDS
            ),
            refusals=RefusalFormat(encode_refusal, REFUSAL_LINES),
            server_header=False,
        )
        task_status.started()
        await serve_clients(
            self.app, endpoint, self.settings.clients, listeners, self._closing.wait
        )

    def _make_app(self) -> QuartTrio:
        app = QuartTrio("hemlockstand", static_folder=None)
        app.config["MAX_CONTENT_LENGTH"] = self.settings.requests.max_body_bytes
        app.config["RESPONSE_TIMEOUT"] = None
        app.add_url_rule("/v1/queues/<queue>", view_func=self._submit, methods=["POST"])
        app.add_url_rule("/v1/requests/<request_id>", view_func=self._look_up)
        app.add_url_rule("/v1/request-ids", view_func=self._issue_ids, methods=["POST"])
        app.register_error_handler(HTTPException, self._answer_error)
        return app

    async def _submit(self, queue: str) -> Response:
        began = perf_counter()
        headers: Mapping[str, str] = {}
        verdict: Verdict
        request_id = NO_REQUEST_ID
        try:
            headers = read_headers(http_request.scope["headers"])
            request_id = read_request_id(headers) or NO_REQUEST_ID
            request = await self._admit(queue, headers)
            request_id = request.id
            with record_span(
                "admission", request.trace_headers, queue=queue, team=request.team
            ):
                verdict = await self._execute(request)
        except Refused as error:
            verdict = error.verdict
        except HTTPException as error:
            verdict = _verdict_for_http_error(error)
        except Exception:
            # The failure may have happened after the request was sent.
            log.exception("handling request {} to queue {} failed", request_id, queue)
            verdict = MayHaveRun(
                request_id,
                Reason.ANSWER_LOST,
                "the daemon failed to complete it",
            )
        self._count(queue, verdict, perf_counter() - began)
        return _make_response(present_verdict(verdict, request_id))

    async def _execute(self, request: Request) -> Verdict:
        self._held_bytes += len(request.body)
        try:
            return await self._dispatch.execute(request)
        finally:
            self._held_bytes -= len(request.body)

    async def _admit(self, name: str, headers: Mapping[str, str]) -> Request:
        """Make all checks that are possible before the request is queued."""
        arrived = trio.current_time()
        caller_headers = read_caller_headers(headers)
        configuration = self._configuration.current
        queue = configuration.queues.get(name)
        if queue is None:
            raise _refuse_queue(configuration, name)
        _check_team(configuration, queue, caller_headers)
        key = None
        if queue.access is not Access.OPEN:
            key = self._check_key(configuration, queue.team, caller_headers)
        self._check_held(http_request.content_length or 0)
        body = await self._read_body(self.settings.requests.max_body_bytes)
        self._check_held(len(body))
        request_id = caller_headers.request_id
        if request_id is None:
            request_id = self._orders.issue(queue.team, 1)[0]
        return Request(
            id=request_id,
            team=queue.team,
            queue=queue.name,
            deadline=arrived + self._grant_deadline(queue, caller_headers),
            body=body,
            content_type=caller_headers.content_type,
            trace_headers=caller_headers.trace_headers,
            key=key,
        )

    async def _read_body(self, max_bytes: int) -> bytes:
        """Return the body of the present request; raises ``Refused``."""
        try:
            with trio.fail_after(BODY_TIMEOUT_SECONDS):
                return await read_body(http_request, max_bytes)
        except BodyTooLarge:
            raise refuse(
                Reason.BODY_TOO_LARGE, f"the body has over {max_bytes} bytes"
            ) from None
        except trio.TooSlowError:
            raise RequestTimeout() from None

    def _check_held(self, size: int) -> None:
        """Refuse a body that would exceed the memory for waiting bodies."""
        if self._held_bytes + size > MAX_HELD_BYTES:
            raise refuse(
                Reason.OVERLOADED,
                f"the daemon holds {self._held_bytes} bytes of request bodies",
                HELD_RETRY_SECONDS,
            )

    def _check_key(
        self, configuration: Configuration, team: str, caller_headers: CallerHeaders
    ) -> str:
        """Return the name of the presented key; raises ``Refused``."""
        if caller_headers.key is None:
            raise refuse(Reason.KEY_MISSING, "header authorization is missing")
        if not self._freshness.is_fresh(Scope.FLEET):
            raise refuse(
                Reason.CONFIGURATION_NOT_FRESH,
                "the daemon cannot tell whether the key is still granted",
                FRESHNESS_RETRY_SECONDS,
            )
        key = self._keys.find(configuration.keys, team, caller_headers.key)
        if key is None:
            raise refuse(Reason.KEY_REFUSED, f"the key is not granted to team {team!r}")
        return key.name

    def _grant_deadline(self, queue: Queue, caller_headers: CallerHeaders) -> float:
        """Return the time allowed for the request, in seconds."""
        longest = min(
            queue.deadline_seconds, self.settings.requests.max_deadline_seconds
        )
        if caller_headers.deadline_seconds is None:
            return longest
        return min(caller_headers.deadline_seconds, longest)

    async def _look_up(self, request_id: str) -> Response:
        return await self._respond_to_team(
            request_id, lambda team: self._look_up_checked(team, request_id)
        )

    async def _look_up_checked(self, team: str, request_id: str) -> HttpAnswer:
        verdict = await self._orders.look_up(team, check_request_id(request_id))
        return present_verdict(verdict, request_id)

    async def _issue_ids(self) -> Response:
        return await self._respond_to_team(NO_REQUEST_ID, self._issue_checked)

    async def _issue_checked(self, team: str) -> HttpAnswer:
        data = await self._read_body(MAX_DOCUMENT_BYTES)
        try:
            wanted = decode_document(_issue_decoder, data).count
        except msgspec.DecodeError as error:
            raise refuse(Reason.INVALID_REQUEST, f"body: {error}") from error
        if not 1 <= wanted <= MAX_ISSUED_IDS:
            raise refuse(
                Reason.INVALID_REQUEST,
                f"count is {wanted}, must be from 1 to {MAX_ISSUED_IDS}",
            )
        ids = self._orders.issue(team, wanted)
        return present_document({"ids": ids}, NO_REQUEST_ID)

    async def _respond_to_team(
        self, request_id: str, answer: Callable[[str], Awaitable[HttpAnswer]]
    ) -> Response:
        """Check the caller's team and key, then respond with ``answer``."""
        try:
            headers = read_headers(http_request.scope["headers"])
            team = self._check_caller(read_caller_headers(headers))
            return _make_response(await answer(team))
        except Refused as error:
            verdict: Verdict = error.verdict
        except HTTPException as error:
            verdict = _verdict_for_http_error(error)
        except Exception:
            log.exception("answering a caller about request {} failed", request_id)
            verdict = MayHaveRun(
                request_id, Reason.ANSWER_LOST, "the daemon failed to look it up"
            )
        return _make_response(present_verdict(verdict, request_id))

    def _check_caller(self, caller_headers: CallerHeaders) -> str:
        """Return the caller's team after checking its key.

        No key is needed if all queues of the team are open.
        """
        configuration = self._configuration.current
        team = caller_headers.team
        if team is None:
            raise refuse(Reason.INVALID_REQUEST, "header x-team is missing")
        if team not in configuration.teams:
            raise refuse(Reason.UNKNOWN_TEAM, f"team {team!r} does not exist")
        queues = configuration.queues.values()
        own = [queue.access for queue in queues if queue.team == team]
        if Access.KEYED in own or not own:
            self._check_key(configuration, team, caller_headers)
        return team

    async def _answer_error(self, error: HTTPException) -> Response:
        """Answer a request that the framework rejected before a handler."""
        request_id = http_request.headers.get("X-Request-Id", NO_REQUEST_ID)
        verdict = _verdict_for_http_error(error)
        REFUSALS.labels(verdict.reason.value).inc()
        shown_id = read_request_id({"x-request-id": request_id}) or NO_REQUEST_ID
        return _make_response(present_verdict(verdict, shown_id))

    def _count(self, queue: str, verdict: Verdict, seconds: float) -> None:
        # Unknown queue names share one label; otherwise callers could create
        # an unlimited number of time series.
        known = queue in self._configuration.current.queues
        label = queue if known else "unknown"
        VERDICTS.labels(label, _VERDICT_NAMES[type(verdict)]).inc()
        REQUEST_SECONDS.labels(label).observe(seconds)
        if isinstance(verdict, NotRun):
            REFUSALS.labels(verdict.reason.value).inc()


def _refuse_queue(configuration: Configuration, name: str) -> Refused:
    """Return the refusal for an unknown queue name.

    A daemon without any queues has just started and has no configuration yet.
    """
    if not configuration.queues:
        return refuse(
            Reason.CONFIGURATION_NOT_FRESH,
            "the daemon has no configuration yet",
            FRESHNESS_RETRY_SECONDS,
        )
    return refuse(Reason.UNKNOWN_QUEUE, f"queue {name[:160]!r} does not exist")


def _check_team(
    configuration: Configuration, queue: Queue, caller_headers: CallerHeaders
) -> None:
    """Check that the request names the team that the queue belongs to."""
    team = caller_headers.team
    if team is not None and team not in configuration.teams:
        raise refuse(Reason.UNKNOWN_TEAM, f"team {team!r} does not exist")
    if team is not None and team != queue.team:
        raise refuse(
            Reason.KEY_REFUSED, f"queue {queue.name!r} is not of team {team!r}"
        )
    if queue.team not in configuration.teams:
        raise refuse(Reason.UNKNOWN_TEAM, f"team {queue.team!r} does not exist")


def _verdict_for_http_error(error: HTTPException) -> NotRun:
    match error:
        case RequestEntityTooLarge():
            return NotRun(Reason.BODY_TOO_LARGE, "the body is too large", None)
        case RequestTimeout():
            return NotRun(
                Reason.INVALID_REQUEST,
                f"the body did not arrive within {BODY_TIMEOUT_SECONDS} s",
                None,
            )
        case HTTPException(code=404 | 405):
            return NotRun(Reason.UNKNOWN_QUEUE, "there is no such path or method", None)
        case _:
            return NotRun(Reason.INVALID_REQUEST, f"{error.name}", None)


def _make_response(answer: HttpAnswer) -> Response:
    response = Response(answer.body, status=answer.status)
    response.headers.clear()
    response.headers.extend(answer.headers)
    response.headers["Content-Length"] = str(len(answer.body))
    return response
