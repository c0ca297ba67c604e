"""Errors of calls to the platform's store."""

from dataclasses import dataclass

__all__ = ["Conflict", "StoreError", "Unavailable", "UnknownOutcome"]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional write was rejected: the object now has `version`."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """A call had no effect: it was refused, rate-limited or never arrived."""

    key: str
    detail: str


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The response to a write was lost; the write may have taken effect."""

    key: str
    detail: str


StoreError = Conflict | Unavailable | UnknownOutcome
