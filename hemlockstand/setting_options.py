"""Declaration of a setting in a settings class."""

from typing import Any

from attrs import NOTHING, field


def option(
    doc: str,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
    secret: bool = False,
    may_be_empty: bool = False,
    default: Any = NOTHING,
) -> Any:
    """Declare a setting with its description and its allowed values.

    An empty number is read as ``None``. ``default`` is that of the class alone;
    a settings file takes its own from the shipped ``defaults.ini``.
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
        },
    )
