"""Which daemons watch the scheduler's lease closely.

Load pattern: a fleet of hundreds of daemons, each of which reads the lease
four times a second although only one can take it. A few candidates are enough
to take it over in time; the others look less often, in case all candidates
have gone.
"""

from collections.abc import Mapping
from hashlib import blake2b

from attrs import frozen

# A data centre with a third of the daemons may be lost together with single
# machines; more candidates read the lease more often than a takeover needs.
MAX_CANDIDATES = 8
# Factor on the interval at which daemons that are no candidates read the lease.
RESERVE_FACTOR = 4.0
# Daemons whose processor capacity is larger by this factor have precedence.
LARGER_FACTOR = 1.2


@frozen
class Candidacy:
    """A daemon's place among those that may become the scheduler."""

    larger_daemons: int = 0
    position: int = 0

    @property
    def interval_factor(self) -> float:
        """Factor on the interval between reads of the lease."""
        return 1.0 if self.position < MAX_CANDIDATES else RESERVE_FACTOR


def find_candidacy(name: str, cores: float, daemons: Mapping[str, float]) -> Candidacy:
    """Return the place of a daemon; ``daemons`` holds the cores by name.

    Daemons with more processor capacity come first. Those with the same are
    ordered by a hash of their names, so that the candidates are spread over
    data centres. Daemons that have gone may still be among them.
    """
    others = [
        (-other_cores, _hash(other))
        for other, other_cores in daemons.items()
        if other != name
    ]
    own = (-cores, _hash(name))
    return Candidacy(
        larger_daemons=sum(1 for key, _ in others if -key > cores * LARGER_FACTOR),
        position=sum(1 for key in others if key < own),
    )


def _hash(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()
