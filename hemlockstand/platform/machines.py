"""Client of the platform's machines, which move between pools and get upkeep."""

from collections.abc import Callable
from enum import StrEnum
from urllib.parse import urlencode

from attrs import frozen
from loguru import logger

from hemlockstand.errors import InvalidInput, OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.model import InstanceEntry
from hemlockstand.platform.connection import Connection, Reply
from hemlockstand.platform.decoding import decode_instance

log = logger.bind(module=__name__)

LIST_SECONDS = 2.0
ORDER_SECONDS = 2.0


class OrderOutcome(StrEnum):
    """What the platform said to an order for an instance."""

    ACCEPTED = "taken"
    BUSY = "busy"
    REFUSED = "refused"


@frozen
class LeaseHolder:
    """Who gives orders, and whether it still may.

    The platform need not check the token, so ``may_order`` is asked directly
    before each order is sent.
    """

    name: str
    fence: int
    may_order: Callable[[], bool]


class InstanceClient:
    """Lists instances, moves them and starts their upkeep.

    Orders carry the holder's name and fencing token. They raise
    ``PlatformUnavailable`` if nothing was done, and ``OutcomeUnknown``.
    """

    def __init__(self, address: str) -> None:
        self._connection = Connection(address)

    async def list_instances(self) -> list[InstanceEntry]:
        """Return all instances; raises ``PlatformUnavailable``."""
        instances: list[InstanceEntry] = []
        page = ""
        while True:
            target = (
                f"/machines?{urlencode({'PageToken': page})}" if page else "/machines"
            )
            reply = await self._list(target)
            body = reply.decode()
            instances.extend(_decode_instances(body.get("Machines") or []))
            page = body.get("NextToken") or ""
            if not page:
                return instances

    async def _list(self, target: str) -> Reply:
        try:
            reply = await self._connection.call("GET", target, LIST_SECONDS)
        except OutcomeUnknown as error:
            raise PlatformUnavailable(str(error)) from error
        if reply.status != 200:
            raise PlatformUnavailable(f"the list of machines answered {reply.status}")
        return reply

    async def move(self, instance: str, pool: str, holder: LeaseHolder) -> OrderOutcome:
        """Move an instance to a pool; what runs on it ends at once."""
        body = {"Machine": instance, "Pool": pool}
        return await self._order("/machine-move", body, holder)

    async def maintain(
        self, instance: str, wave: int, holder: LeaseHolder
    ) -> OrderOutcome:
        """Start the upkeep of an instance; what runs on it ends at once."""
        body = {"Machine": instance, "Wave": wave}
        return await self._order("/machine-upkeep", body, holder)

    async def _order(
        self, path: str, body: object, holder: LeaseHolder
    ) -> OrderOutcome:
        headers = (("Lease-Holder", holder.name), ("Fencing-Token", str(holder.fence)))
        reply = await self._connection.call(
            "POST", path, ORDER_SECONDS, body, headers, holder.may_order
        )
        match reply.status:
            case 200:
                return OrderOutcome.ACCEPTED
            case 409 if reply.decode().get("Reason") == "busy":
                return OrderOutcome.BUSY
            case 400 | 409:
                return OrderOutcome.REFUSED
            case 429 | 503:
                raise PlatformUnavailable(f"{path} answered {reply.status}")
            case _:
                raise OutcomeUnknown(f"{path} answered {reply.status}")

    async def close(self) -> None:
        """Close all connections."""
        await self._connection.close()


def _decode_instances(items):
    for item in items:
        try:
            yield decode_instance(item)
        except InvalidInput as error:
            log.warning("a machine of the list is left out: {}", error)
