"""Checking, planning and applying sheets for operators."""

from typing import Any

import trio
from loguru import logger

from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.errors import InvalidInput
from hemlockstand.kernel import Kernel
from hemlockstand.operators.commits import (
    check_base,
    utc_timestamp,
    utc_today,
    wait_for_version,
)
from hemlockstand.operators.messages import OperatorRequest
from hemlockstand.sheet.checks import Sheet, check_sheet
from hemlockstand.sheet.limits import Bounds
from hemlockstand.sheet.plan import plan_sheet

log = logger.bind(module=__name__)


class SheetOperations:
    """The verbs ``sheet check``, ``sheet plan`` and ``sheet apply``."""

    def __init__(self, kernel: Kernel) -> None:
        self._configuration = kernel.find("configuration", ConfigurationService)
        settings = kernel.settings
        self._drop_fraction = settings.configuration.drop_fraction
        self._bounds = Bounds(
            max_deadline_seconds=settings.requests.max_deadline_seconds,
            data_centres=frozenset(settings.daemon.data_centres),
        )

    async def check(self, request: OperatorRequest) -> dict[str, Any]:
        """Check a sheet by itself and return the number of its entries."""
        sheet = await self._read_sheet(request)
        return {
            "day": sheet.day.isoformat(),
            "teams": len(sheet.teams),
            "pools": len(sheet.pools),
            "queues": len(sheet.queues),
            "jobs": len(sheet.jobs),
        }

    async def plan(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the differences of a sheet to the configuration in force."""
        sheet = await self._read_sheet(request)
        plan = plan_sheet(sheet, self._configuration.current, utc_today())
        return plan.to_json() | {
            "needs_confirmation": any(
                count.exceeds(self._drop_fraction) for count in plan.drops
            )
        }

    async def apply(self, request: OperatorRequest) -> dict[str, Any]:
        """Commit a sheet on top of the version it was planned on.

        Raises ``ConfigurationConflict`` if another change was committed after
        that version, and ``DropsNotConfirmed`` if the sheet drops too much
        without a confirmation.
        """
        base = request.get_number("version")
        if base is None:
            raise InvalidInput("argument 'version' is missing; plan the sheet first")
        sheet = await self._read_sheet(request)
        await wait_for_version(self._configuration, base)
        check_base(self._configuration, base)
        plan = plan_sheet(sheet, self._configuration.current, utc_today())
        plan.check_drops(self._drop_fraction, request.get_number("confirm_drops"))
        if not plan.edits:
            return plan.to_json() | {"committed": False}
        change = plan.make_change(request.change_id, request.author, utc_timestamp())
        version = await self._configuration.commit(change, base)
        log.info(
            "sheet of {} committed as configuration version {}",
            sheet.day.isoformat(),
            version,
        )
        return plan.to_json() | {"committed": True, "version": version}

    async def _read_sheet(self, request: OperatorRequest) -> Sheet:
        """Return the checked sheet.

        The check runs in a thread, as a large sheet takes a second or more.
        """
        file = request.arguments.get("file") or "sheet"
        day = request.get_day("day")
        return await trio.to_thread.run_sync(
            check_sheet, request.body, str(file), day, self._bounds
        )
