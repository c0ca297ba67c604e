"""Queue of a pool's calls that wait for upstream capacity."""

from dataclasses import dataclass, field

from wharf_coordination import DrainRate, FairQueue

__all__ = ["PoolQueue"]


@dataclass(slots=True)
class PoolQueue:
    """A pool's queue and the rate at which its calls are started."""

    calls: FairQueue
    rate: DrainRate = field(default_factory=DrainRate)

    def estimated_wait(self, call):
        """Return the estimated wait of `call` in seconds if it were queued now."""
        return self.rate.wait(self.calls.ahead_of(call))

    def start(self, call, now):
        """Remove a call that is being started and update the rate."""
        self.calls.start(call)
        self.rate.observe_start(now, still_waiting=len(self.calls) > 0)
