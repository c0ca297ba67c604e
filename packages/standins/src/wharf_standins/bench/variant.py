"""Routing policies that the benchmark compares."""

from dataclasses import dataclass, field
from enum import StrEnum

from wharf_coordination import Candidate, ConcurrencyLimiter
from wharf_daemon.entry.policy import EntryPolicy

__all__ = ["Variant"]

UNBOUNDED = 10_000


class Variant(StrEnum):
    """The project's own policy and the two baselines."""

    OWN = "own"
    ROUND_ROBIN = "round-robin"
    LEAST_IN_FLIGHT = "least-in-flight"

    def entry_policy(self, rng, data_centre):
        """Return the policy of an entry."""
        match self:
            case Variant.OWN:
                return EntryPolicy.standard(rng, data_centre)
            case Variant.ROUND_ROBIN:
                return EntryPolicy.baseline(_RoundRobin())
            case Variant.LEAST_IN_FLIGHT:
                return EntryPolicy.baseline(_LeastInFlight())

    def limiter(self):
        """Return the limiter of a sidecar, or None for the standard one."""
        if self is Variant.OWN:
            return None
        return _UnboundedLimiter(UNBOUNDED, UNBOUNDED)


@dataclass
class _RoundRobin:
    """Select the upstreams of each pool in turn."""

    turn_by_pool: dict[str, int] = field(default_factory=dict)

    def choose(self, candidates, now, prefix="") -> Candidate | None:
        """Return the next candidate in the order of the names."""
        if not candidates:
            return None
        ordered = sorted(candidates, key=lambda candidate: candidate.upstream)
        pool = ordered[0].upstream.rpartition("-")[0]
        turn = self.turn_by_pool[pool] = self.turn_by_pool.get(pool, -1) + 1
        return ordered[turn % len(ordered)]


@dataclass
class _LeastInFlight:
    """Choose the candidate with the fewest calls in flight."""

    def choose(self, candidates, now, prefix="") -> Candidate | None:
        """Return the least loaded candidate."""
        return min(candidates, key=lambda each: each.in_flight, default=None)


class _UnboundedLimiter(ConcurrencyLimiter):
    """A limiter that admits all calls."""

    def _bound(self, priority, now):
        return UNBOUNDED

    def configure(self, cold_limit, max_limit, warm_calls=0):
        """Ignore the configured limits."""
