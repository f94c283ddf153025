"""Changes outside the sheet: keys and drains."""

import re
from collections.abc import Sequence
from typing import Any

import trio

from hemlockstand.configuration.changes import (
    ClearDrain,
    DropEntity,
    Edit,
    EntityKind,
    PutEntity,
    SetDrain,
)
from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.errors import HemlockstandError, InvalidInput, NotFound
from hemlockstand.kernel import Kernel
from hemlockstand.model import Configuration, Key
from hemlockstand.operators.commits import commit_edits
from hemlockstand.operators.messages import OperatorRequest
from hemlockstand.platform.interface import InstanceRecord
from hemlockstand.platform.service import PlatformService

# Key names have no underscore, because it separates the parts of a key.
KEY_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]{0,62}")
SALT_PATTERN = re.compile(r"[0-9a-f]{16,128}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
INSTANCE_LIST_TIMEOUT_SECONDS = 3


class AlreadyExists(HemlockstandError):
    """An entity of that name exists."""

    code = "already_exists"


class ConfigurationOperations:
    """The verbs that change keys and the drains of instances."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._configuration = kernel.find("configuration", ConfigurationService)

    async def grant_key(self, request: OperatorRequest) -> dict[str, Any]:
        """Put a key in force; the daemon gets its digest, never the secret."""
        key = Key(
            name=_get_matching_text(request, "name", KEY_NAME_PATTERN),
            team=request.get_text("team"),
            salt=_get_matching_text(request, "salt", SALT_PATTERN),
            digest=_get_matching_text(request, "digest", DIGEST_PATTERN),
        )

        def make_edits(current: Configuration) -> Sequence[Edit]:
            if key.team not in current.teams:
                raise NotFound(f"team {key.team!r} does not exist")
            if key.name in current.keys:
                raise AlreadyExists(
                    f"key {key.name!r} of team {current.keys[key.name].team!r} "
                    "exists; withdraw it first or choose another name"
                )
            return [PutEntity(key)]

        version = await commit_edits(self._configuration, request, make_edits)
        return {"name": key.name, "team": key.team, "version": version}

    async def withdraw_key(self, request: OperatorRequest) -> dict[str, Any]:
        """Drop a key from the configuration."""
        name = request.get_text("name")

        def make_edits(current: Configuration) -> Sequence[Edit]:
            if name not in current.keys:
                raise NotFound(f"key {name!r} does not exist")
            return [DropEntity(EntityKind.KEY, name)]

        version = await commit_edits(self._configuration, request, make_edits)
        return {"name": name, "version": version}

    async def drain_instance(self, request: OperatorRequest) -> dict[str, Any]:
        """Take an instance out of service.

        Nothing is committed if it is drained for the same reason already.
        """
        instance = request.get_text("instance")
        reason = request.get_text("reason")
        await self._check_instance(instance)

        def make_edits(current: Configuration) -> Sequence[Edit]:
            if current.drains.get(instance) == reason:
                return []
            return [SetDrain(instance, reason)]

        version = await commit_edits(self._configuration, request, make_edits)
        return {"instance": instance, "reason": reason, "version": version}

    async def undrain_instance(self, request: OperatorRequest) -> dict[str, Any]:
        """Return an instance to service."""
        instance = request.get_text("instance")

        def make_edits(current: Configuration) -> Sequence[Edit]:
            if instance not in current.drains:
                raise NotFound(f"instance {instance!r} is not drained")
            return [ClearDrain(instance)]

        version = await commit_edits(self._configuration, request, make_edits)
        return {"instance": instance, "version": version}

    async def _check_instance(self, instance: str) -> None:
        if instance not in {record.id for record in await self._list_instances()}:
            raise NotFound(
                f"instance {instance!r} is not in the platform's list, which lags "
                "by some seconds"
            )

    async def _list_instances(self) -> list[InstanceRecord]:
        platform = self._kernel.find("platform", PlatformService).platform
        with trio.move_on_after(INSTANCE_LIST_TIMEOUT_SECONDS):
            return await platform.instances.list()
        raise HemlockstandError(
            "the platform's instance list did not answer", code="platform_unavailable"
        )


def _get_matching_text(
    request: OperatorRequest, name: str, pattern: re.Pattern[str]
) -> str:
    value = request.get_text(name)
    if not pattern.fullmatch(value):
        shown = "" if name in ("salt", "digest") else f" with value {value!r}"
        raise InvalidInput(
            f"argument {name!r}{shown}: must be of the form {pattern.pattern}"
        )
    return value
