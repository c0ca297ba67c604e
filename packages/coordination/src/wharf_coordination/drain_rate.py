"""Estimate of how fast a queue drains."""

from dataclasses import dataclass

__all__ = ["DrainRate"]

WEIGHT = 0.1


@dataclass(slots=True)
class DrainRate:
    """Estimate the mean seconds between two starts while calls wait."""

    gap: float = 0.0
    _last_start: float | None = None

    def observe_start(self, now, still_waiting):
        """Record the start of a queued call at `now`."""
        if self._last_start is not None:
            gap = now - self._last_start
            self.gap += WEIGHT * (gap - self.gap)
        self._last_start = now if still_waiting else None

    def wait(self, ahead):
        """Return the expected seconds until `ahead` calls have started.

        >>> DrainRate(gap=0.5).wait(4)
        2.0
        """
        return ahead * self.gap
