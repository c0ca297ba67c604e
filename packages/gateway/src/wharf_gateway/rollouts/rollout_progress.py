"""State of a rollout as one gateway knows it."""

from dataclasses import dataclass

from wharf_gateway.model.rollout_order import RolloutOrder

__all__ = ["RolloutProgress"]

# The driver sends the share ten times a second; without it for this long, the new
# version gets no requests.
SHARE_TTL_SECONDS = 1.0


@dataclass(slots=True)
class RolloutProgress:
    """An order, the time of its start, and the new version's share of requests.

    `received_at` is the time of the last share. Times are those of the event loop, in
    seconds. `stored` is the order as the store shows it; its outcome may be older. It
    is None while the store, since its last restoration, hasn't shown the order.
    `listed_revision` is the order's in the last listing, None if the order has been
    offered since.
    """

    order: RolloutOrder
    began_at: float
    stored: RolloutOrder | None = None
    listed_revision: int | None = None
    share: float = 0.0
    received_at: float = float("-inf")

    def share_at(self, now):
        """Return the share of requests for the new version, 0 if it is outdated."""
        is_known = self.order.is_open and now - self.received_at < SHARE_TTL_SECONDS
        return self.share if is_known else 0.0

    def update_share(self, share, elapsed, now):
        """Record the driver's share and the seconds since it received the order."""
        self.share, self.received_at = share, now
        self.began_at = min(self.began_at, now - elapsed)
