"""A frontend's copy of the published load."""

import time

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.load_row import LOAD_KEY, decode_load
from hemlockstand.fleet.load_view import MAX_AGE_MS, LoadView
from hemlockstand.fleet.storage import SCHEDULER_TABLE
from hemlockstand.platform.rows import RowStore

log = logger.bind(module=__name__)

READ_SECONDS = 0.5  # at most two reads a second
# While no pool lacks room, the load is read less often, since each read costs. A
# shortage is then known a second later, of the several that a job can wait.
IDLE_READ_SECONDS = 1.0


@define(eq=False)
class LoadReader:
    """Reads the load in the background, while submissions come.

    ``view`` may be old; ``find_view`` returns it only if it is recent.
    """

    rows: RowStore
    _view: LoadView | None = None
    _read_at: float = float("-inf")
    _requested: trio.Event = field(factory=trio.Event)

    def request(self) -> None:
        """Have the copy refreshed; nobody waits for it."""
        self._requested.set()

    def find_view(self) -> LoadView | None:
        """Return the load if it is recent enough to refuse something."""
        if self._view is None or not self._view.is_recent(int(time.time() * 1000)):
            return None
        if trio.current_time() - self._read_at > MAX_AGE_MS / 1000:
            return None
        return self._view

    async def run(self) -> None:
        """Read the load when it is requested, and not too often."""
        while True:
            await self._requested.wait()
            self._requested = trio.Event()
            await self._read()
            busy = self._view is not None and self._view.pools
            await trio.sleep(READ_SECONDS if busy else IDLE_READ_SECONDS)

    async def _read(self) -> None:
        sent_at = trio.current_time()
        try:
            row = await self.rows.read_one(SCHEDULER_TABLE, LOAD_KEY)
        except PlatformUnavailable as error:
            log.debug("load of the scheduler not read: {}", error)
            return
        self._view = decode_load(row)
        self._read_at = sent_at
