"""Result of checking one guarantee."""

from dataclasses import dataclass

__all__ = ["Check"]


@dataclass(frozen=True, slots=True)
class Check:
    """A guarantee, whether the run met it, and the observed result."""

    guarantee: str
    is_met: bool
    observed: str

    def __str__(self):
        mark = "kept  " if self.is_met else "BROKEN"
        return f"{mark}  {self.guarantee}: {self.observed}"
