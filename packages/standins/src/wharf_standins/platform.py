"""Stand-in of the platform's service; docs/PLATFORM.md has its protocol."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from aiohttp import web

from wharf_platform import CallKind
from wharf_platform.object_client import CONDITION_HEADER, ERA_HEADER, VERSION_HEADER
from wharf_standins.host_list import HostList
from wharf_standins.rate_limit import RateLimit

__all__ = ["Platform"]

MAX_VALUE_BYTES = 1 << 20
WRITES_PER_SECOND = 400.0
READS_PER_SECOND = 2000.0
MAX_WATCH_SECONDS = 60.0


@dataclass
class Platform:
    """Store objects in memory, with the platform's rate limits.

    Faults to inject: `down` answers 503, `delay` and `delay_spread` slow each
    call (seconds), `lose_answers` is the probability that the response to a write
    is lost after it took effect. `restore` puts a copy back, which begins the next
    `era`: versions are given out again, and a watch from one that the copy doesn't
    have gets 410.
    """

    down: bool = False
    lose_answers: float = 0.0
    delay: float = 0.0
    delay_spread: float = 0.0
    writes_per_second: float = WRITES_PER_SECOND
    reads_per_second: float = READS_PER_SECOND
    seed: int = 1
    hosts: HostList = field(default_factory=HostList)
    object_by_key: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    calls_by_kind: Counter = field(default_factory=Counter)
    refused_by_kind: Counter = field(default_factory=Counter)
    written_bytes: int = 0
    era: int = 0

    def __post_init__(self):
        self._changed = asyncio.Condition()
        self._rng = Random(self.seed)
        self._writes = RateLimit(self.writes_per_second)
        self._reads = RateLimit(self.reads_per_second)
        # Versions never repeat within an era, even if a key is created again.
        self._last_version = 0

    def application(self):
        """Return the aiohttp application of the object API."""
        application = web.Application(client_max_size=MAX_VALUE_BYTES)
        application.on_response_prepare.append(self._add_era)
        application.router.add_get("/v1/objects", self._list)
        application.router.add_get("/v1/objects/{key:.+}", self._get)
        application.router.add_post("/v1/objects/{key:.+}", self._put)
        application.router.add_post("/v1/deletions/{key:.+}", self._delete)
        application.router.add_get("/v1/hosts", self._list_hosts)
        return application

    async def wake_watches(self):
        """Make waiting watches check the injected faults again."""
        async with self._changed:
            self._changed.notify_all()

    def copy(self):
        """Return a copy of all objects for `restore`."""
        return self._last_version, dict(self.object_by_key)

    async def restore(self, copy):
        """Replace all objects by a copy, as a service does after a loss."""
        self.era += 1
        self._last_version, objects = copy
        self.object_by_key = dict(objects)
        await self.wake_watches()

    async def _add_era(self, request, response):
        response.headers[ERA_HEADER] = str(self.era)

    async def _get(self, request):
        key = request.match_info["key"]
        after = request.query.get("after")
        refusal = await self._admit(CallKind.READ if after is None else CallKind.WATCH)
        if refusal:
            return refusal
        if after is not None:
            if int(after) > self._last_version:
                return web.Response(status=410)
            seconds = min(float(request.query["wait"]), MAX_WATCH_SECONDS)
            await self._wait(key, int(after), seconds)
        if self.down:
            return web.Response(status=503)
        version, value = self.object_by_key.get(key, (0, b""))
        headers = {VERSION_HEADER: str(version)}
        if version == 0:
            return web.Response(status=404, headers=headers)
        return web.Response(body=value, headers=headers)

    async def _list(self, request):
        refusal = await self._admit(CallKind.LIST)
        if refusal:
            return refusal
        prefix = request.query["prefix"]
        versions = {
            key: version
            for key, (version, _) in sorted(self.object_by_key.items())
            if key.startswith(prefix)
        }
        return web.json_response(versions)

    async def _list_hosts(self, request):
        refusal = await self._admit(CallKind.HOSTS)
        if refusal:
            return refusal
        hosts = self.hosts.shown(self._now())
        return web.json_response([host.model_dump() for host in hosts])

    async def _put(self, request):
        try:
            value = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return web.Response(status=413)
        self.written_bytes += len(value)
        return await self._write(request, CallKind.WRITE, value)

    async def _delete(self, request):
        return await self._write(request, CallKind.DELETE, None)

    async def _write(self, request, kind, value):
        refusal = await self._admit(kind)
        if refusal:
            return refusal
        key = request.match_info["key"]
        version = self.object_by_key.get(key, (0, b""))[0]
        if request.headers.get(CONDITION_HEADER) != str(version):
            return web.Response(status=409, headers={VERSION_HEADER: str(version)})
        self._last_version += 1
        if value is None:
            self.object_by_key.pop(key, None)
        else:
            self.object_by_key[key] = (self._last_version, value)
        async with self._changed:
            self._changed.notify_all()
        if self._rng.random() < self.lose_answers:
            request.transport.abort()
        return web.Response(headers={VERSION_HEADER: str(self._last_version)})

    async def _admit(self, kind):
        self.calls_by_kind[kind] += 1
        if self.delay or self.delay_spread:
            await asyncio.sleep(self.delay + self._rng.random() * self.delay_spread)
        if self.down:
            return web.Response(status=503)
        is_write = kind in (CallKind.WRITE, CallKind.DELETE)
        limit = self._writes if is_write else self._reads
        if limit.permits(self._now()):
            return None
        self.refused_by_kind[kind] += 1
        return web.Response(status=429)

    async def _wait(self, key, after, seconds):
        def is_newer():
            return self.down or self.object_by_key.get(key, (0,))[0] != after

        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(is_newer), seconds)
            except TimeoutError:
                return

    def _now(self):
        return asyncio.get_running_loop().time()
