"""The result of a piece."""

from dataclasses import dataclass

__all__ = ["PieceResult"]


@dataclass(frozen=True, slots=True)
class PieceResult:
    """The handle of a result that an upstream keeps, or the reason of the failure."""

    handle: str | None = None
    reason: str | None = None
