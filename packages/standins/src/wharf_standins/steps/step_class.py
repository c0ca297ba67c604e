"""A class of requests that need steps."""

from dataclasses import dataclass

from wharf_gateway.model.step import Step

__all__ = ["StepClass"]


@dataclass(frozen=True, slots=True)
class StepClass:
    """Arrival rate and required steps of one class of requests.

    `rate` is in requests per second; `soft_deadline` and `deadline` are in seconds
    from the arrival. `pieces` has, for each step, the mean and maximum number of
    pieces and the share of requests that need the step; `work` has the time of its
    pieces relative to the service's usual time. A late response earns `late_share` of
    the worth.
    """

    name: str
    rate: float
    soft_deadline: float
    deadline: float
    worth: float
    priority: int
    steps: tuple[Step, ...]
    pieces: tuple[tuple[float, int, float], ...]
    work: tuple[float, ...]
    late_share: float = 0.15

    def draw_pieces(self, rng):
        """Return the number of pieces of each step of one request."""
        return tuple(
            min(maximum, max(1, round(rng.lognormvariate(0, 0.4) * mean)))
            if rng.random() < share
            else 0
            for mean, maximum, share in self.pieces
        )
