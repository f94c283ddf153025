"""A table whose calls pause until the test lets them proceed.

The coordination parts need no event loop, so a test can drive their coroutines
itself and choose the interleaving, the faults and the time.
"""

from enum import StrEnum
from types import coroutine

from attrs import define, field

from hemlockstand.errors import HemlockstandError, OutcomeUnknown, PlatformUnavailable
from hemlockstand.platform.memory import MemoryTable


class Fault(StrEnum):
    """Fault that is injected into one call of the table."""

    NONE = "none"
    DOWN = "down"
    REPLY_LOST = "reply_lost"
    CALL_LOST = "call_lost"
    LATE = "late"


@coroutine
def pause(label):
    """Suspend the coroutine; return what the test sends to resume it."""
    return (yield label)


@define
class SteppedTable:
    """One daemon's client of the shared table.

    Each call pauses before it reaches the table and before its answer
    returns. ``late`` collects the transactions with the fault ``LATE``, for
    the test to apply later.
    """

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
class CoroutineDriver:
    """Drives at most one coroutine of a daemon at a time."""

    running: object = None
    errors: list = field(factory=list)

    @property
    def is_idle(self):
        return self.running is None

    def begin(self, work):
        self.running = work
        self.step(None)

    def step(self, fault):
        """Resume the coroutine until its next pause."""
        try:
            self.running.send(fault)
        except StopIteration:
            self.running = None
        except HemlockstandError as error:
            self.errors.append(error)
            self.running = None

    def finish(self, fault=Fault.NONE):
        """Resume the coroutine until it ends."""
        while not self.is_idle:
            self.step(fault)

    def kill(self):
        if self.running is not None:
            self.running.close()
            self.running = None
