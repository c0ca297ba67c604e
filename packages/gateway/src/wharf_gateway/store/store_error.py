"""Failures of calls to the platform's store."""

from dataclasses import dataclass

__all__ = ["HistoryGone", "StoreUnavailable"]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The call failed, or was rejected with the HTTP status `status`."""

    detail: str
    status: int | None = None


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the history after the revision of a watch."""
