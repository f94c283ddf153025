"""A copy of a versioned log that only moves forward.

The log is kept elsewhere. Copies receive its entries from several sources, in
any order and possibly more than once. A copy at version V applies only the
entry of version V+1::

    >>> copy = VersionedCopy(apply=lambda total, entry: total + entry, state=0)
    >>> copy.offer(1, 10)
    True
    >>> copy.offer(1, 10)
    False
    >>> copy.offer(3, 30)
    Traceback (most recent call last):
    ...
    hemlockstand.coordination.versions.VersionGap: version_gap: 3 on top of 1
    >>> copy.replace(4, 100)
    True
    >>> copy.replace(2, 30)
    False
    >>> copy.version, copy.state
    (4, 100)
"""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

import trio
from attrs import define, field

from hemlockstand.errors import HemlockstandError

StateType = TypeVar("StateType")
EntryType = TypeVar("EntryType")


class VersionGap(HemlockstandError):
    """An earlier entry than the one offered is missing."""

    code = "version_gap"


@define
class VersionedCopy(Generic[StateType, EntryType]):
    """The state at one version of a log, with the newest entries.

    ``apply`` returns a new state and leaves the old one unchanged; when it
    raises, the copy keeps its version. ``keep`` is the number of entries that
    are retained for ``entries_after``.
    """

    apply: Callable[[StateType, EntryType], StateType]
    state: StateType
    version: int = 0
    keep: int = 512
    _entries: deque[EntryType] = field(factory=deque, init=False)
    _advanced: trio.Event = field(factory=trio.Event, init=False)

    def offer(self, version: int, entry: EntryType) -> bool:
        """Apply the entry if it is the next one; return whether it was.

        Raises ``VersionGap`` when an earlier entry is missing.
        """
        if version <= self.version:
            return False
        if version != self.version + 1:
            raise VersionGap(f"{version} on top of {self.version}")
        self.state = self.apply(self.state, entry)
        self._entries.append(entry)
        if len(self._entries) > self.keep:
            self._entries.popleft()
        self._advance(version)
        return True

    def replace(self, version: int, state: StateType) -> bool:
        """Replace the state if the new one is later; return whether it was."""
        if version <= self.version:
            return False
        self.state = state
        self._entries.clear()
        self._advance(version)
        return True

    def entries_after(self, version: int) -> list[EntryType] | None:
        """Return the entries that follow ``version``.

        ``None`` means that some of them are no longer retained, so the reader
        needs the whole state.
        """
        missing = self.version - version
        if missing <= 0:
            return []
        if missing > len(self._entries):
            return None
        return list(self._entries)[-missing:]

    async def wait(self, version: int) -> None:
        """Return once the copy has reached ``version``."""
        while self.version < version:
            await self._advanced.wait()

    def _advance(self, version: int) -> None:
        self.version = version
        self._advanced.set()
        self._advanced = trio.Event()
