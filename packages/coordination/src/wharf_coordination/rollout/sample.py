"""The outcome of one attempt, as evidence about a version."""

from dataclasses import dataclass

from wharf_coordination.rollout.route import Route

__all__ = ["Sample"]


@dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of an attempt; `in_flight` is its upstream's load at the start.

    `elapsed` and `ended_at` are in seconds. `is_cold` says that the upstream had
    started lately and was still slow for that reason.
    """

    route: Route
    version: str
    in_flight: int
    failed: bool
    elapsed: float
    ended_at: float
    is_cold: bool = False
