"""HTTP interface for operators, and health and metrics of the daemon.

Paths are ``/o/NOUN/VERB``; reads are GET, everything else is POST. Each call
needs the bearer token from the settings. ``/health``, ``/ready`` and
``/metrics`` need none, because load balancers and metrics collectors have
none.
"""

import hmac
import json
import socket
from collections.abc import Mapping
from typing import Any
from urllib.parse import unquote
from uuid import uuid4

import msgspec
import trio
from loguru import logger
from prometheus_client import CONTENT_TYPE_LATEST, Counter, generate_latest
from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge

from hemlockstand.documents import decode_document
from hemlockstand.errors import HemlockstandError, InvalidInput
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.operators.messages import (
    AUTHOR_HEADER,
    CHANGE_ID_HEADER,
    MAX_TEXT_LENGTH,
    OperatorRequest,
    Unauthorized,
)
from hemlockstand.operators.routes import Answer, Operations
from hemlockstand.serving.bodies import BodyTooLarge, read_body
from hemlockstand.serving.connection import RefusalFormat
from hemlockstand.serving.server import Endpoint, serve_clients
from hemlockstand.serving.settings import OPERATORS_SHARE
from hemlockstand.sheet.problems import SheetError
from hemlockstand.sheet.reader import MAX_SHEET_BYTES

log = logger.bind(module=__name__)

OPERATOR_CALLS = Counter(
    "hemlockstand_operator_calls_total", "Answered operator calls.", ["path", "code"]
)

# While the daemon is busy, new connections wait in the system's accept queue.
LISTEN_BACKLOG = 100
# Time that calls in progress have to finish when the daemon stops.
GRACE_SECONDS = 5

_decoder = msgspec.json.Decoder()

STATUS_BY_CODE = {
    "unauthorized": 401,
    "not_found": 404,
    "unknown_path": 404,
    "invalid_input": 400,
    "invalid_sheet": 422,
    "drops_not_confirmed": 409,
    "already_exists": 409,
    "configuration_conflict": 409,
    "not_available": 501,
    "platform_unavailable": 503,
    "outcome_unknown": 504,
}


@register
class OperatorsService(Service):
    """Serves the operator port."""

    name = "operators"
    needs = ("platform", "configuration", "peers", "health")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._stopping = trio.Event()
        self._finished = trio.Event()
        self._socket: socket.socket | None = None

    @property
    def address(self) -> str:
        """The address listened on, as ``HOST:PORT``."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Bind the operator port, so that the start fails if it is in use."""
        section = self.settings.listen
        self._operations = Operations(self.kernel)
        self._socket = bind_socket(section.host, section.operator_port)
        log.info("listening for operators on {}", self.address)

    async def run(self) -> None:
        """Serve until stopped."""
        endpoint = Endpoint(
            name="operators",
            share=OPERATORS_SHARE,
            body_factor=1,
            graceful_seconds=GRACE_SECONDS,
            refusals=RefusalFormat(encode_refusal),
        )
        try:
            if self._stopping.is_set():
                return
            # The listener that is served is closed with the last call.
            await serve_clients(
                make_app(self.kernel, self._operations),
                endpoint,
                self.settings.clients,
                [self._socket.dup()],
                self._stopping.wait,
            )
        finally:
            self._finished.set()

    async def stop(self) -> None:
        """Close the port and wait for calls in progress to finish."""
        self._stopping.set()
        # The duplicate descriptor keeps the port open until calls in progress
        # are answered.
        self._socket.close()
        with trio.move_on_after(GRACE_SECONDS):
            await self._finished.wait()


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 chooses a free port.

    Raises ``HemlockstandError`` with code ``port_unavailable``.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
    except OSError as error:
        listener.close()
        raise HemlockstandError(
            f"[listen] operator_port = {port}: cannot listen on {host}: "
            f"{error.strerror}",
            code="port_unavailable",
        ) from None
    return listener


