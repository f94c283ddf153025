"""Metrics and log lines on the shares of workspaces in pools that lack room.

A line is logged when a workspace comes to exceed its share while it waits, at
most once in ``REPEAT_SECONDS`` for each pool and workspace::

    {"message": "workspace is above its share", "pool": "quotes",
     "workspace": "hinge", "weight": 1.0, "share": 0.31, "running": 0.87,
     "recent": 0.8, "strict": true, "others": 3}

All parts are of the pool's capacity on the dominant resource.
"""

from collections.abc import Callable, Mapping

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.fleet.metrics import SHARE_OF_POOL, USE_OF_POOL
from hemlockstand.fleet.policy.shares import PoolShares, WorkspaceShare, find_dominant

log = logger.bind(module=__name__)

REPORT_SECONDS = 0.5  # interval of the metrics; a round may come every 5 ms
REPEAT_SECONDS = 5.0  # a flood stays above its share for as long as it lasts


@define(eq=False)
class ShareReporter:
    """Reports the shares that the last round of placement has measured."""

    shares: Mapping[str, PoolShares]
    _logged_at: dict[tuple[str, str], float] = field(factory=dict)
    _shown: set[tuple[str, str]] = field(factory=set)

    async def run(self, clock: Callable[[], float]) -> None:
        """Report until the term as leader ends, then remove the metrics."""
        try:
            while True:
                await trio.sleep(REPORT_SECONDS)
                self.report(clock())
        finally:
            self._show_only(set())

    def report(self, now: float) -> None:
        """Update the metrics and log who exceeds a share."""
        self._logged_at = {
            key: at for key, at in self._logged_at.items() if now - at < REPEAT_SECONDS
        }
        shown = set()
        for pool, shares in self.shares.items():
            for workspace, share in shares.workspaces.items():
                shown.add((pool, workspace))
                SHARE_OF_POOL.labels(pool, workspace).set(share.share)
                USE_OF_POOL.labels(pool, workspace).set(share.used)
                if share.above and (pool, workspace) not in self._logged_at:
                    self._logged_at[pool, workspace] = now
                    _log_excess(pool, workspace, share, len(shares.workspaces) - 1)
        self._show_only(shown)

    def _show_only(self, shown: set[tuple[str, str]]) -> None:
        """Remove the metrics of all other workspaces."""
        for key in self._shown - shown:
            SHARE_OF_POOL.remove(*key)
            USE_OF_POOL.remove(*key)
        self._shown = shown


def _log_excess(pool: str, workspace: str, share: WorkspaceShare, others: int) -> None:
    log.info(
        "workspace is above its share",
        pool=pool,
        workspace=workspace,
        weight=share.weight,
        share=round(share.share, 3),
        running=round(find_dominant(share.running, share.capacity), 3),
        recent=round(share.recent, 3),
        strict=share.strict,
        others=others,
    )
