"""A small object store with fault injection."""

import asyncio
import json
from collections import deque

from aiohttp import web

from wharf_adapter import names

__all__ = ["SoakStore"]

POLL_SECONDS = 0.02  # of a watch: a tenth of what a client tolerates
COPY_INTERVAL_SECONDS = 0.2
MAX_COPIES = 50


class SoakStore:
    """Store objects by kind and name, with revisions and watches.

    `mode` is one of up, down (answers 503), slow, lost (applies writes without
    answering), silent (doesn't answer) and away (closes connections). A store that is
    restored has the objects and revisions of a copy, and gives out again the revisions
    since; `era`, named in all answers, counts its histories.
    """

    def __init__(self):
        self._object_by_key = {}
        self._history = []
        self._oldest_revision = 0
        self._revision = 1
        self._copies = deque(maxlen=MAX_COPIES)
        self._copier = None
        self.era = 1
        self.mode = "up"
        self.port = None

    async def start(self):
        """Listen on loopback."""
        app = web.Application()
        app.router.add_route("*", names.OBJECTS_PATH + "/{kind}", self._handle)
        app.router.add_route("*", names.OBJECTS_PATH + "/{kind}/{name}", self._handle)
        path = names.OBJECTS_PATH + "/{kind}/{name}/status"
        app.router.add_route("*", path, self._handle)
        app.on_response_prepare.append(self._name_era)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close all connections."""
        if self._copier is not None:
            self._copier.cancel()
        await self._runner.cleanup()

    async def put(self, kind, name, spec):
        """Write an object, or delete it if `spec` is None.

        What changes nothing has no revision of its own.
        """
        known = self._object_by_key.get((kind, name))
        if (known and known["spec"]) == spec:
            return
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

    def names(self, kind):
        """Return the names of the objects of a kind."""
        return {name for k, name in self._object_by_key if k == kind}

    async def until_reachable(self):
        """Wait while the store is away."""
        while self.mode == "away":
            await asyncio.sleep(POLL_SECONDS)

    def keep_copies(self):
        """Keep copies from now on."""
        self._copier = asyncio.create_task(self._keep_copies())

    def copy(self):
        """Keep a copy of the objects and the history."""
        now = asyncio.get_running_loop().time()
        objects, history = dict(self._object_by_key), list(self._history)
        self._copies.append((now, objects, history, self._revision))

    def restore(self, seconds):
        """Go back to the newest copy that is `seconds` old, or else to the oldest."""
        now = asyncio.get_running_loop().time()
        while len(self._copies) > 1 and self._copies[-1][0] > now - seconds:
            self._copies.pop()
        _, objects, history, self._revision = self._copies[-1]
        self._object_by_key, self._history = dict(objects), list(history)
        self._oldest_revision = min(self._oldest_revision, self._revision)
        self.era += 1

    async def _keep_copies(self):
        while True:
            self.copy()
            await asyncio.sleep(COPY_INTERVAL_SECONDS)

    async def _name_era(self, request, response):
        response.headers[names.STORE_ERA] = str(self.era)

    async def _handle(self, request):
        match self.mode:
            case "down":
                return web.Response(status=503)
            case "away":
                request.transport.abort()
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
                while self.mode == "up" and not self._is_decided(kind, since):
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            pass
        if self.mode != "up":
            return web.Response(status=503)
        if not self._oldest_revision <= since <= self._revision:
            return web.Response(status=410)
        events = [
            {"object": stored, "isGone": is_deleted}
            for _, _, stored, is_deleted in self._events(kind, since)
        ]
        return web.json_response({"events": events, "asOf": self._revision})

    def _is_decided(self, kind, since):
        return since > self._revision or self._events(kind, since)

    def _events(self, kind, since):
        return [e for e in self._history if e[0] > since and e[1] == kind]
