"""Sending of orders to upstreams through their sidecars."""

import asyncio
from itertools import count

from result import Err, Result

from wharf_coordination import Code, Refusal
from wharf_wire import Order, OrderResult

__all__ = ["OrderSender"]

RESULT_SECONDS = 10.0


class OrderSender:
    """Give orders over the links of this entry."""

    def __init__(self, links, feed, name):
        self._links = links
        self._feed = feed
        self._name = name
        self._numbers = count()
        self._result_by_id = {}

    async def send(
        self, upstream, operation, subject, fencing
    ) -> Result[None, Refusal]:
        """Return whether `upstream` obeyed, or why not.

        An order with an unknown outcome may be given again: orders name the
        state that is wanted, so giving one twice does no harm.
        """
        settings = self._feed.document.folder.upstreams.get(upstream)
        if settings is None:
            return Err(Refusal.not_run(Code.NOT_FOUND, f"upstream {upstream!r}"))
        link = self._links.by_address.get(settings.address)
        if link is None or not link.is_open:
            return Err(Refusal.not_run(Code.LINK_LOST, f"no link to {upstream!r}"))
        order = Order(
            f"{self._name}/{next(self._numbers)}", operation, subject, fencing
        )
        return await self._send(link, order)

    def resolve(self, message: OrderResult):
        """Hand the result of an order to its sender, if that still waits."""
        result = self._result_by_id.get(message.id)
        if result is not None and not result.done():
            result.set_result(message.to_result())

    async def _send(self, link, order):
        result = asyncio.get_running_loop().create_future()
        self._result_by_id[order.id] = result
        try:
            async with asyncio.timeout(RESULT_SECONDS):
                await link.send(order)
                return await result
        except TimeoutError:
            detail = f"no result of order {order.id}"
            return Err(Refusal.unknown(Code.UNKNOWN_OUTCOME, detail))
        finally:
            del self._result_by_id[order.id]
