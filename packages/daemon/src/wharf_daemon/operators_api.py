"""HTTP endpoints for operators: health, metrics and the state dump."""

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from wharf_wire.limits import MAX_DOCUMENT_BYTES

__all__ = ["OperatorsApi"]


class OperatorsApi:
    """Serve /livez, /readyz, /metrics and /dump of one daemon.

    `PUT /configuration` passes on a configuration that is already in the store;
    it is adopted only if it is newer than the current one.
    """

    def __init__(self, daemon, metrics):
        self._daemon = daemon
        self._metrics = metrics

    def application(self):
        """Return the aiohttp application with the endpoints."""
        application = web.Application(client_max_size=MAX_DOCUMENT_BYTES)
        application.router.add_get("/livez", self._livez)
        application.router.add_get("/readyz", self._readyz)
        application.router.add_get("/metrics", self._serve_metrics)
        application.router.add_get("/dump", self._dump)
        application.router.add_put("/configuration", self._put_configuration)
        return application

    async def _livez(self, request):
        return web.Response(text="ok\n")

    async def _readyz(self, request):
        if self._daemon.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _serve_metrics(self, request):
        body = generate_latest(self._metrics.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _dump(self, request):
        return web.json_response(self._daemon.dump())

    async def _put_configuration(self, request):
        adopted = self._daemon.feed.adopt(await request.read(), "operator")
        if adopted.is_err():
            return web.json_response({"error": adopted.err()}, status=400)
        return web.json_response({"revision": self._daemon.feed.document.revision})
