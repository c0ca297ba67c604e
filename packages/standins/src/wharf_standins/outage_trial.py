"""Simulation of many clients' calls during and after an outage of the store."""

from collections import Counter
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from random import Random

from wharf_coordination import Backoff, CircuitBreaker, RateLimiter
from wharf_standins.rate_limit import RateLimit

__all__ = ["OutageTrial", "outage_trial"]

STORE_CALLS_PER_SECOND = 2400.0
OUTAGE_BEGIN = 10
OUTAGE_END = 70
LAST_SECOND = 130
RETRY = Backoff(first=0.1, longest=2.0)


@dataclass(slots=True)
class _Client:
    """A process that calls the store about every `period` seconds."""

    rng: Random
    period: float
    rate_limiter: RateLimiter = field(default_factory=RateLimiter)
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    failures: int = 0

    def next_delay(self, answered):
        """Return the seconds until this client's next call."""
        self.failures = 0 if answered else self.failures + 1
        if self.failures:
            return RETRY.delay(self.failures, self.rng)
        return self.rng.uniform(0.5, 1.5) * self.period


@dataclass
class OutageTrial:
    """Simulate `clients` that call a store which is down for a minute.

    With `guarded` false, the clients have neither rate limiter nor circuit breaker.
    """

    clients: int
    calls_per_second: float
    guarded: bool = True
    seed: int = 1
    calls_by_second: Counter = field(default_factory=Counter)
    refused_by_second: Counter = field(default_factory=Counter)

    def run(self):
        """Run the simulation and return this trial."""
        rng = Random(self.seed)
        period = self.clients / self.calls_per_second
        clients = [_Client(Random(rng.random()), period) for _ in range(self.clients)]
        limit = RateLimit(STORE_CALLS_PER_SECOND)
        events = [(rng.random() * period, index) for index in range(self.clients)]
        heapify(events)
        while events[0][0] < LAST_SECOND:
            now, index = heappop(events)
            client = clients[index]
            answered = self._try(client, limit, now)
            heappush(events, (now + client.next_delay(answered), index))
        return self

    def peak(self, begin, end):
        """Return the maximum of calls per second from `begin` to `end`."""
        return max(self.calls_by_second[second] for second in range(begin, end))

    def refused(self, begin, end):
        """Return the number of calls refused by the rate limit in `begin` to `end`."""
        return sum(self.refused_by_second[second] for second in range(begin, end))

    def _try(self, client, limit, now):
        if not self.guarded:
            return self._call(limit, now)
        if not client.breaker.allow(now, client.rng):
            return False
        if client.rate_limiter.reserve(now) is None:
            return False
        answered = self._call(limit, now)
        if answered:
            client.breaker.record_success()
        else:
            client.breaker.record_failure(now, client.rng)
            client.rate_limiter.slow_down(now)
        return answered

    def _call(self, limit, now):
        second = int(now)
        self.calls_by_second[second] += 1
        if OUTAGE_BEGIN <= now < OUTAGE_END:
            return False
        if limit.permits(now):
            return True
        self.refused_by_second[second] += 1
        return False


def outage_trial(*, clients: int = 340, rate: float = 1000.0):
    """Show the calls per second before, during and after an outage of a minute.

    :param clients: processes that call the store
    :param rate: calls per second of all clients together
    """
    print(" guard  before  outage   first    peak  refused")
    for guarded in (False, True):
        trial = OutageTrial(clients, rate, guarded).run()
        columns = (
            str(guarded),
            trial.peak(1, OUTAGE_BEGIN),
            trial.peak(OUTAGE_BEGIN + 10, OUTAGE_END),
            trial.calls_by_second[OUTAGE_END],
            trial.peak(OUTAGE_END, LAST_SECOND),
            trial.refused(OUTAGE_END, LAST_SECOND),
        )
        print("  ".join(f"{column!s:>6}" for column in columns))
