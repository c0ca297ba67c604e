"""The outcome of one attempt, as evidence about a version."""

from dataclasses import dataclass

from wharf_coordination.rollout.route import Route

__all__ = ["Sample"]


@dataclass(frozen=True, slots=True)
class Sample:
    """One ended attempt; `in_flight` was its upstream's load when it began.

    `elapsed` and `ended_at` are in seconds.
    """

    route: Route
    version: str
    in_flight: int
    failed: bool
    elapsed: float
    ended_at: float
