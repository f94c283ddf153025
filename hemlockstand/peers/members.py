"""The members of the fleet as the peers service reports them."""

from attrs import frozen


@frozen
class Member:
    """Another daemon of the fleet, as this daemon sees it."""

    name: str
    incarnation: str
    data_centre: str
    address: str
    alive: bool
    leaving: bool
    configuration_version: int
