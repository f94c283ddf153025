"""The request as the services of a daemon pass it on."""

from collections.abc import Mapping

from attrs import field, frozen


@frozen
class Request:
    """A caller's request that has passed admission.

    ``deadline`` is a ``trio.current_time()`` value of this process.
    ``trace_headers`` holds the W3C headers of the hop before. ``key`` is the
    name of the key that was presented, or ``None`` on an open queue.
    """

    id: str
    team: str
    queue: str
    deadline: float
    body: bytes = field(repr=False)
    content_type: str
    trace_headers: Mapping[str, str]
    key: str | None = None
