"""Listening sockets that accept several connections in a round of the loop."""

from hypercorn.config import Config, Sockets

# A listener accepts one connection in each round of the event loop. A busy daemon
# took 18 s to accept the 728 connections that had waited during a pause of 11 s.
ACCEPTS_PER_ROUND = 8


class AcceptingConfig(Config):
    """A configuration whose listeners share each socket."""

    def create_sockets(self) -> Sockets:
        """Return the sockets, each of them ``ACCEPTS_PER_ROUND`` times."""
        sockets = super().create_sockets()
        sockets.insecure_sockets.extend(
            [
                sock.dup()
                for sock in tuple(sockets.insecure_sockets)
                for _ in range(ACCEPTS_PER_ROUND - 1)
            ]
        )
        return sockets
