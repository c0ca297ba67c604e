"""Circuit breaker: reject calls to a failing service, except for single probes."""

from dataclasses import dataclass, field
from random import Random

from wharf_coordination.backoff import Backoff

__all__ = ["CircuitBreaker"]

FAILURES_TO_OPEN = 3
FIRST_DELAY_SECONDS = 0.2
MAX_DELAY_SECONDS = 4.0


@dataclass(slots=True)
class CircuitBreaker:
    """Open after consecutive failures; then allow one probe after each delay."""

    failures_to_open: int = FAILURES_TO_OPEN
    backoff: Backoff = field(
        default_factory=lambda: Backoff(FIRST_DELAY_SECONDS, MAX_DELAY_SECONDS)
    )
    failures: int = 0
    _probe_at: float = 0.0

    @property
    def is_open(self):
        """Return whether only probes are allowed."""
        return self.failures >= self.failures_to_open

    def allow(self, now, rng: Random) -> bool:
        """Return whether a call may be made; if open, that call is the probe.

        >>> breaker = CircuitBreaker(failures_to_open=1)
        >>> breaker.record_failure(now=0.0, rng=Random(1))
        >>> breaker.allow(now=0.0, rng=Random(1)), breaker.allow(1.0, Random(1))
        (False, True)
        """
        if not self.is_open:
            return True
        if now < self._probe_at:
            return False
        self._probe_at = now + self._delay(rng)
        return True

    def record_success(self):
        """Close the breaker after a call that was processed, whatever its result."""
        self.failures = 0

    def record_failure(self, now, rng: Random):
        """Count a call that the service refused or did not answer."""
        self.failures += 1
        self._probe_at = now + self._delay(rng)

    def _delay(self, rng):
        return self.backoff.delay(1 + self.failures - self.failures_to_open, rng)
