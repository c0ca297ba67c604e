"""What a simulated rollout meets beside the new version's own faults."""

from dataclasses import dataclass

__all__ = ["ENVIRONMENTS", "Environment"]


@dataclass(frozen=True, slots=True)
class Environment:
    """Disturbances that both versions meet, and cold upstreams of the new one.

    The machine pauses `pauses_per_second` times a second for up to
    `max_pause_seconds`: calls that run or begin then end later by the pause. `sigma`
    is that of the lognormal time of a call. Each upstream of the new version takes
    `cold_factor` times as long for its first `cold_calls` calls. The rate of calls is
    multiplied by `burst_factor` in the last fifth of each `burst_period` seconds.
    """

    pauses_per_second: float = 0.0
    max_pause_seconds: float = 0.5
    sigma: float = 0.3
    cold_calls: int = 0
    cold_factor: float = 3.0
    burst_period: float = 5.0
    burst_factor: float = 1.0

    def pauses(self, rng, seconds):
        """Return the begin and the end of each pause within `seconds`, in order."""
        found, now = [], 0.0
        while self.pauses_per_second:
            now += rng.expovariate(self.pauses_per_second)
            if now >= seconds:
                break
            end = now + rng.uniform(0.05, self.max_pause_seconds)
            found.append((now, end))
            now = end
        return found

    def rate_factor(self, now):
        """Return by what the usual rate of calls is multiplied at a time.

        >>> Environment(burst_factor=3.0).rate_factor(4.5)
        3.0
        """
        is_burst = now % self.burst_period >= 0.8 * self.burst_period
        return self.burst_factor if is_burst else 1.0


ENVIRONMENTS = {
    "calm": Environment(),
    "pauses": Environment(pauses_per_second=0.5),
    "heavy-tails": Environment(sigma=1.0),
    "cold-upstreams": Environment(cold_calls=3),
    "cold-starts": Environment(cold_calls=10),
    "bursts": Environment(burst_factor=3.0),
    "everything": Environment(
        pauses_per_second=0.5, sigma=1.0, cold_calls=3, burst_factor=2.0
    ),
}
