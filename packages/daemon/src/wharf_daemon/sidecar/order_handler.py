"""Forwarding of orders to the upstream with a check of the fencing token."""

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
    """Check each order's fencing token and forward it to the upstream.

    Orders are handled one at a time, so that no order reaches the upstream after
    a newer one has passed the check. While the store is unavailable, the highest
    token seen so far is used; a sidecar that has seen none refuses all orders.
    """

    def __init__(self, client: ObjectClient, upstream: UpstreamOrders):
        self.guard = FencingGuard()
        self._client = client
        self._upstream = upstream
        self._lock = asyncio.Lock()

    async def handle(self, order: Order) -> Result[None, Refusal]:
        """Return the upstream's result, or the refusal of a stale order."""
        async with self._lock:
            await self._refresh_token()
            result = self.guard.check(order.fencing)
            if result.is_ok():
                result = await self._upstream.send(order)
        self._log_outcome(order, result)
        return result

    async def _refresh_token(self):
        match await read_lease(self._client, ORDERS_SUBJECT):
            case Ok(record):
                self.guard.learn(record.fencing)
            case Err(_):
                pass

    def _log_outcome(self, order, result):
        outcome = "obeyed"
        if result.is_err():
            outcome = result.unwrap_err().code.label
        log.info(
            "order",
            operation=order.operation,
            subject=order.subject,
            fencing=order.fencing,
            outcome=outcome,
        )
