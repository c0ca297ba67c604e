"""What a process has seen of one upstream."""

from dataclasses import dataclass, field

from wharf_gateway.model.upstream import Upstream

__all__ = ["UpstreamState"]

LATENCY_SHARE = 0.2  # of a new sample in the moving mean: about the last ten count
FAILURE_SHARE = 0.2
PACE_SHARE = 0.2
SLOW_PACE_SHARE = 0.5  # one call that takes twice its time is evidence enough
SLOW_RATIO = 2.0
PACE_FADE_SECONDS = 4.0  # slowness on the operators' sheets lasts some seconds
# How long an upstream that failed gets nothing, at first and at most, in seconds: a
# process restarts in about half a second, a crashed host in several.
FIRST_REST_SECONDS = 0.5
LONGEST_REST_SECONDS = 4.0
LOAD_TRUST_SECONDS = 0.5  # after it a reported load tells nothing any more


@dataclass(slots=True, eq=False)
class UpstreamState:
    """Calls in flight, latency and failures; times are the loop's, in seconds.

    `pace` is how long calls take relative to what the configuration lets expect.
    """

    upstream: Upstream
    in_flight: int = 0
    latency: float | None = None
    pace: float = 1.0
    failure_rate: float = 0.0
    resting_until: float = 0.0
    rest: float = FIRST_REST_SECONDS
    reported_load: int = 0
    reported_at: float = float("-inf")
    cold_tokens: float = 1.0
    cold_filled_at: float = field(default=0.0)

    def in_backoff(self, now):
        """Return whether it failed lately and gets nothing for now."""
        return now < self.resting_until

    @property
    def needs_probe(self):
        """Return whether its last call failed, so that the next is a trial."""
        return self.rest > FIRST_REST_SECONDS

    def load(self, now):
        """Return its calls, those of others by its last report included."""
        if now - self.reported_at > LOAD_TRUST_SECONDS:
            return self.in_flight
        return max(self.in_flight, self.reported_load)

    def record_load(self, running, waiting, now):
        """Take the upstream's own word on its load."""
        self.reported_load = running + waiting
        self.reported_at = now

    def record_success(self, seconds):
        """Count an answer."""
        before = self.latency
        self.latency = (
            seconds if before is None else before + LATENCY_SHARE * (seconds - before)
        )
        self.failure_rate *= 1 - FAILURE_SHARE
        self.rest = FIRST_REST_SECONDS

    def record_pace(self, ratio):
        """Take the time of a call relative to what was expected."""
        share = SLOW_PACE_SHARE if ratio > SLOW_RATIO else PACE_SHARE
        self.pace += share * (max(ratio, 1.0) - self.pace)

    def decay_pace(self, seconds):
        """Forget slowness while there is no news, so that it is tried again."""
        self.pace += (1.0 - self.pace) * min(1.0, seconds / PACE_FADE_SECONDS)

    def record_failure(self):
        """Count a failed answer of an upstream that lives."""
        self.failure_rate += FAILURE_SHARE * (1 - self.failure_rate)

    def record_unreachable(self, now):
        """Rest it, for longer each time."""
        self.record_failure()
        self.resting_until = now + self.rest
        self.rest = min(self.rest * 2, LONGEST_REST_SECONDS)

    def take_cold_token(self, rate, now):
        """Return whether a cold upstream may get a request, at `rate` a second."""
        elapsed = now - self.cold_filled_at
        self.cold_filled_at = now
        self.cold_tokens = min(1.0, self.cold_tokens + elapsed * rate)
        if self.cold_tokens < 1.0:
            return False
        self.cold_tokens -= 1.0
        return True
