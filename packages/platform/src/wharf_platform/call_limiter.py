"""Client-side limit of one process's calls to the platform's API."""

import asyncio
from collections import Counter
from random import Random

from reactivex.subject import Subject

from wharf_coordination import CircuitBreaker, RateLimiter

__all__ = ["CallLimiter"]


class CallLimiter:
    """Rate limit and circuit breaker for calls to the platform.

    Admits calls at the rate of `rate_limiter`. While `breaker` is open, only its
    probes are admitted. An admitted call is counted in `calls_by_kind` and published
    to the subscribers of `calls`; a rejected one is counted in `rejected_by_kind`.
    """

    def __init__(self, rng=None, rate_limiter=None, breaker=None):
        self.rate_limiter = rate_limiter or RateLimiter()
        self.breaker = breaker or CircuitBreaker()
        self.calls_by_kind = Counter()
        self.rejected_by_kind = Counter()
        self.calls = Subject()
        self._rng = rng or Random()

    async def acquire(self, kind) -> str:
        """Wait for the rate limit; return why the call is rejected, or ''."""
        now = self._now()
        if not self.breaker.allow(now, self._rng):
            return self._reject(kind, "circuit breaker is open after failed calls")
        wait = self.rate_limiter.reserve(now)
        if wait is None:
            return self._reject(kind, "rate limit of calls is exceeded")
        if wait:
            await asyncio.sleep(wait)
        self.calls_by_kind[kind] += 1
        self.calls.on_next(kind)
        return ""

    def record_success(self):
        """Record that the platform processed a call, whatever the result."""
        self.breaker.record_success()

    def record_failure(self):
        """Record a call that the platform refused or did not answer."""
        now = self._now()
        self.breaker.record_failure(now, self._rng)
        self.rate_limiter.slow_down(now)

    def _reject(self, kind, reason):
        self.rejected_by_kind[kind] += 1
        return reason

    def _now(self):
        return asyncio.get_running_loop().time()
