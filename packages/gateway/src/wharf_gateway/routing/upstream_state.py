"""Load, latency and failures of one upstream, as this process observed them."""

from dataclasses import dataclass, field

from wharf_gateway.model.upstream import Upstream
from wharf_gateway.routing.self_report import SelfReport
from wharf_gateway.routing.upstream_limit import UpstreamLimit

__all__ = ["UpstreamState"]

# Weights of a new sample in the exponential moving means.
LATENCY_WEIGHT = 0.2  # the mean covers about the last ten samples
FAILURE_WEIGHT = 0.2
PACE_WEIGHT = 0.2
SLOW_PACE_WEIGHT = 0.5  # a single call over `SLOW_RATIO` is enough evidence
SLOW_RATIO = 2.0
PACE_DECAY_SECONDS = 4.0  # slow phases last some seconds in the operators' scenarios
# A process restarts in about half a second, a crashed host in several seconds.
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
REPORTED_LOAD_TTL_SECONDS = 0.5  # an older report of the load is ignored


@dataclass(slots=True, eq=False)
class UpstreamState:
    """Observed load and health; times are those of the event loop, in seconds.

    `pace` is the moving mean of the duration of calls relative to the expected one,
    at least 1. `failure_rate` is the moving mean of failures. No requests are sent
    before `backoff_until`; the next backoff lasts `backoff_seconds`. `cold_tokens`
    limits the rate of requests while the upstream is cold. `suspects` is the number of
    calls in flight that have lost an upstream before. `limit` is set once the upstream
    has named one. `report` is what this incarnation says of itself. `host_pace` is
    how long work took on the upstream's host at `host_pace_at`, relative to the usual
    time.
    """

    upstream: Upstream
    in_flight: int = 0
    suspects: int = 0
    latency: float | None = None
    pace: float = 1.0
    failure_rate: float = 0.0
    backoff_until: float = 0.0
    backoff_seconds: float = INITIAL_BACKOFF_SECONDS
    reported_load: int = 0
    reported_at: float = float("-inf")
    cold_tokens: float = 1.0
    cold_filled_at: float = field(default=0.0)
    limit: UpstreamLimit | None = None
    report: SelfReport = field(default_factory=SelfReport)
    host_pace: float = 1.0
    host_pace_at: float = float("-inf")

    def in_backoff(self, now):
        """Return whether no requests are sent because of a recent failure."""
        return now < self.backoff_until

    @property
    def needs_probe(self):
        """Return whether the last call failed, so that the next one is a probe."""
        return self.backoff_seconds > INITIAL_BACKOFF_SECONDS

    def load(self, now):
        """Return the number of calls, including other gateways' by a recent report."""
        if now - self.reported_at > REPORTED_LOAD_TTL_SECONDS:
            return self.in_flight
        return max(self.in_flight, self.reported_load)

    def record_load(self, running, waiting, now):
        """Record the load that the upstream reported: running and waiting calls."""
        self.reported_load = running + waiting
        self.reported_at = now

    def record_host_pace(self, pace, now):
        """Record how long work takes on the host, relative to the usual time."""
        self.host_pace, self.host_pace_at = pace, now

    def record_success(self, seconds):
        """Record a successful response and its latency, and reset the backoff."""
        previous = self.latency
        self.latency = (
            seconds
            if previous is None
            else previous + LATENCY_WEIGHT * (seconds - previous)
        )
        self.failure_rate *= 1 - FAILURE_WEIGHT
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS

    def record_pace(self, ratio):
        """Record the duration of a call relative to the expected one."""
        weight = SLOW_PACE_WEIGHT if ratio > SLOW_RATIO else PACE_WEIGHT
        self.pace += weight * (max(ratio, 1.0) - self.pace)

    def decay_pace(self, seconds):
        """Let `pace` return to 1 while the upstream is idle, so that it is used again.

        `seconds` is the time since the last call of this method.
        """
        self.pace += (1.0 - self.pace) * min(1.0, seconds / PACE_DECAY_SECONDS)

    def record_failure(self):
        """Record a failed response of a reachable upstream."""
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)

    def record_unreachable(self, now):
        """Record a failure and start a backoff, twice as long as the last one."""
        self.record_failure()
        self.backoff_until = now + self.backoff_seconds
        self.backoff_seconds = min(self.backoff_seconds * 2, MAX_BACKOFF_SECONDS)

    def limit_wait(self, now):
        """Return the seconds until the upstream takes a request of this gateway.

        It may want no requests for a time, or name a limit.
        """
        seconds = 0.0 if self.report.next_at <= now else self.report.wait(now)
        if self.limit is None or self.limit.rate is None:
            return seconds
        return max(seconds, self.limit.share.wait(now))

    def reserve_send(self, now):
        """Use up the next request; return the seconds until it may be sent."""
        seconds = self.report.reserve(now)
        if self.limit is None or self.limit.rate is None:
            return seconds
        return max(seconds, self.limit.share.reserve(now))

    def take_cold_token(self, rate, now):
        """Take a token if one is available; `rate` tokens are added per second."""
        elapsed = now - self.cold_filled_at
        self.cold_filled_at = now
        self.cold_tokens = min(1.0, self.cold_tokens + elapsed * rate)
        if self.cold_tokens < 1.0:
            return False
        self.cold_tokens -= 1.0
        return True
