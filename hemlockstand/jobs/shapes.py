"""Arithmetic on resource shapes: cores, memory and accelerators."""

from collections.abc import Iterable

from hemlockstand.platform.interface import Shape

NO_RESOURCES = Shape(0.0, 0, 0)
ROUNDING_TOLERANCE = 1e-9  # for rounding errors in sums of cores


def add_shapes(shapes: Iterable[Shape]) -> Shape:
    """Return the sum of the shapes."""
    cores, memory_mb, accelerators = 0.0, 0, 0
    for shape in shapes:
        cores += shape.cores
        memory_mb += shape.memory_mb
        accelerators += shape.accelerators
    return Shape(cores, memory_mb, accelerators)


def subtract_shape(whole: Shape, part: Shape) -> Shape:
    """Return the difference of the shapes; resources may become negative."""
    return Shape(
        whole.cores - part.cores,
        whole.memory_mb - part.memory_mb,
        whole.accelerators - part.accelerators,
    )


def fits_within(part: Shape, whole: Shape) -> bool:
    """Return whether every resource of the part is available in the whole."""
    return (
        part.cores <= whole.cores + ROUNDING_TOLERANCE
        and part.memory_mb <= whole.memory_mb
        and part.accelerators <= whole.accelerators
    )


def find_dominant_share(part: Shape, whole: Shape) -> float:
    """Return the largest fraction that the part takes of any resource.

    A resource that the whole does not have counts only if it is asked for,
    and then as infinite::

        >>> find_dominant_share(Shape(4, 8000), Shape(16, 32000))
        0.25
    """
    pairs = (
        (part.cores, whole.cores),
        (part.memory_mb, whole.memory_mb),
        (part.accelerators, whole.accelerators),
    )
    return max(_divide(used, available) for used, available in pairs)


def _divide(used: float, available: float) -> float:
    if used <= 0:
        return 0.0
    return used / available if available > 0 else float("inf")
