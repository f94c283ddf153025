"""Declaration of a setting in a settings class."""

from collections.abc import Callable
from typing import Any

from attrs import NOTHING, field, frozen

from hemlockstand.process_limits import DerivedValue


@frozen
class StandIn:
    """What stands in for an optional setting that is not given.

    ``doc`` says it for the settings page.
    """

    doc: str
    derive: Callable[[], DerivedValue | None]


def option(
    doc: str,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
    secret: bool = False,
    may_be_empty: bool = False,
    default: Any = NOTHING,
    stand_in: StandIn | None = None,
) -> Any:
    """Declare a setting with its description and its allowed values.

    An empty number is read as ``None``. ``default`` is that of the class alone;
    a settings file takes its own from the shipped ``defaults.ini``. An option
    with a ``stand_in`` is not given if it is empty: a template gives that for a
    field that the deployment lacks.
    """
    return field(
        default=default,
        metadata={
            "doc": doc,
            "minimum": minimum,
            "maximum": maximum,
            "choices": choices,
            "secret": secret,
            "may_be_empty": may_be_empty,
            "stand_in": stand_in,
        },
    )
