"""The daemon with an added service that writes resource counters to a file.

``python -m bench.counted_daemon --settings FILE.ini`` writes ``FILE.counters``
each second, as one line of a fixed length that is overwritten in place.
"""

import json
import os
import time
from pathlib import Path

import trio

from hemlockstand.daemon import SETTINGS, main
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.peers.service import PeersService
from hemlockstand.platform.service import PlatformService

INTERVAL_SECONDS = 1.0
LINE_BYTES = 256


def read_resident_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


@register
class CountersService(Service):
    """Writes bytes, processor time and memory of the process."""

    name = "counters"
    needs = ("platform", "peers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._http = kernel.find("platform", PlatformService).platform.http
        self._traffic = kernel.find("peers", PeersService).traffic
        self._file = Path(SETTINGS.value).with_suffix(".counters")

    async def run(self) -> None:
        """Write the file until cancelled."""
        with self._file.open("wb", buffering=0) as stream:
            while True:
                line = json.dumps(self._count()).ljust(LINE_BYTES)
                os.pwrite(stream.fileno(), line.encode(), 0)
                await trio.sleep(INTERVAL_SECONDS)

    def _count(self) -> dict[str, float]:
        return {
            "time": time.monotonic(),
            "cpu_seconds": time.process_time(),
            "rss_mb": read_resident_mb(),
            "platform_bytes": self._http.bytes_sent + self._http.bytes_received,
            "peer_bytes": self._traffic.sent + self._traffic.received,
        }


if __name__ == "__main__":
    main()
