"""Estimate of a duration from recent ones."""

from dataclasses import dataclass

__all__ = ["DurationEstimate"]

# Weights of a new duration, as in TCP's estimate of the round-trip time (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4


@dataclass(slots=True)
class DurationEstimate:
    """Moving mean of durations, and of their distance from it, in seconds.

    >>> estimate = DurationEstimate.first(2.0)
    >>> estimate.add(4.0)
    >>> estimate.mean, estimate.deviation, estimate.upper(2)
    (2.25, 1.25, 4.75)
    """

    mean: float
    deviation: float

    @classmethod
    def first(cls, seconds):
        """Return the estimate after a first duration."""
        return cls(seconds, seconds / 2)

    def add(self, seconds):
        """Update the estimate by a duration."""
        distance = abs(seconds - self.mean)
        self.deviation += DEVIATION_WEIGHT * (distance - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)

    def upper(self, deviations):
        """Return the mean and as many deviations more."""
        return self.mean + deviations * self.deviation