def make_app(kernel: Kernel, operations: Operations) -> QuartTrio:
    """Return the application of the operator port."""
    app = QuartTrio("hemlockstand.operators")
    app.config["MAX_CONTENT_LENGTH"] = None  # ``read_body`` has the limit
    token = kernel.settings.operators.token.encode()

    @app.get("/health")
    async def show_health() -> Response:
        return _respond(200, {"status": "ok"})

    @app.get("/ready")
    async def show_ready() -> Response:
        ready, reason = operations.check_ready()
        return _respond(200 if ready else 503, {"ready": ready, "reason": reason})

    @app.get("/metrics")
    async def show_metrics() -> Response:
        return Response(generate_latest(), content_type=CONTENT_TYPE_LATEST)

    @app.route("/o/<path:path>", methods=["GET", "POST"])
    async def operate(path: str) -> Response:
        _check_token(token)
        answer = operations.find(request.method, path)
        # Unknown paths were refused above, so the label has few values.
        try:
            result = await answer(await _read_request())
        except HemlockstandError as error:
            OPERATOR_CALLS.labels(path, error.code).inc()
            raise
        OPERATOR_CALLS.labels(path, "ok").inc()
        return _respond(200, result)

    @app.errorhandler(Exception)
    async def report(error: Exception) -> Response:
        return _make_error_response(error)

    return app


def _check_token(token: bytes) -> None:
    scheme, _, given = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not given:
        raise Unauthorized("a bearer token is needed")
    if not hmac.compare_digest(given.strip().encode(), token):
        raise Unauthorized("the token is not the operators' token of this daemon")


async def _read_request() -> OperatorRequest:
    arguments: dict[str, Any] = dict(request.args)
    try:
        body = await read_body(request, MAX_SHEET_BYTES + 1)
    except BodyTooLarge:
        raise RequestEntityTooLarge() from None
    if request.is_json and body:
        try:
            fields = decode_document(_decoder, body)
        except msgspec.DecodeError:
            raise InvalidInput("the body is not JSON") from None
        if not isinstance(fields, Mapping):
            raise InvalidInput("the body is not a JSON object")
        arguments.update(fields)
    return OperatorRequest(
        author=_read_author() or "unknown",
        change_id=_read_header(CHANGE_ID_HEADER) or uuid4().hex,
        arguments=arguments,
        body=body,
    )


def _read_author() -> str:
    """Return the author's name.

    The header is percent-encoded, as a name may have letters outside ASCII.
    """
    return _check_header(AUTHOR_HEADER, unquote(request.headers.get(AUTHOR_HEADER, "")))


def _read_header(name: str) -> str:
    return _check_header(name, request.headers.get(name, "").strip())


def _check_header(name: str, value: str) -> str:
    if len(value) > MAX_TEXT_LENGTH or not value.isprintable():
        raise InvalidInput(f"header {name} is too long or not printable")
    return value


def encode_refusal(detail: str) -> bytes:
    """Return the body of a refusal that the application does not see."""
    return json.dumps({"code": "refused", "detail": detail}).encode()


def _respond(status: int, body: Answer) -> Response:
    return Response(
        json.dumps(body), status=status, content_type="application/json; charset=utf-8"
    )


def _make_error_response(error: Exception) -> Response:
    match error:
        case SheetError(code=code, problems=problems):
            detail = f"the sheet has {len(problems)} problems; nothing was applied"
            body = {"code": code, "detail": detail, "problems": error.to_json()}
            return _respond(STATUS_BY_CODE[code], body)
        case HemlockstandError(code=code, message=detail):
            default = 400 if isinstance(error, InvalidInput) else 500
            status = STATUS_BY_CODE.get(code, default)
            return _respond(status, {"code": code, "detail": detail})
        case HTTPException():
            status = error.code or 500
            known = {404: "unknown_path", 405: "unknown_path", 413: "body_too_large"}
            code = known.get(status, "invalid_input")
            return _respond(status, {"code": code, "detail": error.description})
    log.opt(exception=error).error("operator call failed with an unexpected error")
    detail = "the daemon failed to answer; its log has the error"
    return _respond(500, {"code": "internal_error", "detail": detail})
