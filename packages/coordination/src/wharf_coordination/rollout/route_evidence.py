"""Summary of the evidence on one route, as stored in the record."""

from dataclasses import dataclass

__all__ = ["RouteEvidence"]


@dataclass(frozen=True, slots=True)
class RouteEvidence:
    """Recent calls, failures and median seconds of both versions on a route."""

    route: str
    old_calls: int
    old_failures: int
    old_median: float
    new_calls: int
    new_failures: int
    new_median: float
