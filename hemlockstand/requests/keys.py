"""Checks of presented keys against the configuration in force."""

import hmac
from collections.abc import Mapping
from hashlib import sha256

from attrs import define, field

from hemlockstand.model import Key


def hash_key(salt: str, secret: str) -> str:
    """Return the hexadecimal SHA-256 of the salt followed by the secret."""
    return sha256((salt + secret).encode()).hexdigest()


@define
class KeyIndex:
    """The granted keys by team, rebuilt when the configuration changes."""

    _keys: Mapping[str, Key] = field(factory=dict)
    _by_team: dict[str, list[Key]] = field(factory=dict)

    def find(self, keys: Mapping[str, Key], team: str, secret: str) -> Key | None:
        """Return the team's key with this secret, or ``None``.

        All keys of the team are compared, each in constant time, so that the
        duration reveals nothing about a digest.
        """
        if keys is not self._keys:
            self._rebuild(keys)
        found = None
        for key in self._by_team.get(team, ()):
            if hmac.compare_digest(hash_key(key.salt, secret), key.digest):
                found = key
        return found

    def _rebuild(self, keys: Mapping[str, Key]) -> None:
        self._keys = keys
        self._by_team = {}
        for key in keys.values():
            self._by_team.setdefault(key.team, []).append(key)
