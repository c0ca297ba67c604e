"""Exponential backoff with jitter."""

from dataclasses import dataclass
from random import Random

__all__ = ["Backoff"]

MAX_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class Backoff:
    """Delays from `first` to `longest` seconds that double with each failure."""

    first: float
    longest: float

    def delay(self, failures, rng: Random) -> float:
        """Return the seconds to wait after `failures` consecutive failures.

        >>> 0.5 <= Backoff(first=1.0, longest=8.0).delay(1, Random(1)) <= 1.0
        True
        """
        doublings = min(max(failures - 1, 0), MAX_DOUBLINGS)
        bound = min(self.longest, self.first * 2**doublings)
        return rng.uniform(0.5, 1.0) * bound
