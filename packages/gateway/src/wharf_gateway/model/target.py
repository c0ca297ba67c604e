"""A service that runs requests of a route."""

from dataclasses import dataclass

__all__ = ["Target"]


@dataclass(frozen=True, slots=True)
class Target:
    """A service and its weight relative to the route's other targets."""

    service: str
    weight: float = 1.0
