"""An upstream whose speed and failures depend on its load."""

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
OVERLOAD_FACTOR = 4
RESTART_SECONDS = 1.0
EXCESS_SECONDS = 0.5

_WORK = {kind.name: kind.work_by_stage for kind in REQUEST_CLASSES}


@dataclass
class BenchUpstream:
    """Run up to `width` calls at full speed when warm, `cold_limit` when cold.

    More calls share the capacity; above twice `width` some of it is lost. A cold
    upstream with more calls than its limit, or a warm one with more than
    `OVERLOAD_FACTOR` times its width, crashes: it drops all calls, is offline for a
    time and restarts cold. When a warm upstream turns cold, calls above the limit
    make it crash only if new ones arrive more than `EXCESS_SECONDS` later.
    """

    name: str
    data_centre: str
    width: int
    cold_limit: int
    slowdown: float = 1.0
    incarnation: int = 1
    overload_crashes: int = 0
    cold_excess: int = 0
    busy_by_request: dict[str, float] = field(default_factory=dict)
    runs_by_request: dict[str, int] = field(default_factory=dict)
    begin_times: list[float] = field(default_factory=list)

    def __post_init__(self):
        self._warming_calls = WARMING_CALLS
        self._offline = False
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
        """Return whether the upstream is limited to its cold limit."""
        return self._warming_calls < WARMING_CALLS

    @property
    def in_flight(self):
        """Return the number of running calls."""
        return len(self._transports)

    def turn_cold(self):
        """Become cold without a restart or a notice."""
        self._warming_calls = 0
        self._cold_since = self._now()

    def go_offline(self):
        """Drop all calls and reject new ones."""
        self._offline = True
        for transport in tuple(self._transports):
            transport.abort()

    async def crash(self):
        """Drop all calls, stay offline for a time and restart cold."""
        if self._offline:
            return
        self.go_offline()
        await asyncio.sleep(RESTART_SECONDS)
        self.incarnation += 1
        self.turn_cold()
        self._offline = False

    async def _run(self, http):
        body = await http.json()
        async with _RunningCall(self, http):
            for _ in range(STEPS):
                await self._step(http, body)
        answer = {"by": self.name, "echo": body["input"]}
        return web.json_response(answer, headers=self._headers())

    async def _stream(self, http):
        body = await http.json()
        begin = int(http.headers[RESUME_HEADER])
        async with _RunningCall(self, http):
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
        contention = max(1.0, self.in_flight / self.width)
        if self.in_flight > 2 * self.width:
            contention *= THRASH_SLOWDOWN
        missing_warmth = 1.0 - self._warming_calls / WARMING_CALLS
        cold_slowdown = 1.0 + (COLD_SLOWDOWN - 1.0) * missing_warmth
        return self.slowdown * contention * cold_slowdown

    def begin(self, http):
        """Accept a call; crash if the upstream is overloaded."""
        if self._offline:
            raise web.HTTPServiceUnavailable
        self._transports.add(http.transport)
        self.begin_times.append(self._now())
        request = http.headers[REQUEST_HEADER]
        self.runs_by_request[request] = self.runs_by_request.get(request, 0) + 1
        if self._is_overloaded():
            self.overload_crashes += 1
            asyncio.ensure_future(self.crash())

    def end(self, http, succeeded):
        """Remove an ended call; each one that succeeds warms a cold upstream."""
        self._transports.discard(http.transport)
        if succeeded:
            self._warming_calls = min(WARMING_CALLS, self._warming_calls + 1)

    def _is_overloaded(self):
        if not self.is_cold:
            return self.in_flight > OVERLOAD_FACTOR * self.width
        if self.in_flight <= self.cold_limit:
            return False
        self.cold_excess += 1
        return self._now() - self._cold_since > EXCESS_SECONDS

    def _headers(self):
        return {INCARNATION_HEADER: f"{self.name}-{self.incarnation}"}

    def _now(self):
        return asyncio.get_running_loop().time()


class _RunningCall:
    """Context in which a call counts as running."""

    def __init__(self, upstream, http):
        self._upstream = upstream
        self._http = http

    async def __aenter__(self):
        self._upstream.begin(self._http)

    async def __aexit__(self, kind, error, traceback):
        self._upstream.end(self._http, kind is None)
