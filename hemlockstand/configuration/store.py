"""The configuration's log on the platform: head, changes and snapshots."""

import hashlib
from collections.abc import Iterable
from typing import Any

import msgspec
from attrs import frozen
from loguru import logger

from hemlockstand.configuration.changes import (
    Change,
    CommittedChange,
    decode_change,
    encode_change,
    pack_configuration,
    unpack_configuration,
)
from hemlockstand.errors import (
    HemlockstandError,
    InvalidInput,
    NotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    TableConflict,
)
from hemlockstand.model import Configuration
from hemlockstand.platform.interface import ABSENT, Platform, Put, Row

log = logger.bind(module=__name__)

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
VERSION_DIGITS = 12
MAX_CHANGES_PER_READ = 500
MAX_SNAPSHOT_ATTEMPTS = 3


class ConfigurationConflict(HemlockstandError):
    """Another change was committed after the base version.

    ``version`` is the current version.
    """

    code = "configuration_conflict"

    def __init__(self, base: int, version: int) -> None:
        super().__init__(f"planned on version {base}, current is {version}")
        self.base = base
        self.version = version


@frozen
class Head:
    """The newest version of the configuration.

    ``row_version`` is that of the head row, for a conditional write.
    """

    version: int
    digest: str
    row_version: int


def change_key(version: int) -> str:
    """Return the key of the row of a change."""
    return f"{CHANGE_PREFIX}{version:0{VERSION_DIGITS}d}"


def snapshot_name(version: int) -> str:
    """Return the name of the object that holds a snapshot."""
    return f"config/snapshot/{version:0{VERSION_DIGITS}d}"


def chain_digest(previous: str, change: Change) -> str:
    """Return the digest of the log up to and including the change."""
    body = msgspec.json.encode(encode_change(change), order="sorted")
    return hashlib.sha256(previous.encode() + body).hexdigest()


def decode_head(row: Row) -> Head:
    """Return the head in its row; an absent row is version 0."""
    version = row.value.get("version", 0)
    return Head(version, row.value.get("digest", ""), row.version)


@frozen
class ConfigurationStore:
    """Reads and writes the log on the platform.

    Every method raises ``PlatformUnavailable`` if the platform does not
    answer.
    """

    platform: Platform

    async def read_head(self) -> Head:
        """Return the newest version."""
        return decode_head(await self.platform.table.read(HEAD_KEY))

    async def read_changes(
        self, after: int, limit: int = MAX_CHANGES_PER_READ
    ) -> list[CommittedChange]:
        """Return at most ``limit`` changes after a version, oldest first."""
        rows = await self.platform.table.scan(CHANGE_PREFIX, change_key(after), limit)
        return list(_decode_rows(rows))

    async def commit(self, change: Change, base: int) -> int:
        """Commit the change on top of ``base`` and return its version.

        Raises ``ConfigurationConflict`` if another change was committed after
        ``base``, and ``OutcomeUnknown`` if the reply was lost and a read of
        the change's row did not show the change; it may be in force then or
        later.
        """
        head = await self.read_head()
        if head.version != base:
            return await self._resolve(change, base)
        try:
            await self.platform.table.transact(_make_commit_puts(change, head))
        except TableConflict:
            return await self._resolve(change, base)
        except OutcomeUnknown as lost:
            return await self._resolve_lost(change, base, lost)
        return base + 1

    async def save_snapshot(self, configuration: Configuration) -> None:
        """Store a snapshot under a name that depends only on its version."""
        name = snapshot_name(configuration.version)
        await self.platform.objects.put(name, pack_configuration(configuration))

    async def load_snapshot(self, version: int) -> Configuration:
        """Return a stored snapshot.

        Raises ``NotFound`` if there is none and ``InvalidInput`` if it is
        malformed.
        """
        data = await self.platform.objects.get(snapshot_name(version))
        configuration = unpack_configuration(data)
        if configuration.version != version:
            raise InvalidInput(
                f"snapshot {version} holds version {configuration.version}",
                code="snapshot_malformed",
            )
        return configuration

    async def load_newest_snapshot(self, version: int, every: int) -> Configuration:
        """Return the newest snapshot up to a version, or an empty one.

        Snapshots are stored every ``every`` versions. One is missing if the
        daemon that committed its version ended before storing it, so some
        earlier ones are tried.
        """
        newest = version - version % every
        oldest = max(0, newest - MAX_SNAPSHOT_ATTEMPTS * every)
        for candidate in range(newest, oldest, -every):
            try:
                return await self.load_snapshot(candidate)
            except (NotFound, InvalidInput) as error:
                log.warning(
                    "configuration snapshot {} cannot be loaded: {}", candidate, error
                )
        return Configuration()

    async def _resolve(self, change: Change, base: int) -> int:
        """Return the version of this change if it is the one after ``base``.

        Raises ``ConfigurationConflict`` if it is not.
        """
        row = await self.platform.table.read(change_key(base + 1))
        if row.version != ABSENT and row.value.get("id") == change.id:
            return base + 1
        head = await self.read_head()
        raise ConfigurationConflict(base, head.version)

    async def _resolve_lost(
        self, change: Change, base: int, lost: OutcomeUnknown
    ) -> int:
        """Resolve a lost reply by reading; the write is never sent again.

        An absent row proves nothing, as the write may still be in flight, so
        ``OutcomeUnknown`` is then raised.
        """
        try:
            row = await self.platform.table.read(change_key(base + 1))
        except PlatformUnavailable as error:
            raise OutcomeUnknown(f"{lost.message}; then {error.message}") from error
        if row.version == ABSENT:
            raise lost
        return await self._resolve(change, base)


def _make_commit_puts(change: Change, head: Head) -> tuple[Put, Put]:
    version = head.version + 1
    content: dict[str, Any] = {
        "version": version,
        "digest": chain_digest(head.digest, change),
        "author": change.author,
        "time": change.time,
    }
    return (
        Put(HEAD_KEY, content, head.row_version),
        Put(change_key(version), encode_change(change), ABSENT),
    )


def _decode_rows(rows: Iterable[Row]) -> Iterable[CommittedChange]:
    for row in rows:
        version = int(row.key.removeprefix(CHANGE_PREFIX))
        yield CommittedChange(version, decode_change(row.value))
