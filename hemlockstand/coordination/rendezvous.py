"""Rendezvous hashing: members agree on an owner without a message.

Each name goes to the member with the largest hash of member and name, so that
the loss of a member moves only what it owned::

    >>> owner = choose_owner("ledger", ["entry-1", "entry-2", "entry-3"])
    >>> remaining = {"entry-1", "entry-2", "entry-3"} - {"entry-9"}
    >>> owner == choose_owner("ledger", remaining)
    True
"""

import hashlib
from collections.abc import Iterable


def choose_owner(name: str, members: Iterable[str]) -> str:
    """Return the member that owns the name.

    Raises ``ValueError`` if there is no member.
    """
    return max(members, key=lambda member: _weigh(member, name))


def _weigh(member: str, name: str) -> bytes:
    return hashlib.blake2b(f"{member}/{name}".encode(), digest_size=8).digest()
