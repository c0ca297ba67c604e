"""The failure of a preparation."""

from dataclasses import dataclass

__all__ = ["PREPARER_FAILED", "PREPARER_STOPS", "PreparationFailure"]

# The reason if the preparer stops; another one may prepare the request.
PREPARER_STOPS = "preparer stops"
# The reason if an error in the preparer ended the preparation.
PREPARER_FAILED = "preparer failed"


@dataclass(frozen=True, slots=True)
class PreparationFailure:
    """Why there are no results, and the seconds after which to try again."""

    reason: str
    retry_after: float = 0.5
