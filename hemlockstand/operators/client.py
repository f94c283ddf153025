"""Client of the operator interface.

Every failure becomes a ``HemlockstandError`` with a code. A change whose
reply was lost is looked up in the history by its id, and is never sent a
second time::

    async with OperatorClient("http://127.0.0.1:8101", token, "ana") as client:
        await client.get("config/version")
"""

from collections.abc import Mapping
from enum import Enum
from types import TracebackType
from typing import Any
from urllib.parse import quote
from uuid import uuid4

import httpx

from hemlockstand.errors import HemlockstandError, OutcomeUnknown, PlatformUnavailable
from hemlockstand.operators.messages import AUTHOR_HEADER, CHANGE_ID_HEADER

DEFAULT_TIMEOUT_SECONDS = 30
HISTORY_LOOKUP_LIMIT = 200


class Effect(Enum):
    """The effect that a call may have had when its reply is lost.

    A commit can be found in the history; an action only shows in the state of
    the object it acts on.
    """

    NONE = "none"
    COMMIT = "commit"
    ACTION = "action"


class DaemonUnreachable(PlatformUnavailable):
    """No connection to the daemon; nothing was applied."""

    code = "daemon_unreachable"


class Refused(HemlockstandError):
    """The daemon answered the call with an HTTP error status.

    ``problems`` are those found in a sheet, as JSON objects.
    """

    def __init__(
        self, code: str, message: str, problems: list[Any], status: int
    ) -> None:
        super().__init__(message, code)
        self.problems = problems
        self.status = status


class OperatorClient:
    """Calls one daemon's operator port."""

    def __init__(
        self,
        server: str,
        token: str,
        author: str,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self._server = server
        self._http = httpx.AsyncClient(
            base_url=server,
            headers={"Authorization": f"Bearer {token}", AUTHOR_HEADER: quote(author)},
            timeout=timeout_seconds,
            trust_env=False,
        )

    async def __aenter__(self) -> "OperatorClient":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._http.aclose()

    async def get(self, path: str, **arguments: Any) -> dict[str, Any]:
        """Read ``/o/PATH``; arguments that are ``None`` are left out.

        ``extra_seconds`` extends the timeout, for calls that wait at the
        daemon. Raises ``DaemonUnreachable`` if there is no answer and
        ``Refused`` for an error status.
        """
        return await self._get(f"/o/{path}", arguments)

    async def get_view(self, name: str, **arguments: Any) -> dict[str, Any]:
        """Read a view of a daemon on the fleet platform, at its metrics address.

        Arguments and errors are those of ``get``.
        """
        return await self._get(f"/fleet/{quote(name, safe='')}", arguments)

    async def _get(self, path: str, arguments: dict[str, Any]) -> dict[str, Any]:
        extra = arguments.pop("extra_seconds", 0)
        timeout = self._http.timeout.read + extra
        try:
            response = await self._http.get(
                path, params=_drop_none(arguments), timeout=timeout
            )
        except httpx.HTTPError as error:
            raise DaemonUnreachable(self._describe(error)) from None
        return _read_response(response)

    async def post(
        self,
        path: str,
        content: bytes | None = None,
        effect: Effect = Effect.COMMIT,
        **arguments: Any,
    ) -> dict[str, Any]:
        """Post to ``/o/PATH``; ``content`` is a sheet's bytes.

        Raises ``DaemonUnreachable`` or ``Refused``, and ``OutcomeUnknown`` if
        the reply to a call with an effect was lost, unless the change is found
        in the history.
        """
        change_id = uuid4().hex
        headers = {CHANGE_ID_HEADER: change_id}
        fields = _drop_none(arguments)
        try:
            if content is None:
                response = await self._http.post(
                    f"/o/{path}", json=fields, headers=headers
                )
            else:
                headers["Content-Type"] = "text/csv"
                response = await self._http.post(
                    f"/o/{path}", params=fields, content=content, headers=headers
                )
            return _read_response(response)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise DaemonUnreachable(self._describe(error)) from None
        except (httpx.HTTPError, OutcomeUnknown) as error:
            match effect:
                case Effect.COMMIT:
                    return await self._look_up(change_id, error)
                case Effect.ACTION:
                    raise OutcomeUnknown(
                        f"{self._describe(error)}; the daemon may have carried out "
                        "the call: look at the status before repeating"
                    ) from None
                case Effect.NONE:
                    raise DaemonUnreachable(self._describe(error)) from None

    async def _look_up(self, change_id: str, cause: Exception) -> dict[str, Any]:
        """Return the answer to a commit whose change is in the history.

        Raises ``OutcomeUnknown`` if the history cannot be read or does not
        have the change.
        """
        try:
            history = await self.get("config/history", limit=HISTORY_LOOKUP_LIMIT)
        except HemlockstandError as error:
            raise OutcomeUnknown(
                f"{self._describe(cause)}; the history cannot be read either "
                f"({error.message}); look there for change {change_id} before "
                "repeating"
            ) from None
        for change in history["changes"]:
            if change["id"] == change_id:
                return {
                    "committed": True,
                    "version": change["version"],
                    "found_in_history": True,
                }
        raise OutcomeUnknown(
            f"{self._describe(cause)}; change {change_id} is not in the history, "
            "but may still be committed: look at 'config history' before repeating"
        )

    def _describe(self, error: Exception) -> str:
        text = str(error) or type(error).__name__
        return f"{self._server}: {text}"


def _drop_none(arguments: Mapping[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in arguments.items() if value is not None}


def _read_response(response: httpx.Response) -> dict[str, Any]:
    try:
        body = response.json()
    except ValueError:
        body = None
    if not isinstance(body, dict):
        raise HemlockstandError(
            f"{response.request.url.host}: status {response.status_code} without a "
            "JSON object; is this the operator port?",
            code="bad_response",
        )
    if response.status_code < 400:
        return body
    code = str(body.get("code", "bad_response"))
    detail = str(body.get("detail", f"status {response.status_code}"))
    if code == OutcomeUnknown.code:
        raise OutcomeUnknown(detail)
    raise Refused(code, detail, body.get("problems", []), response.status_code)
