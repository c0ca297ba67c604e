"""What may be repeated of a route's requests."""

from enum import StrEnum

__all__ = ["RouteKind"]


class RouteKind(StrEnum):
    """Whether a request may run more than once, and the form of its answer."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
