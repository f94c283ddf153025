"""Interfaces of the services that the request path depends on.

``Kernel.find`` checks a service against these protocols, so that the request
path does not import the modules that implement them.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol, runtime_checkable

from hemlockstand.coordination.freshness import Scope
from hemlockstand.model import Configuration
from hemlockstand.peers.demands import PoolDemand, PoolTeam
from hemlockstand.peers.suspects import SuspectNotice
from hemlockstand.verdict import Verdict


@runtime_checkable
class ConfigurationSource(Protocol):
    """Provides the configuration that is in force."""

    @property
    def current(self) -> Configuration: ...


@runtime_checkable
class FreshnessSource(Protocol):
    """Tells whether an unknown change of the configuration can be in force."""

    def is_fresh(self, scope: Scope) -> bool: ...


@runtime_checkable
class Slot(Protocol):
    """Permission to run one request of a team."""

    def may_send(self, deadline: float | None = None) -> bool: ...

    def release(self, certain: bool) -> None: ...


@runtime_checkable
class LimitsSource(Protocol):
    """Provides the slots that this daemon holds of each team's limit."""

    def take(self, team: str, deadline: float, keyed: bool) -> Slot | None: ...

    async def wait_slot(
        self, team: str, deadline: float, keyed: bool
    ) -> Slot | None: ...


@runtime_checkable
class OrdersSource(Protocol):
    """Manages claims and kept results of requests that are not idempotent."""

    async def claim(self, team: str, request_id: str, deadline: float) -> Any: ...

    async def finish(self, claim: Any, verdict: Verdict) -> None: ...

    def owner_of(self, team: str, request_id: str) -> str | None: ...

    def issue(self, team: str, count: int) -> list[str]: ...

    async def look_up(self, team: str, request_id: str) -> Verdict: ...


@runtime_checkable
class PeersSource(Protocol):
    """Exchanges messages with the other daemons."""

    incarnation: str

    def members(self) -> Sequence[Any]: ...

    def set_names(self, pools: Iterable[str], teams: Iterable[str]) -> None: ...

    def publish_pool_demand(self, pool_team: PoolTeam, demand: PoolDemand) -> None: ...

    def pool_demands(self) -> Mapping[str, Mapping[PoolTeam, PoolDemand]]: ...

    def announce_suspect(self, notice: SuspectNotice) -> None: ...

    def handle_suspect_notice(
        self, function: Callable[[SuspectNotice], None]
    ) -> None: ...

    async def forward(
        self,
        daemon_incarnation: str,
        message: bytes,
        timeout_seconds: float | None = None,
    ) -> Verdict: ...

    def handle_forward(
        self, function: Callable[[bytes], Awaitable[Verdict]]
    ) -> None: ...
