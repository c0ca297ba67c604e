"""Delays between tries that grow with each failure and are spread at random."""

from dataclasses import dataclass
from random import Random

__all__ = ["Backoff"]

MAX_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential delay with jitter; `first` and `longest` are in seconds."""

    first: float
    longest: float

    def delay(self, failures, rng: Random) -> float:
        """Return the seconds to wait after `failures` failures in a row.

        >>> 0.5 <= Backoff(first=1.0, longest=8.0).delay(1, Random(1)) <= 1.0
        True
        """
        doublings = min(max(failures - 1, 0), MAX_DOUBLINGS)
        bound = min(self.longest, self.first * 2**doublings)
        return rng.uniform(0.5, 1.0) * bound
