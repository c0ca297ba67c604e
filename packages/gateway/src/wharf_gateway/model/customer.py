"""A customer, identified by API keys."""

from dataclasses import dataclass

__all__ = ["Customer"]


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer's name and optional priority, which outranks that of a route."""

    name: str
    priority: int | None = None
