"""The operator's configuration and waves, followed in the store."""

import time

import attrs
import msgspec
import trio
from loguru import logger

from hemlockstand.coordination.lease import make_lease_clock
from hemlockstand.errors import InvalidInput, PlatformUnavailable
from hemlockstand.fleet.metrics import EVACUATED
from hemlockstand.fleet.model import FleetConfig, Wave
from hemlockstand.fleet.services import RowStoreService
from hemlockstand.fleet.settings import FleetSettings
from hemlockstand.fleet.storage import CONFIG_KEY, OPERATOR_TABLE, WAVE_PREFIX
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.platform.decoding import (
    EVACUATION_PREFIX,
    decode_config,
    decode_evacuation,
    decode_wave,
    quote_value,
)
from hemlockstand.platform.rows import HistoryGone, RowPage, StoredRow

log = logger.bind(module=__name__)

# A copy counts as current for this part of the time until a configuration must
# be in force; the rest is for the request itself.
FRESH_FRACTION = 0.8
# A copy is confirmed when a call ends and counts from when it was sent, so it
# becomes as old as two calls; a third of the time remains.
FOLLOW_FRACTION = 1 / 3
# While the store answers, a copy is younger than this part of the time for which
# it counts as current. A run that is stopped then can start again before the
# copy no longer counts.
RECENT_FRACTION = 0.75
RETRY_SECONDS = 0.1


@register
class FleetConfigurationService(Service):
    """Keeps the newest configuration; its version never decreases.

    A data centre is evacuated while the store has a row for it. The set stays
    in force while the store cannot be read.
    """

    name = "fleet_configuration"
    needs = ("row_store",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: FleetSettings = kernel.settings
        self._rows = kernel.find("row_store", RowStoreService).rows
        self._fresh_seconds = settings.bounds.operator_ms / 1000 * FRESH_FRACTION
        self._clock = make_lease_clock(time.monotonic)
        self._confirmed_at = float("-inf")
        self._version: int | None = None
        self._connected = True
        self.current: FleetConfig | None = None
        self.waves: dict[int, Wave] = {}
        # Evacuated data centres with the versions of their rows.
        self._evacuated: dict[str, int] = {}
        self.changed = trio.Event()

    @property
    def age_seconds(self) -> float:
        """Time since the store last confirmed the copy."""
        return self._clock() - self._confirmed_at

    @property
    def reachable(self) -> bool:
        """Whether there is a configuration and the store answered the last call."""
        return self.current is not None and self._connected

    @property
    def fresh(self) -> bool:
        """Whether every configuration that must be in force is known."""
        return self.current is not None and self.age_seconds < self._fresh_seconds

    @property
    def recently_confirmed(self) -> bool:
        """Whether the copy is as young as it is while the store answers."""
        return self.fresh and self.age_seconds < self._fresh_seconds * RECENT_FRACTION

    async def run(self) -> None:
        """Follow changes of the operator's rows."""
        while True:
            sent_at = self._clock()
            try:
                await self._follow()
            except HistoryGone:
                self._version = None
            except PlatformUnavailable as error:
                self._set_connected(False, str(error))
                await trio.sleep(RETRY_SECONDS)
            else:
                self._confirmed_at = sent_at
                self._set_connected(True, "")

    async def _follow(self) -> None:
        if self._version is None:
            page = await self._rows.read_all(OPERATOR_TABLE)
            self._drop_unlisted_evacuations(page)
        else:
            page = await self._rows.follow(
                OPERATOR_TABLE, self._version, self._fresh_seconds * FOLLOW_FRACTION
            )
        self._apply(page)
        self._version = page.version

    def _apply(self, page: RowPage) -> None:
        for row in page.rows:
            try:
                self._apply_row(row)
            except (InvalidInput, msgspec.DecodeError) as error:
                log.error(
                    "invalid row {} of the operator is ignored: {}", row.key, error
                )
        self._put_evacuations_in_force()
        if page.rows:
            self.changed.set()
            self.changed = trio.Event()

    def _drop_unlisted_evacuations(self, page: RowPage) -> None:
        """Drop the evacuations that are missing from a full read.

        Raises ``PlatformUnavailable`` if the read is too old to tell.
        """
        if page.version < max(self._evacuated.values(), default=0):
            raise PlatformUnavailable(
                f"rows of the operator at version {page.version} are older than "
                "those known"
            )
        listed = {row.key for row in page.rows if not row.dropped}
        for name in list(self._evacuated):
            if EVACUATION_PREFIX + name not in listed:
                del self._evacuated[name]

    def _apply_evacuation(self, row: StoredRow) -> None:
        """Add or drop an evacuation; its row has no content that matters."""
        if row.part:
            raise InvalidInput(f"op: part {quote_value(row.part)} is not read")
        name = decode_evacuation(row.key)
        # A full read may be newer than the changes that are followed after it.
        if row.version < self._evacuated.get(name, 0):
            return
        if row.dropped:
            self._evacuated.pop(name, None)
        else:
            self._evacuated[name] = row.version

    def _put_evacuations_in_force(self) -> None:
        """Apply the set of evacuated data centres to the configuration."""
        evacuated = frozenset(self._evacuated)
        if self.current is None or self.current.evacuated == evacuated:
            return
        log.info(
            "evacuated data centres changed",
            evacuated=sorted(evacuated),
            added=sorted(evacuated - self.current.evacuated),
            revoked=sorted(self.current.evacuated - evacuated),
        )
        self.current = attrs.evolve(self.current, evacuated=evacuated)
        EVACUATED.set(len(evacuated))

    def _apply_row(self, row: StoredRow) -> None:
        if row.key.startswith(EVACUATION_PREFIX):
            self._apply_evacuation(row)
            return
        if row.value is None:
            return
        if row.key == CONFIG_KEY:
            self._apply_config(decode_config(row.value))
        elif row.key.startswith(WAVE_PREFIX):
            wave = decode_wave(row.value)
            self.waves[wave.number] = wave
            log.info(
                "wave {} requested",
                wave.number,
                instances=len(wave.instances),
                maximum=wave.maximum,
                duration_s=wave.duration_s,
            )

    def _apply_config(self, config: FleetConfig) -> None:
        if self.current is not None and config.version <= self.current.version:
            return
        evacuated = frozenset() if self.current is None else self.current.evacuated
        self.current = attrs.evolve(config, evacuated=evacuated)
        log.info(
            "configuration {} is in force",
            config.version,
            queues=len(config.queues),
            tenants=len(config.tenants),
        )

    def _set_connected(self, connected: bool, detail: str) -> None:
        if connected != self._connected:
            self._connected = connected
            word = "regained" if connected else "lost"
            log.warning("connection to the store {}", word, detail=detail)
