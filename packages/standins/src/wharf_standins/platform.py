"""Stand-in of the platform's object API."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from wharf_platform.object_client import CONDITION_HEADER, VERSION_HEADER

__all__ = ["Platform"]

MAX_VALUE_BYTES = 1 << 20


@dataclass
class Platform:
    """Keep objects in memory; `down` and `lose_answers` inject faults."""

    down: bool = False
    lose_answers: bool = False
    delay: float = 0.0
    object_by_key: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    calls_by_kind: dict[str, int] = field(default_factory=dict)

    def __post_init__(self):
        self._changed = asyncio.Condition()

    def application(self):
        """Return the aiohttp application of the object API."""
        application = web.Application(client_max_size=MAX_VALUE_BYTES)
        application.router.add_get("/v1/objects/{key:.+}", self._get)
        application.router.add_put("/v1/objects/{key:.+}", self._put)
        return application

    async def _get(self, request):
        key = request.match_info["key"]
        after = request.query.get("after")
        self._count("read" if after is None else "watch")
        await asyncio.sleep(self.delay)
        if self.down:
            return web.Response(status=503)
        if after is not None:
            await self._wait(key, int(after), float(request.query["wait"]))
        version, value = self.object_by_key.get(key, (0, b""))
        headers = {VERSION_HEADER: str(version)}
        if version == 0:
            return web.Response(status=404, headers=headers)
        return web.Response(body=value, headers=headers)

    async def _wait(self, key, after, seconds):
        def is_newer():
            return self.down or self.object_by_key.get(key, (0,))[0] != after

        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(is_newer), seconds)
            except TimeoutError:
                return

    async def _put(self, request):
        key = request.match_info["key"]
        self._count("write")
        value = await request.read()
        await asyncio.sleep(self.delay)
        if self.down:
            return web.Response(status=503)
        version = self.object_by_key.get(key, (0, b""))[0]
        if int(request.headers[CONDITION_HEADER]) != version:
            return web.Response(status=409, headers={VERSION_HEADER: str(version)})
        self.object_by_key[key] = (version + 1, value)
        async with self._changed:
            self._changed.notify_all()
        if self.lose_answers:
            request.transport.abort()
        return web.Response(headers={VERSION_HEADER: str(version + 1)})

    def _count(self, kind):
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
