"""What a preparation asks of each service."""

from dataclasses import dataclass

__all__ = ["Demand"]


@dataclass(frozen=True, slots=True)
class Demand:
    """Pieces of each service, and the seconds within which they are done.

    `seconds_by_service` runs from the start of the preparation on upstreams that are
    as busy as usual; `seconds` is the time of the whole.
    """

    pieces_by_service: dict[str, int]
    seconds_by_service: dict[str, float]
    seconds: float

    @classmethod
    def of(cls, plan):
        """Return the demand of a step plan."""
        pieces, seconds = {}, {}
        for index, step in enumerate(plan.steps):
            count = plan.pieces[index]
            if count:
                pieces[step.service] = pieces.get(step.service, 0) + count
                end = plan.head(index) + plan.seconds[index]
                seconds[step.service] = max(seconds.get(step.service, 0.0), end)
        whole = max(
            (plan.remaining(index) for index in range(len(plan.steps))), default=0.0
        )
        return cls(pieces, seconds, whole)
