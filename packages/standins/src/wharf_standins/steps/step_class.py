"""A kind of request that needs steps."""

from dataclasses import dataclass

from wharf_gateway.model.step import Step

__all__ = ["StepClass"]


@dataclass(frozen=True, slots=True)
class StepClass:
    """Arrivals and needs of one kind of request.

    `rate` is in requests a second, `aim` and `deadline` in seconds from the arrival.
    `pieces` has, for each step, the mean, the most and the share of requests that
    need it; `work` the time of its pieces relative to the service's usual one.
    """

    name: str
    rate: float
    aim: float
    deadline: float
    worth: float
    priority: int
    steps: tuple[Step, ...]
    pieces: tuple[tuple[float, int, float], ...]
    work: tuple[float, ...]

    def draw_pieces(self, rng):
        """Return the number of pieces of each step of one request."""
        return tuple(
            min(most, max(1, round(rng.lognormvariate(0, 0.4) * mean)))
            if rng.random() < share
            else 0
            for mean, most, share in self.pieces
        )
