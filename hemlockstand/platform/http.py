"""Adapter for the platform's HTTP and JSON service."""

from collections.abc import Mapping, Sequence
from typing import Any

import cattrs
import httpx
from attrs import define, field

from hemlockstand.errors import (
    HemlockstandError,
    InvalidInput,
    NotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    TableConflict,
)
from hemlockstand.platform.interface import (
    Check,
    Delete,
    InstanceRecord,
    MachineHealth,
    Operation,
    Put,
    Row,
    TaskStart,
    WorkerReport,
)

MAX_CONNECTIONS = 16
NOT_MODIFIED = 304
# httpx sends these by default; the platform does not use them, and they add
# about 70 bytes to each call.
UNUSED_HEADERS = ("Accept", "Connection", "User-Agent")


@define
class HttpClient:
    """HTTP client that raises failures as the platform's errors."""

    url: str
    timeout_seconds: float
    bytes_sent: int = 0
    bytes_received: int = 0
    _client: httpx.AsyncClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._client = httpx.AsyncClient(
            base_url=self.url,
            timeout=self.timeout_seconds,
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            trust_env=False,
        )
        for name in UNUSED_HEADERS:
            del self._client.headers[name]

    async def call(
        self,
        method: str,
        path: str,
        changes: bool,
        json: Mapping[str, Any] | None = None,
        params: Mapping[str, Any] | None = None,
        content: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> httpx.Response:
        """Send a request; ``changes`` tells whether it can change anything.

        Raises ``PlatformUnavailable``, ``OutcomeUnknown``, ``TableConflict``,
        ``NotFound`` or ``InvalidInput``.
        """
        try:
            response = await self._client.request(
                method,
                path,
                json=json,
                params=params,
                content=content,
                headers=headers,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformUnavailable(f"{method} {path}: {error!r}") from error
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            raise _make_lost_reply_error(
                changes, f"{method} {path}: {error!r}"
            ) from error
        request = response.request
        self.bytes_sent += len(request.content) + _measure_headers(request.headers)
        # Bodies may be compressed; this is their length in transit.
        self.bytes_received += response.num_bytes_downloaded
        self.bytes_received += _measure_headers(response.headers)
        _check_status(response, changes)
        return response

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()


def _measure_headers(headers: httpx.Headers) -> int:
    """Return the size of the header lines, with separators and line ends."""
    return sum(len(name) + len(value) + 4 for name, value in headers.raw)


def _make_lost_reply_error(changes: bool, message: str) -> HemlockstandError:
    return OutcomeUnknown(message) if changes else PlatformUnavailable(message)


def _check_status(response: httpx.Response, changes: bool) -> None:
    request = response.request
    message = f"{request.method} {request.url.path}: {response.status_code}"
    match response.status_code:
        case status if status < 300 or status == NOT_MODIFIED:
            return
        case 404:
            raise NotFound(f"{message} {response.text}")
        case 409:
            raise TableConflict(response.json()["conflicts"])
        case 412:
            raise InvalidInput(f"{message} {response.text}", code="stale_fence")
        case 503:
            raise PlatformUnavailable(message)
        case status if status >= 500:
            raise _make_lost_reply_error(changes, message)
        case _:
            raise InvalidInput(f"{message} {response.text}")


@define
class HttpTable:
    """The table service over HTTP."""

    _http: HttpClient

    async def read(self, key: str) -> Row:
        """Return the row; an absent one has version 0 and an empty value."""
        return (await self.read_many([key]))[0]

    async def read_many(self, keys: Sequence[str]) -> list[Row]:
        """Return the rows in the order of the keys, from one snapshot."""
        body = {"keys": list(keys)}
        response = await self._http.call("POST", "/table/rows", False, json=body)
        return [Row(**row) for row in response.json()["rows"]]

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        """Return rows with the prefix whose key sorts after ``after``."""
        params = {"prefix": prefix, "after": after, "limit": limit}
        response = await self._http.call("GET", "/table/scan", False, params=params)
        return [Row(**row) for row in response.json()["rows"]]

    async def transact(self, operations: Sequence[Operation]) -> tuple[int, ...]:
        """Apply all operations or none; return the rows' new versions."""
        body = {"operations": [_encode_operation(entry) for entry in operations]}
        response = await self._http.call("POST", "/table/transact", True, json=body)
        return tuple(response.json()["versions"])


def _encode_operation(operation: Operation) -> dict[str, Any]:
    match operation:
        case Put(key=key, value=value, expected=expected):
            return {"op": "put", "key": key, "value": value, "expected": expected}
        case Delete(key=key, expected=expected):
            return {"op": "delete", "key": key, "expected": expected}
        case Check(key=key, expected=expected):
            return {"op": "check", "key": key, "expected": expected}


@define
class HttpObjects:
    """The object store over HTTP."""

    _http: HttpClient

    async def put(self, name: str, data: bytes) -> None:
        """Store the object."""
        await self._http.call("PUT", f"/objects/{name}", True, content=data)

    async def get(self, name: str) -> bytes:
        """Return the object; raises ``NotFound``."""
        return (await self._http.call("GET", f"/objects/{name}", False)).content


@define
class HttpInstances:
    """The instance list over HTTP.

    The list is large and changes rarely, so it is requested with its entity
    tag and sent only if it has changed.
    """

    _http: HttpClient
    _tag: str = ""
    _records: list[InstanceRecord] = field(factory=list)

    async def list(self) -> list[InstanceRecord]:
        """Return all instances, as of some seconds ago."""
        headers = {"If-None-Match": self._tag} if self._tag else None
        response = await self._http.call("GET", "/instances", False, headers=headers)
        if response.status_code != NOT_MODIFIED:
            found = response.json()["instances"]
            self._records = cattrs.structure(found, list[InstanceRecord])
            self._tag = response.headers.get("ETag", "")
        return self._records


@define
class HttpWorkers:
    """Task control over HTTP."""

    _http: HttpClient

    async def start(self, worker: str, task: TaskStart) -> None:
        """Start a task under a lease."""
        body = cattrs.unstructure(task)
        await self._http.call("POST", f"/workers/{worker}/start", True, json=body)

    async def renew(
        self, worker: str, task: str, fence: int, lease_seconds: float
    ) -> None:
        """Extend the lease of a task."""
        await self._send_action(
            worker, "renew", task, fence, lease_seconds=lease_seconds
        )

    async def checkpoint(self, worker: str, task: str, fence: int) -> None:
        """Checkpoint a task and release its resources."""
        await self._send_action(worker, "checkpoint", task, fence)

    async def throttle(
        self, worker: str, task: str, fence: int, fraction: float
    ) -> None:
        """Limit a task to a fraction of its cores."""
        await self._send_action(worker, "throttle", task, fence, fraction=fraction)

    async def stop(self, worker: str, task: str, fence: int) -> None:
        """Stop a task."""
        await self._send_action(worker, "stop", task, fence)

    async def report(self, worker: str) -> WorkerReport:
        """Return the worker's lagging report."""
        response = await self._http.call("GET", f"/workers/{worker}", False)
        return cattrs.structure(response.json(), WorkerReport)

    async def reports(self, workers: Sequence[str]) -> list[WorkerReport]:
        """Return the lagging reports of the workers that have one."""
        body = {"workers": list(workers)}
        response = await self._http.call("POST", "/workers/reports", False, json=body)
        return cattrs.structure(response.json()["workers"], list[WorkerReport])

    async def _send_action(
        self, worker: str, verb: str, task: str, fence: int, **values: float
    ) -> None:
        body = {"task": task, "fence": fence, **values}
        await self._http.call("POST", f"/workers/{worker}/{verb}", True, json=body)


@define
class HttpMachines:
    """Drain, reboot and health over HTTP."""

    _http: HttpClient

    async def drain(self, instance: str) -> None:
        """Ask the instance to finish its work and accept no more."""
        await self._http.call("POST", f"/instances/{instance}/drain", True)

    async def undrain(self, instance: str) -> None:
        """Put the instance back into service."""
        await self._http.call("POST", f"/instances/{instance}/undrain", True)

    async def reboot(self, instance: str) -> None:
        """Reboot the instance."""
        await self._http.call("POST", f"/instances/{instance}/reboot", True)

    async def health(self, instance: str) -> MachineHealth:
        """Return the current state of the instance."""
        response = await self._http.call("GET", f"/instances/{instance}", False)
        return cattrs.structure(response.json(), MachineHealth)


class HttpPlatform:
    """The platform over HTTP; all services share one client."""

    def __init__(self, url: str, timeout_seconds: float) -> None:
        self.http = HttpClient(url, timeout_seconds)
        self.table = HttpTable(self.http)
        self.objects = HttpObjects(self.http)
        self.instances = HttpInstances(self.http)
        self.workers = HttpWorkers(self.http)
        self.machines = HttpMachines(self.http)

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()
