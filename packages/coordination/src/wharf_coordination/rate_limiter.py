"""Client-side rate limit for calls of a rate-limited service."""

from dataclasses import dataclass

__all__ = ["RateLimiter"]

MAX_RATE_PER_SECOND = 100.0
MIN_RATE_PER_SECOND = 1.0
RECOVERY_SECONDS = 30.0
MAX_WAIT_SECONDS = 0.5
BURST_SECONDS = 0.5


@dataclass(slots=True)
class RateLimiter:
    """Token bucket whose rate halves on a refusal and recovers linearly.

    Rates are in calls per second. Processes that share one service converge on its
    rate without knowing how many they are.
    """

    max_rate: float = MAX_RATE_PER_SECOND
    min_rate: float = MIN_RATE_PER_SECOND
    recovery: float = RECOVERY_SECONDS
    max_wait: float = MAX_WAIT_SECONDS
    rate: float = 0.0
    _tokens: float = 0.0
    _updated_at: float | None = None

    def __post_init__(self):
        self.rate = self.rate or self.max_rate
        self._tokens = self._burst()

    def reserve(self, now) -> float | None:
        """Reserve a token; return the seconds until it is due, or None if too long.

        >>> limiter = RateLimiter(max_rate=2.0, min_rate=2.0)
        >>> [limiter.reserve(now=0.0) for _ in range(3)]
        [0.0, 0.5, None]
        """
        self._refill(now)
        wait = max(0.0, (1.0 - self._tokens) / self.rate)
        if wait > self.max_wait:
            return None
        self._tokens -= 1.0
        return wait

    def slow_down(self, now):
        """Halve the rate after the service refused a call or did not answer."""
        self._refill(now)
        self.rate = max(self.min_rate, self.rate / 2)
        self._tokens = min(self._tokens, 1.0)

    def _refill(self, now):
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        recovered_rate = self.rate + self.max_rate * elapsed / self.recovery
        self._tokens += self.rate * elapsed
        self.rate = min(self.max_rate, recovered_rate)
        self._tokens = min(self._tokens, self._burst())

    def _burst(self):
        return max(1.0, self.rate * BURST_SECONDS)
