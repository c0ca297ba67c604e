"""Route: one stage of a pipeline."""

from dataclasses import dataclass

__all__ = ["Route"]


@dataclass(frozen=True, slots=True, order=True)
class Route:
    """A stage of a pipeline; versions are compared on the same route only."""

    pipeline: str
    stage: str

    def __str__(self):
        return f"{self.pipeline}/{self.stage}"
