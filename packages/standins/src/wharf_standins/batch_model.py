"""How long a run takes on a stand-in engine, and when a cold one fails."""

from dataclasses import dataclass

__all__ = ["BatchModel"]

CACHE_HIT_FACTOR = 0.5


@dataclass
class BatchModel:
    """Continuous batching: the service time grows with the runs at a time.

    An engine is cold until it has completed `warm_after` runs. While cold, each
    run is `cold_factor` times slower, and more than `cold_bearable` runs at a time
    are `overload_factor` times slower and fail; with `cold_bearable` 0 the engine
    is always warm.
    """

    service_time: float = 0.01
    slope: float = 0.02
    cold_bearable: int = 0
    cold_factor: float = 1.0
    overload_factor: float = 4.0
    warm_after: int = 20
    completed: int = 0

    @property
    def is_cold(self):
        """Return whether the engine bears only little."""
        return self.cold_bearable > 0 and self.completed < self.warm_after

    def is_overloaded(self, running):
        """Return whether a run fails because the engine is cold."""
        return self.is_cold and running > self.cold_bearable

    def duration(self, running, cached):
        """Return the seconds of a run that starts as one of `running`.

        >>> BatchModel(service_time=1.0, slope=0.5).duration(3, cached=False)
        2.0
        """
        seconds = self.service_time * (1 + self.slope * (running - 1))
        if cached:
            seconds *= CACHE_HIT_FACTOR
        if self.is_cold:
            seconds *= self.cold_factor
        if self.is_overloaded(running):
            seconds *= self.overload_factor
        return seconds

    def turn_cold(self):
        """Forget all warmth."""
        self.completed = 0
