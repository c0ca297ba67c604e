"""How one upstream has lately served one entry."""

from dataclasses import dataclass

__all__ = ["UpstreamRecord"]

WEIGHT = 0.2
HALF_LIFE_SECONDS = 3.0


@dataclass(slots=True)
class UpstreamRecord:
    """Slowness relative to its pool and the share of failures, both fading.

    A slowness of 1 is that of the pool. Both fade towards an ordinary upstream,
    so that one that was avoided is tried again.
    """

    slowness: float = 1.0
    failure_share: float = 0.0
    seen_at: float = 0.0

    def observe(self, slowness, failed, now):
        """Take one attempt into account; `slowness` is None when it tells none."""
        self._fade(now)
        self.failure_share += WEIGHT * (failed - self.failure_share)
        if slowness is not None:
            self.slowness += WEIGHT * (slowness - self.slowness)

    def slowness_at(self, now):
        """Return the slowness with what faded since."""
        return 1.0 + (self.slowness - 1.0) * self._remaining(now)

    def failure_share_at(self, now):
        """Return the share of failures with what faded since."""
        return self.failure_share * self._remaining(now)

    def _fade(self, now):
        self.slowness = self.slowness_at(now)
        self.failure_share = self.failure_share_at(now)
        self.seen_at = now

    def _remaining(self, now):
        return 0.5 ** ((now - self.seen_at) / HALF_LIFE_SECONDS)
