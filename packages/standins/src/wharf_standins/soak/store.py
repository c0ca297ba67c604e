"""A small object store with fault injection."""

import asyncio
import json

from aiohttp import web

from wharf_adapter import names

__all__ = ["SoakStore"]

POLL_SECONDS = 0.02  # of a watch: a tenth of what a client tolerates


class SoakStore:
    """Store objects by kind and name, with revisions and watches.

    `mode` is one of up, down (answers 503), slow, lost (applies writes without
    answering) and silent (doesn't answer).
    """

    def __init__(self):
        self._object_by_key = {}
        self._history = []
        self._oldest_revision = 0
        self._revision = 1
        self.mode = "up"
        self.port = None

    async def start(self):
        """Listen on loopback."""
        app = web.Application()
        app.router.add_route("*", names.OBJECTS_PATH + "/{kind}", self._handle)
        app.router.add_route("*", names.OBJECTS_PATH + "/{kind}/{name}", self._handle)
        path = names.OBJECTS_PATH + "/{kind}/{name}/status"
        app.router.add_route("*", path, self._handle)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close all connections."""
        await self._runner.cleanup()

    async def put(self, kind, name, spec):
        """Write an object, or delete it if `spec` is None."""
        self._revision += 1
        metadata = {"name": name, "revision": self._revision}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        if spec is None:
            self._object_by_key.pop((kind, name), None)
        else:
            self._object_by_key[kind, name] = stored
        self._history.append((self._revision, kind, stored, spec is None))

    def compact_history(self):
        """Answer 410 to watches from a revision before the current one."""
        self._oldest_revision = self._revision

    async def _handle(self, request):
        match self.mode:
            case "down":
                return web.Response(status=503)
            case "silent":
                await asyncio.sleep(60)
            case "slow":
                await asyncio.sleep(0.6)
        kind, name = request.match_info["kind"], request.match_info.get("name")
        if request.method == "GET":
            return await self._read(kind, request.query)
        if request.method == "DELETE":
            await self.put(kind, name, None)
            return web.json_response({})
        document = json.loads(await request.read())
        name = name or document["metadata"]["name"]
        if request.method == "POST" and (kind, name) in self._object_by_key:
            return web.Response(status=409)
        await self.put(kind, name, document["spec"])
        if self.mode == "lost":
            request.transport.abort()
        return web.json_response(self._object_by_key[kind, name])

    async def _read(self, kind, query):
        if "watch" not in query:
            found = [o for (k, _), o in self._object_by_key.items() if k == kind]
            page = {"entries": found, "hasMore": False, "asOf": self._revision}
            return web.json_response(page)
        since = int(query["watch"])
        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                while self.mode == "up" and not self._events(kind, since):
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            pass
        if self.mode != "up" or since < self._oldest_revision:
            return web.Response(status=503 if self.mode != "up" else 410)
        events = [
            {"object": stored, "isGone": is_deleted}
            for _, _, stored, is_deleted in self._events(kind, since)
        ]
        return web.json_response({"events": events, "asOf": self._revision})

    def _events(self, kind, since):
        return [e for e in self._history if e[0] > since and e[1] == kind]
