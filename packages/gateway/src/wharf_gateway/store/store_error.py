"""Failures of calls to the platform's store."""

from dataclasses import dataclass

__all__ = ["HistoryGone", "StoreUnavailable"]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The call wasn't answered, or was refused with `status`."""

    detail: str
    status: int | None = None


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store has dropped the history that a watch asked for."""
