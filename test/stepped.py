"""A table whose every call is a step that a test takes when it likes.

The coordination parts use no scheduler, so a test can drive their coroutines
itself and choose the interleaving, the faults and the passing of time.
"""

from enum import StrEnum
from types import coroutine

from attrs import define, field

from hemlockstand.errors import HemlockstandError, OutcomeUnknown, PlatformUnavailable
from hemlockstand.platform.memory import MemoryTable


class Fault(StrEnum):
    """What becomes of one call."""

    NONE = "none"
    DOWN = "down"
    REPLY_LOST = "reply_lost"
    CALL_LOST = "call_lost"
    LATE = "late"


@coroutine
def pause(label):
    """Give control to the test; return what it sends."""
    return (yield label)


@define
class SteppedTable:
    """One daemon's way to the common table."""

    table: MemoryTable
    late: list

    async def read(self, key):
        return await self._read(self.table.read, key)

    async def read_many(self, keys):
        return await self._read(self.table.read_many, keys)

    async def scan(self, prefix, after="", limit=500):
        return await self._read(self.table.scan, prefix, after, limit)

    async def transact(self, operations):
        fault = await pause("send")
        match fault:
            case Fault.DOWN:
                raise PlatformUnavailable("down")
            case Fault.CALL_LOST:
                raise OutcomeUnknown("call lost")
            case Fault.LATE:
                self.late.append(operations)
                raise OutcomeUnknown("call late")
        error, versions = None, ()
        try:
            versions = await self.table.transact(operations)
        except HemlockstandError as raised:
            error = raised
        await pause("reply")
        if fault == Fault.REPLY_LOST:
            raise OutcomeUnknown("reply lost")
        if error is not None:
            raise error
        return versions

    async def _read(self, call, *arguments):
        fault = await pause("send")
        if fault != Fault.NONE:
            raise PlatformUnavailable("down")
        rows = await call(*arguments)
        await pause("reply")
        return rows


@define
class Track:
    """At most one running coroutine of a daemon."""

    running: object = None
    errors: list = field(factory=list)

    @property
    def is_idle(self):
        return self.running is None

    def begin(self, work):
        self.running = work
        self.step(None)

    def step(self, fault):
        """Advance the coroutine to its next call."""
        try:
            self.running.send(fault)
        except StopIteration:
            self.running = None
        except HemlockstandError as error:
            self.errors.append(error)
            self.running = None

    def finish(self, fault=Fault.NONE):
        """Advance the coroutine to its end."""
        while not self.is_idle:
            self.step(fault)

    def kill(self):
        if self.running is not None:
            self.running.close()
            self.running = None
