"""Passing of orders to the upstream, under the current fencing number only."""

import asyncio

import structlog
from result import Err, Ok, Result

from wharf_coordination import FencingGuard, Refusal
from wharf_daemon.sidecar.upstream_orders import UpstreamOrders
from wharf_platform import ORDERS_SUBJECT, ObjectClient, read_lease
from wharf_wire import Order

__all__ = ["OrderHandler"]

log = structlog.get_logger(__name__)


class OrderHandler:
    """Check each order against the store's lease, then give it to the upstream.

    Orders go one at a time, so that none overtakes a newer one after its check.
    While the store is down, the highest number seen here decides; a sidecar that
    has seen none passes nothing.
    """

    def __init__(self, client: ObjectClient, upstream: UpstreamOrders):
        self.guard = FencingGuard()
        self._client = client
        self._upstream = upstream
        self._turn = asyncio.Lock()

    async def handle(self, order: Order) -> Result[None, Refusal]:
        """Return whether the upstream obeyed, or why not."""
        async with self._turn:
            await self._learn()
            passed = self.guard.check(order.fencing)
            if passed.is_ok():
                passed = await self._upstream.give(order)
        self._report(order, passed)
        return passed

    async def _learn(self):
        match await read_lease(self._client, ORDERS_SUBJECT):
            case Ok(record):
                self.guard.learn(record.fencing)
            case Err(_):
                pass

    def _report(self, order, passed):
        outcome = "obeyed"
        if passed.is_err():
            outcome = passed.unwrap_err().code.label
        log.info(
            "order",
            operation=order.operation,
            subject=order.subject,
            fencing=order.fencing,
            outcome=outcome,
        )
