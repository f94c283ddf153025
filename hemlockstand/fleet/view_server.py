"""Serves the views of the scheduler to operators, beside the metrics.

Only the scheduler has the data; another daemon answers 409 with its name.
"""

import hmac
import json
from typing import Any

from loguru import logger
from quart import Response, request
from quart_trio import QuartTrio

# Registers the views.
import hemlockstand.fleet.scheduler_views  # noqa: F401
from hemlockstand.errors import HemlockstandError, InvalidInput, PlatformUnavailable
from hemlockstand.fleet.scheduler import SchedulerService
from hemlockstand.fleet.services import RowStoreService
from hemlockstand.fleet.settings import FleetSettings
from hemlockstand.fleet.storage import LEASE_KEY, SCHEDULER_TABLE, read_lease
from hemlockstand.fleet.views import find_view, read_query
from hemlockstand.kernel import Kernel

log = logger.bind(module=__name__)

_BEARER = "Bearer "
_STATUS_BY_CODE = {"not_found": 404}


def add_views(app: QuartTrio, kernel: Kernel) -> None:
    """Add the views to an application, if the settings have a token."""
    settings: FleetSettings = kernel.settings
    token = settings.operators.token

    @app.get("/fleet/<name>")
    async def answer_view(name: str) -> Response:
        if not token:
            detail = "views are switched off: [operators] token is empty"
            return _refuse(404, "not_available", detail)
        if not _has_token(token):
            return _refuse(401, "unauthorized", "the token is missing or wrong")
        try:
            view = find_view(name)
            query = read_query(request.args.items(multi=True))
        except InvalidInput as error:
            status = _STATUS_BY_CODE.get(error.code, 400)
            return _refuse(status, error.code, error.message)
        leader = kernel.find("scheduler", SchedulerService).leader
        if leader is None:
            return await _name_leader(kernel)
        try:
            return _answer(200, view(leader, query))
        except Exception:
            # It concerns this request alone, not the scheduler's term.
            log.exception("view {} failed", name)
            detail = f"the view failed; see the log of {settings.daemon.name}"
            return _refuse(500, HemlockstandError.code, detail)


def _has_token(token: str) -> bool:
    given = request.headers.get("Authorization", "")
    if not given.startswith(_BEARER):
        return False
    return hmac.compare_digest(given[len(_BEARER) :].encode(), token.encode())


async def _name_leader(kernel: Kernel) -> Response:
    """Return the answer of a daemon that is not the scheduler."""
    rows = kernel.find("row_store", RowStoreService).rows
    holder = ""
    try:
        lease = read_lease(await rows.read_one(SCHEDULER_TABLE, LEASE_KEY))
        holder = "" if lease is None else lease.holder
    except PlatformUnavailable as error:
        log.info("holder of the scheduler lease not read", detail=str(error))
    detail = f"the scheduler is {holder}" if holder else "the scheduler is not known"
    return _answer(409, {"code": "not_leader", "detail": detail, "leader": holder})


def _refuse(status: int, code: str, detail: str) -> Response:
    return _answer(status, {"code": code, "detail": detail})


def _answer(status: int, body: dict[str, Any]) -> Response:
    text = json.dumps(body, ensure_ascii=False)
    return Response(text, status, content_type="application/json")
