"""Ways in which a call of the platform's store can fail."""

from dataclasses import dataclass

__all__ = ["Conflict", "StoreError", "Unavailable", "UnknownOutcome"]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional update lost: the object now has `version`."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not take effect on the call: refused, limited or unreachable."""

    key: str
    detail: str


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The answer of a write was lost; it may have taken effect."""

    key: str
    detail: str


StoreError = Conflict | Unavailable | UnknownOutcome
