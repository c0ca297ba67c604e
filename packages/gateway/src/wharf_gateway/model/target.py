"""A service that a route's requests go to."""

from dataclasses import dataclass

__all__ = ["Target"]


@dataclass(frozen=True, slots=True)
class Target:
    """A service and its share, relative to the route's other targets."""

    service: str
    weight: float = 1.0
