"""Rate limit of a service, as a token bucket."""

from dataclasses import dataclass

__all__ = ["RateLimit"]


@dataclass(slots=True)
class RateLimit:
    """Permit `rate` calls per second, with bursts of up to `rate` calls."""

    rate: float
    _tokens: float | None = None
    _updated_at: float = 0.0

    def permits(self, now) -> bool:
        """Return whether a call is permitted at `now`, and count it if so.

        >>> limit = RateLimit(1.0)
        >>> limit.permits(0.0), limit.permits(0.5), limit.permits(1.0)
        (True, False, True)
        """
        available = self.rate if self._tokens is None else self._tokens
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(self.rate, available + elapsed * self.rate)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
