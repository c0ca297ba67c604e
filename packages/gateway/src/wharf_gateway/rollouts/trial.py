"""What a gateway knows of a rollout under way."""

from dataclasses import dataclass

from wharf_gateway.model.rollout_order import RolloutOrder

__all__ = ["Trial"]

# Without news of the share for this long the new version gets nothing: the one who
# drives tells it ten times a second.
NEWS_SECONDS = 1.0


@dataclass(slots=True)
class Trial:
    """An order, when it began here, and the share that the new version gets.

    Times are the loop's, in seconds.
    """

    order: RolloutOrder
    began_at: float
    share: float = 0.0
    heard_at: float = float("-inf")

    def share_at(self, now):
        """Return the share of requests that go to the new version."""
        is_known = self.order.is_open and now - self.heard_at < NEWS_SECONDS
        return self.share if is_known else 0.0

    def hear(self, share, elapsed, now):
        """Take the share, and how long ago the order came, from who drives it."""
        self.share, self.heard_at = share, now
        self.began_at = min(self.began_at, now - elapsed)
