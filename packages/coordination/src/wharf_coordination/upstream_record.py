"""Recent performance of one upstream, as observed by one entry."""

from dataclasses import dataclass

__all__ = ["UpstreamRecord"]

WEIGHT = 0.2
HALF_LIFE_SECONDS = 3.0


@dataclass(slots=True)
class UpstreamRecord:
    """Slowness relative to the pool, and failure rate, both decaying over time.

    A slowness of 1 is that of the pool. Both decay to the values of a normal
    upstream, so that one that was avoided is tried again.
    """

    slowness: float = 1.0
    failure_rate: float = 0.0
    updated_at: float = 0.0

    def observe(self, slowness, failed, now):
        """Record one attempt; `slowness` is None if unknown."""
        self._decay(now)
        self.failure_rate += WEIGHT * (failed - self.failure_rate)
        if slowness is not None:
            self.slowness += WEIGHT * (slowness - self.slowness)

    def slowness_at(self, now):
        """Return the slowness, decayed to `now`."""
        return 1.0 + (self.slowness - 1.0) * self._decay_factor(now)

    def failure_rate_at(self, now):
        """Return the failure rate, decayed to `now`."""
        return self.failure_rate * self._decay_factor(now)

    def _decay(self, now):
        self.slowness = self.slowness_at(now)
        self.failure_rate = self.failure_rate_at(now)
        self.updated_at = now

    def _decay_factor(self, now):
        return 0.5 ** ((now - self.updated_at) / HALF_LIFE_SECONDS)
