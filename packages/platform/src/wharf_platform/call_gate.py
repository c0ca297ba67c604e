"""Limit of the calls that one process makes of the platform."""

import asyncio
from collections import Counter
from random import Random

from reactivex.subject import Subject

from wharf_coordination import CircuitBreaker, RateLimiter

__all__ = ["CallGate"]


class CallGate:
    """Let calls through within the budget, and probes only during an outage.

    Each call made is counted in `calls_by_kind` and published to the
    subscribers of `calls`; a call not made is counted in `held_back_by_kind`.
    """

    def __init__(self, rng=None, budget=None, breaker=None):
        self.budget = budget or RateLimiter()
        self.breaker = breaker or CircuitBreaker()
        self.calls_by_kind = Counter()
        self.held_back_by_kind = Counter()
        self.calls = Subject()
        self._rng = rng or Random()

    async def enter(self, kind) -> str:
        """Wait for the budget; return why the call may not be made, or ''."""
        now = self._now()
        if not self.breaker.allow(now, self._rng):
            return self._hold_back(kind, "the store is failing")
        wait = self.budget.reserve(now)
        if wait is None:
            return self._hold_back(kind, "the call budget is spent")
        if wait:
            await asyncio.sleep(wait)
        self.calls_by_kind[kind] += 1
        self.calls.on_next(kind)
        return ""

    def answered(self):
        """Take note of an answer, whatever it says."""
        self.breaker.record_success()

    def refused(self):
        """Take note of a call that was refused or left without an answer."""
        now = self._now()
        self.breaker.record_failure(now, self._rng)
        self.budget.slow_down(now)

    def _hold_back(self, kind, detail):
        self.held_back_by_kind[kind] += 1
        return detail

    def _now(self):
        return asyncio.get_running_loop().time()
