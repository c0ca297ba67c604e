"""Sending of orders to upstreams through their sidecars."""

from result import Err, Result

from wharf_coordination import Code, Refusal
from wharf_daemon.entry.pending_replies import PendingReplies
from wharf_wire import Order

__all__ = ["OrderSender"]

RESULT_TIMEOUT_SECONDS = 10.0


class OrderSender:
    """Send orders over the links of this entry."""

    def __init__(self, links, feed, replies: PendingReplies):
        self._links = links
        self._feed = feed
        self._replies = replies

    async def send(
        self, upstream, operation, subject, fencing
    ) -> Result[None, Refusal]:
        """Send an order to `upstream` and return its result.

        An order with an unknown outcome may be sent again: orders name the
        desired state and are idempotent.
        """
        upstream_settings = self._feed.document.folder.upstreams.get(upstream)
        if upstream_settings is None:
            return Err(Refusal.not_run(Code.NOT_FOUND, f"upstream {upstream!r}"))
        link = self._links.by_address.get(upstream_settings.address)
        if link is None or not link.is_open:
            return Err(Refusal.not_run(Code.LINK_LOST, f"no link to {upstream!r}"))
        order = Order(self._replies.next_id(), operation, subject, fencing)
        reply = await self._replies.request(link, order, RESULT_TIMEOUT_SECONDS)
        if reply is None:
            detail = f"no result for order {order.id}"
            return Err(Refusal.unknown(Code.UNKNOWN_OUTCOME, detail))
        return reply.to_result()
