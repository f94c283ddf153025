"""The memory and connections that clients of one address of the daemon hold.

Amounts are in bytes and are estimates of what the process holds for a client,
so that their sum bounds the memory of the process.
"""

from collections import Counter

from attrs import define, field

# Estimates of the memory of a process, in bytes. With 1,000 connections, one
# without a request took 5 KB, and one with an answered request 36 KB.
CONNECTION_BYTES = 16 << 10  # with an incomplete head
PROTOCOL_BYTES = 40 << 10  # more once a connection has had a request
# More while a request is handled: its objects, and a head of 128 lines.
REQUEST_BYTES = 64 << 10
# A job's body is held as it arrives and again as the decoded document.
BODY_FACTOR = 3


@define(eq=False)
class Budget:
    """Bytes and connections that are left, in total and by source address."""

    max_bytes: int
    max_connections: int
    source_share: float
    used_bytes: int = 0
    connections: int = 0
    _bytes_by_source: Counter[str] = field(factory=Counter)
    _connections_by_source: Counter[str] = field(factory=Counter)

    def take_bytes(self, source: str, amount: int) -> bool:
        """Count bytes for a source and return whether they were left."""
        total = self._bytes_by_source[source] + amount
        if (
            self.used_bytes + amount > self.max_bytes
            or total > self.max_bytes * self.source_share
        ):
            return False
        self.used_bytes += amount
        self._bytes_by_source[source] = total
        return True

    def give_bytes(self, source: str, amount: int) -> None:
        """Count bytes as left again."""
        self.used_bytes -= amount
        self._bytes_by_source[source] -= amount
        if not self._bytes_by_source[source]:
            del self._bytes_by_source[source]

    def take_connection(self, source: str) -> bool:
        """Count a connection for a source and return whether it was left."""
        count = self._connections_by_source[source] + 1
        # A source may always have one connection, however small the limits.
        if self.connections >= self.max_connections or (
            count > max(1, self.max_connections * self.source_share)
        ):
            return False
        if not self.take_bytes(source, CONNECTION_BYTES):
            return False
        self.connections += 1
        self._connections_by_source[source] = count
        return True

    def give_connection(self, source: str) -> None:
        """Count a connection as left again."""
        self.give_bytes(source, CONNECTION_BYTES)
        self.connections -= 1
        self._connections_by_source[source] -= 1
        if not self._connections_by_source[source]:
            del self._connections_by_source[source]

    def count_bytes(self, source: str, amount: int) -> None:
        """Count bytes that are held already, whether or not they were left."""
        self.used_bytes += amount
        self._bytes_by_source[source] += amount

    def has_its_share(self, source: str) -> bool:
        """Return whether a source has its share of connections.

        False if no connection is left for any source.
        """
        return self.connections < self.max_connections and self._connections_by_source[
            source
        ] + 1 > max(1, self.max_connections * self.source_share)

    def bytes_of(self, source: str) -> int:
        """Return the bytes that a source holds."""
        return self._bytes_by_source[source]
