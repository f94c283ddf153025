"""Record of the events in a stand-in, for the invariant checks.

Times are seconds of ``time.monotonic``, which all processes of a machine
share, so that the records of several stand-ins can be compared.
"""

import time
from collections import Counter
from typing import Any

from attrs import define, field


@define
class Recorder:
    """Counters, and events with their sequence numbers and times."""

    counters: Counter[str] = field(factory=Counter)
    events: list[dict[str, Any]] = field(factory=list)

    def record_event(self, event: str, **values: Any) -> None:
        """Append an event and increment the counter of its name."""
        self.counters[event] += 1
        self.events.append(
            {
                "sequence": len(self.events),
                "time": time.monotonic(),
                "event": event,
                **values,
            }
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter without an event."""
        self.counters[name] += amount

    def show(self, since: int = 0) -> dict[str, Any]:
        """Return the counters, and the events from a sequence number on."""
        return {"counters": dict(self.counters), "events": self.events[since:]}
