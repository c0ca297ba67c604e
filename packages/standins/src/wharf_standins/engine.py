"""Stand-in of a model engine or of a plain service."""

import asyncio
import json
from dataclasses import dataclass, field

from aiohttp import web

from wharf_daemon.sidecar.upstream_client import (
    ATTEMPT_HEADER,
    INCARNATION_HEADER,
    REQUEST_HEADER,
    RESUME_HEADER,
    VERSION_HEADER,
)
from wharf_standins.run_record import RunRecord

__all__ = ["Engine"]


@dataclass
class Engine:
    """Answer each call after `service_time` seconds and record what ran.

    The answer repeats the caller's input, so that a caller can check that it is
    its own.
    """

    name: str
    data_centre: str
    service_time: float = 0.01
    tokens: int = 8
    incarnation: int = 1
    runs: list[RunRecord] = field(default_factory=list)

    def application(self):
        """Return the aiohttp application of the upstream's protocol."""
        application = web.Application(client_max_size=4 << 20)
        application.router.add_post("/v1/run", self._run)
        application.router.add_post("/v1/stream", self._stream)
        return application

    async def _run(self, http):
        record = self._begin(http)
        body = await http.json()
        await asyncio.sleep(self.service_time)
        self._end(record)
        answer = {"by": self.name, "echo": body["input"]}
        return web.json_response(answer, headers=self._headers())

    async def _stream(self, http):
        record = self._begin(http)
        body = await http.json()
        response = web.StreamResponse(headers=self._headers())
        await response.prepare(http)
        begin = int(http.headers[RESUME_HEADER])
        for number in range(begin, self.tokens):
            await asyncio.sleep(self.service_time / self.tokens)
            text = json.dumps(body["input"]) if number == 0 else f" {number}"
            await response.write(json.dumps({"text": text}).encode() + b"\n")
        self._end(record)
        count = max(0, self.tokens - begin)
        await response.write(json.dumps({"end": count}).encode() + b"\n")
        return response

    def _begin(self, http):
        record = RunRecord(
            upstream=self.name,
            data_centre=self.data_centre,
            attempt=http.headers[ATTEMPT_HEADER],
            request=http.headers[REQUEST_HEADER],
            version=http.headers[VERSION_HEADER],
            begin=asyncio.get_running_loop().time(),
        )
        self.runs.append(record)
        return record

    def _end(self, record):
        record.end = asyncio.get_running_loop().time()
        record.completed = True

    def _headers(self):
        return {INCARNATION_HEADER: f"{self.name}-{self.incarnation}"}
