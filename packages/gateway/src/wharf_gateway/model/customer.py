"""A customer, who holds keys."""

from dataclasses import dataclass

__all__ = ["Customer"]


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer's name and, if it has one, the priority that goes before a route's."""

    name: str
    priority: int | None = None
