"""Stand-in of a model engine."""

import asyncio
import json
from dataclasses import dataclass, field
from random import Random

from aiohttp import web

from wharf_daemon.sidecar.upstream_client import (
    ATTEMPT_HEADER,
    CUSTOMER_HEADER,
    INCARNATION_HEADER,
    PIPELINE_HEADER,
    REQUEST_HEADER,
    RESUME_HEADER,
    STAGE_HEADER,
    VERSION_HEADER,
)
from wharf_standins.batch_model import BatchModel
from wharf_standins.engine_reports import EngineReports
from wharf_standins.fault_rule import FaultKind, FaultRule
from wharf_standins.load_meter import LoadMeter
from wharf_standins.order_book import OrderBook
from wharf_standins.prefix_cache import PrefixCache
from wharf_standins.run_record import RunRecord

__all__ = ["Engine"]

MAX_BODY_BYTES = 4 << 20


@dataclass
class Engine:
    """Serve the protocol of docs/UPSTREAMS.md and record all runs in `runs`.

    A response repeats the input, so that the client can check that it belongs to
    its request. `faults` has the rules for fault injection. After a crash the
    engine answers nothing until `restart`.
    """

    name: str
    data_centre: str
    service_time: float = 0.01
    tokens: int = 8
    incarnation: int = 1
    seed: int = 1
    cold_bearable: int = 0
    checks_fencing: bool = False
    runs: list[RunRecord] = field(default_factory=list)
    faults: list[FaultRule] = field(default_factory=list)
    is_down: bool = False
    overloads: int = 0

    def __post_init__(self):
        self.batch = BatchModel(self.service_time, cold_bearable=self.cold_bearable)
        self.cache = PrefixCache(rng=Random(self.seed))
        self.orders = OrderBook(self.checks_fencing)
        self.load = LoadMeter()
        self._rng = Random(self.seed)
        self._transports = set()

    def application(self):
        """Return the aiohttp application of the upstream's protocol."""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._track_connection]
        )
        application.router.add_post("/v1/run", self._run)
        application.router.add_post("/v1/stream", self._stream)
        EngineReports(self).add_to(application)
        return application

    def crash(self):
        """Abort all connections and answer nothing until `restart`."""
        self.is_down = True
        for transport in tuple(self._transports):
            transport.abort()

    def restart(self):
        """Start a new incarnation, cold and with an empty cache."""
        self.is_down = False
        self.incarnation += 1
        self.cache.clear()
        self.batch.turn_cold()

    @web.middleware
    async def _track_connection(self, http, handler):
        if self.is_down:
            http.transport.abort()
        transport = http.transport
        self._transports.add(transport)
        try:
            return await handler(http)
        finally:
            self._transports.discard(transport)

    async def _run(self, http):
        body = await http.read()
        if refused := self._refusal_response(http):
            return refused
        record = self._begin(http, body)
        try:
            fault = self._matching_fault(record)
            await self._work(record, fault, body)
            if response := self._failure_response(record, fault):
                return response
            self._complete(record)
            if fault and fault.kind is FaultKind.CUT:
                http.transport.abort()
            if fault and fault.kind is FaultKind.GARBLE:
                return web.Response(text="}{", headers=self._headers())
            answer = {"by": self.name, "echo": record.input}
            return web.json_response(answer, headers=self._headers())
        finally:
            self._end(record)

    async def _stream(self, http):
        body = await http.read()
        if refused := self._refusal_response(http):
            return refused
        record = self._begin(http, body)
        try:
            fault = self._matching_fault(record)
            if fault and fault.kind is FaultKind.CRASH:
                self.crash()
            response = self._failure_response(record, fault)
            if response:
                return response
            return await self._generate(http, record, fault, body)
        finally:
            self._end(record)

    async def _generate(self, http, record, fault, body):
        response = web.StreamResponse(headers=self._headers())
        await response.prepare(http)
        begin = int(http.headers.get(RESUME_HEADER, "0"))
        tokens = self.tokens
        step = self._seconds(record, fault, body) / tokens
        is_cut = fault is not None and fault.kind is FaultKind.CUT
        for number in range(begin, tokens):
            await asyncio.sleep(step)
            if is_cut and number >= tokens // 2:
                http.transport.abort()
                return response
            text = json.dumps(record.input) if number == 0 else f" {number}"
            await response.write(json.dumps({"text": text}).encode() + b"\n")
        self._complete(record)
        count = max(0, tokens - begin)
        await response.write(json.dumps({"end": count}).encode() + b"\n")
        return response

    def _refusal_response(self, http):
        version = http.headers[VERSION_HEADER]
        if self.orders.serves(version):
            return None
        text = f"version {version} is not loaded"
        return web.Response(status=503, text=text, headers=self._headers())

    def _begin(self, http, body):
        now = self._now()
        self.load.change(1, now)
        record = RunRecord(
            upstream=self.name,
            data_centre=self.data_centre,
            attempt=http.headers[ATTEMPT_HEADER],
            request=http.headers[REQUEST_HEADER],
            version=http.headers[VERSION_HEADER],
            begin=now,
            route=http.headers.get(PIPELINE_HEADER, ""),
            stage=http.headers.get(STAGE_HEADER, ""),
            customer=http.headers.get(CUSTOMER_HEADER, ""),
            incarnation=self.incarnation,
            running=self.load.running,
            input=json.loads(body)["input"],
        )
        self.runs.append(record)
        return record

    def _end(self, record):
        record.end = self._now()
        self.load.change(-1, record.end)

    def _complete(self, record):
        if self.is_down or record.incarnation != self.incarnation:
            return
        record.completed = True
        self.batch.completed += 1

    def _matching_fault(self, record):
        matching = (rule for rule in self.faults if rule.matches(record, self._rng))
        return next(matching, None)

    async def _work(self, record, fault, body):
        if fault and fault.kind is FaultKind.REFUSE:
            return
        await asyncio.sleep(self._seconds(record, fault, body))
        if fault and fault.kind is FaultKind.CRASH:
            self.crash()

    def _seconds(self, record, fault, body):
        cached = self.cache.use(body, record.begin)
        seconds = self.batch.duration(record.running, cached)
        if fault and fault.kind is FaultKind.SLOW:
            seconds *= fault.factor
        return seconds

    def _failure_response(self, record, fault):
        if fault and fault.kind is FaultKind.REFUSE:
            self.runs.remove(record)
            return web.Response(status=503, text="busy", headers=self._headers())
        if fault and fault.kind is FaultKind.FAIL:
            return web.Response(status=500, text="failed", headers=self._headers())
        if self.batch.is_overloaded(record.running):
            self.overloads += 1
            text = "overloaded while cold"
            return web.Response(status=500, text=text, headers=self._headers())
        return None

    def _headers(self):
        return {INCARNATION_HEADER: f"{self.name}-{self.incarnation}"}

    def _now(self):
        return asyncio.get_running_loop().time()
