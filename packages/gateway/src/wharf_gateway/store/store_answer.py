"""An answer of the platform's store."""

from dataclasses import dataclass

__all__ = ["StoreAnswer"]


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """The body of an answer, and the era that it names, or None."""

    era: int | None
    body: bytes
