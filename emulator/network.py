"""Loopback addresses and ports of a fleet.

Each fleet has a network ``127.N.0.0/16`` of its own, and each daemon an IP
address of its own, because all daemons of a deployment use the same ports.
"""

import os
import socket
from collections.abc import Iterator

from attrs import define

FIRST_NETWORK = 16
LAST_NETWORK = 254
GUARD_PORT = 8999

PLATFORM_PORT = 9000
CALLER_PORT = 8100
OPERATOR_PORT = 8101
PEER_PORT = 8102
BALANCER_PORT = 8000
BALANCER_CONTROL_PORT = 8001
FIRST_EXECUTOR_PORT = 7001
LINK_CONTROL_PORT = 6000
FIRST_LINK_PORT = 6001


class NoFreeNetwork(Exception):
    """All loopback networks are in use by other fleets."""


@define
class Network:
    """A loopback network, reserved as long as the guard socket is open."""

    number: int
    guard: socket.socket

    def host(self, third: int, fourth: int) -> str:
        """Return the IP address with these last two numbers."""
        return f"127.{self.number}.{third}.{fourth}"

    def close(self) -> None:
        """Release the network."""
        self.guard.close()


def reserve_network() -> Network:
    """Return a network that no other fleet of this machine uses.

    Raises ``NoFreeNetwork``.
    """
    for number in _list_networks():
        guard = socket.socket()
        try:
            guard.bind((f"127.{number}.0.1", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        guard.listen(1)
        return Network(number, guard)
    raise NoFreeNetwork(
        f"all loopback networks from 127.{FIRST_NETWORK}.0.0 to "
        f"127.{LAST_NETWORK}.0.0 are in use by other fleets"
    )


def _list_networks() -> Iterator[int]:
    count = LAST_NETWORK - FIRST_NETWORK + 1
    for offset in range(count):
        yield FIRST_NETWORK + (os.getpid() + offset) % count
