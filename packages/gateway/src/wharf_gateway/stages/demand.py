"""The work that a preparation needs from each service."""

from dataclasses import dataclass

__all__ = ["Demand"]


@dataclass(frozen=True, slots=True)
class Demand:
    """Pieces for each service, and the expected seconds until they are done.

    `seconds_by_service` counts from the start of the preparation, on upstreams with
    the usual load; `seconds` is the expected duration of the whole preparation.
    """

    pieces_by_service: dict[str, int]
    seconds_by_service: dict[str, float]
    seconds: float

    @classmethod
    def from_plan(cls, plan):
        """Return the demand of a step plan."""
        pieces, seconds = {}, {}
        for index, step in enumerate(plan.steps):
            count = plan.pieces[index]
            if count:
                pieces[step.service] = pieces.get(step.service, 0) + count
                end = plan.seconds_before(index) + plan.seconds[index]
                seconds[step.service] = max(seconds.get(step.service, 0.0), end)
        whole = max(
            (plan.seconds_remaining(index) for index in range(len(plan.steps))),
            default=0.0,
        )
        return cls(pieces, seconds, whole)
