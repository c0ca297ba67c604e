"""Kinds of routes, by whether their requests may be repeated."""

from enum import StrEnum

__all__ = ["RouteKind"]


class RouteKind(StrEnum):
    """Whether a request may run more than once, or is answered by an event stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
