"""Client of the platform's machine service.

The service lists instances, moves them between pools and maintains them.
"""

from collections.abc import Callable
from enum import StrEnum
from urllib.parse import urlencode

from attrs import frozen
from loguru import logger

from hemlockstand.errors import InvalidInput, OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.model import InstanceEntry
from hemlockstand.platform.connection import Connection
from hemlockstand.platform.decoding import Fields, decode_instance

log = logger.bind(module=__name__)

LIST_TIMEOUT_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 2.0


class OrderOutcome(StrEnum):
    """The platform's answer to an order for an instance."""

    ACCEPTED = "taken"
    BUSY = "busy"
    REFUSED = "refused"


@frozen
class LeaseHolder:
    """The holder of the scheduler's lease, who sends orders for instances.

    ``fence`` is its fencing token. The platform may not check the token, so
    ``may_order`` is called directly before each order is sent and returns
    whether the holder may still send it.
    """

    name: str
    fence: int
    may_order: Callable[[], bool]


class InstanceClient:
    """Lists instances, moves them and starts their maintenance.

    Orders contain the holder's name and fencing token. They raise
    ``PlatformUnavailable`` if nothing was done, and ``OutcomeUnknown`` if the
    order may have been carried out.

    ``unreadable`` is the number of entries that the last list had to leave out.
    """

    def __init__(self, address: str) -> None:
        self.unreadable = 0
        self._connection = Connection(address)

    async def list_instances(self) -> list[InstanceEntry]:
        """Return all instances; raises ``PlatformUnavailable``."""
        instances: list[InstanceEntry] = []
        entries = 0
        page = ""
        while True:
            target = (
                f"/machines?{urlencode({'PageToken': page})}" if page else "/machines"
            )
            fields = await self._list(target)
            try:
                items = fields.items("Machines")
                entries += len(items)
                instances.extend(_decode_instances(items))
                page = fields.string("NextToken", "")
            except InvalidInput as error:
                raise PlatformUnavailable(f"unreadable list: {error}") from error
            if not page:
                self.unreadable = entries - len(instances)
                return instances

    async def _list(self, target: str) -> Fields:
        """Return one page of the list; raises ``PlatformUnavailable``."""
        try:
            reply = await self._connection.call("GET", target, LIST_TIMEOUT_SECONDS)
            if reply.status != 200:
                raise PlatformUnavailable(f"the machine list answered {reply.status}")
            return Fields(reply.decode(), "machines")
        except OutcomeUnknown as error:
            raise PlatformUnavailable(str(error)) from error

    async def move(self, instance: str, pool: str, holder: LeaseHolder) -> OrderOutcome:
        """Move an instance to a pool; its runs end at once."""
        body = {"Machine": instance, "Pool": pool}
        return await self._order("/machine-move", body, holder)

    async def maintain(
        self, instance: str, wave: int, holder: LeaseHolder
    ) -> OrderOutcome:
        """Start the maintenance of an instance; its runs end at once."""
        body = {"Machine": instance, "Wave": wave}
        return await self._order("/machine-upkeep", body, holder)

    async def _order(
        self, path: str, body: object, holder: LeaseHolder
    ) -> OrderOutcome:
        headers = (("Lease-Holder", holder.name), ("Fencing-Token", str(holder.fence)))
        reply = await self._connection.call(
            "POST", path, ORDER_TIMEOUT_SECONDS, body, headers, holder.may_order
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
            log.warning("ignored an unreadable entry of the machine list: {}", error)
