"""The calls of one pool that wait for an upstream with room."""

from dataclasses import dataclass, field

from wharf_coordination import DrainRate, FairQueue

__all__ = ["PoolQueue"]


@dataclass(slots=True)
class PoolQueue:
    """The queue of one pool and how fast it is served."""

    calls: FairQueue
    rate: DrainRate = field(default_factory=DrainRate)

    def wait(self, call):
        """Return the seconds that `call` would probably wait if added now."""
        return self.rate.wait(self.calls.ahead_of(call))

    def start(self, call, now):
        """Remove a call that starts."""
        self.calls.start(call)
        self.rate.observe_start(now, still_waiting=len(self.calls) > 0)
