"""HTTP endpoint for callers."""

import asyncio
import json

from aiohttp import web
from result import Err, Ok

from wharf_coordination import Code, Refusal
from wharf_daemon.entry.http_status import http_status
from wharf_daemon.entry.request_reader import STREAM_TYPE

__all__ = ["CallerApi"]

CODE_HEADER = "Result-Code"
REQUEST_HEADER = "Request-Id"


class CallerApi:
    """Answer `POST /v1/pipelines/NAME`, whole or as a stream of events."""

    def __init__(self, entry, reader, runner, max_body):
        self._entry = entry
        self._reader = reader
        self._runner = runner
        self._max_body = max_body

    def application(self):
        """Return the aiohttp application with the endpoint."""
        application = web.Application(client_max_size=self._max_body)
        application.router.add_post("/v1/pipelines/{name}", self._post)
        return application

    async def _post(self, http):
        request_id = self._entry.next_request_id()
        with self._entry.request() as admitted:
            if admitted.is_err():
                return self._refused(request_id, admitted.unwrap_err(), "")
            now = asyncio.get_running_loop().time()
            read = await self._reader.read(http, request_id, now)
            if read.is_err():
                return self._refused(request_id, read.unwrap_err(), "")
            request = read.unwrap()
            if request.streaming:
                return await self._stream(http, request)
            return await self._whole(request)

    async def _whole(self, request):
        match await self._runner.run(request):
            case Ok(body):
                self._count(request.pipeline, Code.OK)
                headers = {CODE_HEADER: str(Code.OK), REQUEST_HEADER: request.id}
                return web.Response(
                    body=body, content_type="application/json", headers=headers
                )
            case Err(refusal):
                return self._refused(request.id, refusal, request.pipeline)

    async def _stream(self, http, request):
        response = web.StreamResponse(headers={REQUEST_HEADER: request.id})
        response.content_type = STREAM_TYPE
        sequence = 0

        async def on_chunk(body):
            nonlocal sequence
            if not response.prepared:
                await response.prepare(http)
            data = {"sequence": sequence, "text": body.decode()}
            await response.write(_event("chunk", data))
            sequence += 1

        outcome = await self._runner.run(request, on_chunk)
        if outcome.is_err() and not response.prepared:
            return self._refused(request.id, outcome.unwrap_err(), request.pipeline)
        if not response.prepared:
            await response.prepare(http)
        match outcome:
            case Ok(_):
                self._count(request.pipeline, Code.OK)
                await response.write(_event("end", {"chunks": sequence}))
            case Err(refusal):
                self._count(request.pipeline, refusal.code)
                data = _refusal_fields(request.id, refusal)
                await response.write(_event("error", data))
        return response

    def _refused(self, request_id, refusal: Refusal, pipeline):
        self._count(pipeline, refusal.code)
        headers = {CODE_HEADER: str(int(refusal.code)), REQUEST_HEADER: request_id}
        return web.json_response(
            _refusal_fields(request_id, refusal),
            status=http_status(refusal.code),
            headers=headers,
        )

    def _count(self, pipeline, code):
        self._entry.metrics.requests.labels(pipeline, code.label).inc()


def _event(kind, data):
    return f"event: {kind}\ndata: {json.dumps(data)}\n\n".encode()


def _refusal_fields(request_id, refusal):
    return {
        "request": request_id,
        "code": int(refusal.code),
        "error": refusal.code.label,
        "ran": refusal.ran,
        "detail": refusal.detail,
    }
