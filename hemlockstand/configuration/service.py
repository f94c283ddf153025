"""The kernel service that keeps the daemon's copy of the configuration."""

import trio
from loguru import logger

from hemlockstand.configuration.changes import (
    Change,
    CommittedChange,
    apply_change,
    pack_change,
    pack_configuration,
    unpack_change,
    unpack_configuration,
)
from hemlockstand.configuration.freshness import FreshnessService
from hemlockstand.configuration.store import (
    HEAD_KEY,
    ConfigurationStore,
    decode_head,
)
from hemlockstand.coordination.membership import Peer
from hemlockstand.coordination.versions import VersionedCopy, VersionGap
from hemlockstand.errors import (
    HemlockstandError,
    OutcomeUnknown,
    PlatformUnavailable,
)
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.metrics import CONFIGURATION_VERSION, PLATFORM_FAILURES
from hemlockstand.model import Configuration
from hemlockstand.peers.peer_pb2 import FetchReply
from hemlockstand.peers.service import PeersService
from hemlockstand.peers.transport import PeerRefusal
from hemlockstand.platform.service import PlatformService

log = logger.bind(module=__name__)


def _apply(state: Configuration, entry: CommittedChange) -> Configuration:
    return apply_change(state, entry.change)


@register
class ConfigurationService(Service):
    """The configuration in force at this daemon.

    Changes are applied from the platform or from peers, whichever delivers
    them first. The service never goes back to an older version.
    """

    name = "configuration"
    needs = ("platform", "freshness", "peers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        section = self.settings.configuration
        self._freshness = kernel.find("freshness", FreshnessService)
        self._peers = kernel.find("peers", PeersService)
        service = kernel.find("platform", PlatformService)
        self._store = ConfigurationStore(service.platform)
        self._polled_rows = service.polled
        self._copy: VersionedCopy[Configuration, CommittedChange] = VersionedCopy(
            apply=_apply, state=Configuration(), keep=section.snapshot_every
        )
        self._newer_peer: Peer | None = None
        self._newer_announced = trio.Event()
        self.loaded = False

    @property
    def current(self) -> Configuration:
        """The configuration in force at this daemon."""
        return self._copy.state

    async def start(self) -> None:
        """Load the newest version that the table or a reachable peer has."""
        self._peers.handle_fetch(self.answer_fetch)
        self._peers.handle_newer_configuration(self._handle_newer_version)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.poll)
            nursery.start_soon(self._load_from_peers)
        log.info("started with configuration version {}", self.current.version)

    async def run(self) -> None:
        """Apply new changes of the platform and the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_platform)
            nursery.start_soon(self._fetch_newer_versions)

    async def wait_version(self, version: int) -> None:
        """Wait until this daemon has this version or a later one."""
        await self._copy.wait(version)

    async def commit(self, change: Change, base: int) -> int:
        """Commit the change that was planned on ``base``; return its version.

        Raises ``ConfigurationConflict`` with the current version if another
        change was committed after ``base``, ``PlatformUnavailable``, or
        ``OutcomeUnknown`` if the change may be in force.
        """
        version = await self._store.commit(change, base)
        self._apply_if_next(CommittedChange(version, change))
        await self._peers.announce()
        await self._save_snapshot(version)
        return version

    async def history(self, limit: int) -> list[CommittedChange]:
        """Return the newest changes from the table, oldest first.

        Raises ``PlatformUnavailable``.
        """
        head = await self._store.read_head()
        return await self._store.read_changes(max(0, head.version - limit), limit)

    async def poll(self) -> None:
        """Read new changes from the platform once.

        Failures are not raised; they count in the freshness proofs and in the
        metrics.
        """
        sent_at = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._record_unanswered_read)
                await self._read_platform(sent_at)
                nursery.cancel_scope.cancel()
        except* (PlatformUnavailable, OutcomeUnknown) as group:
            self._freshness.record_platform_failure()
            PLATFORM_FAILURES.labels(_first_error(group).code).inc()
        except* HemlockstandError as group:
            # The platform answered, but its rows cannot be used. The current
            # configuration stays in force.
            error = _first_error(group)
            self._freshness.record_platform_read(sent_at)
            PLATFORM_FAILURES.labels(error.code).inc()
            log.error("configuration rows on the platform cannot be read: {}", error)

    async def fetch_from(self, peer: Peer) -> None:
        """Fetch and apply the changes of the peer that this daemon lacks.

        Raises ``PeerError``, ``PeerRefusal`` or ``InvalidInput``.
        """
        base = self.current.version
        reply = await self._peers.fetch(peer, base)
        if reply.snapshot:
            self._replace(unpack_configuration(reply.snapshot))
        for version, data in enumerate(reply.changes, base + 1):
            self._apply_if_next(CommittedChange(version, unpack_change(data)))
        self._mark_loaded()

    async def answer_fetch(self, from_version: int) -> FetchReply:
        """Return the changes after a version, or a snapshot.

        Raises ``PeerRefusal`` while this daemon has not loaded a
        configuration, so that no peer mistakes the empty one for the newest.
        """
        if not self.loaded:
            raise PeerRefusal("nothing is loaded here", "configuration_not_loaded")
        reply = FetchReply(configuration_version=self.current.version)
        entries = self._copy.entries_after(from_version)
        if entries is None:
            reply.snapshot = pack_configuration(self.current)
        else:
            reply.changes.extend(pack_change(entry.change) for entry in entries)
        return reply

    async def _poll_platform(self) -> None:
        while True:
            next_at = trio.current_time() + self.settings.configuration.poll_seconds
            await self.poll()
            await trio.sleep_until(next_at)

    async def _fetch_newer_versions(self) -> None:
        while True:
            await self._newer_announced.wait()
            self._newer_announced = trio.Event()
            peer = self._newer_peer
            if peer is None or peer.version <= self.current.version:
                continue
            try:
                await self.fetch_from(peer)
            except HemlockstandError as error:
                log.warning(
                    "cannot fetch configuration changes from peer {}: {}",
                    peer.name,
                    error,
                )

    def _handle_newer_version(self, peer: Peer) -> None:
        """Wake the task that fetches the newer version from the peer."""
        self._newer_peer = peer
        self._newer_announced.set()

    async def _load_from_peers(self) -> None:
        for peer in await self._peers.probe_all():
            if peer.version <= self.current.version and self.loaded:
                continue
            try:
                await self.fetch_from(peer)
            except HemlockstandError as error:
                log.warning(
                    "cannot load the configuration from peer {}: {}", peer.name, error
                )

    async def _record_unanswered_read(self) -> None:
        """Record a failure for each poll interval without an answer to a read.

        A platform that hangs would otherwise be noticed only at the timeout of
        the call, which may be longer than a freshness proof is valid.
        """
        while True:
            await trio.sleep(self.settings.configuration.poll_seconds)
            self._freshness.record_platform_failure()

    async def _read_platform(self, sent_at: float) -> None:
        # The same call also refreshes the rows that other services poll.
        head = decode_head(await self._polled_rows.read(HEAD_KEY, max_age=0.0))
        if head.version > self.current.version:
            await self._catch_up(head.version)
        self._freshness.record_platform_read(sent_at, head.version)
        if head.version >= self.current.version:
            self._mark_loaded()

    async def _catch_up(self, version: int) -> None:
        every = self.settings.configuration.snapshot_every
        if version - self.current.version > every:
            self._replace(await self._store.load_newest_snapshot(version, every))
        while self.current.version < version:
            changes = await self._store.read_changes(self.current.version)
            if not changes:
                raise PlatformUnavailable(
                    f"change {self.current.version + 1} is not readable yet"
                )
            for entry in changes:
                self._apply_if_next(entry)

    def _apply_if_next(self, entry: CommittedChange) -> None:
        """Apply the change if it is the next one.

        A later change is ignored; the next poll reads it and those before it.
        """
        try:
            applied = self._copy.offer(entry.version, entry)
        except VersionGap:
            log.debug(
                "configuration change {} not applied yet, earlier ones are missing",
                entry.version,
            )
            self._freshness.tracker.record_version(entry.version)
            return
        if applied:
            self._publish_version()

    def _replace(self, configuration: Configuration) -> None:
        if self._copy.replace(configuration.version, configuration):
            self._publish_version()

    def _mark_loaded(self) -> None:
        self.loaded = True
        self._freshness.tracker.set_version(self.current.version)

    def _publish_version(self) -> None:
        version = self.current.version
        self._freshness.tracker.set_version(version)
        CONFIGURATION_VERSION.set(version)

    async def _save_snapshot(self, version: int) -> None:
        """Store a snapshot if one is due.

        A failure is only logged, as a missing snapshot only slows down starts.
        """
        if version % self.settings.configuration.snapshot_every:
            return
        if self.current.version != version:
            return
        try:
            await self._store.save_snapshot(self.current)
        except HemlockstandError as error:
            log.warning("configuration snapshot {} was not stored: {}", version, error)


def _first_error(group: BaseExceptionGroup) -> HemlockstandError:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
