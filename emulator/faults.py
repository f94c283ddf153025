"""Faults of the platform stand-in, set by ``POST /faults``."""

import random
from typing import Literal

import msgspec
from attrs import define, field


class TableFault(msgspec.Struct, forbid_unknown_fields=True):
    """A fault of the table and the object store.

    ``probability`` is the fraction of the calls that are affected and
    ``delay_seconds`` their delay. ``lose_replies`` applies a write and then
    answers 504. With ``scope`` ``all``, the delay and the mode ``down`` apply
    to the other calls of the platform too.
    """

    mode: Literal["up", "down", "slow", "lose_replies"] = "up"
    delay_seconds: float = 0.0
    probability: float = 1.0
    seed: int = 1
    scope: Literal["table", "all"] = "table"


class FaultRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /faults``; absent fields stay as they are.

    Calls from ``cut_data_centres`` get no answer and have no effect.
    ``failing_workers`` fail every task that they start. The instances in
    ``unhealthy_after_reboot`` are unhealthy after a reboot.
    """

    table: TableFault | None = None
    instance_list_lag_seconds: float | None = None
    usage_lag_seconds: float | None = None
    reboot_seconds: float | None = None
    cut_data_centres: list[str] | None = None
    failing_workers: list[str] | None = None
    unhealthy_after_reboot: list[str] | None = None


@define
class Faults:
    """The faults that are in force."""

    table: TableFault = field(factory=TableFault)
    instance_list_lag_seconds: float = 1.0
    usage_lag_seconds: float = 1.0
    reboot_seconds: float = 1.0
    cut_data_centres: list[str] = field(factory=list)
    failing_workers: list[str] = field(factory=list)
    unhealthy_after_reboot: list[str] = field(factory=list)
    _random: random.Random = field(factory=lambda: random.Random(1))

    def update(self, request: FaultRequest) -> None:
        """Put the fields that are set in the request in force."""
        for name in request.__struct_fields__:
            value = getattr(request, name)
            if value is not None:
                setattr(self, name, value)
        if request.table is not None:
            self._random = random.Random(request.table.seed)

    def draw_table_fault(self) -> bool:
        """Return, at random, whether the table's fault affects this call."""
        if self.table.mode == "up":
            return False
        return self._random.random() < self.table.probability
