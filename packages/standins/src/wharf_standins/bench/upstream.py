"""An upstream whose speed and health depend on its load."""

import asyncio
import json
from dataclasses import dataclass, field

from aiohttp import web

from wharf_daemon.sidecar.upstream_client import (
    INCARNATION_HEADER,
    REQUEST_HEADER,
    RESUME_HEADER,
)
from wharf_standins.bench.request_class import REQUEST_CLASSES

__all__ = ["WARMING_CALLS", "BenchUpstream"]

STEPS = 8
COLD_SLOWDOWN = 3.0
WARMING_CALLS = 10
THRASH_SLOWDOWN = 1.4
BREAKING_FACTOR = 4
RESTART_SECONDS = 1.0
EXCESS_SECONDS = 0.5

_WORK = {kind.name: kind.work_by_stage for kind in REQUEST_CLASSES}


@dataclass
class BenchUpstream:
    """Bear `width` calls at full speed when warm and `cold_limit` when cold.

    More calls share the speed; twice `width` wastes some of it. A cold upstream
    that takes a call above its limit, or a warm one above `BREAKING_FACTOR`
    times its width, falls over: it drops all calls, is away for a time, and
    comes back cold. When a warm one turns cold, the calls already there only
    make it fall over if new ones are added for more than `EXCESS_SECONDS`.
    """

    name: str
    data_centre: str
    width: int
    cold_limit: int
    slowdown: float = 1.0
    incarnation: int = 1
    falls: int = 0
    cold_excess: int = 0
    busy_by_request: dict[str, float] = field(default_factory=dict)
    runs_by_request: dict[str, int] = field(default_factory=dict)
    begins: list[float] = field(default_factory=list)

    def __post_init__(self):
        self._warmth = WARMING_CALLS
        self._away = False
        self._cold_since = 0.0
        self._transports = set()

    def application(self):
        """Return the aiohttp application of the upstream's protocol."""
        application = web.Application(client_max_size=4 << 20)
        application.router.add_post("/v1/run", self._run)
        application.router.add_post("/v1/stream", self._stream)
        return application

    @property
    def is_cold(self):
        """Return whether it still bears only its cold limit."""
        return self._warmth < WARMING_CALLS

    @property
    def in_flight(self):
        """Return the number of calls that run."""
        return len(self._transports)

    def turn_cold(self):
        """Lose all warmth without a sign."""
        self._warmth = 0
        self._cold_since = self._now()

    def go(self):
        """Drop all calls and stay away."""
        self._away = True
        for transport in tuple(self._transports):
            transport.abort()

    async def crash(self):
        """Drop all calls, stay away for a time and come back cold."""
        if self._away:
            return
        self.go()
        await asyncio.sleep(RESTART_SECONDS)
        self.incarnation += 1
        self.turn_cold()
        self._away = False

    async def _run(self, http):
        body = await http.json()
        async with _Running(self, http):
            for _ in range(STEPS):
                await self._step(http, body)
        answer = {"by": self.name, "echo": body["input"]}
        return web.json_response(answer, headers=self._headers())

    async def _stream(self, http):
        body = await http.json()
        begin = int(http.headers[RESUME_HEADER])
        async with _Running(self, http):
            response = web.StreamResponse(headers=self._headers())
            await response.prepare(http)
            for number in range(begin, STEPS):
                await self._step(http, body)
                text = json.dumps(body["input"]) if number == 0 else f" {number}"
                await response.write(json.dumps({"text": text}).encode() + b"\n")
        await response.write(json.dumps({"end": STEPS - begin}).encode() + b"\n")
        return response

    async def _step(self, http, body):
        if http.transport is None:
            raise asyncio.CancelledError
        stage = self.name.rpartition("-")[0]
        work = _WORK[body["input"]["class"]][stage] / STEPS
        seconds = work * self._slowdown()
        await asyncio.sleep(seconds)
        request = http.headers[REQUEST_HEADER]
        slot_seconds = seconds / max(1.0, self.in_flight / self.width)
        busy = self.busy_by_request.get(request, 0.0)
        self.busy_by_request[request] = busy + slot_seconds

    def _slowdown(self):
        crowding = max(1.0, self.in_flight / self.width)
        if self.in_flight > 2 * self.width:
            crowding *= THRASH_SLOWDOWN
        missing = 1.0 - self._warmth / WARMING_CALLS
        coldness = 1.0 + (COLD_SLOWDOWN - 1.0) * missing
        return self.slowdown * crowding * coldness

    def begin(self, http):
        """Take a call; fall over when it is one too many."""
        if self._away:
            raise web.HTTPServiceUnavailable
        self._transports.add(http.transport)
        self.begins.append(self._now())
        request = http.headers[REQUEST_HEADER]
        self.runs_by_request[request] = self.runs_by_request.get(request, 0) + 1
        if self._is_too_much():
            self.falls += 1
            asyncio.ensure_future(self.crash())

    def end(self, http, succeeded):
        """Count a call as ended; each one that succeeds warms a cold upstream."""
        self._transports.discard(http.transport)
        if succeeded:
            self._warmth = min(WARMING_CALLS, self._warmth + 1)

    def _is_too_much(self):
        if not self.is_cold:
            return self.in_flight > BREAKING_FACTOR * self.width
        if self.in_flight <= self.cold_limit:
            return False
        self.cold_excess += 1
        return self._now() - self._cold_since > EXCESS_SECONDS

    def _headers(self):
        return {INCARNATION_HEADER: f"{self.name}-{self.incarnation}"}

    def _now(self):
        return asyncio.get_running_loop().time()


class _Running:
    """Count a call while it runs."""

    def __init__(self, upstream, http):
        self._upstream = upstream
        self._http = http

    async def __aenter__(self):
        self._upstream.begin(self._http)

    async def __aexit__(self, kind, error, traceback):
        self._upstream.end(self._http, kind is None)
