"""Call that waits in an entry for an upstream with free capacity."""

from dataclasses import dataclass

from wharf_coordination.priority import Priority

__all__ = ["QueuedCall"]


@dataclass(eq=False, slots=True)
class QueuedCall:
    """A waiting call, which can't meet its deadline if started after `latest_start`.

    `latest_start` is in seconds of the local monotonic clock. `weight` is the
    customer's relative share and `cost` the expected seconds of upstream time.
    """

    id: str
    customer: str
    priority: Priority
    latest_start: float
    weight: float = 1.0
    cost: float = 1.0
