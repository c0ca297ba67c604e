"""Load, cache events and orders of a stand-in engine, over HTTP."""

import asyncio
from dataclasses import asdict

from aiohttp import web

__all__ = ["EngineReports"]

ORDERS_SHOWN = 20


class EngineReports:
    """Serve load, cache events and orders by the protocol of docs/UPSTREAMS.md."""

    def __init__(self, engine):
        self._engine = engine

    def add_to(self, application):
        """Add the routes to the engine's application."""
        application.router.add_get("/v1/load", self._load)
        application.router.add_get("/v1/cache-events", self._cache_events)
        application.router.add_get("/v1/orders", self._orders)
        application.router.add_post("/v1/orders", self._order)

    async def _load(self, http):
        engine = self._engine
        report = {
            "running": engine.load.reported(self._now()),
            "incarnation": f"{engine.name}-{engine.incarnation}",
        }
        return web.json_response(report)

    async def _cache_events(self, http):
        after = int(http.query.get("after", "0"))
        return web.json_response(self._engine.cache.events(after, self._now()))

    async def _orders(self, http):
        return web.json_response(self._order_state())

    async def _order(self, http):
        order = await http.json()
        obeyed = self._engine.orders.give(
            order["operation"],
            order.get("subject", ""),
            int(order["fencing"]),
            self._now(),
        )
        return web.json_response(self._order_state(), status=200 if obeyed else 409)

    def _order_state(self):
        book = self._engine.orders
        return {
            "fencing": book.fencing,
            "versions": sorted(book.versions),
            "orders": [asdict(record) for record in book.records[-ORDERS_SHOWN:]],
        }

    def _now(self):
        return asyncio.get_running_loop().time()
