"""Why a request's steps gave no results."""

from dataclasses import dataclass

__all__ = ["PreparationFailure"]


@dataclass(frozen=True, slots=True)
class PreparationFailure:
    """A reason, and the seconds after which there should be room."""

    reason: str
    retry_after: float = 0.5
