"""What the peers service tells of the other daemons."""

from attrs import frozen


@frozen
class Member:
    """A daemon of the fleet as seen from here."""

    name: str
    incarnation: str
    data_centre: str
    address: str
    alive: bool
    leaving: bool
    configuration_version: int
