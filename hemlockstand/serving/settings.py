"""Settings of the limits on clients, for the daemons of both engines."""

from attrs import frozen

from hemlockstand.process_limits import (
    MAX_DESCRIPTORS,
    MAX_MEMORY_MB,
    MEGABYTE,
    measure_descriptors,
    measure_memory_mb,
)
from hemlockstand.serving.budget import (
    CONNECTION_BYTES,
    PROTOCOL_BYTES,
    REQUEST_BYTES,
)
from hemlockstand.setting_options import StandIn, option

# Parts of what clients of the older engine's two ports may use.
CALLERS_SHARE = 0.75
OPERATORS_SHARE = 0.25
MEMORY_STAND_IN = StandIn(
    "the least of the limits of the process, its control group and the machine's "
    f"memory, at most {MAX_MEMORY_MB}",
    measure_memory_mb,
)
DESCRIPTORS_STAND_IN = StandIn(
    f"the number of sockets that can be opened at the start, at most {MAX_DESCRIPTORS}",
    measure_descriptors,
)


@frozen
class ClientSettings:
    """Limits on what clients may use, and on how slowly they may send and read."""

    memory_mb: int = option(
        "Memory that the process may use, in MB.",
        64,
        1 << 20,
        stand_in=MEMORY_STAND_IN,
    )
    memory_share: float = option(
        "Part of the memory that clients may use. The rest is for the daemon itself.",
        0.05,
        0.8,
    )
    max_descriptors: int = option(
        "Descriptors that the process may have open.",
        64,
        1 << 20,
        stand_in=DESCRIPTORS_STAND_IN,
    )
    descriptor_share: float = option(
        "Part of the descriptors that connections of clients may use.", 0.05, 0.8
    )
    source_share: float = option(
        "Part of an address's memory and connections that clients of one source IP "
        "address may use.",
        0.1,
        1,
    )
    head_bytes: int = option("Largest head of a request, in bytes.", 1_024, 1 << 20)
    head_lines: int = option("Largest number of lines of a head.", 16, 10_000)
    head_seconds: float = option(
        "Time in which a head must arrive from its first byte.", 0.1, 600
    )
    idle_seconds: float = option(
        "Time for which a connection without a request stays open.", 0.1, 3_600
    )
    stall_seconds: float = option(
        "Time for which a body or the reading of an answer may make no progress.",
        0.1,
        600,
    )
    bytes_per_second: float = option(
        "Lowest mean rate of a body and of the reading of an answer, after "
        "stall_seconds.",
        1,
        1 << 30,
    )

    @property
    def memory_bytes(self) -> int:
        """Memory that all clients together may use."""
        return int(self.memory_mb * MEGABYTE * self.memory_share)

    def fits(self, share: float, body_bytes: int) -> bool:
        """Return whether an endpoint with this share can hold a body by itself."""
        held = body_bytes + CONNECTION_BYTES + PROTOCOL_BYTES + REQUEST_BYTES
        return held <= self.memory_bytes * share * self.source_share

    @property
    def connections(self) -> int:
        """Connections that all clients together may have."""
        return int(self.max_descriptors * self.descriptor_share)
