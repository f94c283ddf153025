"""Ids that only the issuing process may use, without access to a table.

An id is ``OWNER.SEQUENCE.MAC``. The MAC covers the team, so an id is not valid
for other teams::

    >>> issuer = IdIssuer("daemon-1", b"secret of the deployment")
    >>> (name,) = issuer.issue("hinge", 1)
    >>> issuer.owner_of("hinge", name), issuer.owner_of("clamp", name)
    ('daemon-1', None)
    >>> issuer.use(name), issuer.use(name)
    (True, False)
"""

import hashlib
import hmac

from attrs import define, field

MAC_BYTES = 16


@define(eq=False)
class IdIssuer:
    """Ids that only the issuing process may use, each at most once.

    An id is ``OWNER.SEQUENCE.MAC``; the MAC covers the team, so an id is not
    valid for other teams. At most ``max_unused`` ids are remembered; older
    ones count as used.
    """

    owner: str
    secret: bytes = field(repr=False)
    max_unused: int = 100_000
    _sequence: int = 0
    _unused: dict[str, None] = field(factory=dict)

    def issue(self, team: str, count: int) -> list[str]:
        """Return new ids for the team."""
        ids = [self._make_id(team) for _ in range(count)]
        self._unused.update(dict.fromkeys(ids))
        while len(self._unused) > self.max_unused:
            del self._unused[next(iter(self._unused))]
        return ids

    def owner_of(self, team: str, request_id: str) -> str | None:
        """Return the owner that issued the id to the team, or None."""
        parts = request_id.rsplit(".", 2)
        if len(parts) != 3:
            return None
        signed = f"{parts[0]}.{parts[1]}"
        if not hmac.compare_digest(self._sign(team, signed), parts[2].encode()):
            return None
        return parts[0]

    def is_unused(self, request_id: str) -> bool:
        """Return whether an id of this owner was certainly never used."""
        return request_id in self._unused

    def use(self, request_id: str) -> bool:
        """Mark an id of this owner as used; return False if it was already."""
        if request_id not in self._unused:
            return False
        del self._unused[request_id]
        return True

    def restore(self, request_id: str) -> None:
        """Make an id usable again whose work was certainly not started."""
        self._unused[request_id] = None

    def _make_id(self, team: str) -> str:
        self._sequence += 1
        signed = f"{self.owner}.{self._sequence}"
        return f"{signed}.{self._sign(team, signed).decode()}"

    def _sign(self, team: str, signed: str) -> bytes:
        message = f"{team}\0{signed}".encode()
        digest = hmac.new(self.secret, message, hashlib.sha256).digest()
        return digest[:MAC_BYTES].hex().encode()
