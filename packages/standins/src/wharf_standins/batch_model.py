"""Duration of runs on a stand-in engine, and overload of a cold engine."""

from dataclasses import dataclass

__all__ = ["BatchModel"]

CACHE_HIT_FACTOR = 0.5


@dataclass
class BatchModel:
    """Continuous batching: the service time grows with the number of concurrent runs.

    An engine is cold until it has completed `warm_after` runs. While it is cold, a
    run takes `cold_factor` times as long. Runs above `cold_bearable` concurrent ones
    take another `overload_factor` times as long and fail. With `cold_bearable` 0
    the engine is always warm.
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
        """Return whether the engine is cold and so has little capacity."""
        return self.cold_bearable > 0 and self.completed < self.warm_after

    def is_overloaded(self, running):
        """Return whether `running` concurrent runs exceed a cold engine's capacity."""
        return self.is_cold and running > self.cold_bearable

    def duration(self, running, cached):
        """Return the seconds that a run takes as one of `running` concurrent runs.

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
        """Make the engine cold again."""
        self.completed = 0
