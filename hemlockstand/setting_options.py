"""Declaration of a setting in a settings class."""

from typing import Any

from attrs import field


def option(
    doc: str,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
    secret: bool = False,
    may_be_empty: bool = False,
) -> Any:
    """Declare a setting with its description and its allowed values."""
    return field(
        metadata={
            "doc": doc,
            "minimum": minimum,
            "maximum": maximum,
            "choices": choices,
            "secret": secret,
            "may_be_empty": may_be_empty,
        }
    )
