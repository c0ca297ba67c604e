"""Client-side limit of one process's calls to the platform's API."""

import asyncio
from collections import Counter
from random import Random

from reactivex.subject import Subject

from wharf_coordination import Breaker, CallBudget

__all__ = ["CallLimiter"]


class CallLimiter:
    """Rate limit and circuit breaker for calls to the platform.

    Admits calls within `budget`. While `breaker` is open, only its probes are
    admitted. An admitted call is counted in `calls_by_kind` and published to the
    subscribers of `calls`; a rejected one is counted in `rejected_by_kind`.
    """

    def __init__(self, rng=None, budget=None, breaker=None):
        self.budget = budget or CallBudget()
        self.breaker = breaker or Breaker()
        self.calls_by_kind = Counter()
        self.rejected_by_kind = Counter()
        self.calls = Subject()
        self._rng = rng or Random()

    async def acquire(self, kind) -> str:
        """Wait for the rate limit; return why the call is rejected, or ''."""
        now = self._now()
        if not self.breaker.permits(now, self._rng):
            return self._reject(kind, "circuit breaker is open after failed calls")
        wait = self.budget.reserve(now)
        if wait is None:
            return self._reject(kind, "rate limit of calls is exceeded")
        if wait:
            await asyncio.sleep(wait)
        self.calls_by_kind[kind] += 1
        self.calls.on_next(kind)
        return ""

    def record_success(self):
        """Record that the platform processed a call, whatever the result."""
        self.breaker.succeed()

    def record_failure(self):
        """Record a call that the platform refused or did not answer."""
        now = self._now()
        self.breaker.fail(now, self._rng)
        self.budget.slow_down(now)

    def _reject(self, kind, reason):
        self.rejected_by_kind[kind] += 1
        return reason

    def _now(self):
        return asyncio.get_running_loop().time()
