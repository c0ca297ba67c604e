"""The result of a piece."""

from dataclasses import dataclass

__all__ = ["PieceResult"]


@dataclass(frozen=True, slots=True)
class PieceResult:
    """A handle, or the reason why there is none."""

    handle: str | None = None
    reason: str | None = None
