"""How fast a queue has lately been served."""

from dataclasses import dataclass

__all__ = ["DrainRate"]

WEIGHT = 0.1


@dataclass(slots=True)
class DrainRate:
    """Estimate the seconds between two starts while calls wait."""

    gap: float = 0.0
    _last_start: float | None = None

    def observe_start(self, now, still_waiting):
        """Take a start from the queue into account."""
        if self._last_start is not None:
            gap = now - self._last_start
            self.gap += WEIGHT * (gap - self.gap)
        self._last_start = now if still_waiting else None

    def wait(self, ahead):
        """Return the seconds until `ahead` calls will have been started.

        >>> DrainRate(gap=0.5).wait(4)
        2.0
        """
        return ahead * self.gap
